//! The open connections of callers, of which idle ones are closed for new ones.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::admission::CallerConnections;
use chiverelay_decisions::admission::ConnectionId;
use chiverelay_decisions::admission::Level;
use chiverelay_decisions::admission::Shares;
use chiverelay_decisions::progress::Awaited;
use chiverelay_decisions::progress::Progress;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Pause before another look for a connection to close for a new one.
const ROOM_PAUSE: Duration = Duration::from_millis(50);

/// Shortest time between two reports of the same level.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// How many connections are open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Open connections, also those that are only refused.
    pub open: usize,
    /// Open connections that carry no request.
    pub idle: usize,
    /// Number of connections from which on new ones are refused.
    pub limit: usize,
}

#[derive(Debug)]
struct Table {
    connections: CallerConnections,
    /// How open connections are told to close.
    evictions: HashMap<ConnectionId, Arc<Notify>>,
    /// When each level above the normal one was last reported.
    tight_reported: Option<Instant>,
    full_reported: Option<Instant>,
}

impl Table {
    /// Returns the level if it is above the normal one and was not reported of
    /// late.
    fn level_to_report(&mut self, now: Instant) -> Option<Level> {
        let level = self.connections.level();
        let last = match level {
            Level::Normal => return None,
            Level::Tight => &mut self.tight_reported,
            Level::Full => &mut self.full_reported,
        };
        if last.is_some_and(|last| now - last < REPORT_INTERVAL) {
            return None;
        }
        *last = Some(now);
        Some(level)
    }

    fn notify_evicted(&self, id: ConnectionId) {
        if let Some(eviction) = self.evictions.get(&id) {
            eviction.notify_one();
        }
    }
}

/// The table of the open connections.
#[derive(Debug)]
pub struct Connections {
    table: RankedMutex<Table>,
    /// Notified when a connection was closed.
    room: Notify,
    started: Instant,
}

/// A connection that was added to the table.
#[derive(Debug)]
pub struct Opened {
    /// Its place in the table.
    pub slot: ConnectionSlot,
    /// Whether another connection is closed for it.
    pub has_evicted: bool,
    /// The level that was reached, if it is to be reported.
    pub reached: Option<Level>,
}

impl Connections {
    /// Creates an empty table with these limits.
    pub fn new(shares: Shares) -> Arc<Self> {
        let table = Table {
            connections: CallerConnections::new(shares),
            evictions: HashMap::new(),
            tight_reported: None,
            full_reported: None,
        };
        Arc::new(Self {
            table: RankedMutex::new(LockRank::Callers, table),
            room: Notify::new(),
            started: Instant::now(),
        })
    }

    /// Waits until another connection may be accepted. Returns whether there
    /// was no room at first.
    pub async fn wait_for_room(&self) -> bool {
        let mut has_waited = false;
        loop {
            let mut closed = pin!(self.room.notified());
            closed.as_mut().enable();
            if self.table.lock().connections.has_room() {
                return has_waited;
            }
            has_waited = true;
            closed.await;
        }
    }

    /// Closes connections until there is room for another one.
    pub async fn make_room(&self) {
        loop {
            let mut closed = pin!(self.room.notified());
            closed.as_mut().enable();
            if self.table.lock().connections.has_room() {
                return;
            }
            self.close_one();
            // None may have been idle for long enough yet.
            let _ = tokio::time::timeout(ROOM_PAUSE, closed).await;
        }
    }

    /// Adds a connection that was accepted.
    pub fn open(self: &Arc<Self>) -> Opened {
        let now = Instant::now();
        let evicted = Arc::new(Notify::new());
        let mut table = self.table.lock();
        let opened = table.connections.open(now - self.started);
        let progress = table.connections.progress(opened.id);
        table.evictions.insert(opened.id, Arc::clone(&evicted));
        if let Some(id) = opened.evicted {
            table.notify_evicted(id);
        }
        let reached = table.level_to_report(now);
        drop(table);
        Opened {
            slot: ConnectionSlot {
                connections: Arc::clone(self),
                id: opened.id,
                evicted,
                progress,
            },
            has_evicted: opened.evicted.is_some(),
            reached,
        }
    }

    /// Closes the connection of a caller who is behind the progress asked, or the
    /// one that has been idle for longest; returns whether there is one.
    pub fn close_one(&self) -> bool {
        self.close_chosen(CallerConnections::evict)
    }

    /// Closes the connection of the slowest caller who is behind with a body;
    /// returns whether there is one.
    pub fn close_slowest_body(&self) -> bool {
        self.close_chosen(|open, now| open.evict_slowest(now, Some(Awaited::Body)))
    }

    /// Closes the connection of the slowest caller who is behind the progress asked;
    /// returns whether there is one.
    pub fn close_slowest(&self) -> bool {
        self.close_chosen(|open, now| open.evict_slowest(now, None))
    }

    fn close_chosen<F>(&self, choose: F) -> bool
    where
        F: FnOnce(&mut CallerConnections, Duration) -> Option<ConnectionId>,
    {
        let now = self.started.elapsed();
        let mut table = self.table.lock();
        let evicted = choose(&mut table.connections, now);
        if let Some(id) = evicted {
            table.notify_evicted(id);
        }
        evicted.is_some()
    }

    /// Returns how far the connections are from their limit.
    pub fn level(&self) -> Level {
        self.table.lock().connections.level()
    }

    /// Counts the connections.
    pub fn usage(&self) -> Usage {
        let table = self.table.lock();
        Usage {
            open: table.connections.count_open(),
            idle: table.connections.count_idle(),
            limit: table.connections.shares().callers,
        }
    }
}

/// The place of an open connection in the table; dropping it frees the place.
#[derive(Debug)]
pub struct ConnectionSlot {
    connections: Arc<Connections>,
    id: ConnectionId,
    evicted: Arc<Notify>,
    progress: Arc<Progress>,
}

impl ConnectionSlot {
    /// Closes the connection of the slowest caller who is behind with a body;
    /// returns whether there is one.
    pub fn close_slowest_body(&self) -> bool {
        self.connections.close_slowest_body()
    }

    /// Closes the connection of the slowest caller who is behind the progress asked;
    /// returns whether there is one.
    pub fn close_slowest(&self) -> bool {
        self.connections.close_slowest()
    }

    /// Tells whether the connection has a place of its own. Others exist only to
    /// refuse their requests.
    pub fn is_admitted(&self) -> bool {
        self.connections
            .table
            .lock()
            .connections
            .is_admitted(self.id)
    }

    /// Takes a place for the connection if it has none, and returns whether its
    /// request may be taken.
    pub fn admit(&self) -> bool {
        let now = self.connections.started.elapsed();
        let mut table = self.connections.table.lock();
        if let Some(evicted) = table.connections.admit(self.id, now) {
            table.notify_evicted(evicted);
        }
        table.connections.is_admitted(self.id)
    }

    /// Tells whether a refusal ends the connection, as others need its place.
    pub fn ends_with_refusal(&self) -> bool {
        self.connections.level() > Level::Normal
    }

    /// Records that the connection carries no request.
    pub fn set_idle(&self) {
        let now = self.connections.started.elapsed();
        let mut table = self.connections.table.lock();
        table.connections.set_idle(self.id, now);
    }

    /// Asks the caller for progress from now on, if anything; it counts while room
    /// is short.
    pub fn set_awaited(&self, awaited: Option<Awaited>) {
        match awaited {
            Some(awaited) => {
                let now = self.connections.started.elapsed();
                self.progress.begin(awaited, now);
            }
            None => self.progress.end(),
        }
    }

    /// Tells whether progress is asked of the caller.
    pub fn awaits_caller(&self) -> bool {
        self.progress.awaited().is_some()
    }

    /// Records bytes that the caller has sent.
    pub fn record_progress(&self, bytes: usize) {
        let now = self.connections.started.elapsed();
        self.progress.record(now, bytes);
    }

    /// Records that a request began to arrive.
    pub fn set_busy(&self) {
        let mut table = self.connections.table.lock();
        table.connections.set_busy(self.id);
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut table = self.connections.table.lock();
        table.connections.close(self.id);
        table.evictions.remove(&self.id);
        drop(table);
        self.connections.room.notify_one();
    }
}
