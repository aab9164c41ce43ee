//! Pauses that targets ask for when they turn requests away.

use chiverelay_decisions::traffic::NoTargetReason;

use super::Duration;
use super::World;
use super::cases;
use super::ms;

const ASKED_AT: Duration = Duration::from_secs(10);

/// A target that had asked for a pause got requests as before.
#[test]
fn a_paused_target_gets_nothing_until_its_pause_ends() {
    let mut world = World::new(2, true);
    world
        .traffic
        .record_pause(&"i-0".into(), ms(2_000), ASKED_AT);
    for n in 0..100 {
        let place = world.send(&[], 300, ASKED_AT + ms(20 * n));
        assert_eq!(place.expect("a target").target, "i-1".into());
    }
    let later = (0..50).filter_map(|n| world.send(&[], 300, ASKED_AT + ms(2_000 + 20 * n)));
    assert!(later.into_iter().any(|place| place.target == "i-0".into()));
}

/// Where all are paused, callers are told when the first of them is back.
#[test]
fn a_request_is_refused_until_the_first_pause_ends() {
    let mut world = World::new(2, true);
    for (target, pause) in [("i-0", 3_000), ("i-1", 2_000)] {
        world
            .traffic
            .record_pause(&target.into(), ms(pause), ASKED_AT);
    }
    let refused = world.choose(&[], 300, &[], ASKED_AT + ms(500));
    assert_eq!(refused, Err(NoTargetReason::AllPaused(ms(1_500))));
}

fn check_left_of_two(first: Duration, second: Duration, left: Option<Duration>) {
    let mut world = World::new(1, true);
    let target = "i-0".into();
    world.traffic.record_pause(&target, first, ASKED_AT);
    world
        .traffic
        .record_pause(&target, second, ASKED_AT + ms(100));
    assert_eq!(world.traffic.pause_left(&target, ASKED_AT + ms(100)), left);
}

cases! {
    check_left_of_two:
    a_shorter_pause_leaves_a_longer_one(ms(2_000), ms(500), Some(ms(1_900)));
    a_longer_pause_replaces_a_shorter_one(ms(500), ms(2_000), Some(ms(2_000)));
    a_pause_that_no_clock_holds_ends(ms(500), Duration::MAX, Some(Duration::from_secs(300)));
    a_pause_that_is_over_is_none(ms(100), ms(0), None);
}

/// The next process at the target's name has asked for nothing.
#[test]
fn a_target_that_restarts_is_not_paused() {
    let mut world = World::new(1, true);
    world
        .traffic
        .record_pause(&"i-0".into(), ms(2_000), ASKED_AT);
    world.traffic.reset_target(&"i-0".into(), ASKED_AT);
    assert!(world.choose(&[], 300, &[], ASKED_AT).is_ok());
}

/// Guards against requests within a target's pause after its record was missing
/// for a while and is listed again.
#[test]
fn a_pause_outlasts_the_absence_of_the_targets_record() {
    let mut world = World::new(1, true);
    world
        .traffic
        .record_pause(&"i-0".into(), ms(2_000), ASKED_AT);
    world.traffic.remove_target(&"i-0".into());
    let refused = world.choose(&[], 300, &[], ASKED_AT);
    assert_eq!(refused, Err(NoTargetReason::AllPaused(ms(2_000))));
}
