//! Errors between instances.

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::step::Step;
use thiserror::Error as ThisError;

/// An error between this instance and a sibling.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// Certificates or keys can't be used.
    #[error("{step}: sibling: certificates: {reason}", step = Step::Configure)]
    Certificates {
        /// What is wrong.
        reason: String,
    },
    /// The endpoint can't be opened.
    #[error("{step}: sibling: can't listen on {address}: {source}", step = Step::Connect)]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// No connection; the sibling has seen nothing.
    #[error("{step}: sibling {instance}: can't connect: {reason}", step = Step::Connect)]
    Connect {
        /// The sibling.
        instance: Instance,
        /// The cause.
        reason: String,
    },
    /// All streams of the connection are in use; the sibling has seen nothing.
    #[error("{step}: sibling {instance}: no stream is free")]
    NoFreeStream {
        /// The step.
        step: Step,
        /// The sibling.
        instance: Instance,
    },
    /// The exchange broke off; the sibling may have seen the message.
    #[error("{step}: sibling {instance}: the exchange broke off: {reason}")]
    Broken {
        /// The step.
        step: Step,
        /// The sibling.
        instance: Instance,
        /// The cause.
        reason: String,
    },
    /// A message can't be read.
    #[error("{step}: sibling: {reason}", step = Step::Receive)]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// A message is larger than allowed.
    #[error("{step}: sibling: message of {len} bytes", step = Step::Receive)]
    Oversized {
        /// Its length in bytes.
        len: usize,
    },
    /// The stream ended within a message.
    #[error("{step}: sibling: the message broke off: {reason}", step = Step::Receive)]
    Truncated {
        /// The cause.
        reason: String,
    },
    /// The sibling stopped reading a message.
    #[error("{step}: sibling: it stopped reading", step = Step::Forward)]
    Stopped,
    /// A message of a version that this instance does not speak.
    #[error("{step}: sibling: message of version {version}", step = Step::Receive)]
    Version {
        /// The version.
        version: u16,
    },
}
