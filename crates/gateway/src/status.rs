//! Status messages, which instances send each other at regular intervals:
//! their requests at each target, their allowances for client accounts, the
//! crashes of targets that they saw and the limits that targets stated.
//!
//! Hubs send them to each other; other instances report to a hub (see
//! [`crate::report`]).

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::traffic::PartUseCursor;
use chiverelay_decisions::traffic::PromptPartUse;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::Status;
use chiverelay_sibling::Up;

use crate::Dialect;
use crate::Gateway;
use crate::MemberRecord;
use crate::MemberState;
use crate::topology::Topology;

/// Shortest interval between status messages of hubs, used in a region with few
/// of them.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Number of hubs in a region up to which status messages are sent at
/// [`MIN_INTERVAL`]. With more hubs the interval grows in proportion up to
/// [`MAX_INTERVAL`]. Between the two limits, the number of messages that a hub
/// receives per second stays constant.
const SMALL_REGION: u32 = 8;

/// Longest interval between status messages of hubs.
const MAX_INTERVAL: Duration = Duration::from_millis(600);

/// Interval between the reports of an instance that is no hub.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// One in this many status messages is also sent to the hubs of other regions,
/// as the links to them are slow and shared. Messages that carry tokens are
/// always sent.
const REMOTE_EVERY: u64 = 3;

/// One in this many status messages to other regions reports the allowances for
/// client accounts.
const REMOTE_ALLOWANCES_EVERY: u64 = 3;

/// Returns the interval between status messages for a number of other hubs in
/// the region.
fn status_interval(in_region: usize) -> Duration {
    let in_region = u32::try_from(in_region).unwrap_or(u32::MAX);
    (MIN_INTERVAL * in_region.max(SMALL_REGION) / SMALL_REGION).min(MAX_INTERVAL)
}

/// What the exchange of status messages remembers from one to the next.
#[derive(Debug, Default)]
struct ExchangeState {
    /// Number of the last status message.
    sequence: u64,
    /// Up to where each hub was told the uses of prompt parts.
    cursors: HashMap<Instance, PartUseCursor>,
}

/// Keeps links to the other instances open, exchanges status with them, checks
/// silent instances, and removes expired targets and instances.
pub(crate) async fn run<D>(gateway: Arc<Gateway<D>>)
where
    D: Dialect,
{
    let mut exchange = ExchangeState::default();
    let send_all = async {
        loop {
            let now = gateway.clock.now();
            gateway.record_contacts(now);
            gateway.remove_expired(now);
            gateway.links.remove_drained(now);
            gateway.check_silent_links(now);
            let topology = gateway.update_topology(now);
            gateway.dial_due(&topology, now);
            exchange.sequence += 1;
            let pause = match topology.is_hub {
                true => gateway.send_statuses(&mut exchange, &topology, now).await,
                false => {
                    gateway.report(exchange.sequence).await;
                    REPORT_INTERVAL
                }
            };
            let _ = tokio::time::timeout(pause, gateway.status_due.notified()).await;
        }
    };
    gateway.stop.run_until_cancelled(send_all).await;
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Records the instances from which packets have arrived since the last
    /// call.
    fn record_contacts(&self, now: Duration) {
        for (name, certificate) in self.links.take_contacts(now) {
            self.members.record_contact(&name, &certificate, now);
        }
    }

    fn remove_expired(&self, now: Duration) {
        self.tables.remove_expired_targets(now);
        self.tables.remove_expired_evacuations(now);
        self.update_quarantine(now);
        self.tables.suspensions.lock().expire(now);
        for name in self.members.remove_expired(now) {
            log::info!(target: "members", instance = name.as_str(); "instance removed");
            self.forget_reports_of(&name);
        }
        for name in self.reporters.remove_expired(now) {
            log::debug!(target: "members", instance = name.as_str(); "instance no longer reports here");
            self.forget_reports_of(&name);
        }
    }

    /// Determines the topology again. What other instances reported is dropped
    /// when this one becomes a hub or stops to be one, as it comes other ways
    /// from then on.
    fn update_topology(&self, now: Duration) -> Arc<Topology> {
        let failed_at = self.upstream.lock().failed_at();
        let is_cut_off = self.reach.is_cut_off();
        let mut new = self.members.topology(is_cut_off, failed_at, now);
        let old = Arc::clone(&self.topology.lock());
        if old.is_hub && !new.is_hub && !self.is_linked_to_any(&new.upstream) {
            // Until another hub can charge accounts for it.
            new.remain_hub(&old);
        }
        new.remember_hubs(&old);
        self.upstream.lock().retain_failures(&new.upstream);
        let new = Arc::new(new);
        *self.topology.lock() = Arc::clone(&new);
        if old.is_hub != new.is_hub {
            log::info!(target: "members", is_hub = new.is_hub, hubs = new.hub_count; "place among the instances changed");
            self.tables.traffic.lock().remove_all_instances();
            self.tables.quarantine.lock().remove_all_instances();
            self.rate_limiter.forget_reports();
        }
        if new.is_hub {
            self.members.record_informed(now);
        }
        self.reconfigure_rate_limiter(now);
        self.set_ready_if_synced();
        new
    }

    fn is_linked_to_any(&self, hubs: &[Instance]) -> bool {
        hubs.iter().any(|hub| self.links.get(hub).is_some())
    }

    fn dial_due(self: &Arc<Self>, topology: &Topology, now: Duration) {
        let linked = self.members.list_records(&topology.linked);
        for record in self.links.mark_due_for_dialing(linked, now) {
            let gateway = Arc::clone(self);
            tokio::spawn(async move { gateway.dial(&record, now).await });
        }
    }

    async fn dial(&self, record: &MemberRecord, now: Duration) {
        let is_up = self.links.dial(record, now).await;
        let hub = &record.instance;
        if !is_up && self.topology.lock().upstream.contains(hub) {
            self.record_hub_failure(hub);
        }
    }

    /// Sends this instance's status to all linked hubs, and returns the time
    /// until the next one.
    async fn send_statuses(
        &self,
        exchange: &mut ExchangeState,
        topology: &Topology,
        now: Duration,
    ) -> Duration {
        let mut links = self.links.list_open();
        links.retain(|link| topology.other_hubs.contains(&link.peer().instance));
        let own_region = &self.settings.region;
        let in_region = links
            .iter()
            .filter(|link| link.peer().region == *own_region);
        let interval = status_interval(in_region.count());
        if links.is_empty() {
            return interval;
        }
        exchange
            .cursors
            .retain(|name, _| topology.other_hubs.contains(name));
        let reporters = self.reporters.names();
        let mut transfers = self.rate_limiter.take_surplus(now);
        let status = self.status_for(exchange.sequence, Audience::Hubs(&reporters), now);
        for link in links {
            let name = link.peer().instance.clone();
            let mut status = status.clone();
            // Surplus tokens for the receiver.
            status.gifts = transfers.remove(&name).unwrap_or_default();
            if link.peer().region != *own_region && !prepare_for_other_region(&mut status) {
                continue;
            }
            let cursor = exchange.cursors.entry(name).or_default();
            status.uses = self.part_uses_since(cursor, Audience::Hubs(&reporters));
            self.tell(&link, status).await;
        }
        interval
    }

    async fn tell(&self, link: &Link<Up>, status: Status) {
        if let Err(e) = link.tell(Message::Status(status)).await {
            log::debug!(target: "links", error:% = e; "status not sent");
        }
    }

    /// Returns the uses of prompt parts that an audience has not been told of.
    pub(crate) fn part_uses_since(
        &self,
        cursor: &mut PartUseCursor,
        audience: Audience<'_>,
    ) -> Vec<PromptPartUse> {
        let traffic = self.tables.traffic.lock();
        traffic.part_uses_since(cursor, audience)
    }

    /// Returns the status for an audience, without uses of prompt parts and
    /// tokens.
    pub(crate) fn status_for(
        &self,
        sequence: u64,
        audience: Audience<'_>,
        now: Duration,
    ) -> Status {
        let crashes = self.tables.quarantine.lock().report(audience, now);
        let lost = self.tables.suspensions.lock().report(audience, now);
        let heard = self.members.list_heard(audience, now);
        // Tokens move between hubs only.
        let parts = match audience {
            Audience::Hubs(_) => self.rate_limiter.allowance_statuses(now),
            Audience::Direct | Audience::Reporter(_) => Vec::new(),
        };
        let read_revision = self.store_lag.read_revision();
        let known_revision = self.store_lag.known_revision();
        let traffic = self.tables.traffic.lock();
        Status {
            sequence,
            incarnation: self.members.own_incarnation(),
            ready: self.members.own_state() == MemberState::Ready,
            is_cut_off: self.reach.is_cut_off(),
            read_revision,
            known_revision,
            counts: traffic.in_flight_for(audience),
            uses: Vec::new(),
            parts,
            gifts: Vec::new(),
            crashes,
            lost,
            limits: traffic.stated_limit_records(audience, now),
            rejection_limits: traffic.rejection_limit_records(audience, now),
            heard,
        }
    }

    /// Applies the status of a hub. A status from a process that is not the one
    /// in the instance's record is ignored, and so is all but the sign of life
    /// if this instance is no hub: it hears of the others through its own hub.
    pub(crate) fn receive_status(&self, from: &Identity, status: Status) {
        let now = self.clock.now();
        let name = &from.instance;
        if !self.members.record_status(name, &status, now) || !self.topology.lock().is_hub {
            return;
        }
        if !status.parts.is_empty() {
            self.rate_limiter
                .record_reported_allowances(name, status.parts.clone(), now);
        }
        self.rate_limiter
            .receive_transfers(status.gifts.clone(), now);
        self.merge_status(name, status, now);
    }

    /// Applies what an instance tells of itself and of the instances that are
    /// heard through it.
    pub(crate) fn merge_status(&self, from: &Instance, status: Status, now: Duration) {
        let (read, known) = (status.read_revision, status.known_revision);
        self.store_lag.record_reported(from, read, known, now);
        self.members.record_heard(&status.heard, now);
        let mut traffic = self.tables.traffic.lock();
        traffic.update_remote_counts(from, status.counts, now);
        traffic.record_remote_part_uses(from, status.uses, now);
        traffic.merge_stated_limits(from, status.limits, now);
        traffic.merge_rejection_limits(from, status.rejection_limits, now);
        drop(traffic);
        self.merge_crash_report(from, status.crashes, now);
        let mut suspensions = self.tables.suspensions.lock();
        suspensions.merge(from, status.lost, now);
    }

    /// Forgets what an instance reported, as it has stopped or is heard another
    /// way from now on.
    pub(crate) fn forget_reports_of(&self, name: &Instance) {
        self.store_lag.forget(name);
        self.tables.traffic.lock().remove_instance(name);
        self.tables.quarantine.lock().remove_instance(name);
    }
}

/// Leaves out what hubs of other regions are told less often. Returns whether
/// the status is sent to them at all.
fn prepare_for_other_region(status: &mut Status) -> bool {
    // This instance was told of the targets of its own region only.
    status.known_revision = status.read_revision;
    let is_urgent = status.crashes.is_urgent() || status.lost.is_urgent();
    let is_turn = status.sequence.is_multiple_of(REMOTE_EVERY);
    let is_allowances_turn =
        (status.sequence / REMOTE_EVERY).is_multiple_of(REMOTE_ALLOWANCES_EVERY);
    if !is_allowances_turn {
        status.parts.clear();
    }
    is_turn || is_urgent || !status.gifts.is_empty()
}
