//! The rate limit of cold targets, of which each instance enforces a share.
//!
//! Where there are so many instances that an equal share is less than one
//! request, as many instances as the limit allows requests per second may send
//! one each, so that a cold target is not left without any. Which instances
//! these are follows from the target's name. The tolerated overrun covers the
//! moments in which not all know the same instances.

use std::time::Duration;

use super::RegionShares;
use super::Traffic;
use crate::catalog::PoolSpec;
use crate::names::Target;

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
        target: &Target,
        pool: &PoolSpec,
        shares: RegionShares<'_>,
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
        let equal = shares.divisor.share(bound).floor();
        if equal >= 1.0 {
            return Some(equal);
        }
        let senders = per_s.floor() as usize;
        let is_sender = shares.rank.is_some_and(|rank| rank(target) < senders);
        Some(if is_sender { 1.0 } else { 0.0 })
    }

    /// Returns whether this instance's share of a cold target's rate limit
    /// allows another request now.
    pub(super) fn has_cold_capacity(
        &mut self,
        target: &Target,
        pool: &PoolSpec,
        shares: RegionShares<'_>,
        now: Duration,
    ) -> bool {
        let Some(bound) = self.cold_limit_share(target, pool, shares, now) else {
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
