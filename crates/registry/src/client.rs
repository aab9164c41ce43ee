//! Calls of the registry.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::membership::Profile;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Target;
use chiverelay_http::BufferedResponse;
use chiverelay_http::Client;
use hyper::Method;

use crate::Error;
use crate::api;

/// The service that the gateway's instances belong to.
const SERVICE: &str = "chiverelay";

/// An instance as the registry lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub instance: Instance,
    /// Its incarnation, when it registered.
    pub incarnation: u64,
    /// Where it is, if it said so.
    pub profile: Option<Profile>,
    /// Whether the platform says that it is leaving or dead.
    pub leaving: bool,
}

/// A client of the registry.
#[derive(Clone, Debug)]
pub struct Registry {
    http: Client,
    address: SocketAddr,
}

fn profile(service: &api::Service) -> Option<Profile> {
    let meta = &service.meta;
    let ip = service.address.parse().ok()?;
    Some(Profile {
        region: meta.region.as_str().into(),
        zone: meta.zone.as_str().into(),
        caller: SocketAddr::new(ip, service.port),
        operator: meta.operator.parse().ok()?,
        sibling: meta.sibling.parse().ok()?,
    })
}

impl From<api::HealthEntry> for Listed {
    fn from(entry: api::HealthEntry) -> Self {
        Self {
            incarnation: entry.service.meta.incarnation.parse().unwrap_or(0),
            profile: profile(&entry.service),
            leaving: entry.checks.iter().any(|c| c.status == api::CRITICAL),
            instance: entry.service.id.into(),
        }
    }
}

fn accepted(resp: BufferedResponse) -> Result<BufferedResponse, Error> {
    if resp.status.is_success() {
        return Ok(resp);
    }
    Err(Error::Refused {
        status: resp.status.as_u16(),
    })
}

impl Registry {
    /// Makes a client whose calls end within `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http: Client::new(timeout),
            address,
        }
    }

    /// Lists the instances, as of some time ago.
    ///
    /// # Errors
    ///
    /// Fails if the registry gives no answer.
    pub async fn list(&self) -> Result<Vec<Listed>, Error> {
        let path = format!("/v1/health/service/{SERVICE}");
        let resp = self
            .http
            .send(Method::GET, self.address, &path, Bytes::new())
            .await?;
        let entries: Vec<api::HealthEntry> = accepted(resp)?.json()?;
        Ok(entries.into_iter().map(Listed::from).collect())
    }

    /// Lists the targets that are leaving or dead, as of some time ago.
    ///
    /// # Errors
    ///
    /// Fails if the registry gives no answer.
    pub async fn leaving_targets(&self) -> Result<BTreeSet<Target>, Error> {
        let path = format!("/v1/health/state/{}", api::CRITICAL);
        let resp = self
            .http
            .send(Method::GET, self.address, &path, Bytes::new())
            .await?;
        let entries: Vec<api::StateEntry> = accepted(resp)?.json()?;
        let leaving = entries.into_iter().filter(|e| e.status == api::CRITICAL);
        Ok(leaving.map(|e| e.service_id.into()).collect())
    }

    /// Puts this instance into the directory for clients.
    ///
    /// # Errors
    ///
    /// Fails if the registry gives no answer.
    pub async fn register(
        &self,
        instance: &Instance,
        incarnation: u64,
        profile: &Profile,
    ) -> Result<(), Error> {
        let req = api::Registration {
            id: instance.to_string(),
            name: SERVICE.to_owned(),
            address: profile.caller.ip().to_string(),
            port: profile.caller.port(),
            meta: api::Meta {
                incarnation: incarnation.to_string(),
                region: profile.region.to_string(),
                zone: profile.zone.to_string(),
                operator: profile.operator.to_string(),
                sibling: profile.sibling.to_string(),
            },
        };
        let path = "/v1/agent/service/register";
        let resp = self
            .http
            .send_json(Method::PUT, self.address, path, &req)
            .await?;
        accepted(resp)?;
        Ok(())
    }

    /// Takes this instance out of the directory for clients.
    ///
    /// # Errors
    ///
    /// Fails if the registry gives no answer.
    pub async fn deregister(&self, instance: &Instance) -> Result<(), Error> {
        let path = format!("/v1/agent/service/deregister/{instance}");
        let resp = self
            .http
            .send(Method::PUT, self.address, &path, Bytes::new())
            .await?;
        accepted(resp)?;
        Ok(())
    }
}
