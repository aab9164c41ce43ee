//! How fast the targets of a pool work, as seen from their answers.

use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond, before any was seen.
const READ_RATE: f64 = 60.0;

/// Time for a plain service's answer, before any was seen.
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// Prompt tokens from which on the time to the first event tells the rate.
const TELLING_TOKENS: u32 = 2_000;

/// Time to the first event of a short prompt at an idle engine.
const FIRST_EVENT: Duration = Duration::from_millis(40);

/// Time from a stream's first event to its end, before any was seen.
const GENERATION: Duration = Duration::from_millis(600);

/// Weight of the newest answer.
const WEIGHT: f64 = 0.05;

/// Bounds of the rate at which prompts are read, in tokens a millisecond.
const READ_RATES: (f64, f64) = (10.0, 400.0);

/// How fast the targets of a pool work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Meter {
    read_rate: f64,
    service: Duration,
    generation: Duration,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            read_rate: READ_RATE,
            service: SERVICE_TIME,
            generation: GENERATION,
        }
    }
}

impl Meter {
    /// Returns the time that an engine needs to read prompt tokens.
    pub fn reading(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.read_rate / 1000.0)
    }

    /// Returns the time of a whole answer.
    pub fn service(&self) -> Duration {
        self.service
    }

    /// Returns the time from a stream's first event to its end.
    pub fn generation(&self) -> Duration {
        self.generation
    }

    /// Takes the time to the first event of a prompt with so many tokens to
    /// read, ahead of it and its own.
    pub fn first_event(&mut self, tokens: u32, took: Duration) {
        if tokens < TELLING_TOKENS {
            return;
        }
        let reading = took
            .saturating_sub(FIRST_EVENT)
            .max(Duration::from_millis(1));
        let rate = f64::from(tokens) / (reading.as_secs_f64() * 1000.0);
        let rate = rate.clamp(READ_RATES.0, READ_RATES.1);
        self.read_rate += (rate - self.read_rate) * WEIGHT;
    }

    /// Takes the time of a whole answer.
    pub fn answered(&mut self, took: Duration) {
        self.service = weigh(self.service, took);
    }

    /// Takes the time from a stream's first event to its end.
    pub fn generated(&mut self, took: Duration) {
        self.generation = weigh(self.generation, took);
    }
}

/// Moves an average towards the newest value.
fn weigh(old: Duration, new: Duration) -> Duration {
    let (old, new) = (old.as_secs_f64(), new.as_secs_f64());
    Duration::from_secs_f64(old + (new - old) * WEIGHT)
}
