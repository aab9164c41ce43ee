//! Pauses that targets ask for when they turn requests away.
//!
//! A pause binds the one instance that was asked. It ends by itself, or with
//! the target's process.

use std::time::Duration;

use super::Traffic;
use crate::names::Target;

/// Longest pause that a target is granted.
const MAX_PAUSE: Duration = Duration::from_secs(300);

impl Traffic {
    /// Records that a target wants no requests from this instance for some
    /// time. A shorter pause never ends a longer one. Returns whether the
    /// target was not paused before.
    pub fn record_pause(&mut self, target: &Target, pause: Duration, now: Duration) -> bool {
        self.paused_until.retain(|_, until| *until > now);
        let until = now + pause.min(MAX_PAUSE);
        let known = self.paused_until.entry(target.clone()).or_default();
        let is_new = *known <= now;
        *known = until.max(*known);
        is_new && until > now
    }

    /// Returns how much longer a target wants no requests from this instance;
    /// `None` if it takes them.
    pub fn pause_left(&self, target: &Target, now: Duration) -> Option<Duration> {
        let left = self.paused_until.get(target)?.checked_sub(now)?;
        (!left.is_zero()).then_some(left)
    }
}
