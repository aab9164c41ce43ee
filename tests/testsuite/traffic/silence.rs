//! What a target's silence counts for, against its failures.

use chiverelay_decisions::traffic::InFlight;
use chiverelay_decisions::traffic::NoTargetReason;
use chiverelay_decisions::traffic::Reservation;
use chiverelay_decisions::traffic::TargetInFlight;
use chiverelay_decisions::traffic::TargetOutcome;
use support::cases;

use super::World;
use super::ms;

/// Tells whether the only target is ejected.
fn is_ejected(world: &mut World, at: u64) -> bool {
    let choice = world.choose(&[], 10, &[], ms(at));
    matches!(choice, Err(NoTargetReason::NoneHealthy))
}

/// Ends three requests of one moment after a silence of the only target.
fn check_silence(outcome: TargetOutcome, silent_ms: u64, ejected: bool) {
    let mut world = World::new(1, false);
    let sent: Vec<_> = (0..3)
        .map(|_| world.send(&[], 10, ms(10)).expect("a place"))
        .collect();
    for place in sent {
        world.traffic.release(place, outcome, ms(10 + silent_ms));
    }
    assert_eq!(is_ejected(&mut world, 20 + silent_ms), ejected);
}

// Failure: a sound target that was silent for a second or two was ejected, as
// requests ended meanwhile.
cases! {
    check_silence:
    a_sound_silence_with_deadlines_in_it_ejects_nobody(TargetOutcome::TimedOut, 2000, false);
    a_sound_silence_in_which_callers_leave_ejects_nobody(TargetOutcome::Cancelled, 2000, false);
    a_longer_silence_with_deadlines_in_it_ejects(TargetOutcome::TimedOut, 2500, true);
    a_longer_silence_in_which_callers_leave_ejects(TargetOutcome::Cancelled, 2500, true);
}

/// Failure: a target that hangs was never ejected, as each of its requests had a
/// deadline within the silence of a sound target.
#[test]
fn silences_of_successive_requests_add_up() {
    let mut world = World::new(1, false);
    for n in 0..4 {
        let place = world.send(&[], 10, ms(n * 1000)).expect("a place");
        let end = ms(n * 1000 + 900);
        world.traffic.release(place, TargetOutcome::TimedOut, end);
    }
    assert!(is_ejected(&mut world, 3950));
}

/// Failure: targets were ejected as callers left streams, or as deadlines of
/// streams passed, whose events had come all the while.
#[test]
fn a_stream_with_events_is_a_sign_of_life() {
    for outcome in [TargetOutcome::Cancelled, TargetOutcome::TimedOut] {
        let mut world = World::new(1, false);
        for _ in 0..3 {
            let place = world.send(&[], 10, ms(10)).expect("a place");
            world.traffic.record_sign_of_life(&place, ms(3900));
            world.traffic.release(place, outcome, ms(4000));
        }
        assert!(!is_ejected(&mut world, 4010), "{outcome:?}");
    }
}

/// Pattern: a target that takes requests and never answers, until their callers
/// leave.
fn check_given_up(answers_meanwhile: bool, chosen: &str) {
    let mut world = World::new(2, true);
    let mut held: Vec<Reservation> = (0..3)
        .map(|_| world.send_past(&["i-1".into()], ms(0)))
        .collect();
    if answers_meanwhile {
        let place = held.pop().expect("a request");
        world.traffic.record_first_event(&place, ms(2400));
        world
            .traffic
            .release(place, TargetOutcome::Answered, ms(2400));
    }
    for place in held {
        world
            .traffic
            .release(place, TargetOutcome::Cancelled, ms(2500));
    }
    // Another request runs at the other target.
    let in_flight = InFlight {
        running: 8,
        prefill_tokens: 300,
    };
    let counts = vec![TargetInFlight {
        target: "i-1".into(),
        priority: 0,
        in_flight,
    }];
    world
        .traffic
        .update_remote_counts(&"front-2".into(), counts, ms(2500));
    let choice = world.choose(&[], 300, &[], ms(2510)).expect("a target");
    assert_eq!(choice.target.as_str(), chosen);
}

cases! {
    check_given_up:
    a_target_that_answers_nobody_is_passed_over(false, "i-1");
    a_target_that_answered_another_is_not(true, "i-0");
}
