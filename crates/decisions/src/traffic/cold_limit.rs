//! The rate limit of cold targets, of which each instance enforces a share.

use std::time::Duration;

use super::Traffic;
use crate::catalog::PoolSpec;
use crate::names::Target;
use crate::window::Divisor;

/// Length of the window over which the rate limit of a cold target, which is
/// per second, is counted. It is slightly longer than a second.
pub(super) const COLD_LIMIT_WINDOW: Duration = Duration::from_millis(1030);

/// How far all instances together may exceed the rate limit of a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimitTolerance {
    /// Factor applied to the limit.
    pub factor: f64,
    /// Requests allowed in addition to the multiplied limit.
    pub slack: f64,
}

impl Traffic {
    /// Returns this instance's share of the rate limit of a cold target, or
    /// `None` if the pool has no such limit. The share is 0 in the first window
    /// of the process, as an earlier process of the instance may have used it.
    pub(super) fn cold_limit_share(
        &self,
        pool: &PoolSpec,
        divisor: Divisor,
        now: Duration,
    ) -> Option<f64> {
        let per_s = pool.cold.requests_per_s;
        if per_s <= 0.0 {
            return None;
        }
        if now < COLD_LIMIT_WINDOW {
            return Some(0.0);
        }
        let bound = per_s * self.cold_tolerance.factor + self.cold_tolerance.slack;
        Some(divisor.share(bound).floor())
    }

    /// Returns whether this instance's share of a cold target's rate limit
    /// allows another request now.
    pub(super) fn has_cold_capacity(
        &mut self,
        target: &Target,
        pool: &PoolSpec,
        divisor: Divisor,
        now: Duration,
    ) -> bool {
        let Some(bound) = self.cold_limit_share(pool, divisor, now) else {
            return true;
        };
        let local = self
            .local
            .get_mut(target)
            .and_then(|local| local.cold_requests.as_mut());
        let sent = local.map_or(0.0, |window| window.sum(now));
        sent + 1.0 <= bound
    }
}
