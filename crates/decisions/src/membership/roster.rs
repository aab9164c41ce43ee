//! The member list of one instance.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GossipDigest;
use super::Member;
use super::MemberStatus;
use super::MemberUpdate;
use super::Profile;
use super::life::MemberEvent;
use super::versions::RegionVersions;
use crate::names::Instance;
use crate::names::Region;

/// Time without a message from another region after which its instances receive
/// no work.
pub const REGION_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which a dead instance is remembered, so that an old digest does not
/// bring it back.
const DEAD_RETENTION: Duration = Duration::from_secs(3600);

/// Gap between two ticks above which this process is considered to have been
/// paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(4);

/// The member list of one instance.
///
/// # Invariants
///
/// `own` is not among `members`.
#[derive(Clone, Debug)]
pub struct Roster {
    pub(super) own: MemberUpdate,
    pub(super) own_region: Region,
    pub(super) members: BTreeMap<Instance, Member>,
    pub(super) regions_heard_at: BTreeMap<Region, Duration>,
    pub(super) ticks: u64,
    last_tick: Duration,
    /// For each region, the tick in which this instance last asked for the
    /// members that differ.
    pub(super) last_sync_ticks: BTreeMap<Region, u64>,
    pub(super) region_versions: RegionVersions,
}

impl Roster {
    /// Creates a member list that contains only this instance.
    pub fn new(instance: Instance, incarnation: u64, profile: Profile) -> Self {
        Self {
            own_region: profile.region.clone(),
            own: MemberUpdate {
                instance,
                incarnation,
                status: MemberStatus::Starting,
                config_version: 0,
                profile: Some(profile),
            },
            members: BTreeMap::new(),
            regions_heard_at: BTreeMap::new(),
            ticks: 0,
            last_tick: Duration::ZERO,
            last_sync_ticks: BTreeMap::new(),
            region_versions: RegionVersions::default(),
        }
    }

    /// Returns the update that describes this instance.
    pub fn own_update(&self) -> &MemberUpdate {
        &self.own
    }

    /// Returns all other known instances, including dead ones.
    pub fn members(&self) -> &BTreeMap<Instance, Member> {
        &self.members
    }

    /// Sets this instance's status and configuration version. The status never
    /// goes back to a lower value.
    pub fn set_own(&mut self, status: MemberStatus, config_version: u64) {
        self.own.status = self.own.status.max(status);
        self.own.config_version = config_version;
    }

    /// Starts a new incarnation, e.g. after a lease expired, and returns it.
    /// `wall` is the wall clock time since the epoch.
    pub fn reincarnate(&mut self, wall: Duration) -> u64 {
        self.own.incarnation = (wall.as_millis() as u64).max(self.own.incarnation + 1);
        self.own.incarnation
    }

    /// Returns true if a member is serving and reachable, so that it may
    /// receive work.
    pub fn is_live(&self, member: &Member, now: Duration) -> bool {
        member.status() == MemberStatus::Serving && self.is_reachable(member, now)
    }

    /// Returns true if a member is up and, if it is in another region, that
    /// region was heard from recently.
    pub fn is_reachable(&self, member: &Member, now: Duration) -> bool {
        let region = &member.profile.region;
        if !member.is_up() || *region == self.own_region {
            return member.is_up();
        }
        let heard_at = self
            .regions_heard_at
            .get(region)
            .copied()
            .unwrap_or_default();
        heard_at + REGION_TIMEOUT > now
    }

    /// Merges a digest. `from` is the instance that sent it, or `None` if the
    /// information comes from elsewhere, such as a record in the store.
    pub fn apply_digest(&mut self, from: Option<&Instance>, digest: &GossipDigest, now: Duration) {
        for update in &digest.updates {
            self.apply_update(update, from.is_some(), now);
        }
        for region in &digest.regions {
            let age = Duration::from_millis(region.age_ms);
            self.record_region_heard(&region.region, now.saturating_sub(age));
        }
        digest
            .versions
            .iter()
            .for_each(|v| self.apply_region_version(v));
        let Some(sender) = from.and_then(|name| self.members.get_mut(name)) else {
            return;
        };
        sender.last_heard = now;
        sender.handle(MemberEvent::MessageReceived);
        let region = sender.profile.region.clone();
        self.record_region_heard(&region, now);
    }

    fn record_region_heard(&mut self, region: &Region, at: Duration) {
        if *region == self.own_region {
            return;
        }
        let heard_at = self.regions_heard_at.entry(region.clone()).or_insert(at);
        *heard_at = at.max(*heard_at);
    }

    /// Merges an update. A change is sent on only if it arrived as gossip.
    fn apply_update(&mut self, update: &MemberUpdate, is_gossip: bool, now: Duration) {
        if update.instance == self.own.instance {
            self.refute(update);
            return;
        }
        let changed = match self.members.get_mut(&update.instance) {
            Some(member) => member.merge(update, now),
            None => {
                // An update about an unknown instance is ignored until one
                // arrives that contains the profile.
                let Some(profile) = update.profile.clone() else {
                    return;
                };
                // A change from elsewhere does not count as recent, because
                // recent changes are sent to other regions.
                let changed = if is_gossip { now } else { Duration::ZERO };
                let member = Member::new(update, profile, changed);
                self.members.insert(update.instance.clone(), member);
                true
            }
        };
        if let Some(member) = self.members.get_mut(&update.instance)
            && changed
            && is_gossip
        {
            member.schedule_gossip();
        }
    }

    /// Refutes an update about this instance that calls it suspect or dead, or
    /// that belongs to another process of the same name, by raising the
    /// incarnation above it.
    fn refute(&mut self, update: &MemberUpdate) {
        let own = &mut self.own;
        let claims_higher_status =
            update.incarnation == own.incarnation && update.status > own.status;
        if update.incarnation > own.incarnation || claims_higher_status {
            own.incarnation = update.incarnation + 1;
        }
    }

    /// Records that a member did not answer a heartbeat. Only members of this
    /// region can become suspect in this way.
    pub fn record_missed_heartbeat(&mut self, name: &Instance, now: Duration) {
        let member = self.members.get_mut(name);
        if let Some(member) = member.filter(|m| m.profile.region == self.own_region) {
            member.handle(MemberEvent::HeartbeatMissed { at: now });
        }
    }

    /// Advances the time: suspects that have not refuted the suspicion in time
    /// become dead, and members that have been dead for long are removed. The
    /// time for which this process was paused does not count against the
    /// members.
    pub fn tick(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        self.ticks += 1;
        if gap > PAUSE_THRESHOLD {
            let members = self.members.values_mut();
            members.for_each(|m| m.handle(MemberEvent::ProcessPaused { gap }));
            self.regions_heard_at
                .values_mut()
                .for_each(|heard_at| *heard_at += gap);
        }
        let members = self.members.values_mut();
        members.for_each(|m| m.handle(MemberEvent::Tick { now }));
        self.members.retain(|_, m| {
            m.status() != MemberStatus::Dead || m.life.changed_at() + DEAD_RETENTION > now
        });
        self.reapply_versions();
    }
}
