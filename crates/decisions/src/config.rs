//! The configuration set by operators: routes, pools, accounts and keys, as one
//! immutable snapshot.

mod pool;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::LazyLock;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::keys::SECRET_DIGITS;
use crate::names::Account;
use crate::names::KeyId;
use crate::names::Model;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Route;
use crate::names::check_name;

pub use pool::DEFAULT_PANIC_PERCENT;
pub use pool::DEFAULT_PREFILL_RATE;
pub use pool::DEFAULT_QUEUE;
pub use pool::DEFAULT_RAMP_MS;
pub use pool::DEFAULT_SLOTS;
pub use pool::PoolEntry;
pub use pool::PoolKind;
pub use pool::TargetEntry;

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

/// Regions in which a request may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Residency(Option<Vec<Region>>);

impl Residency {
    /// Allows any region.
    pub fn anywhere() -> Self {
        Self(None)
    }

    /// Allows only the given regions.
    pub fn only(regions: Vec<Region>) -> Self {
        Self(Some(regions))
    }

    /// Returns true if a request may run in `region`.
    pub fn allows(&self, region: &Region) -> bool {
        match &self.0 {
            None => true,
            Some(regions) => regions.contains(region),
        }
    }

    /// Returns the intersection of two residencies.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(a), Some(b)) => Self(Some(a.iter().filter(|r| b.contains(r)).cloned().collect())),
        }
    }
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

/// Record of an API key. It contains a digest but not the key itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct KeyEntry {
    /// Account that the key belongs to.
    pub account: Account,
    /// Salt of the digest, in hexadecimal digits.
    pub salt: String,
    /// SHA-256 of salt and secret, in hexadecimal digits.
    pub digest: String,
    /// Whether the key was withdrawn, that is revoked. This cannot be undone.
    #[serde(default)]
    pub withdrawn: bool,
}

impl KeyEntry {
    /// Creates the record of a new key.
    pub fn new(account: Account, salt: &str, secret: &str) -> Self {
        Self {
            account,
            salt: salt.to_owned(),
            digest: digest(salt, secret),
            withdrawn: false,
        }
    }

    /// Returns a dummy record, with which the secret of an unknown key is
    /// compared so that the response time does not reveal that it is unknown.
    fn dummy() -> &'static Self {
        static DUMMY: LazyLock<KeyEntry> =
            LazyLock::new(|| KeyEntry::new("".into(), &"0".repeat(SECRET_DIGITS), ""));
        &DUMMY
    }

    /// Compares a secret with the stored digest in constant time.
    pub fn matches(&self, secret: &str) -> bool {
        let expected = self.digest.as_bytes();
        bool::from(digest(&self.salt, secret).as_bytes().ct_eq(expected))
    }
}

fn digest(salt: &str, secret: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update(salt.as_bytes());
    hasher.update([0]);
    hasher.update(secret.as_bytes());
    hex(&hasher.finalize())
}

/// Compares an operator's token with its expected SHA-256 digest in constant
/// time.
pub fn token_matches(token: &str, expected_hash: &str) -> bool {
    let found = hex(&Sha256::digest(token.as_bytes()));
    bool::from(found.as_bytes().ct_eq(expected_hash.as_bytes()))
}

/// Encodes bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits = |b: &u8| [b >> 4, b & 15].map(|d| char::from(DIGITS[usize::from(d)]));
    bytes.iter().flat_map(digits).collect()
}

/// Prefix of every key, which allows searching for leaked keys.
pub const KEY_PREFIX: &str = "ck_";

/// Splits a key into its public part and its secret.
pub fn split_key(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(KEY_PREFIX)?.split_once('.')
}

/// An error in a configuration, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    /// Path of field and entry names to the faulty value.
    pub path: Vec<String>,
    /// Description of the error.
    pub reason: String,
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

    /// Returns all errors in the configuration.
    pub fn check(&self) -> Vec<ConfigFault> {
        self.check_with(&DefinedNames {
            pools: self.pools.keys().map(ToString::to_string).collect(),
            accounts: self.accounts.keys().map(ToString::to_string).collect(),
        })
    }

    /// Like [`Config::check`], but checks references from routes against
    /// `defined`. That set also contains the names of entries that could not be
    /// parsed, so that references to them are not reported.
    pub fn check_with(&self, defined: &DefinedNames) -> Vec<ConfigFault> {
        let mut faults = ConfigFaults(Vec::new());
        for (name, route) in &self.routes {
            let at = ["routes", name.as_str()];
            faults.check_name(&at, name.as_str());
            self.check_route(&at, route, defined, &mut faults);
        }
        self.check_duplicate_routes(&mut faults);
        for (name, pool) in &self.pools {
            pool.check(name, &mut faults);
        }
        for (name, account) in &self.accounts {
            check_account(name, account, &mut faults);
        }
        for (name, entry) in self.keys.iter().filter(|(_, key)| !key.withdrawn) {
            if !self.accounts.contains_key(&entry.account) {
                let reason = format!("no account {}; withdraw the key first", entry.account);
                faults.push(&["keys", name.as_str(), "account"], reason);
            }
        }
        faults.0
    }

    fn check_route(
        &self,
        at: &[&str; 2],
        route: &RouteEntry,
        defined: &DefinedNames,
        faults: &mut ConfigFaults,
    ) {
        if !route.path.starts_with('/') {
            faults.push(&[at[0], at[1], "path"], "a path starts with /");
        }
        if !defined.pools.contains(route.pool.as_str()) {
            faults.push(&[at[0], at[1], "pool"], format!("no pool {}", route.pool));
        }
        if route.open && !route.accounts.is_empty() {
            let reason = "an open route lists no accounts";
            faults.push(&[at[0], at[1], "accounts"], reason);
        }
        for account in &route.accounts {
            if !defined.accounts.contains(account.as_str()) {
                let reason = format!("no account {account}");
                faults.push(&[at[0], at[1], "accounts"], reason);
            }
        }
        if route.deadline_ms == 0 {
            faults.push(&[at[0], at[1], "deadline-ms"], "a deadline is at least 1");
        }
    }

    /// Returns an error for each route whose residency leaves no target to run
    /// on. A published snapshot may contain such routes, as targets are added
    /// and removed; a configuration file should not.
    pub fn check_reachability(&self) -> Vec<ConfigFault> {
        let mut faults = ConfigFaults(Vec::new());
        for (name, route) in &self.routes {
            self.check_route_reachability(&["routes", name.as_str()], route, &mut faults);
        }
        faults.0
    }

    fn check_route_reachability(
        &self,
        at: &[&str; 2],
        route: &RouteEntry,
        faults: &mut ConfigFaults,
    ) {
        let Some(pool) = self.pools.get(&route.pool) else {
            return;
        };
        let has_target_in = |residency: &Residency| {
            let mut regions = pool.targets.values().map(|t| &t.region);
            regions.any(|region| residency.allows(region))
        };
        if pool.targets.is_empty() {
            return;
        }
        if !has_target_in(&route.residency) {
            let reason = format!("pool {} has no target in these regions", route.pool);
            faults.push(&[at[0], at[1], "residency"], reason);
            return;
        }
        for name in &route.accounts {
            let Some(account) = self.accounts.get(name) else {
                continue;
            };
            if !has_target_in(&route.residency.and(&account.residency)) {
                let reason = format!(
                    "pool {} has no target where account {name} may run",
                    route.pool
                );
                faults.push(&[at[0], at[1], "accounts"], reason);
            }
        }
    }

    /// Checks that no two routes have the same path and model.
    fn check_duplicate_routes(&self, faults: &mut ConfigFaults) {
        let mut seen = BTreeMap::new();
        for (name, route) in &self.routes {
            let path_and_model = (&route.path, &route.model);
            if let Some(other) = seen.insert(path_and_model, name) {
                let reason = format!("route {other} has the same path and model");
                faults.push(&["routes", name.as_str(), "path"], reason);
            }
        }
    }
}

fn check_account(name: &Account, account: &AccountEntry, faults: &mut ConfigFaults) {
    let at = ["accounts", name.as_str()];
    faults.check_name(&at, name.as_str());
    if account.rate == 0 {
        faults.push(&[at[0], at[1], "rate"], "a rate is at least 1");
    }
    if account.burst == 0 {
        faults.push(&[at[0], at[1], "burst"], "a burst is at least 1");
    }
}

/// Names of the entries that routes may refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DefinedNames {
    /// Names of pools.
    pub pools: BTreeSet<String>,
    /// Names of accounts.
    pub accounts: BTreeSet<String>,
}

struct ConfigFaults(Vec<ConfigFault>);

impl ConfigFaults {
    fn push(&mut self, path: &[&str], reason: impl Into<String>) {
        self.0.push(ConfigFault {
            path: path.iter().map(|&s| s.to_owned()).collect(),
            reason: reason.into(),
        });
    }

    fn check_name(&mut self, path: &[&str], name: &str) {
        if let Err(reason) = check_name(name) {
            self.push(path, reason);
        }
    }
}

fn path_matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        None => false,
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
    }
}
