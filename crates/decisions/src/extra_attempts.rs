//! Extra attempts: a request whose target is slow to answer is sent to a second
//! target while the first one is still awaited.
//!
//! [`StartTimes`] tells when an answer is slow, and [`Allowance`] how many
//! extra attempts an instance may make. Both belong to one pool, and see only
//! what this instance sends.

mod allowance;
mod start_times;

use std::time::Duration;

pub use allowance::Allowance;
pub use start_times::StartTimes;

/// Shortest time after which a request may get an extra attempt.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// The operator's limit on extra attempts. It holds over all instances
/// together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraAttemptLimit {
    /// Extra attempts per request, and prefill tokens of extra attempts per
    /// prefill token of the requests; above 0 and at most 1.
    pub ratio: f64,
    /// Fraction of the answers that begin before a request counts as slow;
    /// above 0 and below 1.
    pub quantile: f64,
}

impl ExtraAttemptLimit {
    /// Quantile that is used if the operator states none.
    pub const DEFAULT_QUANTILE: f64 = 0.95;
}

/// Why a request gets no extra attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtraAttemptDenial {
    /// No other target has room, or too few slots are free at all of them.
    NoRoom,
    /// The operator's limit on extra attempts is reached.
    OverLimit,
    /// The rest of the retry budget is left to retries after failures.
    OverRetryBudget,
}

impl ExtraAttemptDenial {
    /// Returns the reason's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no room",
            Self::OverLimit => "over limit",
            Self::OverRetryBudget => "over retry budget",
        }
    }
}

/// What one instance knows about extra attempts at a pool's requests.
#[derive(Clone, Debug)]
pub struct ExtraAttempts {
    limit: ExtraAttemptLimit,
    streams: StartTimes,
    others: StartTimes,
    allowance: Allowance,
}

impl ExtraAttempts {
    /// Creates the state of a process that has sent nothing to the pool.
    pub fn new(limit: ExtraAttemptLimit) -> Self {
        Self {
            limit,
            streams: StartTimes::new(limit.quantile),
            others: StartTimes::new(limit.quantile),
            allowance: Allowance::default(),
        }
    }

    /// Returns the time after which a request may get an extra attempt, if it
    /// was `expected` that its answer begins after this time. `None` while too
    /// few answers are known.
    pub fn delay(&self, is_stream: bool, expected: Duration, now: Duration) -> Option<Duration> {
        let times = match is_stream {
            true => &self.streams,
            false => &self.others,
        };
        let slowness = times.slowness(now)?;
        Some(expected.mul_f64(slowness).max(MIN_DELAY))
    }

    /// Records that an answer began after `took`, or that it had not begun when
    /// the attempt was given up then.
    pub fn record_start(
        &mut self,
        is_stream: bool,
        expected: Duration,
        took: Duration,
        now: Duration,
    ) {
        let times = match is_stream {
            true => &mut self.streams,
            false => &mut self.others,
        };
        times.record(took.div_duration_f64(expected), now);
    }

    /// Counts a request, which allows more extra attempts.
    pub fn record_request(&mut self, prefill_tokens: u32) {
        self.allowance
            .record_request(self.limit.ratio, prefill_tokens);
    }

    /// Tells whether the operator's limit allows an extra attempt now.
    pub fn has_allowance(&self) -> bool {
        self.allowance.has_attempt()
    }

    /// Counts an extra attempt against the operator's limit.
    pub fn consume(&mut self, prefill_tokens: u32) {
        self.allowance.consume(prefill_tokens);
    }
}
