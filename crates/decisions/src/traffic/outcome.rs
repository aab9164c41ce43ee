//! The outcome of one attempt at a target.

/// How a request at a target went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The target answered.
    Answered,
    /// The target said that it did not run the request, as it is full.
    Full,
    /// Another target has the address.
    Misdirected,
    /// The target answered with an error of its own.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// There was no answer, or not all of it.
    Lost,
    /// The caller left, or the request was given up here.
    Cancelled,
}

impl TargetOutcome {
    /// Returns the name as it stands in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::Failed => "failed",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::Cancelled => "cancelled",
        }
    }
}
