//! The retry budget of a pool: how many retries all instances together may send
//! in any window of time, in relation to the pool's requests.
//!
//! Each instance enforces a budget of its own and needs no communication for
//! it. In every span of the window's length, its retries are at most its share
//! of half the slack, plus [`RetryLimit::ratio`] times the mean of its requests in
//! that span and in the span before. A mean is linear, so for each span these
//! budgets add up to the same formula over the requests of all instances, no
//! matter how the requests move between instances. If each instance used the
//! requests of whichever span suits it, the sum would have no such bound.
//!
//! A process loses these counts when it ends. The next one therefore starts
//! without requests that would allow it retries, and the undivided half of the
//! slack covers the retries that the earlier process sent.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use crate::window::Divisor;

/// How many retries all instances together may send to a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Length of the window over which retries are counted.
    pub window: Duration,
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, whatever the number of requests.
    pub slack: f64,
}

/// Whether a retry is allowed, and the counts that led to the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry is allowed.
    pub is_allowed: bool,
    /// This instance's retries in the span that leaves room for the fewest,
    /// without this one.
    pub retries: u32,
    /// Retries that this instance may send in that span.
    pub max_retries: f64,
    /// This instance's requests in the window that ends now.
    pub requests: u32,
}

/// Intervals into which a window is divided for counting.
const INTERVALS_PER_WINDOW: usize = 100;

/// Intervals by which a counted span is longer than the window, as a retry
/// reaches its target some time after it was allowed: it may need a connection
/// or cross to another region first.
const DELAY_INTERVALS: usize = 5;

/// Length of a counted span, in intervals.
const SPAN_INTERVALS: usize = INTERVALS_PER_WINDOW + DELAY_INTERVALS;

/// Intervals whose counts are kept: a span and the window before it.
const KEPT_INTERVALS: usize = SPAN_INTERVALS + INTERVALS_PER_WINDOW;

/// Fraction of the slack that is divided among the instances. A process does
/// not know what the process before it sent, and an instance may join before
/// the others have reduced their shares; with half of the slack, both shares
/// together stay within the whole.
const DIVIDED_SLACK_RATIO: f64 = 0.5;

/// Fraction of the retries in a span up to which extra attempts are allowed.
const EXTRA_ATTEMPT_FRACTION: f64 = 0.5;

/// Requests and retries counted in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct IntervalCounts {
    requests: u32,
    retries: u32,
}

/// One instance's retry budget for one pool. All times are on the local
/// monotonic clock.
///
/// # Invariants
///
/// `intervals` has [`KEPT_INTERVALS`] entries, newest first. The first one is
/// interval number `newest`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    intervals: VecDeque<IntervalCounts>,
    newest: u128,
}

impl RetryBudget {
    /// Creates the budget of a process that has not sent anything to the pool.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            intervals: VecDeque::from(vec![IntervalCounts::default(); KEPT_INTERVALS]),
            newest: 0,
        }
    }

    /// Counts a request to the pool, which allows more retries.
    pub fn record_request(&mut self, now: Duration) {
        self.advance(now);
        self.intervals[0].requests += 1;
    }

    /// Counts a retry if this instance's budget allows it, and returns the
    /// decision with the counts that led to it.
    pub fn try_retry(&mut self, divisor: Divisor, now: Duration) -> RetryDecision {
        self.advance(now);
        let decision = self.decide(divisor);
        if decision.is_allowed {
            self.intervals[0].retries += 1;
        }
        decision
    }

    /// Like [`RetryBudget::try_retry`], but allowed only up to half of the retries
    /// of the span with least room.
    pub fn try_spare_retry(&mut self, divisor: Divisor, now: Duration) -> RetryDecision {
        self.advance(now);
        let mut decision = self.decide(divisor);
        let retries = f64::from(decision.retries) + 1.0;
        decision.is_allowed &= retries <= decision.max_retries * EXTRA_ATTEMPT_FRACTION;
        if decision.is_allowed {
            self.intervals[0].retries += 1;
        }
        decision
    }

    /// Starts the intervals that have begun since the last call.
    fn advance(&mut self, now: Duration) {
        let length = self.limit.window / INTERVALS_PER_WINDOW as u32;
        let current = now.as_nanos() / length.as_nanos().max(1);
        let begun = current.saturating_sub(self.newest);
        for _ in 0..begun.min(KEPT_INTERVALS as u128) {
            self.intervals.pop_back();
            self.intervals.push_front(IntervalCounts::default());
        }
        self.newest = self.newest.max(current);
    }

    /// Looks for the span that leaves room for the fewest retries, among those
    /// that begin up to [`SPAN_INTERVALS`] ago and have not ended. Only the requests that
    /// have come so far count.
    fn decide(&self, divisor: Divisor) -> RetryDecision {
        let slack = divisor.share(self.limit.slack * DIVIDED_SLACK_RATIO);
        let requests =
            |ages: Range<usize>| -> u32 { self.intervals.range(ages).map(|c| c.requests).sum() };
        // A span may begin at any moment of its oldest interval, so that
        // interval's requests are left out of both sums.
        let mut requests_within = 0;
        let mut requests_before = requests(1..INTERVALS_PER_WINDOW);
        let mut retries = 0;
        let mut decision = RetryDecision {
            is_allowed: true,
            retries,
            max_retries: f64::INFINITY,
            requests: requests(0..INTERVALS_PER_WINDOW),
        };
        for age in 0..SPAN_INTERVALS {
            retries += self.intervals[age].retries;
            let mean = f64::from(requests_within + requests_before) / 2.0;
            let max_retries = slack + self.limit.ratio * mean;
            let room = max_retries - f64::from(retries);
            if room < decision.max_retries - f64::from(decision.retries) {
                decision.retries = retries;
                decision.max_retries = max_retries;
                decision.is_allowed = room >= 1.0;
            }
            requests_within += self.intervals[age].requests;
            requests_before -= self.intervals[age + 1].requests;
            requests_before += self.intervals[age + INTERVALS_PER_WINDOW].requests;
        }
        decision
    }
}
