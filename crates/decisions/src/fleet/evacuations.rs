//! The evacuated availability zones, also through a return of the store from an
//! older copy, which may lack some of them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::copy::EvacuationCopy;
use crate::names::Zone;
use crate::revision::StoreRevision;

/// Time after the store came back from an older copy in which the operator can
/// write lost evacuations again before they end.
pub const EVACUATION_RECOVERY_GRACE: Duration = Duration::from_millis(2000);

/// Whether a zone is being evacuated, as the store had it at a revision.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    is_active: bool,
    revision: StoreRevision,
}

/// The zones that are or were being evacuated.
///
/// # Invariants
///
/// The state of a zone never goes back to an older revision. The zones of
/// `lost` are being evacuated.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    by_zone: HashMap<Zone, Evacuation>,
    /// Zones that the store's listing lacks, as it may have lost them.
    lost: HashSet<Zone>,
    /// When the store was last found to be restored from an older copy.
    restored_at: Option<Duration>,
}

impl Evacuations {
    /// Tells whether a zone is being evacuated.
    pub(super) fn includes(&self, zone: &Zone) -> bool {
        self.by_zone.get(zone).is_some_and(|known| known.is_active)
    }

    /// Sets whether a zone is being evacuated, unless a later state is known;
    /// returns true if that changed.
    pub(super) fn set(&mut self, zone: &Zone, is_active: bool, revision: StoreRevision) -> bool {
        let known = self.by_zone.get(zone);
        if known.is_some_and(|known| revision < known.revision) {
            return false;
        }
        let was_active = known.is_some_and(|known| known.is_active);
        self.lost.remove(zone);
        let evacuation = Evacuation {
            is_active,
            revision,
        };
        self.by_zone.insert(zone.clone(), evacuation);
        was_active != is_active
    }

    /// Copies all that is known, for another instance.
    pub(super) fn copies(&self) -> Vec<EvacuationCopy> {
        let copy = |(zone, known): (&Zone, &Evacuation)| EvacuationCopy {
            zone: zone.clone(),
            is_active: known.is_active,
            revision: known.revision,
        };
        self.by_zone.iter().map(copy).collect()
    }

    /// Records that the store was restored from an older copy.
    pub(super) fn store_restored(&mut self, now: Duration) {
        self.restored_at = Some(now);
    }

    /// Compares the zones with a complete listing of the store at `revision`.
    /// Returns those whose evacuation ended.
    pub(super) fn reconcile(
        &mut self,
        listed: &HashSet<Zone>,
        revision: StoreRevision,
        now: Duration,
    ) -> Vec<Zone> {
        let is_missing = |(zone, known): &(&Zone, &mut Evacuation)| {
            known.is_active && known.revision <= revision && !listed.contains(*zone)
        };
        for (zone, known) in self.by_zone.iter_mut().filter(is_missing) {
            known.revision = revision;
            self.lost.insert(zone.clone());
        }
        self.remove_lost(now)
    }

    /// Ends the evacuations that the store lost, unless they may still be
    /// written again, and returns their zones.
    pub(super) fn remove_lost(&mut self, now: Duration) -> Vec<Zone> {
        let is_held = |at: Duration| now < at + EVACUATION_RECOVERY_GRACE;
        if self.restored_at.is_some_and(is_held) {
            return Vec::new();
        }
        let ended: Vec<Zone> = self.lost.drain().collect();
        for zone in &ended {
            if let Some(known) = self.by_zone.get_mut(zone) {
                known.is_active = false;
            }
        }
        ended
    }
}
