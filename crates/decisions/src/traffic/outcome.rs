//! The outcome of one attempt at a target.

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The target answered completely.
    Answered,
    /// The target rejected the request without running it, as it is full.
    Full,
    /// Another target answered at the address, and this one did not run the
    /// request.
    Misdirected,
    /// The target answered with a server error status (5xx).
    Failed,
    /// No connection could be established.
    Unreachable,
    /// The connection ended before the answer was complete, or the answer is
    /// malformed.
    Lost,
    /// The answer did not begin, or did not go on, in time.
    TimedOut,
    /// The caller disconnected, or this instance abandoned the request.
    Cancelled,
}

impl TargetOutcome {
    /// Tells whether the target has sent something at the end of the attempt.
    pub(super) fn is_sign_of_life(self) -> bool {
        matches!(
            self,
            Self::Answered | Self::Full | Self::Misdirected | Self::Failed
        )
    }

    /// Returns the outcome's name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::Failed => "failed",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::TimedOut => "timed out",
            Self::Cancelled => "cancelled",
        }
    }
}
