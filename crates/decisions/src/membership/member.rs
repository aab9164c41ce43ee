//! What is known of one instance.

use std::time::Duration;

use super::MemberStatus;
use super::MemberUpdate;
use super::Profile;
use super::life::Life;
use super::life::MemberEvent;
use crate::names::Instance;

/// Digests that carry a change.
const GOSSIP_ROUNDS: u32 = 8;

/// What is known of an instance.
///
/// # Invariants
///
/// `config_version` does not fall while the incarnation stays. Times are on
/// the local monotonic clock.
#[derive(Clone, Debug)]
pub struct Member {
    pub(super) life: Life,
    /// Configuration version, as last heard.
    pub config_version: u64,
    /// Where it is.
    pub profile: Profile,
    /// When it last spoke to this instance.
    pub last_heard: Duration,
    /// Digests that still carry the change.
    pub(super) gossip_rounds_left: u32,
}

impl Member {
    pub(super) fn new(update: &MemberUpdate, profile: Profile, changed: Duration) -> Self {
        Self {
            life: Life::new(update.incarnation, update.status, changed),
            config_version: update.config_version,
            profile,
            last_heard: Duration::ZERO,
            gossip_rounds_left: 0,
        }
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> u64 {
        self.life.incarnation()
    }

    /// Returns the status of the incarnation.
    pub fn status(&self) -> MemberStatus {
        self.life.status()
    }

    /// Returns the word on the member. Where it is matters only while it is up;
    /// who doesn't know one that is not has nothing to learn.
    pub(super) fn to_update(&self, instance: &Instance) -> MemberUpdate {
        MemberUpdate {
            instance: instance.clone(),
            incarnation: self.incarnation(),
            status: self.status(),
            config_version: self.config_version,
            profile: self.is_up().then(|| self.profile.clone()),
        }
    }

    /// Joins a word on the same instance; true if it changed what others
    /// should know.
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

    /// Takes note of an event, and has the next digests carry what it changed.
    pub(super) fn handle(&mut self, event: MemberEvent) {
        if self.life.handle(event) {
            self.schedule_gossip();
        }
    }

    /// Has the next digests carry the member.
    pub(super) fn schedule_gossip(&mut self) {
        self.gossip_rounds_left = GOSSIP_ROUNDS;
    }

    pub(super) fn is_up(&self) -> bool {
        self.status() < MemberStatus::Suspect
    }
}
