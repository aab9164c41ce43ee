//! Keeps an instance's lease and its holds in the ledger in step.
//!
//! The caller does the I/O and reports what became of it: renewals, vouches
//! and pages read and written, each with the time before it was sent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Holder;
use super::Lease;
use super::Partition;
use super::ShareTable;
use super::ledger::LedgerPage;
use super::ledger::PagePlan;
use super::ledger::PlanContext;
use super::partitions::PARTITION_COUNT;
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
pub struct LeaseManager {
    holder: Holder,
    has_record: bool,
    lease: Lease,
    unfenced_pages: BTreeSet<u16>,
    rosters: BTreeMap<u16, BTreeSet<Vec<Instance>>>,
}

impl LeaseManager {
    /// Begins the first term. No other process has had this term.
    pub fn new(instance: Instance, term: u64) -> Self {
        Self {
            holder: Holder { instance, term },
            has_record: false,
            lease: Lease::default(),
            unfenced_pages: BTreeSet::new(),
            rosters: BTreeMap::new(),
        }
    }

    /// Returns the instance and its term.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Tells whether the store is thought to have the record of this term.
    pub fn has_record(&self) -> bool {
        self.has_record
    }

    /// Begins another term if the book's lease has lapsed. Returns whether it did.
    pub fn check_lease(&mut self, book: &ShareTable, now: Duration) -> bool {
        if !book.holds_any() || !book.lease().has_expired(now) {
            return false;
        }
        self.end_term(book, now);
        true
    }

    /// Ends the term with everything held in it.
    pub fn end_term(&mut self, book: &ShareTable, now: Duration) {
        book.release_all(now);
        self.holder.term += 1;
        self.has_record = false;
        self.unfenced_pages.clear();
        self.rosters.clear();
    }

    /// Notes that the record was renewed.
    pub fn record_renewed(&mut self, book: &ShareTable, lease: Lease, now: Duration) {
        self.has_record = true;
        self.lease = lease;
        self.extend_lease(book, now);
    }

    /// Notes that the record was gone.
    pub fn record_lost(&mut self) {
        self.has_record = false;
    }

    /// Notes that the record was put where none was.
    pub fn record_created(&mut self, book: &ShareTable, lease: Lease, now: Duration) {
        let held = (0..PARTITION_COUNT)
            .map(Partition)
            .filter(|s| !book.fraction(*s).is_zero());
        self.unfenced_pages = held.map(Partition::page).collect();
        self.record_renewed(book, lease, now);
    }

    /// Lists the members that could vouch for this instance.
    pub fn roster_members(&self) -> BTreeSet<&Instance> {
        self.rosters.values().flatten().flatten().collect()
    }

    /// Notes who vouched in a round of asks sent at `sent`.
    pub fn apply_vouches(
        &self,
        book: &ShareTable,
        sent_at: Duration,
        vouchers: &BTreeSet<Instance>,
        now: Duration,
    ) {
        let mut rosters = self.rosters.values().flatten();
        let enough = rosters.all(|roster| {
            let vouches = roster
                .iter()
                .filter(|name| vouchers.contains(*name))
                .count();
            vouches >= quorum::majority(roster.len())
        });
        if enough && !self.rosters.is_empty() {
            book.extend_lease(Lease::granted(sent_at, quorum::VOUCH_DURATION), now);
        }
    }

    fn extend_lease(&self, book: &ShareTable, now: Duration) {
        if self.unfenced_pages.is_empty() {
            book.extend_lease(self.lease, now);
        }
    }

    /// Plans the change of a page as it was read from the store.
    ///
    /// `None` if nothing need be written. A term that the ledger no longer
    /// knows of is given up.
    pub fn plan_page(
        &mut self,
        book: &ShareTable,
        number: u16,
        page: &LedgerPage,
        view: &PlanContext<'_>,
        now: Duration,
    ) -> Option<PagePlan> {
        let mut slots = Partition::in_page(number);
        if slots.any(|s| book.fraction(s) > page.fraction(s, &self.holder)) {
            self.end_term(book, now);
            return None;
        }
        let mut plan = page.plan(number, view, |slot, weight| book.shrink(slot, weight, now));
        plan.must_write |= self.unfenced_pages.contains(&number);
        if plan.must_write {
            let rosters = self.rosters.entry(number).or_default();
            rosters.extend(plan.page.rosters.get(&self.holder.instance).cloned());
        }
        Some(plan)
    }

    /// Notes that a planned page was written.
    pub fn page_written(&mut self, book: &ShareTable, number: u16, plan: &PagePlan, now: Duration) {
        for growth in &plan.growths {
            book.grow(growth.partition, growth.fraction, growth.is_first, now);
        }
        self.unfenced_pages.remove(&number);
        let roster = plan.page.rosters.get(&self.holder.instance).cloned();
        self.rosters.insert(number, roster.into_iter().collect());
        self.extend_lease(book, now);
    }
}
