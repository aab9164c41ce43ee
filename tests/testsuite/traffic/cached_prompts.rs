//! Prompts whose long parts some targets have cached.

use chiverelay_decisions::config::Residency;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::traffic::InFlight;
use chiverelay_decisions::traffic::PromptPartUse;
use chiverelay_decisions::traffic::TargetInFlight;
use support::cases;

use super::World;
use super::ms;
use super::part;

/// Targets of the region.
const TARGETS: usize = 14;

/// Requests that other instances have at each target, of 64 slots.
const RUNNING: u32 = 48;

fn target(n: usize) -> Target {
    Target::from(format!("i-{n}"))
}

/// Returns a region whose targets are all as busy, each with prompts of its own.
fn region() -> World {
    let mut world = World::new(TARGETS, true);
    let at = |n| TargetInFlight {
        target: target(n),
        priority: 0,
        in_flight: InFlight {
            running: RUNNING,
            prefill_tokens: 0,
        },
    };
    let counts = (0..TARGETS).map(at).collect();
    world
        .traffic
        .update_remote_counts(&"two".into(), counts, ms(0));
    let uses = (0..TARGETS).map(|n| PromptPartUse {
        target: target(n),
        part: part(n as u64, 13_000),
    });
    let uses = uses.collect();
    world
        .traffic
        .record_remote_part_uses(&"two".into(), uses, ms(0));
    world
}

/// Pattern: many long prompts, each of which one of several equally busy targets
/// has cached.
///
/// Failure: half of the prompts were copied to other targets, which were no less
/// busy, as the random addition to the costs was larger than that of a copy.
#[test]
fn prompts_stay_where_they_are_cached_while_targets_are_as_busy() {
    let mut world = region();
    for n in 0..TARGETS {
        for own in 0..20 {
            let parts = [part(n as u64, 13_000), part(1_000 + own, 3_700)];
            let choice = world.choose(&parts, 16_700, &[], ms(10)).expect("a choice");
            assert_eq!(choice.target, target(n));
            assert_eq!(choice.estimate.cache_source, None, "nothing is copied");
        }
    }
}

/// Pattern: one of the targets has a queue.
#[test]
fn a_prompt_is_copied_from_a_target_that_has_a_queue() {
    let mut world = region();
    let queue = vec![TargetInFlight {
        target: target(0),
        priority: 0,
        in_flight: InFlight {
            running: 80,
            prefill_tokens: 60_000,
        },
    }];
    world
        .traffic
        .update_remote_counts(&"three".into(), queue, ms(5));
    let parts = [part(0, 13_000), part(1_000, 3_700)];
    let choice = world.choose(&parts, 16_700, &[], ms(10)).expect("a choice");
    assert_ne!(choice.target, target(0));
    assert!(choice.estimate.cache_source.is_some());
}

/// Pattern: a prompt whose parts only a target of another region has cached.
///
/// Failure: the parts were copied from there for requests that may not run in
/// that region.
fn the_source_of_a_copy(allowed: Residency, is_copied: bool) {
    let mut world = World::new(2, true);
    world.add_in("south", "i-south", ms(0));
    let part_use = PromptPartUse {
        target: "i-south".into(),
        part: part(0, 13_000),
    };
    world
        .traffic
        .record_remote_part_uses(&"two".into(), vec![part_use], ms(0));
    world.residency = allowed;
    let parts = [part(0, 13_000), part(1_000, 3_700)];
    let choice = world.choose(&parts, 16_700, &[], ms(10)).expect("a choice");
    assert_eq!(choice.estimate.cache_source.is_some(), is_copied);
}

cases! {
    the_source_of_a_copy:
    may_be_in_any_region(Residency::anywhere(), true);
    may_be_in_a_region_of_the_request(
        Residency::only(vec!["north".into(), "south".into()]), true);
    may_not_be_in_another_region(Residency::only(vec!["north".into()]), false);
}
