//! Prefill rate and answer times of a pool's targets, averaged from their
//! answers.

use std::time::Duration;

/// Prefill rate assumed before the first sample, in tokens per millisecond.
const DEFAULT_PREFILL_RATE: f64 = 60.0;

/// Answer time of a pool without engines assumed before the first sample.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(60);

/// Fewest prompt tokens for which the time to the first event is a sample of
/// the prefill rate.
const MIN_SAMPLE_TOKENS: u32 = 2_000;

/// Part of the time to the first event that does not depend on the prompt's
/// length. It is subtracted from each sample before the prefill rate is
/// computed.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(40);

/// Time from a stream's first event to its end assumed before the first
/// sample.
const DEFAULT_GENERATION_TIME: Duration = Duration::from_millis(600);

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Lower and upper bound of a prefill rate sample, in tokens per millisecond.
const PREFILL_RATE_RANGE: (f64, f64) = (10.0, 400.0);

/// Moving averages over the answers of a pool's targets.
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
    /// Returns the time that an engine needs to prefill `tokens`.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill_rate / 1000.0)
    }

    /// Returns the average time that an answer that is not a stream takes,
    /// without the wait for a slot.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Returns the average time from a stream's first event to its end.
    pub fn generation_time(&self) -> Duration {
        self.generation_time
    }

    /// Adds a sample of the time to the first event. `tokens` counts the
    /// prompt's own tokens and those queued ahead of it.
    pub fn record_first_event(&mut self, tokens: u32, took: Duration) {
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

    /// Adds a sample of the time that an answer that is not a stream takes,
    /// without the wait for a slot.
    pub fn record_answer(&mut self, took: Duration) {
        self.service_time = moving_average(self.service_time, took);
    }

    /// Adds a sample of the time from a stream's first event to its end.
    pub fn record_generation(&mut self, took: Duration) {
        self.generation_time = moving_average(self.generation_time, took);
    }
}

/// Returns the moving average after the sample `new`.
fn moving_average(old: Duration, new: Duration) -> Duration {
    let (old, new) = (old.as_secs_f64(), new.as_secs_f64());
    Duration::from_secs_f64(old + (new - old) * SAMPLE_WEIGHT)
}
