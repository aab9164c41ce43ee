//! The token bucket.

use std::time::Duration;

use chiverelay_decisions::limits::TokenBucket;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::cases;

fn check_take(level: u64, take: u64, want: bool) {
    let mut bucket = TokenBucket::empty(1, 100, Duration::ZERO);
    bucket.refund(level, Duration::ZERO);
    assert_eq!(bucket.try_take(take, Duration::ZERO), want);
}

cases! {
    check_take:
    nothing_from_empty(0, 0, true);
    one_from_empty(0, 1, false);
    all_of_it(7, 7, true);
    more_than_it_holds(7, 8, false);
    more_than_the_burst(200, 101, false);
}

/// Over any run of takes, no more is taken than the burst and the rate allow.
fn bounded(rate: u16, burst: u16, takes: Vec<(u16, u32)>) -> bool {
    let (rate, burst) = (u64::from(rate), u64::from(burst));
    let mut bucket = TokenBucket::full(rate, burst, Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut taken = 0_u128;
    takes.into_iter().all(|(tokens, micros)| {
        now += Duration::from_micros(u64::from(micros));
        if bucket.try_take(u64::from(tokens), now) {
            taken += u128::from(tokens);
        }
        let filled = now.as_nanos() * u128::from(rate);
        taken * 1_000_000_000 <= u128::from(burst) * 1_000_000_000 + filled
    })
}

#[test]
fn never_over_rate_and_burst() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(1000)
        .quickcheck(bounded as fn(u16, u16, Vec<(u16, u32)>) -> bool);
}
