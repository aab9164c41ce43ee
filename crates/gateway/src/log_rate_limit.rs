//! Limits the rate of log lines of successful requests. Failures are always
//! logged.

use std::time::Duration;

use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;

/// Window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of lines of successful requests in one window.
const MAX_LINES: u32 = 50;

#[derive(Debug, Default)]
struct RateLimitState {
    window_start: Duration,
    logged: u32,
    omitted: u64,
}

/// Limits the rate of log lines of successful requests.
#[derive(Debug)]
pub(crate) struct LogRateLimit {
    state: RankedMutex<RateLimitState>,
}

impl Default for LogRateLimit {
    fn default() -> Self {
        Self {
            // The highest rank, so that this lock may be taken under any other.
            state: RankedMutex::new(LockRank::Events, RateLimitState::default()),
        }
    }
}

impl LogRateLimit {
    /// Counts a successful request and returns whether it is to be logged. At
    /// the start of a new window, logs how many were omitted in the last one.
    pub(crate) fn should_log(&self, now: Duration) -> bool {
        let mut state = self.state.lock();
        if now >= state.window_start + WINDOW {
            let omitted = std::mem::take(&mut state.omitted);
            *state = RateLimitState {
                window_start: now,
                ..RateLimitState::default()
            };
            if omitted > 0 {
                log::info!(target: "request", lines = omitted; "log lines of successful requests omitted");
            }
        }
        if state.logged < MAX_LINES {
            state.logged += 1;
            return true;
        }
        state.omitted += 1;
        false
    }
}
