//! The health of a target, the views of its cache and load, and the budgets.

use std::time::Duration;

use chiverelay_decisions::placement::CacheView;
use chiverelay_decisions::placement::Gap;
use chiverelay_decisions::placement::Health;
use chiverelay_decisions::placement::Link;
use chiverelay_decisions::placement::LinkSpec;
use chiverelay_decisions::placement::Load;
use chiverelay_decisions::placement::Report;
use chiverelay_decisions::placement::RetryBudget;
use chiverelay_decisions::placement::Sign;
use chiverelay_decisions::placement::Status;
use chiverelay_decisions::placement::prefix;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::cases;

const RAMP: Duration = Duration::from_secs(20);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Shows signs at their seconds, then compares the status at a second.
fn check_status(signs: &[(Sign, u64)], at: u64, want: Status) {
    let mut health = Health::default();
    for (sign, s) in signs {
        health.observe(*sign, secs(*s));
    }
    assert_eq!(health.status(secs(at)), want);
}

cases! {
    check_status:
    new_is_healthy(&[], 0, Status::Healthy);
    one_failure(&[(Sign::Failure, 1)], 1, Status::Suspect);
    two_failures(&[(Sign::Failure, 1), (Sign::Failure, 2)], 2, Status::Ejected);
    a_success_between(
        &[(Sign::Failure, 1), (Sign::Success, 2), (Sign::Failure, 3)], 3, Status::Suspect,
    );
    unreachable(&[(Sign::Unreachable, 1)], 1, Status::Ejected);
    ejection_ends_in_a_probe(&[(Sign::Unreachable, 1)], 6, Status::Probe);
    one_probe_at_a_time(&[(Sign::Unreachable, 1), (Sign::Placed, 6)], 7, Status::Ejected);
    a_lost_probe_is_repeated(&[(Sign::Unreachable, 1), (Sign::Placed, 6)], 11, Status::Probe);
    a_probe_succeeds(
        &[(Sign::Unreachable, 1), (Sign::Placed, 6), (Sign::Success, 7)], 7, Status::Healthy,
    );
    a_second_ejection_is_longer(
        &[(Sign::Unreachable, 1), (Sign::Placed, 6), (Sign::Failure, 7)], 13, Status::Ejected,
    );
    a_late_answer_ends_no_ejection(
        &[(Sign::Unreachable, 1), (Sign::Success, 2)], 3, Status::Ejected,
    );
    leaving_takes_nothing(&[(Sign::Leaving, 1), (Sign::Success, 2)], 60, Status::Leaving);
    leaving_from_an_ejection(&[(Sign::Unreachable, 1), (Sign::Leaving, 2)], 60, Status::Leaving);
    an_ejection_outlasts_a_report(
        &[(Sign::Unreachable, 1), (Sign::Present, 2)], 3, Status::Ejected,
    );
    a_restart_ends_an_ejection(
        &[(Sign::Unreachable, 1), (Sign::Restarted, 2)], 3, Status::Healthy,
    );
    present_again(&[(Sign::Leaving, 1), (Sign::Present, 2)], 2, Status::Healthy);
}

#[test]
fn a_returned_target_ramps_up() {
    let mut health = Health::default();
    assert_eq!(health.share(RAMP, secs(0)), 1000);
    health.observe(Sign::Unreachable, secs(1));
    health.observe(Sign::Placed, secs(6));
    health.observe(Sign::Success, secs(10));
    assert_eq!(health.share(RAMP, secs(10)), 100);
    assert_eq!(health.share(RAMP, secs(20)), 550);
    assert_eq!(health.share(RAMP, secs(30)), 1000);
}

#[test]
fn a_restarted_target_ramps_up() {
    let mut health = Health::default();
    health.observe(Sign::Restarted, secs(10));
    assert_eq!(health.share(RAMP, secs(10)), 100);
    assert_eq!(health.share(RAMP, secs(30)), 1000);
}

#[test]
fn a_gap_makes_the_view_unsure() {
    let mut view = CacheView::default();
    assert_eq!(view.apply(1, &[10, 11], &[]), Ok(()));
    assert_eq!(view.cached_tokens(&[10, 11, 12]), 2 * prefix::BLOCK_TOKENS);
    assert_eq!(view.apply(3, &[20], &[]), Err(Gap { after: 1, found: 3 }));
    // What was held before the gap counts half, until it is seen again.
    assert_eq!(view.cached_tokens(&[10, 11, 12]), prefix::BLOCK_TOKENS);
    assert_eq!(view.cached_tokens(&[20]), prefix::BLOCK_TOKENS);
    assert_eq!(view.apply(4, &[10, 11], &[]), Ok(()));
    assert_eq!(view.cached_tokens(&[10, 11, 12]), 2 * prefix::BLOCK_TOKENS);
    assert_eq!(view.apply(5, &[], &[10, 11]), Ok(()));
    assert_eq!(view.cached_tokens(&[10, 11, 12]), 0);
    assert_eq!(view.apply(9, &[], &[]), Err(Gap { after: 5, found: 9 }));
    assert_eq!(
        view.apply(12, &[], &[]),
        Err(Gap {
            after: 9,
            found: 12
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
    let a = prefix::hashes([long.as_str(), "for a church"]);
    let b = prefix::hashes([long.as_str(), "for a restaurant"]);
    let c = prefix::hashes(["x", long.as_str()]);
    assert_eq!(a.len(), long.len() / prefix::BLOCK_BYTES);
    assert_eq!(a, b);
    assert!(a.iter().all(|h| !c.contains(h)));
}

#[test]
fn parts_may_be_cut_anywhere() {
    let text = "retablo frame ".repeat(80);
    let whole = prefix::hashes([text.as_str()]);
    let (head, tail) = text.split_at(301);
    assert_eq!(whole, prefix::hashes([head, tail]));
}

#[test]
fn a_report_counts_less_as_it_ages() {
    let mut load = Load::default();
    let report = Report {
        sequence: 1,
        running: 8,
        ..Report::default()
    };
    load.report(report, secs(10));
    assert_eq!(load.running(0, secs(10)), 8);
    assert_eq!(load.running(0, secs(12)), 4);
    assert_eq!(load.running(0, secs(14)), 2);
    load.running = 3;
    // Two other instances are taken to have as much as this one.
    assert_eq!(load.running(2, secs(100)), 9);
}

#[test]
fn own_prompts_are_read_at_the_rate() {
    let mut load = Load::default();
    load.add(8000, 1000, secs(1));
    assert_eq!(load.pending(1000, secs(1)), 8000);
    assert_eq!(load.pending(1000, secs(6)), 3000);
    assert_eq!(load.pending(1000, secs(20)), 0);
}

#[test]
fn retries_are_a_share_of_requests() {
    let mut budget = RetryBudget::default();
    let first = (0..1000).filter(|_| budget.spend()).count();
    assert_eq!(first, 10);
    let later = (0..1000)
        .filter(|_| {
            budget.earn();
            budget.spend()
        })
        .count();
    assert_eq!(later, 100);
}

#[test]
fn a_link_never_carries_more_than_its_share() {
    let spec = LinkSpec::default();
    let mut link = Link::new(&spec, secs(0));
    let mut sent = 0;
    for ms in 0..10_000 {
        if link.take(20_000, Duration::from_millis(ms)) {
            sent += 20_000;
        }
    }
    assert!(sent <= spec.budget() * 12, "{sent} bytes");
    assert!(sent >= spec.budget() * 11, "{sent} bytes");
}
