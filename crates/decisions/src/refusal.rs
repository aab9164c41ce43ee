//! Refusals of requests, which state whether the request may have run.

mod detail;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::step::Peer;
use crate::step::Step;

pub use detail::Detail;
pub use detail::RequestPart;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request can't be parsed.
    Malformed,
    /// The body is larger than the configured limit.
    TooLarge,
    /// The request did not arrive in time.
    ReceiveTimeout,
    /// The key is missing, unknown or withdrawn.
    Unauthenticated,
    /// The client account may not use the route.
    Forbidden,
    /// No route matches.
    NoRoute,
    /// The client account has exceeded its token limit.
    RateLimited,
    /// Every target or queue that could take the request is full.
    Overloaded,
    /// No target at which the request may run is available.
    Unavailable,
    /// The deadline can't be met.
    DeadlineExceeded,
    /// A request with the same ticket or idempotency key ran before, or may
    /// have.
    AlreadyUsed,
    /// The shared state needed for the decision can't be reached.
    StateUnavailable,
    /// The target's answer was lost, incomplete or invalid.
    TargetFailed,
    /// The connection to the sibling to which the request was forwarded was
    /// lost.
    SiblingFailed,
    /// The instance is shutting down.
    Draining,
    /// A part of the prompt crashed several targets.
    Quarantined,
    /// Several targets crashed under the request.
    Suspended,
    /// The request resumes a stream, and the software that began it is not known
    /// or has no target left.
    NotResumable,
}

impl Code {
    /// Returns the code's name in refusals, metrics and events.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::ReceiveTimeout => "receive_timeout",
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::NoRoute => "no_route",
            Self::RateLimited => "rate_limited",
            Self::Overloaded => "overloaded",
            Self::Unavailable => "unavailable",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::AlreadyUsed => "already_used",
            Self::StateUnavailable => "state_unavailable",
            Self::TargetFailed => "target_failed",
            Self::SiblingFailed => "sibling_failed",
            Self::Draining => "draining",
            Self::Quarantined => "quarantined",
            Self::Suspended => "suspended",
            Self::NotResumable => "not_resumable",
        }
    }
}

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No target ran any part of the request, in this attempt or an earlier
    /// one.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the outcome's name in refusals, metrics and events.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// A refusal as reported to the caller.
///
/// # Invariants
///
/// Outside this crate a refusal with [`Outcome::NotRun`] comes only from
/// [`Refusal::not_run`], or from a request whose type proves that its current
/// attempt was not dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub code: Code,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Time after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
    /// The step at which the request was refused.
    pub step: Step,
    /// The peer with which the step communicated.
    pub peer: Peer,
    /// What is wrong with the request, if `code` does not say it exactly.
    pub detail: Option<Detail>,
}

impl Refusal {
    /// Creates a refusal of a request that no target ran.
    pub fn not_run(code: Code, step: Step, peer: Peer) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            retry_after: None,
            step,
            peer,
            detail: None,
        }
    }

    /// Creates a refusal of a request that a target may have run.
    pub fn unknown(code: Code, step: Step, peer: Peer) -> Self {
        Self {
            code,
            outcome: Outcome::Unknown,
            retry_after: None,
            step,
            peer,
            detail: None,
        }
    }

    /// Sets the outcome to unknown, as it can't be ruled out that the request
    /// or an earlier attempt at it ran.
    pub fn with_unknown_outcome(mut self) -> Self {
        self.outcome = Outcome::Unknown;
        self
    }

    /// Adds what exactly is wrong with the request.
    pub fn with_detail(mut self, detail: Detail) -> Self {
        self.detail = Some(detail);
        self
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
