//! High load on a pool, played without a network: who is served, and whether
//! on time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::catalog::ColdLimit;
use chiverelay_decisions::catalog::EngineSpec;
use chiverelay_decisions::catalog::PoolSpec;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::fleet::Fleet;
use chiverelay_decisions::fleet::TargetRecord;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::placement::prefix;
use chiverelay_decisions::retry_budget::RetryLimit;
use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::traffic::ColdLimitTolerance;
use chiverelay_decisions::traffic::RegionShares;
use chiverelay_decisions::traffic::Reservation;
use chiverelay_decisions::traffic::StatedLimitUse;
use chiverelay_decisions::traffic::TargetOutcome;
use chiverelay_decisions::traffic::TargetQuery;
use chiverelay_decisions::traffic::Traffic;
use chiverelay_decisions::window::Divisor;
use support::cases;

/// Requests that a target runs at once.
const SLOTS: usize = 12;

/// Time that a request holds a slot, in ms.
const GENERATION: u64 = 300;

/// Time within which an answer is on time, in ms.
const ON_TIME: u64 = 1000;

/// Targets at which one request is tried.
const MAX_TARGETS: usize = 2;

/// Time of the play, in ms.
const PLAY: u64 = 12_000;

/// Time between two words of an instance to the others, in ms.
const TELLING: u64 = 600;

/// Instances and targets of a play.
#[derive(Clone, Copy)]
struct Size {
    instances: usize,
    targets: usize,
}

impl Size {
    /// Returns the requests that the pool can serve in the time of a play.
    fn capacity(self) -> u64 {
        PLAY * (self.targets * SLOTS) as u64 / GENERATION
    }
}

/// A request of an instance at a target.
struct Waiting {
    instance: usize,
    place: Reservation,
    arrived: u64,
}

/// A target that runs the most urgent requests first, and those of one priority
/// in the order in which they came.
#[derive(Default)]
struct Server {
    waiting: VecDeque<Waiting>,
    running: Vec<(u64, usize, Reservation)>,
}

impl Server {
    fn take_next(&mut self) -> Option<Waiting> {
        let waiting = self.waiting.iter().enumerate();
        // The first of the most urgent ones.
        let (next, _) = waiting.min_by_key(|(_, waiting)| waiting.place.priority)?;
        self.waiting.remove(next)
    }
}

/// What became of an attempt.
enum Sent {
    Taken,
    /// The target rejected it.
    Rejected(Target),
    /// No target can take the request.
    Refused,
}

/// What became of the requests.
#[derive(Debug, Default)]
struct Outcome {
    on_time: u64,
    late: u64,
    refused: u64,
    /// Those served that waited for more than half of the time.
    slow: u64,
    /// Attempts that targets rejected as their queues were full.
    rejected: u64,
}

struct Play {
    fleet: Fleet,
    instances: Vec<Traffic>,
    pool: PoolSpec,
    servers: HashMap<Target, Server>,
    outcome: Outcome,
    arrived: u64,
    /// Requests that may wait at a target; it rejects any more.
    queue: usize,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Play {
    fn new(size: Size) -> Self {
        let zones = HashMap::from([(Zone::from("north-a"), Region::from("north"))]);
        let limit = RetryLimit {
            window: ms(10_000),
            ratio: 0.2,
            slack: 56.0,
        };
        let cold = ColdLimitTolerance {
            factor: 1.5,
            slack: 3.0,
        };
        let mut fleet = Fleet::new(zones);
        let mut servers = HashMap::new();
        for n in 0..size.targets {
            let name = Target::from(format!("i-{n}"));
            let record = TargetRecord {
                pool: "pool".into(),
                address: format!("10.1.0.{n}:80").parse().expect("an address"),
                zone: "north-a".into(),
                region: "north".into(),
                software: "v1".into(),
                slots: SLOTS as u32,
                draining: false,
                started_ms: 1,
                sequence: 1,
                cold_remaining: Duration::ZERO,
            };
            fleet.upsert(&name, record, StoreRevision::default(), ms(0));
            servers.insert(name, Server::default());
        }
        Self {
            fleet,
            instances: (0..size.instances)
                .map(|_| Traffic::new(limit, cold))
                .collect(),
            pool: PoolSpec {
                name: "pool".into(),
                max_connections: 100,
                cold: ColdLimit {
                    warmup: ms(0),
                    requests_per_s: 0.0,
                },
                engine: Some(EngineSpec {
                    slots: SLOTS as u32,
                    cache_tokens: 600_000,
                    models: vec!["m".into()],
                }),
            },
            servers,
            outcome: Outcome::default(),
            arrived: 0,
            queue: usize::MAX,
        }
    }

    fn arrive(&mut self, at: u64, on_time: Duration) {
        self.arrive_with_priority(at, 0, on_time);
    }

    /// Lets a request arrive, and tells whether it was refused in the end. One
    /// that a target rejects is tried at another one.
    fn arrive_with_priority(&mut self, at: u64, priority: u8, on_time: Duration) -> bool {
        let draw = prefix::rendezvous_weight(at, &self.arrived.to_string());
        self.arrived += 1;
        let mut tried = Vec::new();
        while tried.len() < MAX_TARGETS {
            match self.send(at, priority, on_time, draw, &tried) {
                Sent::Taken => return false,
                Sent::Rejected(target) => tried.push(target),
                Sent::Refused => break,
            }
        }
        self.outcome.refused += 1;
        true
    }

    fn send(
        &mut self,
        at: u64,
        priority: u8,
        on_time: Duration,
        draw: u64,
        tried: &[Target],
    ) -> Sent {
        let demand = TargetQuery {
            priority,
            may_fill_queue: priority == URGENT,
            prompt_tokens: 300,
            parts: &[],
            excluded: tried,
            software: None,
            avoided_software: &[],
            residency: &Residency::anywhere(),
            random: draw,
        };
        let region = Region::from("north");
        let shares = RegionShares {
            divisor: Divisor::new(1),
            rank: None,
            stated: StatedLimitUse::Ignore,
        };
        let instance = draw as usize % self.instances.len();
        let traffic = &mut self.instances[instance];
        let choice =
            traffic.choose_target(&self.fleet, &self.pool, &region, &demand, shares, ms(at));
        let choice = choice.ok();
        let choice = choice.filter(|choice| !choice.estimate.is_late_from_queueing(on_time));
        let Some(choice) = choice else {
            return Sent::Refused;
        };
        let place = Reservation {
            target: choice.target.clone(),
            pool: "pool".into(),
            priority,
            is_at_engine: true,
            known_running: choice.estimate.known_running,
            slots: choice.estimate.slots,
            prefill_tokens: choice.estimate.prefill_tokens,
            queued_prefill_tokens: choice.estimate.queued_prefill_tokens,
            reserved_at: ms(at),
            cache_source: None,
            requests_per_slot: choice.estimate.requests_per_slot,
        };
        let known = self.fleet.get(&choice.target).expect("known").clone();
        assert!(traffic.try_reserve(&place, &[], &known, &self.pool, shares, ms(at)));
        let server = self.servers.get_mut(&choice.target).expect("a server");
        if server.waiting.len() >= self.queue {
            traffic.release(place, TargetOutcome::Full, ms(at));
            self.outcome.rejected += 1;
            return Sent::Rejected(choice.target);
        }
        server.waiting.push_back(Waiting {
            instance,
            place,
            arrived: at,
        });
        Sent::Taken
    }

    fn run(&mut self, at: u64) {
        for server in self.servers.values_mut() {
            let ended = server.running.extract_if(.., |(end, ..)| *end <= at);
            for (_, instance, place) in ended {
                let traffic = &mut self.instances[instance];
                traffic.record_generation(&place, ms(GENERATION));
                traffic.release(place, TargetOutcome::Answered, ms(at));
            }
            while server.running.len() < SLOTS {
                let Some(mut next) = server.take_next() else {
                    break;
                };
                self.instances[next.instance].record_prefill(&mut next.place);
                self.outcome.slow += u64::from(at - next.arrived > ON_TIME / 2);
                match at - next.arrived <= ON_TIME {
                    true => self.outcome.on_time += 1,
                    false => self.outcome.late += 1,
                }
                server
                    .running
                    .push((at + GENERATION, next.instance, next.place));
            }
        }
    }

    /// Lets the instances whose turn it is tell the others what they have.
    fn tell(&mut self, at: u64) {
        for from in 0..self.instances.len() {
            let turn = from as u64 * TELLING / self.instances.len() as u64;
            if at % TELLING != turn {
                continue;
            }
            let name = Instance::from(format!("front-{from}"));
            let counts = self.instances[from].in_flight_for(Audience::Direct);
            let others = self.instances.iter_mut().enumerate();
            for (_, other) in others.filter(|(n, _)| *n != from) {
                other.update_remote_counts(&name, counts.clone(), ms(at));
            }
        }
    }
}

/// Plays so many requests a second and returns what became of them.
fn play(size: Size, per_s: u64, on_time: Duration) -> Outcome {
    let mut play = Play::new(size);
    let mut owed = 0;
    for at in 0..PLAY {
        owed += per_s;
        while owed >= 1000 {
            owed -= 1000;
            play.arrive(at, on_time);
        }
        play.run(at);
        play.tell(at);
    }
    play.outcome
}

/// Returns the requests a second that are so many in a hundred of what the pool
/// can serve.
fn rate(size: Size, percent: u64) -> u64 {
    size.capacity() * 1000 / PLAY * percent / 100
}

/// One instance that knows everything.
const LONE: Size = Size {
    instances: 1,
    targets: 4,
};

/// Pattern: more requests than the pool can serve, for long. As many as it can
/// serve are on time, and the others are refused at once.
fn check_overload(percent: u64) {
    let per_s = rate(LONE, percent);
    let outcome = play(LONE, per_s, ms(ON_TIME));
    let served = outcome.on_time + outcome.late;
    assert!(outcome.on_time >= LONE.capacity() * 9 / 10, "{outcome:?}");
    assert!(outcome.late * 100 <= served, "{outcome:?}");
    // Without the refusals nearly all come too late in the end.
    let all = play(LONE, per_s, Duration::MAX);
    assert!(all.late > all.on_time / 2, "{all:?}");
}

cases! {
    check_overload:
    a_half_more_than_can_be_served(150);
    twice_what_can_be_served(200);
    five_times_what_can_be_served(500);
}

/// Pattern: as many requests as the pool can just serve. None is refused.
#[test]
fn a_full_pool_refuses_nobody() {
    let outcome = play(LONE, rate(LONE, 100), ms(ON_TIME));
    assert_eq!(outcome.refused, 0, "{outcome:?}");
    assert_eq!(outcome.late, 0, "{outcome:?}");
}

/// Pattern: a region's peak at many instances, each of which hears of the
/// others' requests only after those have ended. None is late.
#[test]
fn a_peak_at_many_instances_with_old_counts_makes_nobody_late() {
    let size = Size {
        instances: 24,
        targets: 26,
    };
    let outcome = play(size, rate(size, 80), ms(ON_TIME));
    let all = outcome.on_time + outcome.late + outcome.refused;
    assert!((outcome.late + outcome.refused) * 100 <= all, "{outcome:?}");
    assert!(outcome.slow * 20 <= all, "{outcome:?}");
}

/// Priorities of requests for a pool, and how late each may begin.
const URGENT: u8 = 0;
const LESS_URGENT: u8 = 2;
const LESS_URGENT_ON_TIME: u64 = 3_000;

/// Pattern: many requests that may wait fill the pool, while a few urgent ones
/// come. No urgent one is refused for those that the engines put behind it, and
/// the others still have the rest of the pool.
fn check_urgent_among_many(size: Size, percent: u64, urgent_in_100: u64) {
    let played = play_mixed(size, usize::MAX, percent, urgent_in_100);
    played.check_urgent();
    played.check_served(size);
}

cases! {
    check_urgent_among_many:
    a_tenth_is_urgent_at_twice_what_can_be_served(LONE, 200, 10);
    a_third_is_urgent_at_twice_what_can_be_served(LONE, 200, 33);
    a_tenth_is_urgent_before_many_instances(MANY, 200, 10);
}

/// Pattern: the same, at targets that reject what is beyond a queue of which
/// they tell nothing. The instances find out how much a target takes: few
/// attempts are rejected, and there is room for the urgent ones.
fn check_short_queues(size: Size, percent: u64, urgent_in_100: u64) {
    let played = play_mixed(size, 3 * SLOTS, percent, urgent_in_100);
    played.check_urgent();
    played.check_served(size);
    let Outcome { rejected, .. } = played.outcome;
    assert!(rejected * 20 <= played.all, "{:?}", played.outcome);
}

cases! {
    check_short_queues:
    short_queues_at_twice_what_can_be_served(LONE, 200, 10);
    short_queues_at_three_times_what_can_be_served(LONE, 300, 10);
    short_queues_before_many_instances(MANY, 200, 10);
}

/// Many instances that hear of each other's requests late.
const MANY: Size = Size {
    instances: 24,
    targets: 26,
};

/// What became of a mix of urgent and other requests.
struct Mixed {
    outcome: Outcome,
    all: u64,
    urgent: u64,
    urgent_refused: u64,
}

impl Mixed {
    /// Checks that hardly any urgent request was refused.
    fn check_urgent(&self) {
        let Self {
            urgent,
            urgent_refused,
            ..
        } = self;
        assert!(
            urgent_refused * 100 <= *urgent,
            "{urgent_refused} of {urgent}"
        );
    }

    /// Checks that the pool was in use.
    fn check_served(&self, size: Size) {
        let served = self.outcome.on_time + self.outcome.late;
        assert!(served >= size.capacity() * 9 / 10, "{:?}", self.outcome);
    }
}

/// Plays urgent requests among others before targets with a queue.
fn play_mixed(size: Size, queue: usize, percent: u64, urgent_in_100: u64) -> Mixed {
    let mut play = Play::new(size);
    play.queue = queue;
    let per_s = rate(size, percent);
    let (mut owed, mut turn) = (0, 0);
    let (mut all, mut urgent, mut urgent_refused) = (0, 0, 0);
    for at in 0..PLAY {
        owed += per_s;
        while owed >= 1000 {
            owed -= 1000;
            all += 1;
            turn += urgent_in_100;
            if turn >= 100 {
                turn -= 100;
                urgent += 1;
                let refused = play.arrive_with_priority(at, URGENT, ms(ON_TIME));
                urgent_refused += u64::from(refused);
            } else {
                play.arrive_with_priority(at, LESS_URGENT, ms(LESS_URGENT_ON_TIME));
            }
        }
        play.run(at);
        play.tell(at);
    }
    Mixed {
        outcome: play.outcome,
        all,
        urgent,
        urgent_refused,
    }
}
