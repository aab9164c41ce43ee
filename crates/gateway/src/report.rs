//! Reports of instances that are no hubs: each sends its status to one hub,
//! whose answer is the status of all other instances.

use std::collections::HashMap;
use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::traffic::PartUseCursor;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::Status;
use chiverelay_sibling::Up;

use crate::Dialect;
use crate::Gateway;

/// Time limit for a hub to answer a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a hub that gave no answer is left out.
const FAILED_HUB_PAUSE: Duration = Duration::from_secs(2);

/// Age up to which the loss of a request is passed on at once, in milliseconds.
const NEWS_AGE_MS: u32 = 1_000;

/// When a hub gave no answer, on the local monotonic clock.
#[derive(Clone, Copy, Debug)]
struct HubFailure {
    at: Duration,
    ask_again_at: Duration,
}

/// The hub that this instance reports to, and those that failed.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    hub: Option<Instance>,
    /// The last failure of each hub that gave no answer.
    failed: HashMap<Instance, HubFailure>,
    /// Up to where the hub was told the uses of prompt parts.
    reported_uses: PartUseCursor,
}

impl Upstream {
    fn may_ask(&self, hub: &Instance, now: Duration) -> bool {
        let failure = self.failed.get(hub);
        failure.is_none_or(|failure| failure.ask_again_at <= now)
    }

    fn record_failure(&mut self, hub: &Instance, now: Duration) {
        let failure = HubFailure {
            at: now,
            ask_again_at: now + FAILED_HUB_PAUSE,
        };
        self.failed.insert(hub.clone(), failure);
    }

    /// Returns when each hub that gave no answer failed last.
    pub(crate) fn failed_at(&self) -> HashMap<Instance, Duration> {
        let failed = self.failed.iter();
        failed
            .map(|(hub, failure)| (hub.clone(), failure.at))
            .collect()
    }

    /// Forgets the failures of all others than `hubs`.
    pub(crate) fn retain_failures(&mut self, hubs: &[Instance]) {
        self.failed.retain(|hub, _| hubs.contains(hub));
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Lists the links to the hubs that may be asked, in order.
    pub(crate) fn links_to_hubs(&self, now: Duration) -> Vec<Link<Up>> {
        let mut hubs = self.topology.lock().upstream.clone();
        let upstream = self.upstream.lock();
        hubs.retain(|hub| upstream.may_ask(hub, now));
        drop(upstream);
        hubs.iter().filter_map(|hub| self.links.get(hub)).collect()
    }

    /// Leaves out a hub that gave no answer for a while. Until it is heard again,
    /// those that do answer come before it.
    pub(crate) fn record_hub_failure(&self, hub: &Instance) {
        let now = self.clock.now();
        self.upstream.lock().record_failure(hub, now);
        self.status_due.notify_one();
    }

    /// Reports to the first hub that may be asked, and applies its answer.
    pub(crate) async fn report(&self, sequence: u64) {
        let now = self.clock.now();
        let Some(link) = self.links_to_hubs(now).into_iter().next() else {
            log::debug!(target: "members", "no hub to report to");
            return;
        };
        let hub = link.peer().instance.clone();
        match self.exchange_report(sequence, &link, now).await {
            Some(status) => self.receive_overview(&hub, status),
            None => {
                log::info!(target: "members", instance = hub.as_str(); "hub did not answer a report");
                self.record_hub_failure(&hub);
            }
        }
    }

    async fn exchange_report(
        &self,
        sequence: u64,
        link: &Link<Up>,
        now: Duration,
    ) -> Option<Status> {
        let mut status = self.status_for(sequence, Audience::Direct, now);
        let mut cursor = self.upstream.lock().reported_uses;
        status.uses = self.part_uses_since(&mut cursor, Audience::Direct);
        let asking = link.ask(Stamp::default(), Message::Report(status));
        let reply = tokio::time::timeout(REPORT_TIMEOUT, asking).await;
        match reply.ok()?.ok()?.message {
            Message::Status(status) => {
                self.upstream.lock().reported_uses = cursor;
                Some(status)
            }
            _ => None,
        }
    }

    /// Applies the status of all other instances that a hub answered with.
    fn receive_overview(&self, hub: &Instance, status: Status) {
        let now = self.clock.now();
        if !self.members.record_status(hub, &status, now) || self.topology.lock().is_hub {
            return;
        }
        let former = self.upstream.lock().hub.replace(hub.clone());
        if let Some(former) = former.filter(|former| former != hub) {
            log::info!(target: "members", from = former.as_str(), to = hub.as_str(); "reports go to another hub");
            self.forget_reports_of(&former);
        }
        self.members.record_informed(now);
        self.merge_status(hub, status, now);
        self.set_ready_if_synced();
    }

    /// Applies a report, and returns the status of all other instances for the
    /// one that sent it: `None` if the report is from a process that is not the
    /// one in the instance's record.
    pub(crate) fn receive_report(&self, from: &Identity, status: Status) -> Option<Status> {
        let now = self.clock.now();
        let name = &from.instance;
        let sequence = status.sequence;
        if !self.members.record_status(name, &status, now) {
            return None;
        }
        let mut cursor = self.reporters.record(name, now);
        if has_news_of_crashes(&status) {
            self.status_due.notify_one();
        }
        self.merge_status(name, status, now);
        let audience = Audience::Reporter(name);
        let mut overview = self.status_for(sequence, audience, now);
        overview.uses = self.part_uses_since(&mut cursor, audience);
        self.reporters.set_cursor(name, cursor);
        Some(overview)
    }
}

/// Tells whether a report has a loss so new that the other hubs are told at
/// once.
fn has_news_of_crashes(status: &Status) -> bool {
    let suspects = status.crashes.losses.iter();
    let mut losses = suspects.flat_map(|suspect| &suspect.losses);
    let mut lost = status.lost.crashes.iter();
    losses.any(|loss| loss.age_ms < NEWS_AGE_MS) || lost.any(|crash| crash.age_ms < NEWS_AGE_MS)
}
