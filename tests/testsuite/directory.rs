//! Which instances callers are told of, where instances differ in size.

use std::collections::HashMap;
use std::collections::HashSet;

use chiverelay_decisions::config::Residency;
use chiverelay_decisions::directory::Caller;
use chiverelay_decisions::directory::Candidate;
use chiverelay_decisions::directory::Distance;
use chiverelay_decisions::directory::HostRegions;
use chiverelay_decisions::directory::Unnamed;
use chiverelay_decisions::directory::choose_advertised;
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

/// What the catalog says of a caller's host.
#[derive(Clone, Copy, Debug)]
enum Host {
    RunsAnywhere,
    /// Only in the north and the east.
    IsBound,
    IsUnknown,
    HasNoCatalog,
}

impl Host {
    fn regions(self) -> HostRegions {
        match self {
            Self::RunsAnywhere => HostRegions::Known(Residency::anywhere()),
            Self::IsBound => {
                HostRegions::Known(Residency::only(vec!["north".into(), "east".into()]))
            }
            Self::IsUnknown => HostRegions::UnknownHost,
            Self::HasNoCatalog => HostRegions::NoCatalog,
        }
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
    a_region_where_all_routes_may_run(
        Host::IsBound, ("east-a", "east"), Some(Distance::OtherRegion)
    );
    a_region_that_bars_a_route(Host::IsBound, ("south-a", "south"), None);
    any_region_for_a_host_that_is_not_bound(
        Host::RunsAnywhere, ("south-a", "south"), Some(Distance::OtherRegion)
    );
    no_other_region_for_an_unknown_host(Host::IsUnknown, ("east-a", "east"), None);
    the_own_region_for_an_unknown_host(
        Host::IsUnknown, ("west-b", "west"), Some(Distance::SameRegion)
    );
    no_other_region_before_the_first_catalog(Host::HasNoCatalog, ("east-a", "east"), None);
    the_own_region_before_the_first_catalog(
        Host::HasNoCatalog, ("west-b", "west"), Some(Distance::SameRegion)
    );
}

fn check_reason(host: Host, ready: usize, expected: Unnamed) {
    assert_eq!(host.regions().reason_for_none(ready), expected);
}

cases! {
    check_reason:
    all_instances_are_down(Host::IsBound, 0, Unnamed::NoneReady);
    those_that_are_ready_are_barred(Host::IsBound, 2, Unnamed::Barred);
    the_host_is_unknown(Host::IsUnknown, 2, Unnamed::UnknownHost);
    there_is_no_catalog(Host::HasNoCatalog, 2, Unnamed::NoCatalog);
}
