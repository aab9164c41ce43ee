//! The ledger in the store that records the owners of each partition.
//!
//! A page is one value in the store and is changed by compare-and-swap only.
//! The allocations of a partition never add up to more than the whole. Neither
//! do the fractions that instances use, as each uses at most what is recorded
//! for it: it stops using a fraction before it records less, and starts using
//! one after it has recorded more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::Fraction;
use super::Partition;
use super::partitions::owners;
use crate::names::Instance;
use crate::names::Region;

/// An instance in one of its terms, as the owner of allocations.
///
/// A term ends when the instance's lease expires, and its number is not used
/// again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Holder {
    /// The instance.
    pub instance: Instance,
    /// Number of the term.
    pub term: u64,
}

/// The fraction of a partition that an instance owns.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Allocation {
    /// The instance that owns the fraction, in one of its terms.
    pub holder: Holder,
    /// The holder's region. Only instances of this region may reclaim the
    /// fraction.
    pub region: Region,
    /// The owned fraction.
    #[serde(rename = "weight")]
    pub fraction: Fraction,
}

/// One value of the ledger: some of the partitions, and the holders' rosters.
///
/// # Invariants
///
/// The allocations of a partition add up to at most the whole. A partition that
/// is absent was never allocated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LedgerPage {
    /// Increased by every change, so that no two values of a page are equal.
    pub epoch: u64,
    /// The allocations by number of the partition.
    #[serde(rename = "slots")]
    pub partitions: BTreeMap<u16, Vec<Allocation>>,
    /// For each instance its roster: the instances of its region that it asks
    /// for vouches when it can't renew its lease.
    pub rosters: BTreeMap<Instance, Vec<Instance>>,
}

/// What an instance knows when it plans a change of a page.
#[derive(Clone, Debug)]
pub struct PlanContext<'a> {
    /// The planning instance and its term.
    pub holder: &'a Holder,
    /// The region of the planning instance.
    pub region: &'a Region,
    /// The live instances of the region, this one included. The page records
    /// them as this instance's roster.
    pub roster: &'a [Instance],
    /// The regions that have live instances.
    pub live_regions: &'a BTreeSet<Region>,
    /// Holders whose fractions may be reclaimed: their lease record in the
    /// store was gone after the page was read, and a blocking minority of their
    /// roster released them (see [`quorum`](super::quorum)).
    pub reclaimable: &'a BTreeSet<Holder>,
}

/// The fraction of a partition that the instance may use once the planned page
/// is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedAllocation {
    /// The partition.
    pub partition: Partition,
    /// The fraction of it that is then owned.
    pub fraction: Fraction,
    /// Whether the partition was never allocated before.
    pub is_first: bool,
}

/// A planned change of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PagePlan {
    /// The page to write.
    pub page: LedgerPage,
    /// The fractions to use after the page was written.
    pub allocations: Vec<PlannedAllocation>,
    /// Whether the page has to be written.
    pub must_write: bool,
    /// Whether this instance then owns exactly the fraction of each partition
    /// that it should.
    pub is_complete: bool,
}

impl LedgerPage {
    /// Returns the fraction of a partition that a holder owns.
    pub fn fraction(&self, partition: Partition, holder: &Holder) -> Fraction {
        let allocations = self.partitions.get(&partition.0).into_iter().flatten();
        let own = allocations.filter(|a| a.holder == *holder);
        own.map(|a| a.fraction).sum()
    }

    /// Returns whether a holder owns a fraction of any partition.
    pub fn has_allocation(&self, holder: &Holder) -> bool {
        self.partitions
            .values()
            .flatten()
            .any(|a| a.holder == *holder)
    }

    /// Returns the holders of a region other than `holder`.
    pub fn other_holders(&self, region: &Region, holder: &Holder) -> BTreeSet<Holder> {
        let allocations = self.partitions.values().flatten();
        allocations
            .filter(|a| a.region == *region && a.holder != *holder)
            .map(|a| a.holder.clone())
            .collect()
    }

    /// Plans the next change of this page, which has number `page_number`, by
    /// the instance in `cx`.
    ///
    /// `shrink` reduces the fraction in use of a partition to a bound, as far
    /// as loans allow, and returns the fraction that stays in use.
    pub fn plan<F>(&self, page_number: u16, cx: &PlanContext<'_>, mut shrink: F) -> PagePlan
    where
        F: FnMut(Partition, Fraction) -> Fraction,
    {
        let mut page = self.clone();
        let mut allocations = Vec::new();
        let mut is_complete = true;
        let mut must_write = false;
        page.reclaim(cx);
        let regions = page.count_regions(cx.live_regions);
        for partition in Partition::in_page(page_number) {
            let wanted = wanted_fraction(partition, cx, regions);
            let is_first = !page.partitions.contains_key(&partition.0);
            if is_first && wanted.is_zero() {
                continue;
            }
            let recorded = page.fraction(partition, cx.holder);
            let in_use = shrink(partition, wanted.min(recorded));
            let available = page.unallocated(partition, cx.holder);
            let fraction = wanted.max(in_use).min(available);
            is_complete &= fraction == wanted;
            // The fraction in use grows only after a write of this instance,
            // even if the page allocates it already: the write makes the
            // compare-and-swap of any earlier write still in flight fail.
            must_write |= fraction > in_use;
            page.set_allocation(partition, cx, fraction);
            allocations.push(PlannedAllocation {
                partition,
                fraction,
                is_first,
            });
        }
        page.record_roster(cx);
        must_write |= page != *self;
        page.epoch = self.epoch + 1;
        PagePlan {
            page,
            allocations,
            must_write,
            is_complete,
        }
    }

    fn reclaim(&mut self, cx: &PlanContext<'_>) {
        let is_reclaimable =
            |a: &Allocation| a.region == *cx.region && cx.reclaimable.contains(&a.holder);
        for allocations in self.partitions.values_mut() {
            allocations.retain(|a| !is_reclaimable(a));
        }
    }

    /// Counts the regions that own a fraction or have live instances.
    fn count_regions(&self, live: &BTreeSet<Region>) -> usize {
        let recorded = self.partitions.values().flatten().map(|a| &a.region);
        recorded.chain(live).collect::<BTreeSet<_>>().len()
    }

    fn unallocated(&self, partition: Partition, holder: &Holder) -> Fraction {
        let allocations = self.partitions.get(&partition.0).into_iter().flatten();
        let others = allocations.filter(|a| a.holder != *holder);
        Fraction::WHOLE.saturating_sub(others.map(|a| a.fraction).sum())
    }

    fn set_allocation(&mut self, partition: Partition, cx: &PlanContext<'_>, fraction: Fraction) {
        let allocations = self.partitions.entry(partition.0).or_default();
        if let Some(own) = allocations.iter_mut().find(|a| a.holder == *cx.holder) {
            own.fraction = fraction;
        } else {
            allocations.push(Allocation {
                holder: cx.holder.clone(),
                region: cx.region.clone(),
                fraction,
            });
        }
        allocations.retain(|a| !a.fraction.is_zero());
    }

    fn record_roster(&mut self, cx: &PlanContext<'_>) {
        let own = &cx.holder.instance;
        self.rosters.insert(own.clone(), cx.roster.to_vec());
        let holders: BTreeSet<&Instance> = self
            .partitions
            .values()
            .flatten()
            .map(|a| &a.holder.instance)
            .collect();
        self.rosters.retain(|name, _| holders.contains(name));
    }
}

fn wanted_fraction(partition: Partition, cx: &PlanContext<'_>, regions: usize) -> Fraction {
    let owner_list = owners(partition, cx.roster);
    if !owner_list.contains(&&cx.holder.instance) {
        return Fraction::ZERO;
    }
    Fraction::WHOLE.divide(regions).divide(owner_list.len())
}
