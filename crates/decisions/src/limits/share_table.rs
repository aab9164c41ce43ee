//! All shares of one instance, under its lease.

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

/// Most asks that wait for an answer at once.
const MAX_PENDING_LOANS: usize = 4096;

/// What the instance holds of one slot.
///
/// # Invariants
///
/// `weight` is at most what the ledger says. An account without a share in
/// the table has not been spent from since `since`.
#[derive(Clone, Copy, Debug, Default)]
struct HeldPartition {
    fraction: Fraction,
    held_since: Duration,
    starts_full: bool,
    is_shrinking: bool,
}

#[derive(Clone, Debug)]
struct PendingLoan {
    lender: Instance,
    sent_at: Duration,
}

/// # Invariants
///
/// A part with a weight is backed by `lease`; the parts are cleared before a
/// lapsed lease is replaced.
#[derive(Debug)]
struct TableState {
    config: Arc<Config>,
    lease: Lease,
    partitions: Vec<HeldPartition>,
    pending_loans: BTreeMap<u64, PendingLoan>,
    sequence: u64,
    generation: u64,
}

/// All shares of one instance.
///
/// The state is locked before the shares, and held while one is used, so that
/// no share is made from a part that has lapsed meanwhile.
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

    fn partition_of(&self, account: &Account) -> HeldPartition {
        self.partitions[usize::from(Partition::of(account).0)]
    }

    fn new_share(&mut self, account: &Account, now: Duration) -> Share<Active> {
        self.generation += 1;
        let (part, limit) = (self.partition_of(account), self.limit(account));
        let since = part.held_since.min(now);
        if part.starts_full {
            return Share::full(self.generation, part.fraction, limit, since);
        }
        Share::empty(self.generation, part.fraction, limit, since)
    }
}

impl ShareTable {
    /// Makes the book of an instance that holds nothing.
    ///
    /// `incarnation` differs from that of any other process.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            state: RankedMutex::new(
                LockRank::Shares,
                TableState {
                    config: Arc::new(Config::default()),
                    lease: Lease::default(),
                    partitions: vec![HeldPartition::default(); usize::from(PARTITION_COUNT)],
                    pending_loans: BTreeMap::new(),
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
        let at = state.share_context(account, now);
        let open = || state.new_share(account, now);
        self.shares
            .with_or_insert(account, open, |share| f(share, at))
    }

    /// Puts the limits of a newer configuration in force.
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
        // Shares fill by the old limit up to now and by the new one from now on.
        for account in &changed {
            if state.partition_of(account).fraction.is_zero() {
                continue;
            }
            let at = state.share_context(account, now);
            let open = || state.new_share(account, now);
            self.shares
                .with_or_insert(account, open, |share| share.advance(at));
        }
        state.config = Arc::clone(config);
        for account in &changed {
            let at = state.share_context(account, now);
            self.shares.with(account, |share| {
                if let Some(share) = share {
                    share.advance(at);
                }
            });
        }
    }

    /// Charges an account.
    ///
    /// # Errors
    ///
    /// Says what is missing if the share held here has too few tokens.
    pub fn charge(
        &self,
        account: &Account,
        tokens: u64,
        now: Duration,
    ) -> Result<Receipt, InsufficientTokens> {
        self.with_share(account, now, |share, at| share.charge(tokens, at))
    }

    /// Ends a charge of which `used` tokens were used.
    pub fn settle(&self, account: &Account, receipt: &Receipt, used: u64, now: Duration) {
        self.with_share(account, now, |share, at| {
            share.settle(receipt, used, at);
        });
    }

    /// Returns the nano-tokens held of an account.
    pub fn level(&self, account: &Account, now: Duration) -> u128 {
        self.with_share(account, now, |share, at| {
            share.advance(at);
            share.level()
        })
    }

    /// Asks `to` for tokens.
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
        // The oldest come first.
        while let Some(oldest) = state.pending_loans.first_entry() {
            let ended = oldest.get().sent_at + MAX_LOAN_DURATION <= now;
            if !ended && state.pending_loans.len() < MAX_PENDING_LOANS {
                break;
            }
            state.pending_loans.pop_first();
        }
        let to = lender.clone();
        state.pending_loans.insert(
            sequence,
            PendingLoan {
                lender: to,
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

    /// Answers a sibling's ask.
    pub fn lend(&self, from: &Instance, request: &LoanRequest, now: Duration) -> Option<LoanGrant> {
        if self.is_shrinking(Partition::of(&request.account)) {
            return None;
        }
        let lent = self.with_share(&request.account, now, |share, at| {
            share.lend(request.id, from, request.tokens, at)
        })?;
        Some(LoanGrant {
            id: request.id,
            account: request.account.clone(),
            fraction: lent.fraction,
            tokens: lent.tokens,
            valid_for: lent.valid_for,
        })
    }

    /// Takes what a sibling lends, once for each ask.
    pub fn accept_loan(&self, grant: &LoanGrant, now: Duration) -> bool {
        if grant.id.incarnation != self.incarnation {
            return false;
        }
        let pending = self.state.lock().pending_loans.remove(&grant.id.sequence);
        let Some(pending) = pending else {
            return false;
        };
        let until = pending.sent_at + grant.valid_for;
        let lent = LoanTerms {
            fraction: grant.fraction,
            tokens: grant.tokens,
            valid_for: grant.valid_for,
        };
        self.with_share(&grant.account, now, |share, at| {
            share.accept_loan(grant.id, &pending.lender, &lent, until, at)
        })
    }

    /// Takes back what a sibling returns.
    pub fn take_back_loan(&self, returned: &LoanReturn, now: Duration) -> bool {
        self.with_share(&returned.account, now, |share, at| {
            share.take_back_loan(returned.id, returned.tokens, at)
        })
    }

    /// Gives back every loan that is not lent on.
    pub fn return_all_loans(&self, now: Duration) -> Vec<(Instance, LoanReturn)> {
        let state = self.state.lock();
        self.return_loans(&state, now, Share::return_any_loan)
    }

    fn return_loans<F>(
        &self,
        state: &TableState,
        now: Duration,
        give: F,
    ) -> Vec<(Instance, LoanReturn)>
    where
        F: Fn(&mut Share<Active>, ShareContext) -> Option<ReturnedLoan>,
    {
        let mut returns = Vec::new();
        self.shares.for_each(|account, share| {
            let at = state.share_context(account, now);
            while let Some(back) = give(share, at) {
                let message = LoanReturn {
                    id: back.id,
                    account: account.clone(),
                    tokens: back.tokens,
                };
                returns.push((back.lender, message));
            }
        });
        returns
    }

    /// Gives back the loans that near their end or are not used, and forgets
    /// shares that hold nothing of note.
    pub fn sweep(&self, now: Duration) -> Vec<(Instance, LoanReturn)> {
        let state = self.state.lock();
        let returns = self.return_loans(&state, now, Share::return_loan);
        self.shares.retain(|account, share| {
            let full = share.is_pristine() && state.config.accounts.contains_key(account);
            let settled = state.partition_of(account).held_since + share.time_to_fill() <= now;
            !(full && settled)
        });
        returns
    }

    /// Returns the lease.
    pub fn lease(&self) -> Lease {
        self.state.lock().lease
    }

    /// Tells whether any part is held.
    pub fn holds_any(&self) -> bool {
        self.state.lock().holds_any()
    }

    /// Extends a lease that has not lapsed.
    ///
    /// A lapsed one stays lapsed: the parts have to be given up first.
    pub fn extend_lease(&self, lease: Lease, now: Duration) -> bool {
        let mut state = self.state.lock();
        if state.holds_any() && state.lease.has_expired(now) {
            return false;
        }
        state.lease.expires_at = state.lease.expires_at.max(lease.expires_at);
        true
    }

    /// Gives up every part.
    pub fn release_all(&self, now: Duration) {
        let mut state = self.state.lock();
        state.partitions.fill(HeldPartition::default());
        self.shares.for_each(|account, share| {
            share.set_owned(Fraction::ZERO, state.share_context(account, now));
        });
        self.shares.retain(|_, share| !share.is_unbacked());
    }

    /// Returns the weight held of a slot.
    pub fn fraction(&self, slot: Partition) -> Fraction {
        self.state.lock().partitions[usize::from(slot.0)].fraction
    }

    fn is_shrinking(&self, slot: Partition) -> bool {
        self.state.lock().partitions[usize::from(slot.0)].is_shrinking
    }

    /// Takes the weight that the ledger now says is held of a slot.
    ///
    /// The ledger was changed by this instance's own compare-and-swap. What is
    /// added starts empty, unless nobody held it before.
    pub fn grow(&self, slot: Partition, weight: Fraction, full: bool, now: Duration) {
        let mut state = self.state.lock();
        let part = &mut state.partitions[usize::from(slot.0)];
        if weight <= part.fraction {
            return;
        }
        part.held_since = now;
        part.starts_full = full && part.fraction.is_zero();
        part.fraction = weight;
        part.is_shrinking = false;
        if part.starts_full {
            // Shares that hold nothing are made anew, full, when used.
            self.shares
                .retain(|account, share| Partition::of(account) != slot || !share.is_unbacked());
        }
        self.set_owned(&state, slot, weight, now);
    }

    /// Gives up what is held of a slot above `weight`, before the ledger says so.
    ///
    /// What is on loan of any account is kept until the loan ends, and nothing
    /// more is lent. Returns the weight still held.
    pub fn shrink(&self, slot: Partition, weight: Fraction, now: Duration) -> Fraction {
        let mut state = self.state.lock();
        let part = &mut state.partitions[usize::from(slot.0)];
        part.is_shrinking = weight < part.fraction;
        let held = part.fraction;
        if weight >= held {
            return held;
        }
        let mut left = weight;
        self.shares.for_each(|account, share| {
            if Partition::of(account) == slot {
                share.advance(state.share_context(account, now));
                left = left.max(share.lent());
            }
        });
        let left = left.min(held);
        let part = &mut state.partitions[usize::from(slot.0)];
        part.fraction = left;
        part.is_shrinking = left > weight;
        self.set_owned(&state, slot, left, now);
        left
    }

    fn set_owned(&self, state: &TableState, slot: Partition, weight: Fraction, now: Duration) {
        self.shares.for_each(|account, share| {
            if Partition::of(account) == slot {
                share.set_owned(weight, state.share_context(account, now));
            }
        });
    }
}
