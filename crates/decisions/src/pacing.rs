//! Pacing of calls to the store so that all instances together stay within its
//! rates.

use std::time::Duration;

/// Nanoseconds in a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// Length of time whose calls may start as one burst after a pause.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Largest number of instances that are writers at the same time, that is, hold
/// a writer lease in the store.
pub const MAX_WRITERS: usize = 4;

/// Fraction of the store's read rate that is divided among all instances.
const SHARED_READS: f64 = 0.4;

/// Fraction of the store's write rate that is divided among all instances.
const SHARED_WRITES: f64 = 0.25;

/// Fraction of the store's write rate that is divided among the writers.
const WRITER_WRITES: f64 = 0.17;

/// Returns one instance's fraction of the store's read rate.
pub fn read_share(instances: u32) -> f64 {
    SHARED_READS / f64::from(instances.max(1))
}

/// Returns one instance's fraction of the store's write rate.
///
/// `is_writer` is true only for an instance that holds one of [`MAX_WRITERS`]
/// leases in the store, so that there are never more writers than that, even if
/// more instances believe that they were chosen. The fractions of all instances
/// add up to less than half of the rate (at most 0.25 / 0.8 + 0.17) as long as
/// each one knows of four fifths of all instances. With fewer instances than
/// [`MAX_WRITERS`] none is chosen as a writer, and the writers' fraction is
/// divided among all.
pub fn write_share(instances: u32, is_writer: bool) -> f64 {
    let instances = instances.max(1);
    let shared = match instances < MAX_WRITERS as u32 {
        true => SHARED_WRITES + WRITER_WRITES,
        false => SHARED_WRITES,
    };
    let even = shared / f64::from(instances);
    match is_writer {
        true => even + WRITER_WRITES / MAX_WRITERS as f64,
        false => even,
    }
}

/// Assigns start times to calls, in order, at a limited rate.
///
/// # Invariants
///
/// The calls that start in any span of time exceed those that the rate allows
/// for its length by at most one second's worth of calls, or by one call if
/// that is more.
#[derive(Clone, Debug, PartialEq)]
pub struct Pacer {
    interval: Duration,
    next_start: Duration,
}

impl Pacer {
    /// Creates a pacer for a rate in calls a second.
    pub fn new(rate: f64) -> Self {
        Self {
            interval: interval_of(rate),
            next_start: Duration::ZERO,
        }
    }

    /// Changes the rate, in calls a second. Start times that were assigned
    /// before do not change.
    pub fn set_rate(&mut self, rate: f64) {
        self.interval = interval_of(rate);
    }

    /// Drops the burst allowance that accumulated during a pause, and delays
    /// the next call by a random part of the interval.
    ///
    /// `random` is a random number, uniform over all values.
    pub fn restart(&mut self, now: Duration, random: u64) {
        let offset = (self.interval.as_nanos() * u128::from(random)) >> u64::BITS;
        let next = now + Duration::from_nanos(offset as u64);
        self.next_start = self.next_start.max(next);
    }

    /// Reserves the next start time; `None` if it is more than `max_delay`
    /// away.
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
    Duration::from_nanos(
        (NANOS_PER_SECOND / rate.max(f64::MIN_POSITIVE)).min(NANOS_PER_SECOND * NANOS_PER_SECOND)
            as u64,
    )
}
