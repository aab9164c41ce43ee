//! Status messages, which instances send each other at regular intervals:
//! their requests at each target, their allowances for client accounts, the
//! crashes of targets that they saw and the limits that targets stated.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::traffic::PromptPartUse;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Message;
use chiverelay_sibling::Status;

use crate::Dialect;
use crate::Gateway;
use crate::MemberState;

/// Shortest interval between status messages, used in a region with few
/// instances.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Number of instances in a region up to which status messages are sent at
/// [`MIN_INTERVAL`]. With more instances the interval grows in proportion up
/// to [`MAX_INTERVAL`]. Between the two limits, the number of messages that
/// an instance receives per second stays constant.
const SMALL_REGION: u32 = 8;

/// Longest interval between status messages.
const MAX_INTERVAL: Duration = Duration::from_millis(600);

/// One in this many status messages is also sent to the other regions, as the
/// links to them are slow and shared. Messages that carry tokens are always
/// sent.
const REMOTE_EVERY: u64 = 3;

/// One in this many status messages to other regions reports the allowances for
/// client accounts.
const REMOTE_ALLOWANCES_EVERY: u64 = 3;

/// Maximum number of prompt parts reported in one message to other regions.
const MAX_REPORTED_PART_USES: usize = 256;

/// Returns the interval between status messages for a number of other instances
/// in the region.
fn status_interval(in_region: usize) -> Duration {
    let in_region = u32::try_from(in_region).unwrap_or(u32::MAX);
    (MIN_INTERVAL * in_region.max(SMALL_REGION) / SMALL_REGION).min(MAX_INTERVAL)
}

/// Keeps links to the other instances open, sends them this instance's status,
/// checks silent instances, and removes expired targets and instances.
pub(crate) async fn run<D>(gateway: Arc<Gateway<D>>)
where
    D: Dialect,
{
    let mut sequence = 0;
    let mut unreported_part_uses = Vec::new();
    let send_all = async {
        loop {
            let others = gateway.members.list_others();
            let own_region = &gateway.settings.region;
            let pause = status_interval(others.iter().filter(|r| r.region == *own_region).count());
            let now = gateway.clock.now();
            gateway.remove_expired(now);
            gateway.check_silent_links(now);
            for record in gateway.links.mark_due_for_dialing(others, now) {
                let gateway = Arc::clone(&gateway);
                tokio::spawn(async move { gateway.links.dial(&record, now).await });
            }
            sequence += 1;
            gateway
                .send_statuses(sequence, &mut unreported_part_uses, now)
                .await;
            let _ = tokio::time::timeout(pause, gateway.status_due.notified()).await;
        }
    };
    gateway.stop.run_until_cancelled(send_all).await;
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    fn remove_expired(&self, now: Duration) {
        self.tables.remove_expired_targets(now);
        self.tables.remove_expired_evacuations(now);
        self.update_quarantine(now);
        self.tables.suspensions.lock().expire(now);
        for name in self.members.remove_expired(now) {
            log::info!(target: "members", instance = name.as_str(); "instance removed");
            self.tables.traffic.lock().remove_instance(&name, now);
        }
    }

    /// Sends this instance's status to all linked instances.
    /// `unreported_part_uses` collects the cached prompt parts until the next
    /// message to other regions.
    async fn send_statuses(
        &self,
        sequence: u64,
        unreported_part_uses: &mut Vec<PromptPartUse>,
        now: Duration,
    ) {
        let links = self.links.list_open();
        if links.is_empty() {
            return;
        }
        let mut transfers = self.rate_limiter.take_surplus(now);
        let status = self.own_status(sequence, now);
        let is_remote_turn = sequence.is_multiple_of(REMOTE_EVERY);
        let free = MAX_REPORTED_PART_USES.saturating_sub(unreported_part_uses.len());
        unreported_part_uses.extend(status.uses.iter().take(free).cloned());
        for link in links {
            let transfers = transfers.remove(&link.peer().instance).unwrap_or_default();
            let is_remote = link.peer().region != self.settings.region;
            let is_urgent = status.crashes.is_urgent() || status.lost.is_urgent();
            if is_remote && transfers.is_empty() && !is_remote_turn && !is_urgent {
                continue;
            }
            let mut status = Status {
                // Surplus tokens for the receiver.
                gifts: transfers,
                ..status.clone()
            };
            if is_remote {
                status.uses = if is_remote_turn {
                    unreported_part_uses.clone()
                } else {
                    Vec::new()
                };
            }
            if is_remote && !(sequence / REMOTE_EVERY).is_multiple_of(REMOTE_ALLOWANCES_EVERY) {
                status.parts.clear();
            }
            if let Err(e) = link.tell(Message::Status(status)).await {
                log::debug!(target: "links", error:% = e; "status not sent");
            }
        }
        if is_remote_turn {
            unreported_part_uses.clear();
        }
    }

    fn own_status(&self, sequence: u64, now: Duration) -> Status {
        let allowances = self.rate_limiter.allowance_statuses(now);
        let crashes = self.tables.quarantine.lock().report(now);
        let lost = self.tables.suspensions.lock().report(now);
        let mut traffic = self.tables.traffic.lock();
        Status {
            sequence,
            incarnation: self.incarnation,
            ready: self.members.own_state() == MemberState::Ready,
            counts: traffic.local_counts(),
            uses: traffic.take_part_uses(),
            // The sender's allowances for client accounts.
            parts: allowances,
            gifts: Vec::new(),
            crashes,
            lost,
            limits: traffic.stated_limit_records(now),
        }
    }

    /// Applies the status of another instance. A status from a process that is
    /// not the one in the instance's record is ignored.
    pub(crate) fn receive_status(&self, from: &Identity, status: Status) {
        let now = self.clock.now();
        let name: &Instance = &from.instance;
        if !self
            .members
            .record_status(name, status.incarnation, status.ready, now)
        {
            return;
        }
        let mut traffic = self.tables.traffic.lock();
        traffic.update_remote_counts(name, status.counts, now);
        traffic.record_remote_part_uses(status.uses, now);
        traffic.merge_stated_limits(status.limits, now);
        drop(traffic);
        if !status.parts.is_empty() {
            self.rate_limiter
                .record_reported_allowances(name, status.parts, now);
        }
        self.rate_limiter.receive_transfers(status.gifts, now);
        self.merge_crash_report(name, status.crashes, now);
        self.tables.suspensions.lock().merge(status.lost, now);
    }
}
