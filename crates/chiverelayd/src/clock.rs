//! The clocks, read here and passed into decisions.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the wall clock's time since the epoch.
    pub(crate) fn wall(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}
