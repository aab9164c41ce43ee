//! Rate limits of client accounts. Each instance has an allowance, which is its
//! share of the limit; instances transfer tokens between their allowances.

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

/// Time after which an instance's report on its allowances is ignored.
const REPORT_TTL: Duration = Duration::from_secs(15);

#[derive(Debug, Default)]
struct LimiterState {
    allowances: HashMap<Account, LocalAllowance>,
    reports: HashMap<Instance, ReportedAllowances>,
}

/// The last report of another instance on its allowances.
#[derive(Debug)]
struct ReportedAllowances {
    received_at: Duration,
    allowances: HashMap<Account, AllowanceStatus>,
}

/// This instance's allowances, one for each client account with a limit.
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

    /// Takes the tokens for a request from this instance's allowance for an
    /// account. An account without a limit is not charged.
    ///
    /// # Errors
    ///
    /// Returns the shortfall if the allowance has too few tokens.
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
        let new_allowance = || LocalAllowance::empty(limit, self.tolerance, divisor, now);
        let allowance = state
            .allowances
            .entry(account.name.clone())
            .or_insert_with(new_allowance);
        allowance.take(tokens as f64, now)
    }

    /// Puts the tokens of a request that did not run back into the allowance.
    pub(crate) fn refund(&self, account: &Account, tokens: u64, now: Duration) {
        if let Some(allowance) = self.state.lock().allowances.get_mut(account) {
            allowance.refund(tokens as f64, now);
        }
    }

    /// Applies the limits of a catalog, divided by the number of instances.
    pub(crate) fn configure<'a, I>(&self, accounts: I, divisor: Divisor, now: Duration)
    where
        I: IntoIterator<Item = &'a AccountSpec>,
    {
        let mut state = self.state.lock();
        for account in accounts {
            let Some(limit) = account.limit else {
                state.allowances.remove(&account.name);
                continue;
            };
            let new_allowance = || LocalAllowance::empty(limit, self.tolerance, divisor, now);
            let allowance = state
                .allowances
                .entry(account.name.clone())
                .or_insert_with(new_allowance);
            allowance.configure(limit, self.tolerance, divisor, now);
        }
    }

    /// Returns the state of this instance's allowances, as it is reported to
    /// the other instances.
    pub(crate) fn allowance_statuses(&self, now: Duration) -> Vec<AccountPart> {
        let mut state = self.state.lock();
        let status = |(account, allowance): (&Account, &mut LocalAllowance)| AccountPart {
            account: account.clone(),
            status: allowance.status(now),
        };
        state.allowances.iter_mut().map(status).collect()
    }

    /// Stores another instance's report on its allowances.
    pub(crate) fn record_reported_allowances(
        &self,
        from: &Instance,
        allowances: Vec<AccountPart>,
        now: Duration,
    ) {
        let allowances = allowances
            .into_iter()
            .map(|p| (p.account, p.status))
            .collect();
        let report = ReportedAllowances {
            received_at: now,
            allowances,
        };
        self.state.lock().reports.insert(from.clone(), report);
    }

    /// Forgets the reports of other instances, which are no longer sent here.
    pub(crate) fn forget_reports(&self) {
        self.state.lock().reports.clear();
    }

    /// Takes tokens from this instance's allowance for another instance that
    /// asks for them. The result may hold fewer tokens than requested, or none.
    pub(crate) fn lend(&self, requested: &TokenTransfer, now: Duration) -> TokenTransfer {
        let mut state = self.state.lock();
        let allowance = state.allowances.get_mut(&requested.account);
        let tokens = allowance.map_or(0.0, |allowance| {
            allowance.transfer_requested(f64::from(requested.tokens), now)
        });
        TokenTransfer {
            account: requested.account.clone(),
            tokens: tokens as f32,
        }
    }

    /// Takes borrowed tokens from this instance's allowance that are given back
    /// to their lender: `None` if none are left.
    pub(crate) fn give_back(
        &self,
        borrowed: &TokenTransfer,
        now: Duration,
    ) -> Option<TokenTransfer> {
        let mut state = self.state.lock();
        let allowance = state.allowances.get_mut(&borrowed.account)?;
        let tokens = allowance.give_back(f64::from(borrowed.tokens), now);
        (tokens >= 1.0).then(|| TokenTransfer {
            account: borrowed.account.clone(),
            tokens: tokens as f32,
        })
    }

    /// Lists the instances that recently reported available tokens for an
    /// account, with their token counts, in descending order of these.
    pub(crate) fn list_lenders(&self, account: &Account, now: Duration) -> Vec<(Instance, f32)> {
        let state = self.state.lock();
        let fresh = state
            .reports
            .iter()
            .filter(|(_, report)| report.received_at + REPORT_TTL > now);
        let available = |(name, report): (&Instance, &ReportedAllowances)| {
            let status = report.allowances.get(account)?;
            (status.level >= 1.0).then(|| (name.clone(), status.level))
        };
        let mut lenders: Vec<_> = fresh.filter_map(available).collect();
        lenders.sort_by(|a, b| b.1.total_cmp(&a.1));
        lenders
    }

    /// Adds tokens from another instance to this instance's allowances.
    pub(crate) fn receive_transfers(&self, transfers: Vec<TokenTransfer>, now: Duration) {
        let mut state = self.state.lock();
        for transfer in transfers {
            if let Some(allowance) = state.allowances.get_mut(&transfer.account) {
                allowance.receive(f64::from(transfer.tokens), now);
            }
        }
    }

    /// Takes surplus tokens from this instance's allowances, and returns them
    /// as transfers to the instances that reported a shortage. The caller sends
    /// them.
    pub(crate) fn take_surplus(&self, now: Duration) -> HashMap<Instance, Vec<TokenTransfer>> {
        let mut state = self.state.lock();
        let LimiterState {
            allowances,
            reports,
        } = &mut *state;
        reports.retain(|_, report| report.received_at + REPORT_TTL > now);
        let mut transfers: HashMap<Instance, Vec<TokenTransfer>> = HashMap::new();
        for (account, allowance) in allowances {
            let status_of = |(name, report): (&'_ Instance, &'_ ReportedAllowances)| {
                report
                    .allowances
                    .get(account)
                    .map(|status| (name.clone(), *status))
            };
            let statuses: Vec<_> = reports.iter().filter_map(status_of).collect();
            let status_refs: Vec<_> = statuses
                .iter()
                .map(|(name, status)| (name, *status))
                .collect();
            for (index, tokens) in allowance.transfer_surplus(&status_refs, now) {
                transfers
                    .entry(status_refs[index].0.clone())
                    .or_default()
                    .push(TokenTransfer {
                        account: account.clone(),
                        tokens: tokens as f32,
                    });
            }
        }
        transfers
    }
}
