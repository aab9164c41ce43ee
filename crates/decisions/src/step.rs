//! The step and the peer at which an error arose.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Instance;
use crate::names::Target;

/// A step on the way of a request or of a control message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading a request from its sender.
    Receive,
    /// Checking the caller's key.
    Authenticate,
    /// Finding the route.
    Route,
    /// Charging the client account.
    Admit,
    /// Choosing where the request runs.
    Place,
    /// Opening a connection.
    Connect,
    /// Passing the request to a sibling.
    Forward,
    /// Sending the request to its target.
    Dispatch,
    /// Reading the answer.
    Answer,
    /// Claiming an operation that may run once only.
    Claim,
    /// Reading or writing shared state.
    Store,
    /// Reading settings or configuration.
    Configure,
    /// Stopping.
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

/// The peer that a step talked to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Peer {
    /// This instance itself.
    Local,
    /// The caller.
    Caller,
    /// A target.
    Target(Target),
    /// A sibling instance.
    Sibling(Instance),
    /// The platform's key-value store.
    Store,
    /// The platform's instance list and directory.
    Registry,
    /// An operator.
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
