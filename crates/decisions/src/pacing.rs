//! Spacing of calls so that they stay within a rate.

use std::time::Duration;

/// Nanoseconds of a second.
const NANOS: f64 = 1e9;

/// Time whose calls may start at once after a pause.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Instances that may hold a writer's place at once.
pub const MAX_WRITERS: usize = 4;

/// The part of the store's reads that the instances share.
const SHARED_READS: f64 = 0.4;

/// The part of the store's writes that the instances share.
const SHARED_WRITES: f64 = 0.25;

/// The part of the store's writes that the places share.
const WRITERS_WRITES: f64 = 0.17;

/// Returns an instance's part of the store's reads.
pub fn read_share(instances: u32) -> f64 {
    SHARED_READS / f64::from(instances.max(1))
}

/// Returns an instance's part of the store's writes.
///
/// The places are held under leases in the store, so that there are never
/// more than [`MAX_WRITERS`], whoever takes himself for a writer. All parts
/// together stay under half as long as each instance knows four fifths of the
/// fleet. In a fleet smaller than the places nobody holds one.
pub fn write_share(instances: u32, is_writer: bool) -> f64 {
    let fleet = instances.max(1);
    let shared = match fleet < MAX_WRITERS as u32 {
        true => SHARED_WRITES + WRITERS_WRITES,
        false => SHARED_WRITES,
    };
    let even = shared / f64::from(fleet);
    match is_writer {
        true => even + WRITERS_WRITES / MAX_WRITERS as f64,
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
    next_start: Duration,
}

impl Pacer {
    /// Makes a pacer for a rate in calls a second.
    pub fn new(rate: f64) -> Self {
        Self {
            interval: interval_of(rate),
            next_start: Duration::ZERO,
        }
    }

    /// Changes the rate; start times that were given out stay.
    pub fn set_rate(&mut self, rate: f64) {
        self.interval = interval_of(rate);
    }

    /// Drops what a pause has saved up; `random` is uniform and spreads the
    /// next call over the interval.
    pub fn restart(&mut self, now: Duration, random: u64) {
        let offset = (self.interval.as_nanos() * u128::from(random)) >> u64::BITS;
        let next = now + Duration::from_nanos(offset as u64);
        self.next_start = self.next_start.max(next);
    }

    /// Gives out a start time, unless it is more than `patience` away.
    pub fn reserve(&mut self, now: Duration, max_delay: Duration) -> Option<Duration> {
        let credit = BURST_WINDOW.saturating_sub(self.interval);
        let next = self.next_start.max(now.saturating_sub(credit));
        let start = next.max(now);
        if start - now > max_delay {
            return None;
        }
        self.next_start = next + self.interval;
        Some(start)
    }
}

fn interval_of(rate: f64) -> Duration {
    Duration::from_nanos((NANOS / rate.max(f64::MIN_POSITIVE)).min(NANOS * NANOS) as u64)
}
