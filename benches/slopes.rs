//! Slopes for docs/CAPACITY.md: processor time an operation, memory an entry,
//! bytes a message.
//!
//! `cargo bench --bench slopes` prints them. Memory is the growth of the
//! process's resident size over many entries, divided by their number.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use chiverelay_decisions::Config;
use chiverelay_decisions::config::AccountEntry;
use chiverelay_decisions::config::KeyEntry;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::event::Entry;
use chiverelay_decisions::event::Ring;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::KeyId;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;

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

fn main() {
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
