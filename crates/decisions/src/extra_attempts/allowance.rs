//! How many extra attempts an instance may make, in relation to the requests
//! that it has sent.

/// Most extra attempts that are saved up.
const MAX_SAVED_ATTEMPTS: f64 = 2.0;

/// Extra attempts that the requests of this instance have allowed and that
/// were not made yet.
///
/// # Invariants
///
/// The attempts that were consumed are at most the ratio times the requests
/// that were recorded; so are their prefill tokens, but for those of the last
/// attempt. These bounds add up over instances.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    attempts: f64,
    /// Below 0 after an attempt with more tokens than were saved up.
    prefill_tokens: f64,
}

impl Allowance {
    /// Counts a request with so many tokens to prefill, which allows `ratio`
    /// extra attempts.
    pub fn record_request(&mut self, ratio: f64, prefill_tokens: u32) {
        if self.attempts >= MAX_SAVED_ATTEMPTS && self.prefill_tokens >= 0.0 {
            return;
        }
        self.attempts = (self.attempts + ratio).min(MAX_SAVED_ATTEMPTS);
        self.prefill_tokens += ratio * f64::from(prefill_tokens);
    }

    /// Tells whether an extra attempt is allowed.
    pub fn has_attempt(&self) -> bool {
        self.attempts >= 1.0 && self.prefill_tokens >= 0.0
    }

    /// Counts an extra attempt with so many tokens to prefill.
    /// [`Allowance::has_attempt`] must have returned true.
    pub fn consume(&mut self, prefill_tokens: u32) {
        self.attempts -= 1.0;
        self.prefill_tokens -= f64::from(prefill_tokens);
    }
}
