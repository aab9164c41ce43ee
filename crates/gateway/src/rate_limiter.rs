//! This instance's parts of the client accounts' limits.

use std::collections::HashMap;
use std::time::Duration;

use chiverelay_decisions::allowance::AllowanceStatus;
use chiverelay_decisions::allowance::LocalAllowance;
use chiverelay_decisions::allowance::Shortfall;
use chiverelay_decisions::allowance::TokenTransfer;
use chiverelay_decisions::allowance::Tolerance;
use chiverelay_decisions::catalog::AccountSpec;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::window::Divisor;
use chiverelay_sibling::AccountPart;

/// Time after which what an instance said of its parts is of no use.
const STATUS_TTL: Duration = Duration::from_secs(15);

#[derive(Debug, Default)]
struct LimiterState {
    shares: HashMap<Account, LocalAllowance>,
    peers: HashMap<Instance, PeerShares>,
}

#[derive(Debug)]
struct PeerShares {
    received_at: Duration,
    shares: HashMap<Account, AllowanceStatus>,
}

/// This instance's parts of the client accounts' limits.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    tolerance: Tolerance,
    state: RankedMutex<LimiterState>,
}

impl RateLimiter {
    pub(crate) fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            state: RankedMutex::new(LockRank::Accounts, LimiterState::default()),
        }
    }

    /// Takes a request's tokens from an account.
    ///
    /// # Errors
    ///
    /// Says what the own part lacks.
    pub(crate) fn try_take(
        &self,
        account: &AccountSpec,
        tokens: u64,
        divisor: Divisor,
        now: Duration,
    ) -> Result<(), Shortfall> {
        let Some(limit) = account.limit else {
            return Ok(());
        };
        let mut state = self.state.lock();
        let new_share = || LocalAllowance::empty(limit, self.tolerance, divisor, now);
        let share = state
            .shares
            .entry(account.name.clone())
            .or_insert_with(new_share);
        share.take(tokens as f64, now)
    }

    /// Gives back the tokens of a request that did not run.
    pub(crate) fn refund(&self, account: &Account, tokens: u64, now: Duration) {
        if let Some(share) = self.state.lock().shares.get_mut(account) {
            share.refund(tokens as f64, now);
        }
    }

    /// Takes over the limits of a catalog, and the number of instances.
    pub(crate) fn configure<'a, I>(&self, accounts: I, divisor: Divisor, now: Duration)
    where
        I: IntoIterator<Item = &'a AccountSpec>,
    {
        let mut state = self.state.lock();
        for account in accounts {
            let Some(limit) = account.limit else {
                state.shares.remove(&account.name);
                continue;
            };
            let new_share = || LocalAllowance::empty(limit, self.tolerance, divisor, now);
            let share = state
                .shares
                .entry(account.name.clone())
                .or_insert_with(new_share);
            share.configure(limit, self.tolerance, divisor, now);
        }
    }

    /// Returns what the other instances are told.
    pub(crate) fn share_statuses(&self, now: Duration) -> Vec<AccountPart> {
        let mut state = self.state.lock();
        let status = |(account, share): (&Account, &mut LocalAllowance)| AccountPart {
            account: account.clone(),
            status: share.status(now),
        };
        state.shares.iter_mut().map(status).collect()
    }

    /// Notes what another instance says of its parts.
    pub(crate) fn record_peer_shares(
        &self,
        from: &Instance,
        shares: Vec<AccountPart>,
        now: Duration,
    ) {
        let shares = shares.into_iter().map(|p| (p.account, p.status)).collect();
        let peer = PeerShares {
            received_at: now,
            shares,
        };
        self.state.lock().peers.insert(from.clone(), peer);
    }

    /// Takes tokens from the own part for an instance that asks for them.
    pub(crate) fn lend(&self, asked: &TokenTransfer, now: Duration) -> TokenTransfer {
        let mut state = self.state.lock();
        let share = state.shares.get_mut(&asked.account);
        let tokens = share.map_or(0.0, |share| share.lend(f64::from(asked.tokens), now));
        TokenTransfer {
            account: asked.account.clone(),
            tokens: tokens as f32,
        }
    }

    /// Lists the instances that said they have tokens of an account, those
    /// with most first.
    pub(crate) fn lenders(&self, account: &Account, now: Duration) -> Vec<(Instance, f32)> {
        let state = self.state.lock();
        let fresh = state
            .peers
            .iter()
            .filter(|(_, t)| t.received_at + STATUS_TTL > now);
        let level = |(name, peer): (&Instance, &PeerShares)| {
            let status = peer.shares.get(account)?;
            (status.level >= 1.0).then(|| (name.clone(), status.level))
        };
        let mut lenders: Vec<_> = fresh.filter_map(level).collect();
        lenders.sort_by(|a, b| b.1.total_cmp(&a.1));
        lenders
    }

    /// Takes tokens that another instance gives.
    pub(crate) fn receive(&self, gifts: Vec<TokenTransfer>, now: Duration) {
        let mut state = self.state.lock();
        for gift in gifts {
            if let Some(share) = state.shares.get_mut(&gift.account) {
                share.receive(f64::from(gift.tokens), now);
            }
        }
    }

    /// Takes tokens from the own parts for the instances that are short.
    pub(crate) fn give_surplus(&self, now: Duration) -> HashMap<Instance, Vec<TokenTransfer>> {
        let mut state = self.state.lock();
        let LimiterState { shares, peers } = &mut *state;
        peers.retain(|_, peer| peer.received_at + STATUS_TTL > now);
        let mut gifts: HashMap<Instance, Vec<TokenTransfer>> = HashMap::new();
        for (account, share) in shares {
            let status_of = |(name, peer): (&'_ Instance, &'_ PeerShares)| {
                peer.shares
                    .get(account)
                    .map(|status| (name.clone(), *status))
            };
            let others: Vec<_> = peers.iter().filter_map(status_of).collect();
            let others: Vec<_> = others
                .iter()
                .map(|(name, status)| (name, *status))
                .collect();
            for (i, tokens) in share.transfer_surplus(&others, now) {
                gifts
                    .entry(others[i].0.clone())
                    .or_default()
                    .push(TokenTransfer {
                        account: account.clone(),
                        tokens: tokens as f32,
                    });
            }
        }
        gifts
    }
}
