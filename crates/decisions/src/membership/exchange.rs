//! Contents of heartbeats and of their replies.

use std::time::Duration;

use super::GossipDigest;
use super::RegionAge;
use super::Roster;
use crate::names::Instance;

/// Time for which a change is sent to other regions. An instance there that
/// does not receive it learns it from the periodic comparison of hashes.
const REMOTE_UPDATE_WINDOW: Duration = Duration::from_secs(8);

/// Maximum number of updates about changes in a digest. Updates sent because
/// bucket hashes differ do not count.
pub const MAX_UPDATES: usize = 16;

/// Minimum ticks between two requests to the same region for the members on
/// which the lists differ.
const SYNC_INTERVAL_TICKS: u64 = 16;

impl Roster {
    /// Returns the digest that a heartbeat to `to` carries.
    pub fn heartbeat_digest(&mut self, to: &Instance, now: Duration) -> GossipDigest {
        let instances = match self.is_in_own_region(to) {
            true => self.take_local_updates(to),
            false => self.recent_changes(now),
        };
        let bucket_hashes = match self.start_sync_if_due(to) {
            true => self.bucket_hashes(),
            false => Vec::new(),
        };
        GossipDigest {
            bucket_hashes,
            ..self.build_digest(to, &instances, now)
        }
    }

    /// Returns the digest of the reply to a heartbeat of `to`.
    pub fn reply_digest(
        &mut self,
        to: &Instance,
        request: &GossipDigest,
        now: Duration,
    ) -> GossipDigest {
        // Changes reach other regions with the heartbeats that this region
        // sends to them.
        let mut instances = match self.is_in_own_region(to) {
            true => self.take_local_updates(to),
            false => Vec::new(),
        };
        instances.extend(self.members_in_differing_buckets(&request.bucket_hashes));
        instances.sort_unstable();
        instances.dedup();
        self.build_digest(to, &instances, now)
    }

    /// Returns true if a heartbeat to `to` carries the summaries of this
    /// region's pools. Instances of the same region have that information
    /// already. Replies leave it out because both regions send heartbeats.
    pub fn sends_own_summaries(&self, to: &Instance) -> bool {
        !self.is_in_own_region(to)
    }

    /// Returns true if a heartbeat to `to` carries the pool summaries received
    /// from other regions. In a small fleet it does not, because every instance
    /// receives them directly.
    pub fn relays_summaries(&self, to: &Instance) -> bool {
        self.is_in_own_region(to) && self.is_large_fleet()
    }

    /// Returns true if an instance is in this region. An unknown instance
    /// counts as one of this region.
    fn is_in_own_region(&self, instance: &Instance) -> bool {
        let member = self.members.get(instance);
        member.is_none_or(|m| m.profile.region == self.own_region)
    }

    /// Returns true if this heartbeat to `to` asks for the members on which the
    /// two lists differ, and records that it does. A region is asked at most
    /// once in [`SYNC_INTERVAL_TICKS`] ticks.
    fn start_sync_if_due(&mut self, to: &Instance) -> bool {
        let Some(member) = self.members.get(to) else {
            // The member list is still empty and `to` is a seed address.
            return true;
        };
        let region = &member.profile.region;
        let last_sync = self.last_sync_ticks.get(region);
        let due = last_sync.is_none_or(|last_sync| last_sync + SYNC_INTERVAL_TICKS <= self.ticks);
        if due {
            self.last_sync_ticks.insert(region.clone(), self.ticks);
        }
        due
    }

    /// Returns the members whose change has been sent the least often, and
    /// counts this transmission. The recipient itself is included if it is
    /// considered suspect or dead, so that it can refute this.
    fn take_local_updates(&mut self, to: &Instance) -> Vec<Instance> {
        let members = self.members.iter();
        let mut changed: Vec<_> = members
            .map(|(name, m)| (to == name && !m.is_up(), m.digests_left, name.clone()))
            .filter(|(is_refutable, rounds_left, _)| *is_refutable || *rounds_left > 0)
            .collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        changed.truncate(MAX_UPDATES);
        let names: Vec<_> = changed.into_iter().map(|(.., name)| name).collect();
        for name in &names {
            if let Some(member) = self.members.get_mut(name) {
                member.digests_left = member.digests_left.saturating_sub(1);
            }
        }
        names
    }

    /// Returns the members of this region that changed recently, the latest
    /// change first.
    fn recent_changes(&self, now: Duration) -> Vec<Instance> {
        let members = self.members.iter();
        let mut changed: Vec<_> = members
            .filter(|(_, m)| {
                m.profile.region == self.own_region
                    && m.life.changed_at() + REMOTE_UPDATE_WINDOW > now
            })
            .map(|(name, m)| (m.life.changed_at(), name.clone()))
            .collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        changed.truncate(MAX_UPDATES);
        changed.into_iter().map(|(_, name)| name).collect()
    }

    fn build_digest(
        &mut self,
        to: &Instance,
        instances: &[Instance],
        now: Duration,
    ) -> GossipDigest {
        let versions = self.take_versions_for(self.is_in_own_region(to));
        let known = instances.iter();
        let known = known.filter_map(|name| Some(self.members.get(name)?.to_update(name)));
        let regions = self
            .regions_heard_at
            .iter()
            .map(|(region, heard_at)| RegionAge {
                region: region.clone(),
                age_ms: now.saturating_sub(*heard_at).as_millis() as u64,
            });
        GossipDigest {
            updates: std::iter::once(self.own.clone()).chain(known).collect(),
            regions: regions.collect(),
            versions,
            bucket_hashes: Vec::new(),
        }
    }
}
