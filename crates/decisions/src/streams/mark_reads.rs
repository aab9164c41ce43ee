//! When all marks are read from the store for streams that are resumed.

use std::time::Duration;

/// Time for which a lookup of a stream waits for others and for the store.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);

/// Shortest time between the beginnings of two reads. All lookups share a read.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two reads for each known instance, as all share the store.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(2);

/// Longest time between two reads, which leaves a lookup a second one.
const MAX_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a read is repeated whose response may be lost.
const REPEAT_AFTER: Duration = Duration::from_millis(250);

/// The reads of this instance. All times are on the local monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct MarkReads {
    /// When the latest lookup arrived that wants a read.
    wanted_at: Option<Duration>,
    /// When the latest read began.
    began_at: Option<Duration>,
    /// When the latest complete read began.
    completed: Option<Duration>,
}

impl MarkReads {
    /// Returns when the latest complete read began.
    pub fn completed(&self) -> Option<Duration> {
        self.completed
    }

    /// Records that a read is wanted that begins at `at` or later.
    pub fn want(&mut self, at: Duration) {
        self.wanted_at = self.wanted_at.max(Some(at));
    }

    /// Records that a read begins.
    pub fn begin(&mut self, now: Duration) {
        self.began_at = Some(now);
    }

    /// Records that the read that began at `began_at` is complete.
    pub fn complete(&mut self, began_at: Duration) {
        self.completed = self.completed.max(Some(began_at));
    }

    /// Returns when the next read is due; `None` if no lookup waits for one.
    pub fn due_at(&self, known_instances: usize, now: Duration) -> Option<Duration> {
        let wanted_at = self.wanted_at?;
        let is_read = self.completed.is_some_and(|read_at| read_at >= wanted_at);
        if is_read || now >= wanted_at + LOOKUP_TIMEOUT {
            return None;
        }
        let Some(began_at) = self.began_at else {
            return Some(now);
        };
        let instances = u32::try_from(known_instances).unwrap_or(u32::MAX);
        let interval = INTERVAL_PER_INSTANCE.saturating_mul(instances);
        let interval = interval.clamp(MIN_INTERVAL, MAX_INTERVAL);
        // The open read may still be answered.
        let is_open = began_at >= wanted_at;
        let gap = if is_open {
            interval.max(REPEAT_AFTER)
        } else {
            interval
        };
        Some(began_at + gap)
    }
}
