//! How much callers use the routes whose requests are bound to regions.

use std::collections::HashMap;

use crate::catalog::Catalog;
use crate::names::Region;
use crate::names::Route;

/// Number of recorded requests at which all counts are halved, so that they
/// follow the traffic.
const MAX_RECORDED: f64 = 8_192.0;

/// Count below which a route is forgotten.
const MIN_COUNT: f64 = 0.01;

/// Largest share of a host's bound requests that may be led to a region which bars
/// them. It is half of the share that operators allow, as callers send what was
/// refused once more.
const MAX_BARRED_SHARE: f64 = 1.0 / 40.0;

/// Standard deviations between a count and its upper confidence bound.
const DEVIATIONS: f64 = 2.0;

/// How much of a host's bound requests a region bars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BarredShare {
    /// All of the host's routes may run there.
    Nothing,
    /// At most one in forty of the bound requests may not run there.
    Small,
    /// More than that may not.
    Large,
    /// Some may not, and too few requests were seen to tell how many.
    Unknown,
}

/// How often callers lately sent requests on each bound route.
///
/// # Invariants
///
/// All counts are of requests that were matched while the bound routes were those
/// of the digest `bound_routes`. Otherwise a route that was not bound before, or
/// has other regions now, would have the shares of former requests.
#[derive(Debug, Default)]
pub struct RouteUse {
    bound_routes: u64,
    counts: HashMap<Route, f64>,
    recorded: f64,
}

impl RouteUse {
    /// Records a request that a caller sent on a bound route of the catalog.
    pub fn record(&mut self, catalog: &Catalog, route: &Route) {
        if self.bound_routes != catalog.bound_routes_digest() {
            *self = Self {
                bound_routes: catalog.bound_routes_digest(),
                ..Self::default()
            };
        }
        *self.counts.entry(route.clone()).or_default() += 1.0;
        self.recorded += 1.0;
        if self.recorded >= MAX_RECORDED {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.recorded /= 2.0;
        self.counts.retain(|_, count| {
            *count /= 2.0;
            *count >= MIN_COUNT
        });
    }

    /// Returns how much of the bound requests of a host a region bars.
    pub fn barred_share(&self, catalog: &Catalog, host: &str, region: &Region) -> BarredShare {
        let is_known = self.bound_routes == catalog.bound_routes_digest();
        let mut bound = 0.0;
        let mut barred = 0.0;
        let mut bars_any = false;
        for route in catalog.bound_routes_of(host) {
            let count = self.counts.get(&route.name).filter(|_| is_known);
            let count = count.copied().unwrap_or_default();
            bound += count;
            if !route.residency.allows(region) {
                bars_any = true;
                barred += count;
            }
        }
        let allowed = bound * MAX_BARRED_SHARE;
        match bars_any {
            false => BarredShare::Nothing,
            true if barred > allowed => BarredShare::Large,
            true if upper_bound(barred) <= allowed => BarredShare::Small,
            true => BarredShare::Unknown,
        }
    }
}

/// Returns an upper confidence bound of the expected count where `seen` requests
/// were counted; it is 3 for none.
fn upper_bound(seen: f64) -> f64 {
    seen + 1.0 + DEVIATIONS * (seen + 1.0).sqrt()
}
