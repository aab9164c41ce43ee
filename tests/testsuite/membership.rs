//! Who lives: digests in any order, silence, leaving, pauses, and the
//! messages of a large fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use chiverelay_decisions::membership::Digest;
use chiverelay_decisions::membership::FANOUT;
use chiverelay_decisions::membership::FAR_SILENCE;
use chiverelay_decisions::membership::Profile;
use chiverelay_decisions::membership::RegionAge;
use chiverelay_decisions::membership::Roster;
use chiverelay_decisions::membership::SUSPICION;
use chiverelay_decisions::membership::Status;
use chiverelay_decisions::membership::Word;
use chiverelay_decisions::names::Instance;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::cases;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn profile(region: &str) -> Profile {
    let address = "10.0.0.1:1".parse().expect("an address");
    Profile {
        region: region.into(),
        zone: format!("{region}-a").as_str().into(),
        caller: address,
        operator: address,
        sibling: address,
    }
}

fn word(instance: &str, incarnation: u64, status: Status) -> Word {
    Word {
        instance: instance.into(),
        incarnation,
        status,
        config_version: 0,
        profile: Some(profile("lima")),
    }
}

fn digest(words: Vec<Word>) -> Digest {
    Digest {
        words,
        ..Digest::default()
    }
}

fn roster(name: &str, region: &str) -> Roster {
    let mut roster = Roster::new(name.into(), 1, profile(region));
    roster.set_own(Status::Serving, 0);
    roster
}

fn status(number: u8) -> Status {
    match number % 5 {
        0 => Status::Starting,
        1 => Status::Serving,
        2 => Status::Leaving,
        3 => Status::Suspect,
        _ => Status::Dead,
    }
}

type Known = BTreeMap<Instance, (u64, Status, u64)>;

fn known(roster: &Roster) -> Known {
    let members = roster.members().iter();
    members
        .map(|(n, m)| (n.clone(), (m.incarnation, m.status, m.config_version)))
        .collect()
}

/// Whatever the order in which words arrive, the same is known in the end:
/// the highest incarnation with its highest status.
fn converges(words: Vec<(u8, u8, u8, u8)>, cut: usize) -> bool {
    let words: Vec<_> = words
        .into_iter()
        .map(|(name, incarnation, number, version)| Word {
            config_version: u64::from(version % 4),
            ..word(
                &format!("i{}", name % 3),
                u64::from(incarnation % 4),
                status(number),
            )
        })
        .collect();
    let (mut forth, mut back) = (roster("own", "lima"), roster("own", "lima"));
    let (head, tail) = words.split_at(cut.min(words.len()));
    for word in words.iter().rev() {
        back.hear(None, &digest(vec![word.clone()]), at(1));
    }
    for words in [tail, head, tail] {
        forth.hear(None, &digest(words.to_vec()), at(2));
    }
    let highest = |name: &Instance| {
        let own = words.iter().filter(|w| w.instance == *name);
        own.map(|w| (w.incarnation, w.status)).max()
    };
    known(&forth) == known(&back)
        && known(&forth)
            .iter()
            .all(|(name, (incarnation, status, _))| highest(name) == Some((*incarnation, *status)))
}

#[test]
fn digests_converge_in_any_order() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(2000)
        .quickcheck(converges as fn(Vec<(u8, u8, u8, u8)>, usize) -> bool);
}

/// Once an incarnation is dead, no word on it or an older one brings it back.
fn stays_dead(old: Vec<(u8, u8)>) -> bool {
    let mut roster = roster("own", "lima");
    let name = Instance::from("a");
    roster.hear(None, &digest(vec![word("a", 5, Status::Serving)]), at(1));
    roster.miss(&name, at(1));
    roster.miss(&name, at(1));
    (1..=4).for_each(|second| roster.tick(at(second)));
    assert_eq!(roster.members()[&name].status, Status::Dead);
    old.into_iter().all(|(incarnation, number)| {
        let said = word("a", u64::from(incarnation % 6), status(number));
        roster.hear(Some(&name), &digest(vec![said]), at(9));
        roster
            .members()
            .values()
            .all(|m| !roster.is_reached(m, at(9)))
    })
}

#[test]
fn the_dead_stay_dead() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 8))
        .tests(1000)
        .quickcheck(stays_dead as fn(Vec<(u8, u8)>) -> bool);
}

/// Whether an instance heard at second 10 gets work some seconds later, after
/// heartbeats to it that had no answer.
fn check_live(region: &str, status: Status, misses: u32, seconds: u64, want: bool) {
    let mut roster = roster("own", "lima");
    let name = Instance::from("a");
    let said = Word {
        profile: Some(profile(region)),
        ..word("a", 1, status)
    };
    roster.tick(at(10));
    roster.hear(Some(&name), &digest(vec![said]), at(10));
    (0..misses).for_each(|_| roster.miss(&name, at(10)));
    (11..=10 + seconds).for_each(|second| roster.tick(at(second)));
    let member = &roster.members()[&name];
    assert_eq!(roster.is_live(member, at(10 + seconds)), want);
}

cases! {
    check_live:
    one_just_heard("lima", Status::Serving, 0, 0, true);
    one_that_starts("lima", Status::Starting, 0, 0, false);
    one_that_leaves("lima", Status::Leaving, 0, 0, false);
    one_called_suspect("lima", Status::Suspect, 0, 0, false);
    one_called_dead("lima", Status::Dead, 0, 0, false);
    one_that_missed_a_heartbeat("lima", Status::Serving, 1, 0, true);
    one_that_missed_two("lima", Status::Serving, 2, 0, false);
    one_of_a_silent_region("cusco", Status::Serving, 0, 8, false);
    one_of_another_region("cusco", Status::Serving, 0, 7, true);
}

#[test]
fn one_called_dead_comes_back_as_a_new_incarnation() {
    let (mut a, mut b) = (roster("a", "lima"), roster("b", "lima"));
    let names = [Instance::from("a"), Instance::from("b")];
    b.hear(Some(&names[0]), &a.beat(&names[1], at(1)), at(1));
    (0..2).for_each(|_| b.miss(&names[0], at(1)));
    (1..=9).for_each(|second| b.tick(at(second)));
    assert_eq!(b.members()[&names[0]].status, Status::Dead);
    let asked = a.beat(&names[1], at(9));
    b.hear(Some(&names[0]), &asked, at(9));
    assert_eq!(
        b.members()[&names[0]].status,
        Status::Dead,
        "the same incarnation"
    );
    a.hear(Some(&names[1]), &b.reply(&names[0], &asked, at(9)), at(9));
    assert_eq!(a.own().incarnation, 2);
    b.hear(Some(&names[0]), &a.beat(&names[1], at(9)), at(9));
    assert!(b.is_live(&b.members()[&names[0]], at(9)));
}

#[test]
fn an_instance_that_was_paused_holds_no_silence_against_others() {
    let mut roster = roster("own", "lima");
    roster.tick(at(10));
    let said = Word {
        profile: Some(profile("cusco")),
        ..word("a", 1, Status::Serving)
    };
    roster.hear(Some(&"a".into()), &digest(vec![said]), at(10));
    roster.tick(at(60));
    let member = &roster.members()[&Instance::from("a")];
    assert!(roster.is_live(member, at(60)));
}

/// Rounds that wait for answers are late, and yet no pauses.
#[test]
fn late_ticks_are_no_pause() {
    let mut roster = roster("own", "lima");
    roster.tick(at(10));
    let said = Word {
        profile: Some(profile("cusco")),
        ..word("a", 1, Status::Serving)
    };
    roster.hear(Some(&"a".into()), &digest(vec![said]), at(10));
    (1..=3).for_each(|round| roster.tick(at(10 + 3 * round)));
    let member = &roster.members()[&Instance::from("a")];
    assert!(!roster.is_live(member, at(19)));
}

#[test]
fn a_lapsed_lease_raises_the_incarnation() {
    let mut roster = roster("own", "lima");
    assert_eq!(roster.reincarnate(Duration::from_millis(700)), 700);
    assert_eq!(roster.reincarnate(Duration::from_millis(600)), 701);
}

/// Decision objects of a fleet that exchange heartbeats once a second.
struct Fleet {
    rosters: Vec<Roster>,
    index: BTreeMap<Instance, usize>,
    stopped: BTreeSet<usize>,
    cut: Option<&'static str>,
    second: u64,
    sent: Vec<u64>,
    taken: Vec<u64>,
    words: Vec<u64>,
}

/// Second at which a fleet starts, long after its instances did.
const START: u64 = 100;

const REGIONS: [&str; 9] = ["r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"];

impl Fleet {
    /// Starts a fleet whose instances all know each other from the store.
    fn start(sizes: &[usize]) -> Self {
        let mut rosters = Vec::new();
        for (region, size) in REGIONS.iter().zip(sizes) {
            rosters.extend((0..*size).map(|i| roster(&format!("{region}-{i}"), region)));
        }
        let words: Vec<_> = rosters.iter().map(|r| r.own().clone()).collect();
        for roster in &mut rosters {
            roster.tick(at(START));
            roster.hear(None, &digest(words.clone()), at(START));
            for region in sizes.iter().zip(REGIONS) {
                let age = RegionAge {
                    region: region.1.into(),
                    age_ms: 0,
                };
                let regions = Digest {
                    regions: vec![age],
                    ..Digest::default()
                };
                roster.hear(None, &regions, at(START));
            }
        }
        let count = rosters.len();
        let names = rosters.iter().map(|r| r.own().instance.clone());
        let index = names.enumerate().map(|(i, name)| (name, i)).collect();
        Self {
            rosters,
            index,
            stopped: BTreeSet::new(),
            cut: None,
            second: START,
            sent: vec![0; count],
            taken: vec![0; count],
            words: vec![0; count],
        }
    }

    fn now(&self) -> Duration {
        at(self.second)
    }

    fn find(&self, name: &Instance) -> usize {
        self.index[name]
    }

    fn region(&self, i: usize) -> &str {
        let profile = self.rosters[i].own().profile.as_ref();
        profile.map_or("", |p| p.region.as_str())
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = |i: usize| Some(self.region(i)) == self.cut;
        !self.stopped.contains(&to) && is_cut(from) == is_cut(to)
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.second += 1;
            let now = self.now();
            for from in 0..self.rosters.len() {
                if self.stopped.contains(&from) {
                    continue;
                }
                self.rosters[from].tick(now);
                for to in self.rosters[from].peers(now) {
                    let to = self.find(&to);
                    self.sent[from] += 1;
                    match self.reaches(from, to) {
                        true => self.exchange(from, to, now),
                        false => self.miss(from, to, now),
                    }
                }
            }
        }
    }

    fn miss(&mut self, from: usize, to: usize, now: Duration) {
        let name = self.rosters[to].own().instance.clone();
        self.rosters[from].miss(&name, now);
    }

    fn exchange(&mut self, from: usize, to: usize, now: Duration) {
        let names = [from, to].map(|i| self.rosters[i].own().instance.clone());
        let asked = self.rosters[from].beat(&names[1], now);
        self.rosters[to].hear(Some(&names[0]), &asked, now);
        let told = self.rosters[to].reply(&names[0], &asked, now);
        self.rosters[from].hear(Some(&names[1]), &told, now);
        self.taken[to] += 1;
        let words = (asked.words.len() + told.words.len()) as u64;
        self.words[from] += words;
        self.words[to] += words;
    }

    /// Counts the pairs in which a running instance takes `of` for live.
    fn live(&self, of: usize) -> usize {
        let name = &self.rosters[of].own().instance;
        let running = self.rosters.iter().enumerate();
        running
            .filter(|(i, _)| !self.stopped.contains(i) && *i != of)
            .filter(|(_, r)| {
                r.members()
                    .get(name)
                    .is_some_and(|m| r.is_live(m, self.now()))
            })
            .count()
    }

    fn all_live(&self) -> bool {
        let others = self.rosters.len() - self.stopped.len() - 1;
        (0..self.rosters.len())
            .filter(|i| !self.stopped.contains(i))
            .all(|i| self.live(i) == others)
    }

    fn most_messages(&self) -> u64 {
        let each = self.sent.iter().zip(&self.taken);
        each.map(|(sent, taken)| sent + taken).max().unwrap_or(0)
    }
}

/// A fleet stays whole, loses one that dies in seconds, and hears of one that
/// leaves.
fn check_fleet(sizes: &[usize]) {
    let mut fleet = Fleet::start(sizes);
    for _ in 0..60 {
        fleet.run(1);
        assert!(fleet.all_live(), "second {}", fleet.second);
    }
    fleet.stopped.insert(0);
    let limit = (SUSPICION + FAR_SILENCE).as_secs();
    fleet.run(limit);
    assert_eq!(fleet.live(0), 0, "a dead instance is taken for live");
    let last = fleet.rosters.len() - 1;
    fleet.rosters[last].set_own(Status::Leaving, 0);
    fleet.run(limit);
    assert_eq!(fleet.live(last), 0, "a leaving instance gets work");
}

cases! {
    check_fleet:
    fleet_of_two(&[1, 1]);
    fleet_of_one_region(&[7]);
    fleet_of_today(&[3, 3, 2]);
    fleet_of_equal_regions(&[10; 4]);
    fleet_of_unlike_regions(&[40, 4, 4, 12]);
}

#[test]
fn a_cut_off_region_comes_back() {
    let mut fleet = Fleet::start(&[4, 4, 4]);
    fleet.run(5);
    fleet.cut = Some("r1");
    fleet.run(30);
    let own = fleet.find(&"r1-0".into());
    assert_eq!(fleet.live(own), 3, "its own region only");
    fleet.cut = None;
    fleet.run(30);
    assert!(fleet.all_live());
}

/// Messages an instance a second, at most, and words in them.
fn messages(sizes: &[usize]) -> (f64, f64) {
    const SECONDS: u64 = 24;
    let mut fleet = Fleet::start(sizes);
    fleet.run(SECONDS);
    assert!(fleet.all_live());
    let words = fleet.words.iter().max().copied().unwrap_or(0);
    let per_second = |count: u64| count as f64 / SECONDS as f64;
    (per_second(fleet.most_messages()), per_second(words))
}

#[test]
fn messages_do_not_grow_with_the_fleet() {
    for sizes in [[4; 9], [8; 9], [16; 9]] {
        let (count, words) = messages(&sizes);
        let total: usize = sizes.iter().sum();
        println!("membership: {total} instances: {count:.1} messages/s, {words:.0} words/s");
        // A round to the region and its answers, a relay's share of eight
        // regions both ways.
        assert!(count <= (2 * FANOUT + 16) as f64 * 1.5, "{count}");
    }
}
