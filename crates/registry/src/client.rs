//! Calls of the registry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::Instance;
use chiverelay_http::Client;
use chiverelay_http::Response;
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
    /// Whether the platform says that it is leaving or dead.
    pub leaving: bool,
}

/// A client of the registry.
#[derive(Clone, Debug)]
pub struct Registry {
    http: Client,
    address: SocketAddr,
}

fn accepted(resp: Response) -> Result<Response, Error> {
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
        let listed = |entry: api::HealthEntry| Listed {
            instance: entry.service.id.into(),
            leaving: entry.checks.iter().any(|c| c.status == api::CRITICAL),
        };
        Ok(entries.into_iter().map(listed).collect())
    }

    /// Puts this instance into the directory for clients.
    ///
    /// # Errors
    ///
    /// Fails if the registry gives no answer.
    pub async fn register(&self, instance: &Instance, address: SocketAddr) -> Result<(), Error> {
        let req = api::Registration {
            id: instance.to_string(),
            name: SERVICE.to_owned(),
            address: address.ip().to_string(),
            port: address.port(),
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
