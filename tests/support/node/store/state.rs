//! What the store holds, and how it changes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::Instant;

#[derive(Clone, Debug)]
pub(super) struct Stored {
    pub(super) value: Vec<u8>,
    pub(super) revision: u64,
    pub(super) lease: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) revision: u64,
    pub(super) stored: Option<Stored>,
}

#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) ttl: Duration,
    pub(super) ends: Instant,
}

/// The data of the store, as it was at some moment.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    pub(super) revision: u64,
    pub(super) items: BTreeMap<String, Stored>,
    pub(super) history: Vec<Change>,
    /// Changes up to this revision are forgotten.
    pub(super) forgotten: u64,
    pub(super) leases: HashMap<u64, Lease>,
    pub(super) next_lease: u64,
}

/// A response that is to be lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// The next one of a watch of this prefix that tells changes.
    Watch(String),
    /// The next page of a listing of this prefix.
    Page(String),
}

/// A write that is executed late and gets no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LateWrite {
    pub(super) key: String,
    pub(super) time: Duration,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) data: StoreCopy,
    /// How often the data was replaced by an older copy.
    pub(super) era: u64,
    pub(super) refusing: Option<StatusCode>,
    pub(super) mute: bool,
    /// Responses that are to be lost.
    pub(super) losing: Vec<Loss>,
    /// Writes that are to be executed late.
    pub(super) late_writes: Vec<LateWrite>,
    /// Time by which responses of paths that begin so come later.
    pub(super) delay: Option<(&'static str, Duration)>,
    /// Items that each page and each watch that told changes have besides.
    pub(super) odd_items: Vec<Value>,
    pub(super) calls: HashMap<String, usize>,
}

pub(super) type Shared = (
    Arc<Mutex<State>>,
    Arc<watch::Sender<u64>>,
    Arc<watch::Sender<u64>>,
);

pub(super) fn tell(state: &State, changed: &watch::Sender<u64>) {
    if !state.mute {
        changed.send_replace(state.data.revision);
    }
}

pub(super) fn put(state: &mut State, key: &str, value: Vec<u8>, lease: u64) -> u64 {
    state.data.revision += 1;
    let stored = Stored {
        value,
        revision: state.data.revision,
        lease,
    };
    state.data.items.insert(key.to_owned(), stored.clone());
    state.data.history.push(Change {
        key: key.to_owned(),
        revision: state.data.revision,
        stored: Some(stored),
    });
    state.data.revision
}

pub(super) fn remove(state: &mut State, key: &str) {
    if state.data.items.remove(key).is_some() {
        state.data.revision += 1;
        state.data.history.push(Change {
            key: key.to_owned(),
            revision: state.data.revision,
            stored: None,
        });
    }
}

pub(super) fn end_leases(state: &Mutex<State>, changed: &watch::Sender<u64>) {
    let mut state = state.lock().expect("no panic under the lock");
    let now = Instant::now();
    let ended: Vec<u64> = state
        .data
        .leases
        .iter()
        .filter(|(_, lease)| lease.ends <= now)
        .map(|(id, _)| *id)
        .collect();
    for id in ended {
        end_lease(&mut state, id);
    }
    tell(&state, changed);
}

pub(super) fn end_lease(state: &mut State, id: u64) {
    state.data.leases.remove(&id);
    let held = state.data.items.iter().filter(|(_, item)| item.lease == id);
    let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
    for key in keys {
        remove(state, &key);
    }
}
