//! Where an admitted request goes.

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

/// Expected time to the first token in a region that said nothing yet.
const UNKNOWN_REGION_FIRST_TOKEN: Duration = Duration::from_secs(1);

/// By how much another region must be better than this one.
const SPILL_MARGIN: Duration = Duration::from_millis(50);

/// Where a caller's request goes.
#[derive(Debug)]
pub enum Placement {
    /// To a target of this region.
    Local(Request<Placed, Direct>),
    /// To a sibling in another region.
    Remote(Request<PlacedRemote, Direct>),
    /// It waits for a slot.
    Wait(Request<Admitted, Direct>),
}

/// Where a request goes that a sibling passed on.
#[derive(Debug)]
pub enum LocalPlacement {
    /// To a target of this region.
    Local(Request<Placed, Forwarded>),
    /// It waits for a slot.
    Wait(Request<Admitted, Forwarded>),
}

/// Whether a request waited before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueStatus {
    /// It goes behind those that wait.
    New,
    /// It was woken, so a slot is its own.
    Woken,
}

/// A sibling of another region with the region's expected time.
struct RemoteCandidate {
    instance: Instance,
    region: Region,
    time_to_first_token: Duration,
    has_free_slot: bool,
}

/// Sends no requests to a sibling until it is heard again.
pub fn mark_sibling_unavailable(tables: &Tables, instance: &Instance) {
    tables.siblings.with(instance, |sibling| {
        if let Some(sibling) = sibling {
            sibling.serving = false;
        }
    });
}

/// Chooses a target of this region, a sibling of another one, or a wait.
///
/// # Errors
///
/// Refuses a request for which no allowed target can be reached, and a retry
/// beyond the budget or the deadline.
pub fn place(
    tables: &Tables,
    req: Request<Admitted, Direct>,
    here: &Region,
    turn: QueueStatus,
    now: Duration,
) -> Result<Placement, Refusal> {
    let config = tables.config.get();
    let (scan, req) = LocalPlacer::for_request(tables, &config, req, here, turn, now)?;
    let far = find_remote(&scan, &config, &req);
    let Some(best) = scan.best_candidate(&req, far.is_none()) else {
        return match far {
            Some(far) => forward_within_budget(&scan, req, far),
            None => Err(req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local)),
        };
    };
    let local = best.time_to_first_token.max(scan.queue_wait(&req));
    if let Some(far) = far
        && far.has_free_slot
        && far.time_to_first_token + SPILL_MARGIN < local
        && spend_link_budget(&scan, &req, &far.region).is_ok()
    {
        return forward_to(req, far);
    }
    if turn == QueueStatus::New && !scan.may_start(&req, &best) {
        return Ok(Placement::Wait(req));
    }
    scan.place_at(req, &best).map(Placement::Local)
}

/// Chooses a target of this region for a request that a sibling passed on.
///
/// # Errors
///
/// Refuses the request if this region has no target for it.
pub fn place_forwarded(
    tables: &Tables,
    req: Request<Admitted, Forwarded>,
    here: &Region,
    turn: QueueStatus,
    now: Duration,
) -> Result<LocalPlacement, Refusal> {
    let config = tables.config.get();
    let (scan, req) = LocalPlacer::for_request(tables, &config, req, here, turn, now)?;
    let Some(best) = scan.best_candidate(&req, true) else {
        return Err(req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local));
    };
    if turn == QueueStatus::New && !scan.may_start(&req, &best) {
        return Ok(LocalPlacement::Wait(req));
    }
    scan.place_at(req, &best).map(LocalPlacement::Local)
}

fn forward_to(req: Request<Admitted, Direct>, far: RemoteCandidate) -> Result<Placement, Refusal> {
    req.place_remote(far.instance, far.region)
        .map(Placement::Remote)
        .map_err(|req| req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local))
}

/// Sends a request away that has no target in this region.
fn forward_within_budget(
    scan: &LocalPlacer<'_>,
    req: Request<Admitted, Direct>,
    far: RemoteCandidate,
) -> Result<Placement, Refusal> {
    match spend_link_budget(scan, &req, &far.region) {
        Ok(()) => forward_to(req, far),
        Err(wait) => {
            let refusal = req.refuse_not_run(Code::Overloaded, Step::Place, Peer::Local);
            Err(match wait {
                Some(wait) => refusal.retry_after(wait),
                None => refusal,
            })
        }
    }
}

fn link_bytes(req: &Request<Admitted, Direct>) -> u64 {
    let head = req.meta();
    let answer = req
        .grant()
        .charged_tokens
        .saturating_sub(head.prompt_tokens);
    LinkBudget::request_bytes(head.prompt_tokens, head.max_answer_tokens.unwrap_or(answer))
}

/// Spends the link's budget for a request, or tells the wait for it.
fn spend_link_budget(
    scan: &LocalPlacer<'_>,
    req: &Request<Admitted, Direct>,
    region: &Region,
) -> Result<(), Option<Duration>> {
    let bytes = link_bytes(req);
    let make = || LinkBudget::new(scan.tables.network.link_to(region), scan.now);
    scan.tables
        .link_budgets
        .with_or_insert(region, make, |link| {
            if link.try_spend(bytes, scan.now) {
                return Ok(());
            }
            Err(link.time_until(bytes, scan.now))
        })
}

/// Finds the best of the other regions that may answer.
fn find_remote(
    scan: &LocalPlacer<'_>,
    config: &Config,
    req: &Request<Admitted, Direct>,
) -> Option<RemoteCandidate> {
    let grant = req.grant();
    let home = req.meta().affinity_key().unwrap_or_default();
    let network = &scan.tables.network;
    let bytes = link_bytes(req);
    let entry = config.pools.get(&grant.pool)?;
    let regions: BTreeSet<&Region> = entry.targets.values().map(|t| &t.region).collect();
    let mut found: Option<(u64, RemoteCandidate)> = None;
    scan.tables.siblings.for_each(|name, sibling| {
        let region = &sibling.region;
        if !sibling.serving
            || req.asked_siblings().contains(name)
            || region == scan.here
            || !scan.residency.allows(region)
            || !regions.contains(region)
        {
            return;
        }
        let summary = sibling.summaries.iter().find(|s| s.pool == grant.pool);
        // A region that says what it has, and has none of the pool, is skipped.
        if summary.is_none() && !sibling.summaries.is_empty() {
            return;
        }
        let there = summary.map_or(UNKNOWN_REGION_FIRST_TOKEN, |s| {
            s.time_to_first_token(req.meta().prompt_tokens)
        });
        let link = network.link_to(region);
        let far = RemoteCandidate {
            instance: name.clone(),
            region: region.clone(),
            time_to_first_token: link.round_trip + link.transfer_time(bytes) + there,
            has_free_slot: summary.is_some_and(|s| s.has_free_slot()),
        };
        let weight = prefix::rendezvous_weight(home, name.as_str());
        let rank = |far: &RemoteCandidate| (!far.has_free_slot, far.time_to_first_token);
        let better = match &found {
            None => true,
            Some((_, old)) if old.region != far.region => rank(&far) < rank(old),
            Some((old, _)) => weight > *old,
        };
        if better {
            found = Some((weight, far));
        }
    });
    found.map(|(_, far)| far)
}
