//! Who may ask for what, and the charge to the client account.

use std::time::Duration;

use super::Tables;
use crate::config::AccountEntry;
use crate::config::RouteEntry;
use crate::limits::NANOS_PER_TOKEN;
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
pub struct AdmissionInput<'a> {
    /// Path of the request.
    pub path: &'a str,
    /// The key that came with it.
    pub api_key: Option<&'a str>,
}

/// Shortest time after which a refused caller is told to try again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// What became of a request that may be admitted.
#[derive(Debug)]
pub enum Admission {
    /// The account was charged.
    Admitted(Request<Admitted, Direct>),
    /// The share held here has too few tokens; others may have them.
    Uncharged(Box<UnchargedRequest>),
}

/// A request that may run once its account can be charged.
#[derive(Debug)]
pub struct UnchargedRequest {
    req: Request<Received, Direct>,
    grant: Grant,
    account: Account,
    rate: u64,
    burst: u64,
    missing_nano_tokens: u128,
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
    input: &AdmissionInput<'_>,
    now: Duration,
) -> Result<Admission, Refusal> {
    let config = tables.config.get();
    let shown = input
        .api_key
        .and_then(|key| config.authenticate(key))
        .filter(|(id, _)| !tables.withdrawn_keys.lock().contains(id));
    let Some((name, route)) = config.find_route(input.path, req.meta().model.as_ref()) else {
        // Only a caller with a key learns which routes exist.
        if shown.is_none() {
            return Err(refuse(req, Code::Unauthenticated, Step::Authenticate));
        }
        return Err(refuse(req, Code::NoRoute, Step::Route));
    };
    if route.open {
        let grant = grant(name, route, None, 0);
        return Ok(Admission::Admitted(req.admit(grant)));
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
    let charge = tokens_to_charge(&req, route);
    tables.shares.apply_config(&config, now);
    let short = UnchargedRequest {
        req: req.with_key(key.clone()),
        grant: grant(name, route, Some((account, limit)), charge),
        account: account.clone(),
        rate: limit.rate,
        burst: limit.burst,
        missing_nano_tokens: 0,
    };
    Ok(retry_charge(tables, short, now))
}

/// Charges the account of a request that was short of tokens.
pub fn retry_charge(tables: &Tables, mut short: UnchargedRequest, now: Duration) -> Admission {
    match tables
        .shares
        .charge(&short.account, short.grant.charged_tokens, now)
    {
        Ok(receipt) => {
            short.grant.receipt = Some(receipt);
            Admission::Admitted(short.req.admit(short.grant))
        }
        Err(lacks) => {
            short.missing_nano_tokens = lacks.missing;
            Admission::Uncharged(Box::new(short))
        }
    }
}

impl UnchargedRequest {
    /// Returns the account.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Returns the nano-tokens that are missing.
    pub fn missing_nano_tokens(&self) -> u128 {
        self.missing_nano_tokens
    }

    /// Tells whether the account can ever have so many tokens at once.
    pub fn fits_burst(&self) -> bool {
        self.grant.charged_tokens <= self.burst
    }

    /// Returns when the request must be answered.
    pub fn deadline(&self) -> Duration {
        self.req.meta().deadline
    }

    /// Refuses the request; another try may succeed once the account has
    /// filled by what is missing.
    pub fn refuse(self) -> Refusal {
        let possible = self.fits_burst() && self.rate > 0;
        let refusal = self
            .req
            .refuse_not_run(Code::RateLimited, Step::Admit, Peer::Local);
        if !possible {
            return refusal;
        }
        let nanos = self
            .missing_nano_tokens
            .div_ceil(u128::from(self.rate))
            .min(NANOS_PER_TOKEN * NANOS_PER_TOKEN);
        refusal.retry_after(Duration::from_nanos(nanos as u64).max(MIN_RETRY_AFTER))
    }
}

/// Returns the tokens to charge: the prompt and the largest answer.
fn tokens_to_charge<O>(req: &Request<Received, O>, route: &RouteEntry) -> u64 {
    let head = req.meta();
    let answer = head.max_answer_tokens.unwrap_or(route.max_answer_tokens);
    head.prompt_tokens.saturating_add(answer)
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
        charged_tokens: charge,
        receipt: None,
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
    own_region: &Region,
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
    if !grant.residency.allows(own_region) {
        return Err(refuse(req, Code::Forbidden, Step::Place));
    }
    Ok(req.admit(grant))
}

/// Gives an account back the tokens that a request did not use.
pub fn settle_charge(tables: &Tables, grant: &Grant, used: u64, now: Duration) {
    let Some(account) = &grant.account else {
        return;
    };
    if let Some(receipt) = &grant.receipt {
        tables.shares.settle(account, receipt, used, now);
    }
}
