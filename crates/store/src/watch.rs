//! Watches: changes of keys as the store tells them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::backoff::Backoff;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::Entry;
use crate::Error;
use crate::Gate;
use crate::Kind;
use crate::Store;
use crate::api;

/// Longest time that a watch stays open before it is opened anew, as a store
/// that froze says nothing either.
const LIFE: Duration = Duration::from_secs(60);

/// Largest line of a watch's answer in bytes.
const MAX_LINE: usize = 4 * 1024 * 1024;

/// Delays before a watch is opened anew.
const REOPENS: Backoff = Backoff {
    base: Duration::from_millis(250),
    cap: Duration::from_secs(4),
};

/// A change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, or its lease lapsed.
    Delete {
        /// Key.
        key: String,
        /// Revision of the deletion.
        revision: i64,
    },
}

impl Change {
    /// Returns the revision of the change.
    pub fn revision(&self) -> i64 {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Delete { revision, .. } => *revision,
        }
    }

    fn read(event: &api::WatchEvent) -> Result<Self, Error> {
        let entry = Entry::read(&event.kv)?;
        if event.kind != "DELETE" {
            return Ok(Self::Put(entry));
        }
        Ok(Self::Delete {
            key: entry.key,
            revision: entry.revision,
        })
    }
}

/// An open watch.
///
/// # Invariants
///
/// `known` is a revision that the store had reached when the watch was opened.
/// The store's revision falls below it only if the store came back from an
/// older copy.
#[derive(Debug)]
pub struct Watch {
    gate: Arc<Gate>,
    body: Incoming,
    buf: Vec<u8>,
    changes: VecDeque<Change>,
    known: i64,
    until: Instant,
}

impl Watch {
    /// Returns the next change; `None` if the watch has ended.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Compacted`] or [`Error::Restored`] if the keys have
    /// to be listed anew.
    pub async fn next(&mut self) -> Result<Option<Change>, Error> {
        loop {
            if let Some(change) = self.changes.pop_front() {
                return Ok(Some(change));
            }
            let Ok(frame) = tokio::time::timeout_at(self.until, self.body.frame()).await else {
                return Ok(None);
            };
            let Some(Ok(frame)) = frame else {
                return Ok(None);
            };
            if let Some(data) = frame.data_ref() {
                self.buf.extend_from_slice(data);
            }
            self.read_lines()?;
        }
    }

    fn read_lines(&mut self) -> Result<(), Error> {
        while let Some(at) = self.buf.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.buf.drain(..=at).collect();
            let resp: api::WatchResponse =
                serde_json::from_slice(&line).map_err(|e| api::malformed(&e.to_string()))?;
            if resp.result.canceled {
                return Err(Error::Compacted);
            }
            self.check_revision(&resp.result.header)?;
            for event in &resp.result.events {
                self.changes.push_back(Change::read(event)?);
            }
        }
        if self.buf.len() > MAX_LINE {
            return Err(api::malformed("line too long"));
        }
        Ok(())
    }

    fn check_revision(&self, header: &api::Header) -> Result<(), Error> {
        // A header without a revision says nothing.
        if header.revision.is_empty() || api::number(&header.revision)? >= self.known {
            return Ok(());
        }
        Err(Error::Restored)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.gate.calls().end_wait();
    }
}

impl Store {
    /// Watches the keys that start with `prefix` for changes from revision
    /// `from` on; 0 for the next change.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn watch(&self, prefix: &str, from: i64) -> Result<Watch, Error> {
        let req = api::WatchRequest {
            create_request: api::WatchCreate {
                key: api::encode(prefix.as_bytes()),
                range_end: api::encode(&api::range_end(prefix.as_bytes())),
                start_revision: from.to_string(),
            },
        };
        let permit = self.gate.enter(Kind::Watch, self.timeout).await?;
        let opened = self.open_watch(&req).await;
        permit.end(&opened);
        let body = opened?;
        self.gate.calls().wait();
        Ok(Watch {
            gate: Arc::clone(&self.gate),
            body,
            buf: Vec::new(),
            changes: VecDeque::new(),
            known: from.saturating_sub(1),
            until: Instant::now() + LIFE / 2 + LIFE.mul_f64(rand::random::<f64>() / 2.0),
        })
    }

    async fn open_watch(&self, req: &api::WatchRequest) -> Result<Incoming, Error> {
        let (status, body) = self
            .http
            .send_json_streaming(Method::POST, self.address, "/v3/watch", req)
            .await?;
        if !status.is_success() {
            return Err(Error::Refused {
                status: status.as_u16(),
            });
        }
        Ok(body)
    }

    /// Follows the keys that start with `prefix`, over outages, compaction and
    /// the store's return from an older copy.
    pub fn follow(&self, prefix: &str) -> Follower {
        Follower {
            store: self.clone(),
            prefix: prefix.to_owned(),
            failures: 0,
            next: None,
            watch: None,
        }
    }
}

/// What a [`Follower`] tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// All keys as they stand; replaces what was told before.
    All(Vec<Entry>),
    /// One change.
    One(Change),
}

/// Follows the keys of a prefix: lists them, then watches.
///
/// # Invariants
///
/// `next` is the first revision not yet told; `None` if the keys have to be
/// listed.
#[derive(Debug)]
pub struct Follower {
    store: Store,
    prefix: String,
    failures: u32,
    next: Option<i64>,
    watch: Option<Watch>,
}

impl Follower {
    /// Waits for the next update. Calls that fail are repeated with backoff.
    pub async fn next(&mut self) -> Update {
        loop {
            match self.step().await {
                Ok(Some(update)) => {
                    self.failures = 0;
                    return update;
                }
                Ok(None) => {}
                Err(e) => self.recover(e).await,
            }
        }
    }

    async fn step(&mut self) -> Result<Option<Update>, Error> {
        let Some(next) = self.next else {
            let listing = self.store.list_at(&self.prefix).await?;
            self.next = Some(listing.revision + 1);
            return Ok(Some(Update::All(listing.entries)));
        };
        let watch = match &mut self.watch {
            Some(watch) => watch,
            None => self
                .watch
                .insert(self.store.watch(&self.prefix, next).await?),
        };
        let Some(change) = watch.next().await? else {
            self.watch = None;
            // Watches that end together are not opened together.
            tokio::time::sleep(REOPENS.delay(0, rand::random())).await;
            return Ok(None);
        };
        if change.revision() < next {
            return Err(Error::Restored);
        }
        // The changes of one revision come together.
        let told = match watch.changes.is_empty() {
            true => change.revision() + 1,
            false => change.revision(),
        };
        self.next = Some(next.max(told));
        Ok(Some(Update::One(change)))
    }

    async fn recover(&mut self, e: Error) {
        log::debug!("store: watch of {}: {e}", self.prefix);
        self.watch = None;
        if matches!(
            e,
            Error::Compacted | Error::Restored | Error::Malformed { .. }
        ) {
            self.next = None;
        }
        let delay = REOPENS.delay(self.failures, rand::random());
        self.failures = self.failures.saturating_add(1);
        tokio::time::sleep(delay).await;
    }
}
