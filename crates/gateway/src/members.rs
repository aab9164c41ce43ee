//! The known instances of the gateway, called members, from the records in the
//! store and the status messages that instances send each other.

mod nearest;
mod record;
mod table;
mod topology;

use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::directory;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::registration::Content;
use chiverelay_decisions::registration::Standing;
use chiverelay_decisions::rendezvous;
use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::window::Divisor;
use chiverelay_sibling::Pins;
use chiverelay_sibling::Status;
use tokio::sync::watch;

pub(crate) use nearest::Nearest;
pub use record::MemberRecord;
pub use record::MemberState;
use table::Member;
use table::MemberTable;
use table::SILENCE_TIMEOUT;

/// Time after the start of the process during which instances that started at
/// the same time may not be known yet.
pub(crate) const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Returns the number to divide a shared limit by to get this instance's share.
/// During [`SETTLING_TIME`] there may be more instances than `max_known`, and
/// the number allows for them.
fn conservative_divisor(max_known: usize, now: Duration) -> Divisor {
    match now < SETTLING_TIME {
        true => Divisor::for_unknown_count(max_known),
        false => Divisor::new(max_known),
    }
}

/// Counts of the other instances, for metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MembersSummary {
    /// Number of instances that have a record or still send status messages.
    pub(crate) known: usize,
    /// Number of ready instances.
    pub(crate) ready: usize,
    /// Longest time for which one of the ready instances has been silent.
    pub(crate) max_silence: Duration,
}

/// The other instances, and this instance's own record.
#[derive(Debug)]
pub(crate) struct Members {
    table: RankedMutex<MemberTable>,
    pins: Pins,
    own: watch::Sender<MemberRecord>,
    /// What was last read under this instance's own name.
    standing: watch::Sender<Option<Standing<MemberRecord>>>,
}

impl Members {
    pub(crate) fn new(own: MemberRecord, pins: Pins) -> Self {
        pins.set(&own.instance, &own.certificate);
        Self {
            table: RankedMutex::new(LockRank::Members, MemberTable::default()),
            pins,
            own: watch::Sender::new(own),
            standing: watch::Sender::default(),
        }
    }

    /// Returns a receiver of this instance's own record and its changes.
    pub(crate) fn watch_own_record(&self) -> watch::Receiver<MemberRecord> {
        self.own.subscribe()
    }

    /// Returns the lifecycle state of this instance.
    pub(crate) fn own_state(&self) -> MemberState {
        self.own.borrow().state
    }

    /// Waits until this instance has left the starting state, for at most
    /// `time`.
    pub(crate) async fn wait_until_started(&self, time: Duration) {
        let mut own = self.own.subscribe();
        let started = own.wait_for(|own| own.state != MemberState::Starting);
        if tokio::time::timeout(time, started).await.is_err() {
            log::debug!(target: "members", "request no longer waits for this instance to become ready");
        }
    }

    /// Sets the lifecycle state of this instance. A leaving instance stays in
    /// that state.
    pub(crate) fn set_own_state(&self, state: MemberState) {
        self.own.send_if_modified(|own| {
            let changes = own.state != state && own.state != MemberState::Leaving;
            if changes {
                own.state = state;
            }
            changes
        });
    }

    /// Gives this instance a new incarnation, as others take the one before for
    /// ended.
    pub(crate) fn renew_own_incarnation(&self) {
        self.own.send_modify(|own| own.incarnation = rand::random());
    }

    /// Returns a receiver of what is read under this instance's own name.
    pub(crate) fn watch_standing(&self) -> watch::Receiver<Option<Standing<MemberRecord>>> {
        self.standing.subscribe()
    }

    fn observe_own_name(&self, read: Standing<MemberRecord>) {
        self.standing.send_if_modified(|known| {
            let is_news = known.as_ref().is_none_or(|known| read.is_newer_than(known));
            if is_news {
                *known = Some(read);
            }
            is_news
        });
    }

    /// Returns the number that identifies this process to the others.
    pub(crate) fn own_incarnation(&self) -> u64 {
        self.own.borrow().incarnation
    }

    /// Stores the record of another instance, unless a newer one is known. What
    /// stands in the place of the own record is told to who keeps that.
    pub(crate) fn put_record(&self, record: MemberRecord, revision: StoreRevision, now: Duration) {
        let own = self.own.borrow().clone();
        if record.instance == own.instance {
            self.observe_own_name(Standing {
                revision,
                content: Content::Record(record),
            });
            return;
        }
        let mut table = self.table.lock();
        let table = &mut *table;
        if let Some(old) = table.members.get_mut(&record.instance) {
            if revision < old.revision || table.replaced.contains(&record.incarnation) {
                log::info!(target: "members", instance = record.instance.as_str(), era = revision.era, revision = revision.number; "outdated instance record ignored");
                return;
            }
            if old.record.incarnation != record.incarnation {
                // Between eras the revisions don't tell which one is older.
                if old.revision.era == revision.era {
                    table.replaced.insert(old.record.incarnation);
                }
                old.last_status_at = None;
                old.is_ready_by_status = true;
                old.is_cut_off = false;
            }
        }
        self.pins.set(&record.instance, &record.certificate);
        log::info!(
            target: "members",
            instance = record.instance.as_str(),
            state:? = record.state,
            incarnation = record.incarnation,
            certificate = record.certificate.as_str(),
            era = revision.era,
            revision = revision.number;
            "instance record received"
        );
        let record_received_at = table.last_sign_of_life(&record, now);
        let old = table.members.remove(&record.instance);
        let member = Member {
            revision,
            record_received_at,
            last_status_at: old.as_ref().and_then(|old| old.last_status_at),
            is_ready_by_status: old.as_ref().is_none_or(|old| old.is_ready_by_status),
            is_cut_off: old.as_ref().is_some_and(|old| old.is_cut_off),
            is_record_in_store: true,
            record,
        };
        let name = member.record.instance.clone();
        table.members.insert(name, member);
        table.update_max_known(&own.region);
    }

    /// Marks an instance as having no record in the store any more.
    pub(crate) fn remove_record(&self, name: &Instance, revision: StoreRevision) {
        if *name == self.own.borrow().instance {
            self.observe_own_name(Standing {
                revision,
                content: Content::Nothing,
            });
            return;
        }
        let mut table = self.table.lock();
        if let Some(member) = table.members.get_mut(name) {
            member.is_record_in_store = false;
            log::info!(target: "members", instance = name.as_str(); "instance record removed");
        }
    }

    /// Applies a complete listing of the store at `revision`: instances that are
    /// not listed have no record.
    pub(crate) fn reconcile_records(&self, listed: &HashSet<Instance>, revision: StoreRevision) {
        let own = self.own.borrow().instance.clone();
        if !listed.contains(&own) {
            self.remove_record(&own, revision);
        }
        let table = self.table.lock();
        let missing = |(name, member): (&Instance, &Member)| {
            (member.is_record_in_store && !listed.contains(name)).then(|| name.clone())
        };
        let missing: Vec<_> = table.members.iter().filter_map(missing).collect();
        drop(table);
        for name in missing {
            self.remove_record(&name, revision);
        }
    }

    /// Records that a status message arrived from an instance, whether it is
    /// ready and whether it reaches its targets. Returns false if the instance is
    /// unknown or the message is from another process than the one in its record.
    pub(crate) fn record_status(&self, from: &Instance, status: &Status, now: Duration) -> bool {
        let mut table = self.table.lock();
        let Some(member) = table.members.get_mut(from) else {
            return false;
        };
        if member.record.incarnation != status.incarnation {
            return false;
        }
        member.last_status_at = Some(now);
        member.is_ready_by_status = status.ready;
        member.is_cut_off = status.is_cut_off;
        true
    }

    /// Removes the instances that have no record and have fallen silent, and
    /// returns their names.
    pub(crate) fn remove_expired(&self, now: Duration) -> Vec<Instance> {
        let mut table = self.table.lock();
        let is_expired = |member: &Member| {
            !member.is_record_in_store && member.last_seen() + SILENCE_TIMEOUT <= now
        };
        let gone = |(name, member): (&Instance, &Member)| is_expired(member).then(|| name.clone());
        let gone: Vec<_> = table.members.iter().filter_map(gone).collect();
        for name in &gone {
            if let Some(member) = table.members.remove(name) {
                let incarnation = member.record.incarnation;
                table.removed.insert(name.clone(), incarnation);
            }
            self.pins.remove(name);
        }
        gone
    }

    /// Lists the other instances in a region that are ready.
    pub(crate) fn list_ready_in(&self, region: &Region, now: Duration) -> Vec<Instance> {
        let table = self.table.lock();
        let ready = table.members.values().filter(|m| table.is_ready(m, now));
        let in_region = ready.filter(|m| m.record.region == *region);
        in_region.map(|m| m.record.instance.clone()).collect()
    }

    /// Returns how many times as many callers the ready instances of this region
    /// have together as this one. Callers follow the instances' capacities.
    pub(crate) fn callers_ratio(&self, now: Duration) -> f64 {
        let own = self.own.borrow().clone();
        let table = self.table.lock();
        let ready = table.members.values().filter(|m| table.is_ready(m, now));
        let in_region = ready.filter(|m| m.record.region == own.region);
        let capacities = in_region.map(|m| m.record.capacity);
        directory::callers_ratio(own.capacity, capacities)
    }

    /// Returns those of the other instances `names` that are ready and reach the
    /// targets of their regions.
    pub(crate) fn filter_reaching(&self, mut names: Vec<Instance>, now: Duration) -> Vec<Instance> {
        let table = self.table.lock();
        names.retain(|name| {
            let member = table.members.get(name);
            member.is_some_and(|member| table.is_ready(member, now) && !member.is_cut_off)
        });
        names
    }

    /// Returns the position of this instance among the ready ones, in an order
    /// that all instances derive from `key`.
    pub(crate) fn rank_for(&self, key: &str, now: Duration) -> usize {
        self.rank_among(key, |table, member| table.is_ready(member, now))
    }

    /// Returns the position of this instance among the ready ones of its region,
    /// in an order that all instances derive from `key`.
    pub(crate) fn rank_in_region(&self, key: &str, now: Duration) -> usize {
        let region = self.own.borrow().region.clone();
        self.rank_among(key, |table, member| {
            table.is_ready(member, now) && member.record.region == region
        })
    }

    fn rank_among<F>(&self, key: &str, is_eligible: F) -> usize
    where
        F: Fn(&MemberTable, &Member) -> bool,
    {
        let own = self.own.borrow().instance.clone();
        let own_weight = rendezvous::weight(key, own.as_str());
        let table = self.table.lock();
        let eligible = table.members.iter().filter(|(_, m)| is_eligible(&table, m));
        eligible
            .filter(|(name, _)| rendezvous::weight(key, name.as_str()) > own_weight)
            .count()
    }

    /// Returns the largest number of instances of a region that were known at
    /// once.
    pub(crate) fn max_known_in(&self, region: &Region) -> usize {
        let table = self.table.lock();
        table.max_known_by_region.get(region).copied().unwrap_or(1)
    }

    /// Counts the other known instances.
    pub(crate) fn summarize(&self, now: Duration) -> MembersSummary {
        let table = self.table.lock();
        let ready = table.members.values().filter(|m| table.is_ready(m, now));
        let ages: Vec<_> = ready
            .map(|member| now.saturating_sub(member.last_seen()))
            .collect();
        MembersSummary {
            known: table.members.len(),
            ready: ages.len(),
            max_silence: ages.into_iter().max().unwrap_or_default(),
        }
    }

    /// Returns the largest number of instances that were known at once, with
    /// this one.
    pub(crate) fn max_known(&self) -> usize {
        self.table.lock().max_known
    }

    /// Returns the divisor for a limit that all instances share and that must
    /// hold even right after the start of this instance.
    pub(crate) fn conservative_divisor(&self, now: Duration) -> Divisor {
        conservative_divisor(self.table.lock().max_known, now)
    }

    /// Returns the divisor for a limit that the instances of one region share
    /// and that must hold even right after the start of this instance.
    pub(crate) fn conservative_divisor_in(&self, region: &Region, now: Duration) -> Divisor {
        let table = self.table.lock();
        conservative_divisor(
            table.max_known_by_region.get(region).copied().unwrap_or(1),
            now,
        )
    }
}
