//! Decides which connections of callers an instance takes on, and which idle
//! ones it closes for them, by the resources that it has.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use crate::progress::Awaited;
use crate::progress::Progress;
use crate::resources::ResourceLimits;

/// Descriptors that are left to files and the runtime.
const FILE_DESCRIPTORS: usize = 200;

/// Part of the other descriptors that is left to links, the store and the
/// endpoints for operators.
const INTERNAL_FRACTION: usize = 8;

/// Divisor that gives each auxiliary endpoint (readiness, lookup, metrics) its
/// part of the internal descriptors.
const ENDPOINT_DIVISOR: usize = 4;

/// Part of the other descriptors that connections to targets may have.
const TARGET_FRACTION: usize = 4;

/// Part of the callers' connections that exist only to be refused.
const RESERVE_FRACTION: usize = 16;

/// Smallest number of connections of a kind.
const MIN_CONNECTIONS: usize = 4;

/// Eighths of the memory that the connections of callers may have. Bodies and
/// buffered answers have two more, and one is left to the process itself.
const CONNECTION_EIGHTHS: u64 = 2;

/// Eighths of the memory that open requests may have.
const REQUEST_EIGHTHS: u64 = 3;

/// Memory of an idle connection, in bytes.
const CONNECTION_BYTES: u64 = 24 * 1024;

/// Memory of an open request without its body, in bytes.
const REQUEST_BYTES: u64 = 64 * 1024;

/// Shortest idle time after which a connection is closed for another one. The
/// request on a younger one may be on its way.
const MIN_IDLE: Duration = Duration::from_millis(500);

/// Shortest delay before a refused caller comes back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Range over which refused callers are spread.
const RETRY_SPREAD: Duration = Duration::from_millis(1500);

/// How many connections and requests an instance may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections of callers that carry requests.
    pub callers: usize,
    /// Further connections of callers, whose requests are refused.
    pub reserve: usize,
    /// Connections to targets.
    pub targets: usize,
    /// Connections at each endpoint beside that for callers.
    pub endpoint: usize,
    /// Open requests, also those of other instances.
    pub requests: usize,
}

impl Shares {
    /// Divides the resources of a process.
    pub fn of(limits: &ResourceLimits) -> Self {
        let sockets = limits.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let targets = (sockets / TARGET_FRACTION).max(MIN_CONNECTIONS);
        let internal = sockets / INTERNAL_FRACTION;
        let left = sockets.saturating_sub(targets + internal);
        let total = left.min(fit(limits.memory, CONNECTION_EIGHTHS, CONNECTION_BYTES));
        let reserve = reserve_of(total);
        Self {
            callers: total.saturating_sub(reserve).max(MIN_CONNECTIONS),
            reserve,
            targets,
            endpoint: (internal / ENDPOINT_DIVISOR).max(MIN_CONNECTIONS),
            requests: fit(limits.memory, REQUEST_EIGHTHS, REQUEST_BYTES).max(MIN_CONNECTIONS),
        }
    }

    /// Bounds only the connections of callers that carry requests.
    pub fn of_callers(callers: usize) -> Self {
        Self {
            callers,
            reserve: reserve_of(callers),
            targets: usize::MAX,
            endpoint: usize::MAX,
            requests: usize::MAX,
        }
    }

    /// Bounds only the connections of an endpoint, which refuses none of them but
    /// closes others.
    pub fn of_endpoint(connections: usize) -> Self {
        Self {
            reserve: 0,
            ..Self::of_callers(connections.max(1))
        }
    }
}

/// Returns how many connections may exist beside others only to be refused.
fn reserve_of(connections: usize) -> usize {
    (connections / RESERVE_FRACTION).max(MIN_CONNECTIONS)
}

/// Returns how many things of a size fit into so many eighths of the memory.
fn fit(memory: u64, eighths: u64, bytes: u64) -> usize {
    let count = memory / 8 * eighths / bytes;
    usize::try_from(count).unwrap_or(usize::MAX)
}

/// How far the connections of callers are from their limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Far.
    #[default]
    Normal,
    /// Near: idle connections are closed for new ones, and refusals end their
    /// connections.
    Tight,
    /// Reached: requests on new connections are refused.
    Full,
}

/// Returns a delay for a refused caller. `random`, from 0 to 1, spreads callers
/// that were refused together.
pub fn spread_retry_after(random: f64) -> Duration {
    MIN_RETRY_AFTER + RETRY_SPREAD.mul_f64(random.clamp(0.0, 1.0))
}

/// Returns such a delay of at most `longest`. Delays that were only cut off
/// there would bring the callers back together.
pub fn spread_retry_after_within(random: f64, longest: Duration) -> Duration {
    let last = longest.min(MIN_RETRY_AFTER + RETRY_SPREAD);
    let first = MIN_RETRY_AFTER.min(last / 2);
    first + (last - first).mul_f64(random.clamp(0.0, 1.0))
}

/// Names an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// A new connection, and what it means for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened {
    /// Name of the new connection.
    pub id: ConnectionId,
    /// The connection that is closed for it.
    pub evicted: Option<ConnectionId>,
}

/// What becomes of the requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    /// They are taken.
    Admitted,
    /// They are refused, unless there is a place for the connection by then.
    RefuseOnly,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    Idle(Duration),
    Busy,
    Closing,
}

#[derive(Debug)]
struct Connection {
    entry: Entry,
    activity: Activity,
    progress: Arc<Progress>,
}

impl Connection {
    fn takes_place(&self) -> bool {
        self.entry == Entry::Admitted && self.activity != Activity::Closing
    }
}

/// The open connections of callers.
///
/// # Invariants
///
/// - `idle` has exactly the admitted connections whose activity is idle, by the
///   time since when.
/// - `admitted` is the number of admitted connections that are not closing.
/// - Only an idle connection is ever closed for another one, or one whose caller
///   is behind the progress that is asked of it.
#[derive(Debug)]
pub struct CallerConnections {
    shares: Shares,
    next: u64,
    open: HashMap<ConnectionId, Connection, Xxh3DefaultBuilder>,
    idle: BTreeSet<(Duration, ConnectionId)>,
    admitted: usize,
}

impl CallerConnections {
    /// Creates an empty table with these limits.
    pub fn new(shares: Shares) -> Self {
        Self {
            shares,
            next: 0,
            open: HashMap::default(),
            idle: BTreeSet::new(),
            admitted: 0,
        }
    }

    /// Tells whether another connection may be accepted, if only for a refusal.
    pub fn has_room(&self) -> bool {
        self.open.len() < self.shares.callers + self.shares.reserve
    }

    /// Adds a connection that was accepted and is idle.
    pub fn open(&mut self, now: Duration) -> Opened {
        let id = ConnectionId(self.next);
        self.next += 1;
        let conn = Connection {
            entry: Entry::RefuseOnly,
            activity: Activity::Idle(now),
            progress: Arc::default(),
        };
        self.open.insert(id, conn);
        let evicted = self.admit(id, now);
        Opened { id, evicted }
    }

    /// Admits a connection if there is a place for it. Returns the connection
    /// that the caller of this method closes for it.
    pub fn admit(&mut self, id: ConnectionId, now: Duration) -> Option<ConnectionId> {
        if self.is_admitted(id) {
            return None;
        }
        let evicted = match self.level() {
            Level::Normal => None,
            Level::Tight | Level::Full => self.evict(now),
        };
        if self.admitted >= self.shares.callers {
            return evicted;
        }
        if let Some(conn) = self.open.get_mut(&id) {
            conn.entry = Entry::Admitted;
            self.admitted += 1;
            if let Activity::Idle(since) = conn.activity {
                self.idle.insert((since, id));
            }
        }
        evicted
    }

    /// Tells whether the requests of a connection are taken.
    pub fn is_admitted(&self, id: ConnectionId) -> bool {
        let conn = self.open.get(&id);
        conn.is_some_and(|conn| conn.entry == Entry::Admitted)
    }

    /// Returns the progress of a connection's caller.
    pub fn progress(&self, id: ConnectionId) -> Arc<Progress> {
        let conn = self.open.get(&id);
        conn.map(|conn| Arc::clone(&conn.progress))
            .unwrap_or_default()
    }

    /// Chooses a connection that the caller of this method closes: that of the
    /// slowest caller who is behind the progress asked, or else the one that has
    /// been idle for longest. `None` if no caller is behind and no connection has
    /// been idle for long enough.
    pub fn evict(&mut self, now: Duration) -> Option<ConnectionId> {
        if let Some(id) = self.evict_slowest(now, None) {
            return Some(id);
        }
        let (since, id) = *self.idle.first()?;
        if now.saturating_sub(since) < MIN_IDLE {
            return None;
        }
        self.stop_admitting(id);
        Some(id)
    }

    /// Chooses the connection of the slowest caller who is behind the progress
    /// asked, in one respect if `only` names it. The caller of this method closes it.
    pub fn evict_slowest(&mut self, now: Duration, only: Option<Awaited>) -> Option<ConnectionId> {
        let behind = self.open.iter().filter_map(|(id, conn)| {
            let is_meant = only.is_none_or(|only| conn.progress.awaited() == Some(only));
            if conn.activity == Activity::Closing || !is_meant {
                return None;
            }
            Some((conn.progress.behind_since(now)?, *id))
        });
        let (_, id) = behind.min()?;
        self.stop_admitting(id);
        Some(id)
    }

    /// Records that a connection carries no request.
    pub fn set_idle(&mut self, id: ConnectionId, now: Duration) {
        self.set_activity(id, Activity::Idle(now));
    }

    /// Records that a request began to arrive on a connection.
    pub fn set_busy(&mut self, id: ConnectionId) {
        self.set_activity(id, Activity::Busy);
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.stop_admitting(id);
        self.open.remove(&id);
    }

    /// Gives the place of a connection to others.
    fn stop_admitting(&mut self, id: ConnectionId) {
        let conn = self.open.get(&id);
        if conn.is_some_and(|conn| conn.takes_place()) {
            self.admitted -= 1;
        }
        self.set_activity(id, Activity::Closing);
    }

    fn set_activity(&mut self, id: ConnectionId, activity: Activity) {
        let Some(conn) = self.open.get_mut(&id) else {
            return;
        };
        if conn.activity == Activity::Closing {
            return;
        }
        if let Activity::Idle(since) = conn.activity {
            self.idle.remove(&(since, id));
        }
        conn.activity = activity;
        if let (Activity::Idle(since), Entry::Admitted) = (activity, conn.entry) {
            self.idle.insert((since, id));
        }
    }

    /// Returns how far the connections are from their limit.
    pub fn level(&self) -> Level {
        let limit = self.shares.callers;
        if self.admitted >= limit {
            return Level::Full;
        }
        match self.admitted >= limit - limit / 8 {
            true => Level::Tight,
            false => Level::Normal,
        }
    }

    /// Counts the open connections.
    pub fn count_open(&self) -> usize {
        self.open.len()
    }

    /// Counts the connections that carry no request.
    pub fn count_idle(&self) -> usize {
        self.idle.len()
    }

    /// Returns the limits.
    pub fn shares(&self) -> Shares {
        self.shares
    }
}
