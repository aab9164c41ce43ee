//! Faults of what instances hear of the store.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;
use support::node::proxy::Harm;

use super::record::Scope;
use super::targets::FIRST_TARGETS;
use super::targets::TARGETS;
use super::world::Soak;

/// Pause between two cuts of the waiting watches, in ms.
const CUT_PAUSE_MS: std::ops::Range<u64> = 50..1900;

/// Prefixes of the watches of an instance.
const PREFIXES: [&str; 2] = ["", "op/"];

/// Time for which an instance is cut off from the store, in ms.
const CUT_OFF_MS: std::ops::Range<u64> = 3000..7000;

/// Time in which all instances know of a target that has turned cold.
const COLD_KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Requests that a cold target may get within a second from all instances:
/// 13 x 1.5 + 3.
const COLD_LIMIT: usize = 22;

/// A time for which a target was cold.
#[derive(Clone, Copy, Debug)]
struct ColdTime {
    target: usize,
    since: Instant,
    until: Instant,
}

/// The times for which targets were cold.
#[derive(Debug, Default)]
pub(super) struct ColdTimes(Mutex<Vec<ColdTime>>);

impl ColdTimes {
    /// Returns the targets that got more than a cold one bears, with the number
    /// of requests in the worst second.
    pub(super) fn excesses(&self, soak: &Soak) -> Vec<(&'static str, usize)> {
        let times = self.0.lock().expect("no panic under the lock");
        let worst = times.iter().map(|time| {
            let (name, _, _) = TARGETS[time.target];
            (name, time.worst_second(soak))
        });
        worst.filter(|(_, count)| *count > COLD_LIMIT).collect()
    }
}

impl ColdTime {
    /// Counts the requests of the second that has most, from when all instances
    /// know that the target is cold.
    fn worst_second(self, soak: &Soak) -> usize {
        let target = &soak.targets[self.target].target;
        let from = self.since + COLD_KNOWN_WITHIN;
        let times = target.arrivals().into_iter().map(|arrival| arrival.at);
        let times: Vec<Instant> = times.filter(|at| (from..self.until).contains(at)).collect();
        let in_second = |first: &Instant| {
            let span = *first..*first + Duration::from_secs(1);
            times.iter().filter(|at| span.contains(*at)).count()
        };
        times.iter().map(in_second).max().unwrap_or_default()
    }
}

/// Cuts the waiting watches several times.
pub(super) async fn cut_in_series(soak: &Soak, rng: &mut StdRng) {
    for _ in 0..rng.random_range(2..6) {
        soak.site.store.cut_watches();
        let pause = Duration::from_millis(rng.random_range(CUT_PAUSE_MS));
        tokio::time::sleep(pause).await;
    }
}

/// Loses a response or two of watches.
pub(super) async fn lose_responses(soak: &Soak, rng: &mut StdRng) {
    for _ in 0..rng.random_range(1..3) {
        let prefix = PREFIXES[rng.random_range(0..PREFIXES.len())];
        soak.site.store.lose_next_watch(prefix);
    }
    tokio::time::sleep(Duration::from_millis(rng.random_range(CUT_PAUSE_MS))).await;
}

/// Cuts an instance off from the store while a target turns cold, and evacuates
/// a zone for a part of that time.
pub(super) async fn cut_off_beside_cold(soak: &Soak, rng: &mut StdRng) {
    let instance = rng.random_range(0..soak.store_links.len());
    let link = &soak.store_links[instance];
    let at = soak.serving(rng.random_range(0..FIRST_TARGETS));
    let (_, service, _) = TARGETS[at];
    if service != "model" {
        return;
    }
    let (_, _, evacuated) = TARGETS[rng.random_range(0..FIRST_TARGETS)];
    let time = Duration::from_millis(rng.random_range(CUT_OFF_MS));
    let Ok(_fault) = soak.targets[at].cold.try_lock() else {
        return;
    };
    let fault = soak.record.begin(Scope::StoreLink(instance));
    link.set(Harm::Silence);
    soak.write_cold(at, 2 * time.as_millis() as u64);
    let since = Instant::now();
    let key = format!("op/evacuate/{evacuated}");
    soak.site.store.put(&key, &json!({}));
    tokio::time::sleep(time / 2).await;
    soak.site.store.remove(&key);
    tokio::time::sleep(time / 2).await;
    let until = Instant::now();
    soak.write_cold(at, 0);
    link.set(Harm::None);
    soak.record.end(fault);
    let cold = ColdTime {
        target: at,
        since,
        until,
    };
    let mut times = soak.cold.0.lock().expect("no panic under the lock");
    times.push(cold);
}
