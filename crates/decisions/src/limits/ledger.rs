//! The record of who holds which part of which slot, kept in the store.
//!
//! A page is one value of the store and is changed by compare-and-swap only.
//! The sum of a slot's holds never exceeds the whole, so the sum of what
//! instances hold never does either, as each holds at most what is recorded:
//! it gives up before it records less, and it uses more after it recorded more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::Fraction;
use super::Partition;
use super::partitions::owners;
use crate::names::Instance;
use crate::names::Region;

/// A holder: an instance in one term.
///
/// A term ends when the instance's lease lapses, and never comes back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Holder {
    /// The instance.
    pub instance: Instance,
    /// Its term.
    pub term: u64,
}

/// A part of a slot that an instance holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Allocation {
    /// Who holds it.
    pub holder: Holder,
    /// The holder's region; only its instances may reclaim the part.
    pub region: Region,
    /// The part.
    #[serde(rename = "weight")]
    pub fraction: Fraction,
}

/// A value of the ledger: some slots and the rosters that holders rely on.
///
/// # Invariants
///
/// The weights of a slot's holds sum up to at most the whole. A slot that is
/// absent was never held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LedgerPage {
    /// Raised by every change, so that no two values are equal.
    pub epoch: u64,
    /// The holds by slot.
    #[serde(rename = "slots")]
    pub partitions: BTreeMap<u16, Vec<Allocation>>,
    /// The roster of its region that each instance relies on past its lease.
    pub rosters: BTreeMap<Instance, Vec<Instance>>,
}

/// What an instance knows when it plans a change.
#[derive(Clone, Debug)]
pub struct PlanContext<'a> {
    /// The instance and its term.
    pub holder: &'a Holder,
    /// Its region.
    pub region: &'a Region,
    /// The live instances of its region, itself included.
    pub roster: &'a [Instance],
    /// The regions that have live instances.
    pub live_regions: &'a BTreeSet<Region>,
    /// Holders that may be reclaimed: their record was gone after the page
    /// was read, and enough of their roster agreed.
    pub reclaimable: &'a BTreeSet<Holder>,
}

/// A part to use once the planned page is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocationGrowth {
    /// The slot.
    pub partition: Partition,
    /// What is then held of it.
    pub fraction: Fraction,
    /// Whether nobody held the slot before.
    pub is_first: bool,
}

/// A planned change of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PagePlan {
    /// The page to write.
    pub page: LedgerPage,
    /// What to use after it was written.
    pub growths: Vec<AllocationGrowth>,
    /// Whether the page has to be written.
    pub must_write: bool,
    /// Whether this instance now holds all that it should.
    pub is_complete: bool,
}

impl LedgerPage {
    /// Returns what a holder has of a slot.
    pub fn fraction(&self, partition: Partition, holder: &Holder) -> Fraction {
        let allocations = self.partitions.get(&partition.0).into_iter().flatten();
        let own = allocations.filter(|a| a.holder == *holder);
        own.map(|a| a.fraction).sum()
    }

    /// Tells whether a holder has a part of any slot.
    pub fn has_allocation(&self, holder: &Holder) -> bool {
        self.partitions
            .values()
            .flatten()
            .any(|a| a.holder == *holder)
    }

    /// Lists the holders of a region other than `me`.
    pub fn other_holders(&self, region: &Region, holder: &Holder) -> BTreeSet<Holder> {
        let allocations = self.partitions.values().flatten();
        allocations
            .filter(|a| a.region == *region && a.holder != *holder)
            .map(|a| a.holder.clone())
            .collect()
    }

    /// Plans this instance's next change of page `number`.
    ///
    /// `shrink` gives up what is held above a weight and returns what is left.
    pub fn plan<F>(&self, number: u16, cx: &PlanContext<'_>, mut shrink: F) -> PagePlan
    where
        F: FnMut(Partition, Fraction) -> Fraction,
    {
        let mut page = self.clone();
        let mut growths = Vec::new();
        let mut is_complete = true;
        let mut must_write = false;
        page.reclaim(cx);
        let regions = page.count_regions(cx.live_regions);
        for partition in Partition::in_page(number) {
            let target = target_fraction(partition, cx, regions);
            let is_first = !page.partitions.contains_key(&partition.0);
            if is_first && target.is_zero() {
                continue;
            }
            let recorded = page.fraction(partition, cx.holder);
            let in_use = shrink(partition, target.min(recorded));
            let available = page.unallocated(partition, cx.holder);
            let fraction = target.max(in_use).min(available);
            is_complete &= fraction == target;
            // Use grows only by an own write, which also bars any earlier
            // write of this instance that is still on its way.
            must_write |= fraction > in_use;
            page.set_allocation(partition, cx, fraction);
            growths.push(AllocationGrowth {
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
            growths,
            must_write,
            is_complete,
        }
    }

    fn reclaim(&mut self, cx: &PlanContext<'_>) {
        let gone = |a: &Allocation| a.region == *cx.region && cx.reclaimable.contains(&a.holder);
        for allocations in self.partitions.values_mut() {
            allocations.retain(|a| !gone(a));
        }
    }

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

fn target_fraction(partition: Partition, cx: &PlanContext<'_>, regions: usize) -> Fraction {
    let owner_list = owners(partition, cx.roster);
    if !owner_list.contains(&&cx.holder.instance) {
        return Fraction::ZERO;
    }
    Fraction::one_nth(regions).divide(owner_list.len())
}
