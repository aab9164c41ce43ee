//! The score of a target: its expected time to the first token, and what the
//! work costs the others.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Share of an engine's prefill speed that a full batch takes, in percent.
const DECODE_PERCENT: u64 = 30;

/// What placement weighs more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Tail latency and wrong refusals.
    #[default]
    Latency,
    /// Cost and the worst-served account.
    Cost,
}

impl Objective {
    /// Returns the weight of prefill work beside its time, in percent.
    fn prefill_percent(self) -> u64 {
        match self {
            Self::Latency => 50,
            Self::Cost => 150,
        }
    }
}

/// What the score of a target is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyEstimate {
    /// Tokens of the prompt that the target has not cached.
    pub uncached_tokens: u64,
    /// Tokens of other prompts that the target has still to read.
    pub pending_tokens: u64,
    /// Requests that the target has, of all instances.
    pub running: u64,
    /// Requests that the target takes at once.
    pub slots: u64,
    /// Prompt tokens a second of the target.
    pub prefill_rate: u64,
    /// Mean time of a request at the target.
    pub mean_service_time: Duration,
    /// Round trip to the target.
    pub round_trip: Duration,
    /// The target's share of its full load, in thousandths.
    pub capacity_per_mille: u64,
}

impl LatencyEstimate {
    fn prefill_time(&self, tokens: u64) -> Duration {
        let busy = self.running.min(self.slots) * DECODE_PERCENT / self.slots.max(1);
        let rate = (self.prefill_rate * (100 - busy) / 100).max(1);
        Duration::from_micros(tokens.saturating_mul(1_000_000) / rate)
    }

    /// Returns the wait for a slot.
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

    /// Returns the score; the lowest is the best.
    pub fn score(&self, weights: Objective) -> Duration {
        let prefill = self.prefill_time(self.uncached_tokens);
        let shared = prefill * weights.prefill_percent() as u32 / 100;
        // The batch slows each of its requests a little.
        let batch = Duration::from_millis(20 * self.running / self.slots.max(1));
        let score = self.time_to_first_token() + shared + batch;
        score * 1000 / self.capacity_per_mille.max(1) as u32
    }

    /// Tells whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.running * 1000 < self.slots * self.capacity_per_mille
    }
}
