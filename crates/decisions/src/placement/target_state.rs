//! Load, health and cached prefixes of a target, as one instance knows them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::CacheView;
use super::Health;
use super::HealthStatus;
use crate::names::Pool;

/// Time in which the weight of a load report halves.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Assumed mean duration of a request until the first one ends.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_secs(3);

/// A load report by a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Number that changes when the target is restarted.
    pub incarnation: u64,
    /// Sequence number of the report, increased by one with each.
    pub sequence: u64,
    /// Requests that run in the target's batch.
    pub running: u64,
    /// Requests that wait for a place in the batch.
    pub waiting: u64,
    /// Prompt tokens that the target has yet to prefill.
    pub pending_tokens: u64,
    /// Whether the target is about to stop.
    pub leaving: bool,
}

/// How a load report relates to those received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportFreshness {
    /// This report or a newer one was received before.
    Stale,
    /// The report is newer than the others.
    Newer,
    /// The target was restarted since the last report.
    Restarted,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    measured_at: Duration,
    /// Requests of this instance at the target when the report was received.
    own_running: u64,
    report: LoadReport,
}

/// State of a target, as one instance knows it.
///
/// # Invariants
///
/// `running` counts the requests that this instance has at the target now.
/// `pending_tokens` are the prompt tokens that it sent there and that, by the
/// target's prefill rate, were not yet read at `pending_updated_at`. Until
/// `listed_leaving_until` the target counts as leaving by the registry's list,
/// whatever the target reports.
#[derive(Debug)]
pub struct TargetState {
    /// Requests of this instance that run or wait at the target.
    pub running: u64,
    /// Health of the target by its answers and reports.
    pub health: Health,
    /// What is known of the target's prefix cache.
    pub cache: CacheView,
    /// Pool of the last request placed here. Its queue is woken when a request
    /// ends.
    pub(crate) pool: Option<Pool>,
    pending_tokens: u64,
    pending_updated_at: Duration,
    last_report: Option<ReceivedReport>,
    mean_service_time: Duration,
    listed_leaving_until: Option<Duration>,
}

impl Default for TargetState {
    fn default() -> Self {
        Self {
            running: 0,
            health: Health::default(),
            cache: CacheView::default(),
            pool: None,
            pending_tokens: 0,
            pending_updated_at: Duration::ZERO,
            last_report: None,
            mean_service_time: DEFAULT_SERVICE_TIME,
            listed_leaving_until: None,
        }
    }
}

impl TargetState {
    /// Returns the status, which decides whether new requests are sent to the
    /// target.
    pub fn status(&self, now: Duration) -> HealthStatus {
        if self.listed_leaving_until.is_some_and(|until| now < until) {
            return HealthStatus::Leaving;
        }
        self.health.status(now)
    }

    /// Sets until when the target counts as leaving by the service
    /// registry's list.
    pub fn set_leaving_until(&mut self, until: Option<Duration>) {
        self.listed_leaving_until = until;
    }

    fn subtract_prefilled_tokens(&mut self, rate: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.pending_updated_at).as_millis() as u64;
        self.pending_tokens = self.pending_tokens.saturating_sub(elapsed * rate / 1000);
        self.pending_updated_at = self.pending_updated_at.max(now);
    }

    /// Adds the uncached tokens of a prompt that is sent to the target.
    pub fn add_pending(&mut self, uncached: u64, rate: u64, now: Duration) {
        self.subtract_prefilled_tokens(rate, now);
        self.pending_tokens += uncached;
    }

    /// Applies a load report made at `at`, unless it is stale.
    pub fn apply_report(&mut self, report: LoadReport, at: Duration) -> ReportFreshness {
        let freshness = match &self.last_report {
            None => ReportFreshness::Newer,
            Some(last) if last.report.incarnation != report.incarnation => {
                ReportFreshness::Restarted
            }
            Some(last) if last.report.sequence >= report.sequence => return ReportFreshness::Stale,
            Some(_) => ReportFreshness::Newer,
        };
        let own_running = self.running;
        self.last_report = Some(ReceivedReport {
            measured_at: at,
            own_running,
            report,
        });
        freshness
    }

    /// Returns the weight of a report by its age, in thousandths.
    fn report_weight(last: &ReceivedReport, now: Duration) -> u64 {
        let age = now.saturating_sub(last.measured_at).as_millis() as f64;
        let halves = age / REPORT_HALF_LIFE.as_millis() as f64;
        (1000.0 * (-halves).exp2()) as u64
    }

    /// Estimates the requests of all instances at the target.
    ///
    /// As the report ages, each of the `peers` other instances is increasingly
    /// assumed to have as many requests there as this one.
    pub fn estimated_running(&self, peers: u64, now: Duration) -> u64 {
        let Some(last) = &self.last_report else {
            return self.running * (peers + 1);
        };
        let total = last.report.running + last.report.waiting;
        let others = total.saturating_sub(last.own_running);
        let weight = Self::report_weight(last, now);
        let guess = self.running * peers;
        self.running + (others * weight + guess * (1000 - weight)) / 1000
    }

    /// Estimates the prompt tokens that the target has yet to read.
    pub fn estimated_pending(&mut self, rate: u64, now: Duration) -> u64 {
        self.subtract_prefilled_tokens(rate, now);
        let Some(last) = &self.last_report else {
            return self.pending_tokens;
        };
        let elapsed = now.saturating_sub(last.measured_at).as_millis() as u64;
        let reported = last.report.pending_tokens;
        self.pending_tokens
            .max(reported.saturating_sub(elapsed * rate / 1000))
    }

    /// Returns the mean duration of a request at the target.
    pub fn mean_service_time(&self) -> Duration {
        self.mean_service_time
    }

    /// Updates the mean by the duration of a request at the target.
    pub fn record_service_time(&mut self, time: Duration) {
        self.mean_service_time = (self.mean_service_time * 15 + time) / 16;
    }
}
