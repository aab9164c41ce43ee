//! Leases kept past their end while the store is out.
//!
//! A holder that can't reach the store asks the roster it recorded in the
//! ledger to vouch for it. A member that vouched refuses for a while to let
//! the holder be reclaimed; a member that let it be reclaimed never vouches
//! for it again. A holder needs a majority, and a reclaimer so many that no
//! majority is left, so that both can't have what they need.

use std::collections::HashMap;
use std::time::Duration;

use super::Holder;
use super::fraction::CLOCK_DRIFT_DIVISOR;

/// Time for which a member vouches.
pub const VOUCH_DURATION: Duration = Duration::from_secs(6);

/// Time for which a member remembers whom it let be reclaimed: any vouch from
/// before has ended by then.
const RELEASE_MEMORY: Duration = Duration::from_secs(60);

/// Returns the members that a holder needs of a roster of `n`.
pub fn majority(n: usize) -> usize {
    n / 2 + 1
}

/// Returns the members that a reclaimer needs of a roster of `n`.
pub fn blocking_minority(n: usize) -> usize {
    n.saturating_sub(majority(n)) + 1
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vote {
    Vouched(Duration),
    Released(Duration),
}

/// A member's memory of what it told holders and reclaimers.
///
/// # Invariants
///
/// Within [`VOUCH_DURATION`] of a vouch, with margin, no release is given for the
/// same holder, nor in so long after the start; after a release no vouch.
#[derive(Debug)]
pub struct LeaseVoter {
    started_at: Duration,
    votes: HashMap<Holder, Vote>,
}

fn vouch_duration_with_drift() -> Duration {
    VOUCH_DURATION + VOUCH_DURATION * 2 / CLOCK_DRIFT_DIVISOR
}

impl LeaseVoter {
    /// Makes the memory of a process that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            votes: HashMap::new(),
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        self.votes.retain(|_, word| match word {
            Vote::Vouched(at) => *at + vouch_duration_with_drift() > now,
            Vote::Released(at) => *at + RELEASE_MEMORY > now,
        });
    }

    /// Vouches for a holder, unless the store can be reached from here.
    pub fn vouch(&mut self, holder: &Holder, can_reach_store: bool, now: Duration) -> bool {
        self.remove_expired(now);
        if can_reach_store || matches!(self.votes.get(holder), Some(Vote::Released(_))) {
            return false;
        }
        self.votes.insert(holder.clone(), Vote::Vouched(now));
        true
    }

    /// Lets a holder be reclaimed whose record in the store is gone.
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
