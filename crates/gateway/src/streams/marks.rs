//! Marks in the store of the software that pools have or had lately. An
//! instance that starts learns from them of targets that have left.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::streams::MarkChange;
use chiverelay_decisions::streams::MarkStep;
use chiverelay_decisions::streams::MarkTurn;
use chiverelay_decisions::streams::PoolSoftware;

use crate::Dialect;
use crate::Gateway;
use crate::members::SETTLING_TIME;

/// Longest time between two looks at the software of the targets on record, well
/// below the time for which software counts after its last target has left.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time for which a new stream waits for a mark of its pool's only
/// software.
const MAX_MARK_WAIT: Duration = Duration::from_millis(300);

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Waits until a change of the marks in the store is due, and returns it.
    /// The caller reports what came of it by [`Gateway::record_software_mark`]
    /// or [`Gateway::remove_software_mark`].
    pub async fn next_mark_change(self: &Arc<Self>) -> MarkChange {
        loop {
            let changed = self.software_changed.notified();
            let now = self.clock.now();
            self.observe_software(now);
            let wait = match self.next_mark_step(now) {
                MarkStep::Due(change) => return change,
                MarkStep::WaitUntil(at) => at.saturating_sub(now).min(OBSERVE_INTERVAL),
                MarkStep::Wait => OBSERVE_INTERVAL,
            };
            // A timeout is one more reason to look again.
            let _ = tokio::time::timeout(wait, changed).await;
        }
    }

    fn next_mark_step(&self, now: Duration) -> MarkStep {
        if !self.listings.targets.load(Ordering::Relaxed) {
            return MarkStep::Wait;
        }
        let Some(current) = self.tables.current_catalog() else {
            return MarkStep::Wait;
        };
        let mut streams = self.tables.streams.lock();
        streams.software.next_mark_step(
            |pool| current.catalog.has_resumable_streams(pool),
            |software| self.mark_turn(software, now),
            now,
        )
    }

    fn mark_turn(&self, software: &PoolSoftware, now: Duration) -> MarkTurn {
        // Right after the start too few instances are known to take turns.
        if now < SETTLING_TIME {
            return MarkTurn::after_start(self.members.max_known(), self.members.own_incarnation());
        }
        MarkTurn::Rank(self.members.rank_in_region(software.software.as_str(), now))
    }

    /// Lists the software of a pool with resumable streams that has no mark yet.
    /// New streams avoid it: those that start after all instances were killed
    /// would not know of it.
    pub(crate) fn software_awaiting_mark(
        &self,
        pool: &Pool,
        now: Duration,
    ) -> Vec<SoftwareVersion> {
        let awaiting = self.tables.streams.lock().software.awaiting_mark(pool, now);
        if awaiting.is_empty() {
            return awaiting;
        }
        let current = self.tables.current_catalog();
        match current.is_some_and(|current| current.catalog.has_resumable_streams(pool)) {
            true => awaiting,
            false => Vec::new(),
        }
    }

    /// Waits until the pool has a target of marked software, for at most
    /// [`MAX_MARK_WAIT`] and half of the time to the deadline. Right after the
    /// start of all instances that takes one write, which costs callers less than
    /// a stream that can't be resumed.
    pub(super) async fn wait_for_marked_software(&self, pool: &Pool, deadline: Duration) {
        let left = deadline.saturating_sub(self.clock.now());
        let waiting = async {
            loop {
                let marked = self.software_marked.notified();
                if !self.has_only_unmarked_targets(pool) {
                    return;
                }
                marked.await;
            }
        };
        // A stream begins without a mark rather than late.
        let _ = tokio::time::timeout(MAX_MARK_WAIT.min(left / 2), waiting).await;
    }

    fn has_only_unmarked_targets(&self, pool: &Pool) -> bool {
        let awaiting = self.software_awaiting_mark(pool, self.clock.now());
        if awaiting.is_empty() {
            return false;
        }
        let fleet = self.tables.fleet.lock();
        let mut targets = fleet.usable_targets(pool);
        targets.all(|(_, known)| awaiting.contains(&known.record.software))
    }

    /// Records the software of all targets on record. If some is new, the streams
    /// that began here are told to others, as their pool may have several versions
    /// from now on.
    pub(crate) fn observe_software(self: &Arc<Self>, now: Duration) {
        let mut on_record = self.tables.fleet.lock().list_software();
        let mut streams = self.tables.streams.lock();
        on_record.retain(|software| streams.software.observe(software, now));
        drop(streams);
        for software in &on_record {
            self.handle_new_software(software);
        }
    }

    /// Records the software of a target whose record was read.
    pub(crate) fn observe_target(self: &Arc<Self>, target: &Target, now: Duration) {
        let fleet = self.tables.fleet.lock();
        let Some(software) = fleet.get(target).map(|known| known.record.pool_software()) else {
            return;
        };
        drop(fleet);
        if self.tables.streams.lock().software.observe(&software, now) {
            self.handle_new_software(&software);
        }
    }

    /// Records a mark in the store.
    pub fn record_software_mark(self: &Arc<Self>, software: PoolSoftware) {
        let now = self.clock.now();
        let mut streams = self.tables.streams.lock();
        let is_new = streams.software.record_mark(software.clone(), now);
        drop(streams);
        self.software_marked.notify_waiters();
        if is_new {
            self.handle_new_software(&software);
        }
    }

    /// Records that the store has no mark of the software any more.
    pub fn remove_software_mark(&self, software: &PoolSoftware) {
        let now = self.clock.now();
        let mut streams = self.tables.streams.lock();
        streams.software.record_unmarked(software, now);
        drop(streams);
        self.software_changed.notify_one();
    }

    /// Applies a complete listing of the marks.
    pub(crate) fn reconcile_software_marks(self: &Arc<Self>, listed: &HashSet<PoolSoftware>) {
        let now = self.clock.now();
        let mut streams = self.tables.streams.lock();
        let new = streams.software.reconcile_marks(listed, now);
        streams.marks_read_at = Some(now);
        drop(streams);
        self.software_marked.notify_waiters();
        for software in &new {
            self.handle_new_software(software);
        }
        self.software_changed.notify_one();
    }

    pub(super) fn handle_new_software(self: &Arc<Self>, software: &PoolSoftware) {
        log::info!(
            target: "streams",
            pool = software.pool.as_str(),
            software = software.software.as_str();
            "pool has new software"
        );
        self.tell_all_streams(&software.pool);
        self.software_changed.notify_one();
    }
}
