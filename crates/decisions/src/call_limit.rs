//! How long the answer to a call is waited for, and when the call is repeated.
//!
//! A call without an answer may have met a dead connection or a slow peer, and
//! nothing tells which. So it is repeated soon, for the first, and the calls
//! before it are still waited for, for the second. The call must be idempotent.

use std::collections::VecDeque;
use std::time::Duration;

/// Time after which a call without an answer may be repeated.
pub const REPEAT_AFTER: Duration = Duration::from_millis(1500);

/// Longest time for which the answer to one call is waited for.
pub const MAX_ANSWER_TIME: Duration = Duration::from_secs(6);

/// The calls that are open for the sake of one answer.
///
/// # Invariants
///
/// `begun` has the times at which calls were made, in ascending order.
#[derive(Clone, Debug, Default)]
pub struct OpenCalls {
    begun: VecDeque<Duration>,
}

impl OpenCalls {
    /// Records that the call is made at `now`, for the first time or again.
    pub fn begin(&mut self, now: Duration) {
        self.begun.retain(|begun| is_awaited(*begun, now));
        self.begun.push_back(now);
    }

    /// Returns when the call may be repeated; `None` before it is made.
    pub fn repeat_at(&self) -> Option<Duration> {
        self.begun.back().map(|begun| *begun + REPEAT_AFTER)
    }

    /// Returns the number of calls whose answers are waited for.
    pub fn count(&self, now: Duration) -> usize {
        let awaited = self.begun.iter().filter(|begun| is_awaited(**begun, now));
        awaited.count()
    }
}

fn is_awaited(begun: Duration, now: Duration) -> bool {
    now < begun + MAX_ANSWER_TIME
}
