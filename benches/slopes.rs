//! Slopes for docs/CAPACITY.md: processor time an operation, memory an entry,
//! bytes a message.
//!
//! `cargo bench --bench slopes` prints them. Memory is the growth of the
//! process's resident size over many entries, divided by their number.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chiverelay_decisions::Config;
use chiverelay_decisions::Request;
use chiverelay_decisions::config::AccountEntry;
use chiverelay_decisions::config::KeyEntry;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::event::EventRing;
use chiverelay_decisions::event::NewEvent;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::QueueStatus;
use chiverelay_decisions::gateway::Sibling;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::membership::GossipDigest;
use chiverelay_decisions::membership::MemberStatus;
use chiverelay_decisions::membership::MemberUpdate;
use chiverelay_decisions::membership::Profile;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::KeyId;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Grant;
use chiverelay_decisions::request::RequestMeta;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_sibling::Envelope;
use chiverelay_sibling::Heartbeat;
use chiverelay_sibling::Message;
use chiverelay_sibling::VERSION;
use chiverelay_sibling::decode;
use chiverelay_sibling::encode;
use serde_json::Value;
use serde_json::json;

/// Client accounts at the size to design for.
const ACCOUNTS: usize = 26_000;

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
    let ring = EventRing::new("lima-1".into(), 16_384);
    let entry = NewEvent {
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

/// Replicas of the largest region at the size to design for.
const REPLICAS: usize = 1100;

/// Replicas of one model in that region.
const POOL: usize = 100;

/// Models in steady use.
const MODELS: usize = 26;

/// Nodes at the size to design for, in nine regions.
const NODES: usize = 330;

fn fleet() -> Config {
    let targets = |pool: usize| {
        let entry = |i: usize| {
            let region = format!("region-{}", i * 9 / (POOL + 73));
            let target = json!({"address": "127.0.0.1:1", "region": region, "zone": "a"});
            (format!("engine-{pool}-{i}"), target)
        };
        (0..POOL + 73).map(entry).collect::<BTreeMap<_, _>>()
    };
    let pools: BTreeMap<String, Value> = (0..MODELS)
        .map(|p| {
            (
                format!("pool-{p}"),
                json!({"kind": "engine", "targets": targets(p)}),
            )
        })
        .collect();
    let routes = json!({"chat": {"path": "/", "pool": "pool-0", "open": true}});
    serde_json::from_value(json!({"version": 1, "routes": routes, "pools": pools}))
        .expect("a configuration")
}

fn request(id: u64) -> Request<Admitted, Direct> {
    let head = RequestMeta {
        received: Duration::ZERO,
        id: id.to_string().into(),
        deadline: Duration::from_secs(3600),
        model: None,
        prompt_tokens: 4096,
        max_answer_tokens: Some(200),
        prefix: (id * 7..id * 7 + 64).collect(),
    };
    let grant = Grant {
        account: None,
        route: "chat".into(),
        pool: "pool-0".into(),
        residency: Residency::anywhere(),
        repeatable: true,
        charged_tokens: 4296,
        receipt: None,
    };
    Request::from_caller(head).admit(grant)
}

fn placement() {
    let tables = Tables::new();
    let config = fleet();
    let here = "region-0".into();
    memory("target with a full view of its cache", REPLICAS, || {
        for i in 0..REPLICAS {
            let stored: Vec<u64> = (0..4000).map(|b| (i * 4000 + b) as u64).collect();
            let name = Target::from(format!("engine-{}-{}", i % MODELS, i / MODELS));
            // The first event has no gap before it.
            let _ = gateway::apply_cache_event(&tables, &name, 1, &stored, &[]);
        }
    });
    tables.config.replace_if_newer(Arc::new(config));
    let summaries = gateway::pool_summaries(&tables, &here, Duration::from_secs(1));
    let size = postcard::to_stdvec(&summaries).expect("summaries").len();
    println!(
        "{:<44} {:>10} bytes",
        "summary of a pool, as sent",
        size / summaries.len().max(1)
    );
    for node in 0..NODES {
        let sibling = Sibling {
            region: format!("region-{}", node % 9).as_str().into(),
            last_heard: Duration::ZERO,
            serving: true,
            summaries: summaries.clone(),
        };
        tables
            .siblings
            .insert(format!("node-{node}").as_str().into(), sibling);
    }
    let mut id = 0;
    time("placement, 330 nodes and 26 pools", || {
        id += 1;
        let now = Duration::from_millis(id);
        let placed = gateway::place(&tables, request(id % 1000), &here, QueueStatus::New, now);
        black_box(placed.is_ok());
    });
    time("summaries of 26 pools", || {
        black_box(gateway::pool_summaries(
            &tables,
            &here,
            Duration::from_secs(1),
        ));
    });
}

/// Measures the signs of life between instances.
fn heartbeats() {
    let tables = Tables::new();
    tables.config.replace_if_newer(Arc::new(fleet()));
    let here = "region-0".into();
    let beat = Envelope {
        version: VERSION,
        stamp: Stamp::default(),
        message: Message::Heartbeat(Heartbeat {
            digest: GossipDigest {
                updates: vec![word(0)],
                ..GossipDigest::default()
            },
            withdrawn: 0,
            summaries: Some(gateway::pool_summaries(
                &tables,
                &here,
                Duration::from_secs(1),
            )),
            passed: Vec::new(),
        }),
    };
    let buf = encode(&beat).expect("a message");
    println!("{:<44} {:>10} bytes", "heartbeat with 26 pools", buf.len());
    time("heartbeat encoded", || {
        black_box(encode(black_box(&beat)).expect("a message"));
    });
    time("heartbeat decoded", || {
        black_box(decode::<Envelope>(black_box(&buf)).expect("a message"));
    });
    let words: Vec<MemberUpdate> = (0..NODES).map(word).collect();
    let all = encode(&words).expect("a message");
    println!(
        "{:<44} {:>10} bytes",
        "digest, an instance",
        all.len() / NODES
    );
}

fn word(i: usize) -> MemberUpdate {
    let address = SocketAddr::from(([10, 0, 0, 1], 4000));
    MemberUpdate {
        instance: format!("instance-{i:03}").into(),
        incarnation: 1_796_371_045_705,
        status: MemberStatus::Serving,
        config_version: 1_000_000,
        profile: Some(Profile {
            region: "region-0".into(),
            zone: "region-0-a".into(),
            caller: address,
            operator: address,
            sibling: address,
        }),
    }
}

fn main() {
    // First, as memory that was freed before would be used again.
    let config = memory("configuration, an account with its key", ACCOUNTS, config);
    let encoded = serde_json::to_vec(&config).expect("a document");
    println!(
        "{:<44} {:>10} bytes",
        "configuration, an account with its key, JSON",
        encoded.len() / ACCOUNTS
    );
    keys(&config);
    heartbeats();
    events();
    placement();
}
