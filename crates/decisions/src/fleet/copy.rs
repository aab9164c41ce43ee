//! Copies of the view for an instance that the store does not answer.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Fleet;
use super::record::TargetChange;
use super::record::TargetRecord;
use crate::names::Region;
use crate::names::Target;
use crate::names::Zone;
use crate::revision::StoreRevision;

/// What an instance knows of the targets of one region and of all evacuated
/// zones.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetCopy {
    /// Revision of the store up to which the sender knows all changes.
    pub revision: StoreRevision,
    /// All targets of the region.
    pub targets: Vec<TargetCopy>,
    /// The zones that are or were being evacuated.
    pub evacuations: Vec<EvacuationCopy>,
}

/// A target as another instance knows it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TargetCopy {
    /// The target.
    pub name: Target,
    /// Its record. The time for which it stays cold is what is left of it.
    pub record: TargetRecord,
    /// The store's revision of the record.
    pub revision: StoreRevision,
}

/// Whether a zone is being evacuated, as another instance knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EvacuationCopy {
    /// The zone.
    pub zone: Zone,
    /// Whether it is being evacuated.
    pub is_active: bool,
    /// The store's revision of that.
    pub revision: StoreRevision,
}

/// What a copy changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CopyChanges {
    /// The targets whose records were replaced or removed.
    pub targets: Vec<(Target, TargetChange)>,
    /// The zones whose evacuation began or ended.
    pub zones: Vec<(Zone, bool)>,
}

impl Fleet {
    /// Copies what is known of the targets of a region and of evacuated zones.
    /// `revision` is the one up to which all changes were read.
    pub fn copy_of(&self, region: &Region, revision: StoreRevision, now: Duration) -> FleetCopy {
        let in_region = self.targets.iter();
        let in_region = in_region.filter(|(_, known)| known.record.region == *region);
        let targets = in_region.map(|(name, known)| TargetCopy {
            name: name.clone(),
            record: TargetRecord {
                cold_remaining: known.cold_until.saturating_sub(now),
                ..known.record.clone()
            },
            revision: known.revision,
        });
        FleetCopy {
            revision,
            targets: targets.collect(),
            evacuations: self.evacuations.copies(),
        }
    }

    /// Applies what another instance knows of the targets of `region`. What is
    /// known at a later revision stays.
    pub fn merge_copy(&mut self, copy: FleetCopy, region: &Region, now: Duration) -> CopyChanges {
        let mut changes = CopyChanges::default();
        self.remove_uncopied(&copy, region, &mut changes, now);
        for target in copy.targets {
            let known = self.targets.get(&target.name);
            if known.is_some_and(|known| known.revision >= target.revision) {
                continue;
            }
            let change = self.upsert(&target.name, target.record, target.revision, now);
            if change != TargetChange::Outdated {
                changes.targets.push((target.name, change));
            }
        }
        for evacuation in copy.evacuations {
            let EvacuationCopy {
                zone,
                is_active,
                revision,
            } = evacuation;
            if self.set_evacuated(&zone, is_active, revision) {
                changes.zones.push((zone, is_active));
            }
        }
        changes
    }

    /// Removes the targets of `region` that the copy lacks though it is from
    /// after their records.
    fn remove_uncopied(
        &mut self,
        copy: &FleetCopy,
        region: &Region,
        changes: &mut CopyChanges,
        now: Duration,
    ) {
        let is_copied = |name: &Target| copy.targets.iter().any(|target| target.name == *name);
        let known = self.targets.iter();
        let gone = known.filter(|(name, known)| {
            known.record.region == *region && known.revision <= copy.revision && !is_copied(name)
        });
        let gone: Vec<Target> = gone.map(|(name, _)| name.clone()).collect();
        for name in gone {
            self.remove(&name, now);
            changes.targets.push((name, TargetChange::Gone));
        }
    }
}
