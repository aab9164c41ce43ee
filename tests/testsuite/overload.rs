//! High load on a pool, played without a network: who is served, and whether
//! on time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::catalog::ColdLimit;
use chiverelay_decisions::catalog::EngineSpec;
use chiverelay_decisions::catalog::PoolSpec;
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

/// A target that runs requests in the order in which they came.
#[derive(Default)]
struct Server {
    waiting: VecDeque<Waiting>,
    running: Vec<(u64, usize, Reservation)>,
}

/// What became of the requests.
#[derive(Debug, Default)]
struct Outcome {
    on_time: u64,
    late: u64,
    refused: u64,
    /// Those served that waited for more than half of the time.
    slow: u64,
}

struct Play {
    fleet: Fleet,
    instances: Vec<Traffic>,
    pool: PoolSpec,
    servers: HashMap<Target, Server>,
    outcome: Outcome,
    arrived: u64,
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
        }
    }

    fn arrive(&mut self, at: u64, on_time: Duration) {
        let demand = TargetQuery {
            prompt_tokens: 300,
            parts: &[],
            excluded: &[],
            random: 0,
        };
        let region = Region::from("north");
        let shares = RegionShares {
            divisor: Divisor::new(1),
            rank: None,
            stated: StatedLimitUse::Ignore,
        };
        let draw = prefix::rendezvous_weight(at, &self.arrived.to_string());
        self.arrived += 1;
        let instance = draw as usize % self.instances.len();
        let demand = TargetQuery {
            random: draw,
            ..demand
        };
        let traffic = &mut self.instances[instance];
        let choice =
            traffic.choose_target(&self.fleet, &self.pool, &region, &demand, shares, ms(at));
        let choice = choice.expect("a target");
        if choice.estimate.is_late_from_queueing(on_time) {
            self.outcome.refused += 1;
            return;
        }
        let place = Reservation {
            target: choice.target.clone(),
            pool: "pool".into(),
            prefill_tokens: choice.estimate.prefill_tokens,
            queued_prefill_tokens: choice.estimate.queued_prefill_tokens,
            reserved_at: ms(at),
            cache_source: None,
            requests_per_slot: choice.estimate.requests_per_slot,
        };
        let known = self.fleet.get(&choice.target).expect("known").clone();
        assert!(traffic.try_reserve(&place, &[], &known, &self.pool, shares, ms(at)));
        let server = self.servers.get_mut(&choice.target).expect("a server");
        server.waiting.push_back(Waiting {
            instance,
            place,
            arrived: at,
        });
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
                let Some(mut next) = server.waiting.pop_front() else {
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
