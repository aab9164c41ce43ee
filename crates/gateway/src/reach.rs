//! Finds out whether this instance reaches the targets of its region, and tells
//! what waits for them when it does not.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::reachability::NextRound;
use chiverelay_decisions::reachability::Reachability;
use chiverelay_decisions::reachability::RoundResult;
use chiverelay_decisions::reachability::TargetReach;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_target::ProbeConnection;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::Clock;
use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::place::PlacementContext;

/// Longest time between two looks at the evidence.
const TICK: Duration = Duration::from_millis(200);

/// Time limit for the first connection of a round. Most rounds end with it.
const FIRST_PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time limit for the other connections of a round.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of targets that a round tries, or more if there are more kinds.
const PROBED_TARGETS: usize = 4;

/// Largest number of targets that a round tries.
const MAX_PROBED_TARGETS: usize = 16;

/// Longest wait for a round to begin and end.
const MAX_ROUND_WAIT: Duration = Duration::from_secs(1);

/// Pause before a request that waits on a connection which sends nothing looks
/// again for an instance that could take it.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether targets are reached, shared by the requests.
#[derive(Debug)]
pub(crate) struct SharedReach {
    evidence: RankedMutex<Reachability>,
    current: watch::Sender<TargetReach>,
    /// Notified when a connection has failed.
    has_failed: Notify,
    /// Notified when a round of probes is settled.
    round_settled: Notify,
}

impl Default for SharedReach {
    fn default() -> Self {
        Self {
            evidence: RankedMutex::new(LockRank::Reachability, Reachability::default()),
            current: watch::Sender::default(),
            has_failed: Notify::new(),
            round_settled: Notify::new(),
        }
    }
}

impl SharedReach {
    /// Tells whether no target of the region can be reached.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.current.borrow().is_cut_off()
    }

    /// Tells whether so many targets are out of reach that a refused connection
    /// says nothing about the target.
    pub(crate) fn explains_refused_connections(&self) -> bool {
        self.evidence.lock().explains_refused_connections()
    }

    /// Records that a request was sent to a target.
    pub(crate) fn record_sent(&self, now: Duration) {
        self.evidence.lock().record_sent(now);
    }

    /// Records that something has arrived from a target.
    pub(crate) fn record_contact(&self, now: Duration) {
        self.evidence.lock().record_contact(now);
    }

    /// Records that something has arrived on a connection that was opened at a
    /// time.
    pub(crate) fn record_connected(&self, opened: Duration) {
        self.evidence.lock().record_connected(opened);
    }

    /// Records that a connection to a target could not be opened or was lost.
    /// Returns the round of probes that tells whether a cut explains it.
    pub(crate) fn record_failure(&self) -> NextRound {
        let round = self.evidence.lock().record_failure();
        self.has_failed.notify_one();
        round
    }

    /// Records that a target has accepted a connection of a probe.
    fn record_accepted(&self) {
        self.evidence.lock().record_accepted();
        self.round_settled.notify_waiters();
    }

    /// Waits until a round of probes shows whether a cut explains refused
    /// connections, for at most [`MAX_ROUND_WAIT`].
    pub(crate) async fn until_settled(&self, round: NextRound) {
        let waiting = async {
            loop {
                let settled = self.round_settled.notified();
                if self.evidence.lock().is_settled(round) {
                    return;
                }
                settled.await;
            }
        };
        // Without a round, what is known from before has to do.
        let _ = tokio::time::timeout(MAX_ROUND_WAIT, waiting).await;
    }

    /// Waits until the published reach changes to one that is cut off. One that
    /// holds already is passed over: connections that are tried then show when the
    /// first target is back.
    pub(crate) async fn until_cut_off(&self) {
        let mut current = self.current.subscribe();
        current.mark_unchanged();
        while current.changed().await.is_ok() {
            if current.borrow_and_update().is_cut_off() {
                return;
            }
        }
    }

    async fn until_silent(&self) {
        let mut current = self.current.subscribe();
        // The sender lives as long as the gateway.
        let _ = current
            .wait_for(|reach| *reach == TargetReach::Silent)
            .await;
    }

    /// Waits until the targets are to be probed.
    async fn until_due(&self, clock: Clock) {
        loop {
            let due = self.evidence.lock().next_round();
            let now = clock.now();
            let left = due.map_or(TICK, |due| due.saturating_sub(now));
            if left.is_zero() {
                return;
            }
            let _ = tokio::time::timeout(left.min(TICK), self.has_failed.notified()).await;
        }
    }

    /// Publishes what follows from the evidence. Returns the former value if it
    /// has changed.
    fn publish(&self, now: Duration) -> Option<TargetReach> {
        let new = self.evidence.lock().reach(now);
        let mut former = None;
        self.current.send_if_modified(|current| {
            let has_changed = *current != new;
            if has_changed {
                former = Some(std::mem::replace(current, new));
            }
            has_changed
        });
        former
    }
}

/// Probes the targets of the region whenever the evidence calls for it.
pub(crate) async fn run<D>(gateway: Arc<Gateway<D>>)
where
    D: Dialect,
{
    let probing = async {
        loop {
            gateway.reach.until_due(gateway.clock).await;
            gateway.probe_targets().await;
        }
    };
    gateway.stop.run_until_cancelled(probing).await;
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Runs a round of probes if one is due.
    async fn probe_targets(&self) {
        let began = self.clock.now();
        let Some(round) = self.reach.evidence.lock().begin_round(began) else {
            return;
        };
        let result = self.probe(self.choose_probed_targets()).await;
        let now = self.clock.now();
        let mut evidence = self.reach.evidence.lock();
        let cut_since = evidence.cut_off_since();
        evidence.finish_round(round, result, now);
        drop(evidence);
        self.reach.round_settled.notify_waiters();
        let Some(former) = self.reach.publish(now) else {
            return;
        };
        let is_cut_off = self.reach.is_cut_off();
        if former.is_cut_off() == is_cut_off {
            return;
        }
        self.metrics.count_target_cut(is_cut_off);
        if is_cut_off {
            log::warn!(target: "reach", result:? = result; "cut off from all targets of the region");
        } else {
            self.tables.traffic.lock().forget_failures();
            let cut_for = now.saturating_sub(cut_since.unwrap_or(now));
            log::info!(
                target: "reach",
                cut_ms = cut_for.as_millis() as u64;
                "targets of the region are reached again"
            );
        }
        self.status_due.notify_one();
    }

    /// Tries to connect to targets: first to one, and to the others if that fails.
    async fn probe(&self, addresses: Vec<SocketAddr>) -> RoundResult {
        let tried = addresses.len();
        let mut addresses = addresses.into_iter();
        let Some(first) = addresses.next() else {
            return RoundResult::Failed(0);
        };
        if self.is_reached(first, FIRST_PROBE_TIMEOUT).await {
            return RoundResult::Reached;
        }
        let probes = addresses.map(|address| self.is_reached(address, PROBE_TIMEOUT));
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(is_reached) = probes.next().await {
            if is_reached {
                return RoundResult::Reached;
            }
        }
        RoundResult::Failed(tried)
    }

    async fn is_reached(&self, address: SocketAddr, timeout: Duration) -> bool {
        let Some(conn) = ProbeConnection::open(address, timeout).await else {
            return false;
        };
        self.reach.record_accepted();
        conn.is_kept().await
    }

    /// Chooses at random, but one target of each pool in each zone first: a whole
    /// pool or zone may be down while the others are reached.
    fn choose_probed_targets(&self) -> Vec<SocketAddr> {
        let fleet = self.tables.fleet.lock();
        let mut usable: Vec<_> = fleet.usable_targets_in(&self.settings.region).collect();
        usable.shuffle(&mut rand::rng());
        let mut kinds = HashSet::new();
        let records = usable.into_iter().map(|(_, known)| &known.record);
        let (mut chosen, others): (Vec<_>, Vec<_>) =
            records.partition(|record| kinds.insert((&record.pool, &record.zone)));
        let others_tried = PROBED_TARGETS.saturating_sub(chosen.len());
        chosen.extend(others.into_iter().take(others_tried));
        chosen.truncate(MAX_PROBED_TARGETS);
        chosen.iter().map(|record| record.address).collect()
    }

    /// Waits until this instance is cut off from its targets, nothing arrives on
    /// open connections, and another instance of the region can take requests.
    pub(crate) async fn until_requests_are_stuck(&self) {
        loop {
            self.reach.until_silent().await;
            if self.knows_reaching_sibling(self.clock.now()) {
                return;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Tells whether a request may leave a connection on which nothing arrives. If
    /// so, the retry budget has granted the next attempt.
    pub(crate) fn may_leave_connection(&self, cx: &PlacementContext, out: &Outbound) -> bool {
        // `attempts_left` still includes the attempt on that connection.
        cx.route.kind.is_repeatable()
            && cx.attempts_left >= 2
            && !self.is_suspected(cx)
            && self.try_consume_retry(cx, &out.id)
    }

    /// Tells whether an instance of the region that reaches its targets can be
    /// asked to run requests.
    pub(crate) fn knows_reaching_sibling(&self, now: Duration) -> bool {
        let linked = self.links.list_open_in(&self.settings.region);
        !self.members.filter_reaching(linked, now).is_empty()
    }
}
