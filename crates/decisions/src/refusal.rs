//! Refusals, which say honestly whether the request may have run.

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
    /// The request can't be read.
    Malformed,
    /// The body is larger than the settings allow.
    TooLarge,
    /// The request did not arrive in time.
    ReceiveTimeout,
    /// No key, or a key that is not in force.
    Unauthenticated,
    /// The client account may not use the route.
    Forbidden,
    /// No route matches.
    NoRoute,
    /// The client account has spent its rate and burst.
    RateLimited,
    /// Every queue that could take the request is full.
    Overloaded,
    /// No allowed target can be reached.
    Unavailable,
    /// The deadline can't be met.
    DeadlineExceeded,
    /// The operation ran before, or may have.
    AlreadyUsed,
    /// The state needed for the decision can't be reached.
    StateUnavailable,
    /// The target broke off or answered wrongly.
    TargetFailed,
    /// The sibling that had the request broke off.
    SiblingFailed,
    /// The instance is stopping.
    Draining,
}

impl Code {
    /// Returns the code as it stands in refusals, metrics and events.
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
        }
    }
}

/// What is known of the refused request's execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No target ran any part of the request or of an earlier attempt at it.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as it stands in refusals, metrics and events.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// A refusal as the caller is told of it.
///
/// # Invariants
///
/// Outside this package a refusal with [`Outcome::NotRun`] comes only from
/// [`Refusal::not_run`] or from a request whose type shows that it
/// was never dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub code: Code,
    /// What is known of its execution.
    pub outcome: Outcome,
    /// When another try may succeed, if that is known.
    pub retry_after: Option<Duration>,
    /// The step at which the request was refused.
    pub step: Step,
    /// The peer that the step talked to.
    pub peer: Peer,
    /// What was wrong with the request, where the code leaves that open.
    pub detail: Option<Detail>,
}

impl Refusal {
    /// Refuses something that never became a dispatched request.
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

    /// Refuses a request that a target may have run.
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

    /// Says that an earlier attempt at the same operation may have run.
    pub fn with_unknown_outcome(mut self) -> Self {
        self.outcome = Outcome::Unknown;
        self
    }

    /// Says what was wrong with the request.
    pub fn detail(mut self, detail: Detail) -> Self {
        self.detail = Some(detail);
        self
    }

    /// Says when another try may succeed.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
