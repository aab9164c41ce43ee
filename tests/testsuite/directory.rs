//! Which instances callers are told of, where instances differ in size.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::Catalog;
use chiverelay_decisions::catalog::ClientLimits;
use chiverelay_decisions::catalog::RouteKind;
use chiverelay_decisions::catalog::RouteSpec;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::directory::Caller;
use chiverelay_decisions::directory::Candidate;
use chiverelay_decisions::directory::Distance;
use chiverelay_decisions::directory::HostRegions;
use chiverelay_decisions::directory::NoInstanceReason;
use chiverelay_decisions::directory::choose_advertised;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::route_use::BarredShare;
use chiverelay_decisions::route_use::RouteUse;
use support::cases;

/// Number of answers that a share is counted over.
const ANSWERS: usize = 4_000;

/// Instances of a zone by their capacity in thousandths of a core.
fn zone(capacities: &[u32]) -> Vec<Candidate<usize>> {
    let candidate = |(n, capacity): (usize, &u32)| Candidate {
        instance: format!("front-{n}").into(),
        capacity: *capacity,
        address: n,
    };
    capacities.iter().enumerate().map(candidate).collect()
}

/// Returns the share of callers of each instance, if each caller connects to
/// one address of its answer at random.
fn callers(capacities: &[u32]) -> Vec<f64> {
    let mut shares: HashMap<usize, f64> = HashMap::new();
    for key in 0..ANSWERS {
        let listed = choose_advertised(zone(capacities), &key.to_string());
        for n in &listed {
            *shares.entry(*n).or_default() += 1.0 / listed.len() as f64;
        }
    }
    let share = |n: usize| shares.get(&n).copied().unwrap_or_default() / ANSWERS as f64;
    (0..capacities.len()).map(share).collect()
}

/// Checks that no instance has more callers for its size than allowed.
fn check_burden(capacities: &[u32], most: f64) {
    let total: u32 = capacities.iter().sum();
    for (share, capacity) in callers(capacities).into_iter().zip(capacities) {
        let burden = share * f64::from(total) / f64::from(*capacity);
        assert!(burden <= most, "{burden:.2} times its part for {capacity}");
        assert!(share > 0.0, "an instance of {capacity} has no callers");
    }
}

cases! {
    check_burden:
    a_peak_before_two_large_and_eight_small_instances(
        &[500, 500, 120, 120, 120, 120, 120, 120, 120, 120], 1.25
    );
    a_peak_before_equal_instances(&[250; 12], 1.01);
    a_zone_that_has_lost_its_large_instances(&[120; 9], 1.01);
}

/// Checks the fewest addresses of an answer.
fn check_fewest(capacities: &[u32], fewest: usize) {
    let listed = |key: usize| choose_advertised(zone(capacities), &key.to_string()).len();
    assert_eq!((0..200).map(listed).min(), Some(fewest));
}

cases! {
    check_fewest:
    equal_instances_are_all_listed(&[250; 12], 12);
    an_instance_of_unknown_size_is_listed(&[500, 0, 0, 0, 0], 5);
    at_least_four_instances_are_listed(&[1_000, 10, 10, 10, 10, 10], 4);
    two_instances_are_listed_though_one_is_small(&[1_000, 10], 2);
    nobody_is_ready(&[], 0);
}

#[test]
fn the_small_instances_take_turns() {
    let listed: HashSet<usize> = (0..ANSWERS)
        .flat_map(|key| choose_advertised(zone(&[500, 500, 50, 50, 50, 50]), &key.to_string()))
        .collect();
    assert_eq!(listed.len(), 6);
}

/// What is known of a caller's host.
#[derive(Clone, Copy, Debug)]
enum Host {
    /// East bars none of its bound requests, north few, south many.
    IsBound,
    HasTooFewRequests,
    IsUnknown,
    HasNoCatalog,
}

impl Host {
    fn regions(self) -> HostRegions {
        let shares = match self {
            Self::IsUnknown => return HostRegions::UnknownHost,
            Self::HasNoCatalog => return HostRegions::NoCatalog,
            Self::IsBound => [BarredShare::Nothing, BarredShare::Small, BarredShare::Large],
            Self::HasTooFewRequests => [BarredShare::Unknown; 3],
        };
        let regions = ["east", "north", "south"].map(Region::from);
        HostRegions::Known(regions.into_iter().zip(shares).collect())
    }
}

/// Checks how far an instance is from a caller in west-a, if it may be named.
fn check_distance(host: Host, instance: (&str, &str), expected: Option<Distance>) {
    let caller = Caller {
        zone: "west-a".into(),
        region: "west".into(),
        host_regions: host.regions(),
    };
    let (zone, region) = instance;
    assert_eq!(caller.distance_to(&zone.into(), &region.into()), expected);
}

cases! {
    check_distance:
    the_own_zone_though_it_is_barred(
        Host::IsBound, ("west-a", "west"), Some(Distance::SameZone)
    );
    the_own_region_though_it_is_barred(
        Host::IsBound, ("west-b", "west"), Some(Distance::SameRegion)
    );
    a_region_that_bars_nothing(
        Host::IsBound, ("east-a", "east"), Some(Distance::OtherRegion)
    );
    a_region_that_bars_few_requests(
        Host::IsBound, ("north-a", "north"), Some(Distance::OtherRegionPartlyBarred)
    );
    a_region_that_bars_many_requests(Host::IsBound, ("south-a", "south"), None);
    a_region_that_nothing_is_known_of(Host::IsBound, ("far-a", "far"), None);
    no_barred_region_before_enough_requests(Host::HasTooFewRequests, ("east-a", "east"), None);
    no_other_region_for_an_unknown_host(Host::IsUnknown, ("east-a", "east"), None);
    the_own_region_for_an_unknown_host(
        Host::IsUnknown, ("west-b", "west"), Some(Distance::SameRegion)
    );
    no_other_region_before_the_first_catalog(Host::HasNoCatalog, ("east-a", "east"), None);
    the_own_region_before_the_first_catalog(
        Host::HasNoCatalog, ("west-b", "west"), Some(Distance::SameRegion)
    );
}

fn check_reason(host: Host, ready: usize, expected: NoInstanceReason) {
    assert_eq!(host.regions().reason_for_none(ready), expected);
}

cases! {
    check_reason:
    all_instances_are_down(Host::IsBound, 0, NoInstanceReason::NoneReady);
    those_that_are_ready_are_barred(Host::IsBound, 2, NoInstanceReason::Barred);
    too_few_requests_were_seen(Host::HasTooFewRequests, 2, NoInstanceReason::UnknownShare);
    the_host_is_unknown(Host::IsUnknown, 2, NoInstanceReason::UnknownHost);
    there_is_no_catalog(Host::HasNoCatalog, 2, NoInstanceReason::NoCatalog);
}

const HOST: &str = "desk.example";

/// Routes with little traffic each.
const RARE_ROUTES: usize = 350;

fn route(name: &str, regions: &[&str]) -> RouteSpec {
    let regions = regions
        .iter()
        .copied()
        .map(Region::from)
        .collect::<Vec<_>>();
    RouteSpec {
        name: name.into(),
        host: HOST.into(),
        path_prefix: format!("/{name}/").into(),
        kind: RouteKind::Idempotent,
        backends: Vec::new(),
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_millis(500),
        target_event_gap: Duration::from_millis(200),
        max_attempts: 2,
        priority: 2,
        public: true,
        residency: match regions.is_empty() {
            true => Residency::anywhere(),
            false => Residency::only(regions),
        },
    }
}

/// Builds the catalog of a host: most of its bound requests may run in the north
/// and the east, a few in `of_few` alone, the others anywhere.
fn catalog(of_few: &str) -> Catalog {
    let routes = vec![
        route("many", &["north", "east"]),
        route("few", &[of_few]),
        route("free", &[]),
    ];
    Catalog::new(1, routes, Vec::new(), Vec::new(), ClientLimits::default())
}

/// Requests on the routes of [`catalog`].
#[derive(Clone, Copy, Debug)]
struct Requests {
    many: usize,
    few: usize,
    free: usize,
}

impl Requests {
    fn record(self, route_use: &mut RouteUse, catalog: &Catalog) {
        for (name, count) in [("many", self.many), ("few", self.few), ("free", self.free)] {
            let route = catalog.find_route(HOST, &format!("/{name}/"));
            let route = route.expect("a route of the catalog");
            for _ in 0..count {
                if !route.residency.is_anywhere() {
                    route_use.record(catalog, &route.name);
                }
            }
        }
    }
}

/// Load pattern: the callers of a region whose instances are gone, while most of
/// the host's requests with homes may run in one region that is left and nearly
/// none in the other.
fn check_share(requests: Requests, region: &str, expected: BarredShare) {
    let catalog = catalog("north");
    let mut route_use = RouteUse::default();
    requests.record(&mut route_use, &catalog);
    assert_eq!(
        route_use.barred_share(&catalog, HOST, &region.into()),
        expected
    );
}

cases! {
    check_share:
    nothing_is_barred(Requests { many: 0, few: 0, free: 0 }, "north", BarredShare::Nothing);
    one_in_two_hundred(Requests { many: 796, few: 4, free: 0 }, "east", BarredShare::Small);
    one_in_twenty(Requests { many: 760, few: 40, free: 0 }, "east", BarredShare::Large);
    requests_that_run_anywhere_do_not_count(
        Requests { many: 760, few: 40, free: 5_000 }, "east", BarredShare::Large
    );
    nearly_all(Requests { many: 199, few: 1, free: 50 }, "south", BarredShare::Large);
    too_few_requests(Requests { many: 99, few: 0, free: 900 }, "east", BarredShare::Unknown);
    /// The true share may also be above one in forty.
    a_small_share_of_few_requests(
        Requests { many: 98, few: 2, free: 0 }, "east", BarredShare::Unknown
    );
    no_request_yet(Requests { many: 0, few: 0, free: 0 }, "east", BarredShare::Unknown);
}

/// Failure: counts that were rounded down when they are halved took a share that
/// many routes have together for a small one.
#[test]
fn a_share_of_many_routes_stays_large_for_long() {
    let rare = |n: usize| route(&format!("rare-{n}"), &["north"]);
    let mut routes: Vec<_> = (0..RARE_ROUTES).map(rare).collect();
    routes.push(route("many", &["north", "east"]));
    let catalog = Catalog::new(1, routes, Vec::new(), Vec::new(), ClientLimits::default());
    let mut route_use = RouteUse::default();
    for n in 0..60_000 {
        // Every twelfth request is one on a rare route.
        let name = match n % 12 {
            0 => format!("rare-{}", n / 12 % RARE_ROUTES),
            _ => "many".to_owned(),
        };
        route_use.record(&catalog, &name.as_str().into());
        let share = route_use.barred_share(&catalog, HOST, &"east".into());
        assert!(matches!(share, BarredShare::Large), "{share:?} after {n}");
    }
}

/// Failure: a route that was bound elsewhere until now would have the share of its
/// former requests.
#[test]
fn the_shares_are_counted_anew_once_routes_are_bound_to_other_regions() {
    let (before, after) = (catalog("north"), catalog("east"));
    let mut route_use = RouteUse::default();
    let requests = Requests {
        many: 200,
        few: 0,
        free: 0,
    };
    requests.record(&mut route_use, &before);
    let share = |route_use: &RouteUse| route_use.barred_share(&after, HOST, &"north".into());
    assert_eq!(share(&route_use), BarredShare::Unknown);
    requests.record(&mut route_use, &after);
    assert_eq!(share(&route_use), BarredShare::Small);
}
