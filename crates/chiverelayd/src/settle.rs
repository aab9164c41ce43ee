//! Tells the issuers of tickets what became of granted claims, again until
//! they have it.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::backoff::Backoff;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::settlements::ClaimSettlement;
use chiverelay_decisions::settlements::Delivery;
use chiverelay_decisions::settlements::PendingSettlements;
use chiverelay_decisions::settlements::SettlementBounds;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_sibling::Message;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::handover;
use crate::operations;
use crate::operations::TICKET_LIFE;

/// Time for one try.
const TRY: Duration = Duration::from_millis(500);

/// Time for what is kept to be told before a planned stop.
const FLUSH: Duration = Duration::from_secs(3);

/// Bounds of what is kept: what 8 operations a second come to in the minutes
/// for which a region may be cut off.
const BOUNDS: SettlementBounds = SettlementBounds {
    max_settlements: 4096,
    max_bytes: 4 * 1024 * 1024,
    ttl: TICKET_LIFE,
    no_decider_timeout: Duration::from_secs(30),
    backoff: Backoff {
        base: Duration::from_millis(500),
        cap: Duration::from_secs(8),
    },
};

/// The settlements that are to be told again.
#[derive(Debug)]
pub(crate) struct Settler {
    kept: RankedMutex<PendingSettlements>,
    woken: Notify,
}

impl Settler {
    /// Starts with none.
    pub(crate) fn new() -> Self {
        Self {
            kept: RankedMutex::new(LockRank::Tickets, PendingSettlements::new(BOUNDS)),
            woken: Notify::new(),
        }
    }
}

/// Tells the issuer a settlement, and keeps it if it was not taken.
pub(crate) async fn tell(cx: &Context, settle: ClaimSettlement) {
    if tell_once(cx, &settle).await == Delivery::Accepted {
        return;
    }
    let issuer = Peer::Sibling(settle.ticket.issuer().clone());
    cx.note(Step::Claim, issuer, "a settlement is kept");
    let now = cx.clock.now();
    let settler = cx.operations.settler();
    let dropped = settler.kept.lock().add(settle, now, rand::random());
    report(dropped);
    settler.woken.notify_one();
}

fn report(dropped: usize) {
    if dropped > 0 {
        log::warn!("settle: {dropped} settlements are given up");
    }
}

/// Tells the issuer and, if it does not decide, who may have its tickets.
async fn tell_once(cx: &Context, settle: &ClaimSettlement) -> Delivery {
    let told = tell_at(cx, settle.ticket.issuer(), settle).await;
    if told == Delivery::Accepted {
        return told;
    }
    for heir in handover::heirs(cx, &settle.ticket.origin()) {
        if tell_at(cx, &heir, settle).await == Delivery::Accepted {
            return Delivery::Accepted;
        }
    }
    told
}

async fn tell_at(cx: &Context, instance: &Instance, settle: &ClaimSettlement) -> Delivery {
    if *instance == cx.settings.instance {
        let now = cx.clock.now();
        return match cx.operations.deciders().settle(settle, now) {
            true => Delivery::Accepted,
            false => Delivery::NoDecider,
        };
    }
    let message = Message::Settle(settle.clone());
    match operations::send(cx, instance, message, TRY).await {
        Some(Message::Settled(true)) => Delivery::Accepted,
        Some(_) => Delivery::NoDecider,
        None => Delivery::NoReply,
    }
}

/// Tells what is due, each origin's first settlement at once.
async fn round(cx: &Arc<Context>) {
    let now = cx.clock.now();
    let due = {
        let mut kept = cx.operations.settler().kept.lock();
        report(kept.expire(now));
        kept.take_due(now, 2 * TRY)
    };
    let mut tries = JoinSet::new();
    for settle in due {
        let cx = Arc::clone(cx);
        tries.spawn(async move {
            let told = tell_once(&cx, &settle).await;
            let now = cx.clock.now();
            let mut kept = cx.operations.settler().kept.lock();
            report(kept.record_delivery(&settle, told, now, rand::random()));
        });
    }
    tries.join_all().await;
}

/// Tells what is kept until the instance stops.
pub(crate) async fn run(cx: Arc<Context>) {
    let settler = cx.operations.settler();
    loop {
        tokio::select! {
            () = cx.stop.cancelled() => return,
            () = settler.woken.notified() => {}
            () = until_due(&cx) => {}
        }
        round(&cx).await;
    }
}

async fn until_due(cx: &Context) {
    let due = cx.operations.settler().kept.lock().next_attempt();
    match due {
        Some(due) => tokio::time::sleep(due.saturating_sub(cx.clock.now())).await,
        None => std::future::pending().await,
    }
}

/// Tells what is kept before the instance stops, as far as there is time.
pub(crate) async fn flush(cx: &Arc<Context>) {
    cx.operations
        .settler()
        .kept
        .lock()
        .retry_now(cx.clock.now());
    let told = async {
        while !cx.operations.settler().kept.lock().is_empty() {
            round(cx).await;
            until_due(cx).await;
        }
    };
    if tokio::time::timeout(FLUSH, told).await.is_err() {
        report(cx.operations.settler().kept.lock().len());
    }
}
