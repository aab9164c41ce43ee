//! Large bodies are forwarded to a region of which only one instance is left. The
//! platform ends a process that exceeds its memory.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::base::BROKEN;
use crate::base::COULD_NOT_RUN;
use crate::base::Conn;
use crate::base::Gateway;
use crate::base::Ground;
use crate::base::HELD;
use crate::base::Place;
use crate::base::Record;
use crate::base::listen;
use crate::base::sleep_until;
use crate::replica;
use crate::store::Store;

/// Memory of each machine, in MB.
const MEMORY_MB: u32 = 260;

/// Machines of the regions that forward.
const SENDERS: usize = 18;

/// Length of a large body, just below `max_body_bytes`.
const LARGE_BODY: usize = 4_000_000;

/// Clients with large bodies at each machine of the other regions.
const LARGE_CLIENTS: usize = 11;

/// Clients with small bodies at the machine that is watched.
const SMALL_CLIENTS: usize = 11;

/// The clients' deadline and the routes' timeout.
const DEADLINE_MS: u32 = 3000;

/// Time that a replica works on a request.
const WORK: Duration = Duration::from_millis(300);

/// Times at which machines are lost, and at which the case ends, after the
/// traffic has begun.
const LOSS_AT: f64 = 8.0;
const END_AT: f64 = 22.0;

#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    /// Connections that closed without an answer.
    closed: AtomicUsize,
}

impl Counts {
    fn text(&self) -> String {
        let get = |n: &AtomicUsize| n.load(Ordering::SeqCst);
        format!(
            "{} answered, {} refused with 503, {} failed with 502 or 504, {} closed without an answer",
            get(&self.answered),
            get(&self.refused),
            get(&self.failed),
            get(&self.closed)
        )
    }
}

pub fn run(record: &Arc<Record>, trouble: bool) -> i32 {
    let ground = Ground::new();
    let store = Store::start();
    let route = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"desk.example\",\"path_prefix\":\"/{name}/\",\"type\":\"non_idempotent\",\"timeout_ms\":{DEADLINE_MS},\"target_latency_ms\":500,\"priority\":1,\"service\":\"orders\",\"max_attempts\":1,\"public\":true,\"resumable\":false,\"allowed_regions\":[\"maritimes\"]}}"
        )
    };
    store.put("op/config", &format!("{{\"version\":3,\"routes\":[{},{}],\"services\":[{{\"name\":\"orders\",\"health_path\":\"/health\",\"max_connections\":370,\"warmup_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}", route("deposit"), route("drawing")));
    // Requests of small clients that reached a replica, by id.
    let arrived: Arc<Mutex<std::collections::HashSet<String>>> = Arc::default();
    for i in 0..3 {
        let name = format!("i-{i}");
        let stamp = format!("stamp-{i}");
        let arrived = Arc::clone(&arrived);
        let handler: replica::Handler = Arc::new(move |msg, stream| {
            let id = msg.header("request-id").unwrap_or("");
            if msg.path().starts_with("/deposit/") {
                arrived.lock().unwrap().insert(id.to_owned());
            }
            std::thread::sleep(WORK);
            replica::answer(stream, 200, id, &stamp, "done")
        });
        let address = replica::serve(&name, listen("127.0.0.1"), handler);
        store.put(
            &format!("servers/{name}"),
            &replica::entry("orders", address, "mar-a", "ready", 0, 1_700_000_000_000, 1),
        );
    }
    let door = store.door();
    let senders = std::env::var("SENDERS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(SENDERS);
    let mut places = vec![
        ("front-mar-a-1".to_owned(), "mar-a", "maritimes"),
        ("front-mar-a-2".to_owned(), "mar-a", "maritimes"),
        ("front-mar-a-3".to_owned(), "mar-a", "maritimes"),
    ];
    for n in 0..senders {
        let (zone, region) = [("qc-a", "quebec"), ("on-a", "ontario")][n % 2];
        places.push((format!("front-{zone}-{}", n / 2 + 1), zone, region));
    }
    let start = |(n, (name, zone, region)): (usize, &(String, &str, &str))| {
        let place = Place { zone, region };
        Arc::new(Mutex::new(Gateway::start(
            &ground,
            n,
            name,
            &place,
            MEMORY_MB,
            door.address,
        )))
    };
    let gateways: Vec<_> = places.iter().enumerate().map(start).collect();
    let fronts: Vec<SocketAddr> = gateways.iter().map(|g| g.lock().unwrap().front).collect();
    for gateway in &gateways {
        gateway.lock().unwrap().wait_ready();
    }
    std::thread::sleep(Duration::from_secs(5));
    let begin = record.now();
    let stop = Arc::new(AtomicBool::new(false));
    let (large, small) = (Arc::new(Counts::default()), Arc::new(Counts::default()));
    let mut clients = Vec::new();
    let large_body = Arc::new(vec![b'a'; LARGE_BODY]);
    for (n, front) in fronts.iter().enumerate().skip(3) {
        for c in 0..LARGE_CLIENTS {
            let client = Client {
                front: *front,
                prefix: format!("1{n:03x}{c:04x}"),
                path: "/drawing/2f",
                body: Arc::clone(&large_body),
                pause: Duration::from_millis(100),
                counts: Arc::clone(&large),
                stop: Arc::clone(&stop),
                record: Arc::clone(record),
                arrived: None,
            };
            clients.push(std::thread::spawn(move || client.run()));
        }
    }
    for c in 0..SMALL_CLIENTS {
        let client = Client {
            front: fronts[0],
            prefix: format!("2000{c:04x}"),
            path: "/deposit/2f",
            body: Arc::new(vec![b'a'; 600]),
            pause: Duration::from_millis(50),
            counts: Arc::clone(&small),
            stop: Arc::clone(&stop),
            record: Arc::clone(record),
            arrived: Some(Arc::clone(&arrived)),
        };
        clients.push(std::thread::spawn(move || client.run()));
    }
    // The platform ends a process that exceeds its memory, and starts it again.
    let ends = Arc::new(AtomicUsize::new(0));
    let peak = Arc::new(Mutex::new(0.0_f64));
    let platform = {
        let (stop, ends, peak, record) = (
            Arc::clone(&stop),
            Arc::clone(&ends),
            Arc::clone(&peak),
            Arc::clone(record),
        );
        let watched = gateways.clone();
        let (tmp, root) = (ground.tmp.clone(), ground.root.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                for (n, gateway) in watched.iter().enumerate() {
                    let mut gateway = gateway.lock().unwrap();
                    let used = gateway.memory_mb("VmRSS");
                    if n == 0 {
                        let mut peak = peak.lock().unwrap();
                        *peak = peak.max(used);
                    }
                    if used <= f64::from(MEMORY_MB) {
                        continue;
                    }
                    record.say(&format!(
                        "{} uses {used:.0} MB of {MEMORY_MB} MB: the platform ends it",
                        gateway.name
                    ));
                    ends.fetch_add(1, Ordering::SeqCst);
                    gateway.kill();
                    std::thread::sleep(Duration::from_millis(300));
                    let ground = std::mem::ManuallyDrop::new(Ground {
                        root: root.clone(),
                        tmp: tmp.clone(),
                    });
                    gateway.run(&ground);
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    };
    sleep_until(record, begin + LOSS_AT);
    record.say(&format!("large bodies: {}", large.text()));
    record.say(&format!(
        "small bodies: {}; most memory of front-mar-a-1: {:.0} MB",
        small.text(),
        peak.lock().unwrap()
    ));
    if trouble {
        record.say("front-mar-a-2 and front-mar-a-3 are lost for good");
        (1..3).for_each(|n| gateways[n].lock().unwrap().kill());
    }
    sleep_until(record, begin + END_AT);
    stop.store(true, Ordering::SeqCst);
    let _ = platform.join();
    for client in clients {
        let _ = client.join();
    }
    record.say(&format!("large bodies: {}", large.text()));
    record.say(&format!("small bodies at front-mar-a-1: {}", small.text()));
    let lost = small.closed.load(Ordering::SeqCst);
    let ends = ends.load(Ordering::SeqCst);
    record.say(&format!(
        "most memory of front-mar-a-1: {:.0} MB of {MEMORY_MB} MB; processes ended over their memory: {ends}; requests passed on whose kept connection closed without an answer: {lost}",
        peak.lock().unwrap()
    ));
    if small.answered.load(Ordering::SeqCst) == 0 || large.answered.load(Ordering::SeqCst) == 0 {
        return COULD_NOT_RUN;
    }
    match ends > 0 && lost > 3 {
        true => BROKEN,
        false => HELD,
    }
}

struct Client {
    front: SocketAddr,
    prefix: String,
    path: &'static str,
    body: Arc<Vec<u8>>,
    pause: Duration,
    counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    record: Arc<Record>,
    /// Where given, only requests count as lost that reached a replica.
    arrived: Option<Arc<Mutex<std::collections::HashSet<String>>>>,
}

impl Client {
    fn run(&self) {
        let mut kept: Option<Conn> = None;
        let mut has_served = false;
        for i in 0.. {
            if self.stop.load(Ordering::SeqCst) {
                return;
            }
            std::thread::sleep(self.pause);
            let mut conn = match kept.take() {
                Some(conn) => conn,
                None => match TcpStream::connect_timeout(&self.front, Duration::from_secs(1)) {
                    Ok(stream) => {
                        has_served = false;
                        Conn::new(stream)
                    }
                    Err(_) => {
                        std::thread::sleep(Duration::from_millis(200));
                        continue;
                    }
                },
            };
            let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(9)));
            let _ = conn.stream.set_write_timeout(Some(Duration::from_secs(9)));
            let id = format!("{}{i:08x}", self.prefix);
            let head = format!(
                "POST {} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nRequest-Deadline: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n",
                self.path,
                self.body.len()
            );
            let sent = conn
                .stream
                .write_all(head.as_bytes())
                .and_then(|()| conn.stream.write_all(&self.body));
            let got = sent.and_then(|()| conn.message(true));
            match got {
                Ok(Some(msg)) if msg.is_whole => {
                    let count = match msg.status() {
                        200 => &self.counts.answered,
                        503 => &self.counts.refused,
                        _ => &self.counts.failed,
                    };
                    count.fetch_add(1, Ordering::SeqCst);
                    self.record.note(&format!("{id} got {}", msg.status()));
                    if msg.status() == 503 {
                        std::thread::sleep(Duration::from_millis(300));
                    }
                    has_served = true;
                    if !msg.closes() {
                        kept = Some(conn);
                    }
                }
                _ => {
                    let reached = self
                        .arrived
                        .as_ref()
                        .is_none_or(|a| a.lock().unwrap().contains(&id));
                    // A connection counts as kept once it has carried an answer.
                    if reached && has_served {
                        self.counts.closed.fetch_add(1, Ordering::SeqCst);
                        self.record.note(&format!(
                            "{id} got no answer: its kept connection is closed"
                        ));
                    }
                }
            }
        }
    }
}
