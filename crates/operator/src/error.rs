//! Errors between operators and instances.

use chiverelay_decisions::step::Step;
use thiserror::Error as ThisError;

use crate::api::Failure;

/// An error of a call.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The listener can't be opened.
    #[error("{step}: operator: can't listen on {address}: {source}", step = Step::Connect)]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// No whole answer came.
    #[error("{step}: instance {address}: {source}", step = Step::Connect)]
    Exchange {
        /// The instance's address.
        address: std::net::SocketAddr,
        /// The cause.
        source: chiverelay_http::Error,
    },
    /// The instance refused the call.
    #[error("{step}: instance {address}: {failure}", step = Step::Configure)]
    Failed {
        /// The instance's address.
        address: std::net::SocketAddr,
        /// Its reason.
        failure: Failure,
    },
}
