//! Each instance's share of the client accounts' token limits.
//!
//! Every instance has an equal share, so that the limits hold without
//! communication. Tokens move between instances by transfers. The sender takes
//! the tokens from its own share first, so a lost transfer loses tokens and
//! never creates any. Transferred tokens expire after [`TRANSFER_TTL`], which
//! bounds the tokens saved up at the receiver while the sender's share refills.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::TokenLimit;
use crate::names::Account;
use crate::names::Instance;
use crate::window::Divisor;

/// Time after which unspent tokens of a transfer expire.
pub const TRANSFER_TTL: Duration = Duration::from_millis(1000);

/// Time for which an instance's tokens should cover its demand, in seconds.
const DEMAND_HORIZON_S: f64 = 0.8;

/// Fraction of its capacity that an instance keeps when it transfers surplus
/// without a request for it.
const MIN_KEPT_RATIO: f64 = 0.15;

/// Time over which demand is averaged, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;

/// Fraction of the tolerated overrun that is divided among the instances. The
/// rest is left unused.
const TOLERANCE_RATIO: f64 = 0.8;

/// How far all instances together may exceed a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Tolerated overrun as a fraction of the limit.
    pub overage: f64,
    /// Tokens tolerated in addition.
    pub slack: f64,
}

/// State of an instance's allowance, as reported to the other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AllowanceStatus {
    /// Available tokens.
    pub level: f32,
    /// Average demand in tokens per second.
    pub demand: f32,
}

/// Tokens transferred from one instance to another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TokenTransfer {
    /// The account whose limit the tokens belong to.
    pub account: Account,
    /// Number of tokens.
    pub tokens: f32,
}

/// The tokens that an allowance lacks for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortfall {
    /// Available tokens.
    pub level: f64,
    /// Missing tokens.
    pub missing: f64,
    /// Refill rate in tokens per second.
    pub rate: f64,
    /// Time until the missing tokens are refilled; `None` if the request
    /// exceeds the capacity or nothing is refilled.
    pub wait: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedTransfer {
    /// When unspent tokens expire, on the local monotonic clock.
    expires_at: Duration,
    tokens: f64,
}

/// One instance's share of one account's limit, as a token bucket.
///
/// # Invariants
///
/// `level` is at most `capacity`. Over any span, the tokens taken are at most
/// `capacity`, plus `rate` times the span's length, plus the tokens received
/// by transfers.
#[derive(Clone, Debug)]
pub struct LocalAllowance {
    rate: f64,
    capacity: f64,
    /// Tokens of the own share, without transferred ones.
    level: f64,
    transfers: VecDeque<ReceivedTransfer>,
    /// When the bucket was last refilled, on the local monotonic clock.
    filled_at: Duration,
    demand: f64,
    /// Tokens requested since `interval_start`, which `demand` does not cover
    /// yet.
    requested_tokens: f64,
    /// Start of the interval over which demand is being measured, on the local
    /// monotonic clock.
    interval_start: Duration,
}

impl LocalAllowance {
    /// Creates an allowance without tokens, as a restart must not give back
    /// tokens that were spent before it.
    pub fn empty(limit: TokenLimit, tolerance: Tolerance, divisor: Divisor, now: Duration) -> Self {
        let mut allowance = Self {
            rate: 0.0,
            capacity: 0.0,
            level: 0.0,
            transfers: VecDeque::new(),
            filled_at: now,
            demand: 0.0,
            requested_tokens: 0.0,
            interval_start: now,
        };
        allowance.configure(limit, tolerance, divisor, now);
        allowance
    }

    /// Applies a changed limit or number of instances.
    pub fn configure(
        &mut self,
        limit: TokenLimit,
        tolerance: Tolerance,
        divisor: Divisor,
        now: Duration,
    ) {
        self.advance(now);
        let factor = 1.0 + tolerance.overage * TOLERANCE_RATIO;
        self.rate = divisor.share(limit.rate * factor);
        self.capacity = divisor.share(limit.burst * factor + tolerance.slack * TOLERANCE_RATIO);
        self.level = self.level.min(self.capacity);
    }

    /// Refills the bucket and drops expired transfers.
    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
        while self
            .transfers
            .front()
            .is_some_and(|transfer| transfer.expires_at <= now)
        {
            self.transfers.pop_front();
        }
    }

    fn transferred_tokens(&self) -> f64 {
        self.transfers.iter().map(|transfer| transfer.tokens).sum()
    }

    /// Takes the tokens of a request, transferred ones first.
    ///
    /// # Errors
    ///
    /// Fails if too few tokens are available, and takes none.
    pub fn take(&mut self, tokens: f64, now: Duration) -> Result<(), Shortfall> {
        self.advance(now);
        self.record_demand(tokens, now);
        let level = self.level + self.transferred_tokens();
        let missing = tokens - level;
        if missing > 0.0 {
            let fits = self.rate > 0.0 && tokens <= self.capacity;
            let wait = Duration::try_from_secs_f64(missing / self.rate).ok();
            return Err(Shortfall {
                level,
                missing,
                rate: self.rate,
                wait: wait.filter(|_| fits),
            });
        }
        let mut remaining = tokens;
        while remaining > 0.0 {
            let Some(transfer) = self.transfers.front_mut() else {
                break;
            };
            let spent = transfer.tokens.min(remaining);
            transfer.tokens -= spent;
            remaining -= spent;
            if transfer.tokens <= 0.0 {
                self.transfers.pop_front();
            }
        }
        self.level -= remaining;
        Ok(())
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&mut self, tokens: f64, now: Duration) {
        self.advance(now);
        self.level = (self.level + tokens).min(self.capacity);
    }

    fn record_demand(&mut self, tokens: f64, now: Duration) {
        self.update_demand(now);
        self.requested_tokens += tokens;
    }

    fn update_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.interval_start).as_secs_f64();
        if elapsed < DEMAND_WINDOW_S / 4.0 {
            return;
        }
        let weight = (elapsed / DEMAND_WINDOW_S).min(1.0);
        self.demand += (self.requested_tokens / elapsed - self.demand) * weight;
        self.requested_tokens = 0.0;
        self.interval_start = now;
    }

    /// Returns the state to be reported to the other instances.
    pub fn status(&mut self, now: Duration) -> AllowanceStatus {
        self.advance(now);
        self.update_demand(now);
        AllowanceStatus {
            level: (self.level + self.transferred_tokens()) as f32,
            demand: self.demand as f32,
        }
    }

    /// Takes tokens from this allowance for the instances that lack some, and
    /// returns the index in `others` and the tokens of each transfer.
    ///
    /// Each sender covers the fraction of the need that its surplus is of the
    /// total surplus, and at most its own surplus, so that the transfers of all
    /// senders together meet the need only once.
    pub fn transfer_surplus(
        &mut self,
        others: &[(&Instance, AllowanceStatus)],
        now: Duration,
    ) -> Vec<(usize, f64)> {
        let own = self.status(now);
        let reserve = self.capacity * MIN_KEPT_RATIO;
        let surplus = |status: &AllowanceStatus| {
            let needed = f64::from(status.demand) * DEMAND_HORIZON_S;
            f64::from(status.level) - needed - reserve
        };
        // Received tokens are never transferred again.
        let own_surplus = surplus(&own).min(self.level);
        if own_surplus <= 0.0 {
            return Vec::new();
        }
        let other_surplus: f64 = others.iter().map(|(_, s)| surplus(s).max(0.0)).sum();
        let need = |s: &AllowanceStatus| {
            (f64::from(s.demand) * DEMAND_HORIZON_S - f64::from(s.level)).max(0.0)
        };
        let needed: f64 = others.iter().map(|(_, s)| need(s)).sum();
        let share =
            (own_surplus / (own_surplus + other_surplus)).min(own_surplus / needed.max(1.0));
        let mut transfers = Vec::new();
        for (index, (_, status)) in others.iter().enumerate() {
            let tokens = (need(status) * share).min(self.level);
            if tokens >= 1.0 {
                self.level -= tokens;
                transfers.push((index, tokens));
            }
        }
        transfers
    }

    /// Takes tokens from this allowance for an instance that requests them,
    /// at most as many as are available, and returns their number.
    pub fn transfer_requested(&mut self, requested: f64, now: Duration) -> f64 {
        self.advance(now);
        let tokens = requested.min(self.level).max(0.0);
        self.level -= tokens;
        tokens
    }

    /// Removes transferred tokens that are given back, the newest first, and
    /// returns their number, which is lower if some were spent or have expired.
    pub fn give_back(&mut self, tokens: f64, now: Duration) -> f64 {
        self.advance(now);
        let mut given = 0.0;
        while let Some(transfer) = self.transfers.back_mut() {
            let part = transfer.tokens.min(tokens - given);
            transfer.tokens -= part;
            given += part;
            if transfer.tokens > 0.0 {
                break;
            }
            self.transfers.pop_back();
        }
        given
    }

    /// Adds tokens transferred from another instance.
    pub fn receive(&mut self, tokens: f64, now: Duration) {
        self.advance(now);
        self.transfers.push_back(ReceivedTransfer {
            expires_at: now + TRANSFER_TTL,
            tokens,
        });
    }
}
