//! Remembers targets that departed, so that an outdated record does not bring
//! them back.

use std::collections::HashMap;
use std::time::Duration;

use super::Incarnation;
use crate::names::Target;

/// Time for which the departure of a removed target is remembered, longer than
/// any outdated record is delayed.
const RETENTION: Duration = Duration::from_secs(120);

/// The removed targets that had announced their shutdown.
///
/// # Invariants
///
/// A target that is known to the fleet has no entry.
#[derive(Debug, Default)]
pub(super) struct Departures {
    by_target: HashMap<Target, Departure>,
}

#[derive(Debug)]
struct Departure {
    incarnation: Incarnation,
    at: Duration,
}

impl Departures {
    /// Remembers that an incarnation of a target departed.
    pub(super) fn insert(&mut self, name: &Target, incarnation: Incarnation, now: Duration) {
        self.by_target.retain(|_, old| now < old.at + RETENTION);
        let departure = Departure {
            incarnation,
            at: now,
        };
        self.by_target.insert(name.clone(), departure);
    }

    /// Tells whether this incarnation of a target departed.
    pub(super) fn includes(&self, name: &Target, incarnation: Incarnation) -> bool {
        let departure = self.by_target.get(name);
        departure.is_some_and(|departure| departure.incarnation == incarnation)
    }

    /// Forgets a target, as the fleet knows it again.
    pub(super) fn forget(&mut self, name: &Target) {
        self.by_target.remove(name);
    }
}
