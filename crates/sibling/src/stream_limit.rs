//! How many streams a sibling may have open on one connection.
//!
//! Each end of a connection keeps state for every stream that the other end may
//! open, whether it is open or not. The limit therefore starts low and rises
//! with the number of streams that are open.

/// Streams that a sibling may have open on a new connection.
pub(crate) const INITIAL_STREAMS: u32 = 128;

/// Streams that a sibling may have open at most.
const MAX_STREAMS: u32 = 4096;

/// The limit of one connection. It never falls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamLimit(u32);

impl Default for StreamLimit {
    fn default() -> Self {
        Self(INITIAL_STREAMS)
    }
}

impl StreamLimit {
    /// Doubles the limit if half of the streams are open, and returns the new
    /// one if it has changed.
    pub(crate) fn raise(&mut self, open: usize) -> Option<u32> {
        let is_half_open = open >= self.0 as usize / 2;
        if !is_half_open || self.0 >= MAX_STREAMS {
            return None;
        }
        self.0 = (self.0 * 2).min(MAX_STREAMS);
        Some(self.0)
    }
}
