//! Lease of an instance on its shares, and its allocations in the ledger.
//!
//! The caller does the I/O and reports the results: renewals of the instance's
//! lease record in the store, vouches by other instances (see [`quorum`]), and
//! ledger pages read and written. Leases and vouches count from the time before
//! the request was sent.

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

/// Manages the lease of an instance in its current term.
///
/// # Invariants
///
/// `lease` is the lease of the record in the store. It extends the lease of the
/// shares only while `pages_to_rewrite` is empty: if the record was lost,
/// another instance may be reclaiming an allocation, and its compare-and-swap
/// is sure to fail only after this instance has written the page. `rosters`
/// has, by page, every roster that the page may have for this instance: several
/// while a write is unconfirmed.
#[derive(Debug)]
pub struct LeaseManager {
    holder: Holder,
    has_record: bool,
    lease: Lease,
    pages_to_rewrite: BTreeSet<u16>,
    rosters: BTreeMap<u16, BTreeSet<Vec<Instance>>>,
}

impl LeaseManager {
    /// Starts with term number `term`. Neither it nor the numbers that follow,
    /// which later terms use, may be used by another process of the instance.
    pub fn new(instance: Instance, term: u64) -> Self {
        Self {
            holder: Holder { instance, term },
            has_record: false,
            lease: Lease::default(),
            pages_to_rewrite: BTreeSet::new(),
            rosters: BTreeMap::new(),
        }
    }

    /// Returns the instance and its term.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns whether the store has the record of this term, as far as known.
    pub fn has_record(&self) -> bool {
        self.has_record
    }

    /// Starts a new term if the lease of the shares has expired; returns
    /// whether it did.
    pub fn end_term_if_expired(&mut self, shares: &ShareTable, now: Duration) -> bool {
        if !shares.holds_any() || !shares.lease().has_expired(now) {
            return false;
        }
        self.start_next_term(shares, now);
        true
    }

    /// Ends the term, so that no partition is used any more, and starts the
    /// next one.
    pub fn start_next_term(&mut self, shares: &ShareTable, now: Duration) {
        shares.stop_using_all(now);
        self.holder.term += 1;
        self.has_record = false;
        self.pages_to_rewrite.clear();
        self.rosters.clear();
    }

    /// Handles a renewal of the record in the store.
    pub fn record_renewed(&mut self, shares: &ShareTable, lease: Lease, now: Duration) {
        self.has_record = true;
        self.lease = lease;
        self.extend_lease(shares, now);
    }

    /// Handles the loss of the record in the store.
    pub fn record_lost(&mut self) {
        self.has_record = false;
    }

    /// Handles the creation of the record where the store had none.
    pub fn record_created(&mut self, shares: &ShareTable, lease: Lease, now: Duration) {
        let in_use = (0..PARTITION_COUNT)
            .map(Partition)
            .filter(|p| !shares.fraction(*p).is_zero());
        self.pages_to_rewrite = in_use.map(Partition::page).collect();
        self.record_renewed(shares, lease, now);
    }

    /// Returns the instances in any of this instance's rosters, which are asked
    /// for vouches.
    pub fn roster_members(&self) -> BTreeSet<&Instance> {
        self.rosters.values().flatten().flatten().collect()
    }

    /// Extends the lease if the instances in `vouchers`, which were asked at
    /// `sent_at`, are a majority of every roster.
    pub fn apply_vouches(
        &self,
        shares: &ShareTable,
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
            shares.extend_lease(Lease::granted(sent_at, quorum::VOUCH_DURATION), now);
        }
    }

    fn extend_lease(&self, shares: &ShareTable, now: Duration) {
        if self.pages_to_rewrite.is_empty() {
            shares.extend_lease(self.lease, now);
        }
    }

    /// Plans a change of the page that was read from the store.
    ///
    /// Returns `None`, and ends the term, if the page records less for this
    /// holder than it uses. In that case its fractions were reclaimed.
    pub fn plan_page(
        &mut self,
        shares: &ShareTable,
        page_number: u16,
        page: &LedgerPage,
        cx: &PlanContext<'_>,
        now: Duration,
    ) -> Option<PagePlan> {
        let mut partitions = Partition::in_page(page_number);
        if partitions.any(|p| shares.fraction(p) > page.fraction(p, &self.holder)) {
            self.start_next_term(shares, now);
            return None;
        }
        let mut plan = page.plan(page_number, cx, |p, fraction| {
            shares.shrink(p, fraction, now)
        });
        plan.must_write |= self.pages_to_rewrite.contains(&page_number);
        if plan.must_write {
            let rosters = self.rosters.entry(page_number).or_default();
            rosters.extend(plan.page.rosters.get(&self.holder.instance).cloned());
        }
        Some(plan)
    }

    /// Handles the successful write of a planned page.
    pub fn page_written(
        &mut self,
        shares: &ShareTable,
        page_number: u16,
        plan: &PagePlan,
        now: Duration,
    ) {
        for allocation in &plan.allocations {
            shares.grow(
                allocation.partition,
                allocation.fraction,
                allocation.is_first,
                now,
            );
        }
        self.pages_to_rewrite.remove(&page_number);
        let roster = plan.page.rosters.get(&self.holder.instance).cloned();
        self.rosters
            .insert(page_number, roster.into_iter().collect());
        self.extend_lease(shares, now);
    }
}
