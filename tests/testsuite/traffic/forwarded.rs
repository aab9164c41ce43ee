//! What is sent to another region, before that region tells of it.

use std::collections::HashMap;
use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::directory::callers_ratio;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::traffic::ForwardedLoad;
use chiverelay_decisions::traffic::Reservation;
use chiverelay_decisions::traffic::TargetChoice;
use chiverelay_decisions::traffic::TargetOutcome;
use support::cases;

use super::World;
use super::ms;

/// Returns a request of an instance whose region has so many times its callers.
fn forwarded(tokens: u32, callers_ratio: f64) -> ForwardedLoad {
    ForwardedLoad {
        priority: 0,
        tokens,
        callers_ratio,
    }
}

/// Pattern: a regional peak that spills; statuses come back late.
#[test]
fn what_was_just_sent_away_counts_until_it_is_told() {
    let mut world = World::new(2, true);
    let before = world
        .choose(&[], 5_000, &[], ms(0))
        .expect("a choice")
        .estimate
        .wait;
    for _ in 0..10 {
        world
            .traffic
            .record_forward(&"north".into(), &world.pool, forwarded(5_000, 1.0), ms(0));
    }
    let wait = |world: &mut World, now| {
        world
            .choose(&[], 5_000, &[], now)
            .expect("a choice")
            .estimate
            .wait
    };
    assert!(wait(&mut world, ms(10)) > before * 3);
    assert_eq!(wait(&mut world, ms(900)), before);
}

/// Pattern: a region at its peak sends work to a small one, before that one has
/// told of any of it. All its instances see the same and act alike: together
/// they send about as much as there is room for, not each of them.
fn check_instances_that_act_alike(instances: usize) {
    const TARGETS: usize = 4;
    let mut sent = 0;
    for n in 0..instances {
        let mut world = World::new(TARGETS, true);
        world.draw = n as u64 * 10_000;
        for _ in 0..2_000 {
            let choice = world.choose(&[], 300, &[], ms(0)).expect("a choice");
            if !choice.estimate.has_free_slot {
                break;
            }
            let others = vec![250; instances - 1];
            let ratio = callers_ratio(250, others);
            let region = "north".into();
            world
                .traffic
                .record_forward(&region, &world.pool, forwarded(300, ratio), ms(0));
            sent += 1;
        }
    }
    let slots = TARGETS * 64;
    assert!(sent >= slots / 2, "{sent} for {slots} slots");
    assert!(sent <= slots * 3 / 2, "{sent} for {slots} slots");
}

cases! {
    check_instances_that_act_alike:
    one_instance_that_forwards(1);
    six_instances_that_forward_alike(6);
    twenty_instances_that_forward_alike(20);
}

/// Time that a request holds a slot.
const SERVICE_TIME: Duration = ms(200);

/// Latency target of the requests.
const LATENCY_TARGET: Duration = ms(500);

/// Time to the deadline of a new request.
const DEADLINE: Duration = ms(3_000);

/// Additional time of a request that goes to another region.
const ROUND_TRIP: Duration = ms(115);

/// Time between two reports of the instance that sends to the targets.
const REPORT_INTERVAL_MS: u64 = 300;

/// Slots of each target.
const SLOTS: usize = 6;

/// Requests that an instance's callers sent, and those that ran.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    sent: u32,
    served: u32,
}

impl Share {
    fn ratio(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent)
    }
}

/// The only instance that reaches targets, and others whose regions have none that
/// is reached.
struct LastRegion {
    /// What each instance knows, the one before the targets first.
    worlds: Vec<World>,
    shares: Vec<Share>,
    /// When each slot of a target is free.
    slots: HashMap<Target, [Duration; SLOTS]>,
    running: Vec<(Duration, Reservation)>,
}

impl LastRegion {
    fn new(senders: usize) -> Self {
        let worlds = (0..=senders).map(|n| {
            let mut world = World::new(2, false);
            world.draw = (n as u64) << 32;
            let performance = world.traffic.performance_mut(&world.pool.name);
            for _ in 0..50 {
                performance.record_answer(SERVICE_TIME);
            }
            world
        });
        Self {
            worlds: worlds.collect(),
            shares: vec![Share::default(); senders + 1],
            slots: HashMap::new(),
            running: Vec::new(),
        }
    }

    /// Sends a request of an instance's caller, which comes back to nobody.
    fn send(&mut self, from: usize, now: Duration) {
        self.shares[from].sent += 1;
        if from > 0 && !self.is_forwarded(from, now) {
            return;
        }
        let choice = self.worlds[0].choose(&[], 0, &[], now).expect("a target");
        if !choice.estimate.is_late_from_queueing(LATENCY_TARGET) {
            self.run(choice, now);
            self.shares[from].served += 1;
        }
    }

    fn is_forwarded(&mut self, from: usize, now: Duration) -> bool {
        let world = &mut self.worlds[from];
        let choice = world.choose(&[], 0, &[], now).expect("a target");
        let mut estimate = choice.estimate;
        estimate.wait += ROUND_TRIP;
        let is_forwarded = estimate.allows_forward(DEADLINE, LATENCY_TARGET, false);
        if is_forwarded {
            let region = "north".into();
            let load = forwarded(0, 1.0);
            world
                .traffic
                .record_forward(&region, &world.pool, load, now);
        }
        is_forwarded
    }

    fn run(&mut self, choice: TargetChoice, now: Duration) {
        let slots = self.slots.entry(choice.target.clone()).or_default();
        let first = slots.iter_mut().min().expect("slots");
        *first = now.max(*first) + SERVICE_TIME;
        let ends = *first;
        let reservation = self.worlds[0].take(choice, &[], now).expect("a place");
        self.running.push((ends, reservation));
    }

    fn end_requests(&mut self, now: Duration) {
        let ended = self.running.extract_if(.., |(ends, _)| *ends <= now);
        for (_, reservation) in ended {
            let traffic = &mut self.worlds[0].traffic;
            traffic.release(reservation, TargetOutcome::Answered, now);
        }
    }

    fn report(&mut self, now: Duration) {
        let counts = self.worlds[0].traffic.in_flight_for(Audience::Direct);
        for world in &mut self.worlds[1..] {
            let traffic = &mut world.traffic;
            traffic.update_remote_counts(&"last".into(), counts.clone(), now);
        }
    }
}

/// Pattern: all regions but one lose their targets, so that one instance has to
/// take more than its targets run. The callers of the others are served nearly as
/// often as its own.
fn a_last_region_is_shared(senders: usize, interval_ms: u64) {
    let mut last = LastRegion::new(senders);
    for at in 0..10_000 {
        let now = ms(at);
        last.end_requests(now);
        if at % REPORT_INTERVAL_MS == 0 {
            last.report(now);
        }
        for from in 0..=senders {
            let offset = from as u64 * interval_ms / (senders as u64 + 1);
            if at % interval_ms == offset {
                last.send(from, now);
            }
        }
    }
    let sent: u32 = last.shares.iter().map(|share| share.sent).sum();
    let served: u32 = last.shares.iter().map(|share| share.served).sum();
    assert!(served < sent, "the targets have room for all");
    let own = last.shares[0].ratio();
    for share in &last.shares[1..] {
        assert!(share.ratio() >= 0.9 * own, "{:?}", last.shares);
    }
}

cases! {
    a_last_region_is_shared:
    by_two_instances(1, 25);
    by_four_instances(3, 33);
    by_four_instances_far_beyond_its_room(3, 11);
    by_twelve_instances(11, 101);
}

/// Failure: a request that was refused there was forwarded to one instance after
/// another whose queues were full.
#[test]
fn a_request_that_was_refused_there_is_not_forwarded_to_a_full_queue() {
    let mut world = World::new(1, false);
    for _ in 0..6 * SLOTS {
        world.send(&[], 0, ms(0)).expect("a place");
    }
    let choice = world.choose(&[], 0, &[], ms(0)).expect("a target");
    let estimate = choice.estimate;
    assert!(estimate.allows_forward(DEADLINE, LATENCY_TARGET, false));
    assert!(!estimate.allows_forward(DEADLINE, LATENCY_TARGET, true));
    assert!(!estimate.allows_forward(ms(100), LATENCY_TARGET, false));
}
