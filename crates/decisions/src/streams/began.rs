//! The streams that began lately.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::MIN_LIFETIME;
use super::PoolSoftware;
use crate::names::Pool;
use crate::names::RequestId;
use crate::names::SoftwareVersion;

/// Largest number of streams that are remembered.
pub const MAX_STREAMS: usize = 20_000;

#[derive(Clone, Debug)]
struct BeganStream {
    origin: PoolSoftware,
    /// When it is forgotten, on the local monotonic clock.
    expires_at: Duration,
}

/// What began each of the latest streams, by the id of the caller's request that
/// it began with.
///
/// # Invariants
///
/// `by_age` has an element for each time that an entry of `by_id` was recorded,
/// oldest first, and so at least one for each entry.
#[derive(Clone, Debug)]
pub struct BeganStreams {
    by_id: HashMap<RequestId, BeganStream>,
    by_age: VecDeque<(Duration, RequestId)>,
    /// Time for which a stream is remembered after it began or was last resumed.
    lifetime: Duration,
}

impl Default for BeganStreams {
    fn default() -> Self {
        Self {
            by_id: HashMap::new(),
            by_age: VecDeque::new(),
            lifetime: MIN_LIFETIME,
        }
    }
}

impl BeganStreams {
    /// Sets the time for which streams are remembered, for those that are
    /// recorded from now on.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime;
    }

    /// Records what began a stream. What is known already stays, as later
    /// attempts continue the stream and don't begin it.
    pub fn record(&mut self, id: &RequestId, origin: PoolSoftware, now: Duration) {
        self.remove_expired(now);
        let expires_at = now + self.lifetime;
        let entry = self.by_id.entry(id.clone());
        let stream = entry.or_insert(BeganStream { origin, expires_at });
        stream.expires_at = expires_at;
        self.by_age.push_back((expires_at, id.clone()));
        while self.by_age.len() > MAX_STREAMS {
            self.remove_oldest();
        }
    }

    /// Returns the software that began a stream of a pool, if it is known.
    pub fn find(&self, id: &RequestId, pool: &Pool, now: Duration) -> Option<SoftwareVersion> {
        let stream = self.by_id.get(id)?;
        let is_valid = now < stream.expires_at && stream.origin.pool == *pool;
        is_valid.then(|| stream.origin.software.clone())
    }

    /// Lists the streams of a pool.
    pub fn list(&self, pool: &Pool, now: Duration) -> Vec<(RequestId, SoftwareVersion)> {
        let streams = self.by_id.iter();
        let of_pool = streams.filter(|(_, s)| now < s.expires_at && s.origin.pool == *pool);
        let listed = of_pool.map(|(id, s)| (id.clone(), s.origin.software.clone()));
        listed.collect()
    }

    /// Returns the number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Tells whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn remove_expired(&mut self, now: Duration) {
        while self.by_age.front().is_some_and(|(at, _)| *at <= now) {
            self.remove_oldest();
        }
    }

    /// Removes the oldest record, and its stream unless that was recorded again.
    fn remove_oldest(&mut self) {
        let Some((expires_at, id)) = self.by_age.pop_front() else {
            return;
        };
        let is_latest = |stream: &BeganStream| stream.expires_at == expires_at;
        if self.by_id.get(&id).is_some_and(is_latest) {
            self.by_id.remove(&id);
        }
    }
}
