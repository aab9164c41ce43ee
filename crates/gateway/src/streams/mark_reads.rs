//! Reads of all marks that lookups of streams wait for. The gateway tells when
//! one is due, and whoever reads the store hands over what it read.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::streams::MarkReads;
use chiverelay_decisions::streams::PoolSoftware;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::Dialect;
use crate::Gateway;

/// A read of all marks that has begun.
#[derive(Debug)]
pub struct MarksRead {
    /// On the local monotonic clock.
    began_at: Duration,
}

/// The reads, shared by lookups and the task that reads.
#[derive(Debug)]
pub(crate) struct SharedMarkReads {
    state: RankedMutex<MarkReads>,
    /// Notified when a read is wanted.
    wanted: Notify,
    /// Notified when a read is complete.
    completed: Notify,
}

impl Default for SharedMarkReads {
    fn default() -> Self {
        Self {
            state: RankedMutex::new(LockRank::MarkReads, MarkReads::default()),
            wanted: Notify::new(),
            completed: Notify::new(),
        }
    }
}

impl SharedMarkReads {
    /// Returns when the latest complete read began.
    pub(super) fn completed(&self) -> Option<Duration> {
        self.state.lock().completed()
    }

    /// Asks for a read that begins at `at` or later.
    pub(super) fn want(&self, at: Duration) {
        self.state.lock().want(at);
        self.wanted.notify_one();
    }

    /// Waits for a complete read that began at `at` or later, until a moment.
    pub(super) async fn wait_for(&self, at: Duration, until: Instant) {
        let waiting = async {
            loop {
                let completed = self.completed.notified();
                if self.completed().is_some_and(|began_at| began_at >= at) {
                    return;
                }
                completed.await;
            }
        };
        // The caller looks at what was read in time.
        let _ = tokio::time::timeout_at(until, waiting).await;
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Waits until all marks in the store are to be read, from this moment on.
    /// The caller hands over what it read by [`Gateway::complete_marks_read`].
    pub async fn next_marks_read(&self) -> MarksRead {
        let reads = &self.mark_reads;
        loop {
            let wanted = reads.wanted.notified();
            let now = self.clock.now();
            let due_at = reads.state.lock().due_at(self.count_known_instances(), now);
            match due_at {
                Some(at) if at <= now => {
                    reads.state.lock().begin(now);
                    return MarksRead { began_at: now };
                }
                Some(at) => tokio::time::sleep(at.saturating_sub(now)).await,
                None => wanted.await,
            }
        }
    }

    /// Applies a complete read of the marks in an era of the store. One that it
    /// lacks may have been written since, so that none is removed.
    pub fn complete_marks_read(
        self: &Arc<Self>,
        read: MarksRead,
        marks: HashSet<PoolSoftware>,
        era: u64,
    ) {
        for software in marks {
            self.record_software_mark(software);
        }
        let mut streams = self.tables.streams.lock();
        streams.marks_read_at = streams.marks_read_at.max(Some(read.began_at));
        streams.marks_era = streams.marks_era.max(era);
        drop(streams);
        self.mark_reads.state.lock().complete(read.began_at);
        self.mark_reads.completed.notify_waiters();
    }
}
