//! Lookups of instances by callers.

use std::collections::HashSet;
use std::net::SocketAddr;

use chiverelay_decisions::directory::Caller;
use chiverelay_decisions::directory::Distance;
use chiverelay_decisions::directory::HostRegions;
use chiverelay_decisions::directory::NoInstanceReason;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;

use crate::Dialect;
use crate::Gateway;
use crate::members::Nearest;

/// Returns the name of a lookup's result in metrics and log lines.
pub(crate) fn result_name(result: Result<Distance, NoInstanceReason>) -> &'static str {
    result.map_or_else(NoInstanceReason::as_str, Distance::as_str)
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Lists the addresses of the nearest ready instances for a caller in `zone`
    /// of `region`. `host` is the host of its requests. Instances of another
    /// region are listed only if it bars at most a small share of the host's bound
    /// requests.
    pub fn nearest_ready(&self, host: &str, zone: &Zone, region: &Region) -> Vec<SocketAddr> {
        let current = self.tables.current_catalog();
        let catalog = current.as_ref().map(|current| current.catalog.as_ref());
        let regions: HashSet<&Region> = self.settings.zone_regions.values().collect();
        let caller = Caller {
            zone: zone.clone(),
            region: region.clone(),
            host_regions: HostRegions::find(catalog, &self.tables.route_use.lock(), host, regions),
        };
        let is_cut_off = self.reach.is_cut_off();
        let now = self.clock.now();
        let nearest = self.members.nearest_ready(&caller, is_cut_off, now);
        self.metrics.count_lookup(nearest.distance);
        let is_near = nearest
            .distance
            .is_ok_and(|distance| distance < Distance::OtherRegion);
        if !is_near {
            let version = catalog.map_or(0, |catalog| catalog.version);
            self.log_far_lookup(host, region, &nearest, version);
        }
        nearest.addresses
    }

    /// Logs that a caller was told of instances of another region, or of none.
    fn log_far_lookup(&self, host: &str, region: &Region, nearest: &Nearest, version: u64) {
        if !self.log_rate_limit.should_log(self.clock.now()) {
            return;
        }
        let basis = &nearest.basis;
        let silent = basis.silence_in_region;
        log::info!(
            target: "lookup",
            host = host,
            region = region.as_str(),
            nearest = result_name(nearest.distance),
            named = nearest.addresses.len(),
            ready = basis.ready,
            known_near = basis.known_in_region,
            silent_ms = silent.map(|time| time.as_millis() as u64),
            catalog = version;
            "no instance of the caller's region is ready"
        );
    }
}
