//! Whether an instance has missed a change in the store that others have read.
//!
//! Nothing tells that the answer of a watch was lost: its connection just stays
//! silent, as it does while nothing changes. An instance that others are ahead
//! of for longer than the store needs to tell all of them must ask again.

use std::time::Duration;

use crate::revision::StoreRevision;

/// Time by which the store may tell one instance of a change later than another
/// one.
pub const MAX_LAG: Duration = Duration::from_millis(500);

/// A revision that another instance has read and this one has not.
#[derive(Clone, Copy, Debug)]
struct Missing {
    revision: StoreRevision,
    /// When it was first reported.
    since: Duration,
}

/// How far an instance is behind the others.
///
/// # Invariants
///
/// The revision of `missing` is later than `own`, and was the latest reported
/// one when it was set.
#[derive(Debug, Default)]
pub struct StoreLag {
    own: StoreRevision,
    missing: Option<Missing>,
}

impl StoreLag {
    /// Returns the revision up to which this instance has read all changes.
    pub fn own(&self) -> StoreRevision {
        self.own
    }

    /// Records the revision up to which this instance has read all changes.
    pub fn record_own(&mut self, revision: StoreRevision) {
        self.own = self.own.max(revision);
        self.missing = self.missing.filter(|missing| missing.revision > self.own);
    }

    /// Records the revision up to which another instance has read all changes.
    /// Returns true if this instance lacks changes from now on.
    pub fn record_reported(&mut self, revision: StoreRevision, now: Duration) -> bool {
        let is_news = self.missing.is_none() && revision > self.own;
        if is_news {
            self.missing = Some(Missing {
                revision,
                since: now,
            });
        }
        is_news
    }

    /// Returns for how long this instance has lacked changes that others have;
    /// zero if it lacks none.
    pub fn behind_for(&self, now: Duration) -> Duration {
        let since = self.missing.map_or(now, |missing| missing.since);
        now.saturating_sub(since)
    }

    /// Returns when the changes that this instance lacks are overdue; `None` if
    /// it lacks none.
    pub fn overdue_at(&self) -> Option<Duration> {
        self.missing.map(|missing| missing.since + MAX_LAG)
    }
}
