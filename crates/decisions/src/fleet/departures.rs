//! Remembers removed targets, so that an outdated record does not bring them
//! back.

use std::collections::HashMap;
use std::time::Duration;

use super::TargetRecord;
use super::record::Incarnation;
use crate::names::Target;
use crate::revision::StoreRevision;

/// Time for which the departure of a removed target is remembered, longer than
/// any outdated record is delayed.
const RETENTION: Duration = Duration::from_secs(120);

/// The removed targets.
///
/// # Invariants
///
/// A target that is known to the fleet has no entry.
#[derive(Debug, Default)]
pub(super) struct Departures {
    by_target: HashMap<Target, Departure>,
}

/// The last record of a removed target.
#[derive(Debug)]
struct Departure {
    incarnation: Incarnation,
    sequence: u64,
    was_draining: bool,
    /// Records of this revision or an older one precede the removal.
    revision: StoreRevision,
    at: Duration,
}

impl Departure {
    /// Tells whether a record was written before the target departed.
    ///
    /// The store's order decides within an era. Between eras only the target's
    /// own count tells a record that it wrote again from an older copy.
    fn outdates(&self, record: &TargetRecord, revision: StoreRevision) -> bool {
        if record.incarnation() != self.incarnation {
            return record.started_ms < self.incarnation.started_ms
                && revision.era > self.revision.era;
        }
        if self.was_draining {
            return true;
        }
        match revision.era > self.revision.era {
            true => record.sequence <= self.sequence,
            false => revision <= self.revision,
        }
    }
}

impl Departures {
    /// Remembers the last record of a target that was removed at `revision` or
    /// later.
    pub(super) fn insert(
        &mut self,
        name: &Target,
        record: &TargetRecord,
        revision: StoreRevision,
        now: Duration,
    ) {
        self.by_target.retain(|_, old| now < old.at + RETENTION);
        let departure = Departure {
            incarnation: record.incarnation(),
            sequence: record.sequence,
            was_draining: record.draining,
            revision,
            at: now,
        };
        self.by_target.insert(name.clone(), departure);
    }

    /// Tells whether a record is of another process than the one that departed.
    pub(super) fn is_restart(&self, name: &Target, record: &TargetRecord) -> bool {
        let departure = self.by_target.get(name);
        departure.is_some_and(|departure| departure.incarnation != record.incarnation())
    }

    /// Tells whether a record was written before the target departed. A later
    /// record ends the departure.
    pub(super) fn outdates(
        &mut self,
        name: &Target,
        record: &TargetRecord,
        revision: StoreRevision,
    ) -> bool {
        let Some(departure) = self.by_target.get_mut(name) else {
            return false;
        };
        if !departure.outdates(record, revision) {
            self.by_target.remove(name);
            return false;
        }
        departure.revision = departure.revision.max(revision);
        true
    }
}
