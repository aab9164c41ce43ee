//! Bounds the log lines of ordinary successes. Failures are always logged.

use std::time::Duration;

use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;

/// Time over which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Lines of ordinary successes in one span.
const LINES: u32 = 50;

#[derive(Debug, Default)]
struct State {
    since: Duration,
    lines: u32,
    left_out: u64,
}

/// Bounds the log lines of ordinary successes.
#[derive(Debug)]
pub(crate) struct Sampler {
    state: RankedMutex<State>,
}

impl Default for Sampler {
    fn default() -> Self {
        Self {
            state: RankedMutex::new(LockRank::Events, State::default()),
        }
    }
}

impl Sampler {
    /// Tells whether a success is to be logged. The first of a new span says
    /// how many were left out before.
    pub(crate) fn admits(&self, now: Duration) -> bool {
        let mut state = self.state.lock();
        if now >= state.since + SPAN {
            let left_out = std::mem::take(&mut state.left_out);
            *state = State {
                since: now,
                ..State::default()
            };
            if left_out > 0 {
                log::info!(target: "request", lines = left_out; "successes left out of the log");
            }
        }
        if state.lines < LINES {
            state.lines += 1;
            return true;
        }
        state.left_out += 1;
        false
    }
}
