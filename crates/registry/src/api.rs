//! The documents of the catalog's API, in its own names.

use serde::Deserialize;
use serde::Serialize;

/// Status of an instance that takes work.
pub const PASSING: &str = "passing";

/// Status of an instance that is leaving or dead.
pub const CRITICAL: &str = "critical";

/// `PUT /v1/agent/service/register`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Registration {
    /// Identifier of the instance.
    #[serde(rename = "ID")]
    pub id: String,
    /// The service that it is an instance of.
    pub name: String,
    /// IP address.
    pub address: String,
    /// Port.
    pub port: u16,
    /// What else the instance says of itself.
    pub meta: Meta,
}

/// What an instance says of itself beyond its address for clients.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Meta {
    /// Incarnation, as a number.
    pub incarnation: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Address for operators.
    pub operator: String,
    /// Address for siblings.
    pub sibling: String,
}

/// An instance in `GET /v1/health/service/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct HealthEntry {
    /// The instance.
    pub service: Service,
    /// What is known of its health.
    pub checks: Vec<Check>,
}

/// An instance of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Service {
    /// Identifier of the instance.
    #[serde(rename = "ID")]
    pub id: String,
    /// IP address.
    pub address: String,
    /// Port.
    pub port: u16,
    /// What else the instance says of itself.
    pub meta: Meta,
}

/// A health check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Check {
    /// [`PASSING`], [`CRITICAL`] or another status.
    pub status: String,
}

/// A check in `GET /v1/health/state/critical`, of any service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct StateEntry {
    /// Identifier of what is checked.
    #[serde(rename = "ServiceID")]
    pub service_id: String,
    /// [`CRITICAL`].
    pub status: String,
}
