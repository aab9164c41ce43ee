//! Targets that leave get no new work, whichever sign of it comes first.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::placement::HealthStatus;
use chiverelay_decisions::placement::LoadReport;
use chiverelay_decisions::placement::Network;
use serde_json::json;
use support::cases;

use super::ASK;
use super::HERE;
use super::Went;
use super::config;
use super::ms;
use super::place;
use super::tables;

/// What tells that a target leaves.
#[derive(Clone, Copy)]
enum Leaves {
    Report,
    List,
    Removed,
    Refuses,
    Fails,
}

const AT: Duration = Duration::from_secs(10);

fn report(sequence: u64, leaving: bool) -> LoadReport {
    LoadReport {
        incarnation: 1,
        sequence,
        leaving,
        ..LoadReport::default()
    }
}

fn show(tables: &Tables, sign: Leaves) {
    let target = Target::from("t1");
    match sign {
        Leaves::Report => gateway::apply_load_report(tables, &target, report(2, true), AT),
        Leaves::List => gateway::set_leaving_targets(tables, &BTreeSet::from([target]), AT),
        Leaves::Refuses => gateway::mark_unreachable(tables, &target, AT),
        Leaves::Fails => (0..2).for_each(|_| gateway::record_failure(tables, &target, AT)),
        Leaves::Removed => {
            let config = config(2, &[("t2", HERE), ("t3", HERE)], json!({}));
            tables.config.replace_if_newer(Arc::new(config));
        }
    }
}

/// From the sign on no request goes to the leaving target; its work ends.
fn check_leaving(sign: Leaves, until: u64) {
    let targets = [("t1", HERE), ("t2", HERE), ("t3", HERE)];
    let tables = tables(config(1, &targets, json!({})), Network::default());
    let target = Target::from("t1");
    gateway::apply_load_report(&tables, &target, report(1, false), ms(0));
    // The others are so busy that the leaving target would be the best.
    for name in ["t2", "t3"] {
        (0..30).for_each(|_| gateway::request_started(&tables, &name.into()));
    }
    assert_eq!(place(&tables, ASK, AT), Ok(Went::Here(target.clone())));
    show(&tables, sign);
    for passed in (0..=until).step_by(500) {
        gateway::apply_load_report(&tables, &target, report(1, false), AT + ms(passed));
        let went = place(&tables, ASK, AT + ms(passed));
        assert!(
            matches!(&went, Ok(Went::Here(t)) if *t != target),
            "{went:?}"
        );
        if let Ok(Went::Here(other)) = went {
            gateway::request_finished(&tables, &other);
        }
    }
    gateway::request_finished(&tables, &target);
    let running = tables.targets.with(&target, |l| l.map(|l| l.running));
    assert_eq!(running, Some(0));
}

cases! {
    check_leaving:
    leaving_by_its_load_report(Leaves::Report, 60_000);
    leaving_by_the_platforms_list(Leaves::List, 29_500);
    leaving_by_the_configuration(Leaves::Removed, 60_000);
    // Then a probe shows whether it came back.
    leaving_by_refused_connections(Leaves::Refuses, 4_500);
    leaving_by_failures(Leaves::Fails, 4_500);
}

/// A list that no longer calls the target leaving, or that is not had for
/// long, gives it new work.
fn check_list(later: Option<&[&str]>, at: u64, want: HealthStatus) {
    let tables = tables(config(1, &[("t1", HERE)], json!({})), Network::default());
    let target = Target::from("t1");
    gateway::set_leaving_targets(&tables, &BTreeSet::from([target.clone()]), ms(0));
    if let Some(later) = later {
        let later = later.iter().map(|name| Target::from(*name)).collect();
        gateway::set_leaving_targets(&tables, &later, ms(20_000));
    }
    let status = tables
        .targets
        .with(&target, |l| l.map(|l| l.status(ms(at))));
    assert_eq!(status, Some(want));
}

cases! {
    check_list:
    still_listed(Some(&["t1", "t2"]), 40_000, HealthStatus::Leaving);
    no_longer_listed(Some(&["t2"]), 20_000, HealthStatus::Healthy);
    no_list_for_a_while(None, 29_000, HealthStatus::Leaving);
    no_list_for_long(None, 30_000, HealthStatus::Healthy);
}
