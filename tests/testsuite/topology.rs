//! Which instances exchange messages directly, in fleets of all sizes.

use std::collections::HashMap;
use std::collections::HashSet;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::topology::Candidate;
use chiverelay_decisions::topology::FormerFellowHubs;
use chiverelay_decisions::topology::choose_forward_peers;
use chiverelay_decisions::topology::choose_hubs;
use chiverelay_decisions::topology::hub_count;
use chiverelay_decisions::topology::rank_hubs;
use chiverelay_decisions::window::Divisor;
use quickcheck::QuickCheck;

fn name(n: usize) -> Instance {
    Instance::from(format!("front-{n}"))
}

/// Returns instances of which each `nth_large` has more processor time.
fn region(instances: usize, nth_large: usize) -> Vec<Candidate> {
    let candidate = |n: usize| Candidate {
        instance: name(n),
        capacity: if n.is_multiple_of(nth_large) {
            500
        } else {
            120
        },
    };
    (0..instances).map(candidate).collect()
}

fn check_hub_count(instances: usize, hubs: usize) {
    assert_eq!(hub_count(instances), hubs);
    assert_eq!(choose_hubs(region(instances, 10), instances).len(), hubs);
}

support::cases! {
    check_hub_count:
    no_instance(0, 0);
    the_only_instance_of_a_region(1, 1);
    all_instances_of_a_small_region(8, 8);
    a_region_that_has_outgrown_that(9, 4);
    a_region_of_a_grown_fleet(24, 4);
    a_region_of_a_fleet_of_hundreds(69, 9);
    a_region_of_330_instances(330, 42);
}

#[test]
fn the_largest_instances_are_the_hubs() {
    let hubs = choose_hubs(region(60, 10), 60);
    let large: HashSet<Instance> = (0..60).step_by(10).map(name).collect();
    assert!(hubs.iter().take(large.len()).all(|hub| large.contains(hub)));
}

/// Every instance chooses by itself, and may have heard of the others in any
/// order.
#[test]
fn hubs_do_not_depend_on_the_order_of_the_instances() {
    let mut reversed = region(40, 7);
    reversed.reverse();
    assert_eq!(choose_hubs(region(40, 7), 40), choose_hubs(reversed, 40));
}

#[test]
fn an_instance_that_ends_changes_one_hub_at_most() {
    let all = region(60, 10);
    let hubs = choose_hubs(all.clone(), 60);
    for gone in &all {
        let mut left = all.clone();
        left.retain(|candidate| candidate != gone);
        let after: HashSet<Instance> = choose_hubs(left, 60).into_iter().collect();
        let kept = hubs.iter().filter(|hub| after.contains(*hub)).count();
        let was_hub = hubs.contains(&gone.instance);
        assert_eq!(kept, hubs.len() - usize::from(was_hub));
    }
}

/// Pattern: a fleet of any size. The instances that report to one hub and the
/// forwards that one instance gets don't grow with the fleet.
#[test]
fn no_instance_has_many_more_links_than_others() {
    let balanced = |instances: u16| {
        let instances = usize::from(instances) % 330 + 9;
        let hubs = choose_hubs(region(instances, 10), instances);
        let mut reporters: HashMap<Instance, usize> = HashMap::new();
        let mut forwards: HashMap<Instance, usize> = HashMap::new();
        let all: Vec<Instance> = (0..instances).map(name).collect();
        for n in 0..instances {
            let far = Instance::from(format!("far-{n}"));
            *reporters
                .entry(rank_hubs(&far, &hubs)[0].clone())
                .or_default() += 1;
            for peer in choose_forward_peers(&far, &all) {
                *forwards.entry(peer).or_default() += 1;
            }
        }
        let most = |counts: &HashMap<Instance, usize>| counts.values().copied().max();
        most(&reporters) <= Some(24) && most(&forwards) <= Some(16)
    };
    QuickCheck::new().quickcheck(balanced as fn(u16) -> bool);
}

/// Shares of a limit are at the hubs. With none of them in touch with another
/// they are no more than the limit together, and a hub of a large fleet has a
/// share that is as large as in a fleet of a few dozen instances.
#[test]
fn shares_of_a_limit_do_not_shrink_with_the_fleet() {
    let sound = |sizes: Vec<u16>| {
        let sizes: Vec<usize> = sizes.iter().map(|n| usize::from(*n) % 120 + 1).collect();
        let hubs: usize = sizes.iter().map(|n| hub_count(*n)).sum();
        let share = Divisor::new(hubs.max(1)).share(1.0);
        let instances: usize = sizes.iter().sum();
        let is_small = sizes.iter().all(|n| *n <= 8);
        share * hubs as f64 <= 1.0 && (is_small || hubs <= instances.div_ceil(8) + 8 * sizes.len())
    };
    QuickCheck::new().quickcheck(sound as fn(Vec<u16>) -> bool);
}

/// Load pattern: all hubs of a region are replaced at once. None of them passes a
/// charge of another on, so that no charge goes to and fro.
#[test]
fn former_hubs_pass_no_charges_of_each_other_on() {
    let hubs = choose_hubs(region(40, 0), 40);
    for hub in &hubs {
        let others = hubs.iter().filter(|other| *other != hub).cloned();
        let former = FormerFellowHubs::new(others.collect());
        let passed: Vec<_> = (0..40)
            .map(name)
            .filter(|reporter| reporter != hub && former.passes_charges_of(reporter))
            .collect();
        assert_eq!(passed.len(), 40 - hubs.len());
        assert!(hubs.iter().all(|other| !passed.contains(other)));
    }
    let never_a_hub = FormerFellowHubs::default();
    assert!(!never_a_hub.passes_charges_of(&name(0)));
}
