//! The local record of one other instance.

use std::time::Duration;

use super::MemberStatus;
use super::MemberUpdate;
use super::Profile;
use super::life::MemberEvent;
use super::life::MemberLifecycle;
use crate::names::Instance;

/// Number of digests that carry a change of one member.
const DIGESTS_PER_CHANGE: u32 = 8;

/// Information that this instance has about another one.
///
/// # Invariants
///
/// `config_version` does not decrease within an incarnation. Times are on the
/// local monotonic clock.
#[derive(Clone, Debug)]
pub struct Member {
    pub(super) life: MemberLifecycle,
    /// Last reported configuration version.
    pub config_version: u64,
    /// Location and addresses of the instance.
    pub profile: Profile,
    /// Time at which this instance last received a message from the member;
    /// zero if it never did.
    pub last_heard: Duration,
    /// Number of further digests that carry the last change.
    pub(super) digests_left: u32,
}

impl Member {
    pub(super) fn new(update: &MemberUpdate, profile: Profile, changed: Duration) -> Self {
        Self {
            life: MemberLifecycle::new(update.incarnation, update.status, changed),
            config_version: update.config_version,
            profile,
            last_heard: Duration::ZERO,
            digests_left: 0,
        }
    }

    /// Returns the highest known incarnation.
    pub fn incarnation(&self) -> u64 {
        self.life.incarnation()
    }

    /// Returns the status of the incarnation.
    pub fn status(&self) -> MemberStatus {
        self.life.status()
    }

    /// Returns the update that describes the member in a digest. The profile is
    /// included only while the member is up: a receiver that does not know a
    /// suspect or dead member has no use for it.
    pub(super) fn to_update(&self, instance: &Instance) -> MemberUpdate {
        MemberUpdate {
            instance: instance.clone(),
            incarnation: self.incarnation(),
            status: self.status(),
            config_version: self.config_version,
            profile: self.is_up().then(|| self.profile.clone()),
        }
    }

    /// Merges an update about this member. Returns true if the incarnation or
    /// the status changed, so that the change must be gossiped.
    pub(super) fn merge(&mut self, update: &MemberUpdate, now: Duration) -> bool {
        if update.incarnation < self.incarnation() {
            return false;
        }
        if update.incarnation > self.incarnation() {
            self.config_version = 0;
            self.profile = update
                .profile
                .clone()
                .unwrap_or_else(|| self.profile.clone());
        }
        self.config_version = self.config_version.max(update.config_version);
        self.life.handle(MemberEvent::Reported {
            incarnation: update.incarnation,
            status: update.status,
            at: now,
        })
    }

    /// Processes an event, and schedules the gossip of a resulting change.
    pub(super) fn handle(&mut self, event: MemberEvent) {
        if self.life.handle(event) {
            self.schedule_gossip();
        }
    }

    /// Includes the member in the next digests.
    pub(super) fn schedule_gossip(&mut self) {
        self.digests_left = DIGESTS_PER_CHANGE;
    }

    pub(super) fn is_up(&self) -> bool {
        self.status() < MemberStatus::Suspect
    }
}
