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
const NEVER_RETRY: Duration = Duration::from_secs(2);

/// Instances that are asked at once for one request.
const MAX_LENDERS: usize = 12;

/// Rounds of asking for one request.
const ROUNDS: usize = 5;

/// The first rounds, which ask instances of the own region.
const NEAR_ROUNDS: usize = 3;

/// Factor on what is asked for.
const SPARE: f64 = 1.25;

/// Time for an instance to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the own part to fill.
const MAX_FILL_WAIT: Duration = Duration::from_millis(150);

/// Shortest wait for it, as many requests may wait for the same tokens.
const MIN_FILL_WAIT: Duration = Duration::from_millis(5);

/// Waits for one request.
const FILL_WAITS: usize = 3;

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
    pub(crate) async fn charge(
        &self,
        account: &AccountSpec,
        id: &RequestId,
        tokens: u64,
    ) -> Result<(), Refusal> {
        let Err(mut lacking) = self.take_tokens(account, tokens) else {
            return Ok(());
        };
        let mut asked = HashSet::new();
        for round in 0..ROUNDS {
            let is_near = round < NEAR_ROUNDS;
            let lenders = self.lenders(&account.name, is_near, &asked, lacking.missing);
            if lenders.is_empty() {
                continue;
            }
            asked.extend(lenders.iter().map(|(lender, _)| lender.clone()));
            let asks = lenders.into_iter().map(|(lender, tokens)| {
                let account = account.name.clone();
                self.borrow(lender, TokenTransfer { account, tokens })
            });
            join_all(asks).await;
            match self.take_tokens(account, tokens) {
                Ok(()) => return Ok(()),
                Err(still) => lacking = still,
            }
        }
        // What the own part fills with in a moment is waited for.
        for _ in 0..FILL_WAITS {
            let Some(wait) = lacking.wait.filter(|wait| *wait <= MAX_FILL_WAIT) else {
                break;
            };
            tokio::time::sleep(wait.max(MIN_FILL_WAIT)).await;
            match self.take_tokens(account, tokens) {
                Ok(()) => return Ok(()),
                Err(still) => lacking = still,
            }
        }
        Err(over_limit(account, id, tokens, &lacking))
    }

    fn take_tokens(&self, account: &AccountSpec, tokens: u64) -> Result<(), Shortfall> {
        let divisor = self.members.divisor();
        let now = self.clock.now();
        self.allowances.take(account, tokens, divisor, now)
    }

    /// Lists instances of the own region, or of others, that said they have
    /// tokens and were not asked yet, and how many to ask each for.
    fn lenders(
        &self,
        account: &Account,
        is_near: bool,
        asked: &HashSet<Instance>,
        missing: f64,
    ) -> Vec<(Instance, f32)> {
        let now = self.clock.now();
        let near = self.members.ready_in(&self.settings.region, now);
        let mut lenders = self.allowances.lenders(account, now);
        lenders.retain(|(name, _)| near.contains(name) == is_near && !asked.contains(name));
        enough(lenders, missing)
    }

    /// Asks an instance for tokens.
    async fn borrow(&self, lender: Instance, asked: TokenTransfer) {
        let Some(link) = self.links.get(&lender) else {
            return;
        };
        let asking = link.ask(Stamp::default(), Message::AskTokens(asked));
        let answer = tokio::time::timeout(ASK_TIMEOUT, asking).await;
        match answer {
            Ok(Ok(envelope)) => {
                if let Message::Tokens(gift) = envelope.message {
                    self.allowances.receive(vec![gift], self.clock.now());
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
fn enough(lenders: Vec<(Instance, f32)>, missing: f64) -> Vec<(Instance, f32)> {
    let mut wanted = missing * SPARE + 1.0;
    let mut asked = Vec::new();
    for (name, level) in lenders.into_iter().take(MAX_LENDERS) {
        if wanted <= 0.0 {
            break;
        }
        let tokens = f64::from(level).min(wanted);
        wanted -= tokens;
        asked.push((name, tokens as f32));
    }
    asked
}

fn over_limit(account: &AccountSpec, id: &RequestId, tokens: u64, lacking: &Shortfall) -> Refusal {
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
    refusal.retry_after(lacking.wait.unwrap_or(NEVER_RETRY))
}
