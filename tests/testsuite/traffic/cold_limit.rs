//! The rate limit of cold targets, of which each instance has a share.

use std::time::Duration;

use chiverelay_decisions::names::Target;
use chiverelay_decisions::traffic::InFlight;
use chiverelay_decisions::traffic::NoTargetReason;
use chiverelay_decisions::traffic::RegionShares;
use chiverelay_decisions::traffic::TargetInFlight;
use chiverelay_decisions::window::Divisor;

use super::World;
use super::ms;

/// Pattern: a region that comes back cold.
#[test]
fn a_cold_target_gets_no_more_than_the_own_part() {
    let mut world = World::new(0, true);
    world.add("cold", ms(13_000));
    let sent = send_to_cold_target(&mut world, ms(10_010));
    // 13 a second, half as many again, and 3, for the one instance that is
    // known and one that may join.
    assert_eq!(sent, 11);
    assert_eq!(
        world.choose(&[], 300, &[], ms(10_020)),
        Err(NoTargetReason::AllCold)
    );
    let next = send_to_cold_target(&mut world, ms(11_100));
    assert_eq!(next, 11, "a second later");
    let warm = send_to_cold_target(&mut world, ms(13_100));
    assert_eq!(warm, 100);
}

/// Sends what one instance's part of a cold target allows at a moment.
fn send_to_cold_target(instance: &mut World, now: Duration) -> usize {
    (0..100)
        .filter(|_| instance.send(&[], 300, now).is_some())
        .count()
}

/// Pattern: all instances are killed and start again while a target is cold.
/// A new process that takes its part at once adds to what the process before it
/// sent in the same second, and the target crashes.
#[test]
fn a_restart_gives_no_new_part_of_a_cold_target() {
    let instances = 3;
    let start = || {
        let mut world = World::new(0, true);
        world.divisor = Divisor::new(instances);
        world.add("cold", ms(30_000));
        world
    };
    let mut sent = 0;
    for _ in 0..instances {
        sent += send_to_cold_target(&mut start(), ms(20_000));
        // Killed at once; the clock of the new process starts at 0.
        let mut restarted = start();
        for since_start in [0, 300, 900] {
            sent += send_to_cold_target(&mut restarted, ms(since_start));
        }
    }
    // 13 a second, half as many again, and 3.
    assert!(sent <= 22, "{sent} requests in one second");
}

/// A new process may send nothing to a cold target yet, but the warm one next
/// to it is free.
#[test]
fn a_restart_sends_to_the_warm_target_beside_a_cold_one() {
    let mut world = World::new(0, true);
    world.add("cold", ms(30_000));
    world.add("warm", ms(0));
    // The warm target has more to do, so the cold one is the cheaper.
    let warm = TargetInFlight {
        target: "warm".into(),
        priority: 0,
        in_flight: InFlight {
            running: 10,
            prefill_tokens: 0,
        },
    };
    world
        .traffic
        .update_remote_counts(&"two".into(), vec![warm], ms(50));
    let choice = world.choose(&[], 300, &[], ms(100));
    assert_eq!(choice.map(|c| c.target), Ok("warm".into()));
}

/// Pattern: targets that come back cold in a region of many instances, among
/// which an equal share of a target's limit is less than one request.
///
/// Failure: no instance sent anything to a cold target, and its requests were
/// refused until it was warm.
#[test]
fn a_cold_target_is_used_in_a_large_region() {
    const INSTANCES: usize = 69;
    let send = |position: usize, now: Duration| {
        let mut world = World::new(0, true);
        world.add("cold", ms(30_000));
        world.divisor = Divisor::new(INSTANCES);
        let rank = |_: &Target| position;
        let shares = RegionShares {
            rank: Some(&rank),
            ..world.shares()
        };
        let sent = (0..20).filter(|_| world.send_sharing(shares, now).is_some());
        sent.count()
    };
    let sent: usize = (0..INSTANCES).map(|n| send(n, ms(10_000))).sum();
    assert_eq!(sent, 13, "as many as the target takes in a second");
}

/// Right after its start an instance knows too few others to tell its position.
#[test]
fn a_cold_target_gets_nothing_from_an_instance_without_a_position() {
    let mut world = World::new(0, true);
    world.add("cold", ms(30_000));
    world.divisor = Divisor::new(69);
    assert_eq!(send_to_cold_target(&mut world, ms(10_000)), 0);
}
