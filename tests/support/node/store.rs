//! A stand-in of the platform's store, with its faults.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use chiverelay_http as http;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::wire::encode_item;
use super::wire::parameter;

/// Header with the number of times that the data was replaced by an older copy.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Largest body of a call, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug)]
struct Stored {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    stored: Option<Stored>,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// The data of the store, as it was at some moment.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, Stored>,
    history: Vec<Change>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

/// A response that is to be lost.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Loss {
    /// The next one of a watch of this prefix that tells changes.
    Watch(String),
    /// The next page of a listing of this prefix.
    Page(String),
}

#[derive(Debug, Default)]
struct State {
    data: StoreCopy,
    /// How often the data was replaced by an older copy.
    era: u64,
    refusing: Option<StatusCode>,
    mute: bool,
    /// Responses that are to be lost.
    losing: Vec<Loss>,
    /// Time by which responses of paths that begin so come later.
    delay: Option<(&'static str, Duration)>,
    /// Items that each page and each watch that told changes have besides.
    odd_items: Vec<Value>,
    calls: HashMap<String, usize>,
}

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

type Shared = (
    Arc<Mutex<State>>,
    Arc<watch::Sender<u64>>,
    Arc<watch::Sender<u64>>,
);

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

fn tell(state: &State, changed: &watch::Sender<u64>) {
    if !state.mute {
        changed.send_replace(state.data.revision);
    }
}

fn put(state: &mut State, key: &str, value: Vec<u8>, lease: u64) -> u64 {
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

fn remove(state: &mut State, key: &str) {
    if state.data.items.remove(key).is_some() {
        state.data.revision += 1;
        state.data.history.push(Change {
            key: key.to_owned(),
            revision: state.data.revision,
            stored: None,
        });
    }
}

fn end_leases(state: &Mutex<State>, changed: &watch::Sender<u64>) {
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

fn end_lease(state: &mut State, id: u64) {
    state.data.leases.remove(&id);
    let held = state.data.items.iter().filter(|(_, item)| item.lease == id);
    let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
    for key in keys {
        remove(state, &key);
    }
}

fn item(key: &str, stored: &Stored) -> Value {
    encode_item(key, &stored.value, stored.revision, stored.lease)
}

async fn answer(shared: Shared, req: Request<Incoming>) -> Response<http::Body> {
    let state = Arc::clone(&shared.0);
    if let Some(status) = note_call(&state, &req) {
        // Something between the caller and the store refuses.
        return http::empty_response(status);
    }
    let path = req.uri().path().to_owned();
    let mut resp = execute(shared, req).await;
    let (era, delay) = {
        let state = state.lock().expect("no panic under the lock");
        (state.era, state.delay)
    };
    if let Some((_, time)) = delay.filter(|(delayed, _)| path.starts_with(delayed)) {
        tokio::time::sleep(time).await;
    }
    resp.headers_mut().insert(ERA, era.into());
    resp
}

/// Counts a call, and returns the status with which it is to be refused.
fn note_call(state: &Mutex<State>, req: &Request<Incoming>) -> Option<StatusCode> {
    let mut state = state.lock().expect("no panic under the lock");
    let path = req.uri().path().to_owned();
    *state.calls.entry(path).or_default() += 1;
    state.refusing
}

async fn execute(shared: Shared, req: Request<Incoming>) -> Response<http::Body> {
    let (state, changed, cut) = shared;
    let path = req.uri().path().to_owned();
    match path.as_str() {
        "/v1/kv-range" if is_lost(&state, &Loss::Page(parameter(&req, "path_prefix"))) => {
            std::future::pending().await
        }
        "/v1/kv-range" => range(&state, &req),
        "/v1/kv-watch" => wait(&state, &changed, &cut, &req).await,
        "/v1/kv-txn" => change(&state, &changed, req).await,
        "/v1/kv-lease" => grant(&state, req).await,
        _ => lease_call(&state, &changed, &path),
    }
}

/// Items in one page, few enough that tests see several pages.
const PAGE: usize = 4;

fn range(state: &Mutex<State>, req: &Request<Incoming>) -> Response<http::Body> {
    let state = state.lock().expect("no panic under the lock");
    let (prefix, after) = (parameter(req, "path_prefix"), parameter(req, "after"));
    let found = state
        .data
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
    let found: Vec<Value> = found.map(|(key, stored)| item(key, stored)).collect();
    let more = found.len() > PAGE;
    let odd = state.odd_items.iter().cloned();
    let items: Vec<Value> = odd.chain(found.into_iter().take(PAGE)).collect();
    http::json_response(
        StatusCode::OK,
        &json!({"items": items, "more_pages": more, "store_revision": state.data.revision}),
    )
}

async fn wait(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    cut: &watch::Sender<u64>,
    req: &Request<Incoming>,
) -> Response<http::Body> {
    let prefix = parameter(req, "path_prefix");
    let after: u64 = parameter(req, "after").parse().unwrap_or_default();
    let wait_ms: u64 = parameter(req, "wait_ms").parse().unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let (mut told, mut cuts) = (changed.subscribe(), cut.subscribe());
    // A watch that waits isn't told when an older copy replaces the data.
    if after > state.lock().expect("no panic under the lock").data.revision {
        return http::empty_response(StatusCode::GONE);
    }
    told.mark_unchanged();
    cuts.mark_unchanged();
    loop {
        let (events, revision) = {
            let state = state.lock().expect("no panic under the lock");
            // A watch that began before the history went may hear of it late.
            if after < state.data.forgotten && !state.mute {
                return http::empty_response(StatusCode::GONE);
            }
            (events(&state, &prefix, after), state.data.revision)
        };
        if !events.is_empty() && is_lost(state, &Loss::Watch(prefix.clone())) {
            return std::future::pending().await;
        }
        if !events.is_empty() || Instant::now() >= until {
            let body = json!({"events": events, "store_revision": revision.max(after)});
            return http::json_response(StatusCode::OK, &body);
        }
        tokio::select! {
            _ = told.changed() => {}
            _ = cuts.changed() => {
                let mut resp = http::empty_response(StatusCode::OK);
                resp.extensions_mut().insert(http::ResetConnection);
                return resp;
            }
            () = tokio::time::sleep_until(until) => {}
        }
    }
}

/// Takes the order to lose a response, if there is one.
fn is_lost(state: &Mutex<State>, loss: &Loss) -> bool {
    let mut state = state.lock().expect("no panic under the lock");
    let ordered = state.losing.iter().position(|losing| losing == loss);
    ordered.map(|at| state.losing.remove(at)).is_some()
}

fn events(state: &State, prefix: &str, after: u64) -> Vec<Value> {
    if state.mute {
        return Vec::new();
    }
    let new = state.data.history.iter();
    let new = new.filter(|c| c.revision > after && c.key.starts_with(prefix));
    let mut events: Vec<Value> = new
        .map(|change| match &change.stored {
            Some(stored) => item(&change.key, stored),
            None => json!({"key": change.key, "revision": change.revision, "tombstone": true}),
        })
        .collect();
    if !events.is_empty() {
        events.extend(state.odd_items.iter().cloned());
    }
    events
}

async fn change(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    req: Request<Incoming>,
) -> Response<http::Body> {
    let body: Value = match http::read_json(req, MAX_BODY).await {
        Ok(body) => body,
        Err(resp) => return *resp,
    };
    let mut state = state.lock().expect("no panic under the lock");
    let none = Vec::new();
    for entry in body["puts"].as_array().unwrap_or(&none) {
        let lease = entry["lease"].as_u64().unwrap_or_default();
        if lease != 0 && !state.data.leases.contains_key(&lease) {
            return http::empty_response(StatusCode::NOT_FOUND);
        }
    }
    for entry in body["puts"].as_array().unwrap_or(&none) {
        let key = entry["key"].as_str().unwrap_or_default();
        let value = entry["value"].as_str().unwrap_or_default();
        let value = BASE64_STANDARD.decode(value).unwrap_or_default();
        put(
            &mut state,
            key,
            value,
            entry["lease"].as_u64().unwrap_or_default(),
        );
    }
    tell(&state, changed);
    http::json_response(StatusCode::OK, &json!({"revision": state.data.revision}))
}

async fn grant(state: &Mutex<State>, req: Request<Incoming>) -> Response<http::Body> {
    let body: Value = match http::read_json(req, MAX_BODY).await {
        Ok(body) => body,
        Err(resp) => return *resp,
    };
    let ttl_ms = body["ttl_ms"].as_u64().unwrap_or_default();
    let ttl = Duration::from_millis(ttl_ms);
    let mut state = state.lock().expect("no panic under the lock");
    state.data.next_lease += 1;
    let id = state.data.next_lease;
    let ends = Instant::now() + ttl;
    state.data.leases.insert(id, Lease { ttl, ends });
    http::json_response(StatusCode::OK, &json!({"lease": id, "ttl_ms": ttl_ms}))
}

fn lease_call(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    path: &str,
) -> Response<http::Body> {
    let mut state = state.lock().expect("no panic under the lock");
    let id = |prefix: &str| path.strip_prefix(prefix)?.parse::<u64>().ok();
    if let Some(lease) = id("/v1/kv-keep/").and_then(|id| state.data.leases.get_mut(&id)) {
        lease.ends = Instant::now() + lease.ttl;
        return http::json_response(
            StatusCode::OK,
            &json!({"ttl_ms": lease.ttl.as_millis() as u64}),
        );
    }
    if let Some(id) = id("/v1/kv-lease-end/") {
        end_lease(&mut state, id);
        tell(&state, changed);
        return http::json_response(StatusCode::OK, &json!({}));
    }
    http::empty_response(StatusCode::NOT_FOUND)
}
