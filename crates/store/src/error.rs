//! Errors at the store.

use chiverelay_decisions::step::Step;
use thiserror::Error as ThisError;

/// An error at the store.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The store is out; the call was not sent.
    #[error("{step}: store: out", step = Step::Store)]
    Out,
    /// Too many calls wait for their turn; the call was not sent.
    #[error("{step}: store: call budget used up", step = Step::Store)]
    Paced,
    /// The lease shown with the write is over; the call was not sent.
    #[error("{step}: store: lease lapsed", step = Step::Store)]
    Lapsed,
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
    /// The store refused the call; after a status of 500 and above it may
    /// have acted on it.
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
    /// The watch's first revision is no longer held.
    #[error("{step}: store: watch compacted", step = Step::Store)]
    Compacted,
    /// The store came back from an older copy of its data.
    #[error("{step}: store: back from an older copy", step = Step::Store)]
    Restored,
}

impl Error {
    /// Tells whether the store can't have acted on the call.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Out | Self::Paced | Self::Lapsed | Self::Unreachable { .. } => true,
            Self::Refused { status } => *status < 500,
            Self::Lost { .. } | Self::Malformed { .. } | Self::Compacted | Self::Restored => false,
        }
    }
}

impl From<chiverelay_http::Error> for Error {
    fn from(e: chiverelay_http::Error) -> Self {
        use chiverelay_http::Error as Http;
        match e {
            Http::Connect { .. } => Self::Unreachable { source: e },
            Http::NoResponse { .. } => Self::Lost { source: e },
            Http::Malformed(e) => Self::Malformed {
                reason: e.to_string(),
            },
        }
    }
}
