//! What a daemon adds on the path: time, processor time and memory.
//!
//! `cargo bench --bench overhead` prints the machine, and in one run the ratio
//! of the paths: straight to a stand-in engine, through one daemon, and
//! through two daemons in different regions.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use support::block_on;
use support::site::Site;
use support::site::document;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Requests one after the other on one connection.
const SERIAL: usize = 3000;

/// Loaded runs, of which the median counts.
const RUNS: usize = 5;

/// Requests of a worker in a loaded run.
const LOADED: usize = 500;

/// Connections of the loaded run.
const CONNECTIONS: usize = 32;

/// Streams held open in the memory run.
const STREAMS: usize = 1000;

/// Clock ticks of processor time a second, as Linux counts them.
const TICKS: f64 = 100.0;

type Sender = http1::SendRequest<Full<Bytes>>;

async fn connect(address: SocketAddr) -> Sender {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("an open socket");
    let (sender, conn) = http1::handshake(TokioIo::new(stream))
        .await
        .expect("a handshake");
    tokio::spawn(conn);
    sender
}

fn request(key: &str, body: &serde_json::Value) -> Request<Full<Bytes>> {
    Request::post("/v1/chat/completions")
        .header("host", "bench")
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request")
}

async fn read(body: Incoming) {
    body.collect().await.expect("a whole answer");
}

async fn exchange(sender: &mut Sender, key: &str, body: &serde_json::Value) {
    sender.ready().await.expect("an open connection");
    let resp = sender
        .send_request(request(key, body))
        .await
        .expect("an answer");
    assert!(resp.status().is_success(), "status {}", resp.status());
    read(resp.into_body()).await;
}

/// Times requests one after the other, in microseconds.
async fn serial(address: SocketAddr, key: &str, body: &serde_json::Value) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("a precision of 3 digits");
    let mut sender = connect(address).await;
    for i in 0..SERIAL + SERIAL / 10 {
        let start = Instant::now();
        exchange(&mut sender, key, body).await;
        if i >= SERIAL / 10 {
            let micros = start.elapsed().as_micros() as u64;
            times.record(micros).expect("a histogram that grows");
        }
    }
    times
}

/// Returns the processor time of a process in seconds.
fn processor_time(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a live process");
    let fields = stat.rsplit(')').next().expect("fields after the name");
    let ticks: Vec<f64> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .map(|f| f.parse().expect("a number"))
        .collect();
    ticks.iter().sum::<f64>() / TICKS
}

/// Returns the resident memory of a process in KiB.
fn memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a live process");
    status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .and_then(|l| l.split_whitespace().next()?.parse().ok())
        .expect("a resident size")
}

/// Returns requests a second in wall time and in one core's processor time.
async fn loaded(site: &Site, key: &str, body: &serde_json::Value) -> (f64, f64) {
    let daemon = site.daemon("lima-1");
    let pid = daemon.process.id();
    let (start, before) = (Instant::now(), processor_time(pid));
    let mut workers = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let (address, key, body) = (daemon.caller, key.to_owned(), body.clone());
        workers.spawn(async move {
            let mut sender = connect(address).await;
            for _ in 0..LOADED {
                exchange(&mut sender, &key, &body).await;
            }
        });
    }
    workers.join_all().await;
    let total = (CONNECTIONS * LOADED) as f64;
    let cores = processor_time(pid) - before;
    (total / start.elapsed().as_secs_f64(), total / cores)
}

/// Returns KiB of the daemon's memory a stream, with the streams held open.
async fn streams(site: &Site, key: &str) -> f64 {
    let daemon = site.daemon("lima-1");
    let before = memory(daemon.process.id());
    let body = json!({"model": "slow", "stream": true, "max_tokens": 1_000_000, "messages": []});
    let mut open = Vec::new();
    for _ in 0..STREAMS {
        let mut sender = connect(daemon.caller).await;
        let resp = sender
            .send_request(request(key, &body))
            .await
            .expect("an answer");
        assert!(resp.status().is_success(), "status {}", resp.status());
        open.push((sender, resp));
    }
    let after = memory(daemon.process.id());
    after.saturating_sub(before) as f64 / STREAMS as f64
}

fn row(name: &str, times: &Histogram<u64>, base: f64) {
    println!(
        "{name:<24} {:>8} us {:>8} us {:>8.2}",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.value_at_quantile(0.5) as f64 / base
    );
}

fn machine() {
    let info = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = info.lines().find_map(|l| l.strip_prefix("model name"));
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "machine: {} cores{}",
        cores,
        model.unwrap_or(": model not stated")
    );
}

fn main() {
    machine();
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (_, near) = site.engine("near", Duration::ZERO).await;
        let (_, far) = site.engine("far", Duration::ZERO).await;
        let (_, slow) = site.engine("slow", Duration::from_millis(500)).await;
        let mut doc = document(&[("near", near, "lima")], &[]);
        doc["accounts"]["encargos"] =
            json!({"rate": 4_000_000_000_u64, "burst": 8_000_000_000_u64});
        for (name, address, region) in [("far", far, "cusco"), ("slow", slow, "lima")] {
            doc["routes"][name] = json!({
                "path": "/v1/chat/completions", "model": name, "pool": name,
                "accounts": ["encargos"],
            });
            doc["pools"][name] = json!({"kind": "engine", "slots": 2 * STREAMS, "targets": {
                name: {"address": address, "region": region, "zone": format!("{region}-a")},
            }});
        }
        site.apply("lima-1", doc).await;
        let key = site.grant("lima-1", "encargos").await.key;
        let caller = site.daemon("lima-1").caller;
        let ask = |model: &str| json!({"model": model, "max_tokens": 1, "messages": []});

        println!(
            "{:<24} {:>11} {:>11} {:>8}",
            "path", "median", "p99", "ratio"
        );
        let direct = serial(near, "", &ask("m")).await;
        let base = direct.value_at_quantile(0.5) as f64;
        row("straight to the engine", &direct, base);
        row(
            "through one daemon",
            &serial(caller, &key, &ask("m")).await,
            base,
        );
        row(
            "through two daemons",
            &serial(caller, &key, &ask("far")).await,
            base,
        );

        let mut runs = Vec::new();
        for _ in 0..RUNS {
            let (wall, core) = loaded(&site, &key, &ask("m")).await;
            println!("loaded: {wall:.0} requests/s, {core:.0} requests/s a core of the daemon");
            runs.push(core);
        }
        runs.sort_by(f64::total_cmp);
        println!("median: {:.0} requests/s a core", runs[RUNS / 2]);
        let kib = streams(&site, &key).await;
        println!("open streams: {kib:.1} KiB of the daemon's memory each");
    });
}
