//! Compares ways to divide a limit on the same schedules: refusals while a
//! shared bucket would have admitted, and overshoot; the cost of a charge; and
//! the bytes of a move of tokens between instances.

use std::ops::RangeInclusive;
use std::time::Duration;
use std::time::Instant;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::limits::Fraction;
use chiverelay_decisions::limits::Lease;
use chiverelay_decisions::limits::Limit;
use chiverelay_decisions::limits::LoanGrant;
use chiverelay_decisions::limits::LoanId;
use chiverelay_decisions::limits::LoanRequest;
use chiverelay_decisions::limits::LoanReturn;
use chiverelay_decisions::limits::MAX_LOAN_DURATION;
use chiverelay_decisions::limits::NANO_TOKENS_PER_TOKEN;
use chiverelay_decisions::limits::Share;
use chiverelay_decisions::limits::ShareContext;
use chiverelay_decisions::limits::TokenBucket;
use chiverelay_decisions::limits::shorten_for_drift;
use chiverelay_decisions::names::Account;
use chiverelay_sibling::Envelope;
use chiverelay_sibling::Message;
use chiverelay_sibling::VERSION;
use chiverelay_sibling::encode;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::fleet::Flaw;
use support::fleet::Fleet;

const REGIONS: [&str; 6] = ["lima", "lima", "arequipa", "arequipa", "cusco", "cusco"];
const RATE: u64 = 5000;
const BURST: u64 = 20_000;

/// A stamp as of today.
const STAMP: Stamp = Stamp {
    wall_ms: 1_800_000_000_000,
    counter: 0,
};

/// Requests of a schedule.
const REQUESTS: usize = 4000;

/// Part of the requests that come to the first instance, in hundredths.
const SKEWS: [u32; 3] = [17, 60, 95];

/// Part of the rate that is asked for, in hundredths.
const LOADS: [u64; 2] = [70, 95];

/// Seeds of the schedules.
const SEEDS: RangeInclusive<u64> = 1..=4;

#[derive(Clone, Copy)]
struct Request {
    wait: Duration,
    who: usize,
    tokens: u64,
}

fn schedule(skew: u32, load: u64, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let request = |_| {
        let tokens = rng.random_range(100..1500_u64);
        let micros = tokens * 1_000_000 * 100 / (RATE * load);
        Request {
            wait: Duration::from_micros(rng.random_range(0..micros * 2)),
            who: match rng.random_range(0..100) < skew {
                true => 0,
                false => rng.random_range(0..REGIONS.len()),
            },
            tokens,
        }
    };
    (0..REQUESTS).map(request).collect()
}

/// Returns which requests one shared bucket admits.
fn oracle(schedule: &[Request]) -> Vec<bool> {
    let mut bucket = TokenBucket::full(RATE, BURST, Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut admit = |r: &Request| {
        now += r.wait;
        bucket.try_take(r.tokens, now)
    };
    schedule.iter().map(&mut admit).collect()
}

/// Returns which requests the instances admit, and the overshoot.
fn divided(schedule: &[Request], asks: bool) -> (Vec<bool>, u64) {
    let mut fleet = Fleet::new(&REGIONS, &[0], RATE, BURST, Flaw::None);
    // The parts that were divided anew fill first.
    for _ in 0..8 {
        fleet.pass(Duration::from_secs(1));
        fleet.round(0);
    }
    let mut rounds = Duration::ZERO;
    let mut admit = |r: &Request| {
        fleet.pass(r.wait);
        rounds += r.wait;
        if rounds > Duration::from_secs(1) {
            rounds = Duration::ZERO;
            fleet.round(0);
            match asks {
                true => fleet.deliver_all(),
                false => fleet.lose_all(),
            }
        }
        match asks {
            true => fleet.request_with_asks(r.who, r.tokens, r.tokens),
            false => fleet.request(r.who, r.tokens, r.tokens),
        }
    };
    let admitted = schedule.iter().map(&mut admit).collect();
    (admitted, fleet.outcome().overshoot)
}

fn wrong(admitted: &[bool], oracle: &[bool]) -> f64 {
    let pairs = admitted.iter().zip(oracle);
    let wrong = pairs.filter(|(got, could)| **could && !**got).count();
    100.0 * wrong as f64 / admitted.len() as f64
}

fn compare(skew: u32, load: u64, seed: u64) {
    let schedule = schedule(skew, load, seed);
    let oracle = oracle(&schedule);
    let (fixed, over_fixed) = divided(&schedule, false);
    let (built, over_built) = divided(&schedule, true);
    println!(
        "skew {skew}% load {load}% seed {seed}: wrong refusals: fixed parts {:.2}%, built {:.2}%; overshoot: {over_fixed}, {over_built} tokens",
        wrong(&fixed, &oracle),
        wrong(&built, &oracle),
    );
}

fn time_a_charge() {
    let limit = Limit {
        rate: RATE,
        burst: BURST,
    };
    let lease = Lease {
        expires_at: Duration::from_secs(3600),
    };
    let mut share = Share::full(0, Fraction::WHOLE, limit, Duration::ZERO);
    let n = 1_000_000_u64;
    let start = Instant::now();
    for i in 0..n {
        let now = Duration::from_millis(i);
        if let Ok(receipt) = share.charge(1, ShareContext { limit, lease, now }) {
            share.settle(&receipt, 1, ShareContext { limit, lease, now });
        }
    }
    let nanos = start.elapsed().as_nanos() as u64 / n;
    println!("a charge and its settlement: {nanos} ns");
    println!("a share: {} bytes", size_of_val(&share));
}

/// Prints the bytes of a loan that is asked for, made, and given back.
fn bytes_of_a_move() {
    let id = LoanId {
        incarnation: u64::MAX,
        sequence: 1_000_000,
    };
    let account = Account::from("account-26000");
    let tokens = u128::from(BURST) * NANO_TOKENS_PER_TOKEN;
    let messages = [
        Message::ShareAsk(LoanRequest {
            id,
            account: account.clone(),
            tokens,
        }),
        Message::Lend(Some(LoanGrant {
            id,
            account: account.clone(),
            fraction: Fraction::WHOLE,
            tokens,
            valid_for: shorten_for_drift(MAX_LOAN_DURATION),
        })),
        Message::Return(LoanReturn {
            id,
            account,
            tokens,
        }),
        Message::Done,
    ];
    let sizes = messages.map(|message| {
        let envelope = Envelope {
            version: VERSION,
            stamp: STAMP,
            message,
        };
        encode(&envelope).expect("a message").len()
    });
    let all: usize = sizes.iter().sum();
    println!("a move of tokens: {all} bytes (ask, loan, return, done: {sizes:?})");
}

fn main() {
    bytes_of_a_move();
    for load in LOADS {
        for skew in SKEWS {
            SEEDS.for_each(|seed| compare(skew, load, seed));
        }
    }
    time_a_charge();
}
