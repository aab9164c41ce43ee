//! Orders to model engines: `POST /orders`.
//!
//! ```text
//! Exchange<Ready> -> Exchange<Done> | Exchange<Fenced> | Exchange<Unanswered>
//! Exchange<Unanswered> -> Exchange<Ready>, with the same number
//! ```

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::orders::Command;
use chiverelay_decisions::orders::Order;
use chiverelay_decisions::orders::Role;
use chiverelay_decisions::step::Step;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;

use crate::Client;
use crate::Error;
use crate::Outbound;

/// Path of orders at an engine.
pub const PATH: &str = "/orders";

/// An order as it goes over the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// The sender's fencing number.
    pub fence: u64,
    /// Number of the order among the sender's.
    pub sequence: u64,
    /// What the engine is told to become.
    pub order: Body,
}

/// What an engine is told to become.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Body {
    /// Load a version of a model.
    LoadModel {
        /// The model.
        model: String,
        /// Its version; the newest if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<String>,
    },
    /// Load an adapter of a model.
    LoadAdapter {
        /// The model.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// Take a role: `prefill`, `decode` or `both`.
    ChangeRole {
        /// The role.
        role: String,
    },
}

impl From<&Order> for Body {
    fn from(order: &Order) -> Self {
        match order {
            Order::LoadModel { model, version } => Self::LoadModel {
                model: model.to_string(),
                version: version.as_ref().map(ToString::to_string),
            },
            Order::LoadAdapter { model, adapter } => Self::LoadAdapter {
                model: model.to_string(),
                adapter: adapter.to_string(),
            },
            Order::ChangeRole { role } => Self::ChangeRole {
                role: role_name(*role).to_owned(),
            },
        }
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Prefill => "prefill",
        Role::Decode => "decode",
        Role::Both => "both",
    }
}

impl From<&Command> for Message {
    fn from(command: &Command) -> Self {
        let number = command.number();
        Self {
            fence: number.fence.0,
            sequence: number.sequence,
            order: command.order().into(),
        }
    }
}

/// State of an order that may be sent.
#[derive(Debug, PartialEq, Eq)]
pub struct Ready(());

/// State of an order that the engine carried out, or had before.
#[derive(Debug, PartialEq, Eq)]
pub struct Done(());

/// State of an order that the engine refused, since a later one came first.
#[derive(Debug, PartialEq, Eq)]
pub struct Fenced(());

/// State of an order that the engine may have carried out.
#[derive(Debug, PartialEq, Eq)]
pub struct Unanswered(());

/// An order to one engine in state `S`.
#[derive(Debug, PartialEq, Eq)]
pub struct Exchange<S> {
    target: Target,
    command: Command,
    state: S,
}

/// What became of an order.
#[derive(Debug)]
pub enum Outcome {
    /// The engine carried it out, or had before.
    Done(Exchange<Done>),
    /// A later order came first, another sender's or this one's.
    Fenced(Exchange<Fenced>),
    /// The engine may have carried it out.
    Unanswered(Exchange<Unanswered>, Error),
}

impl<S> Exchange<S> {
    /// Returns the order with its number.
    pub fn command(&self) -> &Command {
        &self.command
    }

    fn become_state<T>(self, state: T) -> Exchange<T> {
        Exchange {
            target: self.target,
            command: self.command,
            state,
        }
    }
}

impl Exchange<Ready> {
    /// Addresses an order to an engine.
    pub fn new(target: Target, command: Command) -> Self {
        Self {
            target,
            command,
            state: Ready(()),
        }
    }

    /// Sends the order once; `now` is the clock of its permit.
    ///
    /// The exchange ends with the permit, so that nothing of it is on its way
    /// when another sender may begin.
    pub async fn send(self, client: &Client, address: SocketAddr, now: Duration) -> Outcome {
        let timeout = || Error::Timeout {
            step: Step::Dispatch,
            target: self.target.clone(),
        };
        let Some(left) = self.command.time_left(now) else {
            let e = timeout();
            return Outcome::Unanswered(self.become_state(Unanswered(())), e);
        };
        let posted = tokio::time::timeout(left, self.post(client, address)).await;
        match posted.unwrap_or_else(|_| Err(timeout())) {
            Ok(status) if status.is_success() => Outcome::Done(self.become_state(Done(()))),
            Ok(StatusCode::CONFLICT) => Outcome::Fenced(self.become_state(Fenced(()))),
            Ok(status) => {
                let e = Error::Answer {
                    target: self.target.clone(),
                    reason: format!("{PATH}: status {status}"),
                };
                Outcome::Unanswered(self.become_state(Unanswered(())), e)
            }
            Err(e) => Outcome::Unanswered(self.become_state(Unanswered(())), e),
        }
    }

    async fn post(&self, client: &Client, address: SocketAddr) -> Result<StatusCode, Error> {
        let message = Message::from(&self.command);
        let body = serde_json::to_vec(&message).map_err(|e| Error::Answer {
            target: self.target.clone(),
            reason: format!("{PATH}: {e}"),
        })?;
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let req = Outbound {
            method: Method::POST,
            path_and_query: PATH.to_owned(),
            headers,
            body: Bytes::from(body),
        };
        let conn = client.connect(&self.target, address).await?;
        Ok(conn.send(req).await?.status())
    }
}

impl Exchange<Unanswered> {
    /// Makes the order ready to be sent again, with the number that it had.
    pub fn repeat(self) -> Exchange<Ready> {
        self.become_state(Ready(()))
    }
}
