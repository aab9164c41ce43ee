//! The table of the other instances.

use std::collections::HashMap;
use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::tables::RecentSet;

use super::MemberRecord;
use super::MemberState;

/// Time without a record update or status message after which an instance no
/// longer counts as ready.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of ended incarnations that are remembered.
const MAX_REPLACED: usize = 4096;

#[derive(Debug)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    pub(super) revision: StoreRevision,
    pub(super) record_received_at: Duration,
    pub(super) last_status_at: Option<Duration>,
    /// Whether the last status message said that the instance is ready; true
    /// before the first message of the process.
    pub(super) is_ready_by_status: bool,
    /// Whether the last status message said that the instance reaches no target
    /// of its region.
    pub(super) is_cut_off: bool,
    /// Whether the record is still in the store.
    pub(super) is_record_in_store: bool,
}

impl Member {
    /// Returns the time of the last record update or status message.
    pub(super) fn last_seen(&self) -> Duration {
        self.last_status_at
            .unwrap_or_default()
            .max(self.record_received_at)
    }
}

/// The other instances by name.
///
/// # Invariants
///
/// A member without a record is kept only while it sends status messages.
/// `max_known` and `max_known_by_region` never shrink: an instance that is no
/// longer known may still use its share of a limit, so the shares of the others
/// must not grow.
#[derive(Debug)]
pub(super) struct MemberTable {
    pub(super) members: HashMap<Instance, Member>,
    pub(super) max_known: usize,
    pub(super) max_known_by_region: HashMap<Region, usize>,
    /// Incarnations of the instances that were removed. A record of one of them
    /// is no sign of life, as an older copy of the store may bring it back.
    pub(super) removed: HashMap<Instance, u64>,
    /// Incarnations that ended, as another of the same name followed. Only an
    /// older copy of the store has a record of one of them.
    pub(super) replaced: RecentSet<u64>,
    /// Up to when the silence of an instance counts, as others are heard
    /// through a hub that may be silent itself.
    pub(super) informed_at: Duration,
}

impl Default for MemberTable {
    fn default() -> Self {
        Self {
            members: HashMap::new(),
            max_known: 0,
            max_known_by_region: HashMap::new(),
            removed: HashMap::new(),
            replaced: RecentSet::new(MAX_REPLACED),
            informed_at: Duration::ZERO,
        }
    }
}

impl MemberTable {
    pub(super) fn is_ready(&self, member: &Member, now: Duration) -> bool {
        member.record.state == MemberState::Ready
            && member.is_ready_by_status
            && member.last_seen() + SILENCE_TIMEOUT > now.min(self.informed_at)
    }

    /// Lists the other instances in a region that are ready and reach its targets.
    pub(super) fn list_reaching_in(&self, region: &Region, now: Duration) -> Vec<Instance> {
        let members = self.members.values();
        let reaching = members.filter(|member| self.is_ready(member, now) && !member.is_cut_off);
        let in_region = reaching.filter(|member| member.record.region == *region);
        in_region
            .map(|member| member.record.instance.clone())
            .collect()
    }

    /// Returns when the process of a record was last known to run, apart from
    /// its status messages. `now` is when the record was read.
    ///
    /// Only the first reading of a process's record is a sign of life. A listing,
    /// an older copy of the store or a late write may repeat it after the process
    /// has ended.
    pub(super) fn last_sign_of_life(&self, record: &MemberRecord, now: Duration) -> Duration {
        if self.removed.get(&record.instance) == Some(&record.incarnation) {
            return Duration::ZERO;
        }
        let known = self.members.get(&record.instance);
        known
            .filter(|known| known.record.incarnation == record.incarnation)
            .map_or(now, |known| known.record_received_at)
    }

    pub(super) fn update_max_known(&mut self, own: &Region) {
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
