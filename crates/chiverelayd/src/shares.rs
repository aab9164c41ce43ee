//! The shares of the accounts' limits: their lease, the ledger in the store,
//! and the messages that move tokens between instances.

mod gather;
mod ledger;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::limits::Book;
use chiverelay_decisions::limits::Holder;
use chiverelay_decisions::limits::Keeper;
use chiverelay_decisions::limits::Lease;
use chiverelay_decisions::limits::Return;
use chiverelay_decisions::limits::keeper::RECORD_TTL;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::store_session::State;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Message;
use chiverelay_store as store;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::context::Context;
use crate::members;

pub(crate) use gather::gather;

/// Time between two rounds of the periodic work.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time between two rounds while the ledger is not as it should be.
const UNSETTLED_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two renewals of the record.
const RENEWAL: Duration = Duration::from_secs(3);

/// Time for a sibling's answer about leases.
const WORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Prefix of the keys that hold the records of holders.
const RECORDS: &str = "chiverelay/holders/";

/// The periodic work on the shares.
struct Job {
    cx: Arc<Context>,
    keeper: Keeper,
    record: Option<store::Lease<store::Held>>,
    renewed: Duration,
    settled: Option<BTreeSet<Instance>>,
}

/// Keeps the lease and the ledger until the instance stops.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut job = Job {
        keeper: Keeper::new(cx.settings.instance.clone(), rand::random()),
        cx: Arc::clone(&cx),
        record: None,
        renewed: Duration::ZERO,
        settled: None,
    };
    loop {
        tokio::select! {
            () = cx.stop.cancelled() => return,
            () = job.step() => {}
        }
        tokio::select! {
            () = cx.stop.cancelled() => return,
            () = tokio::time::sleep(job.interval()) => {}
        }
    }
}

fn record_key(holder: &Holder) -> String {
    format!("{RECORDS}{}/{}", holder.instance, holder.term)
}

impl Job {
    fn book(&self) -> &Book {
        &self.cx.tables.book
    }

    fn now(&self) -> Duration {
        self.cx.clock.now()
    }

    fn interval(&self) -> Duration {
        match self.settled {
            Some(_) => INTERVAL,
            None => UNSETTLED_INTERVAL,
        }
    }

    async fn step(&mut self) {
        let now = self.now();
        self.book().configure(&self.cx.tables.config.get(), now);
        if self.keeper.check(&self.cx.tables.book, now) {
            log::warn!("shares: the lease lapsed");
            self.record = None;
            self.settled = None;
        }
        self.give_back();
        let due = self.record.is_none() || self.renewed + RENEWAL <= now;
        let reached = !due || self.renew().await;
        if !reached || self.cx.store.gate().state() == State::Out {
            self.ask_for_vouches().await;
        } else if self.settled.as_ref() != Some(&self.members()) {
            self.write_pages().await;
        }
    }

    fn members(&self) -> BTreeSet<Instance> {
        let mut names = BTreeSet::from([self.cx.settings.instance.clone()]);
        self.cx.members.for_each(|name, _| {
            names.insert(name.clone());
        });
        names
    }

    fn give_back(&self) {
        for (lender, back) in self.book().sweep(self.now()) {
            let cx = Arc::clone(&self.cx);
            tokio::spawn(async move { send_back(&cx, &lender, back).await });
        }
    }

    /// Renews the record or puts another one; false if the store gave no answer.
    async fn renew(&mut self) -> bool {
        if let Some(record) = self.record.take() {
            match record.renew(&self.cx.store).await {
                store::Renewal::Held(record) => {
                    let lease = self.lease(&record);
                    let now = self.now();
                    self.keeper.renewed(&self.cx.tables.book, lease, now);
                    self.record = Some(record);
                    self.renewed = now;
                    return true;
                }
                store::Renewal::Unanswered(record, e) => {
                    log::warn!("shares: {e}");
                    self.record = Some(record);
                    return false;
                }
                store::Renewal::Lapsed(_) => {
                    log::warn!("shares: the record lapsed");
                    self.keeper.record_lost();
                }
            }
        }
        match self.put_record().await {
            Ok(()) => true,
            Err(e) => {
                log::warn!("shares: {e}");
                false
            }
        }
    }

    async fn put_record(&mut self) -> Result<(), store::Error> {
        let record = self.cx.store.grant_lease(RECORD_TTL).await?;
        let key = record_key(self.keeper.holder());
        let expected = self.cx.store.get(&key).await?.map_or(0, |e| e.revision);
        let region = self.cx.settings.region.as_str().as_bytes();
        let swap = self.cx.store.swap(&key, expected, region, Some(&record));
        if let store::Swap::Done(_) = swap.await? {
            let (lease, now) = (self.lease(&record), self.now());
            self.keeper.put(&self.cx.tables.book, lease, now);
            self.record = Some(record);
            self.renewed = now;
            self.settled = None;
        }
        Ok(())
    }

    /// Returns the record's lease on the clock of the decisions.
    fn lease(&self, record: &store::Lease<store::Held>) -> Lease {
        let left = record.until().saturating_duration_since(Instant::now());
        Lease {
            until: self.now() + left,
        }
    }

    async fn ask_for_vouches(&self) {
        let sent = self.now();
        let holder = self.keeper.holder().clone();
        let members: Vec<Instance> = self.keeper.members().into_iter().cloned().collect();
        if members.is_empty() {
            return;
        }
        let by = ask_all(&self.cx, &members, &Message::Vouch(holder)).await;
        let now = self.now();
        self.keeper.vouched(self.book(), sent, &by, now);
    }
}

async fn send_back(cx: &Context, lender: &Instance, back: Return) {
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
    cx.events.observe(reply.stamp);
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
            let reaches_store = cx.store.gate().state() != State::Out;
            cx.witness.lock().vouch(holder, reaches_store, now)
        }
        Message::Release(holder) => cx.witness.lock().release(holder, now),
        _ => false,
    }
}

/// Tells whether this instance holds shares, or can't get any just now.
pub(crate) fn is_ready(cx: &Context) -> bool {
    cx.holding.is_cancelled() || cx.store.gate().state() == State::Out
}

/// Answers a sibling's message about shares.
pub(crate) fn answer(cx: &Context, from: &Identity, message: &Message) -> Message {
    let now = cx.clock.now();
    let book = &cx.tables.book;
    let near = from.region == cx.settings.region;
    match message {
        Message::ShareAsk(ask) => {
            book.configure(&cx.tables.config.get(), now);
            Message::Lend(book.lend(&from.instance, ask, now))
        }
        Message::Return(back) => {
            book.restore(back, now);
            Message::Done
        }
        Message::Vouch(holder) => {
            let agrees = near && holder.instance == from.instance && word(cx, message);
            Message::Word(agrees)
        }
        Message::Release(_) => Message::Word(near && word(cx, message)),
        _ => Message::Done,
    }
}
