//! What it costs to run an operation at most once.
//!
//! `cargo bench --bench once` prints the store's calls and the time that a
//! ticket or an idempotency key adds to a request, and the time of a call of
//! the store by the keys that it creates. The last table works out the size to
//! design for from these slopes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chiverelay_decisions::tickets::Issuer;
use chiverelay_decisions::tickets::Nonce;
use chiverelay_decisions::tickets::OperationDigest;
use chiverelay_decisions::tickets::TicketBounds;
use chiverelay_decisions::tickets::UsedTickets;
use chiverelay_decisions::tickets::Validity;
use chiverelay_standin::faults::Faults;
use chiverelay_store::Budget;
use chiverelay_store::Store;
use hdrhistogram::Histogram;
use serde_json::json;
use support::block_on;
use support::caller;
use support::site::Site;
use support::site::document;
use tokio::task::JoinSet;

/// Time of an answer of the store, in milliseconds.
const STORE_MS: u64 = 2;

/// Requests one after the other.
const SERIAL: usize = 200;

/// Requests of each caller at once.
const EACH: usize = 10;

/// Calls of the store for each size of a batch.
const CALLS: usize = 100;

/// Claims of the table.
const CLAIMS: u64 = 200_000;

/// Requests a second to design for that may not be repeated.
const TARGET: f64 = 2_700.0;

/// Instances that write keys, as the daemon has it.
const WRITERS: f64 = 4.0;

/// Time in which keys gather for one call, in seconds, as the daemon has it.
const WINDOW: f64 = 0.004;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    None,
    OwnTicket,
    SiblingTicket,
    Key,
}

/// The addresses of the instance that is asked and of its sibling.
#[derive(Clone, Copy, Debug)]
struct Instances {
    here: SocketAddr,
    sibling: SocketAddr,
}

impl Instances {
    fn of(site: &Site) -> Self {
        Self {
            here: site.daemon("lima-1").caller,
            sibling: site.daemon("lima-2").caller,
        }
    }
}

async fn ticket(address: SocketAddr) -> String {
    let list = caller::get(address, "/v1/instances").await.expect("a list");
    list.json()["tickets"][0]
        .as_str()
        .expect("a ticket")
        .to_owned()
}

/// Sends one deposit and returns its time, without that of getting a ticket.
async fn deposit(at: Instances, key: &str, mark: Mark, n: u64) -> Duration {
    let here = at.here;
    let header = match mark {
        Mark::None => None,
        Mark::OwnTicket => Some(("x-operation-ticket", ticket(here).await)),
        Mark::SiblingTicket => Some(("x-operation-ticket", ticket(at.sibling).await)),
        Mark::Key => Some(("idempotency-key", format!("{n}"))),
    };
    let headers: Vec<(&str, &str)> = header.iter().map(|(k, v)| (*k, v.as_str())).collect();
    let started = Instant::now();
    let answer = caller::post_with(here, "/deposits", key, &headers, &json!({"n": n}))
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    started.elapsed()
}

async fn site() -> (Site, String) {
    let site = Site::start(&[("lima-1", "lima"), ("lima-2", "lima")]).await;
    let (_, address) = site.service().await;
    site.apply("lima-1", document(&[], &[("orders-1", address, "lima")]))
        .await;
    let key = site.grant("lima-1", "encargos").await.key;
    site.store.script.set(Faults {
        delay_ms: STORE_MS,
        ..Faults::default()
    });
    (site, key)
}

/// Returns the store's calls a second without requests.
async fn idle_calls(site: &Site) -> f64 {
    let (before, started) = (site.store.calls(), Instant::now());
    tokio::time::sleep(Duration::from_secs(3)).await;
    (site.store.calls() - before) as f64 / started.elapsed().as_secs_f64()
}

async fn one_by_one(site: &Site, key: &str, idle: f64) {
    println!("| mark | p50 ms | p95 ms | store calls a request |");
    println!("|---|---|---|---|");
    let mut n = 0;
    for mark in [Mark::None, Mark::OwnTicket, Mark::SiblingTicket, Mark::Key] {
        let mut times = Histogram::<u64>::new(3).expect("a histogram");
        let (before, started) = (site.store.calls(), Instant::now());
        for _ in 0..SERIAL {
            n += 1;
            let time = deposit(Instances::of(site), key, mark, n).await;
            times.record(time.as_micros() as u64).expect("a time");
        }
        let calls = (site.store.calls() - before) as f64 - idle * started.elapsed().as_secs_f64();
        let ms = |q| times.value_at_quantile(q) as f64 / 1000.0;
        let each = calls.max(0.0) / SERIAL as f64;
        println!(
            "| {mark:?} | {:.2} | {:.2} | {each:.2} |",
            ms(0.5),
            ms(0.95)
        );
    }
}

async fn at_once(site: &Site, key: &str, idle: f64) {
    println!("\n| callers with keys at once | requests | store calls a request |");
    println!("|---|---|---|");
    let at = Instances::of(site);
    let mut n = 1_000_000;
    for callers in [1, 4, 16] {
        let (before, started) = (site.store.calls(), Instant::now());
        let mut tasks = JoinSet::new();
        for _ in 0..callers {
            n += 1000;
            let key = key.to_owned();
            tasks.spawn(async move {
                for i in 0..EACH as u64 {
                    deposit(at, &key, Mark::Key, n + i).await;
                }
            });
        }
        tasks.join_all().await;
        let requests = callers * EACH;
        let calls = (site.store.calls() - before) as f64 - idle * started.elapsed().as_secs_f64();
        println!(
            "| {callers} | {requests} | {:.2} |",
            calls.max(0.0) / requests as f64
        );
    }
}

/// Times calls that create so many keys; returns seconds a call.
async fn calls(store: &Store, size: usize) -> f64 {
    let started = Instant::now();
    for call in 0..CALLS {
        let keys: Vec<(String, Vec<u8>)> = (0..size)
            .map(|i| (format!("bench/{size}/{call}/{i}"), vec![b'x'; 150]))
            .collect();
        store.create_all(&keys, 0).await.expect("a call");
    }
    started.elapsed().as_secs_f64() / CALLS as f64
}

async fn batches(address: SocketAddr) {
    let budget = Budget {
        reads: 1e6,
        writes: 1e6,
    };
    let store = Store::new(address, budget, Duration::from_secs(5));
    println!("\n| keys in a call | ms a call | calls a key |");
    println!("|---|---|---|");
    let mut points = Vec::new();
    for size in [1, 4, 16, 64] {
        let time = calls(&store, size).await;
        println!(
            "| {size} | {:.2} | {:.3} |",
            time * 1000.0,
            1.0 / size as f64
        );
        points.push((size as f64, time));
    }
    let ((x0, y0), (x1, y1)) = (points[0], points[points.len() - 1]);
    let slope = (y1 - y0) / (x1 - x0);
    let base = y0 - slope * x0;
    // A writer's cycle: the window, then the call with what came meanwhile.
    let rate = TARGET / WRITERS;
    let cycle = (WINDOW + base) / (1.0 - rate * slope);
    println!(
        "\nA call takes {:.2} ms and {:.3} ms a key.",
        base * 1000.0,
        slope * 1000.0
    );
    println!("\n| at {TARGET:.0} operations a second | store writes a second | added ms |");
    println!("|---|---|---|");
    println!("| tickets | 0 | a claim between instances |");
    println!("| keys one by one | {TARGET:.0} | {:.2} |", y0 * 1000.0);
    println!(
        "| keys in batches of {:.1} by {WRITERS:.0} writers | {:.0} | {:.2} |",
        rate * cycle,
        WRITERS / cycle,
        (cycle * 1.5) * 1000.0
    );
}

fn claims() {
    let issuer = Issuer::new("lima-1".into(), 1, [7; 32]);
    let mut used = UsedTickets::new(TicketBounds {
        max_records: CLAIMS as usize,
        max_answer_bytes: 0,
        max_total_bytes: 0,
    });
    let validity = Validity {
        use_by: Duration::from_secs(60),
        expires: Duration::from_secs(600),
    };
    let operation = OperationDigest::new(None, &"deposits".into(), "/deposits", b"{}");
    let started = Instant::now();
    for serial in 0..CLAIMS {
        let ticket = issuer.issue(serial, validity);
        let ticket = issuer
            .verify(&ticket, Duration::ZERO)
            .expect("a valid ticket");
        used.claim(ticket, Nonce(u128::from(serial)), operation, Duration::ZERO);
    }
    let each = started.elapsed().as_secs_f64() / CLAIMS as f64;
    println!(
        "\nTo issue, check and claim a ticket takes {:.2} us.",
        each * 1e6
    );
}

fn main() {
    block_on(async {
        let (site, key) = site().await;
        let idle = idle_calls(&site).await;
        let address = site.store_address;
        println!(
            "The store answers after {STORE_MS} ms; {idle:.1} calls a second without requests.\n"
        );
        one_by_one(&site, &key, idle).await;
        batches(address).await;
        claims();
        at_once(&site, &key, idle).await;
    });
}
