//! Spacing of calls so that they stay within a rate.

use std::time::Duration;

/// Nanoseconds of a second.
const NANOS: f64 = 1e9;

/// Time whose calls may start at once after a pause.
const CREDIT: Duration = Duration::from_secs(1);

/// Instances that may hold a writer's place at once.
pub const PLACES: usize = 4;

/// The part of the store's reads that the instances share.
const READS: f64 = 0.4;

/// The part of the store's writes that the instances share.
const WRITES: f64 = 0.25;

/// The part of the store's writes that the places share.
const PLACED: f64 = 0.17;

/// Returns an instance's part of the store's reads.
pub fn part_of_reads(fleet: u32) -> f64 {
    READS / f64::from(fleet.max(1))
}

/// Returns an instance's part of the store's writes.
///
/// The places are held under leases in the store, so that there are never
/// more than [`PLACES`], whoever takes himself for a writer. All parts
/// together stay under half as long as each instance knows four fifths of the
/// fleet. In a fleet smaller than the places nobody holds one.
pub fn part_of_writes(fleet: u32, placed: bool) -> f64 {
    let fleet = fleet.max(1);
    let shared = match fleet < PLACES as u32 {
        true => WRITES + PLACED,
        false => WRITES,
    };
    let even = shared / f64::from(fleet);
    match placed {
        true => even + PLACED / PLACES as f64,
        false => even,
    }
}

/// Gives out start times of calls, in order.
///
/// # Invariants
///
/// In any span of time at most a second's worth of calls, and at least one,
/// starts beyond those that the rate allows for the span's length.
#[derive(Clone, Debug, PartialEq)]
pub struct Pacer {
    interval: Duration,
    next: Duration,
}

impl Pacer {
    /// Makes a pacer for a rate in calls a second.
    pub fn new(rate: f64) -> Self {
        Self {
            interval: interval(rate),
            next: Duration::ZERO,
        }
    }

    /// Changes the rate; start times that were given out stay.
    pub fn set_rate(&mut self, rate: f64) {
        self.interval = interval(rate);
    }

    /// Drops what a pause has saved up; `random` is uniform and spreads the
    /// next call over the interval.
    pub fn restart(&mut self, now: Duration, random: u64) {
        let offset = (self.interval.as_nanos() * u128::from(random)) >> u64::BITS;
        let next = now + Duration::from_nanos(offset as u64);
        self.next = self.next.max(next);
    }

    /// Gives out a start time, unless it is more than `patience` away.
    pub fn reserve(&mut self, now: Duration, patience: Duration) -> Option<Duration> {
        let credit = CREDIT.saturating_sub(self.interval);
        let next = self.next.max(now.saturating_sub(credit));
        let start = next.max(now);
        if start - now > patience {
            return None;
        }
        self.next = next + self.interval;
        Some(start)
    }
}

fn interval(rate: f64) -> Duration {
    Duration::from_nanos((NANOS / rate.max(f64::MIN_POSITIVE)).min(NANOS * NANOS) as u64)
}
