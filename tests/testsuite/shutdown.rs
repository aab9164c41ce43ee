//! Which requests an instance takes while it shuts down.

use std::time::Duration;

use chiverelay_decisions::catalog::RouteKind;
use chiverelay_decisions::shutdown::RequestTimes;
use chiverelay_decisions::shutdown::ShutdownDeadline;
use support::cases;

/// When open requests are ended, in milliseconds.
const END: u64 = 10_000;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };

const STREAM: RouteKind = RouteKind::Stream { resumable: false };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a request that is passed on as an instance shuts down and
/// can't end in time.
fn check_accepts(kind: RouteKind, now: u64, deadline: u64, usual: u64, want: bool) {
    let shutdown = ShutdownDeadline::new(ms(END));
    let times = RequestTimes {
        deadline: ms(deadline),
        usual: ms(usual),
    };
    assert_eq!(shutdown.accepts(kind, times, ms(now)), want);
}

cases! {
    check_accepts:
    once_only_with_a_deadline_in_time(RouteKind::Once, 4_000, 8_000, 60, true);
    once_only_that_is_mostly_fast(RouteKind::Once, 4_000, 14_000, 60, false);
    once_only_with_no_time_for_its_answer(RouteKind::Once, 4_000, END, 60, false);
    a_stream_that_may_not_go_on_and_is_mostly_fast(STREAM, 4_000, 14_000, 600, false);
    a_stream_that_may_not_go_on_with_a_deadline_in_time(STREAM, 4_000, 9_000, 8_000, true);
    a_stream_that_may_go_on_and_is_mostly_fast(RESUMABLE, 4_000, 14_000, 600, true);
    a_stream_that_may_go_on_and_is_mostly_slow(RESUMABLE, 4_000, 14_000, 3_000, false);
    repeatable_and_mostly_fast(RouteKind::Idempotent, 9_500, 14_000, 60, true);
    repeatable_after_the_end(RouteKind::Idempotent, 10_500, 14_000, 60, false);
    repeatable_with_a_time_beyond_every_clock(RouteKind::Idempotent, 4_000, 14_000, u64::MAX, false);
}

/// Guards against an attempt that outlasts the instance.
#[test]
fn an_attempt_ends_before_the_instance_does() {
    let shutdown = ShutdownDeadline::new(ms(END));
    assert!(shutdown.limit(ms(14_000)) < ms(END));
    assert_eq!(shutdown.limit(ms(8_000)), ms(8_000));
    assert_eq!(ShutdownDeadline::new(ms(1)).limit(ms(50)), ms(0));
}
