//! A write of a killed process is done late, over the record of its successor.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
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

/// How late the writes are done, within the 1 to 6 s of `platform_lost`, `late`.
const LATE: Duration = Duration::from_millis(3500);

/// When the processes are killed for the first and the second time, and how
/// long they are down.
const FIRST_KILL: f64 = 1.0;
const SECOND_KILL: f64 = 2.4;
const DOWN: f64 = 0.4;

/// When the operator adds a route, and when it is asked for: in steady state.
const ADD_AT: f64 = 16.0;
const ASK_FROM: f64 = 21.0;
const ASK_TO: f64 = 41.0;

/// Requests of each client, in a second.
const PER_S: f64 = 5.0;

const KEYS: &str = "chiverelay/instances/";

pub fn run(record: &Arc<Record>, trouble: bool) -> i32 {
    let ground = Ground::new();
    let store = Store::start();
    store.put("op/config", &configuration(3, false));
    for (i, zone) in ["lima-a", "arequipa-a", "cusco-a"].iter().enumerate() {
        for n in 0..2 {
            let name = format!("i-{i}{n}");
            let stamp = format!("stamp-{i}{n}");
            let handler: replica::Handler = Arc::new(move |msg, stream| {
                std::thread::sleep(Duration::from_millis(60));
                let id = msg.header("request-id").unwrap_or("");
                replica::answer(stream, 200, id, &stamp, "done")
            });
            let address = replica::serve(&name, listen("127.0.0.1"), handler);
            let entry = replica::entry("orders", address, zone, "ready", 0, 1_700_000_000_000, 1);
            store.put(&format!("servers/{name}"), &entry);
        }
    }
    let places = [
        ("front-cusco-a-1", "cusco-a", "cusco"),
        ("front-cusco-a-2", "cusco-a", "cusco"),
        ("front-lima-a-1", "lima-a", "lima"),
        ("front-lima-a-2", "lima-a", "lima"),
        ("front-arequipa-a-1", "arequipa-a", "arequipa"),
        ("front-arequipa-a-2", "arequipa-a", "arequipa"),
    ];
    let doors: Vec<_> = places.iter().map(|_| store.door()).collect();
    let mut gateways: Vec<Gateway> = (0..places.len())
        .map(|n| {
            let (name, zone, region) = places[n];
            Gateway::start(
                &ground,
                n,
                name,
                &Place { zone, region },
                260,
                doors[n].address,
            )
        })
        .collect();
    for gateway in &gateways {
        gateway.wait_ready();
    }
    std::thread::sleep(Duration::from_secs(5));
    let begin = record.now();
    if trouble {
        for (at, is_late) in [(FIRST_KILL, true), (SECOND_KILL, false)] {
            sleep_until(record, begin + at);
            record.say("the processes of cusco are killed");
            for n in 0..2 {
                gateways[n].kill();
                if is_late {
                    doors[n].delay_next("/v1/kv-txn", LATE);
                }
            }
            sleep_until(record, begin + at + DOWN);
            (0..2).for_each(|n| gateways[n].run(&ground));
            record.say("the processes of cusco are started");
        }
        if !(0..2).all(|n| doors[n].has_delayed_all()) {
            record.say("no write was delayed");
            return COULD_NOT_RUN;
        }
    }
    sleep_until(record, begin + ADD_AT);
    record.say(&format!("records in the store: {}", names(&store)));
    for gateway in &gateways {
        if !gateway.is_ready() {
            record.say(&format!("{} isn't ready", gateway.name));
        }
    }
    store.put("op/config", &configuration(4, true));
    record.say("version 4 adds a route whose home is cusco");
    sleep_until(record, begin + ASK_FROM);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (2..places.len())
        .map(|n| {
            let (front, record, stop) = (gateways[n].front, Arc::clone(record), Arc::clone(&stop));
            std::thread::spawn(move || ask(front, n, &record, &stop))
        })
        .collect();
    sleep_until(record, begin + ASK_TO);
    stop.store(true, Ordering::SeqCst);
    let mut sums = [Counts::default(); 2];
    for client in clients {
        let counts = client.join().unwrap();
        for (sum, counts) in sums.iter_mut().zip(counts) {
            sum.asked += counts.asked;
            sum.served += counts.served;
        }
    }
    let [first, added] = sums;
    record.say(&format!("records in the store: {}", names(&store)));
    record.say(&format!(
        "first route: {} of {} served",
        first.served, first.asked
    ));
    record.say(&format!(
        "added route: {} of {} served",
        added.served, added.asked
    ));
    if first.served * 2 < first.asked || added.asked < 20 {
        return COULD_NOT_RUN;
    }
    let share = |counts: Counts| counts.served as f64 / counts.asked as f64;
    match share(added) < share(first) / 4.0 {
        true => BROKEN,
        false => HELD,
    }
}

fn names(store: &Store) -> String {
    let keys = store.keys(KEYS);
    let names: Vec<&str> = keys
        .iter()
        .filter_map(|key| key.strip_prefix(KEYS))
        .collect();
    names.join(" ")
}

fn configuration(version: u32, is_added: bool) -> String {
    let route = |name: &str, homes: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"desk.example\",\"path_prefix\":\"/{name}/\",\"type\":\"idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":500,\"priority\":2,\"service\":\"orders\",\"max_attempts\":2,\"public\":true,\"resumable\":false,\"allowed_regions\":[{homes}]}}"
        )
    };
    let mut routes = vec![route("status", "")];
    if is_added {
        routes.push(route("cusco-status", "\"cusco\""));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"orders\",\"health_path\":\"/health\",\"max_connections\":110,\"warmup_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}",
        routes.join(",")
    )
}

#[derive(Clone, Copy, Default)]
struct Counts {
    asked: usize,
    served: usize,
}

/// Asks for the first and the added route by turns, on a new connection each.
fn ask(front: SocketAddr, n: usize, record: &Record, stop: &AtomicBool) -> [Counts; 2] {
    let mut counts = [Counts::default(); 2];
    for i in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let route = i % 2;
        let path = ["/status/2f", "/cusco-status/2f"][route];
        let id = format!("{n:04x}{i:08x}");
        let status = get(front, path, &id);
        counts[route].asked += 1;
        counts[route].served += usize::from(status == 200);
        record.note(&format!("{id} {path} got {status}"));
        std::thread::sleep(Duration::from_secs_f64(1.0 / PER_S));
    }
    counts
}

/// Returns the status of the answer, 0 without one.
fn get(front: SocketAddr, path: &str, id: &str) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut conn = Conn::new(stream);
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nRequest-Deadline: 4000\r\nConnection: close\r\n\r\n"
    );
    if conn.stream.write_all(text.as_bytes()).is_err() {
        return 0;
    }
    match conn.message(true) {
        Ok(Some(msg)) if msg.is_whole => msg.status(),
        _ => 0,
    }
}
