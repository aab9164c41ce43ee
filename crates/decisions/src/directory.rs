//! Which of the nearest instances a caller is told of.
//!
//! Callers connect to the addresses that they are told of with equal
//! probability. Where instances differ in processor time, an answer that always
//! listed all of them would bring the small ones as many callers as the large
//! ones. An answer therefore lists each instance with a probability in
//! proportion to its capacity.

use std::time::Duration;

use crate::names::Instance;
use crate::rendezvous;

/// Fewest instances in an answer, if there are as many: callers leave out those
/// that have just failed them.
const MIN_ADVERTISED: usize = 4;

/// Longest usual time from the stop of a region's instances until one is ready
/// again.
pub const RESTART_TIME: Duration = Duration::from_secs(10);

/// How far an instance is from a caller. Nearer ones come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the caller's availability zone.
    SameZone,
    /// In the caller's region.
    SameRegion,
    /// In another region, with the number of the host's routes that may not run
    /// there.
    OtherRegion(usize),
}

impl Distance {
    /// Returns the name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SameZone => "zone",
            Self::SameRegion => "region",
            Self::OtherRegion(0) => "other region",
            Self::OtherRegion(_) => "barred region",
        }
    }

    /// Tells whether the instance is in another region than the caller.
    pub fn is_in_other_region(self) -> bool {
        matches!(self, Self::OtherRegion(_))
    }

    /// Tells whether an instance as far as this may run any of the host's
    /// `routes`. In the caller's own region it may pass them on.
    pub fn may_run_any(self, routes: usize) -> bool {
        match self {
            Self::SameZone | Self::SameRegion | Self::OtherRegion(0) => true,
            Self::OtherRegion(barred) => barred < routes,
        }
    }

    /// Tells whether the caller may be told of the instance, if none is nearer.
    /// `last_stop` is when an instance of the caller's region, or of one in which
    /// all routes may run, last said that it stops.
    ///
    /// Requests that may not run in a region are not sent there. Callers keep the
    /// instances that they know until their own are back. Only if these don't come
    /// back, as after an outage, they are better served for the other routes.
    pub fn may_be_named(self, last_stop: Option<Duration>, now: Duration) -> bool {
        match self {
            Self::SameZone | Self::SameRegion | Self::OtherRegion(0) => true,
            Self::OtherRegion(_) => last_stop.is_none_or(|at| now >= at + RESTART_TIME),
        }
    }
}

/// An instance that callers may be told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate<A> {
    /// Its name.
    pub instance: Instance,
    /// Processor time in thousandths of a core; 0 if it is not known.
    pub capacity: u32,
    /// Address at which callers connect.
    pub address: A,
}

/// Chooses the instances of one answer, the largest of which are in every one.
/// If all are equally large, all are chosen. `key` differs from answer to
/// answer.
pub fn choose_advertised<A>(candidates: Vec<Candidate<A>>, key: &str) -> Vec<A> {
    let largest = candidates.iter().map(|l| l.capacity).max().unwrap_or(0);
    let mut ranked: Vec<(f64, A)> = candidates
        .into_iter()
        .map(|candidate| (rank(&candidate, largest, key), candidate.address))
        .collect();
    ranked.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let listed = ranked.iter().take_while(|(rank, _)| *rank < 1.0).count();
    ranked.truncate(listed.max(MIN_ADVERTISED));
    ranked.into_iter().map(|(_, address)| address).collect()
}

/// Returns the rank of an instance, which is below 1 if the answer lists it:
/// always for the largest instances, and for others with a probability in
/// proportion to their capacity.
fn rank<A>(candidate: &Candidate<A>, largest: u32, key: &str) -> f64 {
    let random = rendezvous::weight(key, candidate.instance.as_str());
    // 53 bits are what a float holds, so the fraction stays below 1.
    let fraction = (random >> 11) as f64 / (1_u64 << 53) as f64;
    match candidate.capacity {
        0 => fraction,
        capacity => fraction * f64::from(largest) / f64::from(capacity),
    }
}

/// Returns how many times as many callers several instances have together as one
/// of them, given its capacity and those of the others.
pub fn callers_ratio<I>(own: u32, others: I) -> f64
where
    I: IntoIterator<Item = u32>,
{
    let of = |capacity: u32| match (own, capacity) {
        // Where one is not known, both count as equally large.
        (0, _) | (_, 0) => 1.0,
        _ => f64::from(capacity) / f64::from(own),
    };
    1.0 + others.into_iter().map(of).sum::<f64>()
}
