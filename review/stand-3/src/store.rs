//! A stand-in of the platform's store, as PROTOCOL.md tells it.

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

use crate::http;
use crate::http::Message;
use crate::json::Json;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    /// Time for an answer.
    delay: Duration,
    /// While it is down, the store answers nothing, and leases pause.
    down_since: Option<Instant>,
    /// Rises when the waiting watches are cut.
    cuts: u64,
    /// Log of the calls that change something.
    log: Vec<(Instant, String)>,
}

/// The store. Clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            revision: 100,
            next_lease: 7000,
            delay: Duration::from_millis(4),
            ..State::default()
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Store { shared, address };
        let serving = store.clone();
        http::serve(listener, move |stream| serving.serve(stream));
        let leases = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                leases.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("the store's state")
    }

    /// Writes a key as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        write(&mut state, key, Some((base64(value.as_bytes()), 0)));
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        revision
    }

    /// Writes a replica's record at a heartbeat, unless the store is away. An
    /// entry changes only if more than its number does.
    pub fn beat(&self, key: &str, value: &str) {
        let mut state = self.lock();
        if state.down_since.is_some() || state.items.contains_key(key) {
            return;
        }
        write(&mut state, key, Some((base64(value.as_bytes()), 0)));
        drop(state);
        self.shared.1.notify_all();
    }

    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    pub fn set_down(&self, is_down: bool) {
        let mut state = self.lock();
        if is_down {
            state.down_since = Some(Instant::now());
        } else if let Some(since) = state.down_since.take() {
            let pause = since.elapsed();
            state
                .leases
                .values_mut()
                .for_each(|lease| lease.ends += pause);
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Cuts the watches that wait.
    pub fn cut_watches(&self) {
        self.lock().cuts += 1;
        self.shared.1.notify_all();
    }

    pub fn take_log(&self) -> Vec<(Instant, String)> {
        std::mem::take(&mut self.lock().log)
    }

    fn expire(&self) {
        let mut state = self.lock();
        if state.down_since.is_some() {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &over {
            end_lease(&mut state, *id);
        }
        drop(state);
        if !over.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read(&mut reader) {
            if self.lock().down_since.is_some() {
                // A connection on which a response is lost returns nothing more.
                while self.lock().down_since.is_some() {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let delay = self.lock().delay;
            std::thread::sleep(delay);
            if self.lock().down_since.is_some() {
                return;
            }
            let Some((status, body)) = self.handle(&req) else {
                return;
            };
            let head = "Content-Type: application/json\r\n";
            if http::respond(&mut out, status, head, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, req: &Message) -> Option<(u16, String)> {
        let method = req.first.first().map_or("", String::as_str);
        let path = req.path().to_owned();
        match (method, path.as_str()) {
            ("GET", "/v1/kv-key") => Some(self.key(req)),
            ("GET", "/v1/kv-range") => Some(self.range(req)),
            ("GET", "/v1/kv-watch") => self.watch(req),
            ("POST", "/v1/kv-txn") => Some(self.transact(req)),
            ("POST", "/v1/kv-lease") => Some(self.grant(req)),
            ("POST", _) if path.starts_with("/v1/kv-keep/") => {
                Some(self.keep(path["/v1/kv-keep/".len()..].parse().unwrap_or(0)))
            }
            ("DELETE", _) if path.starts_with("/v1/kv-lease-end/") => {
                Some(self.end(path["/v1/kv-lease-end/".len()..].parse().unwrap_or(0)))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn key(&self, req: &Message) -> (u16, String) {
        let state = self.lock();
        let key = req.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => (200, document(&key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, req: &Message) -> (u16, String) {
        let state = self.lock();
        let prefix = req.query("path_prefix").unwrap_or_default();
        let after = req.query("after").unwrap_or_default();
        let items = state
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix) && (after.is_empty() || **k > after));
        let items: Vec<String> = items.map(|(k, item)| document(k, item)).collect();
        let body = format!(
            "{{\"items\":[{}],\"more_pages\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, req: &Message) -> Option<(u16, String)> {
        let prefix = req.query("path_prefix").unwrap_or_default();
        let after: u64 = req.query("after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait: u64 = req
            .query("wait_ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let cuts = state.cuts;
        loop {
            if state.down_since.is_some() || state.cuts != cuts {
                return None;
            }
            let events = state
                .events
                .iter()
                .filter(|e| e.revision > after && e.key.starts_with(&prefix));
            let events: Vec<String> = events
                .map(|e| match &e.item {
                    Some(item) => document(&e.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
                        escape(&e.key),
                        e.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                let delay = state.delay;
                drop(state);
                // An answer takes its time, too.
                std::thread::sleep(delay.saturating_sub(Duration::from_millis(4)));
                return self.lock().down_since.is_none().then_some((200, body));
            }
            state = self
                .shared
                .1
                .wait_timeout(state, until - now)
                .expect("the store's state")
                .0;
        }
    }

    fn transact(&self, req: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&req.body) else {
            return (400, "{}".to_owned());
        };
        let empty = Json::Null;
        let list = |name| body.get(name).unwrap_or(&empty).list();
        let field = |item: &Json, name| item.get(name).cloned().unwrap_or(Json::Null);
        let mut state = self.lock();
        for row in list("expected_revision") {
            let key = field(row, "key").str().to_owned();
            let known = state.items.get(&key).map_or(0, |item| item.revision);
            if known != field(row, "revision").num() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for put in list("puts") {
            let lease = field(put, "lease").num();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in list("puts") {
            let key = field(put, "key").str().to_owned();
            let value = field(put, "value").str().to_owned();
            let lease = field(put, "lease").num();
            write(&mut state, &key, Some((value, lease)));
            state
                .log
                .push((Instant::now(), format!("put {key} lease {lease}")));
        }
        for key in list("delete") {
            write(&mut state, key.str(), None);
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, req: &Message) -> (u16, String) {
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let ttl = body.get("ttl_ms").map_or(0, Json::num).clamp(1000, 600_000);
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        let ttl_time = Duration::from_millis(ttl);
        state.leases.insert(
            id,
            Lease {
                ttl: ttl_time,
                ends: Instant::now() + ttl_time,
            },
        );
        (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
    }

    fn keep(&self, id: u64) -> (u16, String) {
        match self.lock().leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end(&self, id: u64) -> (u16, String) {
        let mut state = self.lock();
        if !state.leases.contains_key(&id) {
            return (404, "{}".to_owned());
        }
        end_lease(&mut state, id);
        drop(state);
        self.shared.1.notify_all();
        (200, "{}".to_owned())
    }
}

fn end_lease(state: &mut State, id: u64) {
    state.leases.remove(&id);
    let keys = state.items.iter().filter(|(_, item)| item.lease == id);
    let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
    for key in keys {
        write(state, &key, None);
        state
            .log
            .push((Instant::now(), format!("end of lease {id} removes {key}")));
    }
}

fn write(state: &mut State, key: &str, value: Option<(String, u64)>) {
    state.revision += 1;
    let revision = state.revision;
    let item = value.map(|(value, lease)| Item {
        value,
        revision,
        created: state.items.get(key).map_or(revision, |old| old.created),
        lease,
    });
    match &item {
        Some(item) => {
            state.items.insert(key.to_owned(), item.clone());
        }
        None => {
            state.items.remove(key);
        }
    }
    state.events.push(Event {
        key: key.to_owned(),
        revision,
        item,
    });
}

/// Writes a key as the text of a JSON string.
fn escape(key: &str) -> String {
    let mut out = String::new();
    for c in key.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if c < ' ' => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out
}

fn document(key: &str, item: &Item) -> String {
    let key = escape(key);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_rev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

pub fn base64(data: &[u8]) -> String {
    const WORDS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            let is_there = i <= chunk.len();
            let word = WORDS[(n >> (18 - 6 * i)) as usize & 63];
            out.push(if is_there { char::from(word) } else { '=' });
        }
    }
    out
}
