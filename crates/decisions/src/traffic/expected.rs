//! What a request has to expect at a target.

use std::net::SocketAddr;
use std::time::Duration;

/// Fraction of the latency target that a request may spend in the queue. The
/// rest is left for its own prefill and for load that is not reported yet.
const MAX_QUEUE_SHARE: f64 = 0.5;

/// The expected latency and load of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time until the first event, or until an answer that is not a stream
    /// begins.
    pub wait: Duration,
    /// The part of `wait` that is spent on requests ahead of this one.
    pub queue_delay: Duration,
    /// The weighted time by which targets are compared: the latency, and the
    /// delay that the request causes for others.
    pub cost: Duration,
    /// Requests that run or wait at the target, as far as they are known.
    pub running: u32,
    /// Those of them that are known by themselves, and not assumed as the target
    /// has just rejected one.
    pub known_running: u32,
    /// Those that the target admits before this one.
    pub ahead: u32,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether a slot is free.
    pub has_free_slot: bool,
    /// One plus the number of waiting requests per slot, counting this request.
    /// It is 1 if a slot is free.
    pub requests_per_slot: f64,
    /// Prompt tokens that the target has to prefill for this request.
    pub prefill_tokens: u32,
    /// Prompt tokens queued ahead of the request.
    pub queued_prefill_tokens: u32,
    /// Address of the target from which missing parts of the KV cache can be
    /// copied.
    pub cache_source: Option<SocketAddr>,
}

impl Estimate {
    /// Tells whether the request would wait for a slot and spend more than
    /// [`MAX_QUEUE_SHARE`] of its latency target in the queue. To serve it here
    /// would delay the requests behind it too, so it should go elsewhere or be
    /// retried later.
    pub fn is_late_from_queueing(&self, latency_target: Duration) -> bool {
        !self.has_free_slot && self.queue_delay > latency_target.mul_f64(MAX_QUEUE_SHARE)
    }

    /// Tells whether a request whose own region has no target that can be used is
    /// forwarded to the region of this estimate. `left` is the time to its
    /// deadline.
    ///
    /// The receiving instance checks its own queue, as its counts are newer. If
    /// another sibling was chosen before, the queue estimate is checked here too.
    pub fn allows_forward(
        &self,
        left: Duration,
        latency_target: Duration,
        has_asked_sibling: bool,
    ) -> bool {
        let is_late = has_asked_sibling && self.is_late_from_queueing(latency_target);
        self.wait <= left && !is_late
    }

    /// Tells whether the request would begin after its latency target as other
    /// prompts are read first, though a slot may be free. It should not leave its
    /// region for such a target.
    ///
    /// A prompt that takes much of the time by itself may spend a share of it in
    /// the queue all the same. Otherwise long ones would never go anywhere.
    pub fn is_late_behind_prompts(&self, latency_target: Duration) -> bool {
        let own = self.wait.saturating_sub(self.queue_delay);
        let share = latency_target.mul_f64(MAX_QUEUE_SHARE);
        let left = latency_target.saturating_sub(own).max(share);
        self.queued_prefill_tokens > 0 && self.queue_delay > left
    }
}
