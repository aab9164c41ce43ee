//! What is known of one instance.

use std::time::Duration;

use super::Profile;
use super::Status;
use super::Word;
use crate::names::Instance;

/// Digests that carry a change.
const NEWS_ROUNDS: u32 = 16;

/// What is known of an instance.
///
/// # Invariants
///
/// `incarnation` never falls; while it stays, neither `status` nor
/// `config_version` falls. Times are on the local monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Incarnation.
    pub incarnation: u64,
    /// Status of the incarnation.
    pub status: Status,
    /// Configuration version, as last heard.
    pub config_version: u64,
    /// Where it is.
    pub profile: Profile,
    /// When it last spoke to this instance.
    pub heard: Duration,
    /// When incarnation or status last changed.
    pub(super) changed: Duration,
    /// Heartbeats to it in a row that had no answer.
    pub(super) misses: u32,
    /// Digests that still carry the change.
    pub(super) news: u32,
}

impl Member {
    pub(super) fn new(word: &Word, profile: Profile, changed: Duration) -> Self {
        Self {
            incarnation: word.incarnation,
            status: word.status,
            config_version: word.config_version,
            profile,
            heard: Duration::ZERO,
            changed,
            misses: 0,
            news: 0,
        }
    }

    pub(super) fn word(&self, instance: &Instance, with_profile: bool) -> Word {
        Word {
            instance: instance.clone(),
            incarnation: self.incarnation,
            status: self.status,
            config_version: self.config_version,
            profile: with_profile.then(|| self.profile.clone()),
        }
    }

    /// Joins a word on the same instance; true if it changed what others
    /// should know.
    pub(super) fn join(&mut self, word: &Word, now: Duration) -> bool {
        if word.incarnation < self.incarnation {
            return false;
        }
        let renewed = word.incarnation > self.incarnation;
        let risen = word.status > self.status;
        if renewed {
            self.incarnation = word.incarnation;
            self.status = word.status;
            self.config_version = word.config_version;
            self.profile = word.profile.clone().unwrap_or_else(|| self.profile.clone());
        }
        self.status = self.status.max(word.status);
        self.config_version = self.config_version.max(word.config_version);
        if renewed || risen {
            self.changed = now;
            self.misses = 0;
        }
        renewed || risen
    }

    pub(super) fn raise(&mut self, status: Status, now: Duration) {
        self.status = self.status.max(status);
        self.changed = now;
        self.tell();
    }

    /// Has the next digests carry the member.
    pub(super) fn tell(&mut self) {
        self.news = NEWS_ROUNDS;
    }

    pub(super) fn is_up(&self) -> bool {
        self.status < Status::Suspect
    }
}
