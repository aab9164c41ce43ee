//! The routes, pools, client accounts and limits that a catalog consists of.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Residency;
use crate::names::Account;
use crate::names::Model;
use crate::names::Pool;
use crate::names::Route;

/// Whether the requests of a route may run more than once, and whether their
/// answers are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is a stream of server-sent events.
    Stream {
        /// Whether another target can continue the stream after the last
        /// event that was received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Tells whether the answer is a stream of server-sent events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Tells whether the answer is a stream that can be resumed.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
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

/// A pool that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Backend {
    /// The pool.
    pub pool: Pool,
    /// The pool's share, relative to the weights of the route's other pools.
    pub weight: u32,
}

/// A route: the requests that it matches, the pools that answer them, and
/// their timeout, latency targets and number of attempts.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteSpec {
    /// The route's unique name.
    pub name: Route,
    /// The host that matching requests have.
    pub host: Arc<str>,
    /// The prefix of matching paths; it begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests may be repeated, and whether answers are streams.
    pub kind: RouteKind,
    /// The pools that answer the requests.
    pub backends: Vec<Backend>,
    /// Longest time until the answer is complete.
    pub timeout: Duration,
    /// Latency target of a complete answer, or of a stream's first event.
    pub target_latency: Duration,
    /// Latency target of the gap between two events of a stream.
    pub target_event_gap: Duration,
    /// Largest number of attempts to send one request, each to another target.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// The regions where the requests may run.
    pub residency: Residency,
}

/// Rate limit of a cold target, which is one that has started recently and is
/// still warming up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ColdLimit {
    /// Time after its start for which a target is cold.
    pub warmup: Duration,
    /// Requests per second sent to a cold target by all instances together; 0
    /// stands for no limit.
    pub requests_per_s: f64,
}

/// The model engines of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Capacity of an engine's KV cache in tokens.
    pub cache_tokens: u64,
    /// The models that the engines serve.
    pub models: Vec<Model>,
}

/// A pool of interchangeable targets.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PoolSpec {
    /// The pool's unique name.
    pub name: Pool,
    /// Connections that a target accepts from all instances together.
    pub max_connections: u32,
    /// Rate limit of cold targets.
    pub cold: ColdLimit,
    /// The model engines; `None` for other services.
    pub engine: Option<EngineSpec>,
}

/// Token limit of a client account over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TokenLimit {
    /// Refill rate in tokens per second.
    pub rate: f64,
    /// Tokens that can be saved up and spent at once.
    pub burst: f64,
    /// Tokens charged at admission for a request that does not state the length
    /// of its prompt.
    pub default_charge: u64,
}

/// A client account with its keys and limits.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountSpec {
    /// The account's unique name.
    pub name: Account,
    /// The keys that authenticate the account.
    pub keys: Vec<Box<str>>,
    /// The token limit; `None` if the account is not limited.
    pub limit: Option<TokenLimit>,
    /// Priority of the account's requests, which overrides the route's; 0 is
    /// the highest.
    pub priority: Option<u8>,
    /// The regions where the account's requests may run.
    pub residency: Residency,
}

/// Limits on the size of callers' requests and on the time to receive them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClientLimits {
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time until a request's head is complete.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle.
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
