//! Calls of the store that a fleet makes: idle, for changes of the
//! configuration, and when the store returns.
//!
//! `cargo bench --bench store_calls` starts 1, 2, 4 and 8 daemons before the
//! counting stand-in and prints calls a second, waiting watches and bytes.

use std::collections::BTreeMap;
use std::time::Duration;

use chiverelay_operator::api::Apply;
use chiverelay_standin::faults::Faults;
use chiverelay_standin::store::Counts;
use serde_json::json;
use support::block_on;
use support::site::Site;
use support::site::document;

/// Time over which idle calls are counted.
const IDLE: Duration = Duration::from_secs(30);

/// Changes of the configuration that are counted.
const CHANGES: u64 = 10;

/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(12);

/// Seconds after the outage whose calls are counted.
const AFTER: usize = 10;

const REGIONS: [&str; 3] = ["lima", "arequipa", "cusco"];

fn reads(calls: &BTreeMap<String, u64>) -> u64 {
    let of = |path: &str| calls.get(path).copied().unwrap_or(0);
    of("/v3/kv/range") + of("/v3/watch")
}

fn print(what: &str, size: usize, before: &Counts, after: &Counts, per: f64) {
    let total = after.total() - before.total();
    let reads = reads(&after.calls) - reads(&before.calls);
    let writes = total - reads;
    println!(
        "{what:<16} {size} instances: {:>7.3} reads, {:>7.3} writes, {} watches wait",
        reads as f64 / per,
        writes as f64 / per,
        after.watches
    );
}

async fn change(site: &Site) {
    for rate in 1..=CHANGES {
        let client = site.daemon("i0").client();
        let expected = client.config().await.expect("a configuration").version;
        let mut document = document(&[], &[]);
        document["accounts"]["encargos"]["rate"] = json!(1000 + rate);
        let document = serde_json::from_value(document).expect("a document");
        let applied = client.apply(&Apply { expected, document }).await;
        site.in_force(applied.expect("an accepted change").version)
            .await;
    }
}

async fn busiest_second_after_outage(site: &Site) -> u64 {
    site.store.script.set(Faults {
        refuse: true,
        ..Faults::default()
    });
    tokio::time::sleep(OUTAGE).await;
    site.store.script.set(Faults::default());
    let mut busiest = 0;
    for _ in 0..AFTER {
        let before = site.store.calls();
        tokio::time::sleep(Duration::from_secs(1)).await;
        busiest = busiest.max(site.store.calls() - before);
    }
    busiest
}

async fn measure(size: usize) {
    let mut site = Site::empty().await;
    for i in 0..size {
        let settings = json!({"threads": 1, "workers": 1});
        site.start_daemon(&format!("i{i}"), REGIONS[i % REGIONS.len()], &settings);
    }
    site.joined().await;
    site.apply("i0", document(&[], &[])).await;
    let before = site.store.counts();
    tokio::time::sleep(IDLE).await;
    let idle = site.store.counts();
    print("idle, a second", size, &before, &idle, IDLE.as_secs_f64());
    change(&site).await;
    let changed = site.store.counts();
    print("for a change", size, &idle, &changed, CHANGES as f64);
    let busiest = busiest_second_after_outage(&site).await;
    println!("store's return   {size} instances: {busiest} calls in the busiest second");
}

fn main() {
    for size in [1, 2, 4, 8] {
        block_on(measure(size));
    }
}
