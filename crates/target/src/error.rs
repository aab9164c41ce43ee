//! Errors of requests to targets.

use chiverelay_decisions::names::Target;
use chiverelay_decisions::step::Step;
use thiserror::Error as ThisError;

/// An error of a request to a target.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The connection failed. The target has received nothing of the request.
    #[error("{step}: target {target}: can't connect: {source}", step = Step::Connect)]
    Connect {
        /// The target of the request.
        target: Target,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The HTTP handshake failed, or an open connection closed before the
    /// request was sent. The target has received nothing of the request.
    #[error("{step}: target {target}: handshake failed: {source}", step = Step::Connect)]
    Handshake {
        /// The target of the request.
        target: Target,
        /// The underlying HTTP error.
        source: hyper::Error,
    },
    /// The target may have received the request, but sent no response.
    #[error("{step}: target {target}: no answer: {source}", step = Step::Dispatch)]
    NoResponse {
        /// The target of the request.
        target: Target,
        /// The underlying HTTP error.
        source: hyper::Error,
    },
    /// The response is incomplete or invalid, or the request is not valid HTTP.
    /// The message says "broke off" in all of these cases.
    #[error("{step}: target {target}: the answer broke off: {reason}", step = Step::Answer)]
    InvalidResponse {
        /// The target of the request.
        target: Target,
        /// Description of the failure.
        reason: String,
    },
    /// As many connections to targets are open as may be. The target has
    /// received nothing of the request.
    #[error("{step}: target {target}: no more connections may be open", step = Step::Connect)]
    NoConnectionLeft {
        /// The target of the request.
        target: Target,
    },
    /// A step exceeded its time limit.
    #[error("{step}: target {target}: timeout")]
    Timeout {
        /// The step that timed out.
        step: Step,
        /// The target of the request.
        target: Target,
    },
}

impl Error {
    /// Tells whether this process has no connection or descriptor left, which
    /// says nothing of the target.
    pub fn is_local_limit(&self) -> bool {
        match self {
            Self::NoConnectionLeft { .. } => true,
            Self::Connect { source, .. } => chiverelay_http::is_out_of_descriptors(source),
            _ => false,
        }
    }
}
