//! The larger part of the store's writes that writers of keys have.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chiverelay_store::Budget;
use chiverelay_store::Gate;
use chiverelay_store::Kind;
use chiverelay_store::MAX_BATCH;
use chiverelay_store::Store;
use serde_json::json;
use support::block_on;
use support::cases;
use support::site::Site;
use support::site::eventually;
use tokio::task::JoinSet;
use tokio::time::Instant;

const FLEET: u32 = 330;

/// Time over which calls are counted.
const SPAN: Duration = Duration::from_secs(60);

/// Time after which a call is given up.
const PATIENCE: Duration = Duration::from_millis(1500);

fn gate(seed: u32, view: u32, placed: bool) -> Gate {
    let gate = Gate::new(Budget::default(), u64::from(seed));
    gate.set_fleet(view);
    gate.set_place(placed.then(|| Instant::now() + 2 * SPAN));
    gate
}

async fn enter(gate: &Gate, patience: Duration) -> bool {
    let permit = gate.enter(Kind::Swap, patience).await;
    permit.map(|permit| permit.end(&Ok(()))).is_ok()
}

/// Every instance writes as much as it may, when each knows `view` of the
/// fleet and all places are held; the part of the rate that they use.
fn part_used(view: u32) -> f64 {
    let calls = Arc::new(AtomicUsize::new(0));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(async {
        let mut tasks = JoinSet::new();
        for seed in 0..FLEET {
            let calls = Arc::clone(&calls);
            tasks.spawn(async move {
                let gate = gate(seed, view, seed < 4);
                let end = Instant::now() + SPAN;
                while Instant::now() < end {
                    enter(&gate, SPAN).await;
                    calls.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        tasks.join_all().await;
    });
    // Each gate starts one call and a second's worth of credit at once.
    let calls = calls.load(Ordering::Relaxed) - FLEET as usize;
    let seconds = SPAN.as_secs_f64() + 1.0;
    calls as f64 / seconds / Budget::default().writes
}

fn check_part(view: u32) {
    let used = part_used(view);
    println!("writers: {view} known of {FLEET}: {used:.3} of the writes");
    assert!(used <= 0.5, "{used}");
}

cases! {
    check_part:
    all_write_under_half_with_all_known(FLEET);
    all_write_under_half_with_four_fifths_known(FLEET * 4 / 5);
}

/// Binds keys as one of four writers does, in batches of what has come
/// meanwhile; keys bound, keys left, batches.
fn bind(placed: bool, keys_a_second: f64) -> (usize, usize, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(async {
        let gate = gate(1, FLEET, placed);
        let start = Instant::now();
        let (mut bound, mut batches) = (0, 0);
        let come = || (start.elapsed().as_secs_f64() * keys_a_second) as usize;
        while start.elapsed() < SPAN {
            let batch = (come() - bound).min(MAX_BATCH);
            if batch > 0 && enter(&gate, PATIENCE).await {
                (bound, batches) = (bound + batch, batches + 1);
            }
            // The window in which keys gather, and the call itself.
            tokio::time::sleep(Duration::from_millis(4 + 22)).await;
        }
        (bound, come() - bound, batches)
    })
}

/// A quarter of a tenth of 27,000 requests a second.
const KEYS: f64 = 675.0;

#[test]
fn four_writers_bind_a_tenth_of_the_peak() {
    let (bound, left, batches) = bind(true, KEYS);
    let a_second = batches as f64 / SPAN.as_secs_f64();
    println!("writers: {bound} bound, {left} left, {a_second:.1} batches a second each");
    assert!(left < 3 * MAX_BATCH, "{left} keys wait");
    let (_, left, _) = bind(false, KEYS);
    assert!(left > 30_000, "an even part would do: {left}");
}

/// Who holds a place, by the store.
async fn places(site: &Site) -> Vec<String> {
    let store = Store::new(site.store_address, Budget::default(), SPAN);
    let entries = store.list("chiverelay/writers/").await;
    let entries = entries.expect("the places").into_iter();
    let text = entries.map(|e| String::from_utf8_lossy(&e.value).into_owned());
    text.filter_map(|t| t.split(' ').next().map(str::to_owned))
        .collect()
}

#[test]
fn places_are_held_by_four_of_six_and_pass_on() {
    block_on(async {
        let mut site = Site::empty().await;
        let names = ["i0", "i1", "i2", "i3", "i4", "i5"];
        for name in names {
            site.start_daemon(name, "lima", &json!({"threads": 1, "workers": 1}));
        }
        site.joined().await;
        let four = async |site: &Site| {
            let mut held = places(site).await;
            held.sort_unstable();
            held.dedup();
            let known = held.iter().all(|name| site.daemons.contains_key(name));
            held.len() == 4 && known
        };
        eventually("four hold a place", async || four(&site).await).await;
        let gone = places(&site).await.remove(0);
        site.daemons.remove(&gone).expect("a daemon").process.kill();
        eventually("another has the place", async || four(&site).await).await;
    });
}
