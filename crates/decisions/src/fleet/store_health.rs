//! Whether the store answers, and whether what it lacks is gone.

use std::time::Duration;

/// Time after the store's return in which targets can write their records
/// again before missing ones are removed.
pub const STORE_RECOVERY_GRACE: Duration = Duration::from_millis(2000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The store answers, and no outage ended within the last
    /// [`STORE_RECOVERY_GRACE`]. Also assumed before its first answer.
    Stable,
    /// The store does not answer.
    Unreachable,
    /// The store has answered again since this time.
    Recovering(Duration),
}

/// Something that an answer of the store shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answered {
    /// The store was unreachable before.
    pub(super) was_unreachable: bool,
    /// The store came back from an older copy.
    pub(super) is_restored: bool,
}

/// Whether a record's absence from the store can be relied on.
#[derive(Debug)]
pub(super) struct StoreHealth {
    state: State,
    last_answer: Duration,
    /// The store's era; `None` before its first answer.
    era: Option<u64>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            state: State::Stable,
            last_answer: Duration::ZERO,
            era: None,
        }
    }
}

impl StoreHealth {
    /// Returns when the store last answered, on the local monotonic clock.
    pub(super) fn last_answer(&self) -> Duration {
        self.last_answer
    }

    /// Returns the store's era, 0 before its first answer.
    pub(super) fn era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// Records an answer. A higher `era` than before means that the store came
    /// back from an older copy, even if no outage was noticed.
    pub(super) fn answered(&mut self, era: u64, now: Duration) -> Answered {
        self.last_answer = now;
        let was_unreachable = self.state == State::Unreachable;
        let is_restored = self.era.is_some_and(|known| era > known);
        if is_restored || self.era.is_none() {
            self.era = Some(era);
        }
        if is_restored || was_unreachable {
            self.state = State::Recovering(now);
        } else {
            self.settle(now);
        }
        Answered {
            was_unreachable,
            is_restored,
        }
    }

    /// Records that the store does not answer; returns true if it was
    /// reachable before.
    pub(super) fn lost(&mut self) -> bool {
        let previous = std::mem::replace(&mut self.state, State::Unreachable);
        previous != State::Unreachable
    }

    /// Tells whether a missing record is gone.
    pub(super) fn is_stable(&self, now: Duration) -> bool {
        match self.state {
            State::Stable => true,
            State::Unreachable => false,
            State::Recovering(since) => now >= since + STORE_RECOVERY_GRACE,
        }
    }

    /// Ends the recovery once its time is over, and tells whether the store is
    /// stable.
    pub(super) fn settle(&mut self, now: Duration) -> bool {
        let is_stable = self.is_stable(now);
        if is_stable {
            self.state = State::Stable;
        }
        is_stable
    }
}
