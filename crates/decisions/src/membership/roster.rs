//! The instances as one of them knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Digest;
use super::Member;
use super::Profile;
use super::Status;
use super::Word;
use super::life::Event;
use super::versions::Versions;
use crate::names::Instance;
use crate::names::Region;

/// The instances of a region that was not heard for so long get no work.
pub const FAR_SILENCE: Duration = Duration::from_secs(8);

/// A dead instance is remembered for so long, lest an old digest bring it back.
const MEMORY: Duration = Duration::from_secs(3600);

/// A gap between two ticks by which the own process was paused.
const PAUSE: Duration = Duration::from_secs(4);

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
    pub(super) regions: BTreeMap<Region, Duration>,
    pub(super) ticks: u64,
    last_tick: Duration,
    /// Tick of the last question to each region for what differs.
    pub(super) asked: BTreeMap<Region, u64>,
    pub(super) versions: Versions,
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
            asked: BTreeMap::new(),
            versions: Versions::default(),
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
        member.status() == Status::Serving && self.is_reached(member, now)
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
        digest.versions.iter().for_each(|v| self.hear_version(v));
        let Some(speaker) = from.and_then(|name| self.members.get_mut(name)) else {
            return;
        };
        speaker.heard = now;
        speaker.handle(Event::Spoke);
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
            member.tell();
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
        let member = self.members.get_mut(name);
        if let Some(member) = member.filter(|m| m.profile.region == self.here) {
            member.handle(Event::Missed { at: now });
        }
    }

    /// Lets time pass: suspects that stay silent are dead. A pause of the own
    /// process is not held against the others.
    pub fn tick(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        self.ticks += 1;
        if gap > PAUSE {
            let members = self.members.values_mut();
            members.for_each(|m| m.handle(Event::Paused { gap }));
            self.regions.values_mut().for_each(|heard| *heard += gap);
        }
        let members = self.members.values_mut();
        members.for_each(|m| m.handle(Event::Elapsed { now }));
        self.members
            .retain(|_, m| m.status() != Status::Dead || m.life.changed() + MEMORY > now);
        self.apply_versions();
    }
}
