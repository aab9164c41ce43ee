//! Limits that targets state in their answers, over the instances of a region.

use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::rendezvous;
use chiverelay_decisions::traffic::NoTargetReason;
use chiverelay_decisions::traffic::RegionShares;
use chiverelay_decisions::traffic::StatedLimitUse;
use chiverelay_decisions::window::Divisor;

use super::World;
use super::cases;
use super::ms;

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time between two requests at each instance.
const STEP: Duration = Duration::from_millis(20);

/// Time until the answer to a request tells the limit.
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// Interval of the reports between instances.
const REPORT_STEPS: u32 = 15;

/// Instances of one region before a target that states a limit.
struct Limited {
    instances: Vec<World>,
    /// Limit in requests per second that the target states.
    limit_per_s: Option<f64>,
    now: Duration,
    steps: u32,
    sent: Vec<Duration>,
    answers: Vec<(Duration, usize)>,
}

impl Limited {
    fn new(instances: usize, limit_per_s: f64) -> Self {
        Self {
            instances: (0..instances).map(|_| World::new(1, true)).collect(),
            limit_per_s: Some(limit_per_s),
            now: ms(10_000),
            steps: 0,
            sent: Vec::new(),
            answers: Vec::new(),
        }
    }

    /// Lets every instance send as often as it may.
    fn play(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            for i in 0..self.instances.len() {
                self.send(i);
            }
            self.deliver_answers();
            if self.steps.is_multiple_of(REPORT_STEPS) {
                self.report();
            }
        }
    }

    fn send(&mut self, instance: usize) {
        let count = self.instances.len();
        let position = |target: &Target| {
            let weight = |i: usize| rendezvous::weight(target.as_str(), &format!("n-{i}"));
            (0..count).filter(|i| weight(*i) > weight(instance)).count()
        };
        let shares = RegionShares {
            divisor: Divisor::new(count),
            rank: None,
            stated: StatedLimitUse::Share {
                instances: count,
                rank: &position,
            },
        };
        let now = self.now;
        if self.instances[instance].send_sharing(shares, now).is_some() {
            self.sent.push(now);
            self.answers.push((now + ANSWER_TIME, instance));
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .answers
            .iter()
            .filter(|(at, _)| *at <= now)
            .copied()
            .collect();
        self.answers.retain(|(at, _)| *at > now);
        for (_, instance) in due {
            let traffic = &mut self.instances[instance].traffic;
            traffic.record_stated_limit(&"i-0".into(), self.limit_per_s, now);
        }
    }

    fn report(&mut self) {
        for from in 0..self.instances.len() {
            let traffic = &self.instances[from].traffic;
            let records = traffic.stated_limit_records(Audience::Direct, self.now);
            let name = Instance::from(format!("front-{from}"));
            for to in (0..self.instances.len()).filter(|to| *to != from) {
                let traffic = &mut self.instances[to].traffic;
                traffic.merge_stated_limits(&name, records.clone(), self.now);
            }
        }
    }

    /// Returns the most requests in a window that begins at `from` or later.
    fn most_in_window(&self, from: Duration) -> usize {
        let begins = self.sent.iter().filter(|at| **at >= from);
        let count = |begin: &Duration| {
            let inside = |at: &&Duration| **at >= *begin && **at < *begin + WINDOW;
            self.sent.iter().filter(inside).count()
        };
        begins.map(count).max().unwrap_or_default()
    }

    fn sent_since(&self, from: Duration) -> usize {
        self.sent.iter().filter(|at| **at > from).count()
    }
}

/// Returns the requests that a limit allows in a window: half as many again,
/// and five.
fn allowed(limit_per_s: f64) -> usize {
    (limit_per_s * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// A target named its limit in each answer and got all requests as before. The
/// shares of all instances must add up to the limit, and may not starve a
/// target whose limit is smaller than the number of instances.
fn a_stated_limit_holds_over_all_instances(instances: usize, limit_per_s: f64) {
    let mut region = Limited::new(instances, limit_per_s);
    region.play(ms(1_000));
    let told = region.now;
    region.play(ms(20_000));
    let most = region.most_in_window(told);
    assert!(most <= allowed(limit_per_s), "{most} requests in 4 s");
    let sent = region.sent_since(told) as f64;
    let least = limit_per_s * 20.0 * 0.8;
    assert!(sent >= least, "{sent} requests, {least} are asked for");
}

cases! {
    a_stated_limit_holds_over_all_instances:
    of_one_instance(1, 20.0);
    of_three_instances(3, 17.9);
    small_of_two_instances(2, 1.7);
    of_a_region_with_24(24, 35.6);
    small_of_a_region_with_24(24, 2.2);
    small_of_a_region_with_110(110, 2.2);
    below_one_a_second(24, 0.4);
}

/// The figure falls while it is in force.
#[test]
fn a_limit_that_falls_is_kept() {
    let mut region = Limited::new(8, 30.0);
    region.play(ms(5_000));
    region.limit_per_s = Some(3.0);
    region.play(ms(5_000));
    let from = region.now;
    region.play(ms(10_000));
    let most = region.most_in_window(from);
    assert!(most <= allowed(3.0), "{most} requests in 4 s");
}

/// Instances restart in turn and know nothing of the limit nor of what the
/// process before them sent.
#[test]
fn a_stated_limit_holds_while_instances_restart_in_turn() {
    for limit_per_s in [2.2, 20.0] {
        let mut region = Limited::new(3, limit_per_s);
        region.play(ms(1_000));
        let told = region.now;
        for i in 0..3 {
            region.play(ms(3_000));
            region.instances[i] = World::new(1, true);
            // What the new process sends before it is told.
            region.report();
        }
        region.play(ms(5_000));
        let most = region.most_in_window(told);
        assert!(most <= allowed(limit_per_s), "{most} requests in 4 s");
    }
}

/// An instance without a share hears from the others that the limit has ended,
/// as no answer tells it.
#[test]
fn the_end_of_a_limit_reaches_instances_that_send_nothing() {
    let mut region = Limited::new(24, 1.0);
    region.play(ms(5_000));
    region.limit_per_s = None;
    region.play(ms(3_000));
    let from = region.now;
    region.play(ms(1_000));
    // Each instance sends one request in each step.
    assert_eq!(region.sent_since(from), 24 * 50);
}

/// The limit is room that is left: requests go to the next target instead of
/// being refused.
#[test]
fn requests_beyond_a_limit_go_to_another_target() {
    let mut world = World::new(2, true);
    world
        .traffic
        .record_stated_limit(&"i-0".into(), Some(1.0), ms(10_000));
    let places: Vec<_> = (0..50)
        .filter_map(|n| world.send(&[], 300, ms(10_000 + 20 * n)))
        .collect();
    assert_eq!(places.len(), 50);
    let limited = places.iter().filter(|p| p.target == "i-0".into()).count();
    assert!(limited <= 2, "{limited} requests at the limited target");
}

#[test]
fn a_request_is_refused_at_once_where_all_targets_are_at_their_limits() {
    let mut world = World::new(1, true);
    world
        .traffic
        .record_stated_limit(&"i-0".into(), Some(1.0), ms(10_000));
    let refused = world.choose(&[], 300, &[], ms(10_010));
    assert_eq!(refused, Err(NoTargetReason::AllLimited));
}

/// The next process at the target's name states its limit itself, if any.
#[test]
fn a_target_that_restarts_has_no_limit() {
    let mut world = World::new(1, true);
    world
        .traffic
        .record_stated_limit(&"i-0".into(), Some(1.0), ms(10_000));
    world.traffic.reset_target(&"i-0".into(), ms(10_000));
    assert!(world.choose(&[], 300, &[], ms(10_010)).is_ok());
}

/// A report on its way is older than the answer that ended the limit.
#[test]
fn an_older_report_does_not_bring_a_limit_back() {
    let mut world = World::new(1, true);
    let target = Target::from("i-0");
    world
        .traffic
        .record_stated_limit(&target, Some(1.0), ms(10_000));
    let mut records = world
        .traffic
        .stated_limit_records(Audience::Direct, ms(10_000));
    world.traffic.record_stated_limit(&target, None, ms(10_100));
    records[0].age_ms = 150;
    world
        .traffic
        .merge_stated_limits(&"two".into(), records, ms(10_150));
    assert!(world.choose(&[], 300, &[], ms(10_160)).is_ok());
}
