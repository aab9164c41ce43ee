//! The budget for requests on the shared link to another region.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::limits::TokenBucket;
use crate::names::Region;
use crate::names::Zone;

/// Bytes on the link for one token of an answer that streams.
const ANSWER_BYTES_PER_TOKEN: u64 = 160;

/// Bytes on the link for one token of a prompt.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;

/// Seconds of the budget that may be spent at once.
const BURST_SECONDS: u64 = 2;

/// Megabits a second of a link where the settings state none.
pub const DEFAULT_MBITS: u64 = 140;

/// Share of a link that an instance's requests may take where the settings
/// state none, in percent.
pub const DEFAULT_SHARE_PERCENT: u64 = 10;

/// Round trip between regions where the settings state none, in milliseconds.
pub const DEFAULT_ROUND_TRIP_MS: u64 = 110;

/// Round trip between availability zones of a region where the settings state
/// none, in milliseconds.
pub const DEFAULT_ZONE_ROUND_TRIP_MS: u64 = 2;

/// What is known of the link to another region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSpec {
    /// Megabits a second of each way.
    pub mbits: u64,
    /// Share of the link that this instance's requests may take, in percent.
    pub share_percent: u64,
    /// Round trip.
    pub round_trip: Duration,
}

impl Default for LinkSpec {
    fn default() -> Self {
        Self {
            mbits: DEFAULT_MBITS,
            share_percent: DEFAULT_SHARE_PERCENT,
            round_trip: Duration::from_millis(DEFAULT_ROUND_TRIP_MS),
        }
    }
}

impl LinkSpec {
    /// Returns the bytes a second that requests of this instance may take.
    pub fn bytes_per_second(&self) -> u64 {
        self.mbits.saturating_mul(1_000_000 / 8) / 100 * self.share_percent
    }

    /// Returns the time that bytes take on the way.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        Duration::from_micros(bytes.saturating_mul(8) / self.mbits.max(1))
    }
}

/// What is known of the network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Network {
    /// Links to regions that differ from `link`.
    pub links: BTreeMap<Region, LinkSpec>,
    /// The link to any other region.
    pub default_link: LinkSpec,
    /// Round trip between availability zones of a region.
    pub zone_round_trip: Duration,
    /// The availability zone of this instance.
    pub zone: Option<Zone>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            links: BTreeMap::new(),
            default_link: LinkSpec::default(),
            zone_round_trip: Duration::from_millis(DEFAULT_ZONE_ROUND_TRIP_MS),
            zone: None,
        }
    }
}

impl Network {
    /// Returns what is known of the link to a region.
    pub fn link_to(&self, region: &Region) -> &LinkSpec {
        self.links.get(region).unwrap_or(&self.default_link)
    }
}

/// The link to one region.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    bucket: TokenBucket,
}

impl LinkBudget {
    /// Makes a link with its whole budget.
    pub fn new(spec: &LinkSpec, now: Duration) -> Self {
        let rate = spec.bytes_per_second();
        Self {
            bucket: TokenBucket::full(rate, rate * BURST_SECONDS, now),
        }
    }

    /// Returns the bytes of a request and its answer.
    pub fn request_bytes(prompt_tokens: u64, answer_tokens: u64) -> u64 {
        prompt_tokens * PROMPT_BYTES_PER_TOKEN + answer_tokens * ANSWER_BYTES_PER_TOKEN
    }

    /// Returns the time until so many bytes may go; `None` if they never may.
    pub fn time_until(&mut self, bytes: u64, now: Duration) -> Option<Duration> {
        self.bucket.time_until(bytes, now)
    }

    /// Spends bytes of the budget; false if it does not hold them now.
    pub fn try_spend(&mut self, bytes: u64, now: Duration) -> bool {
        self.bucket.try_take(bytes, now)
    }
}
