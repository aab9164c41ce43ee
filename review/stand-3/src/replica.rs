//! A stand-in of a model replica: it takes one request at a time on a
//! connection, answers with a stream of events, and notes each run.

use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::store::Store;

/// A run of a request, or one that was refused.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub replica: String,
    pub tenant: String,
    pub tokens: u64,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How a replica works.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Time until its first event.
    pub first: Duration,
    /// Time between its events.
    pub pause: Duration,
    pub events: u32,
}

/// Starts a replica, which writes its record at each heartbeat.
pub fn start(store: &Store, id: &str, service: &str, zone: &str, work: Work, runs: &Runs) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (name, runs) = (id.to_owned(), Arc::clone(runs));
    http::serve(listener, move |stream| {
        let _ = serve(stream, &name, work, &runs);
    });
    let key = format!("servers/{id}");
    let head = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"warmup_left_ms\":0,\"born\":{}",
        unix_ms()
    );
    let store = store.clone();
    std::thread::spawn(move || {
        for sequence in 1.. {
            store.beat(&key, &format!("{head},\"sequence\":{sequence}}}"));
            std::thread::sleep(Duration::from_millis(1200));
        }
    });
}

fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}

fn serve(stream: TcpStream, name: &str, work: Work, runs: &Runs) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(req) = http::read(&mut reader)? {
        if req.path() == "/health" {
            http::respond(&mut out, 200, &format!("Instance-Id: {name}\r\n"), b"")?;
            continue;
        }
        let id = req.header("request-id").unwrap_or_default().to_owned();
        if req
            .header("target-instance")
            .is_some_and(|target| target != name)
        {
            http::respond(&mut out, 421, &format!("Instance-Id: {name}\r\n"), b"")?;
            continue;
        }
        let tokens = req.header("token-usage").map_or(200, |usage| {
            usage
                .split(',')
                .filter_map(|n| n.trim().parse::<u64>().ok())
                .sum()
        });
        let run = Run {
            at: Instant::now(),
            id: id.clone(),
            replica: name.to_owned(),
            tenant: req.header("tenant-id").unwrap_or_default().to_owned(),
            tokens,
        };
        runs.lock().expect("the runs").push(run);
        std::thread::sleep(work.first);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s.{name}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        let done = req
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        for n in done + 1..=work.events {
            let event = format!("id: {n}\ndata: piece {n} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            out.write_all(chunk.as_bytes())?;
            if n < work.events {
                std::thread::sleep(work.pause);
            }
        }
        out.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
