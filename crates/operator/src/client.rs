//! The tool's side of the admin interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::event::EventPage;
use chiverelay_decisions::names::KeyId;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::api::Apply;
use crate::api::Failure;
use crate::api::GrantKey;
use crate::api::GrantedKey;
use crate::api::KeyInfo;
use crate::api::Status;
use crate::api::Versioned;

/// Calls one instance.
#[derive(Clone, Debug)]
pub struct Client {
    http: chiverelay_http::Client,
    address: SocketAddr,
}

impl Client {
    /// Makes a client for the instance at `address`.
    pub fn new(address: SocketAddr, timeout: Duration, token: Option<String>) -> Self {
        let http = chiverelay_http::Client::new(timeout);
        let http = match token {
            Some(token) => http.with_bearer_token(token),
            None => http,
        };
        Self { http, address }
    }

    async fn call<Q, R>(&self, method: Method, path: &str, req: Option<&Q>) -> Result<R, Error>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let address = self.address;
        let wrap = |source| Error::Exchange { address, source };
        let resp = match req {
            Some(req) => self.http.send_json(method, address, path, req).await,
            None => self.http.send(method, address, path, Bytes::new()).await,
        }
        .map_err(wrap)?;
        if resp.status.is_success() {
            return resp.json().map_err(wrap);
        }
        let failure = resp.json::<Failure>().map_err(wrap)?;
        Err(Error::Failed { address, failure })
    }

    async fn get<R>(&self, path: &str) -> Result<R, Error>
    where
        R: DeserializeOwned,
    {
        self.call(Method::GET, path, None::<&()>).await
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails if the instance gives no answer.
    pub async fn config(&self) -> Result<Versioned, Error> {
        self.get("/v1/config").await
    }

    /// Replaces the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the instance gives no answer or refuses the change.
    pub async fn apply(&self, req: &Apply) -> Result<Versioned, Error> {
        self.call(Method::PUT, "/v1/config", Some(req)).await
    }

    /// Lists the keys.
    ///
    /// # Errors
    ///
    /// Fails if the instance gives no answer.
    pub async fn keys(&self) -> Result<Vec<KeyInfo>, Error> {
        self.get("/v1/keys").await
    }

    /// Grants a key.
    ///
    /// # Errors
    ///
    /// Fails if the instance gives no answer or refuses the call.
    pub async fn grant(&self, req: &GrantKey) -> Result<GrantedKey, Error> {
        self.call(Method::POST, "/v1/keys", Some(req)).await
    }

    /// Withdraws a key.
    ///
    /// # Errors
    ///
    /// Fails if the instance gives no answer or refuses the call.
    pub async fn withdraw(&self, id: &KeyId) -> Result<KeyInfo, Error> {
        let path = format!("/v1/keys/{id}");
        self.call(Method::DELETE, &path, None::<&()>).await
    }

    /// Returns the state of the instance.
    ///
    /// # Errors
    ///
    /// Fails if the instance gives no answer.
    pub async fn status(&self) -> Result<Status, Error> {
        self.get("/v1/status").await
    }

    /// Returns the events that the instance holds.
    ///
    /// # Errors
    ///
    /// Fails if the instance gives no answer.
    pub async fn events(&self) -> Result<EventPage, Error> {
        self.get("/v1/events").await
    }

    /// Starts a graceful shutdown.
    ///
    /// # Errors
    ///
    /// Fails if the instance gives no answer.
    pub async fn drain(&self) -> Result<(), Error> {
        let _: String = self.call(Method::POST, "/v1/drain", None::<&()>).await?;
        Ok(())
    }
}
