//! The configuration set by operators: routes, pools, accounts and keys, as one
//! immutable snapshot.

mod check;
mod key;
mod pool;
mod residency;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Account;
use crate::names::KeyId;
use crate::names::Model;
use crate::names::Pool;
use crate::names::Route;

pub use check::ConfigFault;
pub use check::DefinedNames;
pub use key::KEY_PREFIX;
pub use key::KeyEntry;
pub use key::hex;
pub use key::split_key;
pub use key::token_matches;
pub use pool::DEFAULT_PANIC_PERCENT;
pub use pool::DEFAULT_PREFILL_RATE;
pub use pool::DEFAULT_QUEUE;
pub use pool::DEFAULT_RAMP_MS;
pub use pool::DEFAULT_SLOTS;
pub use pool::PoolEntry;
pub use pool::PoolKind;
pub use pool::TargetEntry;
pub use residency::Residency;

/// Assumed length of an answer, in tokens, if neither the request nor the route
/// sets a limit.
pub const DEFAULT_MAX_ANSWER_TOKENS: u64 = 1024;

/// Time for a whole answer if the route sets none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 120_000;

/// One version of the whole configuration.
///
/// # Invariants
///
/// A published snapshot is never changed; each new version is a new snapshot.
/// Every published snapshot passes [`Config::check`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Config {
    /// Version number, incremented by one with each accepted change.
    pub version: u64,
    /// Routes by name.
    pub routes: BTreeMap<Route, RouteEntry>,
    /// Pools by name.
    pub pools: BTreeMap<Pool, PoolEntry>,
    /// Client accounts by name.
    pub accounts: BTreeMap<Account, AccountEntry>,
    /// API keys by their public part; only salted digests are stored.
    pub keys: BTreeMap<KeyId, KeyEntry>,
}

/// A route: which requests it matches, which accounts may use it, and which
/// pool answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RouteEntry {
    /// Path prefix of matching requests.
    pub path: String,
    /// Model that a request must name; any if absent.
    #[serde(default)]
    pub model: Option<Model>,
    /// Pool whose targets answer.
    pub pool: Pool,
    /// Whether the route can be used without a key.
    #[serde(default)]
    pub open: bool,
    /// Client accounts that may use the route.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Whether a request may run more than once. If false, an operation ticket
    /// ensures that it runs at most once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Regions in which requests may run; any if absent.
    #[serde(default)]
    pub residency: Residency,
    /// Assumed length of an answer, in tokens, if the request sets no limit. It
    /// is charged to the account and used in placement.
    #[serde(default = "default_max_answer_tokens")]
    pub max_answer_tokens: u64,
    /// Time for a whole answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

fn yes() -> bool {
    true
}

fn default_max_answer_tokens() -> u64 {
    DEFAULT_MAX_ANSWER_TOKENS
}

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

/// Token limit and residency of a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct AccountEntry {
    /// Tokens per second, over all instances.
    pub rate: u64,
    /// Burst size in tokens, over all instances.
    pub burst: u64,
    /// Regions in which the account's requests may run; any if absent.
    #[serde(default)]
    pub residency: Residency,
}

impl Config {
    /// Returns the account of a valid key, with the key's public part. A
    /// revoked key is not valid.
    pub fn authenticate(&self, key: &str) -> Option<(&KeyId, &Account)> {
        let (id, entry) = self.find_matching_key(key)?;
        (!entry.withdrawn).then_some((id, &entry.account))
    }

    /// Returns the record of a key with a matching secret, even if the key was
    /// revoked.
    pub fn find_matching_key(&self, key: &str) -> Option<(&KeyId, &KeyEntry)> {
        let (id, secret) = split_key(key)?;
        let Some((id, entry)) = self.keys.get_key_value(id) else {
            // Verifying an unknown key takes as long as verifying a known key
            // with a wrong secret.
            let _ = KeyEntry::dummy().matches(secret);
            return None;
        };
        entry.matches(secret).then_some((id, entry))
    }

    /// Returns the route of a request. The longest path prefix wins, and among
    /// equal prefixes a route that names the model.
    pub fn find_route(&self, path: &str, model: Option<&Model>) -> Option<(&Route, &RouteEntry)> {
        self.routes
            .iter()
            .filter(|(_, r)| path_matches(&r.path, path))
            .filter(|(_, r)| r.model.is_none() || r.model.as_ref() == model)
            .max_by_key(|(_, r)| (r.path.len(), r.model.is_some()))
    }
}

fn path_matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        None => false,
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
    }
}
