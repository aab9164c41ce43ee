//! Handles a caller's request from admission to the start of its answer.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::Catalog;
use chiverelay_decisions::catalog::AccountSpec;
use chiverelay_decisions::catalog::LoadedCatalog;
use chiverelay_decisions::catalog::LookupError;
use chiverelay_decisions::catalog::MatchedRoute;
use chiverelay_decisions::catalog::PoolSpec;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Outcome;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Grant;
use chiverelay_decisions::request::Origin;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::request::RequestMeta;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::traffic::LOWEST_PRIORITY;
use chiverelay_decisions::traffic::TargetOutcome;
use hyper::StatusCode;

use crate::Dialect;
use crate::Gateway;
use crate::Inbound;
use crate::Outbound;
use crate::Reply;
use crate::ReplyBody;
use crate::dispatch::MIN_TIME_TO_SEND;
use crate::forward::ForwardOutcome;
use crate::hedge::Hedge;
use crate::hedge::OtherRegion;
use crate::message::HandleResult;
use crate::outcome::AttemptOutcome;
use crate::outcome::Fallback;
use crate::outcome::StartedAnswer;
use crate::place::Destination;
use crate::place::PlacementContext;
use crate::quarantine;
use crate::relay::AnswerSource;
use crate::relay::Relay;
use crate::request_log::RequestLog;
use crate::residency::Sender;
use crate::sent_count::SentCount;
use crate::shutdown::refuse_open_request;
use crate::streams::CallerStream;
use crate::suspension;

/// Maximum number of destinations that one request is tried at, including
/// those that did not run it.
const MAX_DESTINATIONS: usize = 5;

/// Retry delay for a request that arrives before the first catalog.
const NO_CATALOG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after the start of the process within which the first complete listings
/// of the store are expected. A request that arrives in this time may wait for
/// them.
const LISTINGS_EXPECTED_WITHIN: Duration = Duration::from_secs(2);

/// Longest time that one request waits for the first listings.
const MAX_LISTINGS_WAIT: Duration = Duration::from_millis(600);

/// Returns the properties of a request that decisions depend on.
fn request_meta(inbound: &Inbound, received: Duration, deadline: Duration) -> RequestMeta {
    RequestMeta {
        id: inbound.id.clone(),
        received,
        deadline,
        model: inbound.model.clone(),
        prompt_tokens: inbound.prompt_tokens.unwrap_or_default(),
        max_answer_tokens: inbound.max_answer_tokens,
        // Cached prefixes are recognized by the prompt parts instead.
        prefix: Vec::new(),
    }
}

/// Returns the permissions of a request that matched this route and account.
pub(crate) fn build_grant(
    matched: &MatchedRoute,
    pool: &chiverelay_decisions::names::Pool,
    charged_tokens: u64,
) -> Grant {
    let account = matched.account.as_ref();
    let residency = match account {
        Some(account) => matched.route.residency.and(&account.residency),
        None => matched.route.residency.clone(),
    };
    Grant {
        account: account.map(|account| account.name.clone()),
        route: matched.route.name.clone(),
        pool: pool.clone(),
        residency,
        repeatable: matched.route.kind.is_repeatable(),
        charged_tokens,
        // Charges are refunded by account and token count, without a receipt.
        receipt: None,
    }
}

/// Returns the tokens to charge for a request: those of the prompt and of the
/// largest answer, or the account's default if they were not stated.
fn tokens_to_charge(account: &AccountSpec, inbound: &Inbound) -> u64 {
    let Some(limit) = account.limit else {
        return 0;
    };
    match inbound.prompt_tokens {
        Some(prompt) => prompt.saturating_add(inbound.max_answer_tokens.unwrap_or_default()),
        None => limit.default_charge,
    }
}

/// Splits a request into the inputs to its placement and the message to send.
fn split_request(
    matched: &MatchedRoute,
    pool: Arc<PoolSpec>,
    catalog: &Catalog,
    inbound: Inbound,
) -> (PlacementContext, Outbound) {
    let account = matched.account.as_ref().map(|account| account.name.clone());
    let path = inbound.path().into();
    let out = Outbound {
        id: inbound.id,
        method: inbound.method,
        path_and_query: inbound.path_and_query,
        headers: inbound.headers,
        body: inbound.body,
        account,
        priority: matched.priority().min(LOWEST_PRIORITY),
        is_streaming: matched.route.kind.is_stream(),
        last_event_id: inbound.last_event_id,
    };
    let cx = PlacementContext {
        priority: out.priority,
        is_most_urgent: catalog.is_most_urgent(matched.priority(), &pool.name),
        prompt_tokens: inbound.prompt_tokens.unwrap_or_default(),
        digest: suspension::digest(&pool.name, &inbound.parts, &out),
        parts: inbound.parts.into(),
        attempts_left: matched.route.max_attempts.max(1),
        sent_count: SentCount::default(),
        is_resumed: false,
        software: None,
        extra_attempt: None,
        route: Arc::clone(&matched.route),
        path,
        pool,
        catalog_version: catalog.version,
    };
    (cx, out)
}

fn refuse_lookup_error(reason: LookupError) -> Refusal {
    let (code, step) = match reason {
        LookupError::NoRoute => (Code::NoRoute, Step::Route),
        LookupError::NoAccount => (Code::Unauthenticated, Step::Authenticate),
    };
    Refusal::not_run(code, step, Peer::Local)
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Handles a caller's request up to the start of its answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal, which says whether the request may have run.
    pub async fn handle(self: &Arc<Self>, inbound: Inbound) -> HandleResult {
        let received = self.clock.now();
        let timeout = inbound.timeout;
        let _open = self.open_requests.token();
        self.memory.log_level();
        if received < LISTINGS_EXPECTED_WITHIN && !self.is_ready() {
            let wait = timeout.map_or(MAX_LISTINGS_WAIT, |t| t.min(MAX_LISTINGS_WAIT));
            self.members.wait_until_started(wait).await;
        }
        let current = self.tables.current_catalog();
        let version = current.as_ref().map_or(0, |c| c.catalog.version);
        let mut request_log = RequestLog::new(inbound.id.clone(), self.clock);
        let handled = match current {
            Some(current) => {
                let running = self.admit_and_run(inbound, received, &current, &mut request_log);
                // Each future around a large one has room for it twice.
                let running = Box::pin(running);
                let handled = self.shutdown.run_until_over(running).await;
                handled.unwrap_or_else(|| Err(refuse_open_request(request_log.is_placed())))
            }
            None => Err(refuse_no_catalog()),
        };
        let took = self.clock.now().saturating_sub(received);
        match handled {
            Ok(reply) => {
                self.metrics.record_reply(reply.status, took);
                let should_write =
                    reply.status.is_server_error() || self.log_rate_limit.should_log(received);
                request_log.log_answer(reply.status, version, should_write);
                Ok(reply)
            }
            Err(refusal) => Err(self.finish_refused(refusal, timeout, received, &mut request_log)),
        }
    }

    /// Records a refusal of a request that its caller waits for, and limits its
    /// retry delay.
    pub(crate) fn finish_refused(
        &self,
        refusal: Refusal,
        timeout: Option<Duration>,
        received: Duration,
        request_log: &mut RequestLog,
    ) -> Refusal {
        let took = self.clock.now().saturating_sub(received);
        let refusal = cap_retry_after(refusal, timeout.map(|t| t.saturating_sub(took)));
        self.metrics.record_refusal(&refusal, took);
        let current = self.tables.current_catalog();
        let version = current.map_or(0, |c| c.catalog.version);
        let store_age = self.tables.store_age(received);
        request_log.log_refusal(&refusal, version, store_age);
        refusal
    }

    /// Authenticates a request against the catalog, charges its account, and
    /// runs it. The charge is refunded if the request was refused and no target
    /// ran it.
    async fn admit_and_run(
        self: &Arc<Self>,
        inbound: Inbound,
        now: Duration,
        current: &LoadedCatalog,
        request_log: &mut RequestLog,
    ) -> HandleResult {
        self.check_open_requests(inbound.timeout)?;
        let catalog = &current.catalog;
        let matched = catalog
            .find(&inbound.host, inbound.path(), inbound.api_key.as_deref())
            .map_err(refuse_lookup_error)?;
        request_log.route = Some(matched.route.name.clone());
        request_log.account = matched.account.as_ref().map(|account| account.name.clone());
        let route = &matched.route.name;
        self.tables.route_use.lock().record(catalog, route);
        if !matched.allows(&self.settings.region) {
            self.note_barred_request(&inbound.id, &matched, catalog.version, Sender::Caller);
        }
        // A stream stays with the pool that its first request chose.
        let chosen_by = match matched.route.kind.is_resumable() {
            true => inbound.stream_id(),
            false => &inbound.id,
        };
        let pool = self.find_pool(&matched, chosen_by, catalog)?;
        if let Some(part) = self.find_quarantined_part(&inbound.id, &inbound.parts, now) {
            let refusal = Refusal::not_run(Code::Quarantined, Step::Admit, Peer::Local);
            return Err(quarantine::name_part(refusal, part));
        }
        let tokens = matched
            .account
            .as_ref()
            .map_or(0, |a| tokens_to_charge(a, &inbound));
        let timeout = inbound.timeout.unwrap_or(matched.route.timeout);
        let deadline = now + timeout.min(matched.route.timeout);
        let charge = match &matched.account {
            Some(account) => {
                let charging = self.charge_account(account, &inbound.id, tokens);
                let charged = self.run_while_sendable(deadline, charging).await;
                Some(charged.unwrap_or_else(|| Err(refuse_late_admission()))?)
            }
            None => None,
        };
        let grant = build_grant(&matched, &pool.name, tokens);
        let meta = request_meta(&inbound, now, deadline);
        let req = Request::from_caller(meta).admit(grant);
        self.tables.traffic.lock().record_request(&pool.name, now);
        let stream = CallerStream::of(&inbound, &matched, &pool.name);
        let (cx, out) = split_request(&matched, pool, catalog, inbound);
        let handled = match stream {
            Some(stream) => self.run_stream(stream, req, cx, out, request_log).await,
            None => self.run_attempts(req, cx, out, request_log).await,
        };
        let has_not_run = matches!(&handled, Err(refusal) if refusal.outcome == Outcome::NotRun);
        if let Some(charge) = charge.filter(|_| has_not_run) {
            self.refund(charge).await;
        }
        handled
    }

    /// Runs a step of admission for as long as the request could still be sent
    /// to a target. Returns `None` if the step is not done by then.
    async fn run_while_sendable<F>(&self, deadline: Duration, step: F) -> Option<F::Output>
    where
        F: Future,
    {
        let left = deadline.saturating_sub(self.clock.now());
        let step = tokio::time::timeout(left.saturating_sub(MIN_TIME_TO_SEND), step);
        step.await.ok()
    }

    /// Selects the pool for a request.
    ///
    /// # Errors
    ///
    /// Refuses the request if its route has no pool or if no region is allowed
    /// to answer it.
    fn find_pool(
        &self,
        matched: &MatchedRoute,
        chosen_by: &RequestId,
        catalog: &Catalog,
    ) -> Result<Arc<PoolSpec>, Refusal> {
        let pool = matched.route.choose_pool(chosen_by.as_str());
        let pool = pool.and_then(|name| catalog.pool(name));
        let mut regions = self.settings.zone_regions.values();
        let pool = pool.filter(|_| regions.any(|region| matched.allows(region)));
        pool.cloned()
            .ok_or_else(|| Refusal::not_run(Code::Unavailable, Step::Route, Peer::Local))
    }

    /// Tries a request at one destination after another, until one answers or
    /// the request may not be retried.
    pub(crate) async fn run_attempts(
        self: &Arc<Self>,
        mut req: Request<Admitted, Direct>,
        mut cx: PlacementContext,
        out: Outbound,
        request_log: &mut RequestLog,
    ) -> HandleResult {
        let mut fallback: Option<Fallback> = None;
        for _ in 0..MAX_DESTINATIONS {
            let next = match self.choose_destination(req, &cx) {
                Ok(next) => next,
                Err(refusal) => return prefer_fallback(refusal, fallback),
            };
            request_log.record_destination(&next, self.clock.now());
            req = match next {
                Destination::Local(placed) => {
                    let tried = self.attempt_or(*placed, &OtherRegion, &mut cx, &out).await;
                    request_log.sent_count = cx.sent_count.get();
                    request_log.extra_attempt = cx.extra_attempt;
                    let tried = match tried {
                        Hedge::Here(tried) => tried,
                        Hedge::Elsewhere(started) => {
                            request_log.record_forward(started.req.peer());
                            return Ok(self.build_forwarded_reply(cx, out, started));
                        }
                    };
                    match tried {
                        AttemptOutcome::Answered(started) => {
                            return Ok(self.build_reply(cx, out, *started));
                        }
                        AttemptOutcome::Refused(refusal) => return Err(refusal),
                        AttemptOutcome::Retry(req, latest) => {
                            fallback = Some(latest);
                            req
                        }
                    }
                }
                Destination::Remote(placed) => match self.forward(placed, &mut cx, &out).await {
                    ForwardOutcome::Answered(started) => {
                        return Ok(self.build_forwarded_reply(cx, out, started));
                    }
                    ForwardOutcome::Refused(refusal) => return Err(refusal),
                    ForwardOutcome::Retry(req, latest) => {
                        fallback = Some(latest);
                        req
                    }
                },
            };
        }
        let refusal = req.refuse(Code::Unavailable, Step::Place, Peer::Local);
        prefer_fallback(refusal, fallback)
    }

    /// Builds the reply from an answer whose start was read.
    pub(crate) fn build_reply<O>(
        self: &Arc<Self>,
        cx: PlacementContext,
        out: Outbound,
        started: StartedAnswer<D, O>,
    ) -> Reply
    where
        O: Origin,
    {
        let status = started.answer.status();
        let headers = self.reply_headers(&started.answer);
        let software = started.reservation.confirmed_software().cloned();
        let body = if started.start.is_complete {
            ReplyBody::Full(self.finish_buffered(status, started))
        } else {
            ReplyBody::Chunks(Relay::new(Arc::clone(self), cx, out, started).into_stream())
        };
        Reply {
            status,
            headers,
            body,
            software,
        }
    }

    /// Ends a request whose answer was read completely, and returns the body.
    fn finish_buffered<O>(&self, status: StatusCode, started: StartedAnswer<D, O>) -> bytes::Bytes {
        let outcome = match status.is_server_error() {
            true => TargetOutcome::Failed,
            false => TargetOutcome::Answered,
        };
        // Ends the request's life cycle.
        drop(started.req.answered());
        started.reservation.finish(outcome);
        started.answer.release(&self.connections);
        started.start.data
    }
}

fn refuse_no_catalog() -> Refusal {
    Refusal::not_run(Code::StateUnavailable, Step::Configure, Peer::Store)
        .with_retry_after(NO_CATALOG_RETRY_AFTER)
}

fn refuse_late_admission() -> Refusal {
    Refusal::not_run(Code::DeadlineExceeded, Step::Admit, Peer::Local)
}

/// Combines the final refusal with the result of the last attempt. Returns the
/// target's error reply if there is one. Otherwise, if the code of the final
/// refusal is [`Code::Unavailable`], which only says that no destination is
/// available, returns the attempt's refusal with the outcome of the final
/// refusal, and with its retry delay if the attempt's refusal has none.
fn prefer_fallback(refusal: Refusal, fallback: Option<Fallback>) -> HandleResult {
    match fallback {
        Some(fallback) if refusal.code == Code::Unavailable || fallback.reply.is_some() => {
            Fallback {
                refusal: Refusal {
                    outcome: refusal.outcome,
                    retry_after: fallback.refusal.retry_after.or(refusal.retry_after),
                    ..fallback.refusal
                },
                reply: fallback.reply,
            }
            .into_result()
        }
        _ => Err(refusal),
    }
}

/// Limits the retry delay to a third of the time that the caller has left, as
/// callers follow a retry delay only up to that length.
fn cap_retry_after(mut refusal: Refusal, left: Option<Duration>) -> Refusal {
    if let (Some(delay), Some(left)) = (refusal.retry_after, left) {
        refusal.retry_after = Some(delay.min(max_retry_after(left)));
    }
    refusal
}

/// Returns the longest retry delay that a caller follows who has `left`.
pub(crate) fn max_retry_after(left: Duration) -> Duration {
    left / 3
}
