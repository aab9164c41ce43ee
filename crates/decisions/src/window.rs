//! Bounds over a sliding window, divided between the instances.

use std::collections::VecDeque;
use std::time::Duration;

/// Counts events so that no span of the window's length has more than a bound.
///
/// # Invariants
///
/// `events` has the events of the last `length`, oldest first, and `sum` is
/// the sum of their weights.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    length: Duration,
    events: VecDeque<(Duration, f64)>,
    sum: f64,
}

impl SlidingWindow {
    /// Makes an empty window.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            events: VecDeque::new(),
            sum: 0.0,
        }
    }

    fn expire(&mut self, now: Duration) {
        while let Some(&(at, weight)) = self.events.front() {
            if at + self.length > now {
                return;
            }
            self.events.pop_front();
            self.sum -= weight;
        }
        self.sum = 0.0;
    }

    /// Returns the weight of the events in the window that ends now.
    pub fn sum(&mut self, now: Duration) -> f64 {
        self.expire(now);
        self.sum
    }

    /// Counts the events in the window as of the last look.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Tells whether no event is in the window as of the last look.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Counts an event.
    pub fn add(&mut self, weight: f64, now: Duration) {
        self.expire(now);
        self.events.push_back((now, weight));
        self.sum += weight;
    }

    /// Counts an event if the sum stays within `bound`.
    pub fn try_add(&mut self, weight: f64, bound: f64, now: Duration) -> bool {
        if self.sum(now) + weight > bound {
            return false;
        }
        self.add(weight, now);
        true
    }

    /// Returns how long it takes until `weight` fits within `bound`; `None` if
    /// it never does.
    pub fn time_until_fits(&mut self, weight: f64, bound: f64, now: Duration) -> Option<Duration> {
        let mut excess = self.sum(now) + weight - bound;
        if excess <= 0.0 {
            return Some(Duration::ZERO);
        }
        for &(at, gone) in &self.events {
            excess -= gone;
            if excess <= 0.0 {
                return Some((at + self.length).saturating_sub(now));
            }
        }
        None
    }
}

/// How many instances divide a bound.
///
/// An instance's own part of a bound holds without a word from the others as
/// long as no more instances than this exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Divisor(usize);

/// Instances that there may be while their number is not known.
const ASSUMED_INSTANCES: usize = 24;

/// Instances that may join before the others have heard of them.
const JOIN_RESERVE: usize = 1;

impl Divisor {
    /// Divides between as many instances as were known at most, and a reserve
    /// for those that join.
    pub fn new(most_known: usize) -> Self {
        Self(most_known.max(1) + JOIN_RESERVE)
    }

    /// Divides while it is not known yet how many instances there are, as right
    /// after a start at which all may have started.
    pub fn for_unknown_count(most_known: usize) -> Self {
        Self::new(most_known.max(ASSUMED_INSTANCES))
    }

    /// Returns one instance's part.
    pub fn share(self, bound: f64) -> f64 {
        bound / self.0 as f64
    }
}

/// The retries of one pool that this instance may send.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

/// How many retries all instances together may send to a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Length of the window.
    pub window: Duration,
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beside those.
    pub slack: f64,
}

impl RetryWindow {
    /// Makes an empty window.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            requests: SlidingWindow::new(limit.window),
            retries: SlidingWindow::new(limit.window),
        }
    }

    /// Counts a request for the pool.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.add(1.0, now);
    }

    /// Counts a retry if this instance's part of the limit allows it.
    pub fn try_retry(&mut self, limit: RetryLimit, divisor: Divisor, now: Duration) -> bool {
        let bound = self.requests.sum(now) * limit.ratio + divisor.share(limit.slack);
        self.retries.try_add(1.0, bound, now)
    }
}
