//! A stand-in of the platform's store, with its faults.

mod answers;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chiverelay_http as http;
use hyper::StatusCode;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

pub use state::StoreCopy;

use answers::answer;
use state::LateWrite;
use state::Loss;
use state::State;
use state::end_leases;
use state::put;
use state::remove;
use state::tell;

/// A stand-in of the platform's store.
#[derive(Debug)]
pub struct PlatformStore {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    cut: Arc<watch::Sender<u64>>,
    /// Where it listens.
    pub address: SocketAddr,
    _guard: DropGuard,
}

impl PlatformStore {
    /// Starts an empty store.
    pub async fn start() -> Self {
        let (listener, address) = crate::platform::listener().await;
        let state = Arc::new(Mutex::new(State::default()));
        let changed = Arc::new(watch::Sender::new(0));
        let cut = Arc::new(watch::Sender::new(0));
        let stop = CancellationToken::new();
        let shared = (Arc::clone(&state), Arc::clone(&changed), Arc::clone(&cut));
        tokio::spawn(http::serve(listener, stop.clone(), move |req| {
            let shared = shared.clone();
            async move { answer(shared, req).await }
        }));
        let (leases, told) = (Arc::clone(&state), Arc::clone(&changed));
        tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(50)).await;
                end_leases(&leases, &told);
            }
        }));
        Self {
            state,
            changed,
            cut,
            address,
            _guard: stop.drop_guard(),
        }
    }

    /// Writes a key as its owner would.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes a key whose value need not be readable.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().expect("no panic under the lock");
        put(&mut state, key, value.to_vec(), 0);
        tell(&state, &self.changed);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().expect("no panic under the lock");
        remove(&mut state, key);
        tell(&state, &self.changed);
    }

    /// Lists the keys of a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().expect("no panic under the lock");
        let keys = state
            .data
            .items
            .keys()
            .filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().expect("no panic under the lock");
        state.data.items.get(key).map(|item| item.value.clone())
    }

    /// Counts the calls of a path.
    pub fn calls(&self, path: &str) -> usize {
        let state = self.state.lock().expect("no panic under the lock");
        state.calls.get(path).copied().unwrap_or_default()
    }

    /// Refuses every call with a status, or serves them again.
    pub fn refuse(&self, status: Option<StatusCode>) {
        let mut state = self.state.lock().expect("no panic under the lock");
        state.refusing = status;
    }

    /// Has watches hear nothing of what changes, or hear again.
    pub fn mute(&self, mute: bool) {
        self.state.lock().expect("no panic under the lock").mute = mute;
    }

    /// Loses the next response of a watch of this prefix that tells changes. Its
    /// connection stays open and returns nothing further.
    pub fn lose_next_watch(&self, prefix: &str) {
        let mut state = self.state.lock().expect("no panic under the lock");
        state.losing.push(Loss::Watch(prefix.to_owned()));
    }

    /// Loses the next page of a listing of this prefix. Its connection stays open
    /// and returns nothing further.
    pub fn lose_next_page(&self, prefix: &str) {
        let mut state = self.state.lock().expect("no panic under the lock");
        state.losing.push(Loss::Page(prefix.to_owned()));
    }

    /// Executes the next write of a key late, by this time, if its conditions hold
    /// then. It gets no response.
    pub fn execute_late(&self, key: &str, time: Duration) {
        let mut state = self.state.lock().expect("no panic under the lock");
        let key = key.to_owned();
        state.late_writes.push(LateWrite { key, time });
    }

    /// Sends each response of a path that begins so later, by this time.
    pub fn delay_responses(&self, path: &'static str, time: Duration) {
        let mut state = self.state.lock().expect("no panic under the lock");
        state.delay = Some((path, time));
    }

    /// Tells whether all responses that were to be lost are.
    pub fn has_lost_all(&self) -> bool {
        let state = self.state.lock().expect("no panic under the lock");
        state.losing.is_empty()
    }

    /// Has each page and each watch that tells changes hold another item, which
    /// need not be readable.
    pub fn add_odd_item(&self, item: Value) {
        let mut state = self.state.lock().expect("no panic under the lock");
        state.odd_items.push(item);
    }

    /// Forgets the history so far and cuts the watches that wait.
    pub fn forget(&self) {
        let mut state = self.state.lock().expect("no panic under the lock");
        state.data.forgotten = state.data.revision;
        state.data.history.clear();
        drop(state);
        self.cut_watches();
    }

    /// Copies the data.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock().expect("no panic under the lock");
        state.data.clone()
    }

    /// Comes back from an older copy: what was written since is gone, and its
    /// revisions and lease ids are given out again. Watches that wait go on
    /// waiting.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.lock().expect("no panic under the lock");
        let now = Instant::now();
        state.data = copy;
        state.era += 1;
        for lease in state.data.leases.values_mut() {
            lease.ends = now + lease.ttl;
        }
    }

    /// Comes back from an older copy, and has the operator and the targets
    /// write again what it lost.
    pub fn restore_and_write_again(&self, copy: StoreCopy) {
        let latest = self.copy();
        self.restore(copy);
        let mut state = self.state.lock().expect("no panic under the lock");
        let old = state.data.items.clone();
        let is_written_again = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        for key in old.keys().filter(|key| is_written_again(key)) {
            if !latest.items.contains_key(key) {
                remove(&mut state, key);
            }
        }
        for (key, item) in latest.items.iter().filter(|(key, _)| is_written_again(key)) {
            if old.get(key).is_none_or(|old| old.value != item.value) {
                put(&mut state, key, item.value.clone(), 0);
            }
        }
        tell(&state, &self.changed);
    }

    /// Cuts the watches that wait.
    pub fn cut_watches(&self) {
        self.cut.send_modify(|n| *n += 1);
    }

    /// Ends every lease at once, as an outage may.
    pub fn end_all_leases(&self) {
        let mut state = self.state.lock().expect("no panic under the lock");
        let now = Instant::now();
        for lease in state.data.leases.values_mut() {
            lease.ends = now;
        }
        drop(state);
        end_leases(&self.state, &self.changed);
    }
}
