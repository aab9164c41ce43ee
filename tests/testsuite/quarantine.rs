//! The quarantine of prompt parts that crash targets, over instances that
//! exchange reports.

use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::quarantine::Admission;
use chiverelay_decisions::quarantine::Change;
use chiverelay_decisions::quarantine::CrashedRequest;
use chiverelay_decisions::quarantine::Quarantine;
use chiverelay_decisions::traffic::PromptPart;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The deadly part.
const DEADLY: u64 = 0xdead;

/// The first part of the deadly prompts, which sound ones have too.
const CATALOG: u64 = 0xca7a;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Length of the first quarantine of a part.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);

/// Instances that judge crashes together.
struct World {
    instances: Vec<Quarantine>,
    now: Duration,
    rng: StdRng,
    requests: u64,
    crashes: usize,
}

fn prompt(ids: &[u64]) -> Vec<PromptPart> {
    let part = |id: &u64| PromptPart {
        id: *id,
        tokens: 200,
    };
    ids.iter().map(part).collect()
}

impl World {
    fn new(instances: usize, seed: u64) -> Self {
        Self {
            instances: (0..instances).map(|_| Quarantine::default()).collect(),
            now: Duration::from_secs(10),
            rng: StdRng::seed_from_u64(seed),
            requests: 0,
            crashes: 0,
        }
    }

    fn next_request(&mut self) -> RequestId {
        self.requests += 1;
        format!("r-{}", self.requests).into()
    }

    fn any_instance(&mut self) -> usize {
        let count = self.instances.len();
        self.rng.random_range(0..count)
    }

    /// Returns a sound prompt. The first part is common, the second rare.
    fn sound_prompt(&mut self) -> Vec<PromptPart> {
        let first = self.rng.random_range(0..20);
        let second = self.rng.random_range(1_000..1_400);
        let own = self.rng.random();
        prompt(&[first, second, own])
    }

    /// Returns a deadly prompt, which shares nothing but two parts.
    fn deadly_prompt(&mut self) -> Vec<PromptPart> {
        let own = self.rng.random();
        prompt(&[CATALOG, DEADLY, own])
    }

    /// Answers a request with these parts at any instance.
    fn answer(&mut self, parts: &[PromptPart]) {
        let at = self.any_instance();
        self.instances[at].record_answer(parts, self.now);
    }

    /// Answers so many sound requests.
    fn answer_sound(&mut self, count: usize) {
        for _ in 0..count {
            let parts = self.sound_prompt();
            self.answer(&parts);
        }
    }

    /// Crashes a target under requests with these prompts, each of any
    /// instance.
    fn crash(&mut self, prompts: &[Vec<PromptPart>]) {
        self.crashes += 1;
        let target = Target::from(format!("t-{}", self.crashes));
        for parts in prompts {
            let (at, id) = (self.any_instance(), self.next_request());
            let lost = CrashedRequest { id: &id, parts };
            self.instances[at].record_crash(&target, &[lost], self.now);
        }
    }

    /// Crashes a target under a deadly request, if any instance admits it, and
    /// sound ones beside it.
    fn send_deadly(&mut self, beside: usize) {
        let (at, id) = (self.any_instance(), self.next_request());
        let deadly = self.deadly_prompt();
        if self.instances[at].admit(&id, &deadly, self.now) != Admission::Allowed {
            return;
        }
        let mut prompts = vec![deadly];
        prompts.extend((0..beside).map(|_| self.sound_prompt()));
        self.crash(&prompts);
    }

    /// Lets time pass, in which instances report to each other.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += REPORT_INTERVAL;
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        for from in 0..self.instances.len() {
            self.instances[from].update(self.now);
            let report = self.instances[from].report(Audience::Direct, self.now);
            let name = Instance::from(format!("i-{from}"));
            for to in (0..self.instances.len()).filter(|to| *to != from) {
                self.instances[to].merge(&name, report.clone(), self.now);
            }
        }
    }

    /// Counts the instances that refuse a prompt with this part.
    fn refusing(&self, part: u64) -> usize {
        let parts = prompt(&[part, 1]);
        let id = RequestId::from("asked");
        let is_refusing = |q: &&Quarantine| q.admit(&id, &parts, self.now) != Admission::Allowed;
        self.instances.iter().filter(is_refusing).count()
    }

    /// Counts the quarantined parts of all instances.
    fn quarantined(&self) -> usize {
        self.instances.iter().map(Quarantine::len).sum()
    }

    /// Plays crashes by deadly requests until all instances refuse them.
    fn quarantine_deadly(&mut self) {
        self.answer_sound(400);
        while self.refusing(DEADLY) < self.instances.len() {
            self.send_deadly(8);
            self.answer_sound(40);
            self.pass(REPORT_INTERVAL * 2);
            assert!(self.crashes < 40, "never quarantined");
        }
    }
}

/// Each instance sees few of the crashes, so the part is known only together:
/// without that, requests with it crashed target after target.
fn a_deadly_part_is_refused_everywhere(instances: usize, seed: u64) {
    let mut world = World::new(instances, seed);
    world.quarantine_deadly();
    // Five crashes are allowed for, and what comes in the time after them.
    assert!(world.crashes <= 5, "{} crashes", world.crashes);
    let before = world.crashes;
    for _ in 0..100 {
        world.send_deadly(8);
        world.answer_sound(40);
        world.pass(REPORT_INTERVAL);
    }
    assert_eq!(world.crashes, before, "requests with the part went on");
    assert_eq!(world.quarantined(), instances, "no other part");
}

support::cases! {
    a_deadly_part_is_refused_everywhere:
    by_one_instance(1, 1);
    by_two_instances(2, 2);
    by_eight_instances(8, 3);
    by_seventy_two_instances(72, 4);
}

/// Sound requests share the first part of the deadly ones, so that part is lost
/// in every crash too; it must stay served.
#[test]
fn the_first_part_of_deadly_prompts_stays_served() {
    for seed in 0..20 {
        let mut world = World::new(8, seed);
        world.answer_sound(400);
        for _ in 0..10 {
            let own = world.rng.random();
            world.answer(&prompt(&[CATALOG, own]));
            world.send_deadly(8);
            world.answer_sound(40);
            world.pass(REPORT_INTERVAL * 2);
        }
        assert_eq!(world.refusing(DEADLY), 8, "seed {seed}");
        assert_eq!(world.refusing(CATALOG), 0, "seed {seed}");
    }
}

/// A lost request was sent to the next target and crashed that too, before the
/// part was known.
#[test]
fn a_part_is_suspected_after_two_crashes_until_it_is_answered() {
    let mut world = World::new(2, 1);
    world.answer_sound(400);
    let parts = world.deadly_prompt();
    for crashes in 0..2 {
        let suspecting = |q: &Quarantine| q.is_suspected(&parts, world.now);
        assert!(!world.instances.iter().any(suspecting), "{crashes} crashes");
        world.send_deadly(3);
        world.pass(REPORT_INTERVAL);
    }
    let now = world.now;
    assert!(world.instances.iter().all(|q| q.is_suspected(&parts, now)));
    world.answer(&parts);
    world.pass(REPORT_INTERVAL);
    let now = world.now;
    assert!(!world.instances.iter().any(|q| q.is_suspected(&parts, now)));
}

/// Where nothing tells two parts apart, the one that fewer prompts can share is
/// refused.
#[test]
fn of_two_parts_that_always_occur_together_the_later_is_refused() {
    let mut world = World::new(8, 1);
    world.quarantine_deadly();
    assert_eq!(world.refusing(CATALOG), 0);
}

/// Targets crash without any request's fault, one every half second for a
/// minute, each with ten requests in flight. No part may be refused for that.
fn ordinary_crashes_accuse_nobody(instances: usize) {
    for seed in 0..20 {
        let mut world = World::new(instances, seed);
        world.answer_sound(400);
        for _ in 0..120 {
            let prompts: Vec<_> = (0..10).map(|_| world.sound_prompt()).collect();
            world.crash(&prompts);
            world.answer_sound(60);
            world.pass(REPORT_INTERVAL * 2);
            assert_eq!(world.quarantined(), 0, "seed {seed}");
        }
    }
}

support::cases! {
    ordinary_crashes_accuse_nobody:
    seen_by_two_instances(2);
    seen_by_eight_instances(8);
}

/// A restart of all targets at once takes every request in flight with it.
#[test]
fn mass_restarts_accuse_nobody() {
    for seed in 0..20 {
        let mut world = World::new(8, seed);
        world.answer_sound(2_000);
        for _ in 0..4 {
            for _ in 0..9 {
                let prompts: Vec<_> = (0..30).map(|_| world.sound_prompt()).collect();
                world.crash(&prompts);
            }
            world.pass(Duration::from_secs(4));
            world.answer_sound(300);
        }
        assert_eq!(world.quarantined(), 0, "seed {seed}");
    }
}

/// Targets that crash under every request, as after a bad release, show nothing
/// about the prompts: refusing them would only make the outage longer.
#[test]
fn targets_that_crash_under_everything_accuse_nobody() {
    let mut world = World::new(8, 1);
    world.answer_sound(400);
    for _ in 0..200 {
        let prompts: Vec<_> = (0..3).map(|_| world.sound_prompt()).collect();
        world.crash(&prompts);
        world.pass(REPORT_INTERVAL);
    }
    assert_eq!(world.quarantined(), 0);
}

/// A new process knows nothing of the crashes before it.
#[test]
fn an_instance_that_restarts_hears_of_the_quarantine() {
    let mut world = World::new(8, 1);
    world.quarantine_deadly();
    world.instances[3] = Quarantine::default();
    world.exchange();
    assert_eq!(world.refusing(DEADLY), 8);
}

/// Instances restart in turn until none is left that saw the crashes.
#[test]
fn a_quarantine_outlives_the_instances_that_imposed_it() {
    let mut world = World::new(8, 1);
    world.quarantine_deadly();
    for i in 0..8 {
        world.instances[i] = Quarantine::default();
        world.pass(REPORT_INTERVAL);
    }
    assert_eq!(world.refusing(DEADLY), 8);
    assert_eq!(world.quarantined(), 8);
}

/// Returns the instances that let a deadly request through as a probe, each
/// asked in turn.
fn send_probes(world: &mut World) -> Vec<(usize, RequestId)> {
    let mut probes = Vec::new();
    for i in 0..world.instances.len() {
        let (id, parts) = (world.next_request(), world.deadly_prompt());
        let now = world.now;
        let instance = &mut world.instances[i];
        if let Admission::ProbeDue(part, _) = instance.admit(&id, &parts, now)
            && instance.try_probe(part, &id, now)
        {
            probes.push((i, id));
        }
    }
    probes
}

#[test]
fn no_probe_is_sent_before_the_quarantine_is_over() {
    let mut world = World::new(3, 1);
    world.quarantine_deadly();
    world.pass(FIRST_QUARANTINE - Duration::from_secs(2));
    assert_eq!(send_probes(&mut world), []);
}

/// While a probe runs, its instance refuses all other requests with the part.
#[test]
fn a_probe_that_is_answered_lifts_the_quarantine_everywhere() {
    let mut world = World::new(3, 1);
    world.quarantine_deadly();
    world.pass(FIRST_QUARANTINE);
    let probes = send_probes(&mut world);
    let (at, id) = &probes[0];
    let parts = world.deadly_prompt();
    let now = world.now;
    assert_eq!(
        world.instances[*at].admit(id, &parts, now),
        Admission::Allowed
    );
    let other = RequestId::from("other");
    let refused = world.instances[*at].admit(&other, &parts, now);
    assert_eq!(refused, Admission::Quarantined(DEADLY));
    let changes = world.instances[*at].record_answer(&parts, now);
    assert_eq!(changes, [Change::Lifted(DEADLY)]);
    world.pass(Duration::from_secs(40));
    assert_eq!(world.refusing(DEADLY), 0);
    assert_eq!(world.quarantined(), 0);
}

#[test]
fn a_probe_that_crashes_a_target_prolongs_the_quarantine_everywhere() {
    let mut world = World::new(3, 1);
    world.quarantine_deadly();
    world.pass(FIRST_QUARANTINE);
    let (at, id) = send_probes(&mut world).swap_remove(0);
    let parts = world.deadly_prompt();
    let lost = CrashedRequest {
        id: &id,
        parts: &parts,
    };
    let now = world.now;
    let changes = world.instances[at].record_crash(&"t-probe".into(), &[lost], now);
    assert_eq!(changes, [Change::Prolonged(DEADLY)]);
    world.pass(REPORT_INTERVAL);
    // Twice as long as the first time.
    world.pass(FIRST_QUARANTINE * 2 - Duration::from_secs(2));
    assert_eq!(send_probes(&mut world), []);
    world.pass(Duration::from_secs(2));
    assert!(!send_probes(&mut world).is_empty());
}

/// Callers may name any number of parts; the tables don't grow with them.
#[test]
fn invented_parts_leave_the_report_small() {
    let mut world = World::new(2, 1);
    world.answer_sound(400);
    for _ in 0..50 {
        let ids: Vec<u64> = (0..200).map(|_| world.rng.random()).collect();
        world.crash(&[prompt(&ids)]);
        world.answer(&prompt(&ids.iter().map(|id| id + 1).collect::<Vec<_>>()));
    }
    world.pass(REPORT_INTERVAL);
    let report = world.instances[0].report(Audience::Direct, world.now);
    let size = postcard::to_stdvec(&report).expect("a report").len();
    assert!(size < 8_192, "{size} bytes");
    assert_eq!(world.quarantined(), 0);
}
