//! Who may ask for what, and the charge to the client account.

use std::time::Duration;

use super::Tables;
use crate::config::AccountEntry;
use crate::config::RouteEntry;
use crate::limits::Bucket;
use crate::names::Account;
use crate::names::Region;
use crate::names::Route;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::request::Admitted;
use crate::request::Direct;
use crate::request::Forwarded;
use crate::request::Grant;
use crate::request::Received;
use crate::request::Request;
use crate::step::Peer;
use crate::step::Step;

/// What the gateway reads of a caller's request to decide on it.
#[derive(Clone)]
pub struct Ask<'a> {
    /// Path of the request.
    pub path: &'a str,
    /// The key that came with it.
    pub key: Option<&'a str>,
}

fn refuse<O>(req: Request<Received, O>, code: Code, step: Step) -> Refusal {
    req.refuse_not_run(code, step, Peer::Local)
}

/// Checks key and route and charges the account.
///
/// # Errors
///
/// Refuses a request without a valid key, without a route or over its limit.
pub fn admit(
    tables: &Tables,
    req: Request<Received, Direct>,
    ask: &Ask<'_>,
    now: Duration,
) -> Result<Request<Admitted, Direct>, Refusal> {
    let config = tables.config.get();
    let shown = ask
        .key
        .and_then(|key| config.authenticate(key))
        .filter(|(id, _)| !tables.withdrawn.lock().contains(id));
    let Some((name, route)) = config.find_route(ask.path, req.head().model.as_ref()) else {
        // Only a caller with a key learns which routes exist.
        if shown.is_none() {
            return Err(refuse(req, Code::Unauthenticated, Step::Authenticate));
        }
        return Err(refuse(req, Code::NoRoute, Step::Route));
    };
    if route.open {
        return Ok(req.admit(grant(name, route, None, 0)));
    }
    let Some((key, account)) = shown else {
        return Err(refuse(req, Code::Unauthenticated, Step::Authenticate));
    };
    if !route.accounts.contains(account) {
        return Err(refuse(req, Code::Forbidden, Step::Route));
    }
    let Some(limit) = config.accounts.get(account) else {
        return Err(refuse(req, Code::Forbidden, Step::Admit));
    };
    let charge = charge(&req, route);
    take(tables, account, limit, charge, now).map_err(limited)?;
    let req = req.with_key(key.clone());
    Ok(req.admit(grant(name, route, Some((account, limit)), charge)))
}

fn limited(wait: Option<Duration>) -> Refusal {
    let refusal = Refusal::before_dispatch(Code::RateLimited, Step::Admit, Peer::Local);
    match wait {
        Some(wait) => refusal.retry_after(wait),
        None => refusal,
    }
}

/// Returns the tokens to charge: the prompt and the largest answer.
fn charge<O>(req: &Request<Received, O>, route: &RouteEntry) -> u64 {
    let head = req.head();
    let answer = head.max_answer_tokens.unwrap_or(route.max_answer_tokens);
    head.prompt_tokens.saturating_add(answer)
}

fn take(
    tables: &Tables,
    account: &Account,
    limit: &AccountEntry,
    charge: u64,
    now: Duration,
) -> Result<(), Option<Duration>> {
    let make = || Bucket::full(limit.rate, limit.burst, now);
    tables.accounts.with_or(account, make, |bucket| {
        if bucket.take(charge, now) {
            return Ok(());
        }
        Err(bucket.wait(charge, now))
    })
}

fn grant(
    name: &Route,
    route: &RouteEntry,
    account: Option<(&Account, &AccountEntry)>,
    charge: u64,
) -> Grant {
    let residency = match account {
        Some((_, entry)) => route.residency.and(&entry.residency),
        None => route.residency.clone(),
    };
    Grant {
        account: account.map(|(name, _)| name.clone()),
        route: name.clone(),
        pool: route.pool.clone(),
        residency,
        repeatable: route.repeatable,
        charge,
    }
}

/// Checks a sibling's request against this instance's own configuration.
///
/// # Errors
///
/// Refuses what this instance would not have admitted itself.
pub fn admit_forwarded(
    tables: &Tables,
    req: Request<Received, Forwarded>,
    account: Option<&Account>,
    route: &Route,
    here: &Region,
) -> Result<Request<Admitted, Forwarded>, Refusal> {
    let config = tables.config.get();
    let Some((name, entry)) = config.routes.get_key_value(route) else {
        return Err(refuse(req, Code::NoRoute, Step::Route));
    };
    let account = match account {
        None if entry.open => None,
        None => return Err(refuse(req, Code::Forbidden, Step::Route)),
        Some(account) if entry.accounts.contains(account) => config.accounts.get_key_value(account),
        Some(_) => return Err(refuse(req, Code::Forbidden, Step::Route)),
    };
    let grant = grant(name, entry, account, 0);
    if !grant.residency.allows(here) {
        return Err(refuse(req, Code::Forbidden, Step::Place));
    }
    Ok(req.admit(grant))
}

/// Gives an account back the tokens that a request did not use.
pub fn settle(tables: &Tables, grant: &Grant, used: u64, now: Duration) {
    let Some(account) = &grant.account else {
        return;
    };
    tables.accounts.with(account, |bucket| {
        if let Some(bucket) = bucket {
            bucket.refund(grant.charge.saturating_sub(used), now);
        }
    });
}
