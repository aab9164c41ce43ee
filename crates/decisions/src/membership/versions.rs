//! Configuration versions of whole regions, exchanged as one value for all
//! instances of a region.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::MemberStatus;
use super::RegionConfigVersion;
use super::Roster;
use crate::names::Instance;
use crate::names::Region;

/// Maximum number of instances listed as behind. If there are more, the lowest
/// version of all serving instances is sent instead.
const MAX_BEHIND: usize = 4;

/// Number of digests that carry a region's version after it changed.
const VERSION_GOSSIP_ROUNDS: u32 = 16;

/// Last known version of a region.
#[derive(Clone, Debug)]
struct KnownVersion {
    version: RegionConfigVersion,
    /// Number of further digests that carry the version.
    rounds_left: u32,
}

/// Last known configuration versions of the other regions.
#[derive(Clone, Debug, Default)]
pub(super) struct RegionVersions {
    by_region: BTreeMap<Region, KnownVersion>,
}

/// Ranks the versions of a region: only a higher one replaces a known version.
/// As this is a total order, two instances that know different versions of a
/// region do not send them back and forth forever.
fn rank(version: &RegionConfigVersion) -> (u64, Reverse<usize>, u32) {
    let behind = Reverse(version.behind.len());
    (version.config_version, behind, version.roster_hash)
}

impl RegionVersions {
    fn merge(&mut self, version: &RegionConfigVersion) {
        let known = self.by_region.get(&version.region);
        if known.is_some_and(|k| rank(&k.version) >= rank(version)) {
            return;
        }
        let entry = KnownVersion {
            version: version.clone(),
            rounds_left: VERSION_GOSSIP_ROUNDS,
        };
        self.by_region.insert(version.region.clone(), entry);
    }

    /// Returns the versions that changed recently, and counts this
    /// transmission.
    fn take_pending(&mut self) -> Vec<RegionConfigVersion> {
        let recent = self
            .by_region
            .values_mut()
            .filter(|known| known.rounds_left > 0);
        recent
            .map(|known| {
                known.rounds_left -= 1;
                known.version.clone()
            })
            .collect()
    }
}

impl Roster {
    /// Returns the versions for a digest. An instance of this region gets the
    /// recently changed versions of other regions, another region gets this
    /// region's own version.
    pub(super) fn take_versions_for(&mut self, is_local: bool) -> Vec<RegionConfigVersion> {
        match is_local {
            true => self.region_versions.take_pending(),
            false => vec![self.own_version()],
        }
    }

    fn own_version(&self) -> RegionConfigVersion {
        let members = self.members.iter();
        let local = members.filter(|(_, m)| m.profile.region == self.own_region);
        let known = local.map(|(name, m)| (name, m.status(), m.config_version));
        let own = (&self.own.instance, self.own.status, self.own.config_version);
        let serving = known.chain([own]);
        let serving = serving.filter(|(_, status, _)| *status == MemberStatus::Serving);
        let serving: Vec<_> = serving.map(|(name, _, version)| (name, version)).collect();
        let versions = serving.iter().map(|(_, version)| *version);
        let newest = versions.clone().max().unwrap_or(0);
        let behind = serving.iter().filter(|(_, version)| *version < newest);
        let behind: Vec<Instance> = behind.map(|(name, _)| (*name).clone()).collect();
        let can_list_behind = behind.len() <= MAX_BEHIND;
        RegionConfigVersion {
            region: self.own_region.clone(),
            roster_hash: self.region_hash(&self.own_region),
            config_version: if can_list_behind {
                newest
            } else {
                versions.min().unwrap_or(0)
            },
            behind: if can_list_behind { behind } else { Vec::new() },
        }
    }

    /// Records another region's version and applies it to the members.
    pub(super) fn apply_region_version(&mut self, version: &RegionConfigVersion) {
        if version.region == self.own_region {
            return;
        }
        self.region_versions.merge(version);
        self.apply_to_members(version);
    }

    /// Applies the recorded versions again, for regions of which some instances
    /// were still unknown when the version arrived.
    pub(super) fn reapply_versions(&mut self) {
        let known = self.region_versions.by_region.values();
        let versions: Vec<_> = known.map(|k| k.version.clone()).collect();
        versions.iter().for_each(|v| self.apply_to_members(v));
    }

    fn apply_to_members(&mut self, version: &RegionConfigVersion) {
        if self.region_hash(&version.region) != version.roster_hash {
            return;
        }
        for (name, member) in &mut self.members {
            let has_version =
                member.status() == MemberStatus::Serving && !version.behind.contains(name);
            if member.profile.region == version.region && has_version {
                member.config_version = member.config_version.max(version.config_version);
            }
        }
    }
}
