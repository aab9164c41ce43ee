//! How long the answer to a call is waited for, and when the call is repeated.

use std::time::Duration;

use chiverelay_decisions::call_limit::MAX_ANSWER_TIME;
use chiverelay_decisions::call_limit::OpenCalls;
use chiverelay_decisions::call_limit::REPEAT_AFTER;
use support::cases;

/// Pause before a call is repeated.
const PAUSE: Duration = Duration::from_millis(350);

/// Time that an answer takes on its way if the peer is quick.
const QUICK: Duration = Duration::from_millis(10);

/// Time after which nothing is heard any more.
const PATIENCE: Duration = Duration::from_secs(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns when the first answer comes: calls are made until then, each answered
/// `answer_time(begun)` after it was made, or never.
fn first_answer<F>(answer_time: F) -> Option<Duration>
where
    F: Fn(Duration) -> Option<Duration>,
{
    let mut calls = OpenCalls::default();
    let mut first: Option<Duration> = None;
    let mut now = Duration::ZERO;
    while now < PATIENCE {
        calls.begin(now);
        let answered = answer_time(now).filter(|time| *time < MAX_ANSWER_TIME);
        let answered = answered.map(|time| now + time);
        first = first.into_iter().chain(answered).min();
        now = calls.repeat_at().expect("a call is open") + PAUSE;
        if first.is_some_and(|first| first <= now) {
            return first;
        }
    }
    None
}

/// Pattern: a store that takes as long for each answer. Failure: with a limit of
/// 1.5 s for each call none was ever heard.
fn a_slow_peer_is_heard(answer_time: Duration) {
    assert_eq!(first_answer(|_| Some(answer_time)), Some(answer_time));
}

cases! {
    a_slow_peer_is_heard:
    that_is_quick(QUICK);
    that_needs_two_seconds(ms(2000));
    that_needs_almost_six_seconds(ms(5900));
}

#[test]
fn a_peer_that_needs_longer_than_the_longest_time_is_not_heard() {
    assert_eq!(first_answer(|_| Some(MAX_ANSWER_TIME)), None);
}

/// Pattern: an instance that was cut off for a while, with calls that are never
/// answered. Guards against calls that come later as the outage lasts.
fn the_end_of_an_outage_is_found(ends: Duration) {
    let answer_time = |begun| (begun >= ends).then_some(QUICK);
    let found = first_answer(answer_time).expect("the peer answers in the end");
    assert!(found <= ends + REPEAT_AFTER + PAUSE + QUICK, "{found:?}");
}

cases! {
    the_end_of_an_outage_is_found:
    of_one_call(ms(1));
    of_seconds(ms(5000));
    of_a_long_time(ms(45_000));
}

/// Guards against a store that is slow and gets ever more calls at once.
#[test]
fn the_number_of_open_calls_is_bounded() {
    let mut calls = OpenCalls::default();
    let mut now = Duration::ZERO;
    for _ in 0..100 {
        calls.begin(now);
        let open = calls.count(now);
        assert!(open <= 4, "{open}");
        now = calls.repeat_at().expect("a call is open");
    }
    assert_eq!(calls.count(now + MAX_ANSWER_TIME), 0);
}
