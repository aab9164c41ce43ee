//! This instance's place among the others: whether it is a hub, and to which
//! instances it keeps links. See [`chiverelay_decisions::topology`].

use std::collections::HashMap;
use std::collections::HashSet;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::topology;
use chiverelay_decisions::topology::Candidate;
use chiverelay_decisions::topology::FormerFellowHubs;

/// Number of hubs to which an instance that is none keeps links: the one that
/// it reports to, and the one that takes over if that fails.
const LINKED_HUBS: usize = 2;

/// The instances of one region, as far as the topology depends on them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionMembers {
    /// Instances that may be hubs.
    pub(crate) candidates: Vec<Candidate>,
    /// Largest number of instances that were known at once.
    pub(crate) max_known: usize,
    /// Instances other than this one that are ready, as far as is known.
    pub(crate) ready: Vec<Instance>,
}

/// Which instances this one exchanges messages with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Topology {
    /// Whether this instance is a hub.
    pub(crate) is_hub: bool,
    /// Number of hubs in all regions.
    pub(crate) hub_count: usize,
    /// The other hubs if this instance is one.
    pub(crate) other_hubs: HashSet<Instance>,
    /// The hubs of this region in the order in which this instance reports to
    /// them. A hub reports to none.
    pub(crate) upstream: Vec<Instance>,
    /// Instances to which links are kept.
    pub(crate) linked: HashSet<Instance>,
    /// The other hubs when this instance last was one, if it is none now.
    pub(crate) former_peers: FormerFellowHubs,
}

impl Topology {
    /// Makes this instance remain the hub that it was, with the links that it
    /// needs as one and those that it is to have.
    pub(crate) fn remain_hub(&mut self, old: &Self) {
        self.is_hub = true;
        self.upstream.clear();
        self.other_hubs.clone_from(&old.other_hubs);
        self.linked.extend(old.linked.iter().cloned());
    }

    /// Keeps in mind which hubs there were when this instance last was one.
    pub(crate) fn remember_hubs(&mut self, old: &Self) {
        self.former_peers = match (self.is_hub, old.is_hub) {
            (true, _) => FormerFellowHubs::default(),
            (false, true) => FormerFellowHubs::new(old.other_hubs.clone()),
            (false, false) => old.former_peers.clone(),
        };
    }

    /// Adds links to a few of the instances that can run the requests of `own`,
    /// which reaches no target.
    pub(crate) fn link_substitutes(&mut self, own: &Instance, reaching: &[Instance]) {
        self.linked
            .extend(topology::choose_forward_peers(own, reaching));
    }

    /// Determines the place of `own`, an instance of the region `own_region`. The
    /// hubs in `failed` gave it no answer and were not heard since.
    pub(crate) fn new(
        own: &Instance,
        own_region: &Region,
        regions: HashMap<Region, RegionMembers>,
        failed: &HashSet<Instance>,
    ) -> Self {
        let hub_counts = regions
            .values()
            .map(|region| topology::hub_count(region.max_known));
        let mut this = Self {
            hub_count: hub_counts.sum(),
            ..Self::default()
        };
        let mut hubs: HashMap<&Region, Vec<Instance>> = HashMap::new();
        for (name, region) in &regions {
            let chosen = topology::choose_hubs(region.candidates.clone(), region.max_known);
            hubs.insert(name, chosen);
            if name != own_region {
                let peers = topology::choose_forward_peers(own, &region.ready);
                this.linked.extend(peers);
            }
        }
        let in_region = hubs.get(own_region).cloned().unwrap_or_default();
        this.is_hub = in_region.contains(own);
        if this.is_hub {
            let all = hubs.into_values().flatten();
            this.other_hubs = all.filter(|name| name != own).collect();
            this.linked.extend(this.other_hubs.iter().cloned());
        } else {
            let is_ready = |name: &Instance| regions[own_region].ready.contains(name);
            let ranked = topology::rank_hubs(own, &in_region);
            let (ready, silent): (Vec<_>, Vec<_>) = ranked.into_iter().partition(is_ready);
            this.set_upstream([ready, silent].concat(), failed);
        }
        this
    }

    /// Sets the hubs of this region, `ranked` by how well they are placed to take
    /// reports. While some of the first ones fail, others are linked besides.
    fn set_upstream(&mut self, ranked: Vec<Instance>, failed: &HashSet<Instance>) {
        let linked = ranked.iter().take(LINKED_HUBS);
        self.linked.extend(linked.cloned());
        let is_failed = |hub: &Instance| failed.contains(hub);
        let (failing, answering): (Vec<_>, Vec<_>) = ranked.into_iter().partition(is_failed);
        let in_reserve = answering.iter().take(LINKED_HUBS);
        self.linked.extend(in_reserve.cloned());
        self.upstream = [answering, failing].concat();
    }
}
