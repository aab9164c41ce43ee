//! Slopes for docs/CAPACITY.md: processor time an operation, memory an entry,
//! bytes a message.
//!
//! `cargo bench --bench slopes` prints them. Memory is the growth of the
//! process's resident size over many entries, divided by their number.

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chiverelay_decisions::Config;
use chiverelay_decisions::config::AccountEntry;
use chiverelay_decisions::config::KeyEntry;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::event::Entry;
use chiverelay_decisions::event::Ring;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::Ask;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::gateway::Turn;
use chiverelay_decisions::membership::Digest;
use chiverelay_decisions::membership::Profile;
use chiverelay_decisions::membership::Status;
use chiverelay_decisions::membership::Word;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::KeyId;
use chiverelay_decisions::names::Model;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Route;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::placement::CacheView;
use chiverelay_decisions::placement::Load;
use chiverelay_decisions::request::Head;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_sibling::Envelope;
use chiverelay_sibling::Heartbeat;
use chiverelay_sibling::Message;
use chiverelay_sibling::VERSION;
use chiverelay_sibling::decode;
use chiverelay_sibling::encode;
use serde_json::json;

/// Client accounts at the size to design for.
const ACCOUNTS: usize = 26_000;

/// Replicas at the size to design for.
const REPLICAS: usize = 4500;

/// Models in steady use at the size to design for.
const MODELS: usize = 26;

/// Regions at the size to design for.
const REGIONS: usize = 9;

/// Instances at the size to design for.
const INSTANCES: usize = 330;

/// Hashed blocks of a prompt.
const PREFIX_BLOCKS: u64 = 32;

/// Blocks put into the view of a target's cache, more than it keeps.
const VIEW_BLOCKS: u64 = 100_000;

/// Repetitions of a timed operation.
const REPEATS: u32 = 100_000;

/// Returns the process's resident memory in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let kib: usize = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .and_then(|l| l.split_whitespace().next()?.parse().ok())
        .expect("a resident size");
    kib * 1024
}

/// Prints the processor time of an operation.
fn time<F>(what: &str, mut f: F)
where
    F: FnMut(),
{
    f();
    let start = Instant::now();
    for _ in 0..REPEATS {
        f();
    }
    let nanos = start.elapsed().as_nanos() / u128::from(REPEATS);
    println!("{what:<44} {nanos:>10} ns");
}

/// Prints the memory of one of many entries.
fn memory<T, F>(what: &str, count: usize, make: F) -> T
where
    F: FnOnce() -> T,
{
    let before = resident();
    let made = make();
    let bytes = resident().saturating_sub(before) / count;
    println!("{what:<44} {bytes:>10} bytes");
    made
}

fn account(i: usize) -> Account {
    Account::from(format!("account-{i:05}"))
}

fn config() -> Config {
    let mut config = Config {
        version: 1,
        ..Config::default()
    };
    for i in 0..ACCOUNTS {
        let entry = AccountEntry {
            rate: 1000,
            burst: 10_000,
            residency: Residency::anywhere(),
        };
        config.accounts.insert(account(i), entry);
        let salt = format!("{i:048x}");
        let key = KeyEntry::new(account(i), &salt, "secret");
        config.keys.insert(KeyId::from(format!("{i:016x}")), key);
    }
    config
}

fn keys(config: &Config) {
    let good = format!("ck_{:016x}.secret", ACCOUNTS / 2);
    assert!(config.authenticate(&good).is_some());
    time("key check, valid", || {
        black_box(config.authenticate(black_box(&good)));
    });
    let wrong = format!("ck_{:016x}.wrong", ACCOUNTS / 2);
    time("key check, wrong secret", || {
        black_box(config.authenticate(black_box(&wrong)));
    });
}

fn events() {
    let ring = Ring::new("lima-1".into(), 16_384);
    let entry = Entry {
        request: Some("01a2400e-dd49-77d3-b6de-afe74b5a644d".into()),
        account: Some(account(1)),
        step: Step::Dispatch,
        peer: Peer::Target("engine-1".into()),
        what: "sent".to_owned(),
    };
    time("event recorded", || {
        ring.record(Duration::from_secs(1), black_box(entry.clone()));
    });
}

/// Returns the name of a region of the size to design for.
fn region(i: usize) -> Region {
    Region::from(format!("region-{}", i % REGIONS))
}

/// Returns pools and routes of the size to design for.
fn pools() -> Config {
    let mut config = Config {
        version: 1,
        ..Config::default()
    };
    for model in 0..MODELS {
        let targets: serde_json::Map<String, serde_json::Value> = (0..REPLICAS / MODELS)
            .map(|i| {
                let place = region(i);
                let target = json!({"address": "10.0.0.1:80", "region": place, "zone": "z"});
                (format!("replica-{model:02}-{i:04}"), target)
            })
            .collect();
        let pool = json!({"kind": "engine", "targets": targets});
        let route = json!({
            "path": "/v1/chat/completions", "model": format!("model-{model}"),
            "pool": format!("pool-{model}"), "open": true,
        });
        config.pools.insert(
            Pool::from(format!("pool-{model}")),
            serde_json::from_value(pool).expect("a pool"),
        );
        config.routes.insert(
            Route::from(format!("route-{model}")),
            serde_json::from_value(route).expect("a route"),
        );
    }
    config
}

fn head() -> Head {
    Head {
        id: "01a2400e-dd49-77d3-b6de-afe74b5a644d".into(),
        deadline: Duration::from_secs(100),
        model: Some(Model::from("model-7")),
        prompt_tokens: 2000,
        max_answer_tokens: Some(200),
        prefix: (0..PREFIX_BLOCKS).collect(),
    }
}

/// Times admission and placement before all pools, a tenth of whose targets
/// are of this region.
fn placement() {
    let tables = Tables::new();
    let pools = memory("configuration, a target", REPLICAS, pools);
    tables.config.advance(Arc::new(pools));
    let ask = Ask {
        path: "/v1/chat/completions",
        key: None,
    };
    let (here, now) = (region(0), Duration::from_secs(1));
    time("admission and placement, 26 pools", || {
        let req = gateway::admit(&tables, Request::from_caller(head()), &ask, now);
        let req = req.expect("an open route");
        let placed = gateway::place(&tables, req, &here, Turn::New, now);
        black_box(placed.expect("a target of the region"));
    });
    time("summaries of a region for a heartbeat", || {
        black_box(gateway::summaries(&tables, &here, now));
    });
    let beat = Envelope {
        version: VERSION,
        stamp: Stamp::default(),
        message: Message::Heartbeat(Heartbeat {
            digest: Digest {
                words: vec![word(0)],
                regions: Vec::new(),
                wants_all: false,
            },
            withdrawn: 0,
            summaries: gateway::summaries(&tables, &here, now),
        }),
    };
    let buf = encode(&beat).expect("a message");
    println!("{:<44} {:>10} bytes", "heartbeat", buf.len());
    time("heartbeat encoded", || {
        black_box(encode(black_box(&beat)).expect("a message"));
    });
    time("heartbeat decoded", || {
        black_box(decode::<Envelope>(black_box(&buf)).expect("a message"));
    });
    let words: Vec<Word> = (0..INSTANCES).map(word).collect();
    let all = encode(&words).expect("a message");
    println!(
        "{:<44} {:>10} bytes",
        "digest, an instance",
        all.len() / INSTANCES
    );
}

fn word(i: usize) -> Word {
    let address = SocketAddr::from(([10, 0, 0, 1], 4000));
    Word {
        instance: Instance::from(format!("instance-{i:03}")),
        incarnation: 1_796_371_045_705,
        status: Status::Serving,
        config_version: 1_000_000,
        profile: Some(Profile {
            region: region(i),
            zone: Zone::from("region-0-a"),
            caller: address,
            operator: address,
            sibling: address,
        }),
    }
}

/// Measures what an instance keeps of each replica of its region.
fn targets() {
    let count = REPLICAS / REGIONS;
    let views = memory("view of a target's cache, full", count, || {
        (0..count)
            .map(|i| {
                let mut view = CacheView::default();
                let base = i as u64 * 1_000_000;
                view.insert((0..VIEW_BLOCKS).map(|b| base + b));
                view
            })
            .collect::<Vec<_>>()
    });
    drop(views);
    let loads = memory("load of a target", 100 * count, || {
        (0..100 * count)
            .map(|_| Load::default())
            .collect::<Vec<_>>()
    });
    drop(loads);
}

fn main() {
    placement();
    targets();
    let config = memory("configuration, an account with its key", ACCOUNTS, config);
    let encoded = serde_json::to_vec(&config).expect("a document");
    println!(
        "{:<44} {:>10} bytes",
        "configuration, an account with its key, JSON",
        encoded.len() / ACCOUNTS
    );
    keys(&config);
    events();
}
