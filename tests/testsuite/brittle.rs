//! Targets that survive few rejections in a second, over the instances of a
//! region, under the load patterns that the limit answers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::catalog::ColdLimit;
use chiverelay_decisions::catalog::PoolSpec;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::fleet::Fleet;
use chiverelay_decisions::fleet::TargetRecord;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::rendezvous;
use chiverelay_decisions::retry_budget::RetryLimit;
use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::traffic::ColdLimitTolerance;
use chiverelay_decisions::traffic::NoTargetReason;
use chiverelay_decisions::traffic::RegionShares;
use chiverelay_decisions::traffic::Reservation;
use chiverelay_decisions::traffic::StatedLimitUse;
use chiverelay_decisions::traffic::TargetOutcome;
use chiverelay_decisions::traffic::TargetQuery;
use chiverelay_decisions::traffic::Traffic;
use chiverelay_decisions::window::Divisor;
use support::cases;

/// Requests that a target runs at once.
const SLOTS: u32 = 6;

/// Time that a request holds a slot.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Time until a rejection is heard.
const REJECTION_TIME: Duration = Duration::from_millis(10);

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 10;

/// Steps between the reports of an instance.
const REPORT_STEPS: u64 = 30;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn pool() -> Pool {
    Pool::from("pool")
}

fn traffic() -> Traffic {
    let limit = RetryLimit {
        window: ms(10_000),
        ratio: 0.2,
        slack: 56.0,
    };
    let cold = ColdLimitTolerance {
        factor: 1.5,
        slack: 3.0,
    };
    Traffic::new(limit, cold)
}

fn fleet(targets: usize) -> Fleet {
    let mut fleet = Fleet::new(HashMap::from([(
        Zone::from("north-a"),
        Region::from("north"),
    )]));
    for n in 0..targets {
        let address = format!("10.1.0.{}:80", n + 1);
        let record = TargetRecord {
            pool: pool(),
            address: address.parse().expect("an address"),
            zone: "north-a".into(),
            region: "north".into(),
            software: "v1".into(),
            slots: SLOTS,
            draining: false,
            started_ms: 1,
            sequence: 1,
            cold_remaining: Duration::ZERO,
        };
        let name = Target::from(format!("i-{n}"));
        fleet.upsert(&name, record, StoreRevision::default(), ms(0));
    }
    fleet
}

/// A target with slots, a queue, and what fills its slots beside the instances.
#[derive(Default)]
struct Server {
    queue: u32,
    /// Slots that others than the instances hold.
    taken: u32,
    inside: u32,
    rejected_at: VecDeque<Duration>,
    /// Most rejections in any second.
    most_rejected: usize,
}

impl Server {
    fn admits(&mut self, now: Duration) -> bool {
        if self.taken + self.inside < SLOTS + self.queue {
            self.inside += 1;
            return true;
        }
        self.rejected_at.push_back(now);
        while self
            .rejected_at
            .front()
            .is_some_and(|at| *at + ms(1_000) < now)
        {
            self.rejected_at.pop_front();
        }
        self.most_rejected = self.most_rejected.max(self.rejected_at.len());
        false
    }
}

struct Exchange {
    instance: usize,
    server: usize,
    reservation: Reservation,
    outcome: TargetOutcome,
    ends_at: Duration,
}

/// Instances of one region before targets that state a limit on rejections.
struct Scene {
    fleet: Fleet,
    pool: PoolSpec,
    instances: Vec<Traffic>,
    servers: Vec<Server>,
    open: Vec<Exchange>,
    /// The limit that the targets state.
    limit: Option<u32>,
    now: Duration,
    steps: u64,
    served: usize,
    draw: u64,
    /// Time until a rejection is heard.
    rejection_time: Duration,
}

impl Scene {
    fn new(instances: usize, targets: usize, limit: Option<u32>) -> Self {
        let mut scene = Self {
            fleet: fleet(targets),
            pool: PoolSpec {
                name: pool(),
                max_connections: 100,
                cold: ColdLimit {
                    warmup: ms(0),
                    requests_per_s: 0.0,
                },
                engine: None,
            },
            instances: (0..instances).map(|_| traffic()).collect(),
            servers: (0..targets).map(|_| Server::default()).collect(),
            open: Vec::new(),
            limit,
            now: ms(10_000),
            steps: 0,
            served: 0,
            draw: 1,
            rejection_time: REJECTION_TIME,
        };
        // An answer to each instance has stated the limit.
        for traffic in &mut scene.instances {
            traffic.record_rejection_limit(&pool(), limit, scene.now);
        }
        scene
    }

    /// Has each instance of `senders` try `per_step` requests in each step.
    fn play(&mut self, time: Duration, senders: std::ops::Range<usize>, per_step: usize) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(STEP_MS);
            self.steps += 1;
            self.end_exchanges();
            for instance in senders.clone() {
                for _ in 0..per_step {
                    self.send(instance).ok();
                }
            }
            if self.steps.is_multiple_of(REPORT_STEPS) {
                self.report();
            }
        }
    }

    fn send(&mut self, instance: usize) -> Result<(), NoTargetReason> {
        self.send_as(instance, None)
    }

    /// Sends a request, or one whose answer this software has begun.
    fn send_as(
        &mut self,
        instance: usize,
        software: Option<&SoftwareVersion>,
    ) -> Result<(), NoTargetReason> {
        let count = self.instances.len();
        let rank = |target: &Target| {
            let weight = |i: usize| rendezvous::weight(target.as_str(), &format!("n-{i}"));
            (0..count).filter(|i| weight(*i) > weight(instance)).count()
        };
        let shares = RegionShares {
            divisor: Divisor::new(count),
            rank: None,
            stated: StatedLimitUse::Share {
                instances: count,
                rank: &rank,
            },
        };
        self.draw += 1;
        let residency = Residency::anywhere();
        let query = TargetQuery {
            priority: 0,
            may_fill_queue: true,
            prompt_tokens: 0,
            parts: &[],
            excluded: &[],
            software,
            avoided_software: &[],
            residency: &residency,
            random: self.draw,
        };
        let traffic = &mut self.instances[instance];
        let region = Region::from("north");
        let choice =
            traffic.choose_target(&self.fleet, &self.pool, &region, &query, shares, self.now)?;
        let reservation = Reservation {
            target: choice.target.clone(),
            pool: pool(),
            priority: 0,
            is_at_engine: false,
            known_running: choice.estimate.known_running,
            slots: choice.estimate.slots,
            prefill_tokens: 0,
            queued_prefill_tokens: 0,
            reserved_at: self.now,
            cache_source: None,
            requests_per_slot: choice.estimate.requests_per_slot,
        };
        let known = self.fleet.get(&choice.target).expect("known").clone();
        let is_reserved =
            traffic.try_reserve(&reservation, &[], &known, &self.pool, shares, self.now);
        assert!(is_reserved, "a chosen target has room");
        let number = choice.target.as_str().trim_start_matches("i-");
        let server: usize = number.parse().expect("a number");
        let is_admitted = self.servers[server].admits(self.now);
        let (outcome, time) = match is_admitted {
            true => (TargetOutcome::Answered, SERVICE_TIME),
            false => (TargetOutcome::Full, self.rejection_time),
        };
        self.open.push(Exchange {
            instance,
            server,
            reservation,
            outcome,
            ends_at: self.now + time,
        });
        Ok(())
    }

    fn end_exchanges(&mut self) {
        let now = self.now;
        let ended: Vec<Exchange> = self.open.extract_if(.., |e| e.ends_at <= now).collect();
        for exchange in ended {
            if exchange.outcome == TargetOutcome::Answered {
                self.servers[exchange.server].inside -= 1;
                self.served += 1;
            }
            let traffic = &mut self.instances[exchange.instance];
            traffic.record_rejection_limit(&pool(), self.limit, now);
            traffic.release(exchange.reservation, exchange.outcome, now);
        }
    }

    fn report(&mut self) {
        for from in 0..self.instances.len() {
            let traffic = &self.instances[from];
            let counts = traffic.in_flight_for(Audience::Direct);
            let limits = traffic.rejection_limit_records(Audience::Direct, self.now);
            let name = Instance::from(format!("n-{from}"));
            for to in (0..self.instances.len()).filter(|to| *to != from) {
                let traffic = &mut self.instances[to];
                traffic.update_remote_counts(&name, counts.clone(), self.now);
                traffic.merge_rejection_limits(&name, limits.clone(), self.now);
            }
        }
    }

    fn most_rejected(&self) -> usize {
        let most = self.servers.iter().map(|server| server.most_rejected);
        most.max().unwrap_or_default()
    }

    /// Returns the requests that all targets can serve in a time.
    fn capacity(&self, time: Duration) -> usize {
        let slots = self.servers.len() * SLOTS as usize;
        (slots as f64 * time.as_secs_f64() / SERVICE_TIME.as_secs_f64()) as usize
    }
}

/// Pattern: many times the capacity comes at once at all instances, and the
/// targets hold none in a queue.
fn a_burst_is_not_rejected(instances: usize, targets: usize, limit: u32) {
    let mut scene = Scene::new(instances, targets, Some(limit));
    scene.play(ms(5_000), 0..instances, 3);
    let most = scene.most_rejected();
    assert!(most <= limit as usize, "{most} rejections in a second");
    let least = scene.capacity(ms(5_000)) * 3 / 5;
    assert!(scene.served >= least, "{} served of {least}", scene.served);
}

cases! {
    a_burst_is_not_rejected:
    of_one_instance(1, 2, 3);
    of_two_instances(2, 2, 3);
    of_a_limit_below_the_number_of_instances(12, 20, 3);
    of_a_limit_of_one(4, 8, 1);
    of_more_instances_than_slots(24, 30, 30);
}

/// Pattern: a burst while something else fills the targets' slots, as requests
/// do that were given up. Then each request that is sent there is rejected.
fn targets_whose_slots_are_taken_reject_few(instances: usize, limit: u32) {
    let mut scene = Scene::new(instances, 4, Some(limit));
    for server in &mut scene.servers {
        server.taken = SLOTS;
    }
    scene.play(ms(10_000), 0..instances, 3);
    let most = scene.most_rejected();
    assert!(most <= limit as usize, "{most} rejections in a second");
}

cases! {
    targets_whose_slots_are_taken_reject_few:
    before_one_instance(1, 3);
    before_two_instances(2, 3);
    before_as_many_as_the_limit(5, 5);
    before_more_than_the_limit(24, 3);
    at_a_limit_of_one(4, 1);
}

/// Pattern: the slots that were taken are free again.
#[test]
fn targets_that_rejected_are_used_again() {
    let mut scene = Scene::new(2, 2, Some(3));
    scene.servers[0].taken = SLOTS;
    scene.play(ms(5_000), 0..2, 3);
    scene.servers[0].taken = 0;
    scene.play(ms(20_000), 0..2, 3);
    let served = scene.served;
    scene.play(ms(5_000), 0..2, 3);
    let least = scene.capacity(ms(5_000)) * 2 / 3;
    assert!(scene.served - served >= least);
}

/// Pattern: the callers of one of two instances send nothing.
#[test]
fn a_busy_instance_uses_the_slots_of_an_idle_one() {
    let mut scene = Scene::new(2, 2, Some(6));
    scene.play(ms(5_000), 0..1, 3);
    let before = scene.served;
    scene.play(ms(5_000), 0..1, 3);
    let served = scene.served - before;
    let least = scene.capacity(ms(5_000)) * 2 / 3;
    assert!(served >= least, "{served} served of {least}");
    // The other one's callers come back.
    scene.play(ms(5_000), 0..2, 3);
    assert!(scene.most_rejected() <= 6);
}

/// Pattern: a burst at targets that state nothing, which hold requests in their
/// queues.
#[test]
fn requests_are_queued_at_targets_that_state_nothing() {
    let mut scene = Scene::new(1, 1, None);
    scene.servers[0].queue = 4;
    for _ in 0..SLOTS + 4 {
        assert_eq!(scene.send(0), Ok(()));
    }
    assert_eq!(scene.servers[0].inside, SLOTS + 4);
}

/// Nothing waits at the targets where they state a limit, and the reason is
/// told.
#[test]
fn nothing_is_queued_at_targets_that_state_a_limit() {
    let mut scene = Scene::new(1, 1, Some(100));
    scene.servers[0].queue = 4;
    for _ in 0..SLOTS {
        assert_eq!(scene.send(0), Ok(()));
    }
    assert_eq!(scene.send(0), Err(NoTargetReason::NoFreeSlot));
}

/// Pattern: a target fails while another one has slots free, which belong to
/// another instance. The streams that were cut go on there.
#[test]
fn an_answer_that_has_begun_takes_any_free_slot() {
    let mut scene = Scene::new(2, 1, Some(100));
    let sent = (0..SLOTS).filter(|_| scene.send(0).is_ok()).count();
    assert_eq!(sent, SLOTS as usize / 2);
    let software = SoftwareVersion::from("v1");
    for _ in sent..SLOTS as usize {
        assert_eq!(scene.send_as(0, Some(&software)), Ok(()));
    }
    let last = scene.send_as(0, Some(&software));
    assert_eq!(last, Err(NoTargetReason::NoFreeSlot));
}

/// Any target's word binds the pool, and siblings that heard none are told.
#[test]
fn siblings_are_told_of_a_limit() {
    let mut scene = Scene::new(2, 2, None);
    scene.instances[0].record_rejection_limit(&pool(), Some(3), scene.now);
    assert_eq!(scene.instances[1].rejection_limit(&pool(), scene.now), None);
    scene.report();
    let told = scene.instances[1].rejection_limit(&pool(), scene.now);
    assert_eq!(told, Some(3));
    // What was told is passed on with its age, so it doesn't live for ever.
    let end = scene.now + ms(60_000);
    assert_eq!(scene.instances[1].rejection_limit(&pool(), end), None);
}

/// Answers that don't carry the limit any more end it, for siblings too.
#[test]
fn a_limit_ends_when_answers_stop_stating_it() {
    let mut scene = Scene::new(2, 2, Some(3));
    let [one, two] = &mut scene.instances[..] else {
        panic!("two instances");
    };
    let start = scene.now;
    one.record_rejection_limit(&pool(), None, start + ms(500));
    // Another target may still state it.
    assert_eq!(one.rejection_limit(&pool(), start + ms(600)), Some(3));
    let records = one.rejection_limit_records(Audience::Direct, start + ms(600));
    two.merge_rejection_limits(&"n-0".into(), records, start + ms(600));
    assert_eq!(one.rejection_limit(&pool(), start + ms(2_100)), None);
    assert_eq!(two.rejection_limit(&pool(), start + ms(2_100)), None);
    // A pool without answers keeps it.
    one.record_rejection_limit(&pool(), Some(5), start + ms(3_000));
    let later = start + ms(30_000);
    assert_eq!(one.rejection_limit(&pool(), later), Some(5));
}

/// Pattern: steady requests, below what all targets can serve, at instances that
/// are more than may send to each target. Their callers are served alike.
fn callers_of_each_instance_are_served(instances: usize, targets: usize, limit: u32) {
    let mut scene = Scene::new(instances, targets, Some(limit));
    let mut unserved = Vec::new();
    for instance in 0..instances {
        let before = scene.served;
        scene.play(ms(500), instance..instance + 1, 1);
        if scene.served == before {
            unserved.push(instance);
        }
    }
    assert!(
        unserved.is_empty(),
        "{} of {instances} served nothing while all targets were idle",
        unserved.len()
    );
}

cases! {
    callers_of_each_instance_are_served:
    of_a_limit_below_the_number_of_instances_one_by_one(30, 8, 3);
    of_as_many_as_the_limit_one_by_one(3, 8, 3);
}

/// Pattern: a burst at targets whose slots are taken and that stand still for
/// most of a second, so that what they reject is heard late.
#[test]
fn targets_that_reject_late_reject_few() {
    let mut scene = Scene::new(1, 4, Some(3));
    scene.rejection_time = ms(800);
    for server in &mut scene.servers {
        server.taken = SLOTS;
    }
    scene.play(ms(3_000), 0..1, 3);
    let most = scene.most_rejected();
    assert!(most <= 3, "{most} rejections in a second");
}

/// Load pattern: several instances send to targets that reject late.
fn what_is_rejected_late_is_little(instances: usize, limit: u32, rejection_time: Duration) {
    let mut scene = Scene::new(instances, 4, Some(limit));
    scene.rejection_time = rejection_time;
    for server in &mut scene.servers {
        server.taken = SLOTS;
    }
    scene.play(ms(10_000), 0..instances, 3);
    let most = scene.most_rejected();
    assert!(most <= limit as usize, "{most} rejections in a second");
}

cases! {
    what_is_rejected_late_is_little:
    by_targets_of_two_instances(2, 3, ms(800));
    by_targets_that_stand_still_for_long(5, 5, ms(2_000));
    by_targets_that_stand_still_for_a_moment(1, 4, ms(300));
    by_targets_that_survive_one(4, 1, ms(800));
}
