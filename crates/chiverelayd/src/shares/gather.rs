//! Gathers tokens for a request that the own share can't pay.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::Admission;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::gateway::UnchargedRequest;
use chiverelay_decisions::limits::Partition;
use chiverelay_decisions::limits::partitions::rank_instances;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_sibling::Message;
use tokio::task::JoinSet;

use super::ask;
use crate::context::Context;

/// Siblings of the own region that are asked, in the order of their rank.
const NEAR: usize = 4;

/// Siblings of each other region that are asked.
const FAR: usize = 2;

/// Time for an answer from the own region.
const NEAR_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for an answer from another region.
const FAR_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the first shares of an instance that has just started.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Asks the region's siblings, then those of other regions, for the tokens
/// that a request lacks, and charges the account.
///
/// # Errors
///
/// Refuses the request if they don't have them either.
pub(crate) async fn gather(
    cx: &Arc<Context>,
    short: UnchargedRequest,
) -> Result<Request<Admitted, Direct>, Refusal> {
    if !short.fits_burst() {
        return Err(short.refuse());
    }
    let slot = Partition::of(short.account());
    let (near, far) = siblings(cx, slot);
    let mut short = short;
    for sibling in near {
        lend(cx, &short, &sibling, NEAR_TIMEOUT).await;
        match retry(cx, short).await? {
            Admission::Admitted(req) => return Ok(req),
            Admission::Uncharged(again) => short = *again,
        }
    }
    if !far.is_empty() && cx.clock.now() + FAR_TIMEOUT < short.deadline() {
        ask_far(cx, &short, far).await;
    }
    if !cx.holding.is_cancelled() {
        // An instance that has just started is about to get its shares.
        let _ = tokio::time::timeout(START_TIMEOUT, cx.holding.cancelled()).await;
    }
    match retry(cx, short).await? {
        Admission::Admitted(req) => Ok(req),
        Admission::Uncharged(short) => Err(short.refuse()),
    }
}

/// Charges the account on its worker, if it has the tokens now.
async fn retry(cx: &Context, short: UnchargedRequest) -> Result<Admission, Refusal> {
    let (account, clock) = (short.account().clone(), cx.clock);
    let job = move |tables: &Tables| gateway::try_charge(tables, short, clock.now());
    cx.pool.run(account.as_str(), job).await.map_err(|_| {
        let (code, step) = (Code::Overloaded, Step::Admit);
        Refusal::not_run(code, step, Peer::Local)
    })
}

/// Returns the siblings to ask, of the own region and of the others.
fn siblings(cx: &Context, slot: Partition) -> (Vec<Instance>, Vec<Instance>) {
    let mut regions: std::collections::BTreeMap<Region, Vec<Instance>> = Default::default();
    cx.tables.siblings.for_each(|name, sibling| {
        let names = regions.entry(sibling.region.clone()).or_default();
        names.push(name.clone());
    });
    let top = |names: Vec<Instance>, n: usize| -> Vec<Instance> {
        rank_instances(slot, &names)
            .into_iter()
            .take(n)
            .cloned()
            .collect()
    };
    let near = regions.remove(&cx.settings.region).unwrap_or_default();
    let far = regions.into_values().flat_map(|names| top(names, FAR));
    (top(near, NEAR), far.collect())
}

async fn ask_far(cx: &Arc<Context>, short: &UnchargedRequest, far: Vec<Instance>) {
    let mut asks = JoinSet::new();
    for sibling in far {
        let (cx, account, missing) = (
            Arc::clone(cx),
            short.account().clone(),
            short.missing_nano_tokens(),
        );
        asks.spawn(async move {
            let now = cx.clock.now();
            let message = cx
                .tables
                .shares
                .request_loan(&account, &sibling, missing, now);
            take_loan(&cx, &sibling, Message::ShareAsk(message), FAR_TIMEOUT).await;
        });
    }
    asks.join_all().await;
}

async fn lend(cx: &Context, short: &UnchargedRequest, sibling: &Instance, timeout: Duration) {
    let now = cx.clock.now();
    let book = &cx.tables.shares;
    let message = book.request_loan(short.account(), sibling, short.missing_nano_tokens(), now);
    take_loan(cx, sibling, Message::ShareAsk(message), timeout).await;
}

async fn take_loan(cx: &Context, sibling: &Instance, message: Message, timeout: Duration) {
    match tokio::time::timeout(timeout, ask(cx, sibling, message)).await {
        Ok(Ok(Message::Lend(Some(lend)))) => {
            if cx.tables.shares.accept_loan(&lend, cx.clock.now()) {
                cx.metrics.share_move("loan", lend.tokens);
            }
        }
        Ok(Ok(_)) => {}
        Ok(Err(e)) => log::debug!("shares: {e}"),
        Err(_) => log::debug!("shares: {sibling} gave no answer in time"),
    }
}
