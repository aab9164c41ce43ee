//! Charges a client account for a request: from this instance's allowance, or
//! at a hub if this instance is none.

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
use chiverelay_sibling::ChargeReply;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::Up;

use crate::Dialect;
use crate::Gateway;
use crate::MemberState;

/// Retry delay for a request that needs more tokens than the allowance can ever
/// hold. After the delay, other instances may have tokens to lend.
const OVERSIZED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest wait for this instance's allowance to refill. A request that would
/// have to wait longer is refused.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(150);

/// Shortest wait for the allowance to refill, as several requests may be
/// waiting for the same tokens.
const MIN_REFILL_WAIT: Duration = Duration::from_millis(5);

/// Maximum number of waits for a refill for one request.
const MAX_REFILL_WAITS: usize = 3;

/// Time limit for a hub to answer a charge, in which it may ask other hubs.
const CHARGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of hubs that are asked for one charge.
const MAX_HUBS: usize = 2;

/// Retry delay for a request that no hub could charge. By then another hub has
/// taken over.
const NO_HUB_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Tokens that were charged to an account for a request.
#[derive(Clone, Debug)]
pub(crate) struct Charge {
    account: Account,
    tokens: u64,
    /// The hub that charged the account; `None` if this instance did.
    hub: Option<Instance>,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Charges an account for a request.
    ///
    /// # Errors
    ///
    /// Refuses the request if there are too few tokens, or if this instance has
    /// no share of the limit and no hub answers.
    pub(crate) async fn charge_account(
        &self,
        account: &AccountSpec,
        id: &RequestId,
        tokens: u64,
    ) -> Result<Charge, Refusal> {
        let has_share = self.account_limit_divisor(self.clock.now()).has_share();
        if account.limit.is_some() && !has_share {
            return self.charge_at_hub(account, id, tokens).await;
        }
        match self.take_or_borrow(account, tokens).await {
            Ok(()) => Ok(Charge {
                account: account.name.clone(),
                tokens,
                hub: None,
            }),
            Err(shortfall) => {
                log_shortfall(account, id, tokens, &shortfall);
                Err(refuse_over_limit(shortfall.wait))
            }
        }
    }

    /// Gives back what was charged for a request that did not run.
    pub(crate) async fn refund(&self, charge: Charge) {
        let Some(hub) = &charge.hub else {
            self.rate_limiter
                .refund(&charge.account, charge.tokens, self.clock.now());
            return;
        };
        let refund = Message::Refund(TokenTransfer {
            account: charge.account,
            tokens: charge.tokens as f32,
        });
        if let Some(link) = self.links.get(hub)
            && let Err(e) = link.tell(refund).await
        {
            log::debug!(target: "limits", error:% = e; "tokens not given back");
        }
    }

    /// Has a hub charge an account.
    async fn charge_at_hub(
        &self,
        account: &AccountSpec,
        id: &RequestId,
        tokens: u64,
    ) -> Result<Charge, Refusal> {
        let charge = TokenTransfer {
            account: account.name.clone(),
            tokens: tokens as f32,
        };
        let (hub, reply) = self.ask_hubs(&charge, Vec::new()).await;
        match (hub, reply) {
            (Some(hub), ChargeReply::Granted) => {
                return Ok(Charge {
                    account: account.name.clone(),
                    tokens,
                    hub: Some(hub),
                });
            }
            (Some(hub), ChargeReply::Refused { wait_ms }) => {
                log::info!(target: "limits", id = id.as_str(), account = account.name.as_str(), tokens, instance = hub.as_str(); "too few tokens at the hub");
                let wait = wait_ms.map(|ms| Duration::from_millis(ms.into()));
                return Err(refuse_over_limit(wait));
            }
            _ => {}
        }
        log::info!(target: "limits", id = id.as_str(), account = account.name.as_str(); "no hub charged the account");
        let refusal = Refusal::not_run(Code::StateUnavailable, Step::Admit, Peer::Local);
        Err(refusal.with_retry_after(NO_HUB_RETRY_AFTER))
    }

    /// Asks hubs other than those in `left_out` to charge an account, one after
    /// the other, until one has a share. Returns its reply, or that none has one.
    async fn ask_hubs(
        &self,
        charge: &TokenTransfer,
        mut left_out: Vec<Instance>,
    ) -> (Option<Instance>, ChargeReply) {
        for _ in 0..MAX_HUBS {
            let Some(link) = self.next_hub(&left_out) else {
                break;
            };
            let hub = link.peer().instance.clone();
            left_out.push(hub.clone());
            match ask_to_charge(&link, charge.clone()).await {
                Some(ChargeReply::NoShare) => {}
                Some(reply) => return (Some(hub), reply),
                None => {
                    log::info!(target: "limits", instance = hub.as_str(), account = charge.account.as_str(); "hub did not answer a charge");
                    self.record_hub_failure(&hub);
                }
            }
        }
        (None, ChargeReply::NoShare)
    }

    /// Returns the link to the first hub that was not asked yet. It may have
    /// come up while another hub was asked.
    fn next_hub(&self, asked: &[Instance]) -> Option<Link<Up>> {
        let links = self.links_to_hubs(self.clock.now());
        let mut links = links.into_iter();
        links.find(|link| !asked.contains(&link.peer().instance))
    }

    /// Charges an account for a request of the instance `from`, which has no share
    /// of the limit. A hub that leaves and has given up its own has another one
    /// charge: `from` may not be linked to that yet.
    pub(crate) async fn charge_for_other(
        &self,
        from: &Instance,
        charge: TokenTransfer,
    ) -> ChargeReply {
        let has_share = self.account_limit_divisor(self.clock.now()).has_share();
        if !has_share && self.passes_charges_of(from) {
            let (_, reply) = self.ask_hubs(&charge, vec![from.clone()]).await;
            return reply;
        }
        let current = self.tables.current_catalog().filter(|_| has_share);
        let account = current
            .as_ref()
            .and_then(|c| c.catalog.account(&charge.account));
        let Some(account) = account.cloned() else {
            return ChargeReply::NoShare;
        };
        match self.take_or_borrow(&account, charge.tokens as u64).await {
            Ok(()) => ChargeReply::Granted,
            Err(shortfall) => ChargeReply::Refused {
                wait_ms: shortfall.wait.map(|wait| wait.as_millis() as u32),
            },
        }
    }

    /// Tells whether this instance, which has no share, has hubs charge accounts
    /// for another one. Others no longer take one that leaves for a hub as soon as
    /// they hear of it, so that a charge passed on comes to its end.
    fn passes_charges_of(&self, reporter: &Instance) -> bool {
        let is_leaving = self.members.own_state() == MemberState::Leaving;
        is_leaving
            && self
                .topology
                .lock()
                .former_peers
                .passes_charges_of(reporter)
    }

    /// Takes back the tokens of a request that another instance had charged
    /// here.
    pub(crate) fn receive_refund(&self, refund: &TokenTransfer) {
        let now = self.clock.now();
        self.rate_limiter
            .refund(&refund.account, refund.tokens as u64, now);
    }

    /// Takes the tokens of a request from this instance's allowance, and
    /// borrows what is missing from other instances.
    ///
    /// # Errors
    ///
    /// Fails if this instance and those it asked have too few tokens, and these
    /// are not refilled within [`MAX_REFILL_WAIT`].
    async fn take_or_borrow(&self, account: &AccountSpec, tokens: u64) -> Result<(), Shortfall> {
        let mut refill_waits = 0;
        loop {
            let Err(shortfall) = self.try_take_tokens(account, tokens) else {
                return Ok(());
            };
            let Err(shortfall) = self.borrow_and_take(account, tokens, shortfall).await else {
                return Ok(());
            };
            // A short wait for a refill is better than a refusal.
            let wait = shortfall.wait.filter(|wait| *wait <= MAX_REFILL_WAIT);
            let Some(wait) = wait.filter(|_| refill_waits < MAX_REFILL_WAITS) else {
                return Err(shortfall);
            };
            refill_waits += 1;
            tokio::time::sleep(wait.max(MIN_REFILL_WAIT)).await;
        }
    }

    pub(crate) fn try_take_tokens(
        &self,
        account: &AccountSpec,
        tokens: u64,
    ) -> Result<(), Shortfall> {
        let now = self.clock.now();
        let divisor = self.account_limit_divisor(now);
        self.rate_limiter.try_take(account, tokens, divisor, now)
    }
}

/// Asks a hub to charge an account. Returns `None` if it gives no answer.
async fn ask_to_charge(link: &Link<Up>, charge: TokenTransfer) -> Option<ChargeReply> {
    let asking = link.ask(Stamp::default(), Message::Charge(charge));
    let reply = tokio::time::timeout(CHARGE_TIMEOUT, asking).await;
    match reply.ok()?.ok()?.message {
        Message::Charged(reply) => Some(reply),
        _ => None,
    }
}

fn log_shortfall(account: &AccountSpec, id: &RequestId, tokens: u64, shortfall: &Shortfall) {
    log::info!(
        target: "limits",
        id = id.as_str(),
        account = account.name.as_str(),
        tokens,
        // Tokens in this instance's allowance, and its refill rate.
        level = shortfall.level as u64,
        part_per_s = shortfall.rate as u64,
        limit_per_s = account.limit.map_or(0, |limit| limit.rate as u64);
        "too few tokens for the request"
    );
}

/// Refuses a request, with the time until there are enough tokens if it is
/// known.
fn refuse_over_limit(wait: Option<Duration>) -> Refusal {
    let refusal = Refusal::not_run(Code::RateLimited, Step::Admit, Peer::Local);
    refusal.with_retry_after(wait.unwrap_or(OVERSIZED_RETRY_AFTER))
}
