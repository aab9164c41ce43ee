//! The streams that began lately.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::MIN_LIFETIME;
use super::PoolSoftware;
use super::StreamKey;
use crate::names::Pool;
use crate::names::SoftwareVersion;

/// Largest number of streams that are remembered, which bounds the memory: each
/// takes its id and shares the names of its account, pool and software.
pub const MAX_STREAMS: usize = 30_000;

/// Largest id of a stream that is remembered, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// How a stream has come to be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamSource {
    /// It began here.
    Own,
    /// Another instance told that it began there.
    Told,
    /// It was resumed here.
    Resumed,
}

/// How and since when a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// How it has come to be known.
    pub source: StreamSource,
    /// When it was last recorded, on the local monotonic clock.
    pub recorded_at: Duration,
}

#[derive(Clone, Debug)]
struct BeganStream {
    began_by: PoolSoftware,
    source: StreamSource,
    /// When it was last recorded, on the local monotonic clock.
    recorded_at: Duration,
    /// When it is forgotten, on the local monotonic clock.
    expires_at: Duration,
}

/// What began each of the latest streams.
///
/// # Invariants
///
/// `by_age` has one element for each entry of `by_key`. Its time is the entry's
/// end, or an earlier one if the entry was recorded again since.
#[derive(Clone, Debug)]
pub struct BeganStreams {
    by_key: HashMap<StreamKey, BeganStream>,
    by_age: VecDeque<(Duration, StreamKey)>,
    /// Time for which a stream is remembered after it began or was last resumed.
    lifetime: Duration,
}

impl Default for BeganStreams {
    fn default() -> Self {
        Self {
            by_key: HashMap::new(),
            by_age: VecDeque::new(),
            lifetime: MIN_LIFETIME,
        }
    }
}

impl BeganStreams {
    /// Returns the time for which streams are remembered.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Sets the time for which streams are remembered, for those that are
    /// recorded from now on.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime;
    }

    /// Records a stream. A resumption of a known stream renews it and keeps what is
    /// known to have begun it.
    pub fn record(
        &mut self,
        key: &StreamKey,
        began_by: PoolSoftware,
        source: StreamSource,
        now: Duration,
    ) {
        if key.id.as_str().len() > MAX_ID_BYTES {
            return;
        }
        self.remove_expired(now);
        let expires_at = now + self.lifetime;
        if let Some(known) = self.by_key.get_mut(key) {
            known.expires_at = expires_at;
            known.recorded_at = now;
            if source != StreamSource::Resumed {
                known.began_by = began_by;
                known.source = source;
            }
            return;
        }
        let stream = BeganStream {
            began_by,
            source,
            recorded_at: now,
            expires_at,
        };
        self.by_key.insert(key.clone(), stream);
        self.by_age.push_back((expires_at, key.clone()));
        while self.by_key.len() > MAX_STREAMS {
            self.take_oldest();
        }
    }

    /// Returns what began a stream, if it is known.
    pub fn find(&self, key: &StreamKey, now: Duration) -> Option<&PoolSoftware> {
        let stream = self.by_key.get(key)?;
        (now < stream.expires_at).then_some(&stream.began_by)
    }

    /// Returns how a stream is known, if it is.
    pub fn find_record(&self, key: &StreamKey, now: Duration) -> Option<StreamRecord> {
        let stream = self.by_key.get(key)?;
        let record = StreamRecord {
            source: stream.source,
            recorded_at: stream.recorded_at,
        };
        (now < stream.expires_at).then_some(record)
    }

    /// Lists the streams of a pool that began here.
    pub fn list_own(&self, pool: &Pool, now: Duration) -> Vec<(StreamKey, SoftwareVersion)> {
        let is_own = |stream: &BeganStream| {
            stream.source == StreamSource::Own
                && stream.began_by.pool == *pool
                && now < stream.expires_at
        };
        let own = self.by_key.iter().filter(|(_, stream)| is_own(stream));
        let listed = own.map(|(key, stream)| (key.clone(), stream.began_by.software.clone()));
        listed.collect()
    }

    /// Lists the pools of the streams that began here.
    pub fn list_own_pools(&self, now: Duration) -> HashSet<Pool> {
        let is_own =
            |stream: &&BeganStream| stream.source == StreamSource::Own && now < stream.expires_at;
        let own = self.by_key.values().filter(is_own);
        own.map(|stream| stream.began_by.pool.clone()).collect()
    }

    /// Returns the number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Tells whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    fn remove_expired(&mut self, now: Duration) {
        while self.by_age.front().is_some_and(|(at, _)| *at <= now) {
            self.take_oldest();
        }
    }

    /// Removes the oldest stream, or moves it back if it was recorded again.
    fn take_oldest(&mut self) {
        let Some((queued_until, key)) = self.by_age.pop_front() else {
            return;
        };
        match self.by_key.get(&key) {
            Some(stream) if stream.expires_at > queued_until => {
                self.by_age.push_back((stream.expires_at, key));
            }
            _ => {
                self.by_key.remove(&key);
            }
        }
    }
}
