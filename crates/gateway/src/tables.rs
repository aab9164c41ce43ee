//! Tables that requests read and updates from the store change.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::catalog::Catalog;
use chiverelay_decisions::catalog::CurrentCatalog;
use chiverelay_decisions::catalog::LoadedCatalog;
use chiverelay_decisions::fleet::Fleet;
use chiverelay_decisions::fleet::FleetCopy;
use chiverelay_decisions::fleet::TargetChange;
use chiverelay_decisions::fleet::TargetRecord;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::quarantine::Quarantine;
use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::route_use::RouteUse;
use chiverelay_decisions::streams::PoolSoftware;
use chiverelay_decisions::suspension::Suspensions;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::traffic::Traffic;

use crate::MemberRecord;
use crate::Settings;
use crate::streams::Streams;

/// An update read from the store.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// A new version of the operator's catalog.
    Catalog(Arc<Catalog>),
    /// A new or changed record of a target.
    Target(Target, TargetRecord),
    /// The record of a target was removed.
    TargetRemoved(Target),
    /// The complete set of targets that have records.
    TargetsListed(HashSet<Target>),
    /// Whether a zone is evacuated now, so that its targets get no new
    /// requests.
    EvacuationChanged(Zone, bool),
    /// The complete set of evacuated zones. Each of them is told by itself, too.
    EvacuationsListed(HashSet<Zone>),
    /// A new or changed record of an instance.
    Member(MemberRecord),
    /// The record of an instance was removed.
    MemberRemoved(Instance),
    /// The complete set of instances that have records.
    MembersListed(HashSet<Instance>),
    /// The store has a mark that targets of a pool have or had software.
    SoftwareMarked(PoolSoftware),
    /// Such a mark was removed.
    SoftwareUnmarked(PoolSoftware),
    /// The complete set of these marks.
    SoftwareMarksListed(HashSet<PoolSoftware>),
    /// All changes up to the revision were told.
    CaughtUp,
    /// The store answered a request.
    StoreAnswered,
    /// A call to the store failed, which alone is no outage.
    StoreCallFailed,
    /// The store has stopped answering.
    StoreUnreachable,
}

/// Tables shared by requests and updates from the store.
///
/// Locked in this order: `catalog`, `fleet`, `traffic`, `quarantine`,
/// `suspensions`, `streams`, `route_use`. Their ranks in [`LockRank`] increase in the same order.
#[derive(Debug)]
pub(crate) struct SharedTables {
    pub(crate) catalog: CurrentCatalog,
    pub(crate) fleet: RankedMutex<Fleet>,
    pub(crate) traffic: RankedMutex<Traffic>,
    pub(crate) quarantine: RankedMutex<Quarantine>,
    pub(crate) suspensions: RankedMutex<Suspensions>,
    pub(crate) streams: RankedMutex<Streams>,
    pub(crate) route_use: RankedMutex<RouteUse>,
}

impl SharedTables {
    pub(crate) fn new(settings: &Settings) -> Self {
        let zones: HashMap<Zone, Region> = settings.zone_regions.clone();
        Self {
            catalog: CurrentCatalog::default(),
            fleet: RankedMutex::new(
                LockRank::Fleet,
                Fleet::new(zones).with_heartbeat(settings.target_heartbeat),
            ),
            traffic: RankedMutex::new(
                // The rank for the load and health of targets, which `Traffic`
                // holds.
                LockRank::Targets,
                Traffic::new(settings.retry_limit, settings.cold_limit_tolerance)
                    .with_extra_attempts(settings.extra_attempts),
            ),
            quarantine: RankedMutex::new(LockRank::Quarantine, Quarantine::default()),
            suspensions: RankedMutex::new(LockRank::Suspensions, Suspensions::default()),
            streams: RankedMutex::new(LockRank::Streams, Streams::default()),
            route_use: RankedMutex::new(LockRank::RouteUse, RouteUse::default()),
        }
    }

    /// Returns the current catalog, or `None` before the first one was read.
    pub(crate) fn current_catalog(&self) -> Option<LoadedCatalog> {
        self.catalog.get()
    }

    /// Returns the time since the store last answered.
    pub(crate) fn store_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.fleet.lock().last_store_answer())
    }

    pub(crate) fn put_target(
        &self,
        name: &Target,
        record: TargetRecord,
        revision: StoreRevision,
        now: Duration,
    ) {
        let (draining, cold_remaining) = (record.draining, record.cold_remaining);
        let software = record.software.clone();
        let change = self.fleet.lock().upsert(name, record, revision, now);
        match change {
            TargetChange::Same => return,
            TargetChange::Outdated => {
                log::info!(target: "fleet", name = name.as_str(), era = revision.era, revision = revision.number; "outdated target record ignored");
                return;
            }
            TargetChange::Restarted => self.traffic.lock().reset_target(name, now),
            // Other changes leave the traffic data of the target as it is.
            _ => {}
        }
        log::info!(
            target: "fleet",
            name = name.as_str(),
            change:? = change,
            draining,
            software = software.as_str(),
            cold_ms = cold_remaining.as_millis() as u64,
            era = revision.era,
            revision = revision.number;
            "target record received"
        );
    }

    /// Applies what another instance knows of the targets of `region`.
    pub(crate) fn merge_fleet(&self, copy: FleetCopy, region: &Region, now: Duration) {
        let changes = self.fleet.lock().merge_copy(copy, region, now);
        for (name, change) in changes.targets {
            match change {
                TargetChange::Gone => self.traffic.lock().remove_target(&name),
                TargetChange::Restarted => self.traffic.lock().reset_target(&name, now),
                _ => {}
            }
            if change != TargetChange::Same {
                log::info!(target: "fleet", name = name.as_str(), change:? = change; "target changed by what another instance knows");
            }
        }
        for (zone, evacuated) in changes.zones {
            log::info!(target: "fleet", zone = zone.as_str(), evacuated; "evacuation");
        }
    }

    pub(crate) fn remove_target(&self, name: &Target, revision: StoreRevision, now: Duration) {
        let change = self.fleet.lock().handle_removal(name, revision, now);
        if change != TargetChange::Outdated {
            self.handle_target_removal(name, change);
        }
    }

    /// Applies a complete listing of the store: targets that are not listed
    /// have no record.
    pub(crate) fn reconcile_targets(&self, listed: &HashSet<Target>, now: Duration) {
        let gone = self.fleet.lock().reconcile(listed, now);
        for name in &gone {
            self.handle_target_removal(name, TargetChange::Gone);
        }
    }

    /// Removes the targets whose records disappeared while the store was
    /// unreachable, or shortly after, and did not come back in time.
    pub(crate) fn remove_expired_targets(&self, now: Duration) {
        let gone = self.fleet.lock().remove_missing_after_recovery(now);
        for name in &gone {
            self.handle_target_removal(name, TargetChange::Gone);
        }
    }

    /// Logs the removal of a target's record, and discards the traffic data of
    /// a target that is gone.
    fn handle_target_removal(&self, name: &Target, change: TargetChange) {
        if change == TargetChange::Gone {
            self.traffic.lock().remove_target(name);
        }
        if change != TargetChange::Same {
            log::info!(target: "fleet", name = name.as_str(), change:? = change; "target record removed");
        }
    }

    /// Sets whether a zone is evacuated, and logs a change.
    pub(crate) fn set_evacuated(&self, zone: &Zone, evacuated: bool, revision: StoreRevision) {
        if self.fleet.lock().set_evacuated(zone, evacuated, revision) {
            log::info!(target: "fleet", zone = zone.as_str(), evacuated; "evacuation");
        }
    }

    /// Applies a complete listing of the evacuated zones, and logs those whose
    /// evacuation has ended.
    pub(crate) fn reconcile_evacuated(
        &self,
        listed: &HashSet<Zone>,
        revision: StoreRevision,
        now: Duration,
    ) {
        let mut fleet = self.fleet.lock();
        let ended = fleet.reconcile_evacuated(listed, revision, now);
        drop(fleet);
        log_ended_evacuations(&ended);
    }

    /// Ends the evacuations that the store has lost and that were not written
    /// again in time.
    pub(crate) fn remove_expired_evacuations(&self, now: Duration) {
        let ended = self.fleet.lock().remove_lost_evacuations(now);
        log_ended_evacuations(&ended);
    }
}

fn log_ended_evacuations(zones: &[Zone]) {
    for zone in zones {
        log::info!(target: "fleet", zone = zone.as_str(), evacuated = false; "evacuation");
    }
}
