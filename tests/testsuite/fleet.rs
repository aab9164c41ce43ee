//! What is believed of targets, through the store's outages and returns.

mod chosen;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::fleet::EVACUATION_RECOVERY_GRACE;
use chiverelay_decisions::fleet::Fleet;
use chiverelay_decisions::fleet::STORE_RECOVERY_GRACE;
use chiverelay_decisions::fleet::TargetChange;
use chiverelay_decisions::fleet::TargetRecord;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::revision::StoreRevision;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A revision of the store's first era.
fn at(number: u64) -> StoreRevision {
    StoreRevision { era: 1, number }
}

/// A revision after the store came back from an older copy.
fn restored_at(number: u64) -> StoreRevision {
    StoreRevision { era: 2, number }
}

fn record() -> TargetRecord {
    TargetRecord {
        pool: "orders".into(),
        address: "10.1.0.1:80".parse().expect("an address"),
        zone: "north-a".into(),
        region: "north".into(),
        software: "v1".into(),
        slots: 6,
        draining: false,
        started_ms: 1,
        sequence: 4,
        cold_remaining: Duration::ZERO,
    }
}

fn fleet() -> (Fleet, Target) {
    let zones = HashMap::from([(Zone::from("north-a"), Region::from("north"))]);
    let mut fleet = Fleet::new(zones);
    let name = Target::from("i-1");
    assert_eq!(
        fleet.upsert(&name, record(), at(5), ms(0)),
        TargetChange::Added
    );
    (fleet, name)
}

#[test]
fn a_target_that_vanishes_in_calm_is_gone_at_once() {
    let (mut fleet, name) = fleet();
    assert_eq!(fleet.handle_absence(&name, ms(10)), TargetChange::Gone);
    assert!(!fleet.accepts_requests(&name));
}

#[test]
fn a_target_that_vanishes_with_the_stores_return_is_held() {
    let (mut fleet, name) = fleet();
    assert!(fleet.store_lost());
    assert!(fleet.store_answered(1, ms(1_000)));
    let none = HashSet::new();
    assert!(fleet.reconcile(&none, ms(1_010)).is_empty());
    assert!(fleet.accepts_requests(&name), "it may come back");
    assert!(
        fleet
            .remove_missing_after_recovery(ms(1_000) + STORE_RECOVERY_GRACE - ms(1))
            .is_empty()
    );
    assert_eq!(
        fleet.remove_missing_after_recovery(ms(1_000) + STORE_RECOVERY_GRACE),
        vec![name.clone()]
    );
    assert!(!fleet.accepts_requests(&name));
}

#[test]
fn a_target_that_comes_back_after_the_return_stays() {
    let (mut fleet, name) = fleet();
    fleet.store_lost();
    fleet.store_answered(1, ms(1_000));
    assert_eq!(fleet.handle_absence(&name, ms(1_010)), TargetChange::Held);
    fleet.upsert(&name, record(), at(9), ms(1_500));
    assert!(fleet.remove_missing_after_recovery(ms(9_000)).is_empty());
    assert!(fleet.accepts_requests(&name));
}

#[test]
fn a_draining_target_is_not_held() {
    let (mut fleet, name) = fleet();
    fleet.store_lost();
    fleet.store_answered(1, ms(1_000));
    let mut leaving = record();
    leaving.draining = true;
    assert_eq!(
        fleet.upsert(&name, leaving, at(8), ms(1_001)),
        TargetChange::Moved
    );
    assert!(!fleet.accepts_requests(&name));
    assert_eq!(fleet.handle_absence(&name, ms(1_010)), TargetChange::Gone);
}

#[test]
fn an_older_record_changes_nothing() {
    let (mut fleet, name) = fleet();
    let mut leaving = record();
    leaving.draining = true;
    assert_eq!(
        fleet.upsert(&name, leaving, at(4), ms(10)),
        TargetChange::Outdated
    );
    assert!(fleet.accepts_requests(&name));
}

#[test]
fn a_start_under_the_old_name_is_told_by_its_time() {
    let (mut fleet, name) = fleet();
    let mut again = record();
    again.started_ms = 2;
    assert_eq!(
        fleet.upsert(&name, again, at(6), ms(10)),
        TargetChange::Restarted
    );
}

#[test]
fn a_target_that_joins_another_pool_leaves_the_first() {
    let (mut fleet, name) = fleet();
    let mut moved = record();
    moved.pool = "model".into();
    fleet.upsert(&name, moved, at(6), ms(10));
    assert_eq!(fleet.usable_targets(&"orders".into()).count(), 0);
    assert_eq!(fleet.usable_targets(&"model".into()).count(), 1);
}

#[test]
fn an_evacuated_zone_takes_no_work() {
    let (mut fleet, name) = fleet();
    assert!(fleet.set_evacuated(&"north-a".into(), true, at(6)));
    assert!(
        !fleet.set_evacuated(&"north-a".into(), true, at(6)),
        "told once"
    );
    assert!(!fleet.accepts_requests(&name));
    assert!(fleet.usable_regions(&"orders".into()).is_empty());
    fleet.set_evacuated(&"north-a".into(), false, at(7));
    assert!(fleet.accepts_requests(&name));
}

#[test]
fn a_cold_target_is_cold_for_as_long_as_it_says() {
    let (mut fleet, name) = fleet();
    let mut cold = record();
    cold.cold_remaining = ms(3_000);
    fleet.upsert(&name, cold, at(6), ms(100));
    let known = fleet.get(&name).expect("known");
    assert!(known.is_cold(ms(3_099)));
    assert!(!known.is_cold(ms(3_100)));
}

#[test]
fn a_target_that_turns_cold_is_told() {
    let (mut fleet, name) = fleet();
    let mut cold = record();
    cold.cold_remaining = ms(3_000);
    assert_eq!(
        fleet.upsert(&name, cold.clone(), at(6), ms(100)),
        TargetChange::TurnedCold
    );
    assert_eq!(
        fleet.upsert(&name, cold, at(7), ms(200)),
        TargetChange::Same
    );
}

/// Guards against a panic of the task that follows the targets, by a record
/// whose warm-up ends later than any time.
#[test]
fn a_target_that_stays_cold_for_ever_is_cold() {
    let (mut fleet, name) = fleet();
    let mut cold = record();
    cold.cold_remaining = Duration::MAX;
    fleet.upsert(&name, cold, at(6), ms(1));
    let known = fleet.get(&name).expect("known");
    assert!(known.is_cold(ms(u64::MAX)));
}

/// Guards against a target that left coming back into use with an outdated
/// record of the same process.
#[test]
fn a_draining_target_drains_until_it_restarts() {
    let (mut fleet, name) = fleet();
    let mut leaving = record();
    leaving.draining = true;
    fleet.upsert(&name, leaving, at(6), ms(10));
    fleet.upsert(&name, record(), at(7), ms(20));
    assert!(!fleet.accepts_requests(&name), "its record is outdated");
    fleet.handle_absence(&name, ms(30));
    fleet.upsert(&name, record(), at(8), ms(40));
    assert!(!fleet.accepts_requests(&name), "removed and listed again");
    let mut again = record();
    again.started_ms = 2;
    fleet.upsert(&name, again, at(9), ms(50));
    assert!(fleet.accepts_requests(&name), "another process");
}

/// Guards against requests to a target that announced its shutdown itself.
#[test]
fn a_target_marked_as_leaving_gets_nothing_until_it_restarts() {
    let (mut fleet, name) = fleet();
    assert!(fleet.mark_leaving(&name));
    assert!(!fleet.mark_leaving(&name), "told once");
    assert!(!fleet.mark_leaving(&"i-2".into()), "unknown");
    fleet.upsert(&name, record(), at(7), ms(20));
    assert!(!fleet.accepts_requests(&name), "its record is outdated");
    let mut again = record();
    again.started_ms = 2;
    fleet.upsert(&name, again, at(8), ms(30));
    assert!(fleet.accepts_requests(&name), "another process");
}

/// Guards against a record that is ignored, as its revision was given out
/// before the store came back from an older copy.
#[test]
fn a_record_of_a_later_era_replaces_one_of_a_higher_number() {
    let (mut fleet, name) = fleet();
    let mut leaving = record();
    leaving.draining = true;
    leaving.sequence = 5;
    fleet.upsert(&name, leaving, restored_at(2), ms(10));
    assert!(!fleet.accepts_requests(&name));
}

/// Guards against a target that goes back to an older record with the store.
#[test]
fn an_older_copys_record_does_not_replace_a_later_one() {
    let (mut fleet, name) = fleet();
    let mut earlier = record();
    earlier.pool = "model".into();
    earlier.sequence = 3;
    let change = fleet.upsert(&name, earlier.clone(), restored_at(2), ms(10));
    assert_eq!(change, TargetChange::Outdated);
    assert_eq!(fleet.usable_targets(&"orders".into()).count(), 1);
    // The store's order decides within its era.
    fleet.upsert(&name, earlier, restored_at(3), ms(20));
    assert_eq!(fleet.usable_targets(&"model".into()).count(), 1);
}

/// Guards against requests to a target that left and that an older copy lists.
#[test]
fn a_removed_target_comes_back_only_with_a_later_record() {
    let (mut fleet, name) = fleet();
    fleet.store_answered(1, ms(0));
    fleet.handle_absence(&name, ms(10));
    fleet.store_answered(2, ms(20));
    let change = fleet.upsert(&name, record(), restored_at(2), ms(20));
    assert_eq!(change, TargetChange::Outdated);
    let mut later = record();
    later.sequence = 5;
    assert_eq!(
        fleet.upsert(&name, later, restored_at(3), ms(30)),
        TargetChange::Added
    );
}

#[test]
fn a_removed_target_that_registers_again_is_used_again() {
    let (mut fleet, name) = fleet();
    fleet.handle_absence(&name, ms(10));
    assert_eq!(
        fleet.upsert(&name, record(), at(6), ms(20)),
        TargetChange::Added
    );
}

/// Guards against losing the targets that an older copy lacks, if no call
/// failed while the store was away.
#[test]
fn a_target_that_vanishes_with_a_new_era_is_held() {
    let (mut fleet, name) = fleet();
    fleet.store_answered(1, ms(0));
    assert!(!fleet.store_answered(2, ms(1_000)), "no outage was noticed");
    assert!(fleet.reconcile(&HashSet::new(), ms(1_010)).is_empty());
    assert!(fleet.accepts_requests(&name));
    assert_eq!(
        fleet.remove_missing_after_recovery(ms(1_000) + STORE_RECOVERY_GRACE),
        vec![name]
    );
}

/// Guards against requests to a zone whose evacuation an older copy lacks.
#[test]
fn an_evacuation_that_the_store_lost_goes_on_for_a_moment() {
    let (mut fleet, name) = fleet();
    let (zone, none) = (Zone::from("north-a"), HashSet::new());
    fleet.store_answered(1, ms(0));
    fleet.set_evacuated(&zone, true, at(6));
    fleet.store_answered(2, ms(1_000));
    assert!(
        fleet
            .reconcile_evacuated(&none, restored_at(2), ms(1_010))
            .is_empty()
    );
    assert!(!fleet.accepts_requests(&name));
    let end = ms(1_000) + EVACUATION_RECOVERY_GRACE;
    assert!(fleet.remove_lost_evacuations(end - ms(1)).is_empty());
    assert_eq!(fleet.remove_lost_evacuations(end), vec![zone]);
    assert!(fleet.accepts_requests(&name));
}

#[test]
fn an_evacuation_written_again_after_a_restore_stays() {
    let (mut fleet, name) = fleet();
    let (zone, none) = (Zone::from("north-a"), HashSet::new());
    fleet.store_answered(1, ms(0));
    fleet.set_evacuated(&zone, true, at(6));
    fleet.store_answered(2, ms(1_000));
    fleet.reconcile_evacuated(&none, restored_at(2), ms(1_010));
    fleet.set_evacuated(&zone, true, restored_at(3));
    assert!(fleet.remove_lost_evacuations(ms(9_000)).is_empty());
    assert!(!fleet.accepts_requests(&name));
    fleet.set_evacuated(&zone, false, restored_at(4));
    assert!(
        fleet.accepts_requests(&name),
        "the operator ends it at once"
    );
}

/// Failure: a target stays limited as a cold one while its record is listed
/// again and again.
#[test]
fn a_record_listed_again_does_not_begin_the_cold_time_again() {
    let (mut fleet, name) = fleet();
    let mut cold = record();
    cold.cold_remaining = ms(3_000);
    fleet.upsert(&name, cold.clone(), at(6), ms(100));
    fleet.upsert(&name, cold.clone(), at(6), ms(2_000));
    assert!(!fleet.get(&name).expect("known").is_cold(ms(3_100)));
    fleet.upsert(&name, cold, at(7), ms(3_200));
    assert!(fleet.get(&name).expect("known").is_cold(ms(6_199)));
}

/// Guards against an older copy's record that replaces a later one when it is
/// listed a second time.
#[test]
fn an_older_copys_record_listed_twice_does_not_replace_a_later_one() {
    let (mut fleet, name) = fleet();
    let mut again = record();
    again.started_ms = 2;
    again.sequence = 1;
    again.address = "127.0.0.1:4002".parse().expect("an address");
    fleet.upsert(&name, again, at(6), ms(10));
    for _ in 0..2 {
        fleet.upsert(&name, record(), restored_at(2), ms(20));
        let known = fleet.get(&name).expect("known");
        assert_eq!(known.record.started_ms, 2, "it restarted since");
    }
}

/// Guards against a target that is lost when a watch repeats what a listing of
/// several pages has shown.
#[test]
fn a_repeated_removal_and_record_leave_the_target_in_use() {
    let (mut fleet, name) = fleet();
    fleet.store_answered(1, ms(0));
    fleet.upsert(&name, record(), at(8), ms(10));
    fleet.handle_removal(&name, at(7), ms(20));
    fleet.upsert(&name, record(), at(8), ms(20));
    assert!(fleet.accepts_requests(&name));
    let change = fleet.handle_removal(&name, at(9), ms(30));
    assert_eq!(change, TargetChange::Gone);
}

/// Guards against what is known of a process, such as its pause, that is held
/// against the next one at the target's name.
#[test]
fn a_removed_target_that_comes_back_as_another_process_has_restarted() {
    let (mut fleet, name) = fleet();
    fleet.handle_removal(&name, at(7), ms(10));
    let mut again = record();
    again.started_ms = 2;
    let change = fleet.upsert(&name, again, at(8), ms(20));
    assert_eq!(change, TargetChange::Restarted);
}

/// Failure: each cut of a waiting watch counted as an outage, and a target whose
/// record was gone went on getting requests for as long as watches were cut.
#[test]
fn a_target_that_vanishes_between_cut_watches_is_gone_at_once() {
    let (mut fleet, name) = fleet();
    for cut in 1..=4 {
        fleet.store_answered(1, ms(900 * cut));
        fleet.store_call_failed();
        fleet.store_answered(1, ms(900 * cut + 10));
    }
    assert_eq!(fleet.handle_absence(&name, ms(3_620)), TargetChange::Gone);
}

/// Failure: a missing target was held anew with each outage that followed, as
/// long as outages came in series.
fn a_missing_target_is_held_for_a_bounded_time(outage: u64, pause: u64) {
    let (mut fleet, name) = fleet();
    fleet.store_lost();
    fleet.store_answered(1, ms(5_000));
    assert_eq!(fleet.handle_absence(&name, ms(5_000)), TargetChange::Held);
    let (mut now, mut served) = (5_000, 0);
    while fleet.get(&name).is_some() {
        assert!(ms(served) <= STORE_RECOVERY_GRACE, "held for too long");
        now += pause;
        served += pause;
        fleet.store_answered(1, ms(now));
        fleet.remove_missing_after_recovery(ms(now));
        fleet.store_lost();
        now += outage;
        fleet.store_answered(1, ms(now));
        fleet.handle_absence(&name, ms(now));
    }
    assert!(
        ms(served) >= STORE_RECOVERY_GRACE,
        "held for too short a time"
    );
}

support::cases! {
    a_missing_target_is_held_for_a_bounded_time:
    between_long_outages(6_000, 500);
    between_outages_that_just_count(1_000, 400);
}

/// Guards against counting the time in which nobody could write a record again.
#[test]
fn the_time_of_an_outage_does_not_end_the_hold_of_a_missing_target() {
    let (mut fleet, name) = fleet();
    fleet.store_lost();
    fleet.store_answered(1, ms(5_000));
    assert_eq!(fleet.handle_absence(&name, ms(5_000)), TargetChange::Held);
    fleet.store_lost();
    fleet.store_answered(1, ms(15_000));
    assert!(fleet.remove_missing_after_recovery(ms(15_000)).is_empty());
    assert!(fleet.accepts_requests(&name));
}

/// Guards against a removal while calls fail that is taken for one in calm.
#[test]
fn a_target_that_vanishes_while_calls_fail_is_held() {
    let (mut fleet, name) = fleet();
    fleet.store_answered(1, ms(100));
    fleet.store_call_failed();
    assert_eq!(fleet.handle_absence(&name, ms(110)), TargetChange::Held);
}

/// Guards against an outage in which the records of targets could end unheard,
/// for an instance that was turned away and whose last call was answered long
/// ago.
#[test]
fn a_target_that_vanishes_after_a_long_silence_is_held() {
    let (mut fleet, name) = fleet();
    fleet.store_answered(1, ms(100));
    fleet.store_call_failed();
    fleet.store_answered(1, ms(1_100));
    assert_eq!(fleet.handle_absence(&name, ms(1_110)), TargetChange::Held);
}

/// Guards against an evacuation that goes back to an older state, as two watches
/// tell of it and one of them is late.
#[test]
fn an_evacuation_does_not_go_back_to_an_older_state() {
    let (mut fleet, name) = fleet();
    let (zone, none) = (Zone::from("north-a"), HashSet::new());
    fleet.set_evacuated(&zone, true, at(6));
    fleet.set_evacuated(&zone, false, at(8));
    assert!(!fleet.set_evacuated(&zone, true, at(6)));
    assert!(fleet.accepts_requests(&name), "it ended since");
    fleet.set_evacuated(&zone, true, at(9));
    fleet.reconcile_evacuated(&none, at(8), ms(10));
    assert!(
        !fleet.accepts_requests(&name),
        "the listing is from before it"
    );
}
