//! The suspension of requests under which targets crash, over instances that
//! exchange reports.

use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::suspension::Admission;
use chiverelay_decisions::suspension::RequestDigest;
use chiverelay_decisions::suspension::Suspensions;
use chiverelay_decisions::traffic::PromptPart;
use support::cases;

const START: Duration = Duration::from_secs(10);

/// Length of the first suspension.
const FIRST: Duration = Duration::from_secs(10);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn request(body: &str) -> RequestDigest {
    RequestDigest::new(&"pool".into(), "POST", "/quote/1", &[], body.as_bytes())
}

fn deadly() -> RequestDigest {
    request("deadly")
}

fn target(n: usize) -> Target {
    format!("t-{n}").into()
}

/// Instances that tell each other what they saw.
struct World {
    instances: Vec<Suspensions>,
    now: Duration,
}

impl World {
    fn new(instances: usize) -> Self {
        Self {
            instances: (0..instances).map(|_| Suspensions::default()).collect(),
            now: START,
        }
    }

    /// Loses requests of an instance in a crash.
    fn crash(&mut self, at: usize, crashed: usize, requests: &[RequestDigest]) {
        let requests = requests.iter().copied();
        self.instances[at].record_crash(&target(crashed), requests, self.now);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        for from in 0..self.instances.len() {
            self.instances[from].expire(self.now);
            let report = self.instances[from].report(Audience::Direct, self.now);
            let name = Instance::from(format!("i-{from}"));
            for to in (0..self.instances.len()).filter(|to| *to != from) {
                self.instances[to].merge(&name, report.clone(), self.now);
            }
        }
    }

    /// Counts the instances that refuse a request.
    fn refusing(&self, digest: RequestDigest) -> usize {
        let id = "asked".into();
        let is_refusing =
            |s: &&Suspensions| matches!(s.admit(digest, &id, self.now), Admission::Suspended(_));
        self.instances.iter().filter(is_refusing).count()
    }
}

/// A request went from instance to instance under new ids, and ended a target
/// at each.
fn check_two_crashes_suspend_everywhere(instances: usize, beside: usize) {
    let mut world = World::new(instances);
    for n in 0..2 {
        assert_eq!(world.refusing(deadly()), 0);
        let mut lost: Vec<_> = (0..beside)
            .map(|i| request(&format!("sound-{n}-{i}")))
            .collect();
        lost.push(deadly());
        world.crash(n % instances, n, &lost);
        world.pass(secs(1));
    }
    assert_eq!(world.refusing(deadly()), instances);
    assert_eq!(world.refusing(request("sound-0-0")), 0);
}

cases! {
    check_two_crashes_suspend_everywhere:
    by_one_instance(1, 3);
    by_eight_instances(8, 3);
    by_many_instances_at_full_targets(72, 200);
}

/// An ordinary crash may take any request along.
#[test]
fn one_crash_suspends_nothing() {
    let mut world = World::new(2);
    world.crash(0, 1, &[deadly()]);
    // Both instances lost requests at the target at about the same time.
    world.now += secs(1);
    world.crash(1, 1, &[deadly()]);
    world.pass(secs(1));
    assert_eq!(world.refusing(deadly()), 0);
    assert!(world.instances[1].has_crashed(deadly()));
}

/// Ordinary crashes may not keep a sound request away for long.
#[test]
fn an_answer_between_two_crashes_refutes_the_first() {
    let mut world = World::new(2);
    world.crash(0, 1, &[deadly()]);
    world.pass(secs(1));
    world.instances[1].record_answer(deadly(), world.now);
    world.pass(secs(1));
    world.crash(0, 2, &[deadly()]);
    world.pass(secs(1));
    assert_eq!(world.refusing(deadly()), 0);
}

#[test]
fn a_suspension_ends_and_is_doubled_by_another_crash() {
    let mut world = World::new(2);
    world.crash(0, 1, &[deadly()]);
    world.crash(0, 2, &[deadly()]);
    world.pass(FIRST - secs(1));
    assert_eq!(world.refusing(deadly()), 2);
    world.pass(secs(1));
    assert_eq!(world.refusing(deadly()), 0);

    world.crash(1, 3, &[deadly()]);
    world.pass(FIRST * 2 - secs(1));
    assert_eq!(world.refusing(deadly()), 2);
    world.pass(secs(1));
    assert_eq!(world.refusing(deadly()), 0);
}

/// Several callers asked at the moment at which a suspension ended, and each
/// ended a target.
#[test]
fn one_request_at_a_time_passes_after_a_suspension() {
    let mut world = World::new(1);
    world.crash(0, 1, &[deadly()]);
    world.crash(0, 2, &[deadly()]);
    world.pass(FIRST + secs(3));
    let (probe, other) = ("probe".into(), "other".into());
    let now = world.now;
    let table = &mut world.instances[0];
    let due = table.admit(deadly(), &probe, now);
    assert_eq!(due, Admission::ProbeDue(secs(3)));
    assert!(table.try_probe(deadly(), &probe, now));
    assert_eq!(table.admit(deadly(), &probe, now), Admission::Allowed);
    assert!(!table.try_probe(deadly(), &other, now));
    // The probe was lost without a trace: the caller left.
    assert!(table.try_probe(deadly(), &other, now + secs(10)));

    table.record_answer(deadly(), now + secs(11));
    let admitted = table.admit(deadly(), &probe, now + secs(11));
    assert_eq!(admitted, Admission::Allowed);
}

/// Instances restart in turn, those first that lost the request, and each
/// hears of the suspension from one that only heard of it itself.
#[test]
fn a_suspension_outlasts_restarts_in_turn() {
    let mut world = World::new(3);
    world.crash(0, 1, &[deadly()]);
    world.crash(1, 2, &[deadly()]);
    world.pass(secs(1));
    world.pass(secs(2));
    for restarted in 0..3 {
        world.instances[restarted] = Suspensions::default();
        world.pass(secs(1));
    }
    assert_eq!(world.refusing(deadly()), 3);
}

#[test]
fn crashes_are_forgotten() {
    let mut world = World::new(1);
    world.crash(0, 1, &[deadly()]);
    world.pass(secs(120));
    assert!(!world.instances[0].has_crashed(deadly()));
}

/// Mass crashes may not fill the memory, nor push out what is suspended.
#[test]
fn requests_that_were_lost_once_give_way() {
    let mut world = World::new(1);
    world.crash(0, 1, &[deadly()]);
    world.crash(0, 2, &[deadly()]);
    let lost: Vec<_> = (0..5_000).map(|i| request(&format!("sound-{i}"))).collect();
    world.crash(0, 3, &lost);
    assert_eq!(world.refusing(deadly()), 1);
}

#[test]
fn requests_differ_by_pool_path_prompt_and_body() {
    let digest = |pool: &str, path: &str, prompt: &[u64], body: &str| {
        let part = |id: &u64| PromptPart { id: *id, tokens: 9 };
        let parts: Vec<_> = prompt.iter().map(part).collect();
        RequestDigest::new(&pool.into(), "POST", path, &parts, body.as_bytes())
    };
    let one = digest("pool", "/quote/1", &[1, 2], "body");
    assert_eq!(one, digest("pool", "/quote/1", &[1, 2], "body"));
    for other in [
        digest("pool-2", "/quote/1", &[1, 2], "body"),
        digest("pool", "/quote/12", &[1, 2], "body"),
        digest("pool", "/quote/1", &[1, 3], "body"),
        digest("pool", "/quote/1", &[1, 2], "other"),
        digest("pool/", "quote/1", &[1, 2], "body"),
    ] {
        assert_ne!(one, other);
    }
}
