//! A replica turns cold while the platform's store is silent. It says so in its
//! health answers, and can't write its entry before the store is back.

use std::collections::VecDeque;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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

/// What a cold replica takes in a second, and for how long it is cold, as the
/// site's services say.
const COLD_PER_S: f64 = 13.0;
const WARMUP: Duration = Duration::from_secs(3);

/// The rule's bound: `cold_per_s` x `cold_overage` + `cold_slack`.
const BOUND: f64 = COLD_PER_S * 1.5 + 3.0;

/// A rate well above `cold_per_s`, at which the replica crashes.
const CRASH_AT: usize = 26;

/// Requests a second of all clients together.
const RATE: f64 = 30.0;

/// Events of a stream, and the pause before each.
const EVENTS: usize = 5;
const PAUSE: Duration = Duration::from_millis(60);

/// How long the store is silent: `platform_down`, 4.5 s.
const SILENCE: f64 = 4.5;

struct Replica {
    /// Arrivals of requests since it turned cold, by the clock of the record.
    cold_arrivals: VecDeque<f64>,
    cold_since: Option<Instant>,
    most: usize,
    crashed_at: Option<f64>,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> i32 {
    let ground = Ground::new();
    let store = Store::start();
    store.put("op/config", "{\"version\":3,\"routes\":[{\"name\":\"chat\",\"hostname\":\"desk.example\",\"path_prefix\":\"/chat/\",\"type\":\"streaming\",\"timeout_ms\":4000,\"target_latency_ms\":1000,\"priority\":0,\"service\":\"model\",\"max_attempts\":1,\"public\":true,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":200,\"allowed_regions\":[]}],\"services\":[{\"name\":\"model\",\"health_path\":\"/health\",\"max_connections\":370,\"warmup_s\":3.0,\"cold_per_s\":13.0,\"engine\":{\"slots\":64,\"kv_cache_tokens\":604507,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}");
    let state = Arc::new(Mutex::new(Replica {
        cold_arrivals: VecDeque::new(),
        cold_since: None,
        most: 0,
        crashed_at: None,
    }));
    let has_crashed = Arc::new(AtomicBool::new(false));
    let health_checks = Arc::new(AtomicUsize::new(0));
    let handler = handler(record, &state, &has_crashed, &health_checks);
    let address = replica::serve("i-7f3a91c2", listen("127.0.0.1"), handler);
    let entry = |warmup_ms: u64, sequence: u64| {
        replica::entry(
            "model",
            address,
            "lima-a",
            "ready",
            warmup_ms,
            1_700_000_000_000,
            sequence,
        )
    };
    store.put("servers/i-7f3a91c2", &entry(0, 1));
    let doors = [store.door(), store.door()];
    let place = Place {
        zone: "lima-a",
        region: "lima",
    };
    let gateways: Vec<Gateway> = (0..2)
        .map(|n| {
            Gateway::start(
                &ground,
                n,
                &format!("front-lima-a-{}", n + 1),
                &place,
                260,
                doors[n].address,
            )
        })
        .collect();
    for gateway in &gateways {
        gateway.wait_ready();
    }
    // The instances know how many they are after this.
    std::thread::sleep(Duration::from_secs(5));
    let begin = record.now();
    record.say(&format!(
        "clients send {RATE} streams a second; the bound while cold is {BOUND} a second"
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let clients = clients(record, &gateways, &stop);
    // The replica writes its entry again as long as it reaches the store.
    let is_silent = Arc::new(AtomicBool::new(false));
    let heart = {
        let (store, stop, silent, state) = (
            Arc::clone(&store),
            Arc::clone(&stop),
            Arc::clone(&is_silent),
            Arc::clone(&state),
        );
        let entries = move |warmup_ms, sequence| {
            replica::entry(
                "model",
                address,
                "lima-a",
                "ready",
                warmup_ms,
                1_700_000_000_000,
                sequence,
            )
        };
        std::thread::spawn(move || {
            let (mut sequence, mut told_cold, mut next) = (2, false, Instant::now());
            while !stop.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(10));
                let left = state
                    .lock()
                    .unwrap()
                    .cold_since
                    .map(|at| WARMUP.saturating_sub(at.elapsed()));
                let left_ms = left.unwrap_or_default().as_millis() as u64;
                // Turning cold is told at once, the rest with the heartbeat.
                let is_due = Instant::now() >= next || (left_ms > 0 && !told_cold);
                if !is_due || silent.load(Ordering::SeqCst) {
                    continue;
                }
                told_cold = left_ms > 0;
                next = Instant::now() + Duration::from_millis(1200);
                store.put("servers/i-7f3a91c2", &entries(left_ms, sequence));
                sequence += 1;
            }
        })
    };
    sleep_until(record, begin + 4.0);
    if trouble {
        is_silent.store(true, Ordering::SeqCst);
        doors.iter().for_each(|door| door.set_silent(true));
        record.say("the store is silent");
    }
    sleep_until(record, begin + 4.5);
    state.lock().unwrap().cold_since = Some(Instant::now());
    record.say("the replica turns cold for 3 s");
    sleep_until(record, begin + 4.0 + SILENCE);
    if trouble {
        doors.iter().for_each(|door| door.set_silent(false));
        is_silent.store(false, Ordering::SeqCst);
        record.say("the store answers again");
    }
    sleep_until(record, begin + 12.0);
    stop.store(true, Ordering::SeqCst);
    let mut sums = [0; 4];
    for client in clients {
        let counts = client.join().unwrap();
        (0..4).for_each(|i| sums[i] += counts[i]);
    }
    let _ = heart.join();
    let replica = state.lock().unwrap();
    let [whole, cut, refused, failed] = sums;
    record.say(&format!(
        "clients: {whole} streams whole, {cut} cut midway, {refused} refused, {failed} failed"
    ));
    record.say(&format!(
        "the cold replica got at most {} requests in a second (bound {BOUND}); health checks sent to it: {}",
        replica.most,
        health_checks.load(Ordering::SeqCst)
    ));
    if let Some(at) = replica.crashed_at {
        record.say(&format!("the replica crashed at {at:.3}"));
    }
    if whole == 0 {
        return COULD_NOT_RUN;
    }
    match replica.most as f64 > BOUND {
        true => BROKEN,
        false => HELD,
    }
}

fn handler(
    record: &Arc<Record>,
    state: &Arc<Mutex<Replica>>,
    has_crashed: &Arc<AtomicBool>,
    health_checks: &Arc<AtomicUsize>,
) -> replica::Handler {
    let (record, state, has_crashed, health_checks) = (
        Arc::clone(record),
        Arc::clone(state),
        Arc::clone(has_crashed),
        Arc::clone(health_checks),
    );
    Arc::new(move |msg, stream| {
        if has_crashed.load(Ordering::SeqCst) {
            return false;
        }
        if msg.path() == "/health" {
            health_checks.fetch_add(1, Ordering::SeqCst);
            let left = state
                .lock()
                .unwrap()
                .cold_since
                .map(|at| WARMUP.saturating_sub(at.elapsed()));
            let left = left.unwrap_or_default().as_millis();
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: i-7f3a91c2\r\nCold-Remaining: {left}\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let id = msg.header("request-id").unwrap_or("").to_owned();
        let now = record.now();
        {
            let mut replica = state.lock().unwrap();
            if replica.cold_since.is_some_and(|at| at.elapsed() < WARMUP) {
                replica.cold_arrivals.push_back(now);
                while replica
                    .cold_arrivals
                    .front()
                    .is_some_and(|at| *at <= now - 1.0)
                {
                    replica.cold_arrivals.pop_front();
                }
                replica.most = replica.most.max(replica.cold_arrivals.len());
                record.note(&format!(
                    "cold replica gets {id}, {} in the last second",
                    replica.cold_arrivals.len()
                ));
                if replica.cold_arrivals.len() >= CRASH_AT && replica.crashed_at.is_none() {
                    replica.crashed_at = Some(now);
                    has_crashed.store(true, Ordering::SeqCst);
                    record.note("the replica crashes");
                }
            }
        }
        stream_events(stream, &id, &has_crashed)
    })
}

/// Writes a stream, which breaks off if the replica crashes meanwhile.
fn stream_events(stream: &mut TcpStream, id: &str, has_crashed: &AtomicBool) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp\r\nKeep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for n in 1..=EVENTS {
        std::thread::sleep(PAUSE);
        if has_crashed.load(Ordering::SeqCst) {
            return false;
        }
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Starts clients that send at an even pace, by turns to each instance. Each
/// returns its streams that were whole, cut, refused and failed.
fn clients(
    record: &Arc<Record>,
    gateways: &[Gateway],
    stop: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<[usize; 4]>> {
    const CLIENTS: usize = 30;
    let begin = Instant::now();
    (0..CLIENTS)
        .map(|n| {
            let front = gateways[n % gateways.len()].front;
            let (record, stop) = (Arc::clone(record), Arc::clone(stop));
            std::thread::spawn(move || {
                let mut counts = [0; 4];
                let mut conn: Option<Conn> = None;
                for i in 0.. {
                    let due = (i * CLIENTS + n) as f64 / RATE;
                    std::thread::sleep(
                        Duration::from_secs_f64(due).saturating_sub(begin.elapsed()),
                    );
                    if stop.load(Ordering::SeqCst) {
                        return counts;
                    }
                    let id = format!("{:08x}{i:08x}", n + 1);
                    let (kind, answer) = send(&mut conn, front, &id);
                    counts[kind] += 1;
                    record.note(&format!("client got {answer} for {id}"));
                }
                counts
            })
        })
        .collect()
}

fn send(kept: &mut Option<Conn>, front: std::net::SocketAddr, id: &str) -> (usize, String) {
    let mut conn = match kept.take() {
        Some(conn) => conn,
        None => match TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
            Ok(stream) => Conn::new(stream),
            Err(e) => return (3, e.to_string()),
        },
    };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(4)));
    let text = format!(
        "POST /chat/2f HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nRequest-Deadline: 4000\r\nModel: m\r\nToken-Usage: 300,40\r\nPrompt-Prefix: {id}:300\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    if let Err(e) = conn.stream.write_all(text.as_bytes()) {
        return (3, e.to_string());
    }
    match conn.message(true) {
        Ok(Some(msg)) if msg.status() == 200 && msg.is_whole => {
            if !msg.closes() {
                *kept = Some(conn);
            }
            (0, "200 whole".to_owned())
        }
        Ok(Some(msg)) if msg.status() == 200 => (1, "200 cut midway".to_owned()),
        Ok(Some(msg)) => {
            let status = msg.status();
            if msg.is_whole && !msg.closes() {
                *kept = Some(conn);
            }
            (if status == 503 { 2 } else { 3 }, status.to_string())
        }
        Ok(None) => (3, "a closed connection".to_owned()),
        Err(e) => (3, e.to_string()),
    }
}
