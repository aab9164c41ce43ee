//! The rows of a catalog.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Residency;
use crate::names::Account;
use crate::names::Model;
use crate::names::Pool;
use crate::names::Route;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another target may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns the kind's name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Stream { resumable: true } => "resumable",
            Self::Stream { resumable: false } => "stream",
        }
    }
}

/// A pool that answers a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The pool.
    pub pool: Pool,
    /// Its share, relative to the weights of the other pools.
    pub weight: u32,
}

/// A route: which requests it takes, who answers, and in what time.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Name.
    pub name: Route,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Prefix of the requests' path; it begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The pools that answer.
    pub backends: Vec<Backend>,
    /// Longest time until the answer is whole.
    pub timeout: Duration,
    /// Time in which an answer, or the first event of one, is on time.
    pub target_latency: Duration,
    /// Longest pause between events of an answer that is on time.
    pub target_event_gap: Duration,
    /// Targets to which one request may go.
    pub max_attempts: u32,
    /// Rank of the requests; 0 goes first.
    pub priority: u8,
    /// Whether the route needs no key.
    pub public: bool,
    /// Where the requests may run.
    pub residency: Residency,
}

/// A bound on what a target takes while it is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdLimit {
    /// How long a target is cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold target takes; 0 for no bound.
    pub requests_per_s: f64,
}

/// What is known of a pool's model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into an engine's memory.
    pub cache_tokens: u64,
    /// The models that the engines serve.
    pub models: Vec<Model>,
}

/// A pool of targets that answer alike.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// Name.
    pub name: Pool,
    /// Connections that a target takes from all instances together.
    pub max_connections: u32,
    /// What cold targets take.
    pub cold: ColdLimit,
    /// The model engines; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

/// A client account's limit in tokens over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenLimit {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that may be spent at once.
    pub burst: f64,
    /// Tokens of a request that states none.
    pub default_charge: u64,
}

/// A client account.
#[derive(Clone, Debug)]
pub struct AccountSpec {
    /// Name.
    pub name: Account,
    /// The keys that show the account.
    pub keys: Vec<Box<str>>,
    /// The limit; `None` for none.
    pub limit: Option<TokenLimit>,
    /// Rank of the account's requests, in place of the route's.
    pub priority: Option<u8>,
    /// Where the account's requests may run.
    pub residency: Residency,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
