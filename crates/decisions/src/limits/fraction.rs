//! Parts of a whole, and what they come to of an account's limit.

use std::iter::Sum;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Nano-tokens of a token.
pub const NANOS_PER_TOKEN: u128 = 1_000_000_000;

/// The clock error that leases and rates allow for: one part in so many.
pub const CLOCK_DRIFT_DIVISOR: u32 = 1000;

/// Shortens a time so that it ends first on any clock that drifts by at most
/// one part in [`CLOCK_DRIFT_DIVISOR`].
pub fn shorten_for_drift(time: Duration) -> Duration {
    time.saturating_sub(time * 2 / CLOCK_DRIFT_DIVISOR)
}

/// Returns the nanoseconds that passed at least while a clock showed `time`.
pub(super) fn min_elapsed_nanos(time: Duration) -> u128 {
    let nanos = time.as_nanos();
    nanos - nanos.div_ceil(u128::from(CLOCK_DRIFT_DIVISOR))
}

/// An account's limit over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens that may be spent at once.
    pub burst: u64,
}

/// A part of a whole, counted in units of one part in 2^32.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fraction(u64);

impl Fraction {
    /// Nothing of the whole.
    pub const ZERO: Self = Self(0);

    /// The whole.
    pub const WHOLE: Self = Self(1 << 32);

    /// Returns one of `n` equal parts, rounded down.
    pub fn one_nth(n: usize) -> Self {
        Self(Self::WHOLE.0 / n.max(1) as u64)
    }

    /// Returns the part of this weight that `n` equal parts would each have.
    pub fn divide(self, n: usize) -> Self {
        Self(self.0 / n.max(1) as u64)
    }

    /// Returns the smallest weight that comes to at least `tokens` of `whole`.
    pub fn covering(tokens: u128, whole: u128) -> Self {
        if whole == 0 {
            return Self::ZERO;
        }
        let parts = (tokens * u128::from(Self::WHOLE.0)).div_ceil(whole);
        Self(u64::try_from(parts).unwrap_or(u64::MAX))
    }

    /// Returns what this weight comes to of `whole`, rounded down.
    pub fn of(self, whole: u128) -> u128 {
        whole * u128::from(self.0) / u128::from(Self::WHOLE.0)
    }

    /// Subtracts, down to nothing.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Tells whether this is nothing.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl Add for Fraction {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sum for Fraction {
    fn sum<I>(iter: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        iter.fold(Self::ZERO, Add::add)
    }
}
