//! All shares of one instance, under its lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Ask;
use super::GivenBack;
use super::Held;
use super::LOAN_TIME;
use super::Lease;
use super::Lend;
use super::LoanId;
use super::Moment;
use super::Receipt;
use super::Return;
use super::Share;
use super::Short;
use super::Slot;
use super::Weight;
use super::homes::SLOTS;
use super::share::Lent;
use super::weight::Limit;
use crate::config::Config;
use crate::names::Account;
use crate::names::Instance;
use crate::tables::LockRank;
use crate::tables::RankedMutex;
use crate::tables::ShardedMap;

/// Most asks that wait for an answer at once.
const MAX_PENDING: usize = 4096;

/// What the instance holds of one slot.
///
/// # Invariants
///
/// `weight` is at most what the ledger says. An account without a share in
/// the table has not been spent from since `since`.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    weight: Weight,
    since: Duration,
    full: bool,
    closing: bool,
}

#[derive(Clone, Debug)]
struct Pending {
    to: Instance,
    sent: Duration,
}

/// # Invariants
///
/// A part with a weight is backed by `lease`; the parts are cleared before a
/// lapsed lease is replaced.
#[derive(Debug)]
struct State {
    config: Arc<Config>,
    lease: Lease,
    parts: Vec<Part>,
    pending: BTreeMap<u64, Pending>,
    sequence: u64,
    generation: u64,
}

/// All shares of one instance.
///
/// The state is locked before the shares, and held while one is used, so that
/// no share is made from a part that has lapsed meanwhile.
#[derive(Debug)]
pub struct Book {
    incarnation: u64,
    state: RankedMutex<State>,
    shares: ShardedMap<Account, Share<Held>>,
}

impl State {
    fn limit(&self, account: &Account) -> Limit {
        let entry = self.config.accounts.get(account);
        entry.map_or_else(Limit::default, |e| Limit {
            rate: e.rate,
            burst: e.burst,
        })
    }

    fn holds(&self) -> bool {
        self.parts.iter().any(|p| !p.weight.is_none())
    }

    fn moment(&self, account: &Account, now: Duration) -> Moment {
        Moment {
            limit: self.limit(account),
            lease: self.lease,
            now,
        }
    }

    fn part(&self, account: &Account) -> Part {
        self.parts[usize::from(Slot::of(account).0)]
    }

    fn open(&mut self, account: &Account, now: Duration) -> Share<Held> {
        self.generation += 1;
        let (part, limit) = (self.part(account), self.limit(account));
        let since = part.since.min(now);
        if part.full {
            return Share::full(self.generation, part.weight, limit, since);
        }
        Share::empty(self.generation, part.weight, limit, since)
    }
}

impl Book {
    /// Makes the book of an instance that holds nothing.
    ///
    /// `incarnation` differs from that of any other process.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            state: RankedMutex::new(
                LockRank::Shares,
                State {
                    config: Arc::new(Config::default()),
                    lease: Lease::default(),
                    parts: vec![Part::default(); usize::from(SLOTS)],
                    pending: BTreeMap::new(),
                    sequence: 0,
                    generation: 0,
                },
            ),
            shares: ShardedMap::new(LockRank::Accounts),
        }
    }

    fn with<R, F>(&self, account: &Account, now: Duration, f: F) -> R
    where
        F: FnOnce(&mut Share<Held>, Moment) -> R,
    {
        let mut state = self.state.lock();
        let at = state.moment(account, now);
        let open = || state.open(account, now);
        self.shares
            .with_or_insert(account, open, |share| f(share, at))
    }

    /// Puts the limits of a newer configuration in force.
    pub fn configure(&self, config: &Arc<Config>, now: Duration) {
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
            if state.part(account).weight.is_none() {
                continue;
            }
            let at = state.moment(account, now);
            let open = || state.open(account, now);
            self.shares
                .with_or_insert(account, open, |share| share.advance(at));
        }
        state.config = Arc::clone(config);
        for account in &changed {
            let at = state.moment(account, now);
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
    pub fn take(&self, account: &Account, tokens: u64, now: Duration) -> Result<Receipt, Short> {
        self.with(account, now, |share, at| share.take(tokens, at))
    }

    /// Ends a charge of which `used` tokens were used.
    pub fn settle(&self, account: &Account, receipt: &Receipt, used: u64, now: Duration) {
        self.with(account, now, |share, at| {
            share.settle(receipt, used, at);
        });
    }

    /// Returns the nano-tokens held of an account.
    pub fn level(&self, account: &Account, now: Duration) -> u128 {
        self.with(account, now, |share, at| {
            share.advance(at);
            share.level()
        })
    }

    /// Asks `to` for tokens.
    pub fn ask(&self, account: &Account, to: &Instance, tokens: u128, now: Duration) -> Ask {
        let mut state = self.state.lock();
        state.sequence += 1;
        let sequence = state.sequence;
        // The oldest come first.
        while let Some(oldest) = state.pending.first_entry() {
            let ended = oldest.get().sent + LOAN_TIME <= now;
            if !ended && state.pending.len() < MAX_PENDING {
                break;
            }
            state.pending.pop_first();
        }
        let to = to.clone();
        state.pending.insert(sequence, Pending { to, sent: now });
        Ask {
            id: LoanId {
                incarnation: self.incarnation,
                sequence,
            },
            account: account.clone(),
            tokens,
        }
    }

    /// Answers a sibling's ask.
    pub fn lend(&self, from: &Instance, ask: &Ask, now: Duration) -> Option<Lend> {
        if self.is_closing(Slot::of(&ask.account)) {
            return None;
        }
        let lent = self.with(&ask.account, now, |share, at| {
            share.lend(ask.id, from, ask.tokens, at)
        })?;
        Some(Lend {
            id: ask.id,
            account: ask.account.clone(),
            weight: lent.weight,
            tokens: lent.tokens,
            valid: lent.valid,
        })
    }

    /// Takes what a sibling lends, once for each ask.
    pub fn accept(&self, lend: &Lend, now: Duration) -> bool {
        if lend.id.incarnation != self.incarnation {
            return false;
        }
        let pending = self.state.lock().pending.remove(&lend.id.sequence);
        let Some(pending) = pending else {
            return false;
        };
        let until = pending.sent + lend.valid;
        let lent = Lent {
            weight: lend.weight,
            tokens: lend.tokens,
            valid: lend.valid,
        };
        self.with(&lend.account, now, |share, at| {
            share.accept(lend.id, &pending.to, &lent, until, at)
        })
    }

    /// Takes back what a sibling returns.
    pub fn restore(&self, back: &Return, now: Duration) -> bool {
        self.with(&back.account, now, |share, at| {
            share.restore(back.id, back.tokens, at)
        })
    }

    /// Gives back every loan that is not lent on.
    pub fn give_back_all(&self, now: Duration) -> Vec<(Instance, Return)> {
        let state = self.state.lock();
        self.give_back(&state, now, Share::give_back_any)
    }

    fn give_back<F>(&self, state: &State, now: Duration, give: F) -> Vec<(Instance, Return)>
    where
        F: Fn(&mut Share<Held>, Moment) -> Option<GivenBack>,
    {
        let mut returns = Vec::new();
        self.shares.for_each(|account, share| {
            let at = state.moment(account, now);
            while let Some(back) = give(share, at) {
                let message = Return {
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
    pub fn sweep(&self, now: Duration) -> Vec<(Instance, Return)> {
        let state = self.state.lock();
        let returns = self.give_back(&state, now, Share::give_back);
        self.shares.retain(|account, share| {
            let full = share.is_untouched() && state.config.accounts.contains_key(account);
            let settled = state.part(account).since + share.time_to_fill() <= now;
            !(full && settled)
        });
        returns
    }

    /// Returns the lease.
    pub fn lease(&self) -> Lease {
        self.state.lock().lease
    }

    /// Tells whether any part is held.
    pub fn holds(&self) -> bool {
        self.state.lock().holds()
    }

    /// Extends a lease that has not lapsed.
    ///
    /// A lapsed one stays lapsed: the parts have to be given up first.
    pub fn extend(&self, lease: Lease, now: Duration) -> bool {
        let mut state = self.state.lock();
        if state.holds() && state.lease.has_lapsed(now) {
            return false;
        }
        state.lease.until = state.lease.until.max(lease.until);
        true
    }

    /// Gives up every part.
    pub fn lapse(&self, now: Duration) {
        let mut state = self.state.lock();
        state.parts.fill(Part::default());
        self.shares.for_each(|account, share| {
            share.set_base(Weight::NONE, state.moment(account, now));
        });
        self.shares.retain(|_, share| !share.is_spent());
    }

    /// Returns the weight held of a slot.
    pub fn weight(&self, slot: Slot) -> Weight {
        self.state.lock().parts[usize::from(slot.0)].weight
    }

    fn is_closing(&self, slot: Slot) -> bool {
        self.state.lock().parts[usize::from(slot.0)].closing
    }

    /// Takes the weight that the ledger now says is held of a slot.
    ///
    /// The ledger was changed by this instance's own compare-and-swap. What is
    /// added starts empty, unless nobody held it before.
    pub fn grow(&self, slot: Slot, weight: Weight, full: bool, now: Duration) {
        let mut state = self.state.lock();
        let part = &mut state.parts[usize::from(slot.0)];
        if weight <= part.weight {
            return;
        }
        part.since = now;
        part.full = full && part.weight.is_none();
        part.weight = weight;
        part.closing = false;
        if part.full {
            // Shares that hold nothing are made anew, full, when used.
            self.shares
                .retain(|account, share| Slot::of(account) != slot || !share.is_spent());
        }
        self.set_base(&state, slot, weight, now);
    }

    /// Gives up what is held of a slot above `weight`, before the ledger says so.
    ///
    /// What is on loan of any account is kept until the loan ends, and nothing
    /// more is lent. Returns the weight still held.
    pub fn shrink(&self, slot: Slot, weight: Weight, now: Duration) -> Weight {
        let mut state = self.state.lock();
        let part = &mut state.parts[usize::from(slot.0)];
        part.closing = weight < part.weight;
        let held = part.weight;
        if weight >= held {
            return held;
        }
        let mut left = weight;
        self.shares.for_each(|account, share| {
            if Slot::of(account) == slot {
                share.advance(state.moment(account, now));
                left = left.max(share.given());
            }
        });
        let left = left.min(held);
        let part = &mut state.parts[usize::from(slot.0)];
        part.weight = left;
        part.closing = left > weight;
        self.set_base(&state, slot, left, now);
        left
    }

    fn set_base(&self, state: &State, slot: Slot, weight: Weight, now: Duration) {
        self.shares.for_each(|account, share| {
            if Slot::of(account) == slot {
                share.set_base(weight, state.moment(account, now));
            }
        });
    }
}
