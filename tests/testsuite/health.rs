//! The health of a target, the views of its cache and load, and the budgets.

use std::time::Duration;

use chiverelay_decisions::placement::CacheView;
use chiverelay_decisions::placement::Health;
use chiverelay_decisions::placement::HealthEvent;
use chiverelay_decisions::placement::HealthStatus;
use chiverelay_decisions::placement::LinkBudget;
use chiverelay_decisions::placement::LinkSpec;
use chiverelay_decisions::placement::LoadReport;
use chiverelay_decisions::placement::RetryBudget;
use chiverelay_decisions::placement::SequenceGap;
use chiverelay_decisions::placement::TargetState;
use chiverelay_decisions::placement::prefix;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::cases;

const RAMP: Duration = Duration::from_secs(20);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Shows signs at their seconds, then compares the status at a second.
fn check_status(signs: &[(HealthEvent, u64)], at: u64, want: HealthStatus) {
    let mut health = Health::default();
    for (sign, s) in signs {
        health.observe(*sign, secs(*s));
    }
    assert_eq!(health.status(secs(at)), want);
}

cases! {
    check_status:
    new_is_healthy(&[], 0, HealthStatus::Healthy);
    one_failure(&[(HealthEvent::Failure, 1)], 1, HealthStatus::Suspect);
    two_failures(&[(HealthEvent::Failure, 1), (HealthEvent::Failure, 2)], 2, HealthStatus::Ejected);
    a_success_between(
        &[(HealthEvent::Failure, 1), (HealthEvent::Success, 2), (HealthEvent::Failure, 3)], 3, HealthStatus::Suspect,
    );
    unreachable(&[(HealthEvent::Unreachable, 1)], 1, HealthStatus::Ejected);
    ejection_ends_in_a_probe(&[(HealthEvent::Unreachable, 1)], 6, HealthStatus::Probe);
    one_probe_at_a_time(&[(HealthEvent::Unreachable, 1), (HealthEvent::RequestPlaced, 6)], 7, HealthStatus::Ejected);
    a_lost_probe_is_repeated(&[(HealthEvent::Unreachable, 1), (HealthEvent::RequestPlaced, 6)], 11, HealthStatus::Probe);
    a_probe_succeeds(
        &[(HealthEvent::Unreachable, 1), (HealthEvent::RequestPlaced, 6), (HealthEvent::Success, 7)], 7, HealthStatus::Healthy,
    );
    a_second_ejection_is_longer(
        &[(HealthEvent::Unreachable, 1), (HealthEvent::RequestPlaced, 6), (HealthEvent::Failure, 7)], 13, HealthStatus::Ejected,
    );
    a_late_answer_ends_no_ejection(
        &[(HealthEvent::Unreachable, 1), (HealthEvent::Success, 2)], 3, HealthStatus::Ejected,
    );
    leaving_takes_nothing(&[(HealthEvent::Leaving, 1), (HealthEvent::Success, 2)], 60, HealthStatus::Leaving);
    leaving_from_an_ejection(&[(HealthEvent::Unreachable, 1), (HealthEvent::Leaving, 2)], 60, HealthStatus::Leaving);
    an_ejection_outlasts_a_report(
        &[(HealthEvent::Unreachable, 1), (HealthEvent::Accepting, 2)], 3, HealthStatus::Ejected,
    );
    a_restart_ends_an_ejection(
        &[(HealthEvent::Unreachable, 1), (HealthEvent::Restarted, 2)], 3, HealthStatus::Healthy,
    );
    present_again(&[(HealthEvent::Leaving, 1), (HealthEvent::Accepting, 2)], 2, HealthStatus::Healthy);
}

#[test]
fn a_returned_target_ramps_up() {
    let mut health = Health::default();
    assert_eq!(health.capacity_per_mille(RAMP, secs(0)), 1000);
    health.observe(HealthEvent::Unreachable, secs(1));
    health.observe(HealthEvent::RequestPlaced, secs(6));
    health.observe(HealthEvent::Success, secs(10));
    assert_eq!(health.capacity_per_mille(RAMP, secs(10)), 100);
    assert_eq!(health.capacity_per_mille(RAMP, secs(20)), 550);
    assert_eq!(health.capacity_per_mille(RAMP, secs(30)), 1000);
}

#[test]
fn a_restarted_target_ramps_up() {
    let mut health = Health::default();
    health.observe(HealthEvent::Restarted, secs(10));
    assert_eq!(health.capacity_per_mille(RAMP, secs(10)), 100);
    assert_eq!(health.capacity_per_mille(RAMP, secs(30)), 1000);
}

#[test]
fn a_gap_makes_the_view_unsure() {
    let mut view = CacheView::default();
    assert_eq!(view.apply(1, &[10, 11], &[]), Ok(()));
    assert_eq!(view.cached_tokens(&[10, 11, 12]), 2 * prefix::BLOCK_TOKENS);
    assert_eq!(
        view.apply(3, &[20], &[]),
        Err(SequenceGap {
            last_applied: 1,
            received: 3
        })
    );
    // What was held before the gap counts half, until it is seen again.
    assert_eq!(view.cached_tokens(&[10, 11, 12]), prefix::BLOCK_TOKENS);
    assert_eq!(view.cached_tokens(&[20]), prefix::BLOCK_TOKENS);
    assert_eq!(view.apply(4, &[10, 11], &[]), Ok(()));
    assert_eq!(view.cached_tokens(&[10, 11, 12]), 2 * prefix::BLOCK_TOKENS);
    assert_eq!(view.apply(5, &[], &[10, 11]), Ok(()));
    assert_eq!(view.cached_tokens(&[10, 11, 12]), 0);
    assert_eq!(
        view.apply(9, &[], &[]),
        Err(SequenceGap {
            last_applied: 5,
            received: 9
        })
    );
    assert_eq!(
        view.apply(12, &[], &[]),
        Err(SequenceGap {
            last_applied: 9,
            received: 12
        })
    );
    assert_eq!(view.cached_tokens(&[20]), 0);
}

#[test]
fn old_events_change_nothing() {
    let mut view = CacheView::default();
    assert_eq!(view.apply(1, &[10], &[]), Ok(()));
    assert_eq!(view.apply(2, &[], &[10]), Ok(()));
    assert_eq!(view.apply(1, &[10], &[]), Ok(()));
    assert_eq!(view.cached_tokens(&[10]), 0);
}

/// Whatever is stored and removed, a view stays within its bound.
fn view_is_bounded(events: Vec<(u16, u8)>) -> bool {
    let mut view = CacheView::default();
    events.iter().enumerate().all(|(i, (first, n))| {
        let first = u64::from(*first) << 8;
        let stored: Vec<u64> = (first..first + u64::from(*n)).collect();
        let applied = view.apply(i as u64 + 1, &stored, &[first]);
        applied.is_ok() && view.len() <= 2 * 2048
    })
}

#[test]
fn views_are_bounded() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(500, 2))
        .tests(100)
        .quickcheck(view_is_bounded as fn(Vec<(u16, u8)>) -> bool);
}

#[test]
fn equal_prefixes_have_equal_hashes() {
    let long = "tin lantern ".repeat(100);
    let a = prefix::block_hashes([long.as_str(), "for a church"]);
    let b = prefix::block_hashes([long.as_str(), "for a restaurant"]);
    let c = prefix::block_hashes(["x", long.as_str()]);
    assert_eq!(a.len(), long.len() / prefix::BLOCK_BYTES);
    assert_eq!(a, b);
    assert!(a.iter().all(|h| !c.contains(h)));
}

#[test]
fn parts_may_be_cut_anywhere() {
    let text = "retablo frame ".repeat(80);
    let whole = prefix::block_hashes([text.as_str()]);
    let (head, tail) = text.split_at(301);
    assert_eq!(whole, prefix::block_hashes([head, tail]));
}

#[test]
fn a_report_counts_less_as_it_ages() {
    let mut load = TargetState::default();
    let report = LoadReport {
        sequence: 1,
        running: 8,
        ..LoadReport::default()
    };
    load.apply_report(report, secs(10));
    assert_eq!(load.estimated_running(0, secs(10)), 8);
    assert_eq!(load.estimated_running(0, secs(12)), 4);
    assert_eq!(load.estimated_running(0, secs(14)), 2);
    load.running = 3;
    // Two other instances are taken to have as much as this one.
    assert_eq!(load.estimated_running(2, secs(100)), 9);
}

#[test]
fn own_prompts_are_read_at_the_rate() {
    let mut load = TargetState::default();
    load.add_pending(8000, 1000, secs(1));
    assert_eq!(load.estimated_pending(1000, secs(1)), 8000);
    assert_eq!(load.estimated_pending(1000, secs(6)), 3000);
    assert_eq!(load.estimated_pending(1000, secs(20)), 0);
}

#[test]
fn retries_are_a_share_of_requests() {
    let mut budget = RetryBudget::default();
    let first = (0..1000).filter(|_| budget.try_spend()).count();
    assert_eq!(first, 10);
    let later = (0..1000)
        .filter(|_| {
            budget.record_request();
            budget.try_spend()
        })
        .count();
    assert_eq!(later, 100);
}

#[test]
fn a_link_never_carries_more_than_its_share() {
    let spec = LinkSpec::default();
    let mut link = LinkBudget::new(&spec, secs(0));
    let mut sent = 0;
    for ms in 0..10_000 {
        if link.try_spend(20_000, Duration::from_millis(ms)) {
            sent += 20_000;
        }
    }
    assert!(sent <= spec.bytes_per_second() * 12, "{sent} bytes");
    assert!(sent >= spec.bytes_per_second() * 11, "{sent} bytes");
}
