//! Headers of a request, with the memory that many of them take.

use std::ops::Deref;
use std::sync::Arc;

use chiverelay_decisions::memory_budget::Exhausted;
use chiverelay_decisions::memory_budget::MemoryBudget;
use chiverelay_decisions::memory_budget::Reservation;
use hyper::HeaderMap;

/// Number of header fields of a request that no memory is reserved for, as each
/// open request may have them.
const FREE_FIELDS: usize = 100;

/// Memory of a header field, in bytes: its entry in the map of the request, with
/// the room that the map keeps free, and its entry in a message to a target or to
/// another instance. Its name and value are as long as the head that it came in.
const FIELD_BYTES: usize = 256;

/// Headers of a request, whose memory stays reserved until the last copy is
/// dropped.
///
/// Short fields take many times the bytes that a caller sends for them.
#[derive(Clone, Debug, Default)]
pub struct HeldHeaders {
    map: HeaderMap,
    _reservation: Option<Arc<Reservation>>,
}

impl HeldHeaders {
    /// Holds headers, for which memory is reserved if they are many.
    ///
    /// # Errors
    ///
    /// Fails if too little memory is left.
    pub(crate) fn new(map: HeaderMap, budget: &MemoryBudget) -> Result<Self, Exhausted> {
        let fields = map.len().saturating_sub(FREE_FIELDS);
        let reservation = match fields {
            0 => None,
            _ => Some(Arc::new(budget.reserve(fields * FIELD_BYTES)?)),
        };
        Ok(Self {
            map,
            _reservation: reservation,
        })
    }
}

impl Deref for HeldHeaders {
    type Target = HeaderMap;

    fn deref(&self) -> &HeaderMap {
        &self.map
    }
}
