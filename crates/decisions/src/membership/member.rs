//! What is known of one instance.

use std::time::Duration;

use super::Profile;
use super::Status;
use super::Word;
use super::life::Event;
use super::life::Life;
use crate::names::Instance;

/// Digests that carry a change.
const NEWS_ROUNDS: u32 = 8;

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
    pub heard: Duration,
    /// Digests that still carry the change.
    pub(super) news: u32,
}

impl Member {
    pub(super) fn new(word: &Word, profile: Profile, changed: Duration) -> Self {
        Self {
            life: Life::new(word.incarnation, word.status, changed),
            config_version: word.config_version,
            profile,
            heard: Duration::ZERO,
            news: 0,
        }
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> u64 {
        self.life.incarnation()
    }

    /// Returns the status of the incarnation.
    pub fn status(&self) -> Status {
        self.life.status()
    }

    /// Returns the word on the member. Where it is matters only while it is up;
    /// who doesn't know one that is not has nothing to learn.
    pub(super) fn word(&self, instance: &Instance) -> Word {
        Word {
            instance: instance.clone(),
            incarnation: self.incarnation(),
            status: self.status(),
            config_version: self.config_version,
            profile: self.is_up().then(|| self.profile.clone()),
        }
    }

    /// Joins a word on the same instance; true if it changed what others
    /// should know.
    pub(super) fn join(&mut self, word: &Word, now: Duration) -> bool {
        if word.incarnation < self.incarnation() {
            return false;
        }
        if word.incarnation > self.incarnation() {
            self.config_version = 0;
            self.profile = word.profile.clone().unwrap_or_else(|| self.profile.clone());
        }
        self.config_version = self.config_version.max(word.config_version);
        self.life.handle(Event::Told {
            incarnation: word.incarnation,
            status: word.status,
            at: now,
        })
    }

    /// Takes note of an event, and has the next digests carry what it changed.
    pub(super) fn handle(&mut self, event: Event) {
        if self.life.handle(event) {
            self.tell();
        }
    }

    /// Has the next digests carry the member.
    pub(super) fn tell(&mut self) {
        self.news = NEWS_ROUNDS;
    }

    pub(super) fn is_up(&self) -> bool {
        self.status() < Status::Suspect
    }
}
