//! The steady clock, by which everything is decided.

use std::time::Duration;

use tokio::time::Instant;

/// Time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts at nothing.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(self) -> Duration {
        self.started.elapsed()
    }
}
