//! The monotonic clock that all decisions are based on.

use std::time::Duration;

use tokio::time::Instant;

/// Monotonic clock that counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(self) -> Duration {
        self.started.elapsed()
    }
}
