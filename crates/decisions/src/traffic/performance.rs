//! How fast the targets of a pool work, as seen from their answers.

use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond, before any was seen.
const DEFAULT_PREFILL_RATE: f64 = 60.0;

/// Time for a plain service's answer, before any was seen.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(60);

/// Prompt tokens from which on the time to the first event tells the rate.
const MIN_SAMPLE_TOKENS: u32 = 2_000;

/// Time to the first event of a short prompt at an idle engine.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(40);

/// Time from a stream's first event to its end, before any was seen.
const DEFAULT_GENERATION_TIME: Duration = Duration::from_millis(600);

/// Weight of the newest answer.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Bounds of the rate at which prompts are read, in tokens a millisecond.
const PREFILL_RATE_RANGE: (f64, f64) = (10.0, 400.0);

/// How fast the targets of a pool work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolPerformance {
    prefill_rate: f64,
    service_time: Duration,
    generation_time: Duration,
}

impl Default for PoolPerformance {
    fn default() -> Self {
        Self {
            prefill_rate: DEFAULT_PREFILL_RATE,
            service_time: DEFAULT_SERVICE_TIME,
            generation_time: DEFAULT_GENERATION_TIME,
        }
    }
}

impl PoolPerformance {
    /// Returns the time that an engine needs to read prompt tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill_rate / 1000.0)
    }

    /// Returns the time of a whole answer.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Returns the time from a stream's first event to its end.
    pub fn generation_time(&self) -> Duration {
        self.generation_time
    }

    /// Takes the time to the first event of a prompt with so many tokens to
    /// read, ahead of it and its own.
    pub fn observe_first_event(&mut self, tokens: u32, took: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let prefill_time = took
            .saturating_sub(FIRST_EVENT_OVERHEAD)
            .max(Duration::from_millis(1));
        let rate = f64::from(tokens) / (prefill_time.as_secs_f64() * 1000.0);
        let rate = rate.clamp(PREFILL_RATE_RANGE.0, PREFILL_RATE_RANGE.1);
        self.prefill_rate += (rate - self.prefill_rate) * SAMPLE_WEIGHT;
    }

    /// Takes the time of a whole answer.
    pub fn observe_answer(&mut self, took: Duration) {
        self.service_time = moving_average(self.service_time, took);
    }

    /// Takes the time from a stream's first event to its end.
    pub fn observe_generation(&mut self, took: Duration) {
        self.generation_time = moving_average(self.generation_time, took);
    }
}

/// Moves an average towards the newest value.
fn moving_average(old: Duration, new: Duration) -> Duration {
    let (old, new) = (old.as_secs_f64(), new.as_secs_f64());
    Duration::from_secs_f64(old + (new - old) * SAMPLE_WEIGHT)
}
