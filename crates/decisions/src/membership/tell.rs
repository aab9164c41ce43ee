//! What an instance tells another.

use std::time::Duration;

use super::Digest;
use super::RegionAge;
use super::Roster;
use crate::names::Instance;

/// A change is told to other regions for so long; after that, whoever missed
/// it asks.
const FAR_NEWS: Duration = Duration::from_secs(8);

/// Words on changes in a digest, without those on buckets that differ.
pub const MAX_NEWS: usize = 16;

/// Ticks between two questions to a region for what differs.
const ASK_EVERY: u64 = 16;

impl Roster {
    /// Returns what to tell with a heartbeat to `to`.
    pub fn beat(&mut self, to: &Instance, now: Duration) -> Digest {
        let told = match self.is_near(to) {
            true => self.news(to),
            false => self.far_news(now),
        };
        let buckets = match self.asks(to) {
            true => self.buckets(),
            false => Vec::new(),
        };
        Digest {
            buckets,
            ..self.digest_of(to, &told, now)
        }
    }

    /// Returns the answer to a heartbeat of `to`.
    pub fn reply(&mut self, to: &Instance, heard: &Digest, now: Duration) -> Digest {
        // Other regions send heartbeats and are told with those of this one.
        let mut told = match self.is_near(to) {
            true => self.news(to),
            false => Vec::new(),
        };
        told.extend(self.differing(&heard.buckets));
        told.sort_unstable();
        told.dedup();
        self.digest_of(to, &told, now)
    }

    /// Tells whether a heartbeat to `to` carries what this region has of each
    /// pool. Instances of this region know it, and answers leave it out, as
    /// both regions send heartbeats.
    pub fn tells_pools(&self, to: &Instance) -> bool {
        !self.is_near(to)
    }

    /// Tells whether a heartbeat to `to` passes on what other regions have of
    /// each pool. In a small fleet everyone hears it from them.
    pub fn passes_pools(&self, to: &Instance) -> bool {
        self.is_near(to) && self.is_large()
    }

    fn is_near(&self, instance: &Instance) -> bool {
        let member = self.members.get(instance);
        member.is_none_or(|m| m.profile.region == self.here)
    }

    /// Tells, for one heartbeat to each region in so many ticks, to ask for
    /// what differs.
    fn asks(&mut self, to: &Instance) -> bool {
        let Some(member) = self.members.get(to) else {
            // A seed, asked because nobody is known.
            return true;
        };
        let region = &member.profile.region;
        let asked = self.asked.get(region);
        let due = asked.is_none_or(|asked| asked + ASK_EVERY <= self.ticks);
        if due {
            self.asked.insert(region.clone(), self.ticks);
        }
        due
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

    /// Returns what changed in the own region lately, the latest first.
    fn far_news(&self, now: Duration) -> Vec<Instance> {
        let members = self.members.iter();
        let mut changed: Vec<_> = members
            .filter(|(_, m)| m.profile.region == self.here && m.life.changed() + FAR_NEWS > now)
            .map(|(name, m)| (m.life.changed(), name.clone()))
            .collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        changed.truncate(MAX_NEWS);
        changed.into_iter().map(|(_, name)| name).collect()
    }

    fn digest_of(&mut self, to: &Instance, told: &[Instance], now: Duration) -> Digest {
        let versions = self.tell_versions(self.is_near(to));
        let known = told.iter();
        let known = known.filter_map(|name| Some(self.members.get(name)?.word(name)));
        let regions = self.regions.iter().map(|(region, heard)| RegionAge {
            region: region.clone(),
            age_ms: now.saturating_sub(*heard).as_millis() as u64,
        });
        Digest {
            words: std::iter::once(self.own.clone()).chain(known).collect(),
            regions: regions.collect(),
            versions,
            buckets: Vec::new(),
        }
    }
}
