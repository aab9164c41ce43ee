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
use super::Lease;
use super::weight::DRIFT_PARTS;

/// Time for which a member vouches.
pub const VOUCH_TIME: Duration = Duration::from_secs(6);

/// Time for which a member remembers whom it let be reclaimed: any vouch from
/// before has ended by then.
const MEMORY: Duration = Duration::from_secs(60);

/// Returns the members that a holder needs of a roster of `n`.
pub fn majority(n: usize) -> usize {
    n / 2 + 1
}

/// Returns the members that a reclaimer needs of a roster of `n`.
pub fn blocking(n: usize) -> usize {
    n.saturating_sub(majority(n)) + 1
}

/// Returns the lease that vouches asked for at `sent` extend to.
pub fn vouched(sent: Duration, vouches: usize, roster: usize) -> Option<Lease> {
    (roster > 0 && vouches >= majority(roster)).then(|| Lease::granted(sent, VOUCH_TIME))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Word {
    Vouched(Duration),
    Released(Duration),
}

/// A member's memory of what it told holders and reclaimers.
///
/// # Invariants
///
/// Within [`VOUCH_TIME`] of a vouch, with margin, no release is given for the
/// same holder, nor in so long after the start; after a release no vouch.
#[derive(Debug)]
pub struct Witness {
    started: Duration,
    words: HashMap<Holder, Word>,
}

fn quiet_time() -> Duration {
    VOUCH_TIME + VOUCH_TIME * 2 / DRIFT_PARTS
}

impl Witness {
    /// Makes the memory of a process that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            started: now,
            words: HashMap::new(),
        }
    }

    fn forget(&mut self, now: Duration) {
        self.words.retain(|_, word| match word {
            Word::Vouched(at) => *at + quiet_time() > now,
            Word::Released(at) => *at + MEMORY > now,
        });
    }

    /// Vouches for a holder, unless the store can be reached from here.
    pub fn vouch(&mut self, holder: &Holder, reaches_store: bool, now: Duration) -> bool {
        self.forget(now);
        if reaches_store || matches!(self.words.get(holder), Some(Word::Released(_))) {
            return false;
        }
        self.words.insert(holder.clone(), Word::Vouched(now));
        true
    }

    /// Lets a holder be reclaimed whose record in the store is gone.
    pub fn release(&mut self, holder: &Holder, now: Duration) -> bool {
        self.forget(now);
        let vouched = matches!(self.words.get(holder), Some(Word::Vouched(_)));
        if vouched || now < self.started + quiet_time() {
            return false;
        }
        self.words.insert(holder.clone(), Word::Released(now));
        true
    }
}
