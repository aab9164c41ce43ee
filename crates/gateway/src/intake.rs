//! A caller's request, from the catalog to the beginning of its answer.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::Catalog;
use chiverelay_decisions::catalog::AccountSpec;
use chiverelay_decisions::catalog::LoadedCatalog;
use chiverelay_decisions::catalog::LookupError;
use chiverelay_decisions::catalog::MatchedRoute;
use chiverelay_decisions::catalog::PoolSpec;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Outcome;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Grant;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::request::RequestMeta;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::traffic::TargetOutcome;
use hyper::StatusCode;

use crate::Dialect;
use crate::Gateway;
use crate::Inbound;
use crate::Outbound;
use crate::Reply;
use crate::ReplyBody;
use crate::forward::Forwarded;
use crate::found::Found;
use crate::message::Handled;
use crate::outcome::Answered;
use crate::outcome::Setback;
use crate::outcome::Tried;
use crate::place::Job;
use crate::place::Next;
use crate::relay::Relay;
use crate::relay::Source;

/// Places that one request is tried at, those included that did not run it.
const MAX_PLACES: usize = 5;

/// Time after which an instance that knows no catalog may know one.
const NO_CATALOG_RETRY: Duration = Duration::from_millis(500);

/// Time after the start in which the first listings are on their way.
const STARTING: Duration = Duration::from_secs(2);

/// Time for which a request waits for them.
const START_WAIT: Duration = Duration::from_millis(600);

/// Largest rank among the requests of a target.
pub(crate) const LAST_PRIORITY: u8 = 9;

/// Returns what decisions need to know of a request.
fn head(inbound: &Inbound, received: Duration, deadline: Duration) -> RequestMeta {
    RequestMeta {
        id: inbound.id.clone(),
        received,
        deadline,
        model: inbound.model.clone(),
        prompt_tokens: inbound.prompt_tokens.unwrap_or_default(),
        max_answer_tokens: inbound.max_answer_tokens,
        prefix: Vec::new(),
    }
}

/// Returns what the terms allow a request.
pub(crate) fn grant(
    terms: &MatchedRoute,
    pool: &chiverelay_decisions::names::Pool,
    charge: u64,
) -> Grant {
    let account = terms.account.as_ref();
    let residency = match account {
        Some(account) => terms.route.residency.and(&account.residency),
        None => terms.route.residency.clone(),
    };
    Grant {
        account: account.map(|account| account.name.clone()),
        route: terms.route.name.clone(),
        pool: pool.clone(),
        residency,
        repeatable: terms.route.kind.is_repeatable(),
        charged_tokens: charge,
        receipt: None,
    }
}

/// Returns the tokens to charge for a request.
fn charge(account: &AccountSpec, inbound: &Inbound) -> u64 {
    let Some(limit) = account.limit else {
        return 0;
    };
    match inbound.prompt_tokens {
        Some(prompt) => prompt.saturating_add(inbound.max_answer_tokens.unwrap_or_default()),
        None => limit.default_charge,
    }
}

/// Splits a request into what places it and what is sent.
fn prepare(
    terms: &MatchedRoute,
    pool: Arc<PoolSpec>,
    inbound: Inbound,
    account: Option<Account>,
) -> (Job, Outbound) {
    let job = Job {
        prompt_tokens: inbound.prompt_tokens.unwrap_or_default(),
        parts: inbound.parts.into(),
        attempts: terms.route.max_attempts.max(1),
        route: Arc::clone(&terms.route),
        pool,
    };
    let out = Outbound {
        id: inbound.id,
        method: inbound.method,
        path_and_query: inbound.path_and_query,
        headers: inbound.headers,
        body: inbound.body,
        account,
        priority: terms.priority().min(LAST_PRIORITY),
        stream: terms.route.kind.is_stream(),
        last_event_id: inbound.last_event_id,
    };
    (job, out)
}

fn not_covered(why: LookupError) -> Refusal {
    let (code, step) = match why {
        LookupError::NoRoute => (Code::NoRoute, Step::Route),
        LookupError::NoAccount => (Code::Unauthenticated, Step::Authenticate),
    };
    Refusal::not_run(code, step, Peer::Local)
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Takes a caller's request to the beginning of its answer.
    ///
    /// # Errors
    ///
    /// Refuses the request, and says whether it may have run.
    pub async fn handle(self: &Arc<Self>, inbound: Inbound) -> Handled {
        let received = self.clock.now();
        let patience = inbound.patience;
        let _open = self.requests.token();
        if received < STARTING && !self.is_ready() {
            self.members.started(START_WAIT).await;
        }
        let current = self.beliefs.current();
        let version = current.as_ref().map_or(0, |c| c.catalog.version);
        let mut found = Found::new(inbound.id.clone(), self.clock);
        let handled = match current {
            Some(current) => self.admit(inbound, received, &current, &mut found).await,
            None => Err(no_catalog()),
        };
        let took = self.clock.now().saturating_sub(received);
        match handled {
            Ok(reply) => {
                self.metrics.replied(reply.status, took);
                let is_wanted = reply.status.is_server_error() || self.sampler.admits(received);
                found.answered(reply.status, version, is_wanted);
                Ok(reply)
            }
            Err(refusal) => {
                let refusal = bound_retry(refusal, patience.map(|p| p.saturating_sub(took)));
                self.metrics.refused(&refusal, took);
                let store_age = self.beliefs.store_age(received);
                found.note_refusal(&refusal, version, store_age);
                Err(refusal)
            }
        }
    }

    async fn admit(
        self: &Arc<Self>,
        inbound: Inbound,
        now: Duration,
        current: &LoadedCatalog,
        found: &mut Found,
    ) -> Handled {
        let catalog = &current.catalog;
        let terms = catalog
            .find(&inbound.host, inbound.path(), inbound.key.as_deref())
            .map_err(not_covered)?;
        found.route = Some(terms.route.name.clone());
        found.account = terms.account.as_ref().map(|account| account.name.clone());
        let pool = self.find_pool(&terms, &inbound.id, catalog)?;
        let tokens = terms.account.as_ref().map_or(0, |a| charge(a, &inbound));
        if let Some(account) = &terms.account {
            self.charge(account, &inbound.id, tokens).await?;
        }
        let wait = inbound.patience.unwrap_or(terms.route.timeout);
        let deadline = now + wait.min(terms.route.timeout);
        let grant = grant(&terms, &pool.name, tokens);
        let head = head(&inbound, now, deadline);
        let account = grant.account.clone();
        let req = Request::from_caller(head).admit(grant);
        self.beliefs.traffic.lock().record_request(&pool.name, now);
        let (job, out) = prepare(&terms, pool, inbound, account.clone());
        let handled = self.run(req, job, out, found).await;
        if let (Err(refusal), Some(account)) = (&handled, &account)
            && refusal.outcome == Outcome::NotRun
        {
            self.allowances.refund(account, tokens, self.clock.now());
        }
        handled
    }

    /// Finds the pool of a request, if any region may answer it.
    fn find_pool(
        &self,
        terms: &MatchedRoute,
        id: &RequestId,
        catalog: &Catalog,
    ) -> Result<Arc<PoolSpec>, Refusal> {
        let pool = terms.route.choose_pool(id.as_str());
        let pool = pool.and_then(|name| catalog.pool(name));
        let mut regions = self.settings.zones.values();
        let pool = pool.filter(|_| regions.any(|region| terms.allows(region)));
        pool.cloned()
            .ok_or_else(|| Refusal::not_run(Code::Unavailable, Step::Route, Peer::Local))
    }

    async fn run(
        self: &Arc<Self>,
        mut req: Request<Admitted, Direct>,
        mut job: Job,
        out: Outbound,
        found: &mut Found,
    ) -> Handled {
        let mut last: Option<Setback> = None;
        for _ in 0..MAX_PLACES {
            let next = match self.place(req, &job) {
                Ok(next) => next,
                Err(refusal) => return more_telling(refusal, last),
            };
            found.placed(&next, self.clock.now());
            req = match next {
                Next::Here(placed) => match self.attempt(*placed, &mut job, &out).await {
                    Tried::Answered(answered) => return Ok(self.reply(job, out, *answered)),
                    Tried::Refused(refusal) => return Err(refusal),
                    Tried::Again(req, setback) => {
                        last = Some(setback);
                        req
                    }
                },
                Next::Away(away) => match self.forward(away, &mut job, &out).await {
                    Forwarded::Answered(reply) => return Ok(reply),
                    Forwarded::Refused(refusal) => return Err(refusal),
                    Forwarded::Again(req, setback) => {
                        last = Some(setback);
                        req
                    }
                },
            };
        }
        let refusal = req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local);
        more_telling(refusal, last)
    }

    /// Makes the reply of an answer that has begun.
    pub(crate) fn reply<O>(
        self: &Arc<Self>,
        job: Job,
        out: Outbound,
        answered: Answered<D, O>,
    ) -> Reply
    where
        O: Send + 'static,
    {
        let status = answered.answer.status();
        let headers = self.reply_headers(&answered.answer);
        let body = if answered.beginning.whole {
            ReplyBody::Full(self.finish(status, answered))
        } else {
            ReplyBody::Pieces(Relay::new(Arc::clone(self), job, out, answered).pieces())
        };
        Reply {
            status,
            headers,
            body,
        }
    }

    /// Ends a request whose answer was read whole.
    fn finish<O>(&self, status: StatusCode, answered: Answered<D, O>) -> bytes::Bytes {
        let ended = match status.is_server_error() {
            true => TargetOutcome::Failed,
            false => TargetOutcome::Answered,
        };
        drop(answered.req.answered());
        answered.held.end(ended);
        answered.answer.keep(&self.kept);
        answered.beginning.data
    }
}

fn no_catalog() -> Refusal {
    Refusal::not_run(Code::StateUnavailable, Step::Configure, Peer::Store)
        .retry_after(NO_CATALOG_RETRY)
}

/// Prefers what the last attempt brought to the mere fact that nothing else is
/// left: a target's failure, or its reason. The outcome is that of the whole
/// request.
fn more_telling(refusal: Refusal, last: Option<Setback>) -> Handled {
    match last {
        Some(last) if refusal.code == Code::Unavailable || last.reply.is_some() => Setback {
            refusal: Refusal {
                outcome: refusal.outcome,
                retry_after: last.refusal.retry_after.or(refusal.retry_after),
                ..last.refusal
            },
            reply: last.reply,
        }
        .end(),
        _ => Err(refusal),
    }
}

/// A caller follows a delay only up to a third of the time that it has left.
fn bound_retry(mut refusal: Refusal, left: Option<Duration>) -> Refusal {
    if let (Some(delay), Some(left)) = (refusal.retry_after, left) {
        refusal.retry_after = Some(delay.min(left / 3));
    }
    refusal
}
