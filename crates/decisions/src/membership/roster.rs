//! The instances as one of them knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Digest;
use super::Profile;
use super::RegionAge;
use super::Status;
use super::Word;
use crate::names::Instance;
use crate::names::Region;

/// A suspect that has not raised its incarnation for so long is dead.
pub const SUSPICION: Duration = Duration::from_secs(3);

/// The instances of a region that was not heard for so long get no work.
pub const FAR_SILENCE: Duration = Duration::from_secs(8);

/// Heartbeats in a row without an answer that make an instance suspect.
const MISSES: u32 = 2;

/// A dead instance is remembered for so long, lest an old digest bring it back.
const MEMORY: Duration = Duration::from_secs(3600);

/// A change is told to other regions for so long.
const FAR_NEWS: Duration = Duration::from_secs(30);

/// A gap between two ticks by which the own process was paused.
const PAUSE: Duration = Duration::from_secs(4);

/// Words on changes in a digest that is not of all instances.
pub const MAX_NEWS: usize = 16;

/// Digests that carry a change.
const NEWS_ROUNDS: u32 = 16;

/// Ticks between two digests that ask for all instances in return.
const FULL_EVERY: u64 = 16;

/// What is known of an instance.
///
/// # Invariants
///
/// `incarnation` never falls; while it stays, neither `status` nor
/// `config_version` falls. Times are on the local monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Incarnation.
    pub incarnation: u64,
    /// Status of the incarnation.
    pub status: Status,
    /// Configuration version, as last heard.
    pub config_version: u64,
    /// Where it is.
    pub profile: Profile,
    /// When it last spoke to this instance.
    pub heard: Duration,
    /// When incarnation or status last changed.
    changed: Duration,
    /// Heartbeats to it in a row that had no answer.
    pub(super) misses: u32,
    /// Digests that still carry the change.
    news: u32,
}

/// The instances as one of them knows them.
///
/// # Invariants
///
/// `own` is not among `members`.
#[derive(Clone, Debug)]
pub struct Roster {
    pub(super) own: Word,
    pub(super) here: Region,
    pub(super) members: BTreeMap<Instance, Member>,
    regions: BTreeMap<Region, Duration>,
    pub(super) ticks: u64,
    last_tick: Duration,
    asked_all: u64,
}

impl Member {
    fn new(word: &Word, profile: Profile, changed: Duration) -> Self {
        Self {
            incarnation: word.incarnation,
            status: word.status,
            config_version: word.config_version,
            profile,
            heard: Duration::ZERO,
            changed,
            misses: 0,
            news: 0,
        }
    }

    fn word(&self, instance: &Instance, with_profile: bool) -> Word {
        Word {
            instance: instance.clone(),
            incarnation: self.incarnation,
            status: self.status,
            config_version: self.config_version,
            profile: with_profile.then(|| self.profile.clone()),
        }
    }

    /// Joins a word on the same instance; true if it changed what others
    /// should know.
    fn join(&mut self, word: &Word, now: Duration) -> bool {
        if word.incarnation < self.incarnation {
            return false;
        }
        let renewed = word.incarnation > self.incarnation;
        let risen = word.status > self.status;
        if renewed {
            self.incarnation = word.incarnation;
            self.status = word.status;
            self.config_version = word.config_version;
            self.profile = word.profile.clone().unwrap_or_else(|| self.profile.clone());
        }
        self.status = self.status.max(word.status);
        self.config_version = self.config_version.max(word.config_version);
        if renewed || risen {
            self.changed = now;
            self.misses = 0;
        }
        renewed || risen
    }

    fn raise(&mut self, status: Status, now: Duration) {
        self.status = self.status.max(status);
        self.changed = now;
        self.news = NEWS_ROUNDS;
    }

    pub(super) fn is_up(&self) -> bool {
        self.status < Status::Suspect
    }
}

impl Roster {
    /// Starts with an instance that knows only itself.
    pub fn new(instance: Instance, incarnation: u64, profile: Profile) -> Self {
        Self {
            here: profile.region.clone(),
            own: Word {
                instance,
                incarnation,
                status: Status::Starting,
                config_version: 0,
                profile: Some(profile),
            },
            members: BTreeMap::new(),
            regions: BTreeMap::new(),
            ticks: 0,
            last_tick: Duration::ZERO,
            asked_all: 0,
        }
    }

    /// Returns the word on the instance itself.
    pub fn own(&self) -> &Word {
        &self.own
    }

    /// Returns what is known of the others.
    pub fn members(&self) -> &BTreeMap<Instance, Member> {
        &self.members
    }

    /// Sets the own status and configuration version. The status never falls.
    pub fn set_own(&mut self, status: Status, config_version: u64) {
        self.own.status = self.own.status.max(status);
        self.own.config_version = config_version;
    }

    /// Starts a new incarnation, as after a lapsed lease; returns it. `wall`
    /// is the wall clock's time.
    pub fn reincarnate(&mut self, wall: Duration) -> u64 {
        self.own.incarnation = (wall.as_millis() as u64).max(self.own.incarnation + 1);
        self.own.incarnation
    }

    /// Tells whether an instance gets work.
    pub fn is_live(&self, member: &Member, now: Duration) -> bool {
        member.status == Status::Serving && self.is_reached(member, now)
    }

    /// Tells whether an instance answers, as far as it is known here.
    pub fn is_reached(&self, member: &Member, now: Duration) -> bool {
        let region = &member.profile.region;
        if !member.is_up() || *region == self.here {
            return member.is_up();
        }
        let heard = self.regions.get(region).copied().unwrap_or_default();
        heard + FAR_SILENCE > now
    }

    /// Takes note of what an instance says. `from` is the instance; a store's
    /// record or the like has none.
    pub fn hear(&mut self, from: Option<&Instance>, digest: &Digest, now: Duration) {
        for word in &digest.words {
            self.hear_word(word, from.is_some(), now);
        }
        for region in &digest.regions {
            let age = Duration::from_millis(region.age_ms);
            self.hear_region(&region.region, now.saturating_sub(age));
        }
        let Some(speaker) = from.and_then(|name| self.members.get_mut(name)) else {
            return;
        };
        speaker.heard = now;
        speaker.misses = 0;
        let region = speaker.profile.region.clone();
        self.hear_region(&region, now);
    }

    fn hear_region(&mut self, region: &Region, at: Duration) {
        if *region == self.here {
            return;
        }
        let heard = self.regions.entry(region.clone()).or_insert(at);
        *heard = at.max(*heard);
    }

    fn hear_word(&mut self, word: &Word, is_news: bool, now: Duration) {
        if word.instance == self.own.instance {
            self.answer_for_own(word);
            return;
        }
        let changed = match self.members.get_mut(&word.instance) {
            Some(member) => member.join(word, now),
            None => {
                // One that is not known is passed over until someone tells
                // where it is.
                let Some(profile) = word.profile.clone() else {
                    return;
                };
                let changed = if is_news { now } else { Duration::ZERO };
                let member = Member::new(word, profile, changed);
                self.members.insert(word.instance.clone(), member);
                true
            }
        };
        if let Some(member) = self.members.get_mut(&word.instance)
            && changed
            && is_news
        {
            member.news = NEWS_ROUNDS;
        }
    }

    /// Raises the own incarnation above any that is called suspect or dead,
    /// or that another process of the same name had.
    fn answer_for_own(&mut self, word: &Word) {
        let own = &mut self.own;
        let void = word.incarnation == own.incarnation && word.status > own.status;
        if word.incarnation > own.incarnation || void {
            own.incarnation = word.incarnation + 1;
        }
    }

    /// Takes note of a heartbeat that had no answer.
    pub fn miss(&mut self, name: &Instance, now: Duration) {
        let here = &self.here;
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.misses = member.misses.saturating_add(1);
        if member.misses >= MISSES && member.is_up() && member.profile.region == *here {
            member.raise(Status::Suspect, now);
        }
    }

    /// Lets time pass: suspects that stay silent are dead. A pause of the own
    /// process is not held against the others.
    pub fn tick(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        self.ticks += 1;
        if gap > PAUSE {
            self.members.values_mut().for_each(|m| m.changed += gap);
            self.regions.values_mut().for_each(|heard| *heard += gap);
        }
        for member in self.members.values_mut() {
            if member.status == Status::Suspect && member.changed + SUSPICION <= now {
                member.raise(Status::Dead, now);
            }
        }
        self.members
            .retain(|_, m| m.status != Status::Dead || m.changed + MEMORY > now);
    }

    /// Returns what to tell with a heartbeat to `to`.
    pub fn beat(&mut self, to: &Instance, now: Duration) -> Digest {
        let names = self.told(to, now);
        let wants_all = self.wants_all();
        self.digest_of(names.iter(), wants_all, now)
    }

    fn told(&mut self, to: &Instance, now: Duration) -> Vec<Instance> {
        let region = self.members.get(to).map(|m| &m.profile.region);
        match region {
            Some(region) if *region != self.here => self.far_news(now),
            _ => self.news(to),
        }
    }

    /// Tells, for one heartbeat of each so many ticks, to ask for everything.
    fn wants_all(&mut self) -> bool {
        let due = self.asked_all + FULL_EVERY <= self.ticks;
        if due {
            self.asked_all = self.ticks;
        }
        due
    }

    /// Returns the answer to a heartbeat of `to`.
    pub fn reply(&mut self, to: &Instance, heard: &Digest, now: Duration) -> Digest {
        if heard.wants_all {
            return self.digest_of(self.members.keys(), false, now);
        }
        let names = self.told(to, now);
        self.digest_of(names.iter(), false, now)
    }

    /// Takes the changes that were told least often. One that is taken for
    /// dead is told so, that it may raise its incarnation.
    fn news(&mut self, to: &Instance) -> Vec<Instance> {
        let members = self.members.iter();
        let mut changed: Vec<_> = members
            .map(|(name, m)| (to == name && !m.is_up(), m.news, name.clone()))
            .filter(|(asks, news, _)| *asks || *news > 0)
            .collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        changed.truncate(MAX_NEWS);
        let names: Vec<_> = changed.into_iter().map(|(.., name)| name).collect();
        for name in &names {
            if let Some(member) = self.members.get_mut(name) {
                member.news = member.news.saturating_sub(1);
            }
        }
        names
    }

    /// Returns what changed in the own region lately.
    fn far_news(&self, now: Duration) -> Vec<Instance> {
        let members = self.members.iter();
        members
            .filter(|(_, m)| m.profile.region == self.here && m.changed + FAR_NEWS > now)
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn digest_of<'a, I>(&self, names: I, wants_all: bool, now: Duration) -> Digest
    where
        I: Iterator<Item = &'a Instance>,
    {
        let known = names.filter_map(|name| Some(self.members.get(name)?.word(name, true)));
        let regions = self.regions.iter().map(|(region, heard)| RegionAge {
            region: region.clone(),
            age_ms: now.saturating_sub(*heard).as_millis() as u64,
        });
        Digest {
            words: std::iter::once(self.own.clone()).chain(known).collect(),
            regions: regions.collect(),
            wants_all,
        }
    }
}
