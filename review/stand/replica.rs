//! A replica of a plain service: it registers itself, runs requests and echoes
//! their ids.

use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::base::Record;
use crate::base::read_message;
use crate::base::sleep_ms;
use crate::base::write_response;
use crate::store::Store;

const HEARTBEAT_MS: u64 = 1_200;

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub id: String,
    pub replica: String,
    pub service: String,
    pub tokens: u64,
    /// Whether the replica ran it to its end and answered.
    pub is_answered: bool,
}

/// All requests that reached replicas and were run.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

#[derive(Clone)]
pub struct Replica {
    pub name: String,
    service: String,
    zone: String,
    address: SocketAddr,
    work_ms: u64,
    store: Store,
    rec: Record,
    arrivals: Arrivals,
    is_registered: Arc<AtomicBool>,
    is_dead: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Replica {
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        work_ms: u64,
        store: &Store,
        rec: &Record,
        arrivals: &Arrivals,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            work_ms,
            store: store.clone(),
            rec: rec.clone(),
            arrivals: Arc::clone(arrivals),
            is_registered: Arc::new(AtomicBool::new(true)),
            is_dead: Arc::default(),
            open: Arc::default(),
        };
        let own = replica.clone();
        std::thread::spawn(move || own.accept(&listener));
        let own = replica.clone();
        own.register(1);
        std::thread::spawn(move || {
            for sequence in 2.. {
                sleep_ms(HEARTBEAT_MS);
                if own.is_dead() || !own.is_registered.load(Ordering::SeqCst) {
                    return;
                }
                own.register(sequence);
            }
        });
        replica
    }

    fn is_dead(&self) -> bool {
        self.is_dead.load(Ordering::SeqCst)
    }

    fn register(&self, sequence: u64) {
        let value = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":64,"state":"ready","warmup_left_ms":0,"sequence":{sequence},"born":1700000000000}}"#,
            self.service, self.address, self.zone
        );
        self.store.put(&format!("servers/{}", self.name), &value);
    }

    /// Has the replica leave without a word: its entry is removed, and it goes
    /// on serving until [`Replica::exit`].
    pub fn leave_silently(&self) {
        self.is_registered.store(false, Ordering::SeqCst);
        // A record that is being written comes first.
        sleep_ms(20);
        self.store.remove(&format!("servers/{}", self.name));
    }

    /// Ends the replica with all that it runs.
    pub fn exit(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(&self, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        while !self.is_dead() {
            let Ok((stream, _)) = listener.accept() else {
                sleep_ms(2);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                self.open.lock().unwrap().push(copy);
            }
            let own = self.clone();
            std::thread::spawn(move || own.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Some(req) = read_message(&mut input) {
            if self.is_dead() {
                return;
            }
            let id = req.header("request-id").unwrap_or_default().to_owned();
            if req.second == "/health" {
                write_response(&mut out, 200, &[("instance-id", &self.name)], b"");
                continue;
            }
            let named = req.header("target-instance");
            if named.is_some_and(|named| named != self.name) {
                let headers = [("request-id", id.as_str()), ("not-executed", "1")];
                write_response(&mut out, 421, &headers, b"");
                continue;
            }
            let usage = req.header("token-usage").unwrap_or_default();
            let tokens = usage
                .split(',')
                .filter_map(|n| n.trim().parse::<u64>().ok())
                .sum();
            let index = {
                let mut arrivals = self.arrivals.lock().unwrap();
                arrivals.push(Arrival {
                    at: self.rec.now(),
                    id: id.clone(),
                    replica: self.name.clone(),
                    service: self.service.clone(),
                    tokens,
                    is_answered: false,
                });
                arrivals.len() - 1
            };
            self.rec.line(&format!(
                "replica {} ({}) runs {id} {}",
                self.name, self.service, req.second
            ));
            sleep_ms(self.work_ms);
            if self.is_dead() {
                return;
            }
            let stamp = format!("stamp.{}", self.name);
            let headers = [
                ("request-id", id.as_str()),
                ("server-stamp", stamp.as_str()),
                ("keep-alive", "timeout=5"),
            ];
            if !write_response(&mut out, 200, &headers, self.name.as_bytes()) {
                return;
            }
            self.arrivals.lock().unwrap()[index].is_answered = true;
        }
    }
}
