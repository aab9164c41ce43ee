//! The store's client: settled writes, watches, leases, and its manners.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chiverelay_decisions::backoff::Backoff;
use chiverelay_decisions::pacing::Pacer;
use chiverelay_decisions::store_session::CallOutcome;
use chiverelay_decisions::store_session::Session;
use chiverelay_decisions::store_session::SessionState;
use chiverelay_standin::faults::Faults;
use chiverelay_standin::store as standin;
use chiverelay_store::Budget;
use chiverelay_store::Change;
use chiverelay_store::Error;
use chiverelay_store::Gate;
use chiverelay_store::Kind;
use chiverelay_store::Renewal;
use chiverelay_store::Settled;
use chiverelay_store::Store;
use chiverelay_store::Swap;
use chiverelay_store::Update;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::block_on;
use support::cases;
use support::platform::RunningStore;
use tokio::time::Instant;

/// Time for a call that is to fail soon.
const SHORT: Duration = Duration::from_millis(150);

/// Time for a call that is to be answered.
const LONG: Duration = Duration::from_secs(20);

fn refuse() -> Faults {
    Faults {
        refuse: true,
        ..Faults::default()
    }
}

fn freeze() -> Faults {
    Faults {
        freeze: true,
        ..Faults::default()
    }
}

fn lose_answer() -> Faults {
    Faults {
        lose_answer: true,
        ..Faults::default()
    }
}

fn delay(ms: u64) -> Faults {
    Faults {
        delay_ms: ms,
        ..Faults::default()
    }
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Done,
    Conflict,
    Unknown,
    NotSent,
}

async fn settle(store: &Store, value: &[u8]) -> Outcome {
    match store.swap_settled("k", None, value, None).await {
        Ok(Settled::Done) => Outcome::Done,
        Ok(Settled::Conflict(_)) => Outcome::Conflict,
        Ok(Settled::Unknown(_)) => Outcome::Unknown,
        Err(_) => Outcome::NotSent,
    }
}

/// Waits until a fault has struck, then ends it.
async fn heal(state: &standin::Store) {
    while state.script.struck() == 0 {
        tokio::task::yield_now().await;
    }
    state.script.set(Faults::default());
}

/// Writes under a fault, which ends once it has struck if `heals`, and checks
/// the outcome against what stands in the store.
fn check_settled(faults: Faults, heals: bool, other: Option<&'static [u8]>, want: Outcome) {
    block_on(async {
        let running = RunningStore::start().await;
        let client = running.client(SHORT);
        if let Some(other) = other {
            running.state.put("k", Some(other));
        }
        running.state.script.set(faults);
        let healed = async {
            if heals {
                heal(&running.state).await;
            }
        };
        let (outcome, ()) = tokio::join!(settle(&client, b"mine"), healed);
        assert_eq!(outcome, want);
        if outcome == Outcome::Done {
            assert_eq!(running.state.value("k").as_deref(), Some(&b"mine"[..]));
        }
    });
}

cases! {
    check_settled:
    settled_without_faults(Faults::default(), false, None, Outcome::Done);
    settled_conflict(Faults::default(), false, Some(b"theirs"), Outcome::Conflict);
    settled_after_a_lost_answer(lose_answer(), true, None, Outcome::Done);
    settled_conflict_after_a_lost_answer(lose_answer(), true, Some(b"theirs"), Outcome::Conflict);
    settled_after_a_refusal(refuse(), true, None, Outcome::Done);
    unknown_while_answers_are_lost(lose_answer(), false, None, Outcome::Unknown);
    unknown_while_frozen(freeze(), false, None, Outcome::Unknown);
    settled_by_a_slow_store(delay(60), false, None, Outcome::Done);
}

#[test]
fn a_plain_swap_can_not_tell_its_own_value_after_a_lost_answer() {
    block_on(async {
        let running = RunningStore::start().await;
        let client = running.client(SHORT);
        running.state.script.set(lose_answer());
        let first = client.swap("k", None, b"mine", None).await;
        assert!(matches!(first, Err(Error::Lost { .. })), "{first:?}");
        running.state.script.set(Faults::default());
        let again = client.swap("k", None, b"mine", None).await;
        assert!(matches!(again, Ok(Swap::Conflict(_))), "{again:?}");
    });
}

#[test]
fn a_value_over_a_megabyte_is_refused() {
    block_on(async {
        let running = RunningStore::start().await;
        let client = running.client(LONG);
        let value = vec![b'x'; 1024 * 1024 + 1];
        let swap = client.swap("k", None, &value, None).await;
        assert!(matches!(swap, Err(Error::Refused { status: 400 })));
        assert_eq!(running.state.value("k"), None);
    });
}

fn key_of(update: &Update) -> Option<String> {
    match update {
        Update::One(Change::Put(entry)) => Some(entry.key.clone()),
        Update::One(Change::Delete { key, .. }) => Some(format!("-{key}")),
        Update::All(_) => None,
    }
}

#[test]
fn a_watch_tells_every_change_of_its_prefix() {
    block_on(async {
        let running = RunningStore::start().await;
        let mut follower = running.client(LONG).follow("a/");
        running.state.put("a/0", Some(b"0"));
        let Update::All(entries) = follower.next().await else {
            panic!("the keys are listed first");
        };
        assert_eq!(entries.len(), 1);
        running.state.put("b/1", Some(b"1"));
        running.state.put("a/1", Some(b"1"));
        assert_eq!(key_of(&follower.next().await).as_deref(), Some("a/1"));
        running.state.put("a/1", None);
        assert_eq!(key_of(&follower.next().await).as_deref(), Some("-a/1"));
        assert_eq!(running.state.counts().watches, 1);
    });
}

/// A change made while the watch is cut is told after `faults` end.
fn check_resumed(faults: Faults, compact: bool) {
    block_on(async {
        let running = RunningStore::start().await;
        let client = running.client(LONG);
        let mut follower = client.follow("a/");
        follower.next().await;
        running.state.put("a/1", Some(b"1"));
        follower.next().await;
        running.state.script.set(faults);
        running.state.put("a/2", Some(b"2"));
        if compact {
            running.state.compact();
        }
        let state = Arc::clone(&running.state);
        let heal = async move {
            tokio::time::sleep(SHORT).await;
            state.script.set(Faults::default());
        };
        let (update, ()) = tokio::join!(follower.next(), heal);
        match update {
            Update::All(entries) => assert!(compact && entries.len() == 2, "{entries:?}"),
            update => assert!(!compact && key_of(&update).as_deref() == Some("a/2")),
        }
    });
}

cases! {
    check_resumed:
    watch_goes_on(Faults::default(), false);
    watch_resumes_after_an_outage(refuse(), false);
    watch_resumes_after_a_freeze(freeze(), false);
    watch_lists_anew_after_compaction(refuse(), true);
}

fn tells_of(update: &Update, key: &str) -> bool {
    match update {
        Update::All(entries) => entries.iter().any(|entry| entry.key == key),
        Update::One(Change::Put(entry)) => entry.key == key,
        Update::One(Change::Delete { .. }) => false,
    }
}

/// Guards against a follower that is told of nothing more, as it waits for a
/// revision of data that the store has lost.
#[test]
fn a_follower_is_told_what_is_written_after_the_store_came_back_from_a_copy() {
    block_on(async {
        let running = RunningStore::start().await;
        let mut follower = running.client(LONG).follow("a/");
        follower.next().await;
        let copy = running.state.copy();
        for key in ["a/1", "a/2", "a/3"] {
            running.state.put(key, Some(b"lost"));
            follower.next().await;
        }
        running.state.restore(copy);
        running.state.put("a/4", Some(b"kept"));
        let told = async { while !tells_of(&follower.next().await, "a/4") {} };
        let told = tokio::time::timeout(LONG, told).await;
        assert!(told.is_ok(), "it waits for a revision that was lost");
    });
}

/// Guards against a lost update: a value that was read before the store came
/// back from a copy has the revision of another that was written since.
#[test]
fn a_swap_conflicts_with_another_value_of_the_same_revision() {
    block_on(async {
        let running = RunningStore::start().await;
        let client = running.client(LONG);
        let copy = running.state.copy();
        running.state.put("k", Some(b"lost"));
        let read = client.get("k").await.expect("an answer");
        let read = read.expect("an entry");
        running.state.restore(copy);
        running.state.put("k", Some(b"another"));
        let swap = client.swap("k", Some(&read), b"mine", None).await;
        assert!(matches!(swap, Ok(Swap::Conflict(_))), "{swap:?}");
    });
}

#[test]
fn a_waiting_watch_is_counted() {
    block_on(async {
        let running = RunningStore::start().await;
        let client = running.client(LONG);
        let watch = client.watch("a/", 0).await.expect("a watch");
        assert_eq!(client.gate().calls().of(Kind::Watch), 1);
        assert_eq!(client.gate().calls().waiting(), 1);
        drop(watch);
        assert_eq!(client.gate().calls().waiting(), 0);
        assert_eq!(client.gate().calls().total(), running.state.calls());
    });
}

#[test]
fn a_lapsed_lease_writes_nothing() {
    block_on(async {
        let running = RunningStore::start().await;
        let client = running.client(LONG);
        let lease = client.grant_lease(Duration::from_secs(1)).await;
        let lease = lease.expect("a lease");
        tokio::time::sleep_until(lease.until()).await;
        let calls = running.state.calls();
        let swap = client.swap("k", None, b"late", Some(&lease)).await;
        assert!(matches!(swap, Err(Error::Lapsed)), "{swap:?}");
        assert!(lease.check().is_err());
        assert_eq!(running.state.calls(), calls);
    });
}

/// What a renewal says under a fault.
fn check_renewal(faults: Faults, lapse: bool, want: &str) {
    block_on(async {
        let running = RunningStore::start().await;
        let client = running.client(SHORT);
        let ttl = Duration::from_secs(if lapse { 1 } else { 60 });
        let lease = client.grant_lease(ttl).await.expect("a lease");
        running.state.script.set(faults);
        if lapse {
            tokio::time::sleep_until(lease.until()).await;
        }
        let renewal = match lease.renew(&client).await {
            Renewal::Held(_) => "held",
            Renewal::Lapsed(_) => "lapsed",
            Renewal::Unanswered(..) => "unanswered",
        };
        assert_eq!(renewal, want);
    });
}

cases! {
    check_renewal:
    renewed(Faults::default(), false, "held");
    not_renewed_by_a_refusal(refuse(), false, "unanswered");
    not_renewed_by_a_lost_answer(lose_answer(), false, "unanswered");
    not_renewed_by_a_frozen_store(freeze(), false, "unanswered");
    lapsed_at_its_holder_first(Faults::default(), true, "lapsed");
}

const ANSWERED: CallOutcome = CallOutcome::Answered {
    elapsed: Duration::from_millis(3),
};
const LATE: CallOutcome = CallOutcome::Answered {
    elapsed: Duration::from_secs(1),
};
const FAILED: CallOutcome = CallOutcome::Failed {
    at: Duration::from_secs(1),
    random: u64::MAX / 2,
};

fn check_session(events: &[CallOutcome], want: SessionState) {
    let mut session = Session::new();
    events.iter().for_each(|event| session.handle(*event));
    assert_eq!(session.state(), want);
}

cases! {
    check_session:
    session_starts_up(&[], SessionState::Up);
    session_slow_by_a_late_answer(&[LATE], SessionState::Slow);
    session_up_again(&[LATE, ANSWERED], SessionState::Up);
    session_slow_by_one_failure(&[FAILED], SessionState::Slow);
    session_not_out_by_scattered_failures(&[FAILED, FAILED, ANSWERED, FAILED], SessionState::Slow);
    session_out_by_failures_in_a_row(&[FAILED, FAILED, FAILED], SessionState::Out);
    session_up_by_one_answer(&[FAILED, FAILED, FAILED, FAILED, ANSWERED], SessionState::Up);
}

#[test]
fn one_call_at_a_time_while_out() {
    let mut session = Session::new();
    (0..3).for_each(|_| session.handle(FAILED));
    assert!(!session.try_start_call(Duration::from_secs(1), 0));
    assert!(session.try_start_call(Duration::from_secs(9), u64::MAX));
    assert!(!session.try_start_call(Duration::from_secs(9), u64::MAX));
    session.handle(ANSWERED);
    assert!(session.try_start_call(Duration::from_secs(9), 0));
}

fn bounded_delay(retry: u32, random: u64) -> bool {
    let backoff = Backoff {
        base: Duration::from_millis(100),
        cap: Duration::from_secs(3),
    };
    let delay = backoff.delay(retry, random);
    delay <= backoff.bound(retry) && backoff.bound(retry) <= backoff.cap
}

#[test]
fn backoff_stays_in_its_bounds() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 2))
        .tests(1000)
        .quickcheck(bounded_delay as fn(u32, u64) -> bool);
}

/// Over any run of calls, every span has at most its length's worth of the
/// rate, a second's worth more, and one.
fn paced(rate: u8, steps: Vec<u16>) -> bool {
    let rate = f64::from(rate.max(1));
    let mut pacer = Pacer::new(rate);
    let mut now = Duration::ZERO;
    let mut starts = Vec::new();
    for step in steps {
        now += Duration::from_millis(u64::from(step % 400));
        starts.extend(pacer.reserve(now, Duration::from_secs(5)));
    }
    (0..starts.len()).all(|from| {
        (from..starts.len()).all(|to| {
            let span = (starts[to] - starts[from]).as_secs_f64();
            (to - from) as f64 <= rate * (span + 1.0) + 1.0
        })
    })
}

#[test]
fn pacer_keeps_its_rate() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 3))
        .tests(500)
        .quickcheck(paced as fn(u8, Vec<u16>) -> bool);
}

/// The fleet of the size to design for.
const FLEET: u32 = 330;

/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(120);

/// Runs a fleet whose instances each want to call every 50 ms through an
/// outage and returns the most calls that arrive in a second after it.
fn busiest_second(gated: bool, kind: Kind) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime can be made");
    runtime.block_on(async {
        let start = Instant::now();
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = tokio::task::JoinSet::new();
        for seed in 0..FLEET {
            tasks.spawn(call_again_and_again(
                seed,
                gated,
                kind,
                Arc::clone(&arrivals),
            ));
        }
        tasks.join_all().await;
        let arrivals = arrivals.lock().expect("no task panicked");
        let mut seconds = std::collections::BTreeMap::<u64, usize>::new();
        for at in arrivals.iter().filter(|at| **at >= start + OUTAGE) {
            *seconds.entry((*at - start).as_secs()).or_default() += 1;
        }
        seconds.into_values().max().unwrap_or(0)
    })
}

async fn call_again_and_again(
    seed: u32,
    gated: bool,
    kind: Kind,
    arrivals: Arc<Mutex<Vec<Instant>>>,
) {
    let start = Instant::now();
    let gate = Gate::new(Budget::default(), u64::from(seed));
    gate.set_fleet(FLEET);
    while start.elapsed() < OUTAGE + Duration::from_secs(15) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let arrive = || {
            arrivals
                .lock()
                .expect("no task panicked")
                .push(Instant::now());
        };
        if !gated {
            arrive();
            continue;
        }
        let Ok(permit) = gate.enter(kind, Duration::from_secs(3)).await else {
            continue;
        };
        arrive();
        permit.end(&match start.elapsed() < OUTAGE {
            true => Err(Error::Refused { status: 503 }),
            false => Ok(()),
        });
    }
}

/// Half of the store's rate is the most that the fleet takes when the store
/// returns; clients that call as they please take more than the whole.
fn check_return(kind: Kind, whole: usize) {
    let gated = busiest_second(true, kind);
    let naive = busiest_second(false, kind);
    println!("store return: {kind:?}: gated {gated}/s, naive {naive}/s of {whole}/s");
    assert!(gated <= whole / 2, "{gated}");
    assert!(naive > whole, "{naive}");
}

cases! {
    check_return:
    reads_at_the_return(Kind::Get, 2000);
    writes_at_the_return(Kind::Swap, 300);
}
