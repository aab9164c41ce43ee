//! Errors on the way from and to callers.

use chiverelay_decisions::step::Step;
use thiserror::Error as ThisError;

/// An error at a caller's connection.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The listener can't be opened.
    #[error("{step}: caller: can't listen on {address}: {source}")]
    Listen {
        /// The step.
        step: Step,
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The answer broke off before its end.
    #[error("{step}: caller: the answer is not whole: {reason}")]
    Broken {
        /// The step.
        step: Step,
        /// The cause.
        reason: String,
    },
}
