//! Which requests an instance still takes while it shuts down.
//!
//! A request that is passed on must end before the instance does. One that may
//! run only once can't be repeated by its caller after a cut, so its deadline
//! has to leave enough time. Any other one is taken if requests like it usually
//! end in time.

use std::time::Duration;

use crate::catalog::RouteKind;

/// Time between the end of the last attempt and the shutdown deadline, in which
/// its answer is passed on.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Multiple of the usual time of a repeatable request that has to be left.
const USUAL_TIME_FACTOR: u32 = 2;

/// How long a request may take and usually takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTimes {
    /// Deadline of the request, on the local monotonic clock.
    pub deadline: Duration,
    /// Usual time from the dispatch of such a request to the end of its answer.
    pub usual: Duration,
}

/// Time by which the requests of an instance that shuts down have to end, on
/// the local monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownDeadline(Duration);

impl ShutdownDeadline {
    /// Creates the deadline of a shutdown that ends open requests at `at`.
    pub fn new(at: Duration) -> Self {
        Self(at)
    }

    /// Tells whether a request may still be given to a target or another
    /// instance.
    pub fn accepts(self, kind: RouteKind, times: RequestTimes, now: Duration) -> bool {
        let end = match kind.is_repeatable() {
            true => now.saturating_add(times.usual.saturating_mul(USUAL_TIME_FACTOR)),
            false => times.deadline,
        };
        end <= self.last_end()
    }

    /// Returns the deadline of an attempt at a request: its own, or the
    /// shutdown's if that comes first.
    pub fn limit(self, deadline: Duration) -> Duration {
        deadline.min(self.last_end())
    }

    fn last_end(self) -> Duration {
        self.0.saturating_sub(ANSWER_TIME)
    }
}
