//! What instances know of each other through hubs: every word once, whoever
//! reports to whom.

use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::quarantine::Admission;
use chiverelay_decisions::quarantine::CrashedRequest;
use chiverelay_decisions::quarantine::Quarantine;
use chiverelay_decisions::retry_budget::RetryLimit;
use chiverelay_decisions::suspension;
use chiverelay_decisions::suspension::RequestDigest;
use chiverelay_decisions::suspension::Suspensions;
use chiverelay_decisions::traffic::ColdLimitTolerance;
use chiverelay_decisions::traffic::InFlight;
use chiverelay_decisions::traffic::PartUseCursor;
use chiverelay_decisions::traffic::PromptPart;
use chiverelay_decisions::traffic::PromptPartUse;
use chiverelay_decisions::traffic::TargetInFlight;
use chiverelay_decisions::traffic::Traffic;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What one instance knows.
struct Member {
    name: Instance,
    traffic: Traffic,
    quarantine: Quarantine,
    suspensions: Suspensions,
    cursors: Vec<PartUseCursor>,
}

/// A fleet whose hubs are the first instances. The others report to the hub at
/// `hub_of`.
struct Fleet {
    members: Vec<Member>,
    hubs: usize,
    hub_of: Vec<usize>,
    now: Duration,
}

impl Fleet {
    fn new(hubs: usize, count: usize) -> Self {
        let retries = RetryLimit {
            window: ms(10_000),
            ratio: 0.2,
            slack: 56.0,
        };
        let cold = ColdLimitTolerance {
            factor: 1.5,
            slack: 3.0,
        };
        let member = |n| Member {
            name: Instance::from(format!("i-{n}")),
            traffic: Traffic::new(retries, cold),
            quarantine: Quarantine::default(),
            suspensions: Suspensions::default(),
            cursors: vec![PartUseCursor::default(); count],
        };
        Self {
            members: (0..count).map(member).collect(),
            hubs,
            hub_of: (0..count).map(|n| n % hubs).collect(),
            now: ms(10_000),
        }
    }

    fn reporters(&self, hub: usize) -> HashSet<Instance> {
        let reports = |n: &usize| *n >= self.hubs && self.hub_of[*n] == hub;
        let names = (0..self.members.len()).filter(reports);
        names.map(|n| self.members[n].name.clone()).collect()
    }

    /// Sends what `from` knows for an audience.
    fn tell(&mut self, from: usize, to: usize, audience: Audience<'_>) {
        let now = self.now;
        let sender = &mut self.members[from];
        let name = sender.name.clone();
        let counts = sender.traffic.in_flight_for(audience);
        let cursor = &mut sender.cursors[to];
        let uses = sender.traffic.part_uses_since(cursor, audience);
        let crashes = sender.quarantine.report(audience, now);
        let lost = sender.suspensions.report(audience, now);
        let receiver = &mut self.members[to];
        receiver.traffic.update_remote_counts(&name, counts, now);
        receiver.traffic.record_remote_part_uses(&name, uses, now);
        receiver.quarantine.merge(&name, crashes, now);
        receiver.suspensions.merge(&name, lost, now);
    }

    /// Lets every instance report, every hub tell the other ones, and every
    /// instance hear of all.
    fn exchange(&mut self) {
        self.now += ms(400);
        let others = self.hubs..self.members.len();
        for n in others.clone() {
            self.tell(n, self.hub_of[n], Audience::Direct);
        }
        for from in 0..self.hubs {
            let reporters = self.reporters(from);
            for to in (0..self.hubs).filter(|to| *to != from) {
                self.tell(from, to, Audience::Hubs(&reporters));
            }
        }
        for n in others {
            let name = self.members[n].name.clone();
            self.tell(self.hub_of[n], n, Audience::Reporter(&name));
        }
    }

    /// Lets an instance report to another hub.
    fn move_to(&mut self, n: usize, hub: usize) {
        let former = std::mem::replace(&mut self.hub_of[n], hub);
        let (name, former_name) = (
            self.members[n].name.clone(),
            self.members[former].name.clone(),
        );
        let hub = &mut self.members[former];
        hub.traffic.remove_instance(&name);
        hub.quarantine.remove_instance(&name);
        let member = &mut self.members[n];
        member.traffic.remove_instance(&former_name);
        member.quarantine.remove_instance(&former_name);
    }

    /// Gives each instance a number of requests at one target, as if another
    /// instance that only it hears had them.
    fn load(&mut self, running: u32) {
        for member in &mut self.members {
            let counts = vec![TargetInFlight {
                target: "t-1".into(),
                priority: 0,
                in_flight: InFlight {
                    running,
                    prefill_tokens: 100 * running,
                },
            }];
            let outside = Instance::from(format!("beside-{}", member.name));
            member
                .traffic
                .update_remote_counts(&outside, counts, self.now);
        }
    }

    fn running(&self, n: usize) -> u32 {
        self.members[n].traffic.in_flight(&"t-1".into()).running
    }
}

/// Pattern: instances of a large region, each with a request at the same target.
#[test]
fn each_instance_knows_the_load_of_all_others_once() {
    let mut fleet = Fleet::new(3, 12);
    // Hubs pass on what their reporters have, not what strangers told them.
    for n in 3..12 {
        let count = vec![TargetInFlight {
            target: "t-1".into(),
            priority: 0,
            in_flight: InFlight {
                running: 1,
                prefill_tokens: 0,
            },
        }];
        let hub = fleet.hub_of[n];
        let name = fleet.members[n].name.clone();
        let now = fleet.now;
        fleet.members[hub]
            .traffic
            .update_remote_counts(&name, count, now);
    }
    for from in 0..3 {
        let reporters = fleet.reporters(from);
        for to in (0..3).filter(|to| *to != from) {
            fleet.tell(from, to, Audience::Hubs(&reporters));
        }
    }
    for hub in 0..3 {
        assert_eq!(fleet.running(hub), 9, "hub {hub}");
    }
    for n in 3..12 {
        let name = fleet.members[n].name.clone();
        fleet.tell(fleet.hub_of[n], n, Audience::Reporter(&name));
        assert_eq!(fleet.running(n), 8, "its own is not among them");
    }
}

#[test]
fn hubs_pass_nothing_on_from_each_other() {
    let mut fleet = Fleet::new(3, 3);
    fleet.load(5);
    for _ in 0..4 {
        fleet.exchange();
    }
    for hub in 0..3 {
        assert_eq!(fleet.running(hub), 5);
    }
}

#[test]
fn an_instance_that_changes_its_hub_is_not_counted_twice() {
    let mut fleet = Fleet::new(2, 6);
    let count = vec![TargetInFlight {
        target: "t-1".into(),
        priority: 0,
        in_flight: InFlight {
            running: 4,
            prefill_tokens: 0,
        },
    }];
    let (name, now) = (fleet.members[2].name.clone(), fleet.now);
    fleet.members[0]
        .traffic
        .update_remote_counts(&name, count.clone(), now);
    fleet.tell(0, 1, Audience::Hubs(&HashSet::from([name.clone()])));
    assert_eq!((fleet.running(0), fleet.running(1)), (4, 4));
    fleet.move_to(2, 1);
    fleet.members[1]
        .traffic
        .update_remote_counts(&name, count, now);
    fleet.tell(0, 1, Audience::Hubs(&HashSet::new()));
    fleet.tell(1, 0, Audience::Hubs(&HashSet::from([name])));
    assert_eq!((fleet.running(0), fleet.running(1)), (4, 4));
}

#[test]
fn each_use_of_a_prompt_part_is_told_once() {
    let mut fleet = Fleet::new(2, 6);
    let uses = vec![PromptPartUse {
        target: "t-1".into(),
        part: PromptPart {
            id: 7,
            tokens: 13_000,
        },
    }];
    let now = fleet.now;
    fleet.members[0]
        .traffic
        .record_remote_part_uses(&"i-2".into(), uses, now);
    let mut cursor = PartUseCursor::default();
    let reporter = Instance::from("i-4");
    let traffic = &fleet.members[0].traffic;
    let told = traffic.part_uses_since(&mut cursor, Audience::Reporter(&reporter));
    assert_eq!(told.len(), 1);
    let told = traffic.part_uses_since(&mut cursor, Audience::Reporter(&reporter));
    assert!(told.is_empty());
    let itself = Instance::from("i-2");
    let told = traffic.part_uses_since(&mut PartUseCursor::default(), Audience::Reporter(&itself));
    assert!(told.is_empty(), "it knows what it sent");
}

/// Pattern: a prompt part that crashes targets, whose requests come to many
/// instances of a large region.
#[test]
fn a_deadly_part_is_quarantined_on_all_instances() {
    let mut fleet = Fleet::new(3, 24);
    let prompt = |part, own| {
        let tokens = 1_000;
        [
            PromptPart { id: part, tokens },
            PromptPart { id: own, tokens },
        ]
    };
    for crash in 0..4 {
        let target = format!("t-{crash}").as_str().into();
        let id = RequestId::from(format!("deadly-{crash}"));
        let parts = prompt(99, crash);
        let lost = [CrashedRequest {
            id: &id,
            parts: &parts,
        }];
        let now = fleet.now;
        let seen_by = 5 + 4 * crash as usize;
        fleet.members[seen_by]
            .quarantine
            .record_crash(&target, &lost, now);
        for n in 0..200 {
            let sound = prompt(1_000 + n, n);
            fleet.members[n as usize % 24]
                .quarantine
                .record_answer(&sound, now);
        }
        fleet.exchange();
        fleet.exchange();
    }
    fleet.now += ms(1_000);
    for member in &mut fleet.members {
        member.quarantine.update(fleet.now);
    }
    let (id, parts) = (RequestId::from("next"), prompt(99, 1_234));
    let refuses = |m: &&Member| m.quarantine.admit(&id, &parts, fleet.now) != Admission::Allowed;
    assert_eq!(fleet.members.iter().filter(refuses).count(), 24);
}

#[test]
fn a_request_under_which_targets_crashed_is_suspended_on_all_instances() {
    let mut fleet = Fleet::new(3, 12);
    let digest = RequestDigest::new(&"pool".into(), "POST", "/quote", &[], b"deadly");
    for (crash, n) in [4_usize, 11].into_iter().enumerate() {
        let target = format!("t-{crash}").as_str().into();
        let now = fleet.now;
        let suspensions = &mut fleet.members[n].suspensions;
        suspensions.record_crash(&target, [digest], now);
        fleet.exchange();
    }
    let id = RequestId::from("next");
    for member in &fleet.members {
        let admission = member.suspensions.admit(digest, &id, fleet.now);
        assert!(
            matches!(admission, suspension::Admission::Suspended(_)),
            "{}: {admission:?}",
            member.name
        );
    }
}
