//! Which configuration the regions have, told once for all instances of a
//! region.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::RegionVersion;
use super::Roster;
use super::Status;
use crate::names::Instance;
use crate::names::Region;

/// Instances that a region names as behind at most; if there are more, it
/// tells the lowest version instead.
const MAX_BEHIND: usize = 4;

/// Digests that carry a region's version after it changed.
const VERSION_ROUNDS: u32 = 16;

/// What was heard of a region.
#[derive(Clone, Debug)]
struct Told {
    version: RegionVersion,
    /// Digests that still carry it.
    rounds: u32,
}

/// What was last heard of the versions of other regions.
#[derive(Clone, Debug, Default)]
pub(super) struct Versions {
    told: BTreeMap<Region, Told>,
}

/// Versions are passed on in this order, so that two tellers who differ do
/// not pass theirs on for ever.
fn rank(version: &RegionVersion) -> (u64, Reverse<usize>, u32) {
    let behind = Reverse(version.behind.len());
    (version.config_version, behind, version.roster)
}

impl Versions {
    fn hear(&mut self, version: &RegionVersion) {
        let known = self.told.get(&version.region);
        if known.is_some_and(|t| rank(&t.version) >= rank(version)) {
            return;
        }
        let told = Told {
            version: version.clone(),
            rounds: VERSION_ROUNDS,
        };
        self.told.insert(version.region.clone(), told);
    }

    /// Takes the versions that changed lately.
    fn take(&mut self) -> Vec<RegionVersion> {
        let recent = self.told.values_mut().filter(|t| t.rounds > 0);
        recent
            .map(|t| {
                t.rounds -= 1;
                t.version.clone()
            })
            .collect()
    }
}

impl Roster {
    /// Returns the versions to tell with a digest to an instance of this or
    /// another region.
    pub(super) fn tell_versions(&mut self, is_near: bool) -> Vec<RegionVersion> {
        match is_near {
            true => self.versions.take(),
            false => vec![self.own_version()],
        }
    }

    fn own_version(&self) -> RegionVersion {
        let members = self.members.iter();
        let near = members.filter(|(_, m)| m.profile.region == self.here);
        let known = near.map(|(name, m)| (name, m.status(), m.config_version));
        let own = (&self.own.instance, self.own.status, self.own.config_version);
        let serving = known.chain([own]);
        let serving = serving.filter(|(_, status, _)| *status == Status::Serving);
        let serving: Vec<_> = serving.map(|(name, _, version)| (name, version)).collect();
        let versions = serving.iter().map(|(_, version)| *version);
        let newest = versions.clone().max().unwrap_or(0);
        let behind = serving.iter().filter(|(_, version)| *version < newest);
        let behind: Vec<Instance> = behind.map(|(name, _)| (*name).clone()).collect();
        let is_few = behind.len() <= MAX_BEHIND;
        RegionVersion {
            region: self.here.clone(),
            roster: self.region_hash(&self.here),
            config_version: if is_few {
                newest
            } else {
                versions.min().unwrap_or(0)
            },
            behind: if is_few { behind } else { Vec::new() },
        }
    }

    /// Takes note of a region's version.
    pub(super) fn hear_version(&mut self, version: &RegionVersion) {
        if version.region == self.here {
            return;
        }
        self.versions.hear(version);
        self.apply_version(version);
    }

    /// Applies what was heard of regions whose instances were not all known
    /// then.
    pub(super) fn apply_versions(&mut self) {
        let told = self.versions.told.values();
        let versions: Vec<_> = told.map(|t| t.version.clone()).collect();
        versions.iter().for_each(|v| self.apply_version(v));
    }

    fn apply_version(&mut self, version: &RegionVersion) {
        if self.region_hash(&version.region) != version.roster {
            return;
        }
        for (name, member) in &mut self.members {
            let holds = member.status() == Status::Serving && !version.behind.contains(name);
            if member.profile.region == version.region && holds {
                member.config_version = member.config_version.max(version.config_version);
            }
        }
    }
}
