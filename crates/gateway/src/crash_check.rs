//! Finds out whether a target has crashed after it lost requests.
//!
//! A lost connection alone does not tell: the target may have reset just that
//! one. After the first loss the losses at the target are collected for a
//! moment, and then one connection to it is tried.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::suspension::RequestDigest;
use chiverelay_decisions::tables::EntryGuard;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::traffic::PromptPart;
use chiverelay_target::refuses_connections;

use crate::Dialect;
use crate::Gateway;

/// Time over which losses at a target are collected before it is checked.
const COLLECT_TIME: Duration = Duration::from_millis(50);

/// Time limit for the connection that is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of lost requests that are kept for one check.
const MAX_LOSSES: usize = 256;

/// A request that was in flight at a target when the connection ended.
#[derive(Clone, Debug)]
pub(crate) struct LostRequest {
    pub(crate) id: RequestId,
    /// Digest of its content.
    pub(crate) digest: RequestDigest,
    /// Parts of its prompt, in order.
    pub(crate) parts: Arc<[PromptPart]>,
    /// How long its answer had been arriving; `None` if it had not begun.
    pub(crate) answered_for: Option<Duration>,
}

/// The requests lost at targets whose check has not ended.
///
/// # Invariants
///
/// A target has an entry exactly while its check runs.
#[derive(Debug)]
pub(crate) struct PendingLosses {
    by_target: RankedMutex<HashMap<Target, Vec<LostRequest>>>,
}

impl Default for PendingLosses {
    fn default() -> Self {
        Self {
            by_target: RankedMutex::new(LockRank::Losses, HashMap::new()),
        }
    }
}

impl PendingLosses {
    /// Adds a lost request, and returns whether a check of the target has to be
    /// started.
    fn add(&self, target: &Target, lost: LostRequest) -> bool {
        let mut by_target = self.by_target.lock();
        match by_target.get_mut(target) {
            None => {
                by_target.insert(target.clone(), vec![lost]);
                true
            }
            Some(losses) if losses.len() < MAX_LOSSES => {
                losses.push(lost);
                false
            }
            Some(_) => false,
        }
    }

    /// Forgets the losses at a target once its check has ended.
    fn begin_check(&self, target: &Target) -> EntryGuard<'_, Target, Vec<LostRequest>> {
        EntryGuard::new(&self.by_target, target.clone())
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Records a request that was lost at a target, and checks the target
    /// unless a check is running.
    pub(crate) fn record_lost_request(
        self: &Arc<Self>,
        target: &Target,
        address: SocketAddr,
        lost: LostRequest,
    ) {
        // A target that leaves ends connections as planned.
        if !self.tables.fleet.lock().accepts_requests(target) {
            return;
        }
        if self.pending_losses.add(target, lost) {
            let (gateway, target) = (Arc::clone(self), target.clone());
            tokio::spawn(async move { gateway.check_for_crash(&target, address).await });
        }
    }

    async fn check_for_crash(&self, target: &Target, address: SocketAddr) {
        let check = self.pending_losses.begin_check(target);
        let round = self.reach.record_failure();
        let connecting = async {
            tokio::time::sleep(COLLECT_TIME).await;
            let is_refused = refuses_connections(address, CONNECT_TIMEOUT).await;
            if is_refused {
                self.reach.until_settled(round).await;
            }
            is_refused
        };
        let checked = self.stop.run_until_cancelled(connecting).await;
        // A cut looks the same from here, also as a refused connection.
        let has_crashed = checked.unwrap_or(false) && !self.reach.explains_refused_connections();
        let losses = check.take().unwrap_or_default();
        self.metrics.count_crash_check(has_crashed);
        self.log_crash_check(target, has_crashed, &losses);
        if has_crashed {
            self.record_crash(target, &losses);
            self.suspend_lost_requests(target, &losses);
        }
    }

    fn log_crash_check(&self, target: &Target, has_crashed: bool, losses: &[LostRequest]) {
        let unanswered = losses.iter().filter(|lost| lost.answered_for.is_none());
        let now = self.clock.now();
        let fleet = self.tables.fleet.lock();
        let is_cold = fleet.get(target).is_some_and(|known| known.is_cold(now));
        drop(fleet);
        log::info!(
            target: "crashes",
            // One of the lost requests, to find the others by.
            id = losses.first().map_or("", |lost| lost.id.as_str()),
            to = target.as_str(),
            crashed = has_crashed,
            lost = losses.len(),
            unanswered = unanswered.count(),
            parts = list_shared_parts(losses),
            cold = is_cold;
            "target checked after lost requests"
        );
    }
}

/// Largest number of prompt parts in one log line.
const MAX_LOGGED_PARTS: usize = 24;

/// Lists the identifiers of the prompt parts that other requests may share, with
/// the number of lost requests that have them, most frequent first.
fn list_shared_parts(losses: &[LostRequest]) -> String {
    let mut counts: HashMap<u64, usize> = HashMap::new();
    for lost in losses {
        for part in PromptPart::shared(&lost.parts) {
            *counts.entry(part.id).or_default() += 1;
        }
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_unstable_by_key(|(id, count)| (std::cmp::Reverse(*count), *id));
    let listed = counts.iter().take(MAX_LOGGED_PARTS);
    let listed: Vec<_> = listed
        .map(|(id, count)| format!("{id:x}:{count}"))
        .collect();
    listed.join(",")
}
