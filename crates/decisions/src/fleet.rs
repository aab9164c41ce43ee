//! An instance's view of the targets and evacuated availability zones, which
//! it reads from the store.
//!
//! A target whose record disappears while the store is away, or within
//! [`STORE_RECOVERY_GRACE`] after its return, stays in use unless it was
//! draining: the record may be missing only because of the outage. However many
//! outages follow, the record is held until the store has served for that time.
//!
//! A target that drains does so until it restarts: no later record of the same
//! process ends it.

mod copy;
mod departures;
mod evacuations;
mod record;
mod store_health;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use self::departures::Departures;
use self::evacuations::Evacuations;
use self::record::Incarnation;
use self::store_health::DEFAULT_HEARTBEAT;
use self::store_health::StoreHealth;
use crate::names::Pool;
use crate::names::Region;
use crate::names::SoftwareVersion;
use crate::names::Target;
use crate::names::Zone;
use crate::revision::StoreRevision;
use crate::streams::PoolSoftware;

pub use self::copy::CopyChanges;
pub use self::copy::EvacuationCopy;
pub use self::copy::FleetCopy;
pub use self::copy::TargetCopy;
pub use self::evacuations::EVACUATION_RECOVERY_GRACE;
pub use self::record::KnownTarget;
pub use self::record::TargetChange;
pub use self::record::TargetRecord;
pub use self::store_health::STORE_RECOVERY_GRACE;

/// The known targets, the evacuated zones and the store's health.
///
/// # Invariants
///
/// A record never replaces one of a higher revision, nor one of an earlier era
/// that the target wrote later. `held_until` is set only while the record's
/// absence may be due to an outage of the store, and doesn't change until the
/// record is back.
#[derive(Debug)]
pub struct Fleet {
    targets: HashMap<Target, KnownTarget>,
    by_pool: HashMap<Pool, Vec<Target>>,
    departures: Departures,
    evacuations: Evacuations,
    store: StoreHealth,
    zones: HashMap<Zone, Region>,
}

impl Fleet {
    /// Creates a view without targets. `zones` maps each zone to its region.
    pub fn new(zones: HashMap<Zone, Region>) -> Self {
        Self {
            targets: HashMap::new(),
            by_pool: HashMap::new(),
            departures: Departures::default(),
            evacuations: Evacuations::default(),
            store: StoreHealth::new(DEFAULT_HEARTBEAT),
            zones,
        }
    }

    /// Sets the interval at which targets write their records.
    pub fn with_heartbeat(mut self, heartbeat: Duration) -> Self {
        self.store = StoreHealth::new(heartbeat);
        self
    }

    /// Returns the region of a zone.
    pub fn region(&self, zone: &Zone) -> Option<&Region> {
        self.zones.get(zone)
    }

    /// Returns when the store last answered, on the local monotonic clock.
    pub fn last_store_answer(&self) -> Duration {
        self.store.last_answer()
    }

    /// Records that the store answered; returns true if it was unreachable.
    ///
    /// A higher `era` than before means that the store came back from an older
    /// copy, even if no outage was noticed.
    pub fn store_answered(&mut self, era: u64, now: Duration) -> bool {
        let answered = self.store.answered(era, now);
        if answered.is_restored {
            self.evacuations.store_restored(now);
        }
        answered.was_unreachable
    }

    /// Tells whether a call to the store has failed since its last answer.
    pub fn is_store_failing(&self) -> bool {
        self.store.is_failing()
    }

    /// Records that a call to the store failed. That alone is no outage.
    pub fn store_call_failed(&mut self) {
        self.store.call_failed();
    }

    /// Tells whether the store has stopped answering.
    pub fn is_store_unreachable(&self) -> bool {
        self.store.is_unreachable()
    }

    /// Records that the store does not answer; returns true if it was
    /// reachable before.
    pub fn store_lost(&mut self) -> bool {
        self.store.lost()
    }

    /// Inserts or replaces a target's record.
    pub fn upsert(
        &mut self,
        name: &Target,
        mut record: TargetRecord,
        revision: StoreRevision,
        now: Duration,
    ) -> TargetChange {
        let is_restart = self.departures.is_restart(name, &record);
        if self.is_outdated(name, &record, revision) {
            return TargetChange::Outdated;
        }
        record.draining |= self.is_leaving(name, record.incarnation());
        let cold_until = match self.targets.get(name) {
            // A listing that repeats a record does not begin its time again.
            Some(known) if known.revision == revision => known.cold_until,
            _ => now.saturating_add(record.cold_remaining),
        };
        let known = KnownTarget {
            cold_until,
            revision,
            read_at: now,
            held_until: None,
            restored_revision: None,
            record,
        };
        let Some(old) = self.targets.get_mut(name) else {
            let pool = known.record.pool.clone();
            self.by_pool.entry(pool).or_default().push(name.clone());
            self.targets.insert(name.clone(), known);
            return match is_restart {
                true => TargetChange::Restarted,
                false => TargetChange::Added,
            };
        };
        let change = match TargetChange::between(&old.record, &known.record) {
            TargetChange::Same if known.is_cold(now) && !old.is_cold(now) => {
                TargetChange::TurnedCold
            }
            change => change,
        };
        let pool = std::mem::replace(old, known).record.pool;
        let new_pool = old.record.pool.clone();
        if pool != new_pool {
            self.remove_from_pool(&pool, name);
            self.by_pool.entry(new_pool).or_default().push(name.clone());
        }
        change
    }

    /// Tells whether a record is older than what is known of its target, and
    /// notes that the store has it.
    fn is_outdated(
        &mut self,
        name: &Target,
        record: &TargetRecord,
        revision: StoreRevision,
    ) -> bool {
        let Some(known) = self.targets.get_mut(name) else {
            return self.departures.outdates(name, record, revision);
        };
        if revision < known.revision {
            return true;
        }
        // An older copy of the store has older records at newer revisions.
        let is_of_copy = known
            .restored_revision
            .is_none_or(|first| revision.era > first.era || revision <= first);
        let is_copy =
            is_of_copy && revision.era > known.revision.era && record.precedes(&known.record);
        if is_copy {
            known.restored_revision = Some(revision);
            known.held_until = None;
        }
        is_copy
    }

    /// Tells whether this incarnation of a target announced its shutdown.
    fn is_leaving(&self, name: &Target, incarnation: Incarnation) -> bool {
        let known = self.targets.get(name);
        known
            .is_some_and(|known| known.record.draining && known.record.incarnation() == incarnation)
    }

    /// Marks a target as shutting down until it restarts, as its own
    /// announcement does. Returns true if that is news.
    pub fn mark_leaving(&mut self, name: &Target) -> bool {
        let Some(known) = self.targets.get_mut(name) else {
            return false;
        };
        !std::mem::replace(&mut known.record.draining, true)
    }

    /// Handles the removal of a target's record at `revision`. A removal older
    /// than the known record changes nothing: a watch may repeat what a listing
    /// of several pages has shown.
    pub fn handle_removal(
        &mut self,
        name: &Target,
        revision: StoreRevision,
        now: Duration,
    ) -> TargetChange {
        let known = self.targets.get(name);
        if known.is_some_and(|known| revision < known.revision) {
            return TargetChange::Outdated;
        }
        self.handle_absence(name, now)
    }

    /// Handles the absence of a target's record from the store. The target
    /// itself is removed at once only if no outage can explain the absence or
    /// the target was draining.
    pub fn handle_absence(&mut self, name: &Target, now: Duration) -> TargetChange {
        let held_until = self.store.hold_missing(now);
        let Some(known) = self.targets.get_mut(name) else {
            return TargetChange::Same;
        };
        if held_until.is_none() || known.record.draining {
            self.remove(name, now);
            return TargetChange::Gone;
        }
        if known.held_until.is_some() {
            return TargetChange::Same;
        }
        known.held_until = held_until;
        TargetChange::Held
    }

    /// Compares the targets with a complete listing of the store. Returns the
    /// targets that were removed, as the listing lacks them.
    pub fn reconcile(&mut self, listed: &HashSet<Target>, now: Duration) -> Vec<Target> {
        let missing: Vec<_> = self
            .targets
            .keys()
            .filter(|t| !listed.contains(*t))
            .cloned()
            .collect();
        let is_removed = |name: &Target| self.handle_absence(name, now) == TargetChange::Gone;
        missing.into_iter().filter(is_removed).collect()
    }

    /// Removes the targets whose records are still missing after the store has
    /// served for [`STORE_RECOVERY_GRACE`] since its return, and returns them.
    pub fn remove_missing_after_recovery(&mut self, now: Duration) -> Vec<Target> {
        let served = self.store.served_time(now);
        let is_over = |known: &KnownTarget| known.held_until.is_some_and(|until| until <= served);
        let over = self.targets.iter().filter(|(_, known)| is_over(known));
        let removed: Vec<Target> = over.map(|(name, _)| name.clone()).collect();
        for name in &removed {
            self.remove(name, now);
        }
        removed
    }

    fn remove(&mut self, name: &Target, now: Duration) {
        let Some(known) = self.targets.remove(name) else {
            return;
        };
        self.remove_from_pool(&known.record.pool, name);
        let era_start = StoreRevision {
            era: self.store.era(),
            number: 0,
        };
        let revision = known.revision.max(era_start);
        self.departures.insert(name, &known.record, revision, now);
    }

    fn remove_from_pool(&mut self, pool: &Pool, name: &Target) {
        if let Some(names) = self.by_pool.get_mut(pool) {
            names.retain(|other| other != name);
        }
    }

    /// Sets whether a zone is being evacuated, as the store had it at
    /// `revision`, unless a later state is known; returns true if that changed.
    pub fn set_evacuated(&mut self, zone: &Zone, evacuated: bool, revision: StoreRevision) -> bool {
        self.evacuations.set(zone, evacuated, revision)
    }

    /// Compares the evacuated zones with a complete listing of the store at
    /// `revision`. Returns the zones whose evacuation ended.
    ///
    /// If the store was just restored from an older copy, evacuations that the
    /// listing lacks go on for [`EVACUATION_RECOVERY_GRACE`].
    pub fn reconcile_evacuated(
        &mut self,
        listed: &HashSet<Zone>,
        revision: StoreRevision,
        now: Duration,
    ) -> Vec<Zone> {
        self.evacuations.reconcile(listed, revision, now)
    }

    /// Ends the evacuations that the store lost and that were not written again
    /// in time, and returns their zones.
    pub fn remove_lost_evacuations(&mut self, now: Duration) -> Vec<Zone> {
        self.evacuations.remove_lost(now)
    }

    /// Returns a target by its name.
    pub fn get(&self, name: &Target) -> Option<&KnownTarget> {
        self.targets.get(name)
    }

    /// Returns a target by its name if it serves a pool in a region. A name may
    /// come back with another record after its target was chosen.
    pub fn get_at(&self, name: &Target, pool: &Pool, region: &Region) -> Option<&KnownTarget> {
        let known = self.targets.get(name);
        known.filter(|known| known.record.pool == *pool && known.record.region == *region)
    }

    /// Tells whether a target may get a request for which it was chosen by the
    /// record `chosen`: it still takes requests, and has not moved since.
    pub fn still_accepts(&self, name: &Target, chosen: &TargetRecord) -> bool {
        let known = self.targets.get(name);
        let is_there = known.is_some_and(|known| chosen.is_at_same_place(&known.record));
        is_there && self.accepts_requests(name)
    }

    /// Tells whether a target may get new requests: it is neither draining nor
    /// in an evacuated zone.
    pub fn accepts_requests(&self, name: &Target) -> bool {
        let usable = |known: &KnownTarget| {
            !known.record.draining && !self.evacuations.includes(&known.record.zone)
        };
        self.targets.get(name).is_some_and(usable)
    }

    /// Lists the targets of a region that may get new requests.
    pub fn usable_targets_in<'a>(
        &'a self,
        region: &Region,
    ) -> impl Iterator<Item = (&'a Target, &'a KnownTarget)> + use<'a> {
        let region = region.clone();
        let in_region = self.targets.iter();
        let in_region = in_region.filter(move |(_, known)| known.record.region == region);
        in_region.filter(|(name, _)| self.accepts_requests(name))
    }

    /// Lists the targets of a pool that may get new requests.
    pub fn usable_targets<'a>(
        &'a self,
        pool: &Pool,
    ) -> impl Iterator<Item = (&'a Target, &'a KnownTarget)> + use<'a> {
        let names = self.by_pool.get(pool).map_or(&[][..], Vec::as_slice);
        names
            .iter()
            .filter(|name| self.accepts_requests(name))
            .filter_map(|name| Some((name, self.targets.get(name)?)))
    }

    /// Lists the regions in which a pool has targets that may get new requests.
    pub fn usable_regions(&self, pool: &Pool) -> Vec<Region> {
        let mut regions = Vec::new();
        for (_, known) in self.usable_targets(pool) {
            if !regions.contains(&known.record.region) {
                regions.push(known.record.region.clone());
            }
        }
        regions
    }

    /// Lists the software of all targets, each with its pool.
    pub fn list_software(&self) -> HashSet<PoolSoftware> {
        let known = self.targets.values();
        known.map(|known| known.record.pool_software()).collect()
    }

    /// Tells whether any target of a pool, in use or not, has the software.
    pub fn has_software(&self, pool: &Pool, software: &SoftwareVersion) -> bool {
        let names = self.by_pool.get(pool).map_or(&[][..], Vec::as_slice);
        let mut known = names.iter().filter_map(|name| self.targets.get(name));
        known.any(|known| known.record.software == *software)
    }

    /// Returns the version of a pool's targets, whether they may get requests or
    /// not. `None` if there is none, or more than one.
    pub fn only_software(&self, pool: &Pool) -> Option<&SoftwareVersion> {
        let names = self.by_pool.get(pool)?;
        let mut versions = names
            .iter()
            .filter_map(|name| self.targets.get(name))
            .map(|known| &known.record.software);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Counts the targets that may get new requests.
    pub fn count_usable(&self) -> usize {
        let usable = self
            .targets
            .keys()
            .filter(|name| self.accepts_requests(name));
        usable.count()
    }

    /// Counts all known targets, whether they may get new requests or not.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Tells whether no target is known at all.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
