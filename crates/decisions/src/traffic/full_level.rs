//! How many requests the targets of a pool hold before they reject more.
//!
//! No target tells the length of its queue. It shows by the number of requests
//! that were known to be there when it rejected one.

use std::time::Duration;

/// Share of a target's room that less urgent requests may take, so that an
/// urgent one finds room in the queue that the target sorts.
const LESS_URGENT_SHARE: f64 = 0.8;

/// Growth of the level in a second. Counts are old and targets reject for other
/// causes too, so the level has to find its way up again.
const GROWTH_PER_S: f64 = 0.03;

/// Requests for each slot that a target is taken to hold at least. With fewer,
/// slots would be empty where counts are too high.
const MIN_REQUESTS_PER_SLOT: u32 = 2;

/// The number of known requests at which a pool's targets are full; `None`
/// until one rejects a request.
///
/// # Invariants
///
/// After a rejection the level is not above the number of requests that were
/// known then, unless that is below [`MIN_REQUESTS_PER_SLOT`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct FullLevel(Option<Level>);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Level {
    requests: f64,
    /// When `requests` was the level.
    at: Duration,
}

impl Level {
    fn grown(self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64();
        self.requests * (1.0 + GROWTH_PER_S * since)
    }
}

impl FullLevel {
    /// Records that a target with these slots rejected a request while so many
    /// others were known to be there.
    pub(super) fn record_rejection(&mut self, known: u32, slots: u32, now: Duration) {
        let least = slots.saturating_mul(MIN_REQUESTS_PER_SLOT);
        let known = f64::from(known.max(least));
        let level = self.0.map_or(known, |level| level.grown(now));
        self.0 = Some(Level {
            requests: level.min(known),
            at: now,
        });
    }

    /// Tells whether a target with so many known requests takes one more. The
    /// most urgent requests may use all of its room.
    pub(super) fn has_room(&self, known: u32, is_most_urgent: bool, now: Duration) -> bool {
        let share = match is_most_urgent {
            true => 1.0,
            false => LESS_URGENT_SHARE,
        };
        self.0
            .is_none_or(|level| f64::from(known) < level.grown(now) * share)
    }
}
