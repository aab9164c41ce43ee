//! What an instance knows of a target.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::CacheView;
use super::Health;
use super::Status;
use crate::names::Pool;

/// Age at which a load report counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Mean time of a request before any was seen to end.
const SERVICE: Duration = Duration::from_secs(3);

/// A target's own word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Changes when the target starts anew.
    pub incarnation: u64,
    /// Number of the report, raised by one with each.
    pub sequence: u64,
    /// Requests in the batch.
    pub running: u64,
    /// Requests that wait for the batch.
    pub waiting: u64,
    /// Prompt tokens still to be read.
    pub pending_tokens: u64,
    /// Whether the target is about to stop.
    pub leaving: bool,
}

/// What a load report tells beside the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Novelty {
    /// A newer report came before.
    Stale,
    /// It follows the ones before.
    Newer,
    /// The target started anew since.
    Restarted,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Duration,
    own: u64,
    report: Report,
}

/// What an instance knows of a target.
///
/// # Invariants
///
/// `running` counts the requests that this instance has at the target now.
/// `pending` are the prompt tokens that it sent there and that were not yet
/// read at `drained`, by the target's prefill rate. Until `listed` the
/// platform's list calls the target leaving, whatever the target says.
#[derive(Debug)]
pub struct Load {
    /// Requests of this instance at the target.
    pub running: u64,
    /// Whether the target takes new work.
    pub health: Health,
    /// The target's prefix cache.
    pub cache: CacheView,
    pub(crate) pool: Option<Pool>,
    pending: u64,
    drained: Duration,
    seen: Option<Seen>,
    service: Duration,
    listed: Option<Duration>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            running: 0,
            health: Health::default(),
            cache: CacheView::default(),
            pool: None,
            pending: 0,
            drained: Duration::ZERO,
            seen: None,
            service: SERVICE,
            listed: None,
        }
    }
}

impl Load {
    /// Tells whether the target takes new work.
    pub fn status(&self, now: Duration) -> Status {
        if self.listed.is_some_and(|until| now < until) {
            return Status::Leaving;
        }
        self.health.status(now)
    }

    /// Takes note until when the platform's list calls the target leaving.
    pub fn list_leaving(&mut self, until: Option<Duration>) {
        self.listed = until;
    }

    fn drain(&mut self, rate: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.drained).as_millis() as u64;
        self.pending = self.pending.saturating_sub(elapsed * rate / 1000);
        self.drained = self.drained.max(now);
    }

    /// Adds a prompt's uncached tokens that go to the target.
    pub fn add(&mut self, uncached: u64, rate: u64, now: Duration) {
        self.drain(rate, now);
        self.pending += uncached;
    }

    /// Takes note of a load report, which was true at `at`, unless a newer one
    /// came first.
    pub fn report(&mut self, report: Report, at: Duration) -> Novelty {
        let novelty = match &self.seen {
            None => Novelty::Newer,
            Some(seen) if seen.report.incarnation != report.incarnation => Novelty::Restarted,
            Some(seen) if seen.report.sequence >= report.sequence => return Novelty::Stale,
            Some(_) => Novelty::Newer,
        };
        let own = self.running;
        self.seen = Some(Seen { at, own, report });
        novelty
    }

    /// Returns the report's weight in thousandths; it halves with each half-life.
    fn weight(seen: &Seen, now: Duration) -> u64 {
        let age = now.saturating_sub(seen.at).as_millis() as f64;
        let halves = age / HALF_LIFE.as_millis() as f64;
        (1000.0 * (-halves).exp2()) as u64
    }

    /// Estimates the requests at the target, those of other instances included.
    ///
    /// As the report ages, the other `peers` instances count as if they had
    /// what this one has.
    pub fn running(&self, peers: u64, now: Duration) -> u64 {
        let Some(seen) = &self.seen else {
            return self.running * (peers + 1);
        };
        let total = seen.report.running + seen.report.waiting;
        let others = total.saturating_sub(seen.own);
        let weight = Self::weight(seen, now);
        let guess = self.running * peers;
        self.running + (others * weight + guess * (1000 - weight)) / 1000
    }

    /// Estimates the prompt tokens that the target has still to read.
    pub fn pending(&mut self, rate: u64, now: Duration) -> u64 {
        self.drain(rate, now);
        let Some(seen) = &self.seen else {
            return self.pending;
        };
        let elapsed = now.saturating_sub(seen.at).as_millis() as u64;
        let reported = seen.report.pending_tokens;
        self.pending
            .max(reported.saturating_sub(elapsed * rate / 1000))
    }

    /// Returns the mean time of a request at the target.
    pub fn service(&self) -> Duration {
        self.service
    }

    /// Takes note of a request's whole time at the target.
    pub fn served(&mut self, time: Duration) {
        self.service = (self.service * 15 + time) / 16;
    }
}
