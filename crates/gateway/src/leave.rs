//! The steps in which an instance stops: it waits for others, takes no more
//! requests, ends those that are open and closes its links.

use std::time::Duration;

use chiverelay_decisions::shutdown::ShutdownDeadline;

use crate::Dialect;
use crate::Gateway;
use crate::MemberState;

/// Interval of the checks in [`Gateway::wait_for_other_ready`].
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for the other instances to confirm that the links are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Waits until another instance in the region is ready, for at most `time`.
    /// Without this wait, a rolling restart could leave the region without a
    /// ready instance and send its callers to other regions.
    pub async fn wait_for_other_ready(&self, time: Duration) {
        let region = &self.settings.region;
        let until = self.clock.now() + time;
        while self.clock.now() < until {
            if !self
                .members
                .list_ready_in(region, self.clock.now())
                .is_empty()
            {
                return;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        log::info!(target: "gateway", region = region.as_str(); "no other instance in the region became ready in time");
    }

    /// Announces to the other instances and the store that this instance is
    /// shutting down. From now on it takes only requests that can end within
    /// `time_left`.
    pub fn leave(&self, time_left: Duration) {
        let deadline = ShutdownDeadline::new(self.clock.now() + time_left);
        self.shutdown.begin(deadline);
        log::info!(target: "gateway", open = self.open_requests.len(); "leaving");
        self.members.set_own_state(MemberState::Leaving);
    }

    /// Ends the open requests. Callers whose answers have not begun get a
    /// refusal, and the others see their answers break off.
    pub fn end_open_requests(&self) {
        log::warn!(target: "gateway", open = self.open_requests.len(); "time limit for open requests is over; they are cancelled");
        self.shutdown.end();
    }

    /// Waits until all open requests have ended.
    pub async fn wait_for_open_requests(&self) {
        self.open_requests.close();
        self.open_requests.wait().await;
    }

    /// Stops the background tasks and closes the links to other instances.
    pub async fn stop(&self) {
        self.stop.cancel();
        let closing = self.links.close_all();
        if tokio::time::timeout(CLOSE_TIMEOUT, closing).await.is_err() {
            log::debug!(target: "gateway", "links closed without confirmation from the other instances");
        }
        log::info!(target: "gateway", open = self.open_requests.len(); "stopped");
    }
}
