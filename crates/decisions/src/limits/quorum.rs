//! Votes that extend a lease while the store is unavailable.
//!
//! A holder that can't reach the store asks the instances of its roster, as
//! recorded in the ledger, to vouch for it. A member releases a holder by
//! agreeing that its fractions are reclaimed. A member that vouched refuses to
//! release the holder for some time, and a member that released it does not
//! vouch for it while it remembers the release. To extend its lease a holder
//! needs the vouches of a majority; to reclaim its fractions another instance
//! needs so many releases that no majority is left. So only one of them can
//! succeed.

use std::collections::HashMap;
use std::time::Duration;

use super::Holder;
use super::fraction::CLOCK_DRIFT_DIVISOR;

/// How long a vouch is valid.
pub const VOUCH_DURATION: Duration = Duration::from_secs(6);

/// How long a member remembers a release. By then, every vouch given before the
/// release has expired.
const RELEASE_MEMORY: Duration = Duration::from_secs(60);

/// Returns how many members of a roster of `n` must vouch for a holder.
pub fn majority(n: usize) -> usize {
    n / 2 + 1
}

/// Returns how many members of a roster of `n` must release a holder before its
/// fractions are reclaimed: so many that the others are no majority.
pub fn blocking_minority(n: usize) -> usize {
    n.saturating_sub(majority(n)) + 1
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vote {
    Vouched(Duration),
    Released(Duration),
}

/// The votes of a roster member: the vouches and releases it has given.
///
/// # Invariants
///
/// No release is given for a holder within [`VOUCH_DURATION`] of a vouch for
/// it, with a margin for clock drift, nor within that time of the process's
/// start, as an earlier process may have vouched. No vouch is given while a
/// release is remembered.
#[derive(Debug)]
pub struct LeaseVoter {
    started_at: Duration,
    votes: HashMap<Holder, Vote>,
}

fn vouch_duration_with_drift() -> Duration {
    // Twice, as the two clocks may drift in opposite directions.
    VOUCH_DURATION + VOUCH_DURATION * 2 / CLOCK_DRIFT_DIVISOR
}

impl LeaseVoter {
    /// Creates the voter of a process that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            votes: HashMap::new(),
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        self.votes.retain(|_, vote| match vote {
            Vote::Vouched(at) => *at + vouch_duration_with_drift() > now,
            Vote::Released(at) => *at + RELEASE_MEMORY > now,
        });
    }

    /// Vouches for a holder, unless this instance can reach the store or has
    /// released the holder; returns whether it vouched.
    pub fn vouch(&mut self, holder: &Holder, can_reach_store: bool, now: Duration) -> bool {
        self.remove_expired(now);
        if can_reach_store || matches!(self.votes.get(holder), Some(Vote::Released(_))) {
            return false;
        }
        self.votes.insert(holder.clone(), Vote::Vouched(now));
        true
    }

    /// Releases a holder whose record in the store is gone, unless a vouch may
    /// still be valid; returns whether this instance released it.
    pub fn release(&mut self, holder: &Holder, now: Duration) -> bool {
        self.remove_expired(now);
        let vouched = matches!(self.votes.get(holder), Some(Vote::Vouched(_)));
        if vouched || now < self.started_at + vouch_duration_with_drift() {
            return false;
        }
        self.votes.insert(holder.clone(), Vote::Released(now));
        true
    }
}
