//! Admission of requests: authentication, routing, and the charge to the client
//! account.

use std::time::Duration;

use super::Tables;
use crate::config::AccountEntry;
use crate::config::RouteEntry;
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

/// The parts of a caller's request from which its admission is decided.
#[derive(Clone)]
pub struct AdmissionInput<'a> {
    /// Path of the request's URI.
    pub path: &'a str,
    /// The API key sent with the request, if any.
    pub api_key: Option<&'a str>,
}

/// Shortest delay that a rate-limited caller is told to wait before a retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Longest delay that a rate-limited caller is told to wait, in nanoseconds. It
/// keeps the conversion to `u64` from overflowing.
const MAX_RETRY_AFTER_NANOS: u128 = 1_000_000_000_000_000_000;

/// Result of the admission of a request that passed all checks.
#[derive(Debug)]
pub enum Admission {
    /// The request was admitted, and its account was charged.
    Admitted(Request<Admitted, Direct>),
    /// This instance's share of the account has too few tokens. The caller may
    /// borrow tokens from other instances and call [`try_charge`], or refuse
    /// the request.
    Uncharged(Box<UnchargedRequest>),
}

/// A request that passed all checks, but could not be charged yet.
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
    req.refuse(code, step, Peer::Local)
}

/// Checks the API key and the route of a request, and charges its account.
///
/// # Errors
///
/// Refuses a request that has no valid key, matches no route, or whose account
/// may not use the route.
pub fn admit(
    tables: &Tables,
    req: Request<Received, Direct>,
    input: &AdmissionInput<'_>,
    now: Duration,
) -> Result<Admission, Refusal> {
    let config = tables.config.get();
    let credentials = input
        .api_key
        .and_then(|key| config.authenticate(key))
        .filter(|(id, _)| !tables.withdrawn_keys.lock().contains(id));
    let Some((name, route)) = config.find_route(input.path, req.meta().model.as_ref()) else {
        // Only a caller with a valid key learns which routes exist.
        if credentials.is_none() {
            return Err(refuse(req, Code::Unauthenticated, Step::Authenticate));
        }
        return Err(refuse(req, Code::NoRoute, Step::Route));
    };
    if route.open {
        let grant = make_grant(name, route, None, 0);
        return Ok(Admission::Admitted(req.admit(grant)));
    }
    let Some((key, account)) = credentials else {
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
    let uncharged = UnchargedRequest {
        req: req.with_key(key.clone()),
        grant: make_grant(name, route, Some((account, limit)), charge),
        account: account.clone(),
        rate: limit.rate,
        burst: limit.burst,
        missing_nano_tokens: 0,
    };
    Ok(try_charge(tables, uncharged, now))
}

/// Charges the account of an uncharged request, if its share has the tokens
/// now.
pub fn try_charge(tables: &Tables, mut uncharged: UnchargedRequest, now: Duration) -> Admission {
    match tables
        .shares
        .charge(&uncharged.account, uncharged.grant.charged_tokens, now)
    {
        Ok(receipt) => {
            uncharged.grant.receipt = Some(receipt);
            Admission::Admitted(uncharged.req.admit(uncharged.grant))
        }
        Err(e) => {
            uncharged.missing_nano_tokens = e.missing;
            Admission::Uncharged(Box::new(uncharged))
        }
    }
}

impl UnchargedRequest {
    /// Returns the account to charge.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Returns the tokens that this instance's share lacks, in nano-tokens.
    pub fn missing_nano_tokens(&self) -> u128 {
        self.missing_nano_tokens
    }

    /// Returns whether the charge fits in the account's burst, so that it can
    /// ever succeed.
    pub fn fits_burst(&self) -> bool {
        self.grant.charged_tokens <= self.burst
    }

    /// Returns the deadline of the request, on the local monotonic clock.
    pub fn deadline(&self) -> Duration {
        self.req.meta().deadline
    }

    /// Refuses the request as rate-limited.
    ///
    /// If the charge can ever succeed, the caller is told to retry after the
    /// time in which the account's limit refills by the missing tokens.
    pub fn refuse(self) -> Refusal {
        let can_fill = self.fits_burst() && self.rate > 0;
        let refusal = self.req.refuse(Code::RateLimited, Step::Admit, Peer::Local);
        if !can_fill {
            return refusal;
        }
        let nanos = self
            .missing_nano_tokens
            .div_ceil(u128::from(self.rate))
            .min(MAX_RETRY_AFTER_NANOS);
        refusal.with_retry_after(Duration::from_nanos(nanos as u64).max(MIN_RETRY_AFTER))
    }
}

/// Returns the tokens to charge: those of the prompt and of the longest allowed
/// answer.
fn tokens_to_charge<O>(req: &Request<Received, O>, route: &RouteEntry) -> u64 {
    let meta = req.meta();
    let answer = meta.max_answer_tokens.unwrap_or(route.max_answer_tokens);
    meta.prompt_tokens.saturating_add(answer)
}

fn make_grant(
    name: &Route,
    route: &RouteEntry,
    account: Option<(&Account, &AccountEntry)>,
    charged_tokens: u64,
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
        charged_tokens,
        receipt: None,
    }
}

/// Checks a request forwarded by a sibling against this instance's
/// configuration. The sibling has charged the account.
///
/// # Errors
///
/// Refuses a request that this instance would not have admitted itself, or that
/// may not run in this region. An account that is missing from the
/// configuration is refused only at placement, unless the route is open.
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
        // An account missing from the configuration gives `None` here; such a
        // request is refused at placement unless the route is open.
        Some(account) if entry.accounts.contains(account) => config.accounts.get_key_value(account),
        Some(_) => return Err(refuse(req, Code::Forbidden, Step::Route)),
    };
    let grant = make_grant(name, entry, account, 0);
    if !grant.residency.allows(own_region) {
        return Err(refuse(req, Code::Forbidden, Step::Place));
    }
    Ok(req.admit(grant))
}

/// Settles the charge of a request that used `used` tokens.
pub fn settle_charge(tables: &Tables, grant: &Grant, used: u64, now: Duration) {
    let Some(account) = &grant.account else {
        return;
    };
    if let Some(receipt) = &grant.receipt {
        tables.shares.settle(account, receipt, used, now);
    }
}
