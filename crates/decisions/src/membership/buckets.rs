//! Hashes by which two instances find out what they know differently.

use xxhash_rust::xxh3::xxh3_64;

use super::Roster;
use super::Status;
use crate::names::Instance;
use crate::names::Region;

/// Buckets that the instances are divided into.
const BUCKETS: usize = 32;

fn bucket(instance: &Instance) -> usize {
    xxh3_64(instance.as_str().as_bytes()) as usize % BUCKETS
}

/// Returns the hash of an incarnation and its status. Versions are no part of
/// it, as they change everywhere at once.
fn hash(instance: &Instance, incarnation: u64, status: Status) -> u32 {
    let mut data = instance.as_str().as_bytes().to_vec();
    data.push(0);
    data.extend(incarnation.to_le_bytes());
    data.push(status as u8);
    xxh3_64(&data) as u32
}

impl Roster {
    /// Returns the region and the hash of each instance, the own among them.
    /// The dead are left out, as each instance forgets them in its own time.
    fn hashes(&self) -> impl Iterator<Item = (&Instance, &Region, u32)> {
        let own = &self.own;
        let members = self.members.iter();
        let known = members
            .filter(|(_, m)| m.status() < Status::Dead)
            .map(|(name, m)| {
                let hash = hash(name, m.incarnation(), m.status());
                (name, &m.profile.region, hash)
            });
        let hash = hash(&own.instance, own.incarnation, own.status);
        known.chain([(&own.instance, &self.here, hash)])
    }

    /// Returns the hash of each bucket.
    pub(super) fn buckets(&self) -> Vec<u32> {
        let mut buckets = vec![0; BUCKETS];
        for (name, _, hash) in self.hashes() {
            buckets[bucket(name)] ^= hash;
        }
        buckets
    }

    /// Returns the hash of a region's instances.
    pub(super) fn region_hash(&self, region: &Region) -> u32 {
        let hashes = self.hashes().filter(|(_, at, _)| *at == region);
        hashes.fold(0, |all, (.., hash)| all ^ hash)
    }

    /// Returns the instances in buckets that `asked` has otherwise.
    pub(super) fn differing(&self, asked: &[u32]) -> Vec<Instance> {
        if asked.len() != BUCKETS {
            return Vec::new();
        }
        let own = self.buckets();
        let differs = |name: &&Instance| own[bucket(name)] != asked[bucket(name)];
        self.members.keys().filter(differs).cloned().collect()
    }
}
