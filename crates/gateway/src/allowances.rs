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
const TOLD_LIFE: Duration = Duration::from_secs(15);

#[derive(Debug, Default)]
struct State {
    parts: HashMap<Account, LocalAllowance>,
    told: HashMap<Instance, Told>,
}

#[derive(Debug)]
struct Told {
    heard: Duration,
    parts: HashMap<Account, AllowanceStatus>,
}

/// This instance's parts of the client accounts' limits.
#[derive(Debug)]
pub(crate) struct Allowances {
    tolerance: Tolerance,
    state: RankedMutex<State>,
}

impl Allowances {
    pub(crate) fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            state: RankedMutex::new(LockRank::Accounts, State::default()),
        }
    }

    /// Takes a request's tokens from an account.
    ///
    /// # Errors
    ///
    /// Says what the own part lacks.
    pub(crate) fn take(
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
        let make = || LocalAllowance::empty(limit, self.tolerance, divisor, now);
        let part = state.parts.entry(account.name.clone()).or_insert_with(make);
        part.take(tokens as f64, now)
    }

    /// Gives back the tokens of a request that did not run.
    pub(crate) fn refund(&self, account: &Account, tokens: u64, now: Duration) {
        if let Some(part) = self.state.lock().parts.get_mut(account) {
            part.refund(tokens as f64, now);
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
                state.parts.remove(&account.name);
                continue;
            };
            let make = || LocalAllowance::empty(limit, self.tolerance, divisor, now);
            let part = state.parts.entry(account.name.clone()).or_insert_with(make);
            part.configure(limit, self.tolerance, divisor, now);
        }
    }

    /// Returns what the other instances are told.
    pub(crate) fn status(&self, now: Duration) -> Vec<AccountPart> {
        let mut state = self.state.lock();
        let status = |(account, part): (&Account, &mut LocalAllowance)| AccountPart {
            account: account.clone(),
            status: part.status(now),
        };
        state.parts.iter_mut().map(status).collect()
    }

    /// Notes what another instance says of its parts.
    pub(crate) fn tell(&self, from: &Instance, parts: Vec<AccountPart>, now: Duration) {
        let parts = parts.into_iter().map(|p| (p.account, p.status)).collect();
        let told = Told { heard: now, parts };
        self.state.lock().told.insert(from.clone(), told);
    }

    /// Takes tokens from the own part for an instance that asks for them.
    pub(crate) fn lend(&self, asked: &TokenTransfer, now: Duration) -> TokenTransfer {
        let mut state = self.state.lock();
        let part = state.parts.get_mut(&asked.account);
        let tokens = part.map_or(0.0, |part| part.lend(f64::from(asked.tokens), now));
        TokenTransfer {
            account: asked.account.clone(),
            tokens: tokens as f32,
        }
    }

    /// Lists the instances that said they have tokens of an account, those
    /// with most first.
    pub(crate) fn lenders(&self, account: &Account, now: Duration) -> Vec<(Instance, f32)> {
        let state = self.state.lock();
        let fresh = state.told.iter().filter(|(_, t)| t.heard + TOLD_LIFE > now);
        let level = |(name, told): (&Instance, &Told)| {
            let status = told.parts.get(account)?;
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
            if let Some(part) = state.parts.get_mut(&gift.account) {
                part.receive(f64::from(gift.tokens), now);
            }
        }
    }

    /// Takes tokens from the own parts for the instances that are short.
    pub(crate) fn give(&self, now: Duration) -> HashMap<Instance, Vec<TokenTransfer>> {
        let mut state = self.state.lock();
        let State { parts, told } = &mut *state;
        told.retain(|_, told| told.heard + TOLD_LIFE > now);
        let mut gifts: HashMap<Instance, Vec<TokenTransfer>> = HashMap::new();
        for (account, part) in parts {
            let said = |(name, told): (&'_ Instance, &'_ Told)| {
                told.parts
                    .get(account)
                    .map(|status| (name.clone(), *status))
            };
            let others: Vec<_> = told.iter().filter_map(said).collect();
            let others: Vec<_> = others
                .iter()
                .map(|(name, status)| (name, *status))
                .collect();
            for (at, tokens) in part.transfer_surplus(&others, now) {
                gifts
                    .entry(others[at].0.clone())
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
