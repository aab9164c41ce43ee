//! The processing step and the peer at which an error occurred.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Instance;
use crate::names::Target;

/// A step in the processing of a request, or of a message between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading a request from its sender.
    Receive,
    /// Checking the caller's key.
    Authenticate,
    /// Matching the route.
    Route,
    /// Charging the client account.
    Admit,
    /// Choosing the target or the sibling that gets the request.
    Place,
    /// Opening a connection.
    Connect,
    /// Forwarding the request to a sibling.
    Forward,
    /// Sending the request to its target.
    Dispatch,
    /// Reading the answer.
    Answer,
    /// Claiming an operation that may run only once.
    Claim,
    /// Reading or writing shared state.
    Store,
    /// Reading the settings of the process or the published configuration.
    Configure,
    /// Shutting down the instance.
    Drain,
}

impl Step {
    /// Returns the step's name in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Receive => "receive",
            Self::Authenticate => "authenticate",
            Self::Route => "route",
            Self::Admit => "admit",
            Self::Place => "place",
            Self::Connect => "connect",
            Self::Forward => "forward",
            Self::Dispatch => "dispatch",
            Self::Answer => "answer",
            Self::Claim => "claim",
            Self::Store => "store",
            Self::Configure => "configure",
            Self::Drain => "drain",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The peer with which a step communicated.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Peer {
    /// No peer: the step involved only this instance.
    Local,
    /// The caller, who sent the request.
    Caller,
    /// The target to which the request was sent.
    Target(Target),
    /// Another instance of the gateway.
    Sibling(Instance),
    /// The platform's key-value store.
    Store,
    /// The platform's service registry.
    Registry,
    /// An operator's client.
    Operator,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local => f.write_str("local"),
            Self::Caller => f.write_str("caller"),
            Self::Target(name) => write!(f, "target {name}"),
            Self::Sibling(name) => write!(f, "sibling {name}"),
            Self::Store => f.write_str("store"),
            Self::Registry => f.write_str("registry"),
            Self::Operator => f.write_str("operator"),
        }
    }
}
