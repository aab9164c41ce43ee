//! Which instances exchange messages directly.
//!
//! The instances of a region choose hubs by their names and capacities, so all
//! that know the same instances choose the same ones. Hubs of all regions
//! exchange what they know with each other; every other instance reports to one
//! hub of its region and hears of all others through it. In a small region all
//! instances are hubs. Besides, each instance keeps links to a few instances of
//! each other region, to which it forwards requests.
//!
//! The number of links of an instance therefore grows with the number of hubs,
//! and not with the number of instances.

use std::collections::HashSet;

use crate::names::Instance;
use crate::rendezvous;

/// Largest number of instances of a region that are all hubs.
const MAX_ALL_HUBS: usize = 8;

/// Number of instances for each hub in a larger region.
const INSTANCES_PER_HUB: usize = 8;

/// Fewest hubs of a larger region, as several may fail at once.
const MIN_HUBS: usize = 4;

/// Number of instances of another region to which an instance keeps links.
const FORWARD_PEERS: usize = 3;

/// Key by which the order of equally large instances is derived.
const HUB_KEY: &str = "hub";

/// An instance that may be a hub.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub instance: Instance,
    /// Processor time that it has, in thousandths of a core. Hubs have more work
    /// than others, so the largest instances come first.
    pub capacity: u32,
}

/// Returns the number of hubs of a region with so many instances.
pub fn hub_count(instances: usize) -> usize {
    match instances <= MAX_ALL_HUBS {
        true => instances,
        false => instances.div_ceil(INSTANCES_PER_HUB).max(MIN_HUBS),
    }
}

/// Chooses the hubs of a region, of which so many instances have been known.
pub fn choose_hubs(mut candidates: Vec<Candidate>, known: usize) -> Vec<Instance> {
    candidates.sort_by_cached_key(|candidate| {
        let weight = rendezvous::weight(HUB_KEY, candidate.instance.as_str());
        std::cmp::Reverse((candidate.capacity, weight))
    });
    candidates.truncate(hub_count(known));
    let names = candidates.into_iter().map(|candidate| candidate.instance);
    names.collect()
}

/// Returns the hubs of a region in the order in which an instance reports to
/// them, should one after the other fail.
pub fn rank_hubs(instance: &Instance, hubs: &[Instance]) -> Vec<Instance> {
    let ranked = rendezvous::top_names(instance.as_str(), hubs, hubs.len());
    ranked.into_iter().cloned().collect()
}

/// Chooses the instances of another region to which an instance keeps links.
pub fn choose_forward_peers(instance: &Instance, candidates: &[Instance]) -> Vec<Instance> {
    let chosen = rendezvous::top_names(instance.as_str(), candidates, FORWARD_PEERS);
    chosen.into_iter().cloned().collect()
}

/// The other hubs at the time when this instance stopped being one, if it has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FormerFellowHubs(Option<HashSet<Instance>>);

impl FormerFellowHubs {
    /// The hubs beside an instance that was one until now.
    pub fn new(peers: HashSet<Instance>) -> Self {
        Self(Some(peers))
    }

    /// Tells whether this instance, which has given up its share of the limits,
    /// passes charges of `reporter` on to a hub.
    ///
    /// It passes on none for another former hub: two instances that regard each
    /// other as hubs would forward a charge in a loop.
    pub fn passes_charges_of(&self, reporter: &Instance) -> bool {
        let peers = self.0.as_ref();
        peers.is_some_and(|peers| !peers.contains(reporter))
    }
}
