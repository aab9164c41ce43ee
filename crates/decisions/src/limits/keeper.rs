//! Keeps an instance's lease and its holds in the ledger in step.
//!
//! The caller does the I/O and reports what became of it: renewals, vouches
//! and pages read and written, each with the time before it was sent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Book;
use super::Holder;
use super::Lease;
use super::Slot;
use super::homes::SLOTS;
use super::ledger::Page;
use super::ledger::Plan;
use super::ledger::View;
use super::quorum;
use crate::names::Instance;

/// The state of an instance's term.
///
/// # Invariants
///
/// `lease` is that of the record in the store. It backs the book only while
/// `unfenced` is empty: after the record was gone, a write that reclaims a
/// hold may be on its way until this instance has written the page itself.
/// `rosters` has every roster that each page may show for this instance.
#[derive(Debug)]
pub struct Keeper {
    me: Holder,
    recorded: bool,
    lease: Lease,
    unfenced: BTreeSet<u16>,
    rosters: BTreeMap<u16, BTreeSet<Vec<Instance>>>,
}

impl Keeper {
    /// Begins the first term. No other process has had this term.
    pub fn new(instance: Instance, term: u64) -> Self {
        Self {
            me: Holder { instance, term },
            recorded: false,
            lease: Lease::default(),
            unfenced: BTreeSet::new(),
            rosters: BTreeMap::new(),
        }
    }

    /// Returns the instance and its term.
    pub fn holder(&self) -> &Holder {
        &self.me
    }

    /// Tells whether the store is thought to have the record of this term.
    pub fn is_recorded(&self) -> bool {
        self.recorded
    }

    /// Begins another term if the book's lease has lapsed. Returns whether it did.
    pub fn check(&mut self, book: &Book, now: Duration) -> bool {
        if !book.holds() || !book.lease().has_lapsed(now) {
            return false;
        }
        self.give_up(book, now);
        true
    }

    /// Ends the term with everything held in it.
    pub fn give_up(&mut self, book: &Book, now: Duration) {
        book.lapse(now);
        self.me.term += 1;
        self.recorded = false;
        self.unfenced.clear();
        self.rosters.clear();
    }

    /// Notes that the record was renewed.
    pub fn renewed(&mut self, book: &Book, lease: Lease, now: Duration) {
        self.recorded = true;
        self.lease = lease;
        self.extend(book, now);
    }

    /// Notes that the record was gone.
    pub fn record_lost(&mut self) {
        self.recorded = false;
    }

    /// Notes that the record was put where none was.
    pub fn put(&mut self, book: &Book, lease: Lease, now: Duration) {
        let held = (0..SLOTS).map(Slot).filter(|s| !book.weight(*s).is_none());
        self.unfenced = held.map(Slot::page).collect();
        self.renewed(book, lease, now);
    }

    /// Lists the members that could vouch for this instance.
    pub fn members(&self) -> BTreeSet<&Instance> {
        self.rosters.values().flatten().flatten().collect()
    }

    /// Notes who vouched in a round of asks sent at `sent`.
    pub fn vouched(&self, book: &Book, sent: Duration, by: &BTreeSet<Instance>, now: Duration) {
        let mut rosters = self.rosters.values().flatten();
        let enough = rosters.all(|roster| {
            let vouches = roster.iter().filter(|name| by.contains(*name)).count();
            vouches >= quorum::majority(roster.len())
        });
        if enough && !self.rosters.is_empty() {
            book.extend(Lease::granted(sent, quorum::VOUCH_TIME), now);
        }
    }

    fn extend(&self, book: &Book, now: Duration) {
        if self.unfenced.is_empty() {
            book.extend(self.lease, now);
        }
    }

    /// Plans the change of a page as it was read from the store.
    ///
    /// `None` if nothing need be written. A term that the ledger no longer
    /// knows of is given up.
    pub fn plan(
        &mut self,
        book: &Book,
        number: u16,
        page: &Page,
        view: &View<'_>,
        now: Duration,
    ) -> Option<Plan> {
        let mut slots = Slot::in_page(number);
        if slots.any(|s| book.weight(s) > page.weight(s, &self.me)) {
            self.give_up(book, now);
            return None;
        }
        let mut plan = page.plan(number, view, |slot, weight| book.shrink(slot, weight, now));
        plan.write |= self.unfenced.contains(&number);
        if plan.write {
            let rosters = self.rosters.entry(number).or_default();
            rosters.extend(plan.page.rosters.get(&self.me.instance).cloned());
        }
        Some(plan)
    }

    /// Notes that a planned page was written.
    pub fn written(&mut self, book: &Book, number: u16, plan: &Plan, now: Duration) {
        for growth in &plan.growth {
            book.grow(growth.slot, growth.weight, growth.first, now);
        }
        self.unfenced.remove(&number);
        let roster = plan.page.rosters.get(&self.me.instance).cloned();
        self.rosters.insert(number, roster.into_iter().collect());
        self.extend(book, now);
    }
}
