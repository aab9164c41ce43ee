//! An extra attempt at a request whose target is slow to answer, for metrics and
//! log.

use std::sync::Arc;

use crate::Metrics;

/// What became of an extra attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExtraAttemptOutcome {
    /// Its target has begun to answer first.
    Won,
    /// The first target has begun to answer, or nobody waits any more.
    Cancelled,
    /// It brought no usable answer.
    Failed,
}

impl ExtraAttemptOutcome {
    /// Returns the outcome's name in metrics and log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Cancelled => "cancelled",
            Self::Failed => "failed",
        }
    }
}

/// An extra attempt that was started. It is counted as cancelled if it is
/// dropped before its end.
#[derive(Debug)]
pub(crate) struct ExtraAttempt {
    metrics: Arc<Metrics>,
    outcome: ExtraAttemptOutcome,
}

impl ExtraAttempt {
    /// Counts the start of an extra attempt.
    pub(crate) fn start(metrics: &Arc<Metrics>) -> Self {
        metrics.count_extra_attempt("started");
        Self {
            metrics: Arc::clone(metrics),
            outcome: ExtraAttemptOutcome::Cancelled,
        }
    }

    /// Counts the end of the attempt.
    pub(crate) fn finish(mut self, outcome: ExtraAttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for ExtraAttempt {
    fn drop(&mut self) {
        self.metrics.count_extra_attempt(self.outcome.as_str());
    }
}
