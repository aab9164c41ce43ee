//! Limits of client accounts, summed over all instances.

use std::time::Duration;

use chiverelay_decisions::limits::Fraction;
use chiverelay_decisions::limits::Lease;
use chiverelay_decisions::limits::Limit;
use chiverelay_decisions::limits::NANO_TOKENS_PER_TOKEN;
use chiverelay_decisions::limits::Share;
use chiverelay_decisions::limits::ShareContext;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::cases;
use support::fleet::Call;
use support::fleet::Flaw;
use support::fleet::Fleet;

/// Regions of the instances; the first one has the store.
const REGIONS: [&str; 5] = ["lima", "lima", "lima", "cusco", "cusco"];

/// Clock errors in parts in a thousand, up to the margin.
const DRIFTS: [i64; 5] = [1, -1, 0, -1, 1];

/// Tokens a second and at once.
const LIMIT: (u64, u64) = (1000, 5000);

/// A step of a schedule.
#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    who: u8,
    amount: u16,
    wait: u16,
    faults: u64,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g),
            who: u8::arbitrary(g),
            amount: u16::arbitrary(g),
            wait: u16::arbitrary(g),
            faults: u64::arbitrary(g),
        }
    }
}

impl Step {
    fn wait(&self) -> Duration {
        let millis = u64::from(self.wait);
        Duration::from_millis(match millis % 16 {
            0 => millis % 20_000,
            1 | 2 => millis % 3_000,
            3..=8 => millis % 300,
            _ => 0,
        })
    }

    fn run(&self, fleet: &mut Fleet, faults: u64) {
        fleet.pass(self.wait());
        let i = usize::from(self.who) % fleet.len();
        let flag = self.amount.is_multiple_of(2);
        let tokens = u64::from(self.amount) % 3000 + 1;
        let post = usize::from(self.amount);
        let allowed = |n: u32| faults >> n & 1 == 1;
        match self.kind % 66 {
            0..=9 => drop(fleet.request(i, tokens, tokens)),
            10..=15 => drop(fleet.request(i, tokens, self.faults % (tokens + 1))),
            16..=19 => fleet.drain(i),
            20..=23 => fleet.drain_all(),
            24..=29 => fleet.settle(i),
            30..=40 => fleet.deliver(post, false, allowed(0) && self.faults.is_multiple_of(8)),
            41..=43 if allowed(1) => fleet.deliver(post, true, false),
            44..=45 => rest(fleet),
            46..=53 => fleet.round(if allowed(2) { self.faults } else { 0 }),
            54 if allowed(2) => fleet.tick(i, Call::of(self.faults as u8)),
            55 => fleet.arrive(),
            56 if allowed(3) => fleet.freeze(i, flag),
            57 => fleet.freeze(i, false),
            58 if allowed(4) => fleet.restart(i),
            59 if allowed(5) => fleet.store_out(flag),
            60 if allowed(6) => fleet.cut(flag),
            61 if allowed(7) => fleet.limit(tokens / 2, tokens * 2),
            62 => fleet.configure(i),
            63 if allowed(8) => fleet.alone(i, flag),
            64 if allowed(9) => fleet.leave(i),
            65 if allowed(9) => fleet.restart(i),
            _ => fleet.round(0),
        }
    }
}

/// Lets the shares fill, with all periodic work done.
fn rest(fleet: &mut Fleet) {
    for _ in 0..5 {
        fleet.pass(Duration::from_millis(1500));
        fleet.round(0);
    }
}

fn overshoot(steps: &[Step], flaw: Flaw) -> u64 {
    let mut fleet = Fleet::new(&REGIONS, &DRIFTS, LIMIT.0, LIMIT.1, flaw);
    // Each schedule has some of the faults, so that each comes up alone too.
    let faults = steps.first().map_or(0, |s| s.faults >> 32);
    for step in steps {
        step.run(&mut fleet, faults);
    }
    fleet.outcome().overshoot
}

fn never_over(steps: Vec<Step>) -> bool {
    overshoot(&steps, Flaw::None) == 0
}

/// No window of any schedule has more than the rate and the burst allow.
fn check_never_over(seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, seed))
        .tests(1000)
        .quickcheck(never_over as fn(Vec<Step>) -> bool);
}

cases! {
    check_never_over:
    never_over_the_limit_seed_1(1);
    never_over_the_limit_seed_2(2);
    never_over_the_limit_seed_3(3);
    never_over_the_limit_seed_7(7);
}

/// Without one of the rules some schedule spends too much.
fn check_noticed(flaw: Flaw) {
    let found = (0..1000_u64).find(|seed| {
        let steps = Vec::arbitrary(&mut Gen::from_size_and_seed(150, *seed));
        overshoot(&steps, flaw) > 0
    });
    assert!(found.is_some(), "{flaw:?} is never noticed");
}

cases! {
    check_noticed:
    notices_a_giver_that_keeps_what_it_lends(Flaw::GiverKeeps);
    notices_a_lease_that_is_trusted(Flaw::TrustsLease);
    notices_a_reclaimed_part_that_starts_full(Flaw::StartsFull);
    notices_a_read_taken_for_a_write(Flaw::AdoptsRead);
    notices_a_record_before_the_giving_up(Flaw::RecordsFirst);
    notices_a_reclaim_by_another_region(Flaw::AnyRegion);
}

/// A script keeps the limit, and spends too much without one of the rules.
fn check_script(script: fn(&mut Fleet), flaw: Flaw) {
    let outcome = |flaw| {
        let mut fleet = Fleet::new(&REGIONS, &DRIFTS, LIMIT.0, LIMIT.1, flaw);
        rest(&mut fleet);
        script(&mut fleet);
        fleet.outcome()
    };
    assert_eq!(outcome(Flaw::None).overshoot, 0);
    assert!(outcome(flaw).overshoot > 0, "{flaw:?} is not noticed");
}

/// Time goes on with all periodic work, and all that comes in is spent.
fn spend_for(fleet: &mut Fleet, rounds: usize) {
    for _ in 0..rounds {
        fleet.drain_all();
        fleet.pass(Duration::from_millis(500));
        fleet.round(0);
    }
    fleet.drain_all();
}

fn doubled(fleet: &mut Fleet) {
    fleet.request(3, 4000, 4000);
    (0..4).rev().for_each(|i| fleet.deliver(i, false, false));
    (0..4).for_each(|i| fleet.deliver(i, true, false));
    fleet.deliver_all();
    fleet.drain_all();
}

fn late(fleet: &mut Fleet) {
    fleet.drain(0);
    fleet.request(0, 4000, 4000);
    (0..4).rev().for_each(|i| fleet.deliver(i, false, false));
    // The answers arrive after the loans have ended.
    (0..3).for_each(|_| rest(fleet));
    fleet.deliver_all();
    fleet.drain_all();
}

fn leaves_with_loans(fleet: &mut Fleet) {
    fleet.request(0, 4000, 1);
    fleet.deliver_all();
    (0..fleet.len()).for_each(|i| fleet.settle(i));
    fleet.leave(1);
    fleet.leave(2);
    // What was lent is spent at the taker while the others grow.
    for _ in 0..8 {
        fleet.round(0);
        fleet.pass(Duration::from_millis(300));
        fleet.drain_all();
    }
    spend_for(fleet, 30);
}

fn isolated(fleet: &mut Fleet) {
    fleet.alone(0, true);
    spend_for(fleet, 120);
}

fn store_returns_to_others_first(fleet: &mut Fleet) {
    fleet.store_out(true);
    for _ in 0..30 {
        fleet.pass(Duration::from_millis(500));
        fleet.round(0);
    }
    fleet.without_store(0, true);
    fleet.store_out(false);
    spend_for(fleet, 12);
}

cases! {
    check_script:
    a_doubled_loan(doubled, Flaw::AppliesTwice);
    a_late_loan(late, Flaw::CountsFromArrival);
    a_holder_that_leaves(leaves_with_loans, Flaw::LeavesEarly);
    a_holder_alone(isolated, Flaw::VouchesForItself);
    a_holder_that_others_vouched_for(store_returns_to_others_first, Flaw::AsksNobody);
}

/// A charge that is settled twice is refunded once.
#[test]
fn a_charge_ends_once() {
    let limit = Limit {
        rate: 1,
        burst: 100,
    };
    let lease = Lease {
        expires_at: Duration::from_secs(1),
    };
    let now = Duration::ZERO;
    let at = ShareContext { limit, lease, now };
    let mut share = Share::full(0, Fraction::WHOLE, limit, now);
    let first = share.charge(40, at).expect("the share is full");
    let second = share.charge(40, at).expect("20 are left over");
    share.settle(&first, 0, at);
    share.settle(&first, 0, at);
    assert_eq!(share.level(), 60 * NANO_TOKENS_PER_TOKEN);
    share.settle(&second, 40, at);
    assert_eq!(share.level(), 60 * NANO_TOKENS_PER_TOKEN);
}
