//! Bandwidth budgets for the requests on links to other regions.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::limits::TokenBucket;
use crate::names::Region;
use crate::names::Zone;

/// Bytes on the link for a token of a streamed answer.
const ANSWER_BYTES_PER_TOKEN: u64 = 160;

/// Bytes on the link for a token of a prompt.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;

/// Largest burst of a link's budget, in seconds of its rate.
const BURST_SECONDS: u64 = 2;

/// Default bandwidth of a link, in megabits a second.
pub const DEFAULT_MBITS: u64 = 140;

/// Default share of a link that the requests of an instance may use, in
/// percent.
pub const DEFAULT_SHARE_PERCENT: u64 = 10;

/// Default round trip between regions, in milliseconds.
pub const DEFAULT_ROUND_TRIP_MS: u64 = 110;

/// Default round trip between availability zones of a region, in milliseconds.
pub const DEFAULT_ZONE_ROUND_TRIP_MS: u64 = 2;

/// Properties of the link to another region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSpec {
    /// Bandwidth in each direction, in megabits a second.
    pub mbits: u64,
    /// Share of the link that the requests of this instance may use, in
    /// percent.
    pub share_percent: u64,
    /// Network round trip to the region.
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
    /// Returns the bytes a second that the requests of this instance may use.
    pub fn bytes_per_second(&self) -> u64 {
        self.mbits.saturating_mul(1_000_000 / 8) / 100 * self.share_percent
    }

    /// Returns the time in which the link transfers `bytes`.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        Duration::from_micros(bytes.saturating_mul(8) / self.mbits.max(1))
    }
}

/// Properties of the network between zones and regions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Network {
    /// Links with properties of their own, by region.
    pub links: BTreeMap<Region, LinkSpec>,
    /// Properties of each link that is not in `links`.
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
    /// Returns the properties of the link to a region.
    pub fn link_to(&self, region: &Region) -> &LinkSpec {
        self.links.get(region).unwrap_or(&self.default_link)
    }
}

/// The bandwidth budget of this instance on the link to a region.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    bucket: TokenBucket,
}

impl LinkBudget {
    /// Creates a full budget.
    pub fn new(spec: &LinkSpec, now: Duration) -> Self {
        let rate = spec.bytes_per_second();
        Self {
            bucket: TokenBucket::full(rate, rate * BURST_SECONDS, now),
        }
    }

    /// Estimates the bytes of a request and its answer on the link.
    pub fn request_bytes(prompt_tokens: u64, answer_tokens: u64) -> u64 {
        prompt_tokens * PROMPT_BYTES_PER_TOKEN + answer_tokens * ANSWER_BYTES_PER_TOKEN
    }

    /// Returns the time until the budget allows `bytes`; `None` if it never
    /// will.
    pub fn time_until(&mut self, bytes: u64, now: Duration) -> Option<Duration> {
        self.bucket.time_until(bytes, now)
    }

    /// Spends `bytes` of the budget; returns false if too little is left now.
    pub fn try_spend(&mut self, bytes: u64, now: Duration) -> bool {
        self.bucket.try_take(bytes, now)
    }
}
