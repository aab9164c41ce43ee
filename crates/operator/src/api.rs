//! The documents of the admin interface.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use chiverelay_decisions::config::AccountEntry;
use chiverelay_decisions::config::PoolEntry;
use chiverelay_decisions::config::RouteEntry;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::KeyId;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Route;
use chiverelay_decisions::names::Zone;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error as ThisError;

/// The part of the configuration that operators write as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    /// Who may ask for what.
    #[serde(default)]
    pub routes: BTreeMap<Route, RouteEntry>,
    /// Which targets may answer.
    #[serde(default)]
    pub pools: BTreeMap<Pool, PoolEntry>,
    /// The client accounts.
    #[serde(default)]
    pub accounts: BTreeMap<Account, AccountEntry>,
}

/// `GET /v1/config`, and the answer to an accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Versioned {
    /// The version.
    pub version: u64,
    /// The configuration at that version.
    pub document: Document,
}

/// `PUT /v1/config`: replaces the configuration if its version is `expected`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Apply {
    /// The version that the operator saw.
    pub expected: u64,
    /// The configuration to put in its place.
    pub document: Document,
}

/// A key without its secret, as `GET /v1/keys` lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyInfo {
    /// The public part.
    pub id: KeyId,
    /// The account that the key shows; `None` if this instance does not know
    /// the key yet.
    pub account: Option<Account>,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
    /// Whether what this says stands in the stored configuration.
    pub durable: bool,
}

/// `POST /v1/keys`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GrantKey {
    /// The account that the key is to show.
    pub account: Account,
}

impl fmt::Debug for GrantedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GrantedKey")
            .field("id", &self.id)
            .field("version", &self.version)
            .finish_non_exhaustive()
    }
}

/// Answer to [`GrantKey`]; the only place where a whole key is ever shown.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GrantedKey {
    /// The public part.
    pub id: KeyId,
    /// The whole key.
    pub key: String,
    /// The version at which it is in force.
    pub version: u64,
}

/// An instance as another one or an operator knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceStatus {
    /// Name.
    pub instance: Instance,
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: Zone,
    /// Address of its admin interface.
    pub operator: SocketAddr,
    /// "serving", "draining" or "unreachable".
    pub state: String,
    /// Its configuration version, as last heard.
    pub config_version: u64,
}

/// `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The instance that answers.
    pub own: InstanceStatus,
    /// Whether the store answers it.
    pub store: String,
    /// The other instances that it knows.
    pub siblings: Vec<InstanceStatus>,
    /// What the instance has counted since it started, by name.
    #[serde(default)]
    pub counters: BTreeMap<String, u64>,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "failure")]
pub enum Failure {
    /// The operator's token is missing or wrong.
    #[error("the operator's token is missing or wrong")]
    Unauthenticated,
    /// The document is faulty.
    #[error("the document is faulty: {}", faults.join("; "))]
    Faulty {
        /// What is wrong, and where.
        faults: Vec<String>,
    },
    /// Another operator changed the configuration first.
    #[error("conflict: the configuration is at version {}", current.version)]
    Conflict {
        /// What stands there now.
        current: Box<Versioned>,
    },
    /// The store can't be reached; nothing was changed.
    #[error("the store can't be reached: {reason}")]
    StoreUnavailable {
        /// The cause.
        reason: String,
    },
    /// The store may or may not have taken the change.
    #[error("the outcome is not known: {reason}")]
    Unknown {
        /// The cause.
        reason: String,
    },
    /// There is no such thing.
    #[error("no such {what}")]
    NotFound {
        /// What was looked for.
        what: String,
    },
}
