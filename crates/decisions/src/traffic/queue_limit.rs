//! How many requests the targets of a pool hold before they reject more.
//!
//! No target tells the length of its queue. It shows by the number of requests
//! that were known to be there when it rejected one.

use std::time::Duration;

/// Fraction of a target's room that less urgent requests may take, so that an
/// urgent one finds room in the queue that the target sorts.
const LESS_URGENT_FRACTION: f64 = 0.8;

/// Growth of the limit per second, as a fraction of it. Counts are old and
/// targets reject for other causes too, so it has to find its way up again.
const GROWTH_PER_S: f64 = 0.03;

/// Requests for each slot that a target is taken to hold at least. With fewer,
/// slots would be empty where counts are too high.
const MIN_REQUESTS_PER_SLOT: u32 = 2;

/// Estimated number of known requests, of all instances, at which an engine
/// rejects more; `None` until one has.
///
/// # Invariants
///
/// After a rejection the limit is not above the number of requests that were
/// known then, unless that is below [`MIN_REQUESTS_PER_SLOT`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct QueueLimit(Option<Observed>);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Observed {
    requests: f64,
    /// When `requests` was the limit.
    at: Duration,
}

impl Observed {
    fn grown(self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64();
        self.requests * (1.0 + GROWTH_PER_S * since)
    }
}

impl QueueLimit {
    /// Records that a target with these slots rejected a request while so many
    /// others were known to be there.
    pub(super) fn record_rejection(&mut self, known: u32, slots: u32, now: Duration) {
        let least = slots.saturating_mul(MIN_REQUESTS_PER_SLOT);
        let known = f64::from(known.max(least));
        let limit = self.0.map_or(known, |limit| limit.grown(now));
        self.0 = Some(Observed {
            requests: limit.min(known),
            at: now,
        });
    }

    /// Tells whether a target with so many known requests takes one more that is
    /// less urgent than others of its pool. The most urgent ones are not bound by
    /// the estimate: the target itself tells them if it is full.
    pub(super) fn has_room(&self, known: u32, now: Duration) -> bool {
        let is_below = |limit: Observed| f64::from(known) < limit.grown(now) * LESS_URGENT_FRACTION;
        self.0.is_none_or(is_below)
    }
}
