//! The evacuated availability zones, also through a return of the store from an
//! older copy, which may lack some of them.

use std::collections::HashSet;
use std::time::Duration;

use crate::names::Zone;

/// Time after the store came back from an older copy in which the operator can
/// write lost evacuations again before they end.
pub const EVACUATION_RECOVERY_GRACE: Duration = Duration::from_millis(2000);

/// The evacuated zones.
///
/// # Invariants
///
/// `lost` is a part of `zones`.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    zones: HashSet<Zone>,
    /// Zones that the store's listing lacks, as it may have lost them.
    lost: HashSet<Zone>,
    /// When the store was last found to be restored from an older copy.
    restored_at: Option<Duration>,
}

impl Evacuations {
    /// Tells whether a zone is being evacuated.
    pub(super) fn includes(&self, zone: &Zone) -> bool {
        self.zones.contains(zone)
    }

    /// Sets whether a zone is being evacuated; returns true if that changed.
    pub(super) fn set(&mut self, zone: &Zone, evacuated: bool) -> bool {
        self.lost.remove(zone);
        match evacuated {
            true => self.zones.insert(zone.clone()),
            false => self.zones.remove(zone),
        }
    }

    /// Records that the store was restored from an older copy.
    pub(super) fn store_restored(&mut self, now: Duration) {
        self.restored_at = Some(now);
    }

    /// Compares the zones with a complete listing of the store. Returns those
    /// whose evacuation ended.
    pub(super) fn reconcile(&mut self, listed: &HashSet<Zone>, now: Duration) -> Vec<Zone> {
        self.lost = self.zones.difference(listed).cloned().collect();
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
            self.zones.remove(zone);
        }
        ended
    }
}
