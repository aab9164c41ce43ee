//! How long answers take to begin, in relation to what was expected.

use std::time::Duration;

/// Time after which samples go from the newer to the older half, and from there
/// out of use.
const PERIOD: Duration = Duration::from_secs(60);

/// Fewest samples above the quantile from which it is estimated.
const MIN_SAMPLES_BEYOND: f64 = 5.0;

/// Samples after which the quantile is computed anew.
const SAMPLES_PER_UPDATE: u32 = 16;

/// Buckets for each doubling of the slowness.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Binary logarithm of the slowness where the second bucket begins: a quarter of
/// the expected time.
const MIN_LOG2_SLOWNESS: f64 = -2.0;

/// Number of buckets. The last one has no upper bound.
const BUCKETS: usize = 64;

/// Samples by bucket.
#[derive(Clone, Debug)]
struct Counts {
    buckets: [u32; BUCKETS],
    total: u32,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKETS],
            total: 0,
        }
    }
}

/// A quantile of the recent answers' slowness: the time that an answer took to
/// begin, divided by the time that was expected.
///
/// # Invariants
///
/// `current` has the samples of period number `period`, and `previous` those of
/// the period before it. `slowness` follows from both, less the samples since
/// the last update.
#[derive(Clone, Debug)]
pub struct StartTimes {
    quantile: f64,
    current: Counts,
    previous: Counts,
    period: u64,
    since_update: u32,
    slowness: Option<f64>,
}

impl StartTimes {
    /// Creates an estimate of a quantile without samples.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile,
            current: Counts::default(),
            previous: Counts::default(),
            period: 0,
            since_update: 0,
            slowness: None,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, slowness: f64, now: Duration) {
        let has_turned = self.advance(now);
        let counts = &mut self.current;
        counts.buckets[bucket_of(slowness)] += 1;
        counts.total += 1;
        self.since_update += 1;
        if has_turned || self.since_update >= SAMPLES_PER_UPDATE {
            self.since_update = 0;
            self.slowness = self.compute();
        }
    }

    /// Returns the quantile of the slowness; `None` if there are too few
    /// samples.
    pub fn slowness(&self, now: Duration) -> Option<f64> {
        let is_recent = period_of(now) <= self.period + 1;
        self.slowness.filter(|_| is_recent)
    }

    /// Starts the periods that have begun. Returns whether one has.
    fn advance(&mut self, now: Duration) -> bool {
        let period = period_of(now);
        let begun = period.saturating_sub(self.period);
        if begun == 0 {
            return false;
        }
        let ended = std::mem::take(&mut self.current);
        self.previous = match begun {
            1 => ended,
            _ => Counts::default(),
        };
        self.period = period;
        true
    }

    fn compute(&self) -> Option<f64> {
        let total = f64::from(self.current.total) + f64::from(self.previous.total);
        if total * (1.0 - self.quantile) < MIN_SAMPLES_BEYOND {
            return None;
        }
        let mut left = total * self.quantile;
        // An answer in the last bucket has no upper bound.
        for bucket in 0..BUCKETS - 1 {
            let here = self.current.buckets[bucket] + self.previous.buckets[bucket];
            left -= f64::from(here);
            if left <= 0.0 {
                return Some(upper_bound(bucket));
            }
        }
        None
    }
}

fn period_of(now: Duration) -> u64 {
    now.as_secs() / PERIOD.as_secs()
}

fn bucket_of(slowness: f64) -> usize {
    let octaves = slowness.log2() - MIN_LOG2_SLOWNESS;
    // The conversion takes negative numbers and those that are none to 0.
    let bucket = (octaves * BUCKETS_PER_DOUBLING).floor() + 1.0;
    (bucket as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> f64 {
    (MIN_LOG2_SLOWNESS + bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
}
