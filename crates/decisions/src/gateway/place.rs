//! Where an admitted request goes.

use std::sync::Arc;
use std::time::Duration;

use super::Tables;
use crate::config::Config;
use crate::names::Instance;
use crate::names::Region;
use crate::names::Target;
use crate::placement::Load;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::request::Admitted;
use crate::request::Away;
use crate::request::Direct;
use crate::request::Forwarded;
use crate::request::Grant;
use crate::request::Placed;
use crate::request::Request;
use crate::step::Peer;
use crate::step::Step;

/// Where a caller's request goes.
#[derive(Debug)]
pub enum Placement {
    /// To a target of this region.
    Here(Request<Placed, Direct>),
    /// To a sibling in another region.
    Away(Request<Away, Direct>),
}

/// Time without new work for a target that failed.
const EJECTION: Duration = Duration::from_secs(5);

/// Chooses a target of this region, or else a sibling of another one.
///
/// # Errors
///
/// Refuses a request for which no allowed target can be reached.
pub fn place(
    tables: &Tables,
    req: Request<Admitted, Direct>,
    here: &Region,
    now: Duration,
) -> Result<Placement, Refusal> {
    let config = tables.config.get();
    let req = match place_here(tables, &config, req, here, now) {
        Ok(req) => return Ok(Placement::Here(req)),
        Err(req) => req,
    };
    let grant = Arc::clone(req.grant());
    let Some((instance, region)) = find_sibling(tables, &config, &grant, here) else {
        return Err(req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local));
    };
    req.place_away(instance, region)
        .map(Placement::Away)
        .map_err(|req| req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local))
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
    now: Duration,
) -> Result<Request<Placed, Forwarded>, Refusal> {
    let config = tables.config.get();
    place_here(tables, &config, req, here, now)
        .map_err(|req| req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local))
}

fn place_here<O>(
    tables: &Tables,
    config: &Config,
    req: Request<Admitted, O>,
    here: &Region,
    now: Duration,
) -> Result<Request<Placed, O>, Request<Admitted, O>> {
    let Some(pool) = config.pools.get(&req.grant().pool) else {
        return Err(req);
    };
    let best = pool
        .targets
        .iter()
        .filter(|(_, t)| t.region == *here)
        .filter_map(|(name, _)| Some((load(tables, name, now)?, name)))
        .min();
    match best {
        None => Err(req),
        Some((_, name)) => req.place(name.clone(), here.clone()),
    }
}

fn load(tables: &Tables, target: &Target, now: Duration) -> Option<u64> {
    tables.targets.with(target, |load| match load {
        None => Some(0),
        Some(load) if load.ejected_until > now => None,
        Some(load) => Some(load.running),
    })
}

fn find_sibling(
    tables: &Tables,
    config: &Config,
    grant: &Grant,
    here: &Region,
) -> Option<(Instance, Region)> {
    let pool = config.pools.get(&grant.pool)?;
    let mut found = None;
    tables.siblings.for_each(|name, sibling| {
        let region = &sibling.region;
        let has_target = || pool.targets.values().any(|t| t.region == *region);
        if found.is_none()
            && sibling.serving
            && region != here
            && grant.residency.allows(region)
            && has_target()
        {
            found = Some((name.clone(), region.clone()));
        }
    });
    found
}

/// Sends no new work to a target for a while.
pub fn eject(tables: &Tables, target: &Target, now: Duration) {
    tables.targets.with_or(target, Load::default, |load| {
        load.ejected_until = now + EJECTION;
    });
}

/// Counts a request as running at its target.
pub fn start(tables: &Tables, target: &Target) {
    tables
        .targets
        .with_or(target, Load::default, |load| load.running += 1);
}

/// Counts a request as ended at its target.
pub fn finish(tables: &Tables, target: &Target) {
    tables.targets.with(target, |load| {
        if let Some(load) = load {
            load.running = load.running.saturating_sub(1);
        }
    });
}
