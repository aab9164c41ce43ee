//! Errors at the store.

use chiverelay_decisions::step::Step;
use thiserror::Error as ThisError;

/// An error at the store.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The store has not seen the call.
    #[error("{step}: store: {source}", step = Step::Store)]
    Unreachable {
        /// The cause.
        source: chiverelay_http::Error,
    },
    /// The store may have acted on the call.
    #[error("{step}: store: the answer was lost: {source}", step = Step::Store)]
    Lost {
        /// The cause.
        source: chiverelay_http::Error,
    },
    /// The store refused the call.
    #[error("{step}: store: refused with status {status}", step = Step::Store)]
    Refused {
        /// The HTTP status code.
        status: u16,
    },
    /// The store's answer can't be read.
    #[error("{step}: store: malformed answer: {reason}", step = Step::Store)]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

impl From<chiverelay_http::Error> for Error {
    fn from(e: chiverelay_http::Error) -> Self {
        use chiverelay_http::Error as Http;
        match e {
            Http::Connect { .. } => Self::Unreachable { source: e },
            Http::Lost { .. } => Self::Lost { source: e },
            Http::Malformed(e) => Self::Malformed {
                reason: e.to_string(),
            },
        }
    }
}
