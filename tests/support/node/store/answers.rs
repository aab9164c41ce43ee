//! Answers to the calls of the store.

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

use super::super::wire::encode_item;
use super::super::wire::parameter;
use super::state::Lease;
use super::state::Loss;
use super::state::Shared;
use super::state::State;
use super::state::Stored;
use super::state::end_lease;
use super::state::put;
use super::state::remove;
use super::state::tell;

/// Header with the number of times that the data was replaced by an older copy.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Largest body of a call, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

fn item(key: &str, stored: &Stored) -> Value {
    encode_item(key, &stored.value, stored.revision, stored.lease)
}

pub(super) async fn answer(shared: Shared, req: Request<Incoming>) -> Response<http::Body> {
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
            // Who hears nothing is told of no later revision, or would never hear it.
            let revision = if state.mute {
                after
            } else {
                state.data.revision
            };
            (events(&state, &prefix, after), revision)
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
    state: &Arc<Mutex<State>>,
    changed: &Arc<watch::Sender<u64>>,
    req: Request<Incoming>,
) -> Response<http::Body> {
    let body: Value = match http::read_json(req, MAX_BODY).await {
        Ok(body) => body,
        Err(resp) => return *resp,
    };
    let late = {
        let mut state = state.lock().expect("no panic under the lock");
        take_late_write(&mut state, &body)
    };
    if let Some(time) = late {
        let (state, changed) = (Arc::clone(state), Arc::clone(changed));
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            change_now(&state, &changed, &body);
        });
        return std::future::pending().await;
    }
    change_now(state, changed, &body)
}

/// Takes the order to execute a write late, if there is one for it.
fn take_late_write(state: &mut State, body: &Value) -> Option<Duration> {
    let is_put = |key: &str| rows(body, "puts").any(|put| put["key"] == key);
    let at = state
        .late_writes
        .iter()
        .position(|late| is_put(&late.key))?;
    Some(state.late_writes.remove(at).time)
}

fn rows<'a>(body: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    body[field].as_array().into_iter().flatten()
}

fn change_now(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    body: &Value,
) -> Response<http::Body> {
    let mut state = state.lock().expect("no panic under the lock");
    let lease = |put: &Value| put["lease"].as_u64().unwrap_or_default();
    let is_ended = |id: u64| id != 0 && !state.data.leases.contains_key(&id);
    if rows(body, "puts").any(|put| is_ended(lease(put))) {
        return http::empty_response(StatusCode::NOT_FOUND);
    }
    let keys = rows(body, "expected_revision").filter_map(|row| row["key"].as_str());
    let found = |key: &str| state.data.items.get(key);
    let is_met = |row: &Value| {
        let stored = row["key"].as_str().and_then(found);
        row["revision"] == stored.map_or(0, |stored| stored.revision)
    };
    if !rows(body, "expected_revision").all(is_met) {
        let stored = keys.filter_map(|key| Some(item(key, found(key)?)));
        let items: Vec<Value> = stored.collect();
        return http::json_response(
            StatusCode::PRECONDITION_FAILED,
            &json!({"items": items, "store_revision": state.data.revision}),
        );
    }
    for entry in rows(body, "puts") {
        let key = entry["key"].as_str().unwrap_or_default();
        let value = entry["value"].as_str().unwrap_or_default();
        let value = BASE64_STANDARD.decode(value).unwrap_or_default();
        put(&mut state, key, value, lease(entry));
    }
    for key in rows(body, "delete").filter_map(Value::as_str) {
        remove(&mut state, key);
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
