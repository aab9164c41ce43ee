//! Hashes of the member list, with which two instances find the members on
//! which their lists differ.

use xxhash_rust::xxh3::xxh3_64;

use super::Member;
use super::MemberStatus;
use super::Roster;
use crate::names::Instance;
use crate::names::Region;

/// Number of hash buckets that the instances are divided into.
const BUCKET_COUNT: usize = 64;

fn bucket_index(instance: &Instance) -> usize {
    xxh3_64(instance.as_str().as_bytes()) as usize % BUCKET_COUNT
}

/// Returns the hash of an instance's name, incarnation and status. The
/// configuration version is left out because it changes on all instances at
/// once.
fn member_hash(instance: &Instance, incarnation: u64, status: MemberStatus) -> u32 {
    let mut data = instance.as_str().as_bytes().to_vec();
    data.push(0);
    data.extend(incarnation.to_le_bytes());
    data.push(status as u8);
    xxh3_64(&data) as u32
}

impl Roster {
    /// Returns the hashes of the other members that satisfy `predicate`. Dead
    /// members are left out because each instance forgets them at a different
    /// time.
    fn member_hashes<F>(&self, predicate: F) -> impl Iterator<Item = (&Instance, u32)>
    where
        F: Fn(&Member) -> bool,
    {
        let members = self.members.iter();
        members
            .filter(move |(_, m)| m.status() < MemberStatus::Dead && predicate(m))
            .map(|(name, m)| (name, member_hash(name, m.incarnation(), m.status())))
    }

    fn own_hash(&self) -> u32 {
        let own = &self.own;
        member_hash(&own.instance, own.incarnation, own.status)
    }

    /// Returns the hash of each bucket, over this instance and the other
    /// members that are not dead.
    pub(super) fn bucket_hashes(&self) -> Vec<u32> {
        let mut buckets = vec![0; BUCKET_COUNT];
        buckets[bucket_index(&self.own.instance)] ^= self.own_hash();
        for (name, hash) in self.member_hashes(|_| true) {
            buckets[bucket_index(name)] ^= hash;
        }
        buckets
    }

    /// Returns a hash over the instances of a region that are not dead.
    pub(super) fn region_hash(&self, region: &Region) -> u32 {
        let own = match *region == self.own_region {
            true => self.own_hash(),
            false => 0,
        };
        let hashes = self.member_hashes(|m| m.profile.region == *region);
        hashes.fold(own, |all, (_, hash)| all ^ hash)
    }

    /// Returns the known members in the buckets whose hash differs from the one
    /// in `remote_hashes`. Returns none if the sender uses another number of
    /// buckets.
    pub(super) fn members_in_differing_buckets(&self, remote_hashes: &[u32]) -> Vec<Instance> {
        if remote_hashes.len() != BUCKET_COUNT {
            return Vec::new();
        }
        let local_hashes = self.bucket_hashes();
        let differs = |name: &&Instance| {
            local_hashes[bucket_index(name)] != remote_hashes[bucket_index(name)]
        };
        self.members.keys().filter(differs).cloned().collect()
    }
}
