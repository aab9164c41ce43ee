//! The shares of the accounts' limits: their lease, the ledger in the store,
//! and the messages that move tokens between instances.

mod gather;
mod handover;
mod ledger;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::limits::Holder;
use chiverelay_decisions::limits::Lease;
use chiverelay_decisions::limits::LeaseManager;
use chiverelay_decisions::limits::LoanReturn;
use chiverelay_decisions::limits::ShareTable;
use chiverelay_decisions::limits::quorum::VOUCH_DURATION;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::store_session::SessionState;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Message;
use chiverelay_store as store;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::context::Context;
use crate::members;

pub(crate) use gather::gather;

/// Time between two rounds of the periodic work.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time between two rounds of an instance that has no shares yet.
const UNSETTLED_INTERVAL: Duration = Duration::from_millis(300);

/// Time for a sibling's answer about leases.
const WORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Prefix of the keys that hold the records of holders.
const RECORDS: &str = "chiverelay/holders/";

/// The periodic work on the shares.
///
/// # Invariants
///
/// `record` is the lease that the holder's record hangs on. Its identifier is
/// that of the instance's lease, else the record counts as lost.
struct Job {
    cx: Arc<Context>,
    keeper: LeaseManager,
    lease: watch::Receiver<Option<store::Lease<store::Held>>>,
    record: Option<store::Lease<store::Held>>,
    settled: Option<Neighbours>,
}

/// The instances among which the shares of a region are divided.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Neighbours {
    /// Instances of the region, this one included.
    near: BTreeSet<Instance>,
    /// Regions with instances.
    regions: BTreeSet<Region>,
}

/// Keeps the lease and the ledger until the instance stops.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut job = Job {
        keeper: LeaseManager::new(cx.settings.instance.clone(), rand::random()),
        lease: cx.membership.lease(),
        cx: Arc::clone(&cx),
        record: None,
        settled: None,
    };
    while !cx.idle.is_cancelled() {
        tokio::select! {
            () = cx.idle.cancelled() => {}
            () = job.step() => {}
        }
        tokio::select! {
            () = cx.idle.cancelled() => {}
            () = cx.vacated.notified() => job.settled = None,
            () = tokio::time::sleep(job.interval()) => {}
            Ok(()) = job.lease.changed() => {}
        }
    }
    tokio::select! {
        () = cx.stop.cancelled() => {}
        () = job.hand_over() => {}
    }
    cx.handed_over.cancel();
}

fn record_key(holder: &Holder) -> String {
    format!("{RECORDS}{}/{}", holder.instance, holder.term)
}

impl Job {
    fn book(&self) -> &ShareTable {
        &self.cx.tables.shares
    }

    fn now(&self) -> Duration {
        self.cx.clock.now()
    }

    fn interval(&self) -> Duration {
        match self.settled.is_some() || self.cx.holding.is_cancelled() {
            true => INTERVAL,
            false => UNSETTLED_INTERVAL,
        }
    }

    async fn step(&mut self) {
        let now = self.now();
        self.book().apply_config(&self.cx.tables.config.get(), now);
        if self.keeper.end_term_if_expired(&self.cx.tables.shares, now) {
            log::warn!("shares: the lease lapsed");
            self.record = None;
            self.settled = None;
        }
        self.give_back();
        let recorded = self.follow_lease().await;
        let reached = recorded && self.cx.store.gate().state() != SessionState::Out;
        if !reached || self.is_lapsing() {
            self.ask_for_vouches().await;
        }
        if reached && self.settled.as_ref() != Some(&self.neighbours()) {
            self.write_pages().await;
        }
    }

    fn neighbours(&self) -> Neighbours {
        let here = &self.cx.settings.region;
        let mut near = BTreeSet::from([self.cx.settings.instance.clone()]);
        let mut regions = BTreeSet::from([here.clone()]);
        self.cx.members.for_each(|name, member| {
            let region = &member.profile.region;
            regions.insert(region.clone());
            if region == here {
                near.insert(name.clone());
            }
        });
        Neighbours { near, regions }
    }

    fn give_back(&self) {
        for (lender, back) in self.book().sweep(self.now()) {
            let cx = Arc::clone(&self.cx);
            tokio::spawn(async move { send_back(&cx, &lender, back).await });
        }
    }

    /// Tells whether the lease was not renewed for long, and ends soon.
    fn is_lapsing(&self) -> bool {
        self.book().holds_any()
            && self
                .book()
                .lease()
                .has_expired(self.now() + VOUCH_DURATION / 2)
    }

    /// Keeps the record on the instance's lease; false if there is none.
    async fn follow_lease(&mut self) -> bool {
        let lease = self.lease.borrow_and_update().clone();
        let lease = lease.filter(store::Lease::is_valid);
        let Some(lease) = lease else {
            self.lose_record();
            return false;
        };
        let id = self.record.as_ref().map(store::Lease::id);
        if id == Some(lease.id()) {
            let (until, now) = (self.on_clock(&lease), self.now());
            self.keeper
                .record_renewed(&self.cx.tables.shares, until, now);
            self.record = Some(lease);
            return true;
        }
        self.lose_record();
        match self.put_record(lease).await {
            Ok(recorded) => recorded,
            Err(e) => {
                log::warn!("shares: {e}");
                false
            }
        }
    }

    fn lose_record(&mut self) {
        if self.record.take().is_some() {
            log::warn!("shares: the record lapsed");
            self.keeper.record_lost();
        }
    }

    /// Puts the record on a lease; false if another one stands there.
    async fn put_record(&mut self, lease: store::Lease<store::Held>) -> Result<bool, store::Error> {
        let key = record_key(self.keeper.holder());
        let expected = self.cx.store.get(&key).await?;
        let region = self.cx.settings.region.as_str().as_bytes();
        let swap = self
            .cx
            .store
            .swap(&key, expected.as_ref(), region, Some(&lease));
        let store::Swap::Done(_) = swap.await? else {
            return Ok(false);
        };
        let (until, now) = (self.on_clock(&lease), self.now());
        self.keeper
            .record_created(&self.cx.tables.shares, until, now);
        self.record = Some(lease);
        self.settled = None;
        Ok(true)
    }

    /// Returns a lease on the clock of the decisions.
    fn on_clock(&self, lease: &store::Lease<store::Held>) -> Lease {
        let left = lease.until().saturating_duration_since(Instant::now());
        Lease {
            expires_at: self.now() + left,
        }
    }

    async fn ask_for_vouches(&self) {
        let sent = self.now();
        let holder = self.keeper.holder().clone();
        let members: Vec<Instance> = self.keeper.roster_members().into_iter().cloned().collect();
        if members.is_empty() {
            return;
        }
        let by = ask_all(&self.cx, &members, &Message::Vouch(holder)).await;
        let now = self.now();
        self.keeper.apply_vouches(self.book(), sent, &by, now);
    }
}

async fn send_back(cx: &Context, lender: &Instance, back: LoanReturn) {
    // A return that is lost ends with its loan.
    if let Err(e) = ask(cx, lender, Message::Return(back)).await {
        log::debug!("shares: {e}");
    }
}

async fn ask(
    cx: &Context,
    instance: &Instance,
    message: Message,
) -> Result<Message, chiverelay_sibling::Error> {
    let link = members::link(cx, instance).await?;
    let reply = link.ask(cx.events.latest(), message).await?;
    cx.events.advance_clock(reply.stamp);
    Ok(reply.message)
}

/// Asks instances, this one included, and returns those that agree.
async fn ask_all(cx: &Arc<Context>, members: &[Instance], message: &Message) -> BTreeSet<Instance> {
    let mut asks = JoinSet::new();
    for member in members.iter().cloned() {
        let (cx, message) = (Arc::clone(cx), message.clone());
        asks.spawn(async move {
            let agrees = ask_one(&cx, &member, message).await;
            (member, agrees)
        });
    }
    let words = asks.join_all().await;
    words
        .into_iter()
        .filter(|(_, agrees)| *agrees)
        .map(|(name, _)| name)
        .collect()
}

async fn ask_one(cx: &Context, member: &Instance, message: Message) -> bool {
    if *member == cx.settings.instance {
        return word(cx, &message);
    }
    let asked = tokio::time::timeout(WORD_TIMEOUT, ask(cx, member, message)).await;
    matches!(asked, Ok(Ok(Message::Word(true))))
}

fn word(cx: &Context, message: &Message) -> bool {
    let now = cx.clock.now();
    match message {
        Message::Vouch(holder) => {
            let reaches_store = cx.store.gate().state() != SessionState::Out;
            cx.witness.lock().vouch(holder, reaches_store, now)
        }
        Message::Release(holder) => cx.witness.lock().release(holder, now),
        _ => false,
    }
}

/// Tells whether this instance holds shares, or can't get any just now.
pub(crate) fn is_ready(cx: &Context) -> bool {
    cx.holding.is_cancelled() || cx.store.gate().state() == SessionState::Out
}

/// Answers a sibling's message about shares.
pub(crate) fn answer(cx: &Context, from: &Identity, message: &Message) -> Message {
    let now = cx.clock.now();
    let book = &cx.tables.shares;
    let near = from.region == cx.settings.region;
    match message {
        Message::ShareAsk(ask) => {
            book.apply_config(&cx.tables.config.get(), now);
            Message::Lend(book.lend(&from.instance, ask, now))
        }
        Message::Return(back) => {
            if book.take_back_loan(back, now) {
                cx.metrics.share_move("return", back.tokens);
            }
            Message::Done
        }
        Message::Vouch(holder) => {
            let agrees = near && holder.instance == from.instance && word(cx, message);
            Message::Word(agrees)
        }
        Message::Release(_) => Message::Word(near && word(cx, message)),
        Message::Vacated(holder) if near && holder.instance == from.instance => {
            cx.vacated.notify_one();
            Message::Done
        }
        _ => Message::Done,
    }
}
