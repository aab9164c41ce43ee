//! How far this instance is behind the others in what it knows of the store,
//! shared by the tasks that read, ask and report.

use std::collections::HashMap;
use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::store_lag::StoreLag;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use tokio::sync::Notify;

use crate::Clock;

/// The lag of this instance.
#[derive(Debug)]
pub(crate) struct SharedStoreLag {
    state: RankedMutex<State>,
    /// Notified when the lag of what this instance has read has grown.
    read_changed: Notify,
    /// Notified when the lag of what this instance knows has grown.
    known_changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Lag of what this instance has read from the store.
    read: StoreLag,
    /// Lag of what it knows from the store or from other instances.
    known: StoreLag,
    /// Up to where each other instance last said that it knows all changes.
    reported: HashMap<Instance, StoreRevision>,
}

impl Default for SharedStoreLag {
    fn default() -> Self {
        Self {
            state: RankedMutex::new(LockRank::StoreLag, State::default()),
            read_changed: Notify::new(),
            known_changed: Notify::new(),
        }
    }
}

impl SharedStoreLag {
    /// Returns the revision up to which this instance has read all changes.
    pub(crate) fn read_revision(&self) -> StoreRevision {
        self.state.lock().read.own()
    }

    /// Returns the revision up to which this instance knows all changes that its
    /// region depends on, as it has read them or was told of them.
    pub(crate) fn known_revision(&self) -> StoreRevision {
        self.state.lock().known.own()
    }

    /// Returns for how long others have read changes that this instance has not;
    /// zero if it has read all that they have.
    pub(crate) fn read_behind_for(&self, now: Duration) -> Duration {
        self.state.lock().read.behind_for(now)
    }

    /// Records the revision up to which this instance has read all changes.
    pub(crate) fn record_read(&self, revision: StoreRevision) {
        let mut state = self.state.lock();
        state.read.record_own(revision);
        state.known.record_own(revision);
    }

    /// Records the revision up to which another instance has told this one of
    /// all changes.
    pub(crate) fn record_told(&self, revision: StoreRevision) {
        self.state.lock().known.record_own(revision);
    }

    /// Records the revisions up to which another instance has `read` all changes,
    /// and up to which it has `known` those that this region depends on.
    pub(crate) fn record_reported(
        &self,
        from: &Instance,
        read: StoreRevision,
        known: StoreRevision,
        now: Duration,
    ) {
        let mut state = self.state.lock();
        state.reported.insert(from.clone(), known);
        let (read, known) = (
            state.read.record_reported(read, now),
            state.known.record_reported(known, now),
        );
        drop(state);
        if read {
            self.read_changed.notify_one();
        }
        if known {
            self.known_changed.notify_one();
        }
    }

    /// Forgets what an instance reported.
    pub(crate) fn forget(&self, name: &Instance) {
        self.state.lock().reported.remove(name);
    }

    /// Tells whether an instance knows changes that this one does not.
    pub(crate) fn is_ahead(&self, name: &Instance) -> bool {
        let state = self.state.lock();
        let reported = state.reported.get(name);
        reported.is_some_and(|revision| *revision > state.known.own())
    }

    /// Waits until this instance has not read changes of the store for too long.
    pub(crate) async fn wait_until_read_overdue(&self, clock: Clock) {
        loop {
            let overdue_at = self.state.lock().read.overdue_at();
            let Some(at) = overdue_at else {
                self.read_changed.notified().await;
                continue;
            };
            let left = at.saturating_sub(clock.now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }

    /// Waits until another instance knows changes that this one does not, and returns when they are overdue.
    pub(crate) async fn wait_until_unknown(&self) -> Duration {
        loop {
            let overdue_at = self.state.lock().known.overdue_at();
            if let Some(at) = overdue_at {
                return at;
            }
            self.known_changed.notified().await;
        }
    }

    /// Tells whether this instance still does not know the changes that were
    /// overdue at a time.
    pub(crate) fn is_behind_since(&self, overdue_at: Duration) -> bool {
        self.state.lock().known.overdue_at() == Some(overdue_at)
    }
}
