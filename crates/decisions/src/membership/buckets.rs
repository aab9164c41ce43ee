//! Hashes by which two instances find out what they know differently.

use xxhash_rust::xxh3::xxh3_64;

use super::Member;
use super::Roster;
use super::Status;
use crate::names::Instance;
use crate::names::Region;

/// Buckets that the instances are divided into.
const BUCKETS: usize = 64;

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
    /// Returns the hashes of the others whose member passes. The dead are
    /// left out, as each instance forgets them in its own time.
    fn hashes<F>(&self, passes: F) -> impl Iterator<Item = (&Instance, u32)>
    where
        F: Fn(&Member) -> bool,
    {
        let members = self.members.iter();
        members
            .filter(move |(_, m)| m.status() < Status::Dead && passes(m))
            .map(|(name, m)| (name, hash(name, m.incarnation(), m.status())))
    }

    fn own_hash(&self) -> u32 {
        let own = &self.own;
        hash(&own.instance, own.incarnation, own.status)
    }

    /// Returns the hash of each bucket.
    pub(super) fn buckets(&self) -> Vec<u32> {
        let mut buckets = vec![0; BUCKETS];
        buckets[bucket(&self.own.instance)] ^= self.own_hash();
        for (name, hash) in self.hashes(|_| true) {
            buckets[bucket(name)] ^= hash;
        }
        buckets
    }

    /// Returns the hash of a region's instances.
    pub(super) fn region_hash(&self, region: &Region) -> u32 {
        let own = match *region == self.here {
            true => self.own_hash(),
            false => 0,
        };
        let hashes = self.hashes(|m| m.profile.region == *region);
        hashes.fold(own, |all, (_, hash)| all ^ hash)
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
