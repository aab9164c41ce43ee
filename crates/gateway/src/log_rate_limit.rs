//! Limits the rate of log lines of requests that were answered without a server
//! error. Server errors and refusals are always logged.

use std::time::Duration;

use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;

/// Window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of rate-limited lines in one window.
const MAX_LINES: u32 = 50;

#[derive(Debug, Default)]
struct RateLimitState {
    window_start: Duration,
    logged: u32,
    omitted: u64,
}

/// Limits the rate of log lines of requests answered without a server error.
#[derive(Debug)]
pub(crate) struct LogRateLimit {
    state: RankedMutex<RateLimitState>,
}

impl Default for LogRateLimit {
    fn default() -> Self {
        Self {
            // Shares the highest rank, `Events`, so that this lock may be taken
            // under any other.
            state: RankedMutex::new(LockRank::Events, RateLimitState::default()),
        }
    }
}

impl LogRateLimit {
    /// Counts a log line and returns whether to write it. At the start of a new
    /// window, logs how many lines were omitted in the last one.
    pub(crate) fn should_log(&self, now: Duration) -> bool {
        let mut state = self.state.lock();
        if now >= state.window_start + WINDOW {
            let omitted = std::mem::take(&mut state.omitted);
            *state = RateLimitState {
                window_start: now,
                ..RateLimitState::default()
            };
            if omitted > 0 {
                log::info!(target: "request", lines = omitted; "log lines omitted by the rate limit");
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
