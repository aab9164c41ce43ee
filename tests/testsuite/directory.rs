//! Which instances callers are told of, where instances differ in size.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::directory::Candidate;
use chiverelay_decisions::directory::Distance;
use chiverelay_decisions::directory::RESTART_TIME;
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

/// Time since the last stop of a nearer instance.
const LONG_AGO: Duration = RESTART_TIME;

fn check_named(distance: Distance, last_stop_ago: Option<Duration>, expected: bool) {
    let now = Duration::from_secs(100);
    let last_stop = last_stop_ago.map(|ago| now - ago);
    assert_eq!(distance.may_be_named(last_stop, now), expected);
}

cases! {
    check_named:
    the_own_zone(Distance::SameZone, Some(Duration::ZERO), true);
    the_own_region(Distance::SameRegion, Some(Duration::ZERO), true);
    a_region_for_all_routes(Distance::OtherRegion(0), Some(Duration::ZERO), true);
    a_barred_region_beside_a_restart(Distance::OtherRegion(1), Some(Duration::ZERO), false);
    a_barred_region_after_a_restart(Distance::OtherRegion(1), Some(LONG_AGO), true);
    a_barred_region_without_a_stop(Distance::OtherRegion(1), None, true);
}

fn check_useful(distance: Distance, routes: usize, expected: bool) {
    assert_eq!(distance.may_run_any(routes), expected);
}

cases! {
    check_useful:
    its_own_region_whatever_is_barred(Distance::SameRegion, 2, true);
    a_region_that_bars_none(Distance::OtherRegion(0), 2, true);
    a_region_that_bars_one_of_two(Distance::OtherRegion(1), 2, true);
    a_region_that_bars_all(Distance::OtherRegion(2), 2, false);
    any_region_for_an_unknown_host(Distance::OtherRegion(0), 0, true);
}
