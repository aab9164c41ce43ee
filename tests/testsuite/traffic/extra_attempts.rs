//! Extra attempts at slow requests, under the load patterns that they answer
//! or have to stay away from.

use std::time::Duration;

use chiverelay_decisions::extra_attempts::ExtraAttemptDenial;
use chiverelay_decisions::extra_attempts::ExtraAttemptLimit;
use chiverelay_decisions::traffic::Estimate;
use chiverelay_decisions::traffic::Reservation;
use chiverelay_decisions::traffic::TargetChoice;
use chiverelay_decisions::traffic::TargetOutcome;
use support::cases;

use super::World;
use super::lone;
use super::ms;

const LIMIT: ExtraAttemptLimit = ExtraAttemptLimit {
    ratio: 0.02,
    quantile: 0.95,
};

/// Usual time to an answer of a plain service.
const USUAL_MS: u64 = 60;

/// Time to an answer that is slow.
const SLOW_MS: u64 = 900;

/// Requests after which the quantile is known and attempts are saved up.
const WARMUP: u64 = 400;

fn world(targets: usize, engine: bool, limit: Option<ExtraAttemptLimit>) -> World {
    let mut world = World::new(targets, engine);
    world.traffic = world.traffic.with_extra_attempts(limit);
    world
}

/// Returns the estimate of a request that waits for so long at its target.
fn waiting(wait: Duration, prefill_tokens: u32) -> Estimate {
    Estimate {
        wait,
        queue_delay: Duration::ZERO,
        cost: wait,
        running: 0,
        known_running: 0,
        ahead: 0,
        slots: 64,
        has_free_slot: true,
        requests_per_slot: 1.0,
        prefill_tokens,
        queued_prefill_tokens: 0,
        cache_source: None,
    }
}

impl World {
    /// Counts requests and answers that began as usual. Returns the time after
    /// them.
    fn answer_as_usual(&mut self, from: u64, count: u64) -> Duration {
        let estimate = waiting(Duration::ZERO, 0);
        for n in from..from + count {
            let now = ms(n * 20);
            self.traffic.record_request(&"pool".into(), now);
            let pool = "pool".into();
            self.traffic.record_first_attempt(&pool, &estimate);
            let took = ms(USUAL_MS + n % 7);
            self.traffic
                .record_start(&pool, false, &estimate, took, now);
        }
        ms((from + count) * 20)
    }

    /// Returns after which time a request that waits for so long is slow.
    fn delay(&self, is_stream: bool, wait: Duration, now: Duration) -> Option<Duration> {
        let estimate = waiting(wait, 0);
        self.traffic
            .extra_attempt_delay(&"pool".into(), is_stream, &estimate, now)
    }

    /// Asks for an extra attempt at a target that was chosen for it.
    fn ask_at(&mut self, choice: &TargetChoice, now: Duration) -> Result<(), ExtraAttemptDenial> {
        let (pool, region) = (&self.pool, &self.region);
        self.traffic
            .try_extra_attempt(&self.fleet, pool, region, choice, lone(), now)
    }

    /// Asks for an extra attempt at the best target.
    fn ask(&mut self, now: Duration) -> Result<(), ExtraAttemptDenial> {
        let choice = self.choose(&[], 300, &[], now).expect("a target");
        self.ask_at(&choice, now)
    }

    /// Ends a request that was answered.
    fn end(&mut self, place: Reservation, at: Duration) {
        self.traffic.release(place, TargetOutcome::Answered, at);
    }
}

/// What a run of requests came to.
#[derive(Debug)]
struct Run {
    times: Vec<Duration>,
    extra: u64,
}

impl Run {
    fn percentile(&mut self, percent: f64) -> Duration {
        self.times.sort();
        self.times[(self.times.len() as f64 * percent / 100.0) as usize]
    }
}

/// Plays requests, one after the other, before six targets. Each tenth request
/// of the first target is slow.
fn play_before_a_grey_target(limit: Option<ExtraAttemptLimit>, requests: u64) -> Run {
    let mut world = world(6, false, limit);
    let mut run = Run {
        times: Vec::new(),
        extra: 0,
    };
    let pool = "pool".into();
    let mut at_grey = 0;
    for n in 0..requests {
        let now = ms(n * 20);
        let choice = world.choose(&[], 0, &[], now).expect("a target");
        let first = choice.target.clone();
        let estimate = choice.estimate;
        let place = world.take(choice, &[], now).expect("a place");
        world.traffic.record_request(&pool, now);
        world.traffic.record_first_attempt(&pool, &estimate);
        at_grey += u64::from(first.as_str() == "i-0");
        let is_slow = first.as_str() == "i-0" && at_grey % 10 == 0;
        let mut took = match is_slow {
            true => ms(SLOW_MS),
            false => ms(USUAL_MS + n % 7),
        };
        let delay = world.delay(false, estimate.wait, now);
        if let Some(delay) = delay.filter(|delay| *delay < took) {
            let second = world.choose(&[], 0, &[first], now).expect("a target");
            if world.ask_at(&second, now).is_ok() {
                run.extra += 1;
                took = took.min(delay + ms(USUAL_MS));
            }
        }
        world.traffic.record_answer(&place, took);
        world
            .traffic
            .record_start(&pool, false, &estimate, took, now);
        world.end(place, now + ms(19));
        run.times.push(took);
    }
    run
}

/// Pattern: a grey target, one of six, is slow for a tenth of its requests.
#[test]
fn a_grey_target_slows_fewer_answers() {
    let requests = 6_000;
    let mut off = play_before_a_grey_target(None, requests);
    let mut on = play_before_a_grey_target(Some(LIMIT), requests);
    assert_eq!(off.extra, 0);
    assert_eq!(off.percentile(99.0), ms(SLOW_MS));
    assert!(on.percentile(99.0) <= ms(300), "{:?}", on.percentile(99.0));
    let most = LIMIT.ratio * requests as f64;
    assert!(on.extra as f64 <= most, "{} of {most}", on.extra);
    assert_eq!(off.percentile(50.0), on.percentile(50.0));
}

/// Pattern: all targets turn slow at once. The limit holds, over instances with
/// few and many requests.
#[test]
fn extra_attempts_of_all_instances_stay_within_the_limit() {
    let (mut requests, mut allowed) = (0, 0);
    for instance in 1..=8 {
        let mut world = world(4, false, Some(LIMIT));
        let count = instance * 97;
        for n in 0..count {
            let now = world.answer_as_usual(n, 1);
            allowed += u64::from(world.ask(now).is_ok());
        }
        let now = ms(count * 20);
        assert_eq!(world.ask(now), Err(ExtraAttemptDenial::OverLimit));
        requests += count;
    }
    let most = LIMIT.ratio * requests as f64;
    assert!(allowed as f64 <= most, "{allowed} of {most}");
    assert!(allowed as f64 >= most - 8.0, "{allowed} of {most}");
}

/// Pattern: calm hours, after which all requests are slow at once.
#[test]
fn few_extra_attempts_are_saved_up() {
    let mut world = world(4, false, Some(LIMIT));
    let now = world.answer_as_usual(0, 5_000);
    let at_once = (0..10).filter(|_| world.ask(now).is_ok()).count();
    assert_eq!(at_once, 2);
}

/// Fills some of the 24 slots of four targets and asks for an extra attempt.
fn check_load(running: usize, want: Result<(), ExtraAttemptDenial>) {
    let mut world = world(4, false, Some(LIMIT));
    let now = world.answer_as_usual(0, WARMUP);
    let places: Vec<_> = (0..running)
        .filter_map(|_| world.send(&[], 0, now))
        .collect();
    assert_eq!(places.len(), running);
    assert_eq!(world.ask(now), want);
}

// Pattern: a busy and a full pool, where extra work slows everybody.
cases! {
    check_load:
    a_calm_pool_has_room(4, Ok(()));
    a_pool_below_the_bound_has_room(14, Ok(()));
    a_pool_above_the_bound_has_none(15, Err(ExtraAttemptDenial::NoRoom));
    a_full_pool_has_none(24, Err(ExtraAttemptDenial::NoRoom));
}

/// A target that has just said that it is full counts as full for a while.
#[test]
fn a_pool_that_was_just_full_has_no_room() {
    let mut world = world(2, false, Some(LIMIT));
    let now = world.answer_as_usual(0, WARMUP);
    for _ in 0..2 {
        let place = world.send(&[], 0, now).expect("a place");
        world.traffic.release(place, TargetOutcome::Full, now);
    }
    let later = now + ms(60);
    assert_eq!(world.ask(later), Err(ExtraAttemptDenial::NoRoom));
    let calm = now + ms(2_000);
    assert_eq!(world.ask(calm), Ok(()));
}

/// Pattern: the only other target is free, but not to be used for extra work.
fn check_target(spoil: fn(&mut World, Duration)) {
    let mut world = world(1, false, Some(LIMIT));
    let now = world.answer_as_usual(0, WARMUP);
    let choice = world.choose(&[], 300, &[], now).expect("a target");
    spoil(&mut world, now);
    let asked = world.ask_at(&choice, now);
    assert_eq!(asked, Err(ExtraAttemptDenial::NoRoom));
}

cases! {
    check_target:
    never_at_a_cold_target(|world, now| {
        world.fleet = world_with_cold_target(now).fleet;
    });
    never_at_a_target_that_states_a_limit(|world, now| {
        world.traffic.record_stated_limit(&"i-0".into(), Some(50.0), now);
    });
    never_at_a_target_that_asked_for_a_pause(|world, now| {
        world.traffic.record_pause(&"i-0".into(), ms(1_000), now);
    });
    never_at_a_target_that_is_gone(|world, _| {
        world.fleet = World::new(0, false).fleet;
    });
    never_at_a_target_that_is_suspect(|world, now| {
        let place = world.send(&[], 0, now).expect("a place");
        world.traffic.release(place, TargetOutcome::Lost, now);
    });
}

/// Returns a world whose only target is cold for a while after `now`.
fn world_with_cold_target(now: Duration) -> World {
    let mut world = World::new(0, false);
    world.add("i-0", now + ms(1_000));
    world
}

/// Pattern: an instance that has just started, or a pool that nobody used.
#[test]
fn few_samples_allow_no_extra_attempt() {
    let mut world = world(2, false, Some(LIMIT));
    let now = world.answer_as_usual(0, 96);
    assert_eq!(world.delay(false, Duration::ZERO, now), None);
    let now = world.answer_as_usual(96, 16);
    assert!(world.delay(false, Duration::ZERO, now).is_some());
    assert_eq!(world.delay(true, Duration::ZERO, now), None, "no streams");
    let later = now + ms(130_000);
    assert_eq!(world.delay(false, Duration::ZERO, later), None, "too old");
}

/// Pattern: a service that turned slow as a whole. What is usual changes within
/// the time that samples count.
#[test]
fn the_delay_follows_recent_answers() {
    let mut world = world(2, true, Some(LIMIT));
    let pool = "pool".into();
    let estimate = waiting(ms(60), 0);
    let mut delays = Vec::new();
    for (minute, took) in [(0, 100), (1, 100), (2, 300), (3, 300), (4, 300)] {
        for n in 0..200 {
            let now = ms(minute * 60_000 + n * 250);
            world
                .traffic
                .record_start(&pool, true, &estimate, ms(took), now);
        }
        let now = ms(minute * 60_000 + 55_000);
        delays.push(world.delay(true, ms(60), now).expect("enough samples"));
    }
    assert!(delays[1] < ms(120), "{delays:?}");
    assert!((ms(300)..ms(350)).contains(&delays[4]), "{delays:?}");
}

/// Pattern: long prompts among short ones, which take longer as expected.
#[test]
fn long_prompts_are_not_slow_beside_short_ones() {
    let mut world = world(2, true, Some(LIMIT));
    let pool = "pool".into();
    for n in 0..400_u64 {
        let wait = match n % 10 {
            0 => ms(2_000),
            _ => ms(20),
        };
        let took = (wait + ms(40)).mul_f64(1.0 + (n % 8) as f64 * 0.05);
        let now = ms(n * 20);
        world
            .traffic
            .record_start(&pool, true, &waiting(wait, 0), took, now);
    }
    let now = ms(8_000);
    let long = world.delay(true, ms(2_000), now).expect("enough samples");
    let short = world.delay(true, ms(20), now).expect("enough samples");
    assert!((ms(2_700)..ms(3_200)).contains(&long), "{long:?}");
    assert!((ms(70)..ms(100)).contains(&short), "{short:?}");
}

/// An instance is no faster than its network: a delay has a lower bound.
#[test]
fn a_delay_has_a_lower_bound() {
    let mut world = world(2, false, Some(LIMIT));
    let pool = "pool".into();
    for n in 0..400 {
        let estimate = waiting(Duration::ZERO, 0);
        world
            .traffic
            .record_start(&pool, false, &estimate, ms(2), ms(n));
    }
    assert_eq!(world.delay(false, Duration::ZERO, ms(400)), Some(ms(50)));
}

/// Pattern: long prompts that no other target has cached. Their work counts,
/// not only their number.
#[test]
fn the_work_of_extra_attempts_stays_within_the_limit() {
    let limit = ExtraAttemptLimit {
        ratio: 0.1,
        quantile: 0.95,
    };
    let mut world = world(3, true, Some(limit));
    let pool = "pool".into();
    let (mut work, mut extra_work) = (0, 0);
    for n in 0..4_000 {
        let now = ms(n * 20);
        world.traffic.record_request(&pool, now);
        world
            .traffic
            .record_first_attempt(&pool, &waiting(Duration::ZERO, 1_000));
        work += 1_000;
        let choice = TargetChoice {
            target: "i-1".into(),
            estimate: waiting(Duration::ZERO, 16_000),
        };
        if world.ask_at(&choice, now).is_ok() {
            extra_work += 16_000;
        }
    }
    let most = work / 10 + 16_000;
    assert!(extra_work <= most, "{extra_work} of {most}");
    assert!(extra_work >= work / 10, "{extra_work} of {most}");
}

/// Pattern: extra attempts while targets fail. Half of the retry budget is left
/// to the retries of requests that have failed.
#[test]
fn half_of_the_retry_budget_is_left_to_failures() {
    let limit = ExtraAttemptLimit {
        ratio: 1.0,
        quantile: 0.95,
    };
    let mut world = world(4, false, Some(limit));
    let (mut extra, mut denied) = (0, 0);
    let mut now = ms(0);
    for n in 0..1_000 {
        now = world.answer_as_usual(n, 1);
        match world.ask(now) {
            Ok(()) => extra += 1,
            Err(denial) => {
                assert_eq!(denial, ExtraAttemptDenial::OverRetryBudget);
                denied += 1;
            }
        }
    }
    assert!(extra > 0 && denied > 0, "{extra} and {denied}");
    let pool = "pool".into();
    let retry = |_: &u32| {
        world
            .traffic
            .try_consume_retry(&pool, lone(), now)
            .is_allowed
    };
    let retries = (0..1_000).take_while(retry).count();
    // A window has 500 requests, of which the budget grants a fifth.
    assert!(retries >= 50, "{retries} retries");
}

#[test]
fn without_a_limit_there_are_no_extra_attempts() {
    let mut world = world(4, false, None);
    let now = world.answer_as_usual(0, WARMUP);
    assert_eq!(world.delay(false, Duration::ZERO, now), None);
    assert_eq!(world.ask(now), Err(ExtraAttemptDenial::OverLimit));
}

/// Pattern: a few slow answers in a row, as of a grey target. The next request
/// waits no longer for them.
#[test]
fn single_slow_answers_leave_the_delay_as_it_is() {
    let mut world = world(4, false, Some(LIMIT));
    let now = world.answer_as_usual(0, WARMUP);
    let before = world.delay(false, Duration::ZERO, now);
    let (pool, estimate) = ("pool".into(), waiting(Duration::ZERO, 0));
    for _ in 0..5 {
        let took = ms(SLOW_MS);
        world.traffic.performance_mut(&pool).record_answer(took);
        world
            .traffic
            .record_start(&pool, false, &estimate, took, now);
    }
    assert!(before.is_some());
    assert_eq!(world.delay(false, Duration::ZERO, now), before);
}
