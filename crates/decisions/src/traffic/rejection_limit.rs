//! Limits on rejections that targets state in their answers: how many requests
//! a target may reject in a second for want of room before it fails.
//!
//! The targets of a pool state the limit together, so the word of any of them
//! binds the whole pool. It applies to what all instances of a region cause.
//! While it is in force nothing is queued at the pool's targets (see
//! [`super::guarded_room`]).

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Traffic;
use crate::audience::Audience;
use crate::audience::Source;
use crate::names::Instance;
use crate::names::Pool;

/// Time for which a limit stays in force after an answer that states none, as
/// answers of the pool's other targets may still state it.
const END_DELAY: Duration = Duration::from_secs(2);

/// Time after which a limit ends that no answer has confirmed.
const MAX_AGE: Duration = Duration::from_secs(60);

/// A limit on rejections, as an instance reports it to the others.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RejectionLimitRecord {
    /// The pool whose targets state it.
    pub pool: Pool,
    /// Rejections a second that each of the targets survives.
    pub per_s: u32,
    /// Time since the last answer that stated the limit, in milliseconds.
    pub age_ms: u32,
    /// Time since the last answer that stated none, in milliseconds; `None` if
    /// there was none since the limit was first stated.
    pub cleared_age_ms: Option<u32>,
}

/// The limit that the targets of a pool last stated.
#[derive(Clone, Debug)]
pub(super) struct RejectionLimit {
    per_s: u32,
    /// Time of the last answer that stated the limit.
    stated_at: Duration,
    /// Time of the last answer that stated none.
    cleared_at: Option<Duration>,
    /// The instance that was told by a target, or that told this one.
    source: Source,
}

impl RejectionLimit {
    fn is_in_force(&self, now: Duration) -> bool {
        let is_cleared = self.cleared_at.is_some_and(|at| at > self.stated_at);
        let lifetime = if is_cleared { END_DELAY } else { MAX_AGE };
        now < self.stated_at + lifetime
    }
}

impl Traffic {
    /// Records what an answer of a pool's target states: the rejections a second
    /// that the target survives, or `None` if it states no limit. Returns
    /// whether another limit is in force since.
    pub fn record_rejection_limit(
        &mut self,
        pool: &Pool,
        per_s: Option<u32>,
        now: Duration,
    ) -> bool {
        let before = self.rejection_limit(pool, now);
        match per_s {
            Some(per_s) => self.put_rejection_limit(pool, per_s, now, Source::Own),
            None => self.clear_rejection_limit(pool, now),
        }
        before != self.rejection_limit(pool, now)
    }

    /// Applies the limits that another instance reports.
    pub fn merge_rejection_limits(
        &mut self,
        from: &Instance,
        records: Vec<RejectionLimitRecord>,
        now: Duration,
    ) {
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        for record in records {
            let source = Source::Other(from.clone());
            self.put_rejection_limit(&record.pool, record.per_s, time(record.age_ms), source);
            if let Some(age_ms) = record.cleared_age_ms {
                self.clear_rejection_limit(&record.pool, time(age_ms));
            }
        }
    }

    fn put_rejection_limit(&mut self, pool: &Pool, per_s: u32, at: Duration, source: Source) {
        if let Some(known) = self.rejection_limits.get_mut(pool) {
            if at >= known.stated_at {
                known.per_s = per_s;
                known.stated_at = at;
                known.source = source;
            }
            return;
        }
        let limit = RejectionLimit {
            per_s,
            stated_at: at,
            cleared_at: None,
            source,
        };
        self.rejection_limits.insert(pool.clone(), limit);
    }

    fn clear_rejection_limit(&mut self, pool: &Pool, at: Duration) {
        if let Some(known) = self.rejection_limits.get_mut(pool) {
            known.cleared_at = known.cleared_at.max(Some(at));
        }
    }

    /// Returns the limits that an audience is told of.
    pub fn rejection_limit_records(
        &self,
        audience: Audience<'_>,
        now: Duration,
    ) -> Vec<RejectionLimitRecord> {
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
        let told = self
            .rejection_limits
            .iter()
            .filter(|(_, limit)| limit.is_in_force(now) && audience.includes(&limit.source));
        told.map(|(pool, limit)| RejectionLimitRecord {
            pool: pool.clone(),
            per_s: limit.per_s,
            age_ms: age_ms(limit.stated_at),
            cleared_age_ms: limit.cleared_at.map(age_ms),
        })
        .collect()
    }

    /// Returns how many rejections a second the targets of a pool survive;
    /// `None` if they state no limit.
    pub fn rejection_limit(&self, pool: &Pool, now: Duration) -> Option<u32> {
        let limit = self.rejection_limits.get(pool)?;
        limit.is_in_force(now).then_some(limit.per_s)
    }
}
