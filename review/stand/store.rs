//! The platform's store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::base::Json;
use crate::base::base64;
use crate::base::read_message;
use crate::base::sleep_ms;
use crate::base::write_response;

const PAGE: usize = 500;

/// Stands for an answer that is lost.
const LOST: u16 = 0;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(String, u64, Option<Item>)>,
    leases: HashMap<u64, (u64, Instant)>,
    next_lease: u64,
    /// How often the watches that wait were cut.
    cuts: u64,
    /// The entrances whose machines are cut off.
    closed: Vec<usize>,
    /// The entrance and prefix of a watch whose next answer is lost.
    losing: Option<(usize, String)>,
    /// How many answers were lost.
    lost: usize,
}

/// The store. Machines reach it through entrances, of which each can be closed.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let store = Self {
            shared: Arc::new((Mutex::new(State::default()), Condvar::new())),
        };
        let own = store.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(20);
                own.end_leases();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Opens an entrance and returns its address.
    pub fn entrance(&self, number: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream, number));
            }
        });
        address
    }

    /// Cuts the machines of an entrance off: no call is executed or answered.
    pub fn close(&self, entrance: usize) {
        self.lock().closed.push(entrance);
        self.shared.1.notify_all();
    }

    /// Serves the machines of an entrance again.
    pub fn open(&self, entrance: usize) {
        self.lock().closed.retain(|n| *n != entrance);
        self.shared.1.notify_all();
    }

    /// Waits while an entrance is closed, and tells whether it was.
    fn is_held(&self, entrance: usize) -> bool {
        let mut state = self.lock();
        let is_held = state.closed.contains(&entrance);
        while state.closed.contains(&entrance) {
            state = self.shared.1.wait(state).unwrap();
        }
        is_held
    }

    /// Cuts the watches that wait.
    pub fn cut_watches(&self) {
        self.lock().cuts += 1;
        self.shared.1.notify_all();
    }

    /// Loses the next answer of a watch of a prefix, by an entrance.
    pub fn lose_next_watch(&self, entrance: usize, prefix: &str) {
        self.lock().losing = Some((entrance, prefix.to_owned()));
    }

    /// Counts the answers that were lost.
    pub fn count_lost(&self) -> usize {
        self.lock().lost
    }

    pub fn put(&self, key: &str, value: &str) {
        write(&mut self.lock(), key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        erase(&mut self.lock(), key);
        self.shared.1.notify_all();
    }

    pub fn count(&self, prefix: &str) -> usize {
        let state = self.lock();
        state.items.keys().filter(|k| k.starts_with(prefix)).count()
    }

    fn end_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, ends))| *ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            end_lease(&mut state, *id);
        }
        drop(state);
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream, entrance: usize) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Some(req) = read_message(&mut input) {
            if self.is_held(entrance) {
                // The sender has given the call up; it is not executed.
                let _ = out.shutdown(std::net::Shutdown::Both);
                return;
            }
            let (path, query) = req.second.split_once('?').unwrap_or((&req.second, ""));
            let answer = match path {
                "/v1/kv-range" => Some((200, self.range(query))),
                "/v1/kv-watch" => self.watch(query, entrance),
                "/v1/kv-txn" => Some(self.change(&String::from_utf8_lossy(&req.body))),
                "/v1/kv-lease" => Some((200, self.grant(&String::from_utf8_lossy(&req.body)))),
                _ => Some(self.lease_call(path)),
            };
            if matches!(answer, Some((LOST, _))) {
                // The connection returns nothing further.
                while read_message(&mut input).is_some() {}
                return;
            }
            let Some((status, body)) = answer else {
                // A watch that was cut, or held up by a cut of its machine.
                self.is_held(entrance);
                let _ = out.shutdown(std::net::Shutdown::Both);
                return;
            };
            let json = [("content-type", "application/json")];
            if !write_response(&mut out, status, &json, body.as_bytes()) {
                return;
            }
        }
    }

    fn range(&self, query: &str) -> String {
        let (prefix, after) = (parameter(query, "path_prefix"), parameter(query, "after"));
        let state = self.lock();
        let found = state.items.iter();
        let found =
            found.filter(|(k, _)| k.starts_with(&prefix) && (after.is_empty() || **k > after));
        let found: Vec<String> = found.map(|(k, item)| item_json(k, item)).collect();
        let more = found.len() > PAGE;
        let page = &found[..found.len().min(PAGE)];
        format!(
            r#"{{"items":[{}],"more_pages":{more},"store_revision":{}}}"#,
            page.join(","),
            state.revision
        )
    }

    fn watch(&self, query: &str, entrance: usize) -> Option<(u16, String)> {
        let prefix = parameter(query, "path_prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait_ms: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        let cuts = state.cuts;
        loop {
            if state.closed.contains(&entrance) || state.cuts != cuts {
                return None;
            }
            let new = state.history.iter();
            let new = new.filter(|(k, revision, _)| *revision > after && k.starts_with(&prefix));
            let events: Vec<String> = new
                .map(|(key, revision, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
                })
                .collect();
            let now = Instant::now();
            let losing = state.losing.as_ref();
            if !events.is_empty() && losing.is_some_and(|(n, p)| *n == entrance && *p == prefix) {
                state.losing = None;
                state.lost += 1;
                return Some((LOST, String::new()));
            }
            if !events.is_empty() || now >= until {
                let revision = state.revision.max(after);
                let events = events.join(",");
                return Some((
                    200,
                    format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#),
                ));
            }
            let wait = until - now;
            state = self.shared.1.wait_timeout(state, wait).unwrap().0;
        }
    }

    fn change(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, String::new());
        };
        let list = |name: &str| body.get(name).map_or(&[][..], Json::list).to_vec();
        let mut state = self.lock();
        for wanted in list("expected_revision") {
            let key = wanted.get("key").map_or("", Json::text);
            let revision = wanted.get("revision").map_or(0, Json::number);
            if state.items.get(key).map_or(0, |item| item.revision) != revision {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        for put in list("puts") {
            let lease = put.get("lease").map_or(0, Json::number);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in list("puts") {
            let key = put.get("key").map_or("", Json::text).to_owned();
            let value = put.get("value").map_or("", Json::text).to_owned();
            let lease = put.get("lease").map_or(0, Json::number);
            write(&mut state, &key, value, lease);
        }
        for key in list("delete") {
            erase(&mut state, key.text());
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }

    fn grant(&self, body: &str) -> String {
        let body = Json::parse(body);
        let ttl = body
            .as_ref()
            .and_then(|b| b.get("ttl_ms"))
            .map_or(0, Json::number);
        let ttl = ttl.clamp(1_000, 600_000);
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        state
            .leases
            .insert(id, (ttl, Instant::now() + Duration::from_millis(ttl)));
        format!(r#"{{"lease":{id},"ttl_ms":{ttl}}}"#)
    }

    fn lease_call(&self, path: &str) -> (u16, String) {
        let mut state = self.lock();
        let id = |prefix: &str| path.strip_prefix(prefix)?.parse::<u64>().ok();
        if let Some(lease) = id("/v1/kv-keep/").and_then(|id| state.leases.get_mut(&id)) {
            lease.1 = Instant::now() + Duration::from_millis(lease.0);
            return (200, format!(r#"{{"ttl_ms":{}}}"#, lease.0));
        }
        if let Some(id) = id("/v1/kv-lease-end/") {
            end_lease(&mut state, id);
            drop(state);
            self.shared.1.notify_all();
            return (200, "{}".to_owned());
        }
        (404, "{}".to_owned())
    }
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |old| old.created);
    let item = Item {
        value,
        revision,
        created,
        lease,
    };
    state.items.insert(key.to_owned(), item.clone());
    state.history.push((key.to_owned(), revision, Some(item)));
}

fn erase(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        state.history.push((key.to_owned(), state.revision, None));
    }
}

fn end_lease(state: &mut State, id: u64) {
    state.leases.remove(&id);
    let held = state.items.iter().filter(|(_, item)| item.lease == id);
    let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
    for key in keys {
        erase(state, &key);
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"create_rev":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    let mut bytes = Vec::new();
    let mut rest = found.map_or("", |(_, value)| value).as_bytes();
    while let [first, tail @ ..] = rest {
        if let (b'%', [a, b, tail @ ..]) = (first, tail) {
            let digits = [*a, *b];
            let digits = std::str::from_utf8(&digits).unwrap_or("00");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
            rest = tail;
        } else {
            bytes.push(*first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
