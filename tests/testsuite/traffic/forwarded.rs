//! What is sent to another region, before that region tells of it.

use chiverelay_decisions::directory::callers_ratio;
use chiverelay_decisions::traffic::ForwardedLoad;
use support::cases;

use super::World;
use super::ms;

/// Returns a request of an instance whose region has so many times its callers.
fn forwarded(tokens: u32, callers_ratio: f64) -> ForwardedLoad {
    ForwardedLoad {
        priority: 0,
        tokens,
        callers_ratio,
    }
}

/// Pattern: a regional peak that spills; statuses come back late.
#[test]
fn what_was_just_sent_away_counts_until_it_is_told() {
    let mut world = World::new(2, true);
    let before = world
        .choose(&[], 5_000, &[], ms(0))
        .expect("a choice")
        .estimate
        .wait;
    for _ in 0..10 {
        world
            .traffic
            .record_forward(&"north".into(), &world.pool, forwarded(5_000, 1.0), ms(0));
    }
    let wait = |world: &mut World, now| {
        world
            .choose(&[], 5_000, &[], now)
            .expect("a choice")
            .estimate
            .wait
    };
    assert!(wait(&mut world, ms(10)) > before * 3);
    assert_eq!(wait(&mut world, ms(900)), before);
}

/// Pattern: a region at its peak sends work to a small one, before that one has
/// told of any of it. All its instances see the same and act alike: together
/// they send about as much as there is room for, not each of them.
fn check_instances_that_act_alike(instances: usize) {
    const TARGETS: usize = 4;
    let mut sent = 0;
    for n in 0..instances {
        let mut world = World::new(TARGETS, true);
        world.draw = n as u64 * 10_000;
        for _ in 0..2_000 {
            let choice = world.choose(&[], 300, &[], ms(0)).expect("a choice");
            if !choice.estimate.has_free_slot {
                break;
            }
            let others = vec![250; instances - 1];
            let ratio = callers_ratio(250, others);
            let region = "north".into();
            world
                .traffic
                .record_forward(&region, &world.pool, forwarded(300, ratio), ms(0));
            sent += 1;
        }
    }
    let slots = TARGETS * 64;
    assert!(sent >= slots / 2, "{sent} for {slots} slots");
    assert!(sent <= slots * 3 / 2, "{sent} for {slots} slots");
}

cases! {
    check_instances_that_act_alike:
    one_instance_that_forwards(1);
    six_instances_that_forward_alike(6);
    twenty_instances_that_forward_alike(20);
}
