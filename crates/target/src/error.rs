//! Errors at targets.

use chiverelay_decisions::names::Target;
use chiverelay_decisions::step::Step;
use thiserror::Error as ThisError;

/// An error at a target.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// No connection; the target has seen nothing of the request.
    #[error("{step}: target {target}: can't connect: {source}", step = Step::Connect)]
    Connect {
        /// The target.
        target: Target,
        /// The cause.
        source: std::io::Error,
    },
    /// The HTTP handshake failed; the target has seen nothing of the request.
    #[error("{step}: target {target}: handshake failed: {source}", step = Step::Connect)]
    Handshake {
        /// The target.
        target: Target,
        /// The cause.
        source: hyper::Error,
    },
    /// The target may have seen the request, and gave no answer.
    #[error("{step}: target {target}: no answer: {source}", step = Step::Dispatch)]
    NoResponse {
        /// The target.
        target: Target,
        /// The cause.
        source: hyper::Error,
    },
    /// The answer broke off.
    #[error("{step}: target {target}: the answer broke off: {reason}", step = Step::Answer)]
    Response {
        /// The target.
        target: Target,
        /// The cause.
        reason: String,
    },
    /// A step took too long.
    #[error("{step}: target {target}: timeout")]
    Timeout {
        /// The step.
        step: Step,
        /// The target.
        target: Target,
    },
}
