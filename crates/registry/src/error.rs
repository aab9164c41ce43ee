//! Errors at the registry.

use chiverelay_decisions::step::Step;
use thiserror::Error as ThisError;

/// An error at the registry.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// There was no answer.
    #[error("{step}: registry: {source}", step = Step::Configure)]
    Exchange {
        /// The cause.
        #[from]
        source: chiverelay_http::Error,
    },
    /// The registry refused the call.
    #[error("{step}: registry: refused with status {status}", step = Step::Configure)]
    Refused {
        /// The HTTP status code.
        status: u16,
    },
}
