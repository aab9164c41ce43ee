//! Serves the other instances: receives their status messages, lends them
//! tokens and runs the requests that they forward.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::catalog::MatchedRoute;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::memory_budget::Reservation;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::request::RequestMeta;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::traffic::LOWEST_PRIORITY;
use chiverelay_sibling::Envelope;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Frame;
use chiverelay_sibling::FrameSender;
use chiverelay_sibling::Handler;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Message;
use chiverelay_sibling::Refused;
use chiverelay_sibling::VERSION;
use chiverelay_sibling::read_headers;
use chiverelay_sibling::write_headers;
use futures_util::StreamExt;
use hyper::header::HOST;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::Reply;
use crate::ReplyBody;
use crate::handle;
use crate::message::HandleResult;
use crate::message::route_host;
use crate::outcome::AttemptOutcome;
use crate::outcome::Fallback;
use crate::place::PlacementContext;
use crate::residency::ReceivedFrom;
use crate::sent_count::SentCount;
use crate::suspension;

/// Maximum number of targets that a forwarded request is tried at, including
/// those that did not run it.
const MAX_TARGETS: usize = 3;

/// Shortest time for sending a reply, which may be ready only at the deadline.
const MIN_REPLY_TIME: Duration = Duration::from_millis(100);

/// Time for which a forwarded request waits for the catalog of the instance that
/// forwards it.
const MAX_CATALOG_WAIT: Duration = Duration::from_millis(250);

/// Retry delay for a request while the catalogs of the two instances differ.
const CATALOG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Largest part of an answer that is copied and sent at once, in bytes.
const REPLY_PART_BYTES: usize = 16 * 1024;

/// Handler of the messages and forwarded requests of other instances.
pub(crate) struct SiblingHandler<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
}

impl<D> SiblingHandler<D>
where
    D: Dialect,
{
    pub(crate) fn new(gateway: Arc<Gateway<D>>) -> Self {
        Self { gateway }
    }
}

impl<D> Handler for SiblingHandler<D>
where
    D: Dialect,
{
    async fn control(&self, from: &Identity, _stamp: Stamp, message: Message) -> Envelope {
        let reply = match message {
            Message::Status(status) => {
                self.gateway.receive_status(from, status);
                Message::Done
            }
            Message::Report(status) => match self.gateway.receive_report(from, status) {
                Some(overview) => Message::Status(overview),
                None => Message::Done,
            },
            Message::Charge(charge) => {
                let charging = self.gateway.charge_for_other(&from.instance, charge);
                Message::Charged(charging.await)
            }
            Message::Refund(refund) => {
                self.gateway.receive_refund(&refund);
                Message::Done
            }
            Message::StreamsBegan(told) => {
                self.gateway.receive_streams(from, &told);
                Message::Done
            }
            Message::AskStream(ask) => {
                Message::StreamInfo(self.gateway.answer_for_stream(from, &ask).await)
            }
            Message::AskStoreCopy { catalog_version } => {
                let copy = self.gateway.copy_store(&from.region, catalog_version);
                Message::StoreCopy(copy)
            }
            Message::AskTokens(requested) => {
                let now = self.gateway.clock.now();
                Message::Tokens(self.gateway.rate_limiter.lend(&requested, now))
            }
            _ => Message::Done,
        };
        Envelope {
            version: VERSION,
            stamp: Stamp::default(),
            message: reply,
        }
    }

    fn reserve_forward(&self, bytes: usize) -> Result<Reservation, Refusal> {
        self.gateway.memory.reserve_forwarded(bytes)
    }

    async fn forward(
        &self,
        from: &Identity,
        _stamp: Stamp,
        req: Forward,
        memory: Reservation,
        mut tx: FrameSender,
    ) {
        let gateway = &self.gateway;
        let _open = gateway.open_requests.token();
        let id = req.id.clone();
        let deadline = gateway.clock.now() + Duration::from_millis(req.remaining_ms);
        let mut usage = TargetUsage::default();
        // Each future around a large one has room for it twice.
        let running = Box::pin(gateway.run_forwarded(from, req, memory, &mut usage));
        let running = gateway.shutdown.run_until_over(running);
        // Check for the cancellation first: if the request arrived late, its
        // cancellation has often arrived too.
        let handled = tokio::select! {
            biased;
            () = tx.closed() => return,
            handled = running => handled,
        };
        // Whether a target ran it is unknown, so it counts as one that may have.
        let lost = || Refusal::unknown(Code::TargetFailed, Step::Answer, Peer::Local);
        let handled = handled.unwrap_or_else(|| Err(lost()));
        log::info!(
            target: "forward",
            id = id.as_str(),
            from = from.instance.as_str(),
            sent = usage.sent_before_head,
            outcome = match &handled {
                Ok(_) => "answered",
                Err(refusal) => refusal.code.as_str(),
            };
            "forwarded request handled"
        );
        // The other instance may have cancelled the request, or may be frozen
        // and not read the reply at all.
        let left = deadline.saturating_sub(gateway.clock.now());
        let sending = async {
            // The other instance may have left.
            let _ = send_reply(&mut tx, handled, &usage).await;
            tx.finish().await;
        };
        let _ = tokio::time::timeout(left.max(MIN_REPLY_TIME), sending).await;
    }

    fn refused(&self, reason: Refused) {
        self.gateway.metrics.count_sibling_refusal(reason.as_str());
    }
}

/// How many targets were sent a forwarded request.
#[derive(Debug, Default)]
struct TargetUsage {
    /// Targets that the request was sent to. The count goes on while the answer
    /// is resumed at other targets.
    sent_count: SentCount,
    /// Targets that the request was sent to before the head of the answer.
    sent_before_head: u32,
    /// Those of them that may have run the request.
    ran_before_head: u32,
}

impl TargetUsage {
    /// Returns the largest number of targets that may have run the request.
    fn max_ran(&self) -> u32 {
        let resumes = self.sent_count.get().saturating_sub(self.sent_before_head);
        self.ran_before_head + resumes
    }
}

/// Sends a reply or refusal to the instance that forwarded the request. The
/// number of targets that may have run it is sent first, and again when it has
/// changed.
async fn send_reply(
    tx: &mut FrameSender,
    handled: HandleResult,
    usage: &TargetUsage,
) -> Result<(), chiverelay_sibling::Error> {
    let mut reported = usage.max_ran();
    tx.send(&Frame::Ran(reported)).await?;
    let reply = match handled {
        Ok(reply) => reply,
        Err(refusal) => return tx.send(&Frame::Refused(refusal)).await,
    };
    let Reply {
        status,
        headers,
        body,
        software,
    } = reply;
    let software = software.map_or(Frame::SoftwareUnknown, Frame::Software);
    tx.send(&software).await?;
    let head = Frame::Head {
        status: status.as_u16(),
        headers: write_headers(&headers),
    };
    tx.send(&head).await?;
    let mut stream = match body {
        ReplyBody::Full(data) => {
            send_data(tx, &data).await?;
            return tx.send(&Frame::End).await;
        }
        ReplyBody::Chunks(stream) => stream,
    };
    loop {
        let chunk = tokio::select! {
            chunk = stream.next() => chunk,
            () = tx.closed() => return Ok(()),
        };
        let ran = usage.max_ran();
        if ran != reported {
            tx.send(&Frame::Ran(ran)).await?;
            reported = ran;
        }
        match chunk {
            None => return tx.send(&Frame::End).await,
            Some(Ok(data)) => send_data(tx, &data).await?,
            Some(Err(e)) => {
                log::debug!(target: "forward", error:% = e; "forwarded answer ended early");
                if !e.is_software_certain() {
                    tx.send(&Frame::SoftwareUnknown).await?;
                }
                let refusal = Refusal::unknown(Code::TargetFailed, Step::Answer, Peer::Local);
                return tx.send(&Frame::Refused(refusal)).await;
            }
        }
    }
}

/// Sends a part of an answer. A message has two copies of its data.
async fn send_data(tx: &mut FrameSender, data: &[u8]) -> Result<(), chiverelay_sibling::Error> {
    for part in data.chunks(REPLY_PART_BYTES) {
        tx.send(&Frame::Data(part.to_vec())).await?;
    }
    Ok(())
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Runs a forwarded request, and counts in `usage` the targets that it was
    /// sent to.
    async fn run_forwarded(
        self: &Arc<Self>,
        from: &Identity,
        forward: Forward,
        memory: Reservation,
        usage: &mut TargetUsage,
    ) -> HandleResult {
        let remaining = Duration::from_millis(forward.remaining_ms);
        self.check_open_requests(Some(remaining))?;
        let deadline = self.clock.now() + remaining;
        self.wait_for_catalog(forward.config_version).await;
        let now = self.clock.now();
        let (mut req, mut cx, out) = self.admit_forwarded(forward, memory, deadline, now)?;
        let max_attempts = cx.attempts_left;
        let mut fallback: Option<Fallback> = None;
        for _ in 0..MAX_TARGETS {
            let placed = match self.place_forwarded(req, &cx, from) {
                Ok(placed) => placed,
                Err(refusal) => return fallback.unwrap_or(refusal.into()).into_result(),
            };
            let tried = self.attempt(placed, &mut cx, &out).await;
            usage.ran_before_head = max_attempts - cx.attempts_left;
            usage.sent_count = cx.sent_count.clone();
            usage.sent_before_head = cx.sent_count.get();
            req = match tried {
                AttemptOutcome::Answered(started) => {
                    return Ok(self.build_reply(cx, out, *started));
                }
                AttemptOutcome::Refused(refusal) => return Err(refusal),
                AttemptOutcome::Retry(req, latest) => {
                    fallback = Some(latest);
                    req
                }
            };
        }
        let refusal = req.refuse(Code::Unavailable, Step::Place, Peer::Local);
        fallback.unwrap_or(refusal.into()).into_result()
    }

    /// Waits for a moment until the catalog is of a version or a later one, as
    /// the store tells some instances sooner than others.
    async fn wait_for_catalog(&self, version: u64) {
        let is_known = || {
            let current = self.tables.current_catalog();
            current.is_some_and(|current| current.catalog.version >= version)
        };
        let waiting = async {
            loop {
                let changed = self.catalog_changed.notified();
                if is_known() {
                    return;
                }
                changed.await;
            }
        };
        if tokio::time::timeout(MAX_CATALOG_WAIT, waiting)
            .await
            .is_err()
        {
            log::info!(target: "forward", version; "forwarded request is of a later catalog");
        }
    }

    /// Checks a forwarded request against this instance's own catalog, which
    /// must not be older than the other instance's: a caller there would see a
    /// version come and go.
    fn admit_forwarded(
        &self,
        forward: Forward,
        memory: Reservation,
        deadline: Duration,
        now: Duration,
    ) -> Result<
        (
            Request<Admitted, request::Forwarded>,
            PlacementContext,
            Outbound,
        ),
        Refusal,
    > {
        let refuse = |code, step| Refusal::not_run(code, step, Peer::Local);
        let Some(current) = self.tables.current_catalog() else {
            return Err(refuse(Code::StateUnavailable, Step::Configure));
        };
        if current.catalog.version < forward.config_version {
            let refusal = refuse(Code::StateUnavailable, Step::Configure);
            return Err(refusal.with_retry_after(CATALOG_RETRY_AFTER));
        }
        let headers = self.memory.hold_headers(read_headers(&forward.headers))?;
        let host = headers.get(HOST).and_then(|v| v.to_str().ok());
        let host = route_host(host.unwrap_or_default());
        let path = forward.path_and_query.split('?').next().unwrap_or_default();
        let path: Arc<str> = path.into();
        let route = current.catalog.find_route(&host, &path);
        let Some(route) = route else {
            // The other instance found the route in its own catalog, so this is
            // not `Code::NoRoute`, which would blame the caller.
            return Err(refuse(Code::Unavailable, Step::Route));
        };
        let account = match &forward.account {
            // Its account, which may be bound to other regions, isn't known.
            None if current.catalog.requires_account(&route) => {
                return Err(refuse(Code::Unavailable, Step::Authenticate));
            }
            None => None,
            Some(name) => {
                let known = current.catalog.account(name);
                let known = known.ok_or_else(|| refuse(Code::Unavailable, Step::Authenticate))?;
                Some(Arc::clone(known))
            }
        };
        let matched = MatchedRoute { route, account };
        // A pool that the route no longer has may not answer.
        let pool = matched.route.has_pool(&forward.pool);
        let pool = pool.then(|| current.catalog.pool(&forward.pool));
        let Some(pool) = pool.flatten().cloned() else {
            return Err(refuse(Code::Unavailable, Step::Route));
        };
        let grant = handle::build_grant(&matched, &pool.name, 0);
        if !grant.residency.allows(&self.settings.region) {
            let version = current.catalog.version;
            self.note_barred_request(&forward.id, &matched, version, ReceivedFrom::Instance);
            // `Step::Route` tells the sender that the catalogs differ, so that it asks
            // no other instance of this region.
            let refusal = refuse(Code::Unavailable, Step::Route);
            return Err(refusal.with_retry_after(CATALOG_RETRY_AFTER));
        }
        let priority = matched.priority();
        let method = forward.method.parse();
        let method = method.map_err(|_| refuse(Code::Malformed, Step::Receive))?;
        let out = Outbound {
            id: forward.id.clone(),
            method,
            path_and_query: forward.path_and_query,
            headers,
            body: self.memory.hold_forwarded(forward.body, memory)?,
            account: grant.account.clone(),
            priority: priority.min(LOWEST_PRIORITY),
            is_streaming: matched.route.kind.is_stream(),
            last_event_id: forward.last_event_id,
        };
        let cx = PlacementContext {
            priority: out.priority,
            is_most_urgent: current.catalog.is_most_urgent(priority, &pool.name),
            route: matched.route,
            path,
            digest: suspension::digest(&pool.name, &forward.parts, &out),
            pool,
            catalog_version: current.catalog.version,
            parts: forward.parts.into(),
            prompt_tokens: forward.prompt_tokens,
            attempts_left: forward.attempts.max(1),
            sent_count: SentCount::default(),
            is_resumed: forward.is_resumed,
            software: forward.software,
            extra_attempt: None,
        };
        let meta = RequestMeta {
            id: forward.id,
            received: now,
            deadline,
            model: None,
            prompt_tokens: forward.prompt_tokens,
            max_answer_tokens: forward.max_answer_tokens,
            // Cached prefixes are recognized by the prompt parts instead.
            prefix: Vec::new(),
        };
        Ok((Request::from_sibling(meta).admit(grant), cx, out))
    }
}
