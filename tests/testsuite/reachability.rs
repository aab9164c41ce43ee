//! Whether an instance counts as cut off from the targets of its region.

use std::time::Duration;

use chiverelay_decisions::reachability::Reachability;
use chiverelay_decisions::reachability::RoundResult;
use chiverelay_decisions::reachability::TargetReach;
use chiverelay_decisions::reachability::prefer_reaching;
use support::cases;

/// Time in which an instance has to know that it is cut off.
const KNOWN_WITHIN: Duration = Duration::from_secs(1);

/// Time that a round of probes takes if nothing answers.
const ROUND: Duration = Duration::from_millis(450);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Runs the round that is due at `now`, and returns when it ended.
fn run_round(reach: &mut Reachability, result: RoundResult, now: Duration) -> Duration {
    let round = reach.begin_round(now).expect("a round is due");
    let end = match result {
        RoundResult::Reached => now,
        RoundResult::Failed(_) => now + ROUND,
    };
    reach.finish_round(round, result, end);
    end
}

/// Answers each 20 ms up to a second.
fn busy() -> Reachability {
    let mut reach = Reachability::default();
    for n in 0..50 {
        reach.record_sent(ms(20 * n));
        reach.record_contact(ms(20 * n + 15));
    }
    reach
}

/// How connections to targets fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Hang,
    Reset,
    NewRefused,
}

/// Load pattern: steady requests of many callers at an instance that is cut off
/// from all targets at once. Callers who stay with it must not wait for their
/// deadlines.
fn a_cut_is_known_within_a_second(cut: Cut) {
    let mut reach = busy();
    let began = ms(1000);
    reach.record_sent(began);
    if cut != Cut::Hang {
        reach.record_failure();
    }
    let due = reach.next_round().expect("a round is due");
    let known = run_round(&mut reach, RoundResult::Failed(4), due.max(began));
    assert!(known <= began + KNOWN_WITHIN, "{known:?}");
    assert!(reach.reach(known).is_cut_off());
    if cut == Cut::NewRefused {
        reach.record_contact(known);
        assert_eq!(reach.reach(known), TargetReach::NoNewConnections);
    }
    if cut == Cut::Hang {
        assert_eq!(reach.reach(known), TargetReach::Silent);
    }
}

cases! {
    a_cut_is_known_within_a_second:
    from_connections_that_hang(Cut::Hang);
    from_connections_that_are_reset(Cut::Reset);
    from_refused_ones_while_open_ones_live(Cut::NewRefused);
}

/// Load pattern: steady requests while one target of several has crashed or
/// stands still. The instance goes on as before.
fn one_bad_target_is_no_cut(is_refusing: bool) {
    let mut reach = busy();
    for n in 50..150 {
        reach.record_sent(ms(20 * n));
        if is_refusing {
            reach.record_failure();
        }
        if reach.next_round().is_some_and(|due| due <= ms(20 * n)) {
            assert!(is_refusing, "others answer");
            run_round(&mut reach, RoundResult::Reached, ms(20 * n));
        }
        reach.record_contact(ms(20 * n + 15));
        assert_eq!(reach.reach(ms(20 * n + 15)), TargetReach::Reached);
    }
}

cases! {
    one_bad_target_is_no_cut:
    that_refuses_connections(true);
    that_is_silent(false);
}

/// Load pattern: a request now and then whose answer takes two seconds to begin.
/// No connection is opened for nothing.
#[test]
fn an_instance_with_slow_targets_probes_them_once() {
    let mut reach = Reachability::default();
    let mut rounds = 0;
    for n in 0..40 {
        let sent = ms(3000 * n);
        reach.record_sent(sent);
        if let Some(due) = reach.next_round().filter(|due| *due < sent + ms(1300)) {
            run_round(&mut reach, RoundResult::Reached, due);
            rounds += 1;
        }
        reach.record_contact(sent + ms(1300));
    }
    assert!(rounds <= 3, "{rounds} rounds");
}

/// Load pattern: no requests. Nothing is done and nothing is concluded.
#[test]
fn an_idle_instance_probes_nothing() {
    let reach = busy();
    assert_eq!(reach.next_round(), None);
    assert_eq!(reach.reach(ms(60_000)), TargetReach::Reached);
}

/// Load pattern: an instance that was cut off gets its callers' requests. It
/// takes them itself soon after the cut.
#[test]
fn a_cut_ends_with_the_first_connection() {
    let mut reach = busy();
    reach.record_failure();
    let known = run_round(&mut reach, RoundResult::Failed(4), ms(1000));
    let due = reach.next_round().expect("it is looked for the end");
    assert!(due <= known + ms(500), "{due:?}");
    run_round(&mut reach, RoundResult::Reached, due);
    assert_eq!(reach.reach(due), TargetReach::Reached);
    assert_eq!(reach.next_round(), None);
}

/// Load pattern: requests open connections while probes get no answer, as after
/// a loss of packets.
#[test]
fn a_connection_of_a_request_outweighs_the_probes() {
    let mut reach = busy();
    reach.record_failure();
    let round = reach.begin_round(ms(1000)).expect("a round is due");
    reach.record_connected(ms(1100));
    reach.finish_round(round, RoundResult::Failed(4), ms(1450));
    assert_eq!(reach.reach(ms(1450)), TargetReach::Reached);
}

/// Load pattern: streams on connections from before a cut go on while new ones
/// are reset.
#[test]
fn a_connection_from_before_a_round_says_nothing() {
    let mut reach = busy();
    reach.record_failure();
    let round = reach.begin_round(ms(1000)).expect("a round is due");
    reach.record_connected(ms(990));
    reach.finish_round(round, RoundResult::Failed(4), ms(1450));
    assert_eq!(reach.reach(ms(1450)), TargetReach::NoNewConnections);
}

/// Failure: a crash check took what a round showed that had begun before the loss.
#[test]
fn a_failure_is_explained_by_a_round_that_begins_after_it() {
    let mut reach = busy();
    reach.record_failure();
    let running = reach.begin_round(ms(1000)).expect("a round is due");
    let next = reach.record_failure();
    reach.finish_round(running, RoundResult::Reached, ms(1100));
    assert!(!reach.is_settled(next));
    let round = reach.begin_round(ms(1400)).expect("a round is due");
    reach.finish_round(round, RoundResult::Failed(4), ms(1850));
    assert!(reach.is_settled(next));
}

/// Failure: a crash check waited for connections of probes to be kept, and the
/// request that had crashed the target was sent to others meanwhile.
#[test]
fn an_accepted_connection_settles_a_failure() {
    let mut reach = busy();
    let next = reach.record_failure();
    let _round = reach.begin_round(ms(1000)).expect("a round is due");
    reach.record_accepted();
    assert!(reach.is_settled(next));
    assert!(!reach.explains_refused_connections());
}

/// Guards against a region without targets whose instance is taken for cut off.
#[test]
fn a_round_without_targets_says_nothing() {
    let mut reach = busy();
    reach.record_failure();
    run_round(&mut reach, RoundResult::Failed(0), ms(1000));
    assert_eq!(reach.reach(ms(2000)), TargetReach::Reached);
}

/// Guards against requests that are taken to have crashed targets which their
/// instance just can't reach, while a real crash of the only target counts.
fn a_refusal_is_explained(unreached: usize, is_explained: bool) {
    let mut reach = busy();
    reach.record_failure();
    run_round(&mut reach, RoundResult::Failed(unreached), ms(1000));
    assert_eq!(reach.explains_refused_connections(), is_explained);
}

cases! {
    a_refusal_is_explained:
    by_several_targets_out_of_reach(4, true);
    not_by_one_target(1, false);
}

/// Load pattern: callers who look for an instance while some of a region are cut
/// off. They are sent to the others unless those are too few to hold them all.
fn callers_are_sent(cut_off: usize, named: &[usize]) {
    let ready = vec![0, 1, 2, 3];
    let chosen = prefer_reaching(ready, |n| *n < cut_off);
    assert_eq!(chosen, named);
}

cases! {
    callers_are_sent:
    to_all_when_all_reach(0, &[0, 1, 2, 3]);
    to_the_others_when_one_is_cut(1, &[1, 2, 3]);
    to_the_others_when_half_are_cut(2, &[2, 3]);
    to_all_when_most_are_cut(3, &[0, 1, 2, 3]);
    to_all_when_all_are_cut(4, &[0, 1, 2, 3]);
}
