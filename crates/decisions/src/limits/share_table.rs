//! The shares of one instance in the limits of all accounts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Active;
use super::Fraction;
use super::InsufficientTokens;
use super::Lease;
use super::LoanGrant;
use super::LoanId;
use super::LoanRequest;
use super::LoanReturn;
use super::MAX_LOAN_DURATION;
use super::Partition;
use super::Receipt;
use super::ReturnedLoan;
use super::Share;
use super::ShareContext;
use super::fraction::Limit;
use super::partitions::PARTITION_COUNT;
use super::share::LoanTerms;
use crate::config::Config;
use crate::names::Account;
use crate::names::Instance;
use crate::tables::LockRank;
use crate::tables::RankedMutex;
use crate::tables::ShardedMap;

/// Largest number of requests to borrow that wait for an answer.
const MAX_PENDING_REQUESTS: usize = 4096;

/// The fraction of one partition that the instance may use.
///
/// # Invariants
///
/// `fraction` is at most what the ledger allocates. An account without a share
/// in the table has not been charged since `refills_since`, so that a new share
/// may refill from then on. `starts_full` tells whether new shares start full.
/// While `is_shrinking`, nothing more is lent.
#[derive(Clone, Copy, Debug, Default)]
struct HeldPartition {
    fraction: Fraction,
    refills_since: Duration,
    starts_full: bool,
    is_shrinking: bool,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    lender: Instance,
    sent_at: Duration,
}

/// State of the table, other than the shares themselves.
///
/// # Invariants
///
/// Every partition with a fraction is covered by `lease`:
/// [`ShareTable::stop_using_all`] clears the partitions before an expired lease
/// is replaced.
#[derive(Debug)]
struct TableState {
    config: Arc<Config>,
    lease: Lease,
    partitions: Vec<HeldPartition>,
    pending_requests: BTreeMap<u64, PendingRequest>,
    sequence: u64,
    generation: u64,
}

/// The shares of one instance.
///
/// The state is locked before the shares and stays locked while a share is
/// used, so that no share is created from a partition whose lease has expired
/// meanwhile.
#[derive(Debug)]
pub struct ShareTable {
    incarnation: u64,
    state: RankedMutex<TableState>,
    shares: ShardedMap<Account, Share<Active>>,
}

impl TableState {
    fn limit(&self, account: &Account) -> Limit {
        let entry = self.config.accounts.get(account);
        entry.map_or_else(Limit::default, |e| Limit {
            rate: e.rate,
            burst: e.burst,
        })
    }

    fn holds_any(&self) -> bool {
        self.partitions.iter().any(|p| !p.fraction.is_zero())
    }

    fn share_context(&self, account: &Account, now: Duration) -> ShareContext {
        ShareContext {
            limit: self.limit(account),
            lease: self.lease,
            now,
        }
    }

    fn held_partition(&self, account: &Account) -> HeldPartition {
        self.partitions[usize::from(Partition::of(account).0)]
    }

    fn new_share(&mut self, account: &Account, now: Duration) -> Share<Active> {
        self.generation += 1;
        let (held, limit) = (self.held_partition(account), self.limit(account));
        let since = held.refills_since.min(now);
        if held.starts_full {
            return Share::full(self.generation, held.fraction, limit, since);
        }
        Share::empty(self.generation, held.fraction, limit, since)
    }
}

impl ShareTable {
    /// Creates the table of an instance that owns nothing yet.
    ///
    /// `incarnation` identifies the process; no other one has the same.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            state: RankedMutex::new(
                LockRank::ShareLease,
                TableState {
                    config: Arc::new(Config::default()),
                    lease: Lease::default(),
                    partitions: vec![HeldPartition::default(); usize::from(PARTITION_COUNT)],
                    pending_requests: BTreeMap::new(),
                    sequence: 0,
                    generation: 0,
                },
            ),
            shares: ShardedMap::new(LockRank::Accounts),
        }
    }

    fn with_share<R, F>(&self, account: &Account, now: Duration, f: F) -> R
    where
        F: FnOnce(&mut Share<Active>, ShareContext) -> R,
    {
        let mut state = self.state.lock();
        let cx = state.share_context(account, now);
        let make = || state.new_share(account, now);
        self.shares
            .with_or_insert(account, make, |share| f(share, cx))
    }

    /// Applies the limits of a configuration, if it is newer than the current
    /// one.
    pub fn apply_config(&self, config: &Arc<Config>, now: Duration) {
        let mut state = self.state.lock();
        if config.version <= state.config.version {
            return;
        }
        let changed: Vec<Account> = state
            .config
            .accounts
            .iter()
            .filter(|(name, old)| {
                let new = config.accounts.get(*name);
                new.is_none_or(|new| new.rate != old.rate || new.burst != old.burst)
            })
            .map(|(name, _)| name.clone())
            .collect();
        // Shares refill by the old limit up to now, and by the new one from now
        // on.
        for account in &changed {
            if state.held_partition(account).fraction.is_zero() {
                continue;
            }
            let cx = state.share_context(account, now);
            let make = || state.new_share(account, now);
            self.shares
                .with_or_insert(account, make, |share| share.advance(cx));
        }
        state.config = Arc::clone(config);
        for account in &changed {
            let cx = state.share_context(account, now);
            self.shares.with(account, |share| {
                if let Some(share) = share {
                    share.advance(cx);
                }
            });
        }
    }

    /// Charges tokens to this instance's share of an account.
    ///
    /// # Errors
    ///
    /// Fails with the missing tokens if the share has too few.
    pub fn charge(
        &self,
        account: &Account,
        tokens: u64,
        now: Duration,
    ) -> Result<Receipt, InsufficientTokens> {
        self.with_share(account, now, |share, cx| share.charge(tokens, cx))
    }

    /// Settles a charge of which `used` tokens were used.
    pub fn settle(&self, account: &Account, receipt: &Receipt, used: u64, now: Duration) {
        self.with_share(account, now, |share, cx| {
            share.settle(receipt, used, cx);
        });
    }

    /// Returns the available tokens of an account, in nano-tokens.
    pub fn level(&self, account: &Account, now: Duration) -> u128 {
        self.with_share(account, now, |share, cx| {
            share.advance(cx);
            share.level()
        })
    }

    /// Creates a request to borrow `tokens` nano-tokens from `lender`.
    pub fn request_loan(
        &self,
        account: &Account,
        lender: &Instance,
        tokens: u128,
        now: Duration,
    ) -> LoanRequest {
        let mut state = self.state.lock();
        state.sequence += 1;
        let sequence = state.sequence;
        // Identifiers ascend, so the oldest request comes first.
        while let Some(oldest) = state.pending_requests.first_entry() {
            let ended = oldest.get().sent_at + MAX_LOAN_DURATION <= now;
            if !ended && state.pending_requests.len() < MAX_PENDING_REQUESTS {
                break;
            }
            state.pending_requests.pop_first();
        }
        let lender = lender.clone();
        state.pending_requests.insert(
            sequence,
            PendingRequest {
                lender,
                sent_at: now,
            },
        );
        LoanRequest {
            id: LoanId {
                incarnation: self.incarnation,
                sequence,
            },
            account: account.clone(),
            tokens,
        }
    }

    /// Grants a loan to an instance that requested it; `None` if nothing can be
    /// lent.
    pub fn lend(
        &self,
        borrower: &Instance,
        request: &LoanRequest,
        now: Duration,
    ) -> Option<LoanGrant> {
        if self.is_shrinking(Partition::of(&request.account)) {
            return None;
        }
        let terms = self.with_share(&request.account, now, |share, cx| {
            share.lend(request.id, borrower, request.tokens, cx)
        })?;
        Some(LoanGrant {
            id: request.id,
            account: request.account.clone(),
            fraction: terms.fraction,
            tokens: terms.tokens,
            valid_for: terms.valid_for,
        })
    }

    /// Accepts a loan granted by another instance, once for each request;
    /// returns whether it was accepted.
    pub fn accept_loan(&self, grant: &LoanGrant, now: Duration) -> bool {
        if grant.id.incarnation != self.incarnation {
            return false;
        }
        let pending = self
            .state
            .lock()
            .pending_requests
            .remove(&grant.id.sequence);
        let Some(pending) = pending else {
            return false;
        };
        let expires_at = pending.sent_at + grant.valid_for;
        let terms = LoanTerms {
            fraction: grant.fraction,
            tokens: grant.tokens,
            valid_for: grant.valid_for,
        };
        self.with_share(&grant.account, now, |share, cx| {
            share.accept_loan(grant.id, &pending.lender, &terms, expires_at, cx)
        })
    }

    /// Takes back a loan that the borrower returned; returns false if the loan
    /// is unknown or has expired.
    pub fn take_back_loan(&self, returned: &LoanReturn, now: Duration) -> bool {
        self.with_share(&returned.account, now, |share, cx| {
            share.take_back_loan(returned.id, returned.tokens, cx)
        })
    }

    /// Gives back every borrowed loan whose fraction is not lent on, and lists
    /// the messages to send to the lenders.
    pub fn return_all_loans(&self, now: Duration) -> Vec<(Instance, LoanReturn)> {
        let state = self.state.lock();
        self.return_loans(&state, now, Share::return_any_loan)
    }

    fn return_loans<F>(
        &self,
        state: &TableState,
        now: Duration,
        return_next: F,
    ) -> Vec<(Instance, LoanReturn)>
    where
        F: Fn(&mut Share<Active>, ShareContext) -> Option<ReturnedLoan>,
    {
        let mut returns = Vec::new();
        self.shares.for_each(|account, share| {
            let cx = state.share_context(account, now);
            while let Some(loan) = return_next(share, cx) {
                let message = LoanReturn {
                    id: loan.id,
                    account: account.clone(),
                    tokens: loan.tokens,
                };
                returns.push((loan.lender, message));
            }
        });
        returns
    }

    /// Gives back the borrowed loans that are about to expire or not in use,
    /// and removes shares that equal a new one.
    ///
    /// Lists the messages to send to the lenders.
    pub fn sweep(&self, now: Duration) -> Vec<(Instance, LoanReturn)> {
        let state = self.state.lock();
        let returns = self.return_loans(&state, now, Share::return_due_loan);
        self.shares.retain(|account, share| {
            let is_settled =
                share.is_full_and_settled() && state.config.accounts.contains_key(account);
            let new_share_would_be_full =
                state.held_partition(account).refills_since + share.time_to_fill() <= now;
            !(is_settled && new_share_would_be_full)
        });
        returns
    }

    /// Returns the lease that covers the shares.
    pub fn lease(&self) -> Lease {
        self.state.lock().lease
    }

    /// Returns whether the instance may use a fraction of any partition.
    pub fn holds_any(&self) -> bool {
        self.state.lock().holds_any()
    }

    /// Extends the lease if it has not expired; returns whether it was
    /// extended.
    ///
    /// An expired lease can't be extended before [`Self::stop_using_all`].
    pub fn extend_lease(&self, lease: Lease, now: Duration) -> bool {
        let mut state = self.state.lock();
        if state.holds_any() && state.lease.has_expired(now) {
            return false;
        }
        state.lease.expires_at = state.lease.expires_at.max(lease.expires_at);
        true
    }

    /// Stops using the allocated fractions of all partitions.
    pub fn stop_using_all(&self, now: Duration) {
        let mut state = self.state.lock();
        state.partitions.fill(HeldPartition::default());
        self.shares.for_each(|account, share| {
            share.set_owned(Fraction::ZERO, state.share_context(account, now));
        });
        self.shares.retain(|_, share| !share.has_no_fraction());
    }

    /// Returns the fraction of a partition that the instance may use.
    pub fn fraction(&self, partition: Partition) -> Fraction {
        self.state.lock().partitions[usize::from(partition.0)].fraction
    }

    fn is_shrinking(&self, partition: Partition) -> bool {
        self.state.lock().partitions[usize::from(partition.0)].is_shrinking
    }

    /// Increases the fraction of a partition to what the ledger now allocates.
    ///
    /// The ledger must have been changed by this instance's own
    /// compare-and-swap. The added fraction comes without tokens, unless
    /// `is_first` tells that the partition was never allocated before.
    pub fn grow(&self, partition: Partition, fraction: Fraction, is_first: bool, now: Duration) {
        let mut state = self.state.lock();
        let entry = &mut state.partitions[usize::from(partition.0)];
        if fraction <= entry.fraction {
            return;
        }
        entry.refills_since = now;
        entry.starts_full = is_first && entry.fraction.is_zero();
        entry.fraction = fraction;
        entry.is_shrinking = false;
        if entry.starts_full {
            // Shares with no fraction and no loans are removed, and created
            // again, full, when used.
            self.shares.retain(|account, share| {
                Partition::of(account) != partition || !share.has_no_fraction()
            });
        }
        self.set_owned(&state, partition, fraction, now);
    }

    /// Reduces the fraction of a partition, before the ledger records less.
    ///
    /// The largest fraction that is lent of any one account is kept until the
    /// loan ends, and nothing more is lent meanwhile. Returns the fraction that
    /// stays in use.
    pub fn shrink(&self, partition: Partition, fraction: Fraction, now: Duration) -> Fraction {
        let mut state = self.state.lock();
        let entry = &mut state.partitions[usize::from(partition.0)];
        entry.is_shrinking = fraction < entry.fraction;
        let held = entry.fraction;
        if fraction >= held {
            return held;
        }
        let mut kept = fraction;
        self.shares.for_each(|account, share| {
            if Partition::of(account) == partition {
                share.advance(state.share_context(account, now));
                kept = kept.max(share.lent());
            }
        });
        let kept = kept.min(held);
        let entry = &mut state.partitions[usize::from(partition.0)];
        entry.fraction = kept;
        entry.is_shrinking = kept > fraction;
        self.set_owned(&state, partition, kept, now);
        kept
    }

    fn set_owned(
        &self,
        state: &TableState,
        partition: Partition,
        fraction: Fraction,
        now: Duration,
    ) {
        self.shares.for_each(|account, share| {
            if Partition::of(account) == partition {
                share.set_owned(fraction, state.share_context(account, now));
            }
        });
    }
}
