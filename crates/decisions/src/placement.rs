//! Where a request runs.

use std::time::Duration;

/// What an instance knows of a target.
///
/// # Invariants
///
/// `running` counts the requests that this instance has at the target now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests of this instance at the target.
    pub running: u64,
    /// No new work goes to the target before this time.
    pub ejected_until: Duration,
}
