//! Binds tickets to idempotency keys in the store, many in one call.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use chiverelay_decisions::tickets::Ticket;
use chiverelay_store::Created;
use chiverelay_store::Entry;
use chiverelay_store::Error;
use chiverelay_store::MAX_BATCH;
use chiverelay_store::Store;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// Prefix of the keys that hold tickets.
const PREFIX: &str = "chiverelay/operations/";

/// Time for which an idempotency key keeps its ticket.
pub(crate) const RETENTION: Duration = Duration::from_secs(3600);

/// Time for which new keys hang on one lease.
const LEASE_USE: Duration = Duration::from_secs(600);

/// Time in which requests gather for one call.
const WINDOW: Duration = Duration::from_millis(4);

/// Requests that wait for a call.
const QUEUE: usize = 4096;

/// Calls for one batch before it is given up.
const CALLS: usize = 4;

#[derive(Debug)]
struct Wanted {
    name: String,
    ticket: Ticket,
    tx: oneshot::Sender<Option<Ticket>>,
}

/// The queue of tickets to be bound.
#[derive(Clone, Debug)]
pub(crate) struct Binder {
    tx: mpsc::Sender<Wanted>,
}

impl Binder {
    /// Starts the task that writes to the store.
    pub(crate) fn start(store: Store, cancel: CancellationToken) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE);
        let writer = Writer { store, lease: None };
        tokio::spawn(async move {
            cancel.run_until_cancelled(writer.run(rx)).await;
        });
        Self { tx }
    }

    /// Returns the ticket bound to a name, which is `ticket` if there was
    /// none; `None` if the store can't be reached.
    pub(crate) async fn bind(&self, name: String, ticket: Ticket) -> Option<Ticket> {
        let (tx, rx) = oneshot::channel();
        let wanted = Wanted { name, ticket, tx };
        self.tx.try_send(wanted).ok()?;
        rx.await.ok().flatten()
    }
}

/// A lease and when it was taken.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: i64,
    taken: Instant,
}

/// The tickets to be bound in one call, and who waits for each.
type Batch = BTreeMap<String, (Ticket, Vec<oneshot::Sender<Option<Ticket>>>)>;

#[derive(Debug)]
struct Writer {
    store: Store,
    lease: Option<Lease>,
}

impl Writer {
    async fn run(mut self, mut rx: mpsc::Receiver<Wanted>) {
        while let Some(first) = rx.recv().await {
            tokio::time::sleep(WINDOW).await;
            let mut batch = Batch::new();
            add(&mut batch, first);
            while batch.len() < MAX_BATCH
                && let Ok(next) = rx.try_recv()
            {
                add(&mut batch, next);
            }
            if let Err(e) = self.write(&mut batch).await {
                log::warn!("bind: {} keys are not bound: {e}", batch.len());
            }
        }
    }

    /// Writes until each name of the batch has a ticket.
    async fn write(&mut self, batch: &mut Batch) -> Result<(), Error> {
        let lease = self.lease().await?;
        for _ in 0..CALLS {
            if batch.is_empty() {
                return Ok(());
            }
            let keys: Vec<(String, Vec<u8>)> = batch
                .iter()
                .map(|(name, (ticket, _))| {
                    let value = ticket.to_string().into_bytes();
                    (format!("{PREFIX}{name}"), value)
                })
                .collect();
            match self.store.create_all(&keys, lease).await {
                Ok(Created::All) => std::mem::take(batch)
                    .into_values()
                    .for_each(|(ticket, waiting)| reply(&ticket, waiting)),
                Ok(Created::Conflict(found)) => settle(batch, &found),
                // The same call shows whether the lost one took effect.
                Err(Error::Lost { .. }) => {}
                Err(e) => {
                    self.lease = None;
                    return Err(e);
                }
            }
        }
        Ok(())
    }

    async fn lease(&mut self) -> Result<i64, Error> {
        if let Some(lease) = self.lease
            && lease.taken.elapsed() < LEASE_USE
        {
            return Ok(lease.id);
        }
        let taken = Instant::now();
        let id = self.store.grant_lease(RETENTION + LEASE_USE).await?.id();
        self.lease = Some(Lease { id, taken });
        Ok(id)
    }
}

fn add(batch: &mut Batch, wanted: Wanted) {
    let entry = batch
        .entry(wanted.name)
        .or_insert_with(|| (wanted.ticket, Vec::new()));
    entry.1.push(wanted.tx);
}

/// Takes the names out of the batch that had a ticket already.
fn settle(batch: &mut Batch, found: &[Entry]) {
    for entry in found {
        let name = entry.key.strip_prefix(PREFIX).unwrap_or_default();
        let ticket = std::str::from_utf8(&entry.value)
            .ok()
            .and_then(|text| text.parse().ok());
        let Some((_, waiting)) = batch.remove(name) else {
            continue;
        };
        if let Some(ticket) = ticket {
            reply(&ticket, waiting);
        }
    }
}

fn reply(ticket: &Ticket, waiting: Vec<oneshot::Sender<Option<Ticket>>>) {
    for tx in waiting {
        // Whoever asked may have left.
        let _ = tx.send(Some(ticket.clone()));
    }
}
