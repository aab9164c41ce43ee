//! Summary of a pool in one region, as sent to the other regions.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Pool;

/// State of a pool's targets in one region.
///
/// Usable targets are those that are healthy or suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PoolSummary {
    /// The pool.
    pub pool: Pool,
    /// Requests that the usable targets can run at once.
    pub slots: u32,
    /// Requests that run or wait at these targets.
    pub running: u32,
    /// Requests that wait in the queue of the instance that sent the summary.
    pub queued: u32,
    /// Expected time to the first token of an empty prompt, in milliseconds, as
    /// the median over these targets.
    pub first_token_ms: u32,
    /// Prompt tokens that one target prefills a second.
    pub prefill_rate: u32,
}

impl PoolSummary {
    /// Returns the expected time to the first token of a prompt that is not
    /// cached in the region, without the network time to the region.
    pub fn time_to_first_token(&self, prompt_tokens: u64) -> Duration {
        let rate = u64::from(self.prefill_rate.max(1));
        let prefill = Duration::from_millis(prompt_tokens * 1000 / rate);
        Duration::from_millis(u64::from(self.first_token_ms)) + prefill
    }

    /// Returns whether a slot is free and no request waits for it.
    pub fn has_free_slot(&self) -> bool {
        self.queued == 0 && self.running < self.slots
    }
}
