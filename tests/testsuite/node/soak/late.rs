//! Instances that are lost while the store tells late or wrongly of it: a write of
//! an ended process comes over the record of its successor, with watches silent
//! across it, and two instances are lost at once just before the store is down.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::Value;
use support::node::call;
use support::node::proxy::Harm;

use super::checks::Violation;
use super::record::Scope;
use super::world::Soak;
use super::world::ZONES;

/// Prefix of the instances' records.
const RECORDS: &str = "chiverelay/instances/";

/// Time between the starts of two such losses, in ms.
const PAUSE_MS: std::ops::Range<u64> = 200..2500;

/// Time for which a killed instance is down, in ms.
const DOWN_MS: std::ops::Range<u64> = 200..900;

/// Time by which a write of the killed process is executed late, in ms. Its lease
/// lasts that long.
const LATE_MS: std::ops::Range<u64> = 600..2500;

/// Time for which watches are silent across it, in ms.
const SILENT_MS: std::ops::Range<u64> = 100..1500;

/// Time for which the store is down, in ms.
const STORE_DOWN_MS: std::ops::Range<u64> = 1000..4500;

/// Time after which an instance that was lost must not be named any more.
const NAMED_LIMIT: Duration = Duration::from_secs(8);

/// Time after which the store counts as served without disruption.
const CONTACT: Duration = Duration::from_secs(5);

/// Look-ups at each instance.
const LOOK_UPS: usize = 4;

/// Pause between two of them.
const LOOK_UP_PAUSE: Duration = Duration::from_millis(100);

/// Time in which each running instance has its record.
const RECORDED_WITHIN: Duration = Duration::from_secs(6);

/// The look-ups that named an instance which was lost.
#[derive(Debug, Default)]
pub(super) struct Misnamed(Mutex<Vec<String>>);

impl Misnamed {
    fn note(&self, seen: String) {
        self.0.lock().expect("no panic under the lock").push(seen);
    }

    pub(super) fn violations(&self) -> Vec<Violation> {
        let noted = self.0.lock().expect("no panic under the lock");
        let violation = |seen: &String| Violation {
            id: "look-up".to_owned(),
            rule: "an instance that was lost was named",
            seen: seen.clone(),
        };
        noted.iter().map(violation).collect()
    }
}

/// Strikes until a time.
pub(super) async fn run(soak: &Soak, until: Instant, rng: &mut StdRng) {
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        match rng.random_range(0..3) {
            0 | 1 => write_over_successor(soak, rng).await,
            _ => lose_two(soak, rng).await,
        }
    }
}

/// Kills an instance and starts it again; a write that the killed process sent is
/// executed over the record of its successor, while watches are silent.
pub(super) async fn write_over_successor(soak: &Soak, rng: &mut StdRng) {
    let at = rng.random_range(0..soak.nodes.len());
    let down = Duration::from_millis(rng.random_range(DOWN_MS));
    let late = Duration::from_millis(rng.random_range(LATE_MS));
    let silent = Duration::from_millis(rng.random_range(SILENT_MS));
    let Ok(mut node) = soak.nodes[at].try_lock() else {
        return;
    };
    let store = &soak.site.store;
    let key = format!("{RECORDS}{}", soak.places[at].name);
    let Some(written) = store.value(&key) else {
        return;
    };
    let fault = soak.record.begin(Scope::Instance(at));
    node.process.kill();
    soak.note_end(at);
    tokio::time::sleep(down).await;
    soak.respawn(at, &mut node);
    tokio::time::sleep(late).await;
    store.mute(true);
    // Its lease ends soon after the write, which removes the record.
    store.put_bytes(&key, &written);
    tokio::time::sleep(silent / 2).await;
    store.remove(&key);
    tokio::time::sleep(silent / 2).await;
    store.mute(false);
    store.forget();
    soak.record.end(fault);
}

/// Kills two instances at the same moment, and has the store be down just after.
async fn lose_two(soak: &Soak, rng: &mut StdRng) {
    let first = rng.random_range(0..soak.nodes.len());
    let second = (first + rng.random_range(1..soak.nodes.len())) % soak.nodes.len();
    let down = Duration::from_millis(rng.random_range(STORE_DOWN_MS));
    let Ok(mut one) = soak.nodes[first].try_lock() else {
        return;
    };
    let Ok(mut other) = soak.nodes[second].try_lock() else {
        return;
    };
    let faults = [first, second].map(|at| soak.record.begin(Scope::Instance(at)));
    let store_fault = soak.record.begin(Scope::Store);
    one.process.kill();
    other.process.kill();
    let lost_at = Instant::now();
    soak.note_end(first);
    soak.note_end(second);
    soak.store.set(Harm::Silence);
    tokio::time::sleep(down).await;
    soak.store.set(Harm::None);
    soak.record.end(store_fault);
    let due = (lost_at + NAMED_LIMIT).max(Instant::now() + CONTACT);
    tokio::time::sleep_until(due.into()).await;
    look_up_at_others(soak, [first, second]).await;
    soak.respawn(first, &mut one);
    soak.respawn(second, &mut other);
    faults.into_iter().for_each(|fault| soak.record.end(fault));
}

/// Asks the other instances that suffer no fault where callers may connect.
async fn look_up_at_others(soak: &Soak, lost: [usize; 2]) {
    let fronts = lost.map(|at| *soak.fronts[at].lock().expect("no panic under the lock"));
    for (at, node) in soak.nodes.iter().enumerate() {
        let Ok(node) = node.try_lock() else {
            continue;
        };
        let is_calm = |now| {
            let counts = |scope| matches!(scope, Scope::Store) || is_of(scope, at);
            !soak.record.touches(now - CONTACT, now, counts)
        };
        let (zone, region) = ZONES[lost[0] % ZONES.len()];
        let path = format!("/v1/resolve?name=desk.example&region={region}&zone={zone}");
        for _ in 0..LOOK_UPS {
            let got = call::get(node.directory, &path).await;
            let body = got.map(|got| got.body).unwrap_or_default();
            let named = fronts
                .iter()
                .find(|front| body.contains(&front.to_string()));
            if let Some(front) = named.filter(|_| is_calm(Instant::now())) {
                let by = &soak.places[at].name;
                soak.misnamed.note(format!("{front} by {by}: {body}"));
            }
            tokio::time::sleep(LOOK_UP_PAUSE).await;
        }
    }
}

fn is_of(scope: Scope, at: usize) -> bool {
    matches!(scope, Scope::Instance(of) | Scope::StoreLink(of) if of == at)
}

/// Waits until each instance has a record of its own process that says `ready`, and
/// names those that haven't in time.
pub(super) async fn unrecorded(soak: &Soak) -> Vec<Violation> {
    let until = Instant::now() + RECORDED_WITHIN;
    loop {
        let missing: Vec<_> = soak
            .places
            .iter()
            .filter(|p| !is_recorded(soak, &p.name))
            .collect();
        if missing.is_empty() || Instant::now() >= until {
            let violation = |name: &str| Violation {
                id: name.to_owned(),
                rule: "a running instance has no record",
                seen: format!("{RECORDED_WITHIN:?} after the last fault"),
            };
            return missing.iter().map(|place| violation(&place.name)).collect();
        }
        tokio::time::sleep(LOOK_UP_PAUSE).await;
    }
}

fn is_recorded(soak: &Soak, name: &str) -> bool {
    let value = soak.site.store.value(&format!("{RECORDS}{name}"));
    let record: Option<Value> = value.and_then(|value| serde_json::from_slice(&value).ok());
    record.is_some_and(|record| record["state"] == "ready")
}
