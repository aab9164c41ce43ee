//! The network that the instance stands in.

use std::collections::BTreeMap;
use std::time::Duration;

use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::placement::DEFAULT_MBITS;
use chiverelay_decisions::placement::DEFAULT_ROUND_TRIP_MS;
use chiverelay_decisions::placement::DEFAULT_SHARE_PERCENT;
use chiverelay_decisions::placement::DEFAULT_ZONE_ROUND_TRIP_MS;
use chiverelay_decisions::placement::LinkSpec;
use chiverelay_decisions::placement::Network;
use chiverelay_operator::read_struct;

use super::at_least_one;

/// Longest round trip in milliseconds.
const MAX_ROUND_TRIP_MS: u64 = 10_000;

/// The network that the instance stands in.
#[derive(Clone, Debug)]
pub(crate) struct NetworkSettings {
    /// Round trip between availability zones of the region, in milliseconds.
    pub(crate) zone_round_trip_ms: u64,
    /// The link to any region that `links` doesn't list.
    pub(crate) link: LinkSettings,
    /// Links to regions that differ from `link`.
    pub(crate) links: BTreeMap<Region, LinkSettings>,
}

/// The link to another region.
#[derive(Clone, Debug)]
pub(crate) struct LinkSettings {
    /// Megabits a second of each way.
    pub(crate) mbits: u64,
    /// Share of it that requests of this instance may take, in percent.
    pub(crate) share_percent: u64,
    /// Round trip in milliseconds.
    pub(crate) round_trip_ms: u64,
}

impl Default for NetworkSettings {
    fn default() -> Self {
        Self {
            zone_round_trip_ms: DEFAULT_ZONE_ROUND_TRIP_MS,
            link: LinkSettings::default(),
            links: BTreeMap::new(),
        }
    }
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            mbits: DEFAULT_MBITS,
            share_percent: DEFAULT_SHARE_PERCENT,
            round_trip_ms: DEFAULT_ROUND_TRIP_MS,
        }
    }
}

read_struct!(NetworkSettings {
    zone_round_trip_ms = DEFAULT_ZONE_ROUND_TRIP_MS => round_trip,
    link = LinkSettings::default(),
    links = BTreeMap::new(),
});

read_struct!(LinkSettings {
    mbits = DEFAULT_MBITS => at_least_one,
    share_percent = DEFAULT_SHARE_PERCENT => percent,
    round_trip_ms = DEFAULT_ROUND_TRIP_MS => round_trip,
});

fn percent(n: &u64) -> Result<(), String> {
    match n {
        1..=100 => Ok(()),
        _ => Err("a share is 1 to 100 percent".to_owned()),
    }
}

fn round_trip(ms: &u64) -> Result<(), String> {
    if *ms > MAX_ROUND_TRIP_MS {
        return Err(format!("a round trip is at most {MAX_ROUND_TRIP_MS} ms"));
    }
    Ok(())
}

impl LinkSettings {
    fn spec(&self) -> LinkSpec {
        LinkSpec {
            mbits: self.mbits,
            share_percent: self.share_percent,
            round_trip: Duration::from_millis(self.round_trip_ms),
        }
    }
}

impl NetworkSettings {
    /// Returns the network as an instance in `zone` sees it.
    pub(crate) fn network(&self, zone: &Zone) -> Network {
        Network {
            links: self
                .links
                .iter()
                .map(|(region, link)| (region.clone(), link.spec()))
                .collect(),
            default_link: self.link.spec(),
            zone_round_trip: Duration::from_millis(self.zone_round_trip_ms),
            zone: Some(zone.clone()),
        }
    }
}
