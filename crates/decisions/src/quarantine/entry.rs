//! The quarantine of one prompt part.

use std::time::Duration;

use super::report::QuarantineRecord;

/// Length of the first quarantine of a part.
const BASE_LENGTH: Duration = Duration::from_secs(60);

/// Longest quarantine before the next probe.
const MAX_LENGTH: Duration = Duration::from_secs(960);

/// Time after which another request may be the probe if the last one has no
/// result.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a probe may be overdue before the part is forgotten, as
/// nobody asks for it any more.
const MAX_OVERDUE: Duration = Duration::from_secs(960);

/// Time for which it is remembered that a quarantine was lifted, so that the
/// reports of instances that have not heard of it don't renew it.
const LIFTED_MEMORY: Duration = Duration::from_secs(30);

/// Whether a part is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Requests with the part are refused.
    Active,
    /// The quarantine was lifted.
    Lifted,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    request: u64,
    sent_at: Duration,
}

/// The quarantine of a part.
///
/// # Invariants
///
/// `generation` grows with each change, so that the newest state wins on all
/// instances. `length` is 0 exactly if the quarantine was lifted.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    generation: u32,
    changed_at: Duration,
    length: Duration,
    probe: Option<Probe>,
}

impl Entry {
    /// Begins the quarantine of a part.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            generation: 1,
            changed_at: now,
            length: BASE_LENGTH,
            probe: None,
        }
    }

    /// Begins the quarantine of a part again.
    pub(super) fn renew(&self, now: Duration) -> Self {
        Self {
            generation: self.generation + 1,
            ..Self::new(now)
        }
    }

    pub(super) fn state(&self) -> State {
        match self.length.is_zero() {
            true => State::Lifted,
            false => State::Active,
        }
    }

    /// Returns when the quarantine began, was prolonged or was lifted.
    pub(super) fn changed_at(&self) -> Duration {
        self.changed_at
    }

    pub(super) fn is_active(&self) -> bool {
        self.state() == State::Active
    }

    /// Tells whether the state of this entry is newer than that of another.
    pub(super) fn supersedes(&self, other: &Self) -> bool {
        self.generation > other.generation
    }

    /// Tells whether the entry can be forgotten.
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        let kept_for = match self.state() {
            State::Active => self.length + MAX_OVERDUE,
            State::Lifted => LIFTED_MEMORY,
        };
        now >= self.changed_at + kept_for
    }

    /// Tells whether a request is refused because of the part.
    pub(super) fn bars(&self, request: u64, now: Duration) -> bool {
        let is_probe = self
            .running_probe(now)
            .is_some_and(|p| p.request == request);
        self.is_active() && !is_probe
    }

    /// Returns for how long a probe has been due; `None` if none is due or one
    /// is running.
    pub(super) fn overdue(&self, now: Duration) -> Option<Duration> {
        match self.running_probe(now) {
            Some(_) => None,
            None => now.checked_sub(self.changed_at + self.length),
        }
    }

    fn running_probe(&self, now: Duration) -> Option<Probe> {
        self.probe
            .filter(|probe| now < probe.sent_at + PROBE_TIMEOUT)
    }

    /// Makes a request the probe if one is due.
    pub(super) fn try_probe(&mut self, request: u64, now: Duration) -> bool {
        if !self.is_active() || self.overdue(now).is_none() {
            return !self.bars(request, now);
        }
        self.probe = Some(Probe {
            request,
            sent_at: now,
        });
        true
    }

    /// Lifts the quarantine, as a request with the part was answered since the
    /// probe was sent.
    pub(super) fn lift_by_probe(&mut self, now: Duration) -> bool {
        self.probe.is_some() && self.lift(now)
    }

    /// Lifts the quarantine. Returns whether it was active.
    pub(super) fn lift(&mut self, now: Duration) -> bool {
        let was_active = self.is_active();
        if was_active {
            *self = Self {
                generation: self.generation + 1,
                changed_at: now,
                length: Duration::ZERO,
                probe: None,
            };
        }
        was_active
    }

    /// Prolongs the quarantine if the lost request is its probe.
    pub(super) fn prolong_by_probe(&mut self, request: u64, now: Duration) -> bool {
        if !self.is_active() || self.probe.is_none_or(|probe| probe.request != request) {
            return false;
        }
        *self = Self {
            generation: self.generation + 1,
            changed_at: now,
            length: (self.length * 2).min(MAX_LENGTH),
            probe: None,
        };
        true
    }

    pub(super) fn to_record(&self, part: u64, now: Duration) -> QuarantineRecord {
        QuarantineRecord {
            part,
            generation: self.generation,
            length_ms: self.length.as_millis() as u32,
            age_ms: now.saturating_sub(self.changed_at).as_millis() as u32,
        }
    }

    pub(super) fn from_record(record: &QuarantineRecord, now: Duration) -> Self {
        Self {
            generation: record.generation,
            changed_at: now.saturating_sub(Duration::from_millis(record.age_ms.into())),
            length: Duration::from_millis(record.length_ms.into()),
            probe: None,
        }
    }
}
