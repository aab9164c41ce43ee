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
    pub fn fraction(&self, slot: Partition, holder: &Holder) -> Fraction {
        let holds = self.partitions.get(&slot.0).into_iter().flatten();
        let own = holds.filter(|h| h.holder == *holder);
        own.map(|h| h.fraction).sum()
    }

    /// Tells whether a holder has a part of any slot.
    pub fn has_allocation(&self, holder: &Holder) -> bool {
        self.partitions
            .values()
            .flatten()
            .any(|h| h.holder == *holder)
    }

    /// Lists the holders of a region other than `me`.
    pub fn other_holders(&self, region: &Region, me: &Holder) -> BTreeSet<Holder> {
        let holds = self.partitions.values().flatten();
        holds
            .filter(|h| h.region == *region && h.holder != *me)
            .map(|h| h.holder.clone())
            .collect()
    }

    /// Plans this instance's next change of page `number`.
    ///
    /// `shrink` gives up what is held above a weight and returns what is left.
    pub fn plan<F>(&self, number: u16, view: &PlanContext<'_>, mut shrink: F) -> PagePlan
    where
        F: FnMut(Partition, Fraction) -> Fraction,
    {
        let mut page = self.clone();
        let mut growth = Vec::new();
        let mut settled = true;
        let mut write = false;
        page.reclaim(view);
        let regions = page.count_regions(view.live_regions);
        for slot in Partition::in_page(number) {
            let target = target_fraction(slot, view, regions);
            let first = !page.partitions.contains_key(&slot.0);
            if first && target.is_zero() {
                continue;
            }
            let held = page.fraction(slot, view.holder);
            let local = shrink(slot, target.min(held));
            let free = page.unallocated(slot, view.holder);
            let weight = target.max(local).min(free);
            settled &= weight == target;
            // Use grows only by an own write, which also bars any earlier
            // write of this instance that is still on its way.
            write |= weight > local;
            page.set_allocation(slot, view, weight);
            growth.push(AllocationGrowth {
                partition: slot,
                fraction: weight,
                is_first: first,
            });
        }
        page.record_roster(view);
        write |= page != *self;
        page.epoch = self.epoch + 1;
        PagePlan {
            page,
            growths: growth,
            must_write: write,
            is_complete: settled,
        }
    }

    fn reclaim(&mut self, view: &PlanContext<'_>) {
        let gone =
            |h: &Allocation| h.region == *view.region && view.reclaimable.contains(&h.holder);
        for holds in self.partitions.values_mut() {
            holds.retain(|h| !gone(h));
        }
    }

    fn count_regions(&self, live: &BTreeSet<Region>) -> usize {
        let held = self.partitions.values().flatten().map(|h| &h.region);
        held.chain(live).collect::<BTreeSet<_>>().len()
    }

    fn unallocated(&self, slot: Partition, me: &Holder) -> Fraction {
        let holds = self.partitions.get(&slot.0).into_iter().flatten();
        let others = holds.filter(|h| h.holder != *me);
        Fraction::WHOLE.saturating_sub(others.map(|h| h.fraction).sum())
    }

    fn set_allocation(&mut self, slot: Partition, view: &PlanContext<'_>, weight: Fraction) {
        let holds = self.partitions.entry(slot.0).or_default();
        if let Some(own) = holds.iter_mut().find(|h| h.holder == *view.holder) {
            own.fraction = weight;
        } else {
            holds.push(Allocation {
                holder: view.holder.clone(),
                region: view.region.clone(),
                fraction: weight,
            });
        }
        holds.retain(|h| !h.fraction.is_zero());
    }

    fn record_roster(&mut self, view: &PlanContext<'_>) {
        let me = &view.holder.instance;
        self.rosters.insert(me.clone(), view.roster.to_vec());
        let holders: BTreeSet<&Instance> = self
            .partitions
            .values()
            .flatten()
            .map(|h| &h.holder.instance)
            .collect();
        self.rosters.retain(|name, _| holders.contains(name));
    }
}

fn target_fraction(slot: Partition, view: &PlanContext<'_>, regions: usize) -> Fraction {
    let homes = owners(slot, view.roster);
    if !homes.contains(&&view.holder.instance) {
        return Fraction::ZERO;
    }
    Fraction::one_nth(regions).divide(homes.len())
}
