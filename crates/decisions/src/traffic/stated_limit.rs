//! Limits on requests that targets state in their answers.
//!
//! A stated limit holds for all instances of a region together. It is divided
//! among as many of them as it allows requests per second, so that a small
//! limit is not divided into shares of less than a request. Which instances
//! these are follows from the target's name, so that all agree without a
//! message.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Traffic;
use crate::audience::Audience;
use crate::audience::Source;
use crate::names::Instance;
use crate::names::Target;

/// Smallest limit that is divided, in requests per second. It lets a request
/// through from time to time, whose answer tells whether the limit is still in
/// force.
const MIN_LIMIT_PER_S: f64 = 0.2;

/// Time in which an instance may send at once what its share allows.
const BURST_TIME_S: f64 = 1.0;

/// Time for which it is reported that a limit has ended.
const ENDED_REPORT_TIME: Duration = Duration::from_secs(30);

/// How the stated limits of a region's targets apply to this instance.
#[derive(Clone, Copy)]
pub enum StatedLimitUse<'a> {
    /// This instance sends to the targets and has a share of each limit.
    Share {
        /// Number of instances that send to the region's targets.
        instances: usize,
        /// Returns the position of this instance among them, in an order that
        /// all of them derive from the target.
        rank: &'a dyn Fn(&Target) -> usize,
    },
    /// Targets with a limit are left to the instances of their region.
    Avoid,
    /// Limits are left to the instances of the region, as there are no other
    /// targets.
    Ignore,
}

/// A limit that a target stated, as an instance reports it to the others.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StatedLimitRecord {
    /// The target.
    pub target: Target,
    /// The limit in requests per second; `None` if it has ended.
    pub per_s: Option<f32>,
    /// Time since the answer that stated it, in milliseconds.
    pub age_ms: u32,
}

/// The limit that a target last stated, and this instance's share of it as a
/// token bucket.
///
/// # Invariants
///
/// In any span this instance takes at most the bucket's capacity, and its rate
/// times the span's length. The capacities and rates of all instances add up
/// to at most one second's limit, or one request, and the limit.
#[derive(Clone, Debug)]
pub(super) struct StatedLimit {
    per_s: Option<f64>,
    observed_at: Duration,
    /// The instance that was told by the target, or that told this one.
    source: Source,
    /// Requests that this instance may send now.
    tokens: f64,
    filled_at: Duration,
}

impl StatedLimit {
    /// Returns the requests that this instance may send now, given its share.
    fn refill(&mut self, share: Share, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = now;
        self.tokens += share.per_s * elapsed.as_secs_f64();
        self.tokens = self.tokens.min(share.capacity);
        self.tokens
    }
}

/// An instance's share of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share {
    per_s: f64,
    capacity: f64,
}

/// Divides a limit among the first of `instances` instances.
fn share_of(limit_per_s: f64, instances: usize, rank: usize) -> Share {
    let limit_per_s = limit_per_s.max(MIN_LIMIT_PER_S);
    let holders = (limit_per_s as usize).clamp(1, instances.max(1));
    if rank >= holders {
        return Share {
            per_s: 0.0,
            capacity: 0.0,
        };
    }
    let per_s = limit_per_s / holders as f64;
    Share {
        per_s,
        capacity: (per_s * BURST_TIME_S).max(1.0),
    }
}

impl Traffic {
    /// Records what an answer of a target stated: its limit in requests per
    /// second, or `None` if it has none. Returns whether that is a change.
    pub fn record_stated_limit(
        &mut self,
        target: &Target,
        per_s: Option<f64>,
        now: Duration,
    ) -> bool {
        self.put_stated_limit(target, per_s, now, Source::Own, now)
    }

    /// Applies the limits that another instance reports.
    pub fn merge_stated_limits(
        &mut self,
        from: &Instance,
        records: Vec<StatedLimitRecord>,
        now: Duration,
    ) {
        for record in records {
            let age = Duration::from_millis(record.age_ms.into());
            let observed_at = now.saturating_sub(age);
            let per_s = record.per_s.map(f64::from);
            let source = Source::Other(from.clone());
            self.put_stated_limit(&record.target, per_s, observed_at, source, now);
        }
    }

    fn put_stated_limit(
        &mut self,
        target: &Target,
        per_s: Option<f64>,
        observed_at: Duration,
        source: Source,
        now: Duration,
    ) -> bool {
        let Some(known) = self.stated_limits.get_mut(target) else {
            if per_s.is_some() {
                let limit = StatedLimit {
                    per_s,
                    observed_at,
                    source,
                    tokens: 0.0,
                    filled_at: now,
                };
                self.stated_limits.insert(target.clone(), limit);
            }
            return per_s.is_some();
        };
        if observed_at < known.observed_at {
            return false;
        }
        let has_changed = known.per_s != per_s;
        known.per_s = per_s;
        known.observed_at = observed_at;
        known.source = source;
        has_changed
    }

    /// Returns the stated limits that an audience is told of.
    pub fn stated_limit_records(
        &self,
        audience: Audience<'_>,
        now: Duration,
    ) -> Vec<StatedLimitRecord> {
        let told = self.stated_limits.iter().filter(|(_, limit)| {
            let is_recent = limit.per_s.is_some() || now < limit.observed_at + ENDED_REPORT_TIME;
            is_recent && audience.includes(&limit.source)
        });
        told.map(|(target, limit)| StatedLimitRecord {
            target: target.clone(),
            per_s: limit.per_s.map(|per_s| per_s as f32),
            age_ms: now.saturating_sub(limit.observed_at).as_millis() as u32,
        })
        .collect()
    }

    /// Returns whether a target states a limit now.
    pub(super) fn states_limit(&self, target: &Target) -> bool {
        let limit = self.stated_limits.get(target);
        limit.is_some_and(|limit| limit.per_s.is_some())
    }

    /// Returns whether the limit that a target stated leaves room for a request
    /// of this instance.
    pub(super) fn has_stated_room(
        &mut self,
        target: &Target,
        limits: StatedLimitUse<'_>,
        now: Duration,
    ) -> bool {
        let Some(limit) = self.stated_limits.get_mut(target) else {
            return true;
        };
        let Some(per_s) = limit.per_s else {
            return true;
        };
        match limits {
            StatedLimitUse::Ignore => true,
            StatedLimitUse::Avoid => false,
            StatedLimitUse::Share { instances, rank } => {
                let share = share_of(per_s, instances, rank(target));
                limit.refill(share, now) >= 1.0
            }
        }
    }

    /// Takes one request from this instance's share of the limit that a target
    /// stated. [`Traffic::has_stated_room`] must have returned true.
    pub(super) fn take_stated_room(&mut self, target: &Target) {
        if let Some(limit) = self.stated_limits.get_mut(target) {
            limit.tokens = (limit.tokens - 1.0).max(0.0);
        }
    }
}
