//! What an instance knows of a target.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::CacheView;
use super::Health;
use super::HealthStatus;
use crate::names::Pool;

/// Age at which a load report counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Mean time of a request before any was seen to end.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_secs(3);

/// A target's own word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
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
pub enum ReportFreshness {
    /// A newer report came before.
    Stale,
    /// It follows the ones before.
    Newer,
    /// The target started anew since.
    Restarted,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    measured_at: Duration,
    own_running: u64,
    report: LoadReport,
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
pub struct TargetState {
    /// Requests of this instance at the target.
    pub running: u64,
    /// Whether the target takes new work.
    pub health: Health,
    /// The target's prefix cache.
    pub cache: CacheView,
    pub(crate) pool: Option<Pool>,
    pending_tokens: u64,
    drained_at: Duration,
    last_report: Option<ReceivedReport>,
    mean_service_time: Duration,
    leaving_until: Option<Duration>,
}

impl Default for TargetState {
    fn default() -> Self {
        Self {
            running: 0,
            health: Health::default(),
            cache: CacheView::default(),
            pool: None,
            pending_tokens: 0,
            drained_at: Duration::ZERO,
            last_report: None,
            mean_service_time: DEFAULT_SERVICE_TIME,
            leaving_until: None,
        }
    }
}

impl TargetState {
    /// Tells whether the target takes new work.
    pub fn status(&self, now: Duration) -> HealthStatus {
        if self.leaving_until.is_some_and(|until| now < until) {
            return HealthStatus::Leaving;
        }
        self.health.status(now)
    }

    /// Takes note until when the platform's list calls the target leaving.
    pub fn set_leaving_until(&mut self, until: Option<Duration>) {
        self.leaving_until = until;
    }

    fn drain_pending(&mut self, rate: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.drained_at).as_millis() as u64;
        self.pending_tokens = self.pending_tokens.saturating_sub(elapsed * rate / 1000);
        self.drained_at = self.drained_at.max(now);
    }

    /// Adds a prompt's uncached tokens that go to the target.
    pub fn add_pending(&mut self, uncached: u64, rate: u64, now: Duration) {
        self.drain_pending(rate, now);
        self.pending_tokens += uncached;
    }

    /// Takes note of a load report, which was true at `at`, unless a newer one
    /// came first.
    pub fn apply_report(&mut self, report: LoadReport, at: Duration) -> ReportFreshness {
        let novelty = match &self.last_report {
            None => ReportFreshness::Newer,
            Some(seen) if seen.report.incarnation != report.incarnation => {
                ReportFreshness::Restarted
            }
            Some(seen) if seen.report.sequence >= report.sequence => return ReportFreshness::Stale,
            Some(_) => ReportFreshness::Newer,
        };
        let own = self.running;
        self.last_report = Some(ReceivedReport {
            measured_at: at,
            own_running: own,
            report,
        });
        novelty
    }

    /// Returns the report's weight in thousandths; it halves with each half-life.
    fn report_weight(seen: &ReceivedReport, now: Duration) -> u64 {
        let age = now.saturating_sub(seen.measured_at).as_millis() as f64;
        let halves = age / HALF_LIFE.as_millis() as f64;
        (1000.0 * (-halves).exp2()) as u64
    }

    /// Estimates the requests at the target, those of other instances included.
    ///
    /// As the report ages, the other `peers` instances count as if they had
    /// what this one has.
    pub fn estimated_running(&self, peers: u64, now: Duration) -> u64 {
        let Some(seen) = &self.last_report else {
            return self.running * (peers + 1);
        };
        let total = seen.report.running + seen.report.waiting;
        let others = total.saturating_sub(seen.own_running);
        let weight = Self::report_weight(seen, now);
        let guess = self.running * peers;
        self.running + (others * weight + guess * (1000 - weight)) / 1000
    }

    /// Estimates the prompt tokens that the target has still to read.
    pub fn estimated_pending(&mut self, rate: u64, now: Duration) -> u64 {
        self.drain_pending(rate, now);
        let Some(seen) = &self.last_report else {
            return self.pending_tokens;
        };
        let elapsed = now.saturating_sub(seen.measured_at).as_millis() as u64;
        let reported = seen.report.pending_tokens;
        self.pending_tokens
            .max(reported.saturating_sub(elapsed * rate / 1000))
    }

    /// Returns the mean time of a request at the target.
    pub fn mean_service_time(&self) -> Duration {
        self.mean_service_time
    }

    /// Takes note of a request's whole time at the target.
    pub fn record_service_time(&mut self, time: Duration) {
        self.mean_service_time = (self.mean_service_time * 15 + time) / 16;
    }
}
