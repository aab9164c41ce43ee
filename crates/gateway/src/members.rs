//! The instances of the gateway, as the store's records and the instances'
//! own words tell of them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::window::Divisor;
use chiverelay_sibling::Pins;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

/// Time without a word after which an instance is not named to callers.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after the start in which the other instances may not be known yet, as
/// they may have started at the same moment.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Divides a bound between so many instances, or more while that may be wrong.
fn conservative_divisor(max_known: usize, now: Duration) -> Divisor {
    match now < SETTLING_TIME {
        true => Divisor::for_unknown_count(max_known),
        false => Divisor::new(max_known),
    }
}

/// How far an instance is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It does not take requests yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It takes no new requests and will stop.
    Leaving,
}

/// An instance's record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance.
    pub instance: Instance,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the other instances connect.
    pub siblings: SocketAddr,
    /// Digest of the certificate that it shows to the other instances.
    pub certificate: String,
    /// Names its process.
    pub incarnation: u64,
    /// How far it is in its life.
    pub state: MemberState,
}

#[derive(Debug)]
struct Member {
    record: MemberRecord,
    revision: u64,
    record_received_at: Duration,
    last_status_at: Option<Duration>,
    is_reported_ready: bool,
    has_record: bool,
}

impl Member {
    /// Returns when there was last a sign of the instance.
    fn last_seen(&self) -> Duration {
        self.last_status_at
            .unwrap_or_default()
            .max(self.record_received_at)
    }

    fn is_ready(&self, now: Duration) -> bool {
        self.record.state == MemberState::Ready
            && self.is_reported_ready
            && self.last_seen() + SILENCE_TIMEOUT > now
    }
}

/// What is known of the other instances, summed up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MembersSummary {
    /// Those with a record or a voice.
    pub(crate) known: usize,
    /// Those that take requests.
    pub(crate) ready: usize,
    /// Longest time since a sign of one of these.
    pub(crate) max_silence: Duration,
}

/// The other instances by name.
///
/// # Invariants
///
/// A member without a record is kept only as long as it is heard. `most` and
/// `most_of` never shrink, so that no part of a bound grows while an instance
/// that is not known any more may still use its own.
#[derive(Debug, Default)]
struct MemberTable {
    members: HashMap<Instance, Member>,
    max_known: usize,
    max_known_by_region: HashMap<Region, usize>,
}

impl MemberTable {
    fn update_max_known(&mut self, own: &Region) {
        self.max_known = self.max_known.max(self.members.len() + 1);
        let mut regions: HashMap<&Region, usize> = HashMap::from([(own, 1)]);
        for member in self.members.values() {
            *regions.entry(&member.record.region).or_default() += 1;
        }
        for (region, count) in regions {
            let known = self.max_known_by_region.entry(region.clone()).or_default();
            *known = count.max(*known);
        }
    }
}

/// The instances of the gateway.
#[derive(Debug)]
pub(crate) struct Members {
    state: RankedMutex<MemberTable>,
    pins: Pins,
    own: watch::Sender<MemberRecord>,
}

impl Members {
    pub(crate) fn new(own: MemberRecord, pins: Pins) -> Self {
        pins.set(&own.instance, &own.certificate);
        Self {
            state: RankedMutex::new(LockRank::Members, MemberTable::default()),
            pins,
            own: watch::Sender::new(own),
        }
    }

    /// Returns this instance's own record, as it changes.
    pub(crate) fn watch_own_record(&self) -> watch::Receiver<MemberRecord> {
        self.own.subscribe()
    }

    /// Returns how far this instance is in its life.
    pub(crate) fn own_state(&self) -> MemberState {
        self.own.borrow().state
    }

    /// Waits until this instance takes requests, for at most `time`.
    pub(crate) async fn wait_until_started(&self, time: Duration) {
        let mut own = self.own.subscribe();
        let started = own.wait_for(|own| own.state != MemberState::Starting);
        if tokio::time::timeout(time, started).await.is_err() {
            log::debug!(target: "members", "not started in time");
        }
    }

    /// Changes how far this instance is in its life.
    pub(crate) fn set_own_state(&self, state: MemberState) {
        self.own.send_if_modified(|own| {
            let changes = own.state != state && own.state != MemberState::Leaving;
            if changes {
                own.state = state;
            }
            changes
        });
    }

    /// Takes an instance's record.
    pub(crate) fn put_record(&self, record: MemberRecord, revision: u64, now: Duration) {
        let own = self.own.borrow().clone();
        if record.instance == own.instance {
            return;
        }
        let mut state = self.state.lock();
        if let Some(old) = state.members.get_mut(&record.instance) {
            if revision < old.revision {
                return;
            }
            if old.record.incarnation != record.incarnation {
                old.last_status_at = None;
                old.is_reported_ready = true;
            }
        }
        self.pins.set(&record.instance, &record.certificate);
        log::info!(
            target: "members",
            instance = record.instance.as_str(),
            state:? = record.state,
            incarnation = record.incarnation,
            revision;
            "instance record"
        );
        let old = state.members.remove(&record.instance);
        let member = Member {
            revision,
            record_received_at: now,
            last_status_at: old.as_ref().and_then(|old| old.last_status_at),
            is_reported_ready: old.as_ref().is_none_or(|old| old.is_reported_ready),
            has_record: true,
            record,
        };
        let name = member.record.instance.clone();
        state.members.insert(name, member);
        state.update_max_known(&own.region);
    }

    /// Takes the word that an instance has no record any more.
    pub(crate) fn remove_record(&self, name: &Instance) {
        let mut state = self.state.lock();
        if let Some(member) = state.members.get_mut(name) {
            member.has_record = false;
            log::info!(target: "members", instance = name.as_str(); "instance has no record");
        }
    }

    /// Takes a whole listing: instances that it lacks have no record.
    pub(crate) fn reconcile_records(&self, listed: &HashSet<Instance>) {
        let state = self.state.lock();
        let missing = |(name, member): (&Instance, &Member)| {
            (member.has_record && !listed.contains(name)).then(|| name.clone())
        };
        let missing: Vec<_> = state.members.iter().filter_map(missing).collect();
        drop(state);
        for name in missing {
            self.remove_record(&name);
        }
    }

    /// Takes a word of an instance itself; false if it is of another process
    /// than the one in the record.
    pub(crate) fn record_status(
        &self,
        from: &Instance,
        incarnation: u64,
        ready: bool,
        now: Duration,
    ) -> bool {
        let mut state = self.state.lock();
        let Some(member) = state.members.get_mut(from) else {
            return false;
        };
        if member.record.incarnation != incarnation {
            return false;
        }
        member.last_status_at = Some(now);
        member.is_reported_ready = ready;
        true
    }

    /// Drops the instances that have neither a record nor a voice, and returns
    /// their names.
    pub(crate) fn remove_expired(&self, now: Duration) -> Vec<Instance> {
        let mut state = self.state.lock();
        let is_expired =
            |member: &Member| !member.has_record && member.last_seen() + SILENCE_TIMEOUT <= now;
        let gone = |(name, member): (&Instance, &Member)| is_expired(member).then(|| name.clone());
        let gone: Vec<_> = state.members.iter().filter_map(gone).collect();
        for name in &gone {
            state.members.remove(name);
            self.pins.remove(name);
        }
        gone
    }

    /// Lists the instances to keep a link to.
    pub(crate) fn list_others(&self) -> Vec<MemberRecord> {
        let state = self.state.lock();
        state.members.values().map(|m| m.record.clone()).collect()
    }

    /// Lists the instances of a region that take requests.
    pub(crate) fn list_ready_in(&self, region: &Region, now: Duration) -> Vec<Instance> {
        let state = self.state.lock();
        let ready = state.members.values().filter(|m| m.is_ready(now));
        let here = ready.filter(|m| m.record.region == *region);
        here.map(|m| m.record.instance.clone()).collect()
    }

    /// Sums up what is known of the others.
    pub(crate) fn summarize(&self, now: Duration) -> MembersSummary {
        let state = self.state.lock();
        let ready = state.members.values().filter(|m| m.is_ready(now));
        let ages: Vec<_> = ready
            .map(|member| now.saturating_sub(member.last_seen()))
            .collect();
        MembersSummary {
            known: state.members.len(),
            ready: ages.len(),
            max_silence: ages.into_iter().max().unwrap_or_default(),
        }
    }

    /// Divides a bound between all instances.
    pub(crate) fn divisor(&self) -> Divisor {
        Divisor::new(self.state.lock().max_known)
    }

    /// Divides a bound between all instances that no instance may overrun even
    /// right after its start.
    pub(crate) fn conservative_divisor(&self, now: Duration) -> Divisor {
        conservative_divisor(self.state.lock().max_known, now)
    }

    /// Divides such a bound between the instances of a region.
    pub(crate) fn conservative_divisor_in(&self, region: &Region, now: Duration) -> Divisor {
        let state = self.state.lock();
        conservative_divisor(
            state.max_known_by_region.get(region).copied().unwrap_or(1),
            now,
        )
    }

    /// Lists where a caller of a zone may connect: ready instances of its
    /// zone, else of its region, else of the regions that bar the fewest of
    /// the routes that it may ask for.
    pub(crate) fn nearest_ready<F>(
        &self,
        zone: &Zone,
        region: &Region,
        count_barred: F,
        now: Duration,
    ) -> Vec<SocketAddr>
    where
        F: Fn(&Region) -> usize,
    {
        let own = self.own.borrow().clone();
        let state = self.state.lock();
        let others = state.members.values().filter(|m| m.is_ready(now));
        let mut ready: Vec<&MemberRecord> = others.map(|m| &m.record).collect();
        if own.state == MemberState::Ready {
            ready.push(&own);
        }
        let distance = |record: &MemberRecord| {
            if record.zone == *zone {
                return 0;
            }
            match record.region == *region {
                true => 1,
                false => 2 + count_barred(&record.region),
            }
        };
        let nearest = ready.iter().map(|record| distance(record)).min();
        let near = ready
            .iter()
            .filter(|record| Some(distance(record)) == nearest);
        near.map(|record| record.callers).collect()
    }
}
