//! A fleet of decision objects: who hears of whom, and the messages of many.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::membership::FANOUT;
use chiverelay_decisions::membership::GossipDigest;
use chiverelay_decisions::membership::MemberStatus;
use chiverelay_decisions::membership::MemberUpdate;
use chiverelay_decisions::membership::REGION_TIMEOUT;
use chiverelay_decisions::membership::RegionAge;
use chiverelay_decisions::membership::RegionSummaries;
use chiverelay_decisions::membership::RemoteSummaries;
use chiverelay_decisions::membership::Roster;
use chiverelay_decisions::membership::SUSPICION_TIMEOUT;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::placement::PoolSummary;
use chiverelay_sibling::Envelope;
use chiverelay_sibling::Heartbeat;
use chiverelay_sibling::Message;
use chiverelay_sibling::VERSION;
use chiverelay_sibling::encode;
use support::cases;

use crate::membership::at;
use crate::membership::digest;
use crate::membership::roster;

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
    bytes: Vec<u64>,
    pools: Vec<RemoteSummaries>,
}

/// Returns what a region says of 26 pools, whose load all rises and falls by
/// much.
fn summaries(second: u64) -> Vec<PoolSummary> {
    let wave = (second % 8) as u32 * 400;
    let summary = |i: u32| PoolSummary {
        pool: format!("pool-{i:02}").as_str().into(),
        slots: 3000 + i,
        running: wave + i,
        queued: i,
        first_token_ms: 400 + i,
        prefill_rate: 9000 + i,
    };
    (0..26).map(summary).collect()
}

/// A region's name, as long as they are.
const LONG_REGION: &str = "northwest-2";

/// Gives a word the size that it has in a running fleet.
fn lengthen(word: &mut MemberUpdate) {
    word.instance = format!("gateway-{}", word.instance).as_str().into();
    word.incarnation += 1_796_371_045_705;
    word.config_version += 1_000_000;
    if let Some(profile) = &mut word.profile {
        profile.region = LONG_REGION.into();
        profile.zone = format!("{LONG_REGION}-a").as_str().into();
    }
}

/// Bytes a second of the changes of configuration both ways, as the page on
/// capacity has them.
const CHANGES: f64 = 2_900.0;

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
        let words: Vec<_> = rosters.iter().map(|r| r.own_update().clone()).collect();
        for roster in &mut rosters {
            roster.tick(at(START));
            roster.apply_digest(None, &digest(words.clone()), at(START));
            for region in sizes.iter().zip(REGIONS) {
                let age = RegionAge {
                    region: region.1.into(),
                    age_ms: 0,
                };
                let regions = GossipDigest {
                    regions: vec![age],
                    ..GossipDigest::default()
                };
                roster.apply_digest(None, &regions, at(START));
            }
        }
        let count = rosters.len();
        let names = rosters.iter().map(|r| r.own_update().instance.clone());
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
            bytes: vec![0; count],
            pools: vec![RemoteSummaries::default(); count],
        }
    }

    fn now(&self) -> Duration {
        at(self.second)
    }

    fn find(&self, name: &Instance) -> usize {
        self.index[name]
    }

    fn region(&self, i: usize) -> &str {
        let profile = self.rosters[i].own_update().profile.as_ref();
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
                for to in self.rosters[from].heartbeat_recipients(now) {
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
        let name = self.rosters[to].own_update().instance.clone();
        self.rosters[from].record_missed_heartbeat(&name, now);
    }

    fn exchange(&mut self, from: usize, to: usize, now: Duration) {
        let names = [from, to].map(|i| self.rosters[i].own_update().instance.clone());
        let asked = self.rosters[from].heartbeat_digest(&names[1], now);
        self.rosters[to].apply_digest(Some(&names[0]), &asked, now);
        let told = self.rosters[to].reply_digest(&names[0], &asked, now);
        self.rosters[from].apply_digest(Some(&names[1]), &told, now);
        self.taken[to] += 1;
        let words = (asked.updates.len() + told.updates.len()) as u64;
        let (pools, passed) = self.tell_pools(from, to, now);
        let bytes = encoded(asked, pools, passed) + encoded(told, None, Vec::new());
        for i in [from, to] {
            self.words[i] += words;
            self.bytes[i] += bytes;
        }
    }

    /// Tells of pools with a heartbeat; returns what it carried.
    fn tell_pools(
        &mut self,
        from: usize,
        to: usize,
        now: Duration,
    ) -> (Option<Vec<PoolSummary>>, Vec<RegionSummaries>) {
        let name = &self.rosters[to].own_update().instance;
        let roster = &self.rosters[from];
        let told = roster
            .sends_own_summaries(name)
            .then(|| summaries(self.second));
        let passed = match roster.relays_summaries(name) {
            true => self.pools[from].take_due(now),
            false => Vec::new(),
        };
        if let Some(told) = &told {
            let region = Region::from(self.region(from));
            self.pools[to].record_region(&region, told, now);
        }
        self.pools[to].record_relayed(&passed, now);
        (told, passed)
    }

    /// Counts the pairs in which a running instance takes `of` for live.
    fn live(&self, of: usize) -> usize {
        let name = &self.rosters[of].own_update().instance;
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

/// Returns the encoded size of a heartbeat.
fn encoded(
    mut digest: GossipDigest,
    summaries: Option<Vec<PoolSummary>>,
    mut passed: Vec<RegionSummaries>,
) -> u64 {
    passed.iter_mut().for_each(|passed| {
        passed.region = LONG_REGION.into();
    });
    digest.updates.iter_mut().for_each(lengthen);
    digest.regions.iter_mut().for_each(|age| {
        age.region = LONG_REGION.into();
    });
    let beat = Envelope {
        version: VERSION,
        stamp: Stamp::default(),
        message: Message::Heartbeat(Heartbeat {
            digest,
            withdrawn: u64::MAX,
            summaries,
            passed,
        }),
    };
    encode(&beat).expect("a heartbeat").len() as u64
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
    let limit = (SUSPICION_TIMEOUT + REGION_TIMEOUT).as_secs();
    fleet.run(limit);
    assert_eq!(fleet.live(0), 0, "a dead instance is taken for live");
    let last = fleet.rosters.len() - 1;
    fleet.rosters[last].set_own(MemberStatus::Leaving, 0);
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

/// Every instance knows the pools of every region as they lately were.
#[test]
fn what_regions_have_of_pools_reaches_all() {
    let mut fleet = Fleet::start(&SIZES);
    fleet.run(30);
    let lately: Vec<_> = (0..20).flat_map(|s| summaries(fleet.second - s)).collect();
    for (i, pools) in fleet.pools.iter().enumerate() {
        for region in REGIONS.iter().filter(|r| **r != fleet.region(i)) {
            let known = pools.in_region(&Region::from(*region));
            assert_eq!(known.len(), 26, "{i}: {region}");
            assert!(known.iter().all(|s| lately.contains(s)), "{i}: {region}");
        }
    }
}

#[test]
fn a_region_tells_its_version_once_for_all() {
    let mut fleet = Fleet::start(&[12, 12, 12]);
    let behind = fleet.find(&"r1-3".into());
    for i in 0..fleet.rosters.len() {
        let version = if i == behind { 6 } else { 7 };
        fleet.rosters[i].set_own(MemberStatus::Serving, version);
    }
    fleet.run(12);
    for (i, roster) in fleet.rosters.iter().enumerate() {
        for (name, member) in roster.members() {
            let is_behind = fleet.find(name) == behind;
            let want = if is_behind { 6 } else { 7 };
            // Other regions may hear no more than that it is behind.
            let unheard = is_behind && member.config_version == 0;
            assert!(member.config_version == want || unheard, "{i}: {name}");
        }
    }
}

/// What one instance sends and takes in a second, at most.
struct Traffic {
    messages: f64,
    words: f64,
    bytes: f64,
}

fn traffic(sizes: &[usize], seconds: u64) -> Traffic {
    let mut fleet = Fleet::start(sizes);
    fleet.run(seconds);
    assert!(fleet.all_live());
    let most = |counts: &[u64]| counts.iter().max().copied().unwrap_or(0);
    let per_second = |count: u64| count as f64 / seconds as f64;
    let traffic = Traffic {
        messages: per_second(fleet.most_messages()),
        words: per_second(most(&fleet.words)),
        bytes: per_second(most(&fleet.bytes)),
    };
    println!(
        "membership: {} instances: {:.1} messages/s, {:.0} words/s, {:.0} bytes/s",
        fleet.rosters.len(),
        traffic.messages,
        traffic.words,
        traffic.bytes,
    );
    traffic
}

#[test]
fn messages_do_not_grow_with_the_fleet() {
    for sizes in [[4; 9], [8; 9], [16; 9]] {
        let count = traffic(&sizes, 24).messages;
        // A round to the region and its answers, a relay's share of eight
        // regions both ways.
        assert!(count <= (2 * FANOUT + 16) as f64 * 1.5, "{count}");
    }
}

/// Instances of the regions of the size to design for.
const SIZES: [usize; 9] = [80, 60, 50, 40, 30, 25, 20, 15, 10];

/// Bytes a second that control may take at an instance.
const CONTROL: f64 = 20_000.0;

#[test]
fn control_fits_at_the_size_to_design_for() {
    let bytes = traffic(&SIZES, 34).bytes;
    assert!(bytes + CHANGES <= CONTROL, "{bytes}");
}

/// An availability zone of the largest region dies: all hear of it, and what
/// they say of it fits too.
#[test]
fn the_death_of_an_availability_zone_fits_at_the_size_to_design_for() {
    const DEAD: usize = SIZES[0] / 3;
    const SECONDS: u64 = 30;
    let mut fleet = Fleet::start(&SIZES);
    fleet.stopped.extend(0..DEAD);
    fleet.run(SECONDS);
    assert!((0..DEAD).all(|i| fleet.live(i) == 0));
    let bytes = fleet.bytes.iter().max().copied().unwrap_or(0) as f64 / SECONDS as f64;
    println!("membership: {DEAD} of 330 instances die: {bytes:.0} bytes/s");
    assert!(bytes + CHANGES <= CONTROL, "{bytes}");
}
