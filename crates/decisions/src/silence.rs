//! What the silence of a target means.
//!
//! A sound target may send nothing for a while and go on. Silence alone is
//! therefore no failure: up to [`LONGEST_SOUND_SILENCE`] a request stays where
//! it is. After that it may go to another target, if one can take it. A closed
//! connection, a malformed answer or a refusal counts at once.

use std::time::Duration;

/// Longest time for which a sound target may send nothing.
pub const LONGEST_SOUND_SILENCE: Duration = Duration::from_secs(2);

/// Time that requests and answers take on the way, by which a silence lasts
/// longer here than at the target.
const TRANSIT_TIME: Duration = Duration::from_millis(250);

/// Silence after which a request may be given to another target.
pub const SILENCE_LIMIT: Duration = LONGEST_SOUND_SILENCE.saturating_add(TRANSIT_TIME);

/// Multiple of the route's intended pause between events after which a stream
/// may move to another target.
const EVENT_GAP_FACTOR: u32 = 5;

/// Multiple of the expected time to the start of an answer after which a
/// request may be tried at another target.
const EXPECTED_TIME_FACTOR: u32 = 3;

/// Largest share of the time to the deadline that an attempt may take before
/// the request is tried at another target.
const MAX_SHARE_OF_TIME_LEFT: f64 = 0.6;

/// Returns the pause between two events after which a stream may move to
/// another target, on a route with this intended pause.
pub fn event_limit(target_event_gap: Duration) -> Duration {
    SILENCE_LIMIT.max(target_event_gap * EVENT_GAP_FACTOR)
}

/// Returns the time to wait for the start of an answer until the request may be
/// tried at another target: `None` if too little time would be left for that.
///
/// `expected` is the expected time to the start of the answer, and `left` the
/// time to the deadline.
pub fn start_limit(expected: Duration, left: Duration) -> Option<Duration> {
    let usual = expected
        .saturating_mul(EXPECTED_TIME_FACTOR)
        .min(left.mul_f64(MAX_SHARE_OF_TIME_LEFT));
    let limit = usual.max(SILENCE_LIMIT);
    (limit.saturating_add(expected) <= left).then_some(limit)
}

/// Tells whether a silence is longer than that of a sound target.
pub fn is_failure(silent_for: Duration) -> bool {
    silent_for >= SILENCE_LIMIT
}

/// Time for which a target has had requests and shown no sign of life.
///
/// # Invariants
///
/// `busy_since` is set while the target has requests. `before` is the silence
/// up to the last moment without requests, since `heard_at`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnansweredTime {
    heard_at: Duration,
    busy_since: Option<Duration>,
    before: Duration,
}

impl UnansweredTime {
    /// Records that the target has got a request.
    pub fn begin(&mut self, now: Duration) {
        self.busy_since.get_or_insert(now);
    }

    /// Records that the target has sent something at `at`.
    pub fn hear(&mut self, at: Duration) {
        if at > self.heard_at {
            self.heard_at = at;
            self.before = Duration::ZERO;
        }
    }

    /// Records that the target has no request left.
    pub fn pause(&mut self, now: Duration) {
        self.before = self.total(now);
        self.busy_since = None;
    }

    /// Returns when the target last sent something.
    pub fn heard_at(&self) -> Duration {
        self.heard_at
    }

    /// Returns the time for which the target has had requests and sent nothing.
    pub fn total(&self, now: Duration) -> Duration {
        let busy = self
            .busy_since
            .map(|since| now.saturating_sub(since.max(self.heard_at)));
        self.before.saturating_add(busy.unwrap_or_default())
    }
}
