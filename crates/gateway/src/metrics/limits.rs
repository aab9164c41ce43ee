//! Names of what is counted at the limits of an instance's resources.

/// A resource of which an instance has a limited amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Connections of callers.
    CallerConnections,
    /// Connections to targets.
    TargetConnections,
    /// Open requests.
    Requests,
    /// Memory of bodies and buffered answers.
    RequestMemory,
    /// Descriptors of the process.
    Descriptors,
}

impl Resource {
    /// Returns the resource's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CallerConnections => "caller connections",
            Self::TargetConnections => "target connections",
            Self::Requests => "requests",
            Self::RequestMemory => "request memory",
            Self::Descriptors => "descriptors",
        }
    }
}

/// What is done at a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAction {
    /// An idle or slow connection is closed for another one.
    Closed,
    /// A request is refused, or an attempt given up.
    Refused,
    /// A new connection waits to be accepted.
    Delayed,
}

impl LimitAction {
    /// Returns the action's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Refused => "refused",
            Self::Delayed => "delayed",
        }
    }
}
