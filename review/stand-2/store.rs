//! A stand-in of the platform's store, as its page describes it. Each machine
//! has a door of its own, so that the store can be silent towards some.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::base::Conn;
use crate::base::Json;
use crate::base::Message;
use crate::base::base64;
use crate::base::listen;
use crate::base::respond_json;

#[derive(Clone)]
struct Item {
    /// As base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// How the store treats the calls that come through a door.
#[derive(Default)]
struct Treatment {
    is_silent: AtomicBool,
    /// Paths, and the times after which the next call of each is done, without
    /// an answer.
    late: Mutex<Vec<(&'static str, Duration)>>,
}

impl Treatment {
    fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::SeqCst)
    }

    fn take_delay(&self, path: &str) -> Option<Duration> {
        let mut late = self.late.lock().unwrap();
        let at = late
            .iter()
            .position(|(delayed, _)| path.starts_with(delayed))?;
        Some(late.remove(at).1)
    }
}

/// Where one machine reaches the store.
pub struct Door {
    pub address: SocketAddr,
    treatment: Arc<Treatment>,
}

impl Door {
    /// Leaves calls without an answer, or answers them again.
    pub fn set_silent(&self, silent: bool) {
        self.treatment.is_silent.store(silent, Ordering::SeqCst);
    }

    /// Does the next call of a path only after a time, and does not answer it.
    pub fn delay_next(&self, path: &'static str, time: Duration) {
        self.treatment.late.lock().unwrap().push((path, time));
    }

    /// Tells whether all calls were delayed that were to be.
    pub fn has_delayed_all(&self) -> bool {
        self.treatment.late.lock().unwrap().is_empty()
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 100,
                items: BTreeMap::new(),
                history: Vec::new(),
                leases: HashMap::new(),
                next_lease: 1,
            }),
            changed: Condvar::new(),
        });
        let own = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(25));
                let mut state = own.state.lock().unwrap();
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, lease)| lease.ends <= now);
                let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
                for id in &ended {
                    state.end_lease(*id);
                }
                if !ended.is_empty() {
                    own.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        self.state
            .lock()
            .unwrap()
            .put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Returns the keys of a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let keys = state.items.keys().filter(|k| k.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Opens a door.
    pub fn door(self: &Arc<Self>) -> Door {
        let listener = listen("127.0.0.1");
        let address = listener.local_addr().unwrap();
        let treatment = Arc::new(Treatment::default());
        let (store, shared) = (Arc::clone(self), Arc::clone(&treatment));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, treatment) = (Arc::clone(&store), Arc::clone(&shared));
                std::thread::spawn(move || store.serve(stream, &treatment));
            }
        });
        Door { address, treatment }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, treatment: &Treatment) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(msg)) = conn.message(false) {
            // A call that comes meanwhile is neither done nor answered.
            if treatment.is_silent() {
                return hold(treatment);
            }
            std::thread::sleep(Duration::from_millis(4));
            if let Some(time) = treatment.take_delay(msg.path()) {
                let store = Arc::clone(self);
                std::thread::spawn(move || {
                    std::thread::sleep(time);
                    store.answer(&msg);
                });
                // The connection returns nothing further.
                while conn.head().is_ok_and(|head| head.is_some()) {}
                return;
            }
            let (status, body) = self.answer(&msg);
            if treatment.is_silent() {
                return hold(treatment);
            }
            if respond_json(&mut conn.stream, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, msg: &Message) -> (u16, String) {
        let (path, query) = msg.path().split_once('?').unwrap_or((msg.path(), ""));
        let parameter = |name: &str| {
            let found = query.split('&').filter_map(|p| p.split_once('='));
            let mut found = found.filter(|(k, _)| *k == name);
            found.next().map_or(String::new(), |(_, v)| unescape(v))
        };
        match path {
            "/v1/kv-range" => self.range(&parameter("path_prefix"), &parameter("after")),
            "/v1/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = parameter("wait_ms").parse().unwrap_or(0);
                self.watch(
                    &parameter("path_prefix"),
                    after,
                    Duration::from_millis(wait),
                )
            }
            "/v1/kv-key" => {
                let state = self.state.lock().unwrap();
                let key = parameter("key");
                match state.items.get(&key) {
                    Some(item) => (200, encode(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            "/v1/kv-txn" => self.change(&body(msg)),
            "/v1/kv-lease" => {
                let ttl_ms = body(msg).get("ttl_ms").number();
                let ttl = Duration::from_secs_f64(ttl_ms / 1000.0);
                let mut state = self.state.lock().unwrap();
                let id = state.next_lease;
                state.next_lease += 1;
                state.leases.insert(
                    id,
                    Lease {
                        ttl,
                        ends: Instant::now() + ttl,
                    },
                );
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
            }
            _ => self.lease_call(path),
        }
    }

    fn lease_call(&self, path: &str) -> (u16, String) {
        let id = |prefix: &str| {
            path.strip_prefix(prefix)
                .and_then(|id| id.parse::<u64>().ok())
        };
        let mut state = self.state.lock().unwrap();
        if let Some(lease) = id("/v1/kv-keep/").and_then(|id| state.leases.get_mut(&id)) {
            lease.ends = Instant::now() + lease.ttl;
            return (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()));
        }
        if let Some(id) = id("/v1/kv-lease-end/") {
            if state.leases.contains_key(&id) {
                state.end_lease(id);
                self.changed.notify_all();
                return (200, "{}".to_owned());
            }
        }
        (404, "{}".to_owned())
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let found = state.items.iter();
        let found = found
            .filter(|(k, _)| k.starts_with(prefix) && (after.is_empty() || k.as_str() > after));
        let found: Vec<String> = found.map(|(k, item)| encode(k, item)).collect();
        let more = found.len() > 500;
        let items: Vec<String> = found.into_iter().take(500).collect();
        (
            200,
            format!(
                "{{\"items\":[{}],\"more_pages\":{more},\"store_revision\":{}}}",
                items.join(","),
                state.revision
            ),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state
                .history
                .iter()
                .filter(|(r, k, _)| *r > after && k.starts_with(prefix));
            let events: Vec<String> = events
                .map(|(revision, key, item)| match item {
                    Some(item) => encode(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision.max(after);
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"store_revision\":{revision}}}",
                        events.join(",")
                    ),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        for row in body.get("expected_revision").list() {
            let known = state
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.revision);
            if known != row.get("revision").number() as u64 {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").number() as u64;
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").number() as u64;
            state.put(
                put.get("key").text(),
                put.get("value").text().to_owned(),
                lease,
            );
        }
        for key in body.get("delete").list() {
            state.remove(key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

/// Holds a connection until the store answers again.
fn hold(treatment: &Treatment) {
    while treatment.is_silent() {
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn body(msg: &Message) -> Json {
    Json::parse(&String::from_utf8_lossy(&msg.body)).unwrap_or(Json::Null)
}

fn encode(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"create_rev\":{created},\"lease\":{lease}}}"
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(b) = rest.next() {
        if b != b'%' {
            bytes.push(b);
            continue;
        }
        let hex: Vec<u8> = rest.by_ref().take(2).collect();
        let hex = String::from_utf8_lossy(&hex).into_owned();
        bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
