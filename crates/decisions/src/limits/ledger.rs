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

use super::Slot;
use super::Weight;
use super::homes::homes;
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
pub struct Hold {
    /// Who holds it.
    pub holder: Holder,
    /// The holder's region; only its instances may reclaim the part.
    pub region: Region,
    /// The part.
    pub weight: Weight,
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
pub struct Page {
    /// Raised by every change, so that no two values are equal.
    pub epoch: u64,
    /// The holds by slot.
    pub slots: BTreeMap<u16, Vec<Hold>>,
    /// The roster of its region that each instance relies on past its lease.
    pub rosters: BTreeMap<Instance, Vec<Instance>>,
}

/// What an instance knows when it plans a change.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The instance and its term.
    pub me: &'a Holder,
    /// Its region.
    pub region: &'a Region,
    /// The live instances of its region, itself included.
    pub roster: &'a [Instance],
    /// The regions that have live instances.
    pub regions: &'a BTreeSet<Region>,
    /// Holders that may be reclaimed: their record was gone after the page
    /// was read, and enough of their roster agreed.
    pub lapsed: &'a BTreeSet<Holder>,
}

/// A part to use once the planned page is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Growth {
    /// The slot.
    pub slot: Slot,
    /// What is then held of it.
    pub weight: Weight,
    /// Whether nobody held the slot before.
    pub first: bool,
}

/// A planned change of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The page to write.
    pub page: Page,
    /// What to use after it was written.
    pub growth: Vec<Growth>,
    /// Whether the page has to be written.
    pub write: bool,
    /// Whether this instance now holds all that it should.
    pub settled: bool,
}

impl Page {
    /// Returns what a holder has of a slot.
    pub fn weight(&self, slot: Slot, holder: &Holder) -> Weight {
        let holds = self.slots.get(&slot.0).into_iter().flatten();
        let own = holds.filter(|h| h.holder == *holder);
        own.map(|h| h.weight).sum()
    }

    /// Tells whether a holder has a part of any slot.
    pub fn has(&self, holder: &Holder) -> bool {
        self.slots.values().flatten().any(|h| h.holder == *holder)
    }

    /// Lists the holders of a region other than `me`.
    pub fn others(&self, region: &Region, me: &Holder) -> BTreeSet<Holder> {
        let holds = self.slots.values().flatten();
        holds
            .filter(|h| h.region == *region && h.holder != *me)
            .map(|h| h.holder.clone())
            .collect()
    }

    /// Plans this instance's next change of page `number`.
    ///
    /// `shrink` gives up what is held above a weight and returns what is left.
    pub fn plan<F>(&self, number: u16, view: &View<'_>, mut shrink: F) -> Plan
    where
        F: FnMut(Slot, Weight) -> Weight,
    {
        let mut page = self.clone();
        let mut growth = Vec::new();
        let mut settled = true;
        let mut write = false;
        page.reclaim(view);
        let regions = page.regions(view.regions);
        for slot in Slot::in_page(number) {
            let target = target(slot, view, regions);
            let first = !page.slots.contains_key(&slot.0);
            if first && target.is_none() {
                continue;
            }
            let held = page.weight(slot, view.me);
            let local = shrink(slot, target.min(held));
            let free = page.free(slot, view.me);
            let weight = target.max(local).min(free);
            settled &= weight == target;
            // Use grows only by an own write, which also bars any earlier
            // write of this instance that is still on its way.
            write |= weight > local;
            page.set(slot, view, weight);
            growth.push(Growth {
                slot,
                weight,
                first,
            });
        }
        page.keep_roster(view);
        write |= page != *self;
        page.epoch = self.epoch + 1;
        Plan {
            page,
            growth,
            write,
            settled,
        }
    }

    fn reclaim(&mut self, view: &View<'_>) {
        let gone = |h: &Hold| h.region == *view.region && view.lapsed.contains(&h.holder);
        for holds in self.slots.values_mut() {
            holds.retain(|h| !gone(h));
        }
    }

    fn regions(&self, live: &BTreeSet<Region>) -> usize {
        let held = self.slots.values().flatten().map(|h| &h.region);
        held.chain(live).collect::<BTreeSet<_>>().len()
    }

    fn free(&self, slot: Slot, me: &Holder) -> Weight {
        let holds = self.slots.get(&slot.0).into_iter().flatten();
        let others = holds.filter(|h| h.holder != *me);
        Weight::WHOLE.saturating_sub(others.map(|h| h.weight).sum())
    }

    fn set(&mut self, slot: Slot, view: &View<'_>, weight: Weight) {
        let holds = self.slots.entry(slot.0).or_default();
        if let Some(own) = holds.iter_mut().find(|h| h.holder == *view.me) {
            own.weight = weight;
        } else {
            holds.push(Hold {
                holder: view.me.clone(),
                region: view.region.clone(),
                weight,
            });
        }
        holds.retain(|h| !h.weight.is_none());
    }

    fn keep_roster(&mut self, view: &View<'_>) {
        let me = &view.me.instance;
        self.rosters.insert(me.clone(), view.roster.to_vec());
        let holders: BTreeSet<&Instance> = self
            .slots
            .values()
            .flatten()
            .map(|h| &h.holder.instance)
            .collect();
        self.rosters.retain(|name, _| holders.contains(name));
    }
}

fn target(slot: Slot, view: &View<'_>, regions: usize) -> Weight {
    let homes = homes(slot, view.roster);
    if !homes.contains(&&view.me.instance) {
        return Weight::NONE;
    }
    Weight::one_of(regions).split(homes.len())
}
