//! What the store tells, applied to the tables.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::catalog::Catalog;
use chiverelay_decisions::catalog::CurrentCatalog;
use chiverelay_decisions::catalog::LoadedCatalog;
use chiverelay_decisions::fleet::Fleet;
use chiverelay_decisions::fleet::TargetChange;
use chiverelay_decisions::fleet::TargetRecord;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::traffic::Traffic;

use crate::MemberRecord;
use crate::Settings;

/// Something that the store tells.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// The operator's catalog.
    Catalog(Arc<Catalog>),
    /// A target's record.
    Target(Target, TargetRecord),
    /// A target has no record any more.
    TargetRemoved(Target),
    /// All targets that have records; others have none any more.
    TargetsListed(HashSet<Target>),
    /// Whether nothing new may go to a zone's targets.
    Evacuated(Zone, bool),
    /// All zones that are evacuated; others are not.
    EvacuatedListed(HashSet<Zone>),
    /// An instance's record.
    Member(MemberRecord),
    /// An instance has no record any more.
    MemberRemoved(Instance),
    /// All instances that have records; others have none any more.
    MembersListed(HashSet<Instance>),
    /// The store answered.
    StoreAnswered,
    /// The store does not answer.
    StoreUnreachable,
}

/// The tables that facts and requests meet in.
///
/// Locked in this order: `catalog`, `fleet`, `traffic`.
#[derive(Debug)]
pub(crate) struct SharedTables {
    pub(crate) catalog: CurrentCatalog,
    pub(crate) fleet: RankedMutex<Fleet>,
    pub(crate) traffic: RankedMutex<Traffic>,
}

impl SharedTables {
    pub(crate) fn new(settings: &Settings) -> Self {
        let zones: HashMap<Zone, Region> = settings.zone_regions.clone();
        Self {
            catalog: CurrentCatalog::default(),
            fleet: RankedMutex::new(LockRank::Fleet, Fleet::new(zones)),
            traffic: RankedMutex::new(
                LockRank::Targets,
                Traffic::new(settings.retry_limit, settings.cold_slack),
            ),
        }
    }

    /// Returns the catalog in force, if one is known.
    pub(crate) fn current_catalog(&self) -> Option<LoadedCatalog> {
        self.catalog.get()
    }

    /// Returns how long ago the store answered.
    pub(crate) fn store_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.fleet.lock().last_store_answer())
    }

    pub(crate) fn put_target(
        &self,
        name: &Target,
        record: TargetRecord,
        revision: u64,
        now: Duration,
    ) {
        let (draining, cold) = (record.draining, record.cold_remaining);
        let change = self.fleet.lock().upsert(name, record, revision, now);
        match change {
            TargetChange::Same => return,
            TargetChange::Restarted => self.traffic.lock().reset_target(name, now),
            _ => {}
        }
        log::info!(
            target: "fleet",
            name = name.as_str(),
            change:? = change,
            draining,
            cold_ms = cold.as_millis() as u64,
            revision;
            "target record"
        );
    }

    pub(crate) fn remove_target(&self, name: &Target, now: Duration) {
        let change = self.fleet.lock().record_removed(name, now);
        self.log_target_change(name, change);
    }

    pub(crate) fn reconcile_targets(&self, listed: &HashSet<Target>, now: Duration) {
        let gone = self.fleet.lock().reconcile(listed, now);
        for name in &gone {
            self.log_target_change(name, TargetChange::Gone);
        }
    }

    /// Removes the targets whose records have not come back in time.
    pub(crate) fn remove_expired_targets(&self, now: Duration) {
        let gone = self.fleet.lock().expire(now);
        for name in &gone {
            self.log_target_change(name, TargetChange::Gone);
        }
    }

    fn log_target_change(&self, name: &Target, change: TargetChange) {
        if change == TargetChange::Gone {
            self.traffic.lock().remove_target(name);
        }
        if change != TargetChange::Same {
            log::info!(target: "fleet", name = name.as_str(), change:? = change; "target has no record");
        }
    }

    pub(crate) fn set_evacuated(&self, zone: &Zone, evacuated: bool) {
        if self.fleet.lock().set_evacuated(zone, evacuated) {
            log::info!(target: "fleet", zone = zone.as_str(), evacuated; "evacuation");
        }
    }

    pub(crate) fn reconcile_evacuated(&self, listed: &HashSet<Zone>) {
        let old: Vec<Zone> = self
            .fleet
            .lock()
            .evacuated_zones()
            .iter()
            .cloned()
            .collect();
        for zone in old.iter().filter(|zone| !listed.contains(*zone)) {
            self.set_evacuated(zone, false);
        }
        for zone in listed {
            self.set_evacuated(zone, true);
        }
    }
}
