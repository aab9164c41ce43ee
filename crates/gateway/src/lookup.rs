//! Lookups of instances by callers.

use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_decisions::directory::Distance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;

use crate::Dialect;
use crate::Gateway;
use crate::members::Nearest;

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Lists the addresses of the nearest ready instances for a caller in
    /// `zone`. `host` is the host of its requests; regions that may not answer
    /// some of that host's routes count as farther, and nobody is listed of one
    /// that may answer none.
    pub fn nearest_ready(&self, host: &str, zone: &Zone, region: &Region) -> Vec<SocketAddr> {
        let current = self.tables.current_catalog();
        let count_barred_routes = |region: &Region| {
            let catalog = current.as_ref().map(|c| &c.catalog);
            catalog.map_or(0, |catalog| {
                catalog.count_routes_not_allowed_in(host, region)
            })
        };
        let now = self.clock.now();
        let is_cut_off = self.reach.is_cut_off();
        let nearest =
            self.members
                .nearest_ready(zone, region, count_barred_routes, is_cut_off, now);
        // Instances that may run none of the host's routes would be sent the bodies
        // of requests that they can only refuse.
        let catalog = current.as_ref().map(|c| &c.catalog);
        let routes = catalog.map_or(0, |catalog| catalog.count_routes(host));
        let is_useful = |distance: Distance| distance.may_run_any(routes);
        let nearest = match nearest.distance.is_some_and(is_useful) {
            true => nearest,
            false => Nearest {
                basis: nearest.basis,
                ..Nearest::default()
            },
        };
        self.metrics.count_lookup(nearest.distance);
        if nearest.distance.is_none_or(Distance::is_in_other_region) {
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
        let millis = |time: Option<Duration>| time.map(|time| time.as_millis() as u64);
        log::info!(
            target: "lookup",
            host = host,
            region = region.as_str(),
            nearest = nearest.distance.map_or("none", Distance::as_str),
            named = nearest.addresses.len(),
            ready = basis.ready,
            known_near = basis.known_in_region,
            silent_ms = millis(basis.silence_in_region),
            since_stop_ms = millis(basis.since_stop),
            catalog = version;
            "no instance of the caller's region is ready"
        );
    }
}
