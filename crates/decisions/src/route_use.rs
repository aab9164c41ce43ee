//! How much callers use the routes whose requests are bound to regions.

use std::collections::HashMap;

use crate::catalog::Catalog;
use crate::names::Region;
use crate::names::Route;

/// Number of requests on a host's bound routes from which on their shares count.
const MIN_SAMPLE: u32 = 100;

/// Number of recorded requests at which all counts are halved, so that they
/// follow the traffic.
const MAX_RECORDED: u32 = 8_192;

/// One in this many of a host's bound requests may be led to a region that bars
/// them.
const BARRED_SHARE: u32 = 20;

/// How much of a host's bound requests a region bars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BarredShare {
    /// All of the host's routes may run there.
    None,
    /// At most one in twenty of the bound requests may not run there.
    Small,
    /// More than that may not.
    Large,
    /// Some may not, and too few requests were seen to tell how many.
    Unknown,
}

/// How often callers lately sent requests on each route.
///
/// # Invariants
///
/// All counts are of requests that were matched while the bound routes were those
/// of the digest `bound_routes`. A route that was not bound before, or has other
/// regions, would have the shares of former requests.
#[derive(Debug, Default)]
pub struct RouteUse {
    bound_routes: u64,
    counts: HashMap<Route, u32>,
    recorded: u32,
}

impl RouteUse {
    /// Records a request that a caller sent on a route of the catalog.
    pub fn record(&mut self, catalog: &Catalog, route: &Route) {
        if self.bound_routes != catalog.bound_routes_digest() {
            *self = Self {
                bound_routes: catalog.bound_routes_digest(),
                ..Self::default()
            };
        }
        *self.counts.entry(route.clone()).or_default() += 1;
        self.recorded += 1;
        if self.recorded >= MAX_RECORDED {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
        self.recorded = self.counts.values().sum();
    }

    /// Returns how much of the bound requests of a host a region bars.
    pub fn barred_share(&self, catalog: &Catalog, host: &str, region: &Region) -> BarredShare {
        let mut bound = 0_u32;
        let mut barred = 0_u32;
        let mut bars_any = false;
        for route in catalog.bound_routes_of(host) {
            let count = self.counts.get(&route.name).copied().unwrap_or_default();
            bound += count;
            if !route.residency.allows(region) {
                bars_any = true;
                barred += count;
            }
        }
        let is_sample = self.bound_routes == catalog.bound_routes_digest() && bound >= MIN_SAMPLE;
        match (bars_any, is_sample) {
            (false, _) => BarredShare::None,
            (true, false) => BarredShare::Unknown,
            (true, true) if barred.saturating_mul(BARRED_SHARE) <= bound => BarredShare::Small,
            (true, true) => BarredShare::Large,
        }
    }
}
