//! A count of recent events.

use std::time::Duration;

/// A count in which the weight of an event halves every `HALF_LIFE_S` seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct DecayingCount<const HALF_LIFE_S: u64> {
    value: f64,
    updated_at: Duration,
}

impl<const HALF_LIFE_S: u64> DecayingCount<HALF_LIFE_S> {
    /// Creates a count that had a value at `updated_at`.
    pub(super) fn new(value: f64, updated_at: Duration) -> Self {
        Self { value, updated_at }
    }

    /// Returns the count now.
    pub(super) fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.value * (-age.as_secs_f64() / HALF_LIFE_S as f64).exp2()
    }

    /// Counts an event.
    pub(super) fn increment(&mut self, now: Duration) {
        *self = Self::new(self.get(now) + 1.0, now);
    }
}
