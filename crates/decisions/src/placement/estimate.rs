//! The score of a target: its expected time to the first token, and the delay
//! that a request causes to others.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// By how much decoding a full batch slows down a target's prefill, in percent.
const DECODE_PERCENT: u64 = 30;

/// Added to the score of a target whose batch is full, in milliseconds, and in
/// proportion for any other number of requests, as each request in a batch
/// slows down the others.
const BATCH_SLOWDOWN_MS: u64 = 20;

/// What placement optimizes for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Low tail latency and few avoidable refusals.
    #[default]
    Latency,
    /// Low cost, and good service to the account that is served worst. Gives
    /// the delay of other requests more weight than [`Self::Latency`] does.
    Cost,
}

impl Objective {
    /// Returns which percentage of a request's prefill time the score adds for
    /// the delay of other requests.
    fn delay_to_others_percent(self) -> u64 {
        match self {
            Self::Latency => 50,
            Self::Cost => 150,
        }
    }
}

/// Inputs to the expected time to the first token at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyInputs {
    /// Tokens of the prompt that the target has not cached.
    pub uncached_tokens: u64,
    /// Tokens of other prompts that the target has yet to prefill.
    pub pending_tokens: u64,
    /// Requests of all instances that run or wait at the target.
    pub running: u64,
    /// Requests that the target runs at once.
    pub slots: u64,
    /// Prompt tokens that the target prefills a second when idle.
    pub prefill_rate: u64,
    /// Mean duration of a request at the target.
    pub mean_service_time: Duration,
    /// Network round trip to the target.
    pub round_trip: Duration,
    /// Share of the target's capacity that may be used, in thousandths. It is
    /// below 1000 during slow start.
    pub capacity_per_mille: u64,
}

impl LatencyInputs {
    fn prefill_time(&self, tokens: u64) -> Duration {
        let busy = self.running.min(self.slots) * DECODE_PERCENT / self.slots.max(1);
        let rate = (self.prefill_rate * (100 - busy) / 100).max(1);
        Duration::from_micros(tokens.saturating_mul(1_000_000) / rate)
    }

    /// Returns the expected wait for a slot.
    fn slot_wait(&self) -> Duration {
        let over = (self.running + 1).saturating_sub(self.slots);
        let nanos = self.mean_service_time.as_nanos() as u64 / self.slots.max(1);
        Duration::from_nanos(nanos.saturating_mul(over))
    }

    /// Returns the expected time to the first token.
    pub fn time_to_first_token(&self) -> Duration {
        self.round_trip
            + self.slot_wait()
            + self.prefill_time(self.pending_tokens + self.uncached_tokens)
    }

    /// Returns the score; the lowest is best.
    pub fn score(&self, objective: Objective) -> Duration {
        let prefill = self.prefill_time(self.uncached_tokens);
        let delay_to_others = prefill * objective.delay_to_others_percent() as u32 / 100;
        let batch_slowdown =
            Duration::from_millis(BATCH_SLOWDOWN_MS * self.running / self.slots.max(1));
        let score = self.time_to_first_token() + delay_to_others + batch_slowdown;
        score * 1000 / self.capacity_per_mille.max(1) as u32
    }

    /// Returns whether a slot is free within the share of the capacity that may
    /// be used.
    pub fn has_free_slot(&self) -> bool {
        self.running * 1000 < self.slots * self.capacity_per_mille
    }
}
