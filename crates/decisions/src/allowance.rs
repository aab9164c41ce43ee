//! Each instance's part of the client accounts' token limits.
//!
//! Every instance has an equal part that is safe without a word from the
//! others. Tokens move between instances as gifts: the giver takes them from
//! its own part first, so a gift that is lost costs tokens and never makes
//! any. A gift is spent within [`TRANSFER_TTL`] or lapses, which bounds what is
//! saved up twice.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::TokenLimit;
use crate::names::Account;
use crate::names::Instance;
use crate::window::Divisor;

/// Time in which a gift is to be spent.
pub const TRANSFER_TTL: Duration = Duration::from_millis(1000);

/// How far ahead instances look when they compare what they have with what
/// they are asked for.
const DEMAND_HORIZON_S: f64 = 0.8;

/// Share of its part that a giver keeps for itself.
const MIN_KEPT_RATIO: f64 = 0.15;

/// Time over which demand is averaged.
const DEMAND_WINDOW_S: f64 = 1.0;

/// Share of the tolerated overrun that is used.
const TOLERANCE_RATIO: f64 = 0.8;

/// How far the instances together may overrun a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Share of the limit.
    pub overage: f64,
    /// Tokens beside that.
    pub slack: f64,
}

/// What an instance tells the others of its part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AllowanceStatus {
    /// Tokens at hand.
    pub level: f32,
    /// Tokens a second that are asked for.
    pub demand: f32,
}

/// Tokens for another instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TokenTransfer {
    /// The account whose tokens they are.
    pub account: Account,
    /// How many.
    pub tokens: f32,
}

/// What a part lacks for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortfall {
    /// Tokens at hand.
    pub level: f64,
    /// Tokens that are missing.
    pub missing: f64,
    /// Tokens a second that the part fills with.
    pub rate: f64,
    /// Time until the part has filled so far; `None` if it never does.
    pub wait: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedTransfer {
    expires_at: Duration,
    tokens: f64,
}

/// One instance's part of one account's limit.
///
/// # Invariants
///
/// `level` is at most `capacity`. Over any span, the tokens taken are at most
/// `capacity` plus `rate` for its length plus the gifts received.
#[derive(Clone, Debug)]
pub struct LocalAllowance {
    rate: f64,
    capacity: f64,
    level: f64,
    transfers: VecDeque<ReceivedTransfer>,
    updated: Duration,
    demand: f64,
    requested_tokens: f64,
    requested_since: Duration,
}

impl LocalAllowance {
    /// Starts with nothing saved up, as a restart must not refill what was
    /// spent before it.
    pub fn empty(limit: TokenLimit, tolerance: Tolerance, divisor: Divisor, now: Duration) -> Self {
        let mut part = Self {
            rate: 0.0,
            capacity: 0.0,
            level: 0.0,
            transfers: VecDeque::new(),
            updated: now,
            demand: 0.0,
            requested_tokens: 0.0,
            requested_since: now,
        };
        part.configure(limit, tolerance, divisor, now);
        part
    }

    /// Takes over a changed limit or number of instances.
    pub fn configure(
        &mut self,
        limit: TokenLimit,
        tolerance: Tolerance,
        divisor: Divisor,
        now: Duration,
    ) {
        self.fill(now);
        let overage = 1.0 + tolerance.overage * TOLERANCE_RATIO;
        self.rate = divisor.share(limit.rate * overage);
        self.capacity = divisor.share(limit.burst * overage + tolerance.slack * TOLERANCE_RATIO);
        self.level = self.level.min(self.capacity);
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.updated = self.updated.max(now);
        while self
            .transfers
            .front()
            .is_some_and(|gift| gift.expires_at <= now)
        {
            self.transfers.pop_front();
        }
    }

    fn transferred_tokens(&self) -> f64 {
        self.transfers.iter().map(|gift| gift.tokens).sum()
    }

    /// Takes tokens for a request.
    ///
    /// # Errors
    ///
    /// Says what this part lacks.
    pub fn take(&mut self, tokens: f64, now: Duration) -> Result<(), Shortfall> {
        self.fill(now);
        self.record_demand(tokens, now);
        let level = self.level + self.transferred_tokens();
        let missing = tokens - level;
        if missing > 0.0 {
            let fits = self.rate > 0.0 && tokens <= self.capacity;
            return Err(Shortfall {
                level,
                missing,
                rate: self.rate,
                wait: fits.then(|| Duration::from_secs_f64(missing / self.rate)),
            });
        }
        let mut left = tokens;
        while left > 0.0 {
            let Some(gift) = self.transfers.front_mut() else {
                break;
            };
            let spent = gift.tokens.min(left);
            gift.tokens -= spent;
            left -= spent;
            if gift.tokens <= 0.0 {
                self.transfers.pop_front();
            }
        }
        self.level -= left;
        Ok(())
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&mut self, tokens: f64, now: Duration) {
        self.fill(now);
        self.level = (self.level + tokens).min(self.capacity);
    }

    fn record_demand(&mut self, tokens: f64, now: Duration) {
        self.update_demand(now);
        self.requested_tokens += tokens;
    }

    fn update_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.requested_since).as_secs_f64();
        if elapsed < DEMAND_WINDOW_S / 4.0 {
            return;
        }
        let weight = (elapsed / DEMAND_WINDOW_S).min(1.0);
        self.demand += (self.requested_tokens / elapsed - self.demand) * weight;
        self.requested_tokens = 0.0;
        self.requested_since = now;
    }

    /// Returns what the other instances are told.
    pub fn status(&mut self, now: Duration) -> AllowanceStatus {
        self.fill(now);
        self.update_demand(now);
        AllowanceStatus {
            level: (self.level + self.transferred_tokens()) as f32,
            demand: self.demand as f32,
        }
    }

    /// Takes tokens from this part for the instances that are short of them.
    ///
    /// Each giver covers the share of a need that its own surplus is of all
    /// surplus, so that the gifts of all givers together meet the need once.
    pub fn transfer_surplus(
        &mut self,
        others: &[(&Instance, AllowanceStatus)],
        now: Duration,
    ) -> Vec<(usize, f64)> {
        let own = self.status(now);
        let kept = self.capacity * MIN_KEPT_RATIO;
        let surplus = |status: &AllowanceStatus| {
            let needed = f64::from(status.demand) * DEMAND_HORIZON_S;
            f64::from(status.level) - needed - kept
        };
        let mine = surplus(&own).min(self.level);
        if mine <= 0.0 {
            return Vec::new();
        }
        let theirs: f64 = others.iter().map(|(_, s)| surplus(s).max(0.0)).sum();
        let need = |s: &AllowanceStatus| {
            (f64::from(s.demand) * DEMAND_HORIZON_S - f64::from(s.level)).max(0.0)
        };
        let needed: f64 = others.iter().map(|(_, s)| need(s)).sum();
        let share = (mine / (mine + theirs)).min(mine / needed.max(1.0));
        let mut gifts = Vec::new();
        for (at, (_, status)) in others.iter().enumerate() {
            let tokens = (need(status) * share).min(self.level);
            if tokens >= 1.0 {
                self.level -= tokens;
                gifts.push((at, tokens));
            }
        }
        gifts
    }

    /// Takes tokens from this part for an instance that asks for them, at most
    /// as many as are at hand.
    pub fn lend(&mut self, asked: f64, now: Duration) -> f64 {
        self.fill(now);
        let tokens = asked.min(self.level).max(0.0);
        self.level -= tokens;
        tokens
    }

    /// Takes a gift of another instance.
    pub fn receive(&mut self, tokens: f64, now: Duration) {
        self.fill(now);
        self.transfers.push_back(ReceivedTransfer {
            expires_at: now + TRANSFER_TTL,
            tokens,
        });
    }
}
