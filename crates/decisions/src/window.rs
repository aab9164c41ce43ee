//! Sums over a sliding window, and the division of a limit between instances.

use std::collections::VecDeque;
use std::time::Duration;

/// Weighted events of the last `length`, to limit their sum over any span of
/// that length.
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
    /// Creates an empty window.
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
        // The window is empty: drop what rounding left in the sum.
        self.sum = 0.0;
    }

    /// Returns the total weight of the events in the window that ends now.
    pub fn sum(&mut self, now: Duration) -> f64 {
        self.expire(now);
        self.sum
    }

    /// Counts the events in the window. Events that have expired since the last
    /// call that passed `now` are still counted.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Tells whether the window has no event. Like [`SlidingWindow::len`], it
    /// counts events that have expired since the last call that passed `now`.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Adds an event.
    pub fn add(&mut self, weight: f64, now: Duration) {
        self.expire(now);
        self.events.push_back((now, weight));
        self.sum += weight;
    }

    /// Adds an event if the sum stays within `limit`, and tells whether it
    /// does.
    pub fn try_add(&mut self, weight: f64, limit: f64, now: Duration) -> bool {
        if self.sum(now) + weight > limit {
            return false;
        }
        self.add(weight, now);
        true
    }

    /// Returns the time until an event of `weight` fits within `limit`; `None`
    /// if it exceeds the limit on its own.
    pub fn time_until_fits(&mut self, weight: f64, limit: f64, now: Duration) -> Option<Duration> {
        let mut excess = self.sum(now) + weight - limit;
        if excess <= 0.0 {
            return Some(Duration::ZERO);
        }
        for &(at, weight) in &self.events {
            excess -= weight;
            if excess <= 0.0 {
                return Some((at + self.length).saturating_sub(now));
            }
        }
        None
    }
}

/// The number of instances that a limit is divided by.
///
/// Each instance enforces its share of the limit on its own. The whole limit
/// holds without communication as long as no more instances than this exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Divisor(Option<usize>);

/// Smallest number of instances that a limit is divided by while the real
/// number is not known.
const ASSUMED_INSTANCES: usize = 24;

/// Number of instances that may join before the others learn of them.
const JOIN_RESERVE: usize = 1;

impl Divisor {
    /// Creates a divisor from the largest number of instances known so far,
    /// plus a reserve for instances that are joining.
    pub fn new(most_known: usize) -> Self {
        Self(Some(most_known.max(1) + JOIN_RESERVE))
    }

    /// Creates the divisor of an instance that has no share of the limit.
    pub fn without_share() -> Self {
        Self(None)
    }

    /// Tells whether this instance has a share of the limit.
    pub fn has_share(self) -> bool {
        self.0.is_some()
    }

    /// Creates a divisor of at least [`ASSUMED_INSTANCES`]. It is used right
    /// after a start, when all instances may have started and few know each
    /// other.
    pub fn for_unknown_count(most_known: usize) -> Self {
        Self::new(most_known.max(ASSUMED_INSTANCES))
    }

    /// Returns one instance's share of a limit.
    pub fn share(self, limit: f64) -> f64 {
        self.0.map_or(0.0, |instances| limit / instances as f64)
    }
}
