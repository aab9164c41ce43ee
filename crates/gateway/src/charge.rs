//! Charges a client account, with tokens of other instances if the own part is
//! short of them.

use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::allowance::Shortfall;
use chiverelay_decisions::allowance::TokenTransfer;
use chiverelay_decisions::catalog::AccountSpec;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_sibling::Message;
use futures_util::future::join_all;

use crate::Dialect;
use crate::Gateway;

/// Time after which a client account that can never have enough may have more.
const OVERSIZED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Instances that are asked at once for one request.
const MAX_LENDERS: usize = 12;

/// Rounds of asking for one request.
const MAX_ROUNDS: usize = 5;

/// The first rounds, which ask instances of the own region.
const OWN_REGION_ROUNDS: usize = 3;

/// Factor on what is asked for.
const BORROW_FACTOR: f64 = 1.25;

/// Time for an instance to answer.
const BORROW_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the own part to fill.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(150);

/// Shortest wait for it, as many requests may wait for the same tokens.
const MIN_REFILL_WAIT: Duration = Duration::from_millis(5);

/// Waits for one request.
const MAX_REFILL_WAITS: usize = 3;

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Charges an account for a request.
    ///
    /// # Errors
    ///
    /// Refuses the request if there are too few tokens here and at the
    /// instances that were asked, and will be for longer than a moment.
    pub(crate) async fn charge_account(
        &self,
        account: &AccountSpec,
        id: &RequestId,
        tokens: u64,
    ) -> Result<(), Refusal> {
        let Err(mut lacking) = self.try_take_tokens(account, tokens) else {
            return Ok(());
        };
        let mut asked = HashSet::new();
        for round in 0..MAX_ROUNDS {
            let is_own_region = round < OWN_REGION_ROUNDS;
            let lenders =
                self.choose_lenders(&account.name, is_own_region, &asked, lacking.missing);
            if lenders.is_empty() {
                continue;
            }
            asked.extend(lenders.iter().map(|(lender, _)| lender.clone()));
            let requests = lenders.into_iter().map(|(lender, tokens)| {
                let account = account.name.clone();
                self.borrow(lender, TokenTransfer { account, tokens })
            });
            join_all(requests).await;
            match self.try_take_tokens(account, tokens) {
                Ok(()) => return Ok(()),
                Err(lack) => lacking = lack,
            }
        }
        // What the own part fills with in a moment is waited for.
        for _ in 0..MAX_REFILL_WAITS {
            let Some(wait) = lacking.wait.filter(|wait| *wait <= MAX_REFILL_WAIT) else {
                break;
            };
            tokio::time::sleep(wait.max(MIN_REFILL_WAIT)).await;
            match self.try_take_tokens(account, tokens) {
                Ok(()) => return Ok(()),
                Err(lack) => lacking = lack,
            }
        }
        Err(refuse_over_limit(account, id, tokens, &lacking))
    }

    fn try_take_tokens(&self, account: &AccountSpec, tokens: u64) -> Result<(), Shortfall> {
        let divisor = self.members.divisor();
        let now = self.clock.now();
        self.rate_limiter.try_take(account, tokens, divisor, now)
    }

    /// Lists instances of the own region, or of others, that said they have
    /// tokens and were not asked yet, and how many to ask each for.
    fn choose_lenders(
        &self,
        account: &Account,
        is_own_region: bool,
        asked: &HashSet<Instance>,
        missing: f64,
    ) -> Vec<(Instance, f32)> {
        let now = self.clock.now();
        let in_region = self.members.list_ready_in(&self.settings.region, now);
        let mut lenders = self.rate_limiter.lenders(account, now);
        lenders
            .retain(|(name, _)| in_region.contains(name) == is_own_region && !asked.contains(name));
        divide_among_lenders(lenders, missing)
    }

    /// Asks an instance for tokens.
    async fn borrow(&self, lender: Instance, asked: TokenTransfer) {
        let Some(link) = self.links.get(&lender) else {
            return;
        };
        let request = link.ask(Stamp::default(), Message::AskTokens(asked));
        let answer = tokio::time::timeout(BORROW_TIMEOUT, request).await;
        match answer {
            Ok(Ok(envelope)) => {
                if let Message::Tokens(gift) = envelope.message {
                    self.rate_limiter.receive(vec![gift], self.clock.now());
                }
            }
            Ok(Err(e)) => log::debug!(target: "limits", error:% = e; "no loan"),
            Err(_) => {
                log::debug!(target: "limits", instance = lender.as_str(); "no loan in time");
            }
        }
    }
}

/// Takes lenders until they have what is missing with something to spare, as
/// what they said is not new. Those with most come first.
fn divide_among_lenders(lenders: Vec<(Instance, f32)>, missing: f64) -> Vec<(Instance, f32)> {
    let mut needed = missing * BORROW_FACTOR + 1.0;
    let mut asked = Vec::new();
    for (name, level) in lenders.into_iter().take(MAX_LENDERS) {
        if needed <= 0.0 {
            break;
        }
        let tokens = f64::from(level).min(needed);
        needed -= tokens;
        asked.push((name, tokens as f32));
    }
    asked
}

fn refuse_over_limit(
    account: &AccountSpec,
    id: &RequestId,
    tokens: u64,
    lacking: &Shortfall,
) -> Refusal {
    log::info!(
        target: "limits",
        id = id.as_str(),
        account = account.name.as_str(),
        tokens,
        level = lacking.level as u64,
        part_per_s = lacking.rate as u64,
        limit_per_s = account.limit.map_or(0, |limit| limit.rate as u64);
        "over the limit"
    );
    let refusal = Refusal::not_run(Code::RateLimited, Step::Admit, Peer::Local);
    refusal.retry_after(lacking.wait.unwrap_or(OVERSIZED_RETRY_AFTER))
}
