//! Whether the store answers, and whether what it lacks is gone.
//!
//! A record may be missing though its owner runs in two cases only: the store
//! was away for so long that the owner could not keep the record, or it came
//! back from an older copy. Both end with an answer, after which the owner has
//! [`STORE_RECOVERY_GRACE`] to write the record again. A call that fails while
//! others are answered shows neither.

use std::time::Duration;

/// Time for which the store has to serve after its return before a missing
/// record counts as gone, as its owner can have written it again.
pub const STORE_RECOVERY_GRACE: Duration = Duration::from_millis(2000);

/// Interval at which targets write their records, where none is stated.
pub(super) const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1000);

/// Something that an answer of the store shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answered {
    /// The store was unreachable before.
    pub(super) was_unreachable: bool,
    /// The store came back from an older copy.
    pub(super) is_restored: bool,
}

/// A span of time in which the store served, measured since the start of the
/// process. It stands still while the store is away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServedTime(Duration);

impl ServedTime {
    fn plus(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}

/// Whether a record's absence from the store can be relied on.
///
/// # Invariants
///
/// `served` never decreases. `reliable_from` rises only with the end of an
/// outage and with a return from an older copy.
#[derive(Debug)]
pub(super) struct StoreHealth {
    /// Shortest outage that can end a record: it spans two writes of its owner.
    min_outage: Duration,
    /// When the store last answered, on the local monotonic clock.
    last_answer: Duration,
    /// Whether a call has failed since the last answer.
    is_failing: bool,
    /// Whether no call has been answered since a listing failed.
    is_unreachable: bool,
    /// Time for which the store had served at its last answer.
    served: ServedTime,
    /// From when on a missing record is gone.
    reliable_from: ServedTime,
    /// The store's era; `None` before its first answer.
    era: Option<u64>,
}

impl StoreHealth {
    /// Creates the state before the first answer. Targets write their records
    /// once in each `heartbeat`.
    pub(super) fn new(heartbeat: Duration) -> Self {
        Self {
            min_outage: heartbeat,
            last_answer: Duration::ZERO,
            is_failing: false,
            is_unreachable: false,
            served: ServedTime::default(),
            reliable_from: ServedTime::default(),
            era: None,
        }
    }

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
        let silence = now.saturating_sub(self.last_answer);
        let was_away = self.is_failing && silence >= self.min_outage;
        let is_restored = self.era.is_some_and(|known| era > known);
        if is_restored || self.era.is_none() {
            self.era = Some(era);
        }
        if !was_away {
            self.served = self.served.plus(silence);
        }
        if was_away || is_restored {
            self.reliable_from = self.served.plus(STORE_RECOVERY_GRACE);
        }
        self.last_answer = now;
        self.is_failing = false;
        Answered {
            was_unreachable: std::mem::take(&mut self.is_unreachable),
            is_restored,
        }
    }

    /// Tells whether the store has stopped answering.
    pub(super) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Tells whether a call has failed since the last answer.
    pub(super) fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Records that a call got no answer or was refused.
    pub(super) fn call_failed(&mut self) {
        self.is_failing = true;
    }

    /// Records that the store does not answer; returns true if it was
    /// reachable before.
    pub(super) fn lost(&mut self) -> bool {
        self.call_failed();
        !std::mem::replace(&mut self.is_unreachable, true)
    }

    /// Returns until when a record that is missing now is held; `None` if it is
    /// gone.
    pub(super) fn hold_missing(&self, now: Duration) -> Option<ServedTime> {
        if self.is_failing {
            return Some(self.served.plus(STORE_RECOVERY_GRACE));
        }
        (self.served_time(now) < self.reliable_from).then_some(self.reliable_from)
    }

    /// Returns for how long the store has served up to now.
    pub(super) fn served_time(&self, now: Duration) -> ServedTime {
        match self.is_failing {
            true => self.served,
            false => self.served.plus(now.saturating_sub(self.last_answer)),
        }
    }
}
