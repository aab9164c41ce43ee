//! The budget for requests on the shared link to another region.

use std::time::Duration;

use crate::limits::Bucket;
use crate::names::Zone;

/// Bytes on the link for one token of an answer that streams.
const ANSWER_BYTES_PER_TOKEN: u64 = 160;

/// Bytes on the link for one token of a prompt.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;

/// Seconds of the budget that may be spent at once.
const BURST_SECONDS: u64 = 2;

/// What is known of the network between regions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Network {
    /// Megabits a second of each way between two regions.
    pub link_mbits: u64,
    /// Share of a link that this instance's requests may take, in percent.
    pub share_percent: u64,
    /// Round trip between regions.
    pub round_trip: Duration,
    /// Round trip between availability zones of a region.
    pub zone_round_trip: Duration,
    /// The availability zone of this instance.
    pub zone: Option<Zone>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            link_mbits: 140,
            share_percent: 10,
            round_trip: Duration::from_millis(110),
            zone_round_trip: Duration::from_millis(2),
            zone: None,
        }
    }
}

impl Network {
    /// Returns the bytes a second that requests of this instance may take.
    pub fn budget(&self) -> u64 {
        self.link_mbits * 1_000_000 / 8 * self.share_percent / 100
    }
}

/// The link to one region.
#[derive(Clone, Debug)]
pub struct Link {
    budget: Bucket,
}

impl Link {
    /// Makes a link with its whole budget.
    pub fn new(network: &Network, now: Duration) -> Self {
        let rate = network.budget();
        Self {
            budget: Bucket::full(rate, rate * BURST_SECONDS, now),
        }
    }

    /// Returns the bytes of a request and its answer.
    pub fn bytes(prompt_tokens: u64, answer_tokens: u64) -> u64 {
        prompt_tokens * PROMPT_BYTES_PER_TOKEN + answer_tokens * ANSWER_BYTES_PER_TOKEN
    }

    /// Returns the time until so many bytes may go; `None` if they never may.
    pub fn wait(&mut self, bytes: u64, now: Duration) -> Option<Duration> {
        self.budget.wait(bytes, now)
    }

    /// Spends bytes of the budget; false if it does not hold them now.
    pub fn take(&mut self, bytes: u64, now: Duration) -> bool {
        self.budget.take(bytes, now)
    }
}
