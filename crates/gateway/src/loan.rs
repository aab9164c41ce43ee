//! Loans of tokens between hubs, for requests that are larger than a hub's
//! share of an account's limit.

use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::allowance::Shortfall;
use chiverelay_decisions::allowance::TokenTransfer;
use chiverelay_decisions::catalog::AccountSpec;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Instance;
use chiverelay_sibling::Message;
use futures_util::future::join_all;

use crate::Dialect;
use crate::Gateway;

/// Maximum number of instances that are asked at the same time for one request.
const MAX_LENDERS: usize = 12;

/// Maximum number of borrowing rounds for one request.
const MAX_ROUNDS: usize = 5;

/// Number of rounds, at the start, that ask only instances in this region.
const OWN_REGION_ROUNDS: usize = 3;

/// Multiple of the missing tokens that is requested from other instances, as
/// their reported token counts may be out of date.
const BORROW_FACTOR: f64 = 1.25;

/// Time limit for an instance to answer a request for tokens.
const BORROW_TIMEOUT: Duration = Duration::from_millis(300);

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Borrows what is missing for a request, and takes its tokens. What was
    /// borrowed in vain is given back.
    ///
    /// # Errors
    ///
    /// Fails if this instance and those it asked have too few tokens. Where all
    /// together are known to have too few, none is asked, and the wait is that
    /// until they have enough.
    pub(crate) async fn borrow_and_take(
        &self,
        account: &AccountSpec,
        tokens: u64,
        mut shortfall: Shortfall,
    ) -> Result<(), Shortfall> {
        let lenders = self
            .rate_limiter
            .list_lenders(&account.name, self.clock.now());
        let lendable: f64 = lenders.iter().map(|(_, tokens)| f64::from(*tokens)).sum();
        let missing = shortfall.missing - lendable;
        if missing > 0.0 {
            let rate = account.limit.map_or(0.0, |limit| limit.rate);
            let wait = Duration::try_from_secs_f64(missing / rate).ok();
            return Err(Shortfall { wait, ..shortfall });
        }
        let mut asked_instances = HashSet::new();
        let mut borrowed = Vec::new();
        for round in 0..MAX_ROUNDS {
            let ask_own_region = round < OWN_REGION_ROUNDS;
            let lenders = self.choose_lenders(
                &account.name,
                ask_own_region,
                &asked_instances,
                shortfall.missing,
            );
            if lenders.is_empty() {
                continue;
            }
            asked_instances.extend(lenders.iter().map(|(lender, _)| lender.clone()));
            let requests = lenders.into_iter().map(|(lender, tokens)| {
                let account = account.name.clone();
                self.borrow(lender, TokenTransfer { account, tokens })
            });
            borrowed.extend(join_all(requests).await.into_iter().flatten());
            match self.try_take_tokens(account, tokens) {
                Ok(()) => return Ok(()),
                Err(e) => shortfall = e,
            }
        }
        self.give_back(borrowed).await;
        Err(shortfall)
    }

    /// Gives tokens back that were borrowed in vain, as they would expire here.
    async fn give_back(&self, borrowed: Vec<(Instance, TokenTransfer)>) {
        for (lender, transfer) in borrowed {
            let unused = self.rate_limiter.give_back(&transfer, self.clock.now());
            if let (Some(unused), Some(link)) = (unused, self.links.get(&lender))
                && let Err(e) = link.tell(Message::Refund(unused)).await
            {
                log::debug!(target: "limits", error:% = e; "tokens not given back");
            }
        }
    }

    /// Lists instances in this region, or in others, that recently reported
    /// available tokens and were not asked yet, with the number of tokens to
    /// ask each for.
    fn choose_lenders(
        &self,
        account: &Account,
        ask_own_region: bool,
        asked_instances: &HashSet<Instance>,
        missing: f64,
    ) -> Vec<(Instance, f32)> {
        let now = self.clock.now();
        let in_region = self.members.list_ready_in(&self.settings.region, now);
        let mut lenders = self.rate_limiter.list_lenders(account, now);
        lenders.retain(|(name, _)| {
            in_region.contains(name) == ask_own_region && !asked_instances.contains(name)
        });
        divide_among_lenders(lenders, missing)
    }

    /// Asks an instance for tokens, adds what it gives to the allowance and
    /// returns it.
    async fn borrow(
        &self,
        lender: Instance,
        requested: TokenTransfer,
    ) -> Option<(Instance, TokenTransfer)> {
        let link = self.links.get(&lender)?;
        let request = link.ask(Stamp::default(), Message::AskTokens(requested));
        let answer = tokio::time::timeout(BORROW_TIMEOUT, request).await;
        match answer {
            Ok(Ok(envelope)) => {
                let Message::Tokens(transfer) = envelope.message else {
                    return None;
                };
                self.rate_limiter
                    .receive_transfers(vec![transfer.clone()], self.clock.now());
                return Some((lender, transfer));
            }
            Ok(Err(e)) => log::debug!(target: "limits", error:% = e; "could not borrow tokens"),
            Err(_) => {
                log::debug!(target: "limits", instance = lender.as_str(); "request for tokens timed out");
            }
        }
        None
    }
}

/// Divides the missing tokens, times [`BORROW_FACTOR`] and plus one, among as
/// few lenders as possible, and returns the number of tokens to ask each for.
/// Lenders are expected in descending order of their token counts.
fn divide_among_lenders(lenders: Vec<(Instance, f32)>, missing: f64) -> Vec<(Instance, f32)> {
    let mut needed = missing * BORROW_FACTOR + 1.0;
    let mut shares = Vec::new();
    for (name, available) in lenders.into_iter().take(MAX_LENDERS) {
        if needed <= 0.0 {
            break;
        }
        let tokens = f64::from(available).min(needed);
        needed -= tokens;
        shares.push((name, tokens as f32));
    }
    shares
}
