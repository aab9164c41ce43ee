//! Operations that run at most once: tickets issued here, and claims of
//! tickets issued here or by siblings.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chiverelay_caller::IDEMPOTENCY_KEY;
use chiverelay_caller::TICKET;
use chiverelay_decisions::handover::DeciderTable;
use chiverelay_decisions::idempotency;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::pacing::MAX_WRITERS;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Detail;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Grant;
use chiverelay_decisions::settlements::ClaimSettlement;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedGuard;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::tickets;
use chiverelay_decisions::tickets::ClaimGrant;
use chiverelay_decisions::tickets::ClaimOutcome;
use chiverelay_decisions::tickets::ClaimReply;
use chiverelay_decisions::tickets::Issuer;
use chiverelay_decisions::tickets::Nonce;
use chiverelay_decisions::tickets::OperationDigest;
use chiverelay_decisions::tickets::RecordedAnswer;
use chiverelay_decisions::tickets::Ticket;
use chiverelay_decisions::tickets::TicketBounds;
use chiverelay_decisions::tickets::Validity;
use chiverelay_sibling as sibling;
use chiverelay_sibling::Message;
use chiverelay_store::Store;
use chiverelay_target::TargetRequest;
use hyper::HeaderMap;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::bind;
use crate::bind::Binder;
use crate::context::Context;
use crate::handover;
use crate::members;
use crate::settle;
use crate::settle::Settler;

/// Time in which a ticket handed to callers can be used first.
///
/// It is shorter than the notice of a drain, so that an instance has no unused
/// tickets out when it stops.
pub(crate) const TICKET_USE: Duration = Duration::from_secs(5);

/// Time for which it is known what became of such a ticket.
pub(crate) const TICKET_LIFE: Duration = Duration::from_secs(600);

/// Time for one try to reach a ticket's issuer or a writer of the store.
const TRY: Duration = Duration::from_millis(1500);

/// Tries to reach a ticket's issuer.
const TRIES: usize = 2;

/// When a caller may ask again for an operation that may be running.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest recorded answer, in bytes.
pub(crate) const MAX_RECORDED: usize = 16 * 1024;

/// Bounds of the table of used tickets.
const BOUNDS: TicketBounds = TicketBounds {
    max_records: 65_536,
    max_answer_bytes: MAX_RECORDED,
    max_total_bytes: 16 * 1024 * 1024,
};

/// The tickets of this incarnation and of those whose deciders handed theirs
/// over to it.
#[derive(Debug)]
pub(crate) struct Operations {
    issuer: Issuer,
    serial: AtomicU64,
    deciders: RankedMutex<DeciderTable>,
    binder: Binder,
    settler: Settler,
}

impl Operations {
    /// Takes a key and an incarnation that no other process has.
    pub(crate) fn start(instance: Instance, store: Store, cancel: CancellationToken) -> Self {
        let mut key = [0; tickets::SIGNING_KEY_BYTES];
        let mut incarnation = [0; size_of::<u64>()];
        rand::rng().fill_bytes(&mut key);
        rand::rng().fill_bytes(&mut incarnation);
        let issuer = Issuer::new(instance, u64::from_be_bytes(incarnation), key);
        let deciders = DeciderTable::new(issuer.clone(), BOUNDS);
        Self {
            issuer,
            serial: AtomicU64::new(0),
            deciders: RankedMutex::new(LockRank::Tickets, deciders),
            binder: Binder::start(store, cancel),
            settler: Settler::new(),
        }
    }

    /// Issues a ticket.
    pub(crate) fn issue(&self, validity: Validity) -> Ticket {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        self.issuer.issue(serial, validity)
    }

    /// Returns the origins that are decided for here.
    pub(crate) fn deciders(&self) -> RankedGuard<'_, DeciderTable> {
        self.deciders.lock()
    }

    /// Decides on a claim, if that is done here.
    pub(crate) fn claim(&self, claim: &sibling::Claim, now: Duration) -> ClaimReply {
        let mut deciders = self.deciders.lock();
        deciders.claim(&claim.ticket, claim.nonce, claim.operation, now)
    }

    /// Returns what tells issuers of settlements.
    pub(crate) fn settler(&self) -> &Settler {
        &self.settler
    }

    /// Returns the ticket that the store has for a name.
    pub(crate) async fn bind(&self, bind: sibling::Bind) -> Option<Ticket> {
        self.binder.bind(bind.name, bind.ticket).await
    }
}

/// How a caller marks requests as attempts at one operation.
#[derive(Clone, Debug)]
pub(crate) enum Mark {
    /// By a ticket of an instance.
    Ticket(Ticket),
    /// By a key of its own.
    Key(String),
}

/// Reads the mark of a request.
///
/// # Errors
///
/// Refuses a mark that can't be read, and more than one.
pub(crate) fn read_mark(headers: &HeaderMap) -> Result<Option<Mark>, Refusal> {
    let malformed =
        |detail| Refusal::unknown(Code::Malformed, Step::Claim, Peer::Caller).with_detail(detail);
    let key_length = || Detail::KeyLength(idempotency::MAX_IDEMPOTENCY_KEY_BYTES as u64);
    let tickets = headers.get_all(TICKET).iter().map(|v| (true, v));
    let keys = headers.get_all(IDEMPOTENCY_KEY).iter().map(|v| (false, v));
    let marks: Vec<_> = tickets.chain(keys).collect();
    let (is_ticket, text) = match marks[..] {
        [] => return Ok(None),
        [(is_ticket, value)] => (is_ticket, value.to_str().unwrap_or_default()),
        _ => return Err(malformed(Detail::ManyOperations)),
    };
    if is_ticket {
        let ticket = text.parse().map_err(|_| malformed(Detail::NotATicket))?;
        return Ok(Some(Mark::Ticket(ticket)));
    }
    if text.is_empty() || text.len() > idempotency::MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(malformed(key_length()));
    }
    Ok(Some(Mark::Key(text.to_owned())))
}

/// A granted claim, to be settled when its operation has ended.
#[derive(Debug)]
pub(crate) struct Claim {
    ticket: Ticket,
    nonce: Nonce,
}

/// What the issuer of an operation's ticket said.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The operation may run.
    Run(Claim, ClaimGrant),
    /// The operation ran and has this answer.
    Answered(RecordedAnswer),
}

/// Claims the operation that a request is an attempt at.
///
/// # Errors
///
/// Refuses an operation that may have run, or of which that isn't known.
pub(crate) async fn claim(
    cx: &Context,
    mark: Mark,
    grant: &Grant,
    out: &TargetRequest,
    deadline: Duration,
) -> Result<Claimed, Refusal> {
    let account = grant.account.as_ref();
    let operation = OperationDigest::new(account, &grant.route, &out.path_and_query, &out.body);
    let ticket = match mark {
        Mark::Ticket(ticket) => ticket,
        Mark::Key(key) => bound(cx, idempotency::binding_name(account, &grant.route, &key)).await?,
    };
    let claim = sibling::Claim {
        nonce: Nonce(uuid::Uuid::now_v7().as_u128()),
        ticket,
        operation,
    };
    let issuer = claim.ticket.issuer().clone();
    let peer = peer(cx, &issuer);
    let reply = ask(cx, &claim).await;
    if cx.clock.now() >= deadline {
        // A late grant is not used, and the issuer learns that.
        if matches!(reply, Some(ClaimReply::Granted)) {
            settle(cx, claim.into(), ClaimOutcome::NotRun).await;
        }
        return Err(Refusal::unknown(Code::DeadlineExceeded, Step::Claim, peer));
    }
    let Some(reply) = reply else {
        return Err(Refusal::unknown(Code::StateUnavailable, Step::Claim, peer));
    };
    match reply.into_grant() {
        Ok(granted) => Ok(Claimed::Run(claim.into(), granted)),
        Err(ClaimReply::Recorded(answer)) => Ok(Claimed::Answered(answer)),
        Err(ClaimReply::Full) => Err(Refusal::unknown(Code::StateUnavailable, Step::Claim, peer)),
        Err(ClaimReply::Used) => {
            let refusal = Refusal::unknown(Code::AlreadyUsed, Step::Claim, peer);
            Err(refusal.with_retry_after(RETRY_AFTER))
        }
        Err(reply) => {
            let refusal = Refusal::unknown(Code::AlreadyUsed, Step::Claim, peer);
            Err(match why_unusable(&reply) {
                Some(detail) => refusal.with_detail(detail),
                None => refusal,
            })
        }
    }
}

fn why_unusable(reply: &ClaimReply) -> Option<Detail> {
    match reply {
        ClaimReply::Mismatch => Some(Detail::OtherRequest),
        ClaimReply::Invalid => Some(Detail::TicketInvalid),
        ClaimReply::Late => Some(Detail::TicketLate),
        _ => None,
    }
}

impl From<sibling::Claim> for Claim {
    fn from(claim: sibling::Claim) -> Self {
        Self {
            ticket: claim.ticket,
            nonce: claim.nonce,
        }
    }
}

fn peer(cx: &Context, instance: &Instance) -> Peer {
    if *instance == cx.settings.instance {
        return Peer::Local;
    }
    Peer::Sibling(instance.clone())
}

/// Asks the issuer and, if it does not decide, who may have its tickets by
/// now; `None` if the issuer gave no reply in time.
async fn ask(cx: &Context, claim: &sibling::Claim) -> Option<ClaimReply> {
    let reply = ask_at(cx, claim.ticket.issuer(), claim, TRIES).await;
    if !matches!(reply, None | Some(ClaimReply::Elsewhere)) {
        return reply;
    }
    for heir in handover::heirs(cx, &claim.ticket.origin()) {
        match ask_at(cx, &heir, claim, 1).await {
            None | Some(ClaimReply::Elsewhere) => {}
            reply => return reply,
        }
    }
    reply
}

async fn ask_at(
    cx: &Context,
    instance: &Instance,
    claim: &sibling::Claim,
    tries: usize,
) -> Option<ClaimReply> {
    if *instance == cx.settings.instance {
        return Some(cx.operations.claim(claim, cx.clock.now()));
    }
    for _ in 0..tries {
        let message = Message::Claim(claim.clone());
        if let Some(Message::Claimed(reply)) = send(cx, instance, message, TRY).await {
            return Some(reply);
        }
    }
    None
}

/// Sends a message to a sibling and returns its answer, if that is in time.
pub(crate) async fn send(
    cx: &Context,
    instance: &Instance,
    message: Message,
    limit: Duration,
) -> Option<Message> {
    let exchange = async {
        let link = members::link(cx, instance).await?;
        link.ask(cx.events.latest(), message).await
    };
    match tokio::time::timeout(limit, exchange).await {
        Ok(Ok(envelope)) => {
            cx.events.advance_clock(envelope.stamp);
            Some(envelope.message)
        }
        Ok(Err(e)) => {
            log::warn!("operations: {e}");
            cx.links.remove(instance);
            None
        }
        Err(_) => {
            log::warn!("operations: sibling {instance}: timeout");
            // The sibling may have been replaced at another address.
            cx.links.remove(instance);
            None
        }
    }
}

/// Returns the ticket bound to an idempotency key, a new one at first use.
async fn bound(cx: &Context, name: String) -> Result<Ticket, Refusal> {
    let expires = cx.clock.now() + bind::RETENTION;
    let ticket = cx.operations.issue(Validity {
        use_by: expires,
        expires,
    });
    let message = sibling::Bind { name, ticket };
    if let Some(writer) = writer(cx, &message.name) {
        let message = Message::Bind(message.clone());
        if let Some(Message::Bound(Some(ticket))) = send(cx, &writer, message, TRY).await {
            return Ok(ticket);
        }
    }
    let binding = cx.operations.bind(message);
    match tokio::time::timeout(TRY, binding).await {
        Ok(Some(ticket)) => Ok(ticket),
        _ => Err(Refusal::unknown(
            Code::StateUnavailable,
            Step::Claim,
            Peer::Store,
        )),
    }
}

/// Returns the sibling that writes a name to the store, unless that is here.
fn writer(cx: &Context, name: &str) -> Option<Instance> {
    let live = live(cx);
    let writer = idempotency::choose_writer(name, &live, MAX_WRITERS)?;
    (*writer != cx.settings.instance).then(|| writer.clone())
}

/// Returns the instances that serve, with this one.
pub(crate) fn live(cx: &Context) -> Vec<Instance> {
    let mut live = vec![cx.settings.instance.clone()];
    cx.tables.siblings.for_each(|instance, s| {
        if s.serving {
            live.push(instance.clone());
        }
    });
    live
}

/// Tells the issuer what became of a claim, and keeps it if that is lost.
pub(crate) async fn settle(cx: &Context, claim: Claim, settlement: ClaimOutcome) {
    let settle = ClaimSettlement {
        ticket: claim.ticket,
        nonce: claim.nonce,
        outcome: settlement,
    };
    settle::tell(cx, settle).await;
}
