//! Placement of admitted requests on targets and other regions.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Tables;
use super::local_placer::LocalPlacer;
use crate::config::Config;
use crate::names::Instance;
use crate::names::Region;
use crate::placement::LinkBudget;
use crate::placement::prefix;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::request::Admitted;
use crate::request::Direct;
use crate::request::Forwarded;
use crate::request::Placed;
use crate::request::PlacedRemote;
use crate::request::Request;
use crate::step::Peer;
use crate::step::Step;

/// Assumed time to the first token in a region that sent no summaries yet.
const UNKNOWN_REGION_FIRST_TOKEN: Duration = Duration::from_secs(1);

/// By how much the expected time to the first token in another region must be
/// shorter than in this one for a request to be forwarded.
const FORWARD_MARGIN: Duration = Duration::from_millis(50);

/// Where a caller's request is sent.
#[derive(Debug)]
pub enum Placement {
    /// The request goes to a target of this region.
    Local(Request<Placed, Direct>),
    /// The request is forwarded to a sibling in another region.
    Remote(Request<PlacedRemote, Direct>),
    /// The request has to wait for a slot.
    Wait(Request<Admitted, Direct>),
}

/// Where a request that a sibling forwarded is sent.
#[derive(Debug)]
pub enum ForwardedPlacement {
    /// The request goes to a target of this region.
    Local(Request<Placed, Forwarded>),
    /// The request has to wait for a slot.
    Wait(Request<Admitted, Forwarded>),
}

/// Whether a request has waited in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueStatus {
    /// It has not waited, and must not start before requests that wait.
    New,
    /// It was woken for a free slot, and may start at once.
    Woken,
}

/// A sibling in another region, with the expected time to the first token
/// there.
struct RemoteCandidate {
    instance: Instance,
    region: Region,
    time_to_first_token: Duration,
    has_free_slot: bool,
}

/// Marks a sibling as not serving, so that no requests are forwarded to it
/// until its next message is received.
pub fn mark_sibling_unavailable(tables: &Tables, instance: &Instance) {
    tables.siblings.with(instance, |sibling| {
        if let Some(sibling) = sibling {
            sibling.serving = false;
        }
    });
}

/// Places a caller's request: on a target of this region, on a sibling in
/// another region, or in the queue.
///
/// # Errors
///
/// Refuses a request for which no allowed target can be reached, and a retry
/// beyond the retry budget.
pub fn place(
    tables: &Tables,
    req: Request<Admitted, Direct>,
    own_region: &Region,
    queue_status: QueueStatus,
    now: Duration,
) -> Result<Placement, Refusal> {
    let config = tables.config.get();
    let (placer, req) =
        LocalPlacer::for_request(tables, &config, req, own_region, queue_status, now)?;
    let remote = find_remote(&placer, &config, &req);
    let Some(best) = placer.best_candidate(&req, remote.is_none()) else {
        return match remote {
            Some(remote) => forward_within_budget(&placer, req, remote),
            None => Err(req.refuse(Code::Unavailable, Step::Place, Peer::Local)),
        };
    };
    let local = best.time_to_first_token.max(placer.queue_wait(&req));
    if let Some(remote) = remote
        && remote.has_free_slot
        && remote.time_to_first_token + FORWARD_MARGIN < local
        && spend_link_budget(&placer, &req, &remote.region).is_ok()
    {
        return forward_to(&placer, req, remote);
    }
    if queue_status == QueueStatus::New && !placer.may_start(&req, &best) {
        return Ok(Placement::Wait(req));
    }
    placer.place_at(req, &best).map(Placement::Local)
}

/// Places a request that a sibling forwarded, on a target of this region or in
/// the queue.
///
/// # Errors
///
/// Refuses the request if no target of this region can serve it, and a retry
/// beyond the retry budget.
pub fn place_forwarded(
    tables: &Tables,
    req: Request<Admitted, Forwarded>,
    own_region: &Region,
    queue_status: QueueStatus,
    now: Duration,
) -> Result<ForwardedPlacement, Refusal> {
    let config = tables.config.get();
    let (placer, req) =
        LocalPlacer::for_request(tables, &config, req, own_region, queue_status, now)?;
    let Some(best) = placer.best_candidate(&req, true) else {
        return Err(req.refuse(Code::Unavailable, Step::Place, Peer::Local));
    };
    if queue_status == QueueStatus::New && !placer.may_start(&req, &best) {
        return Ok(ForwardedPlacement::Wait(req));
    }
    placer.place_at(req, &best).map(ForwardedPlacement::Local)
}

fn forward_to(
    placer: &LocalPlacer<'_>,
    req: Request<Admitted, Direct>,
    remote: RemoteCandidate,
) -> Result<Placement, Refusal> {
    req.place_remote(remote.instance, remote.region, &placer.residency)
        .map(Placement::Remote)
        .map_err(|req| req.refuse(Code::Unavailable, Step::Place, Peer::Local))
}

/// Forwards a request that has no target in this region, or refuses it if the
/// link's budget is spent.
fn forward_within_budget(
    placer: &LocalPlacer<'_>,
    req: Request<Admitted, Direct>,
    remote: RemoteCandidate,
) -> Result<Placement, Refusal> {
    match spend_link_budget(placer, &req, &remote.region) {
        Ok(()) => forward_to(placer, req, remote),
        Err(wait) => {
            let refusal = req.refuse(Code::Overloaded, Step::Place, Peer::Local);
            Err(match wait {
                Some(wait) => refusal.with_retry_after(wait),
                None => refusal,
            })
        }
    }
}

/// Returns the bytes that forwarding a request is expected to transfer. Without
/// a limit on the answer, what was charged beyond the prompt counts for it,
/// which is nothing for a request that was not charged.
fn link_bytes(req: &Request<Admitted, Direct>) -> u64 {
    let meta = req.meta();
    let answer = req
        .grant()
        .charged_tokens
        .saturating_sub(meta.prompt_tokens);
    LinkBudget::request_bytes(meta.prompt_tokens, meta.max_answer_tokens.unwrap_or(answer))
}

/// Spends the link's budget for a request. Fails with the time until the budget
/// allows the request, or `None` if it never will.
fn spend_link_budget(
    placer: &LocalPlacer<'_>,
    req: &Request<Admitted, Direct>,
    region: &Region,
) -> Result<(), Option<Duration>> {
    let bytes = link_bytes(req);
    let new_budget = || LinkBudget::new(placer.tables.network.link_to(region), placer.now);
    placer
        .tables
        .link_budgets
        .with_or_insert(region, new_budget, |link| {
            if link.try_spend(bytes, placer.now) {
                return Ok(());
            }
            Err(link.time_until(bytes, placer.now))
        })
}

/// Returns the best sibling in the other regions that may serve a request.
///
/// Regions are compared by free slots and expected time to the first token, and
/// siblings of one region by the affinity of the prompt's prefix.
fn find_remote(
    placer: &LocalPlacer<'_>,
    config: &Config,
    req: &Request<Admitted, Direct>,
) -> Option<RemoteCandidate> {
    let grant = req.grant();
    let affinity_key = req.meta().affinity_key().unwrap_or_default();
    let network = &placer.tables.network;
    let bytes = link_bytes(req);
    let entry = config.pools.get(&grant.pool)?;
    let regions: BTreeSet<&Region> = entry.targets.values().map(|t| &t.region).collect();
    let mut found: Option<(u64, RemoteCandidate)> = None;
    placer.tables.siblings.for_each(|name, sibling| {
        let region = &sibling.region;
        if !sibling.serving
            || req.asked_siblings().contains(name)
            || region == placer.own_region
            || !placer.residency.allows(region)
            || !regions.contains(region)
        {
            return;
        }
        let summary = sibling.summaries.iter().find(|s| s.pool == grant.pool);
        // A region whose summaries do not include the pool can't serve it.
        if summary.is_none() && !sibling.summaries.is_empty() {
            return;
        }
        let remote_first_token = summary.map_or(UNKNOWN_REGION_FIRST_TOKEN, |s| {
            s.time_to_first_token(req.meta().prompt_tokens)
        });
        let link = network.link_to(region);
        let remote = RemoteCandidate {
            instance: name.clone(),
            region: region.clone(),
            time_to_first_token: link.round_trip + link.transfer_time(bytes) + remote_first_token,
            has_free_slot: summary.is_some_and(|s| s.has_free_slot()),
        };
        let weight = prefix::rendezvous_weight(affinity_key, name.as_str());
        let rank = |remote: &RemoteCandidate| (!remote.has_free_slot, remote.time_to_first_token);
        let is_better = match &found {
            None => true,
            Some((_, old)) if old.region != remote.region => rank(&remote) < rank(old),
            Some((old, _)) => weight > *old,
        };
        if is_better {
            found = Some((weight, remote));
        }
    });
    found.map(|(_, remote)| remote)
}
