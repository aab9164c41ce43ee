//! What an instance takes over from another one that has read more of the store.

use std::collections::HashMap;
use std::time::Duration;

use chiverelay_decisions::fleet::Fleet;
use chiverelay_decisions::fleet::FleetCopy;
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

/// Returns what another instance tells at a revision, which knows the target by
/// this record.
fn copy(record: Option<(TargetRecord, StoreRevision)>, revision: StoreRevision) -> FleetCopy {
    let mut other = Fleet::new(HashMap::new());
    if let Some((record, revision)) = record {
        other.upsert(&"i-1".into(), record, revision, ms(0));
    }
    other.copy_of(&"north".into(), revision, ms(1_000))
}

/// Failure: an instance that was cut off from the store took a target for warm
/// that others knew to be cold.
#[test]
fn a_cold_target_is_cold_for_what_is_left_of_its_time() {
    let (mut fleet, name) = fleet();
    let mut cold = record();
    cold.cold_remaining = ms(3_000);
    let copy = copy(Some((cold, at(8))), at(9));
    fleet.merge_copy(copy, &"north".into(), ms(50_000));
    let known = fleet.get(&name).expect("known");
    assert!(known.is_cold(ms(51_999)));
    assert!(!known.is_cold(ms(52_000)));
}

#[test]
fn a_copy_without_a_target_removes_it() {
    let (mut fleet, name) = fleet();
    let changes = fleet.merge_copy(copy(None, at(9)), &"north".into(), ms(10));
    assert_eq!(changes.targets, [(name.clone(), TargetChange::Gone)]);
    assert!(fleet.get(&name).is_none());
}

/// Guards against what an instance knows that is replaced by an older state.
#[test]
fn a_copy_changes_nothing_that_was_read_later() {
    let (mut fleet, name) = fleet();
    let (zone, none) = (Zone::from("north-a"), copy(None, at(4)));
    fleet.merge_copy(none, &"north".into(), ms(10));
    assert!(fleet.accepts_requests(&name), "the copy is from before it");
    let mut earlier = record();
    earlier.draining = true;
    let copy = copy(Some((earlier, at(5))), at(9));
    fleet.merge_copy(copy, &"north".into(), ms(10));
    assert!(fleet.accepts_requests(&name), "the record is the same");
    fleet.set_evacuated(&zone, true, at(9));
    let mut other = Fleet::new(HashMap::new());
    other.set_evacuated(&zone, false, at(8));
    let copy = other.copy_of(&"north".into(), at(8), ms(0));
    fleet.merge_copy(copy, &"north".into(), ms(20));
    assert!(!fleet.accepts_requests(&name));
}

/// Guards against the loss of the targets of other regions, of which a copy says
/// nothing.
#[test]
fn a_copy_of_one_region_leaves_the_others_alone() {
    let (mut fleet, name) = fleet();
    fleet.merge_copy(copy(None, at(9)), &"south".into(), ms(10));
    assert!(fleet.accepts_requests(&name));
}
