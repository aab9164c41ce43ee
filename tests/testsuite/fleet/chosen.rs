//! Targets that were chosen for a request, and the software of their pools.

use chiverelay_decisions::fleet::TargetRecord;
use chiverelay_decisions::names::SoftwareVersion;
use support::cases;

use super::at;
use super::fleet;
use super::ms;
use super::record;

// A pool has one version only if no target has another, draining or not.
cases! {
    check_only_software:
    one_target_has_the_only_software(None, Some("v1"));
    two_targets_of_a_version_have_the_only_software(Some(("v1", false)), Some("v1"));
    two_versions_are_none(Some(("v2", false)), None);
    a_draining_target_of_another_version_counts(Some(("v2", true)), None);
}

fn check_only_software(second: Option<(&str, bool)>, expected: Option<&str>) {
    let (mut fleet, _) = fleet();
    if let Some((software, draining)) = second {
        let mut other = record();
        other.software = software.into();
        other.draining = draining;
        fleet.upsert(&"i-2".into(), other, at(6), ms(1));
    }
    let only = fleet.only_software(&"orders".into());
    assert_eq!(only.map(SoftwareVersion::as_str), expected);
}

/// Failure: a target that came back under its name while a connection to it was
/// made got a request that was chosen for another pool, region or address.
fn a_target_that_came_back_elsewhere(change: fn(&mut TargetRecord), is_accepted: bool) {
    let (mut fleet, name) = fleet();
    let chosen = fleet.get(&name).expect("known").record.clone();
    let mut later = record();
    later.started_ms += 1;
    change(&mut later);
    fleet.upsert(&name, later, at(6), ms(10));
    assert_eq!(fleet.still_accepts(&name, &chosen), is_accepted);
}

cases! {
    a_target_that_came_back_elsewhere:
    gets_its_request_if_only_its_process_changed(|_| {}, true);
    gets_no_request_of_its_former_pool(|r| r.pool = "model".into(), false);
    gets_no_request_of_its_former_region(|r| r.region = "south".into(), false);
    gets_no_request_at_its_former_address(
        |r| r.address = "10.1.0.2:80".parse().expect("an address"), false);
    gets_no_request_once_it_drains(|r| r.draining = true, false);
}

/// Failure: the record was read anew under the name that had been chosen, and its
/// region was taken to be that of the instance.
fn a_chosen_name_is_looked_up(pool: &str, region: &str, is_found: bool) {
    let (fleet, name) = fleet();
    let found = fleet.get_at(&name, &pool.into(), &region.into());
    assert_eq!(found.is_some(), is_found);
}

cases! {
    a_chosen_name_is_looked_up:
    where_it_is("orders", "north", true);
    in_another_pool("model", "north", false);
    in_another_region("orders", "south", false);
}
