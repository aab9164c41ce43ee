//! The faults of a run.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;
use support::node::Mode;
use support::node::Node;
use support::node::call;
use support::node::proxy::Harm;
use support::node::proxy::Proxy;
use tokio::sync::OwnedMutexGuard;

use super::GRACE;
use super::Profile;
use super::SLACK;
use super::crowd;
use super::record::Scope;
use super::targets;
use super::targets::FIRST_TARGETS;
use super::targets::TARGETS;
use super::trouble;
use super::watches;
use super::world::Soak;

/// Length of the silence of a sound target, in ms.
const SILENCE_MS: std::ops::Range<u64> = 800..1800;

/// Time between two silences of a target.
const SOUND_TIME: Duration = Duration::from_millis(700);

/// Lines that are shown of the log of an instance that did not stop well.
const MAX_SHOWN_LINES: usize = 40;

/// Time after which the others hear of a new process, in ms.
const RECORD_DELAY_MS: std::ops::Range<u64> = 200..900;

/// Time in which a running instance tells whether it is ready.
const READY_TIME: Duration = Duration::from_millis(500);

/// Begins a random fault of a profile, and ends it after a random time.
pub(super) async fn strike(soak: &Soak, profile: Profile, rng: &mut StdRng) {
    match profile {
        Profile::Mixed | Profile::Outage => strike_mixed(soak, rng).await,
        Profile::Calm => strike_calm(soak, rng).await,
        Profile::Crowded => strike_crowded(soak, rng).await,
        Profile::Broken => strike_broken(soak, rng).await,
        Profile::Stranded => strike_lightly(soak, rng).await,
        Profile::Brittle => hang_up(soak, rng).await,
        Profile::Upgrade => strike_beside_upgrade(soak, rng).await,
    }
}

/// Has one crowd after another come, and planned work beside them.
async fn strike_crowded(soak: &Soak, rng: &mut StdRng) {
    if let Ok(_alone) = soak.crowding.try_lock() {
        crowd::come(soak, rng).await;
        return;
    }
    match rng.random_range(0..9) {
        0..=2 => change(soak, rng).await,
        3 | 4 => hang_up(soak, rng).await,
        5 | 6 => stop(soak, rng, Restart::Unheard).await,
        _ => stop(soak, rng, Restart::Heard).await,
    }
}

async fn strike_broken(soak: &Soak, rng: &mut StdRng) {
    match rng.random_range(0..10) {
        0..=6 => trouble::strike(soak, rng).await,
        7 => change(soak, rng).await,
        8 => hang_up(soak, rng).await,
        _ => fall_silent(soak, rng).await,
    }
}

/// Has targets fall silent for a moment, beside what a profile strikes itself.
async fn strike_lightly(soak: &Soak, rng: &mut StdRng) {
    match rng.random_range(0..3) {
        0 | 1 => fall_silent(soak, rng).await,
        _ => hang_up(soak, rng).await,
    }
}

/// Changes the configuration and cuts watches, beside what an upgrade does.
async fn strike_beside_upgrade(soak: &Soak, rng: &mut StdRng) {
    match rng.random_range(0..6) {
        0 | 1 => change(soak, rng).await,
        2 | 3 => watches::cut_in_series(soak, rng).await,
        4 => watches::lose_responses(soak, rng).await,
        _ => fall_silent(soak, rng).await,
    }
}

async fn strike_calm(soak: &Soak, rng: &mut StdRng) {
    match rng.random_range(0..24) {
        0..=13 => fall_silent(soak, rng).await,
        14..=16 => change(soak, rng).await,
        17 => hang_up(soak, rng).await,
        18 | 19 => stop(soak, rng, Restart::Heard).await,
        20..=22 => watches::cut_in_series(soak, rng).await,
        _ => watches::lose_responses(soak, rng).await,
    }
}

async fn strike_mixed(soak: &Soak, rng: &mut StdRng) {
    let time = Duration::from_millis(rng.random_range(200..2500));
    match rng.random_range(0..26) {
        0 => freeze(soak, rng, time).await,
        1 => kill(soak, rng, time).await,
        2 | 3 => stop(soak, rng, Restart::Heard).await,
        4 => {
            let fault = soak.record.begin(Scope::Store);
            soak.store.set(random_harm(rng));
            tokio::time::sleep(time).await;
            soak.store.set(Harm::None);
            soak.record.end(fault);
        }
        5..=9 => harm_target(soak, rng, time).await,
        10..=12 => fall_silent(soak, rng).await,
        13 | 14 => change(soak, rng).await,
        15 => hang_up(soak, rng).await,
        16..=19 => strike_store(soak, rng, time).await,
        20 => watches::cut_in_series(soak, rng).await,
        21 => watches::lose_responses(soak, rng).await,
        22..=24 => watches::cut_off_beside_cold(soak, rng).await,
        _ => send_without_end(soak, rng, time).await,
    }
}

/// Strikes the store itself, or evacuates a zone.
async fn strike_store(soak: &Soak, rng: &mut StdRng, time: Duration) {
    let store = &soak.site.store;
    match rng.random_range(0..4) {
        0 => {
            store.forget();
            tokio::time::sleep(time).await;
        }
        1 => {
            let fault = soak.record.begin(Scope::Store);
            store.refuse(Some(StatusCode::SERVICE_UNAVAILABLE));
            tokio::time::sleep(time).await;
            store.refuse(None);
            soak.record.end(fault);
        }
        2 => {
            let copy = store.copy();
            tokio::time::sleep(time).await;
            let fault = soak.record.begin(Scope::Store);
            store.restore_and_write_again(copy);
            soak.record.end(fault);
        }
        _ => {
            let (_, _, zone) = TARGETS[rng.random_range(0..FIRST_TARGETS)];
            let key = format!("op/evacuate/{zone}");
            store.put(&key, &json!({}));
            tokio::time::sleep(time).await;
            store.remove(&key);
        }
    }
}

/// Lets a sound target be silent for a while and go on.
async fn fall_silent(soak: &Soak, rng: &mut StdRng) {
    let at = soak.serving(rng.random_range(0..FIRST_TARGETS));
    let target = &soak.targets[at];
    let time = Duration::from_millis(rng.random_range(SILENCE_MS));
    // Another fault may have the target now.
    let Ok(_fault) = target.fault.try_lock() else {
        return;
    };
    silence(&target.proxy, time).await;
    tokio::time::sleep(SOUND_TIME).await;
}

async fn silence(proxy: &Proxy, time: Duration) {
    proxy.set(Harm::Silence);
    tokio::time::sleep(time).await;
    proxy.set(Harm::None);
}

/// Harms the link to a target. A delay is the only harm that a request
/// survives.
async fn harm_target(soak: &Soak, rng: &mut StdRng, time: Duration) {
    let at = soak.serving(rng.random_range(0..FIRST_TARGETS));
    let target = &soak.targets[at];
    let harm = random_harm(rng);
    let Ok(_fault) = target.fault.try_lock() else {
        return;
    };
    let fault = (!matches!(harm, Harm::Delay(_))).then(|| soak.record.begin(Scope::Target(at)));
    target.proxy.set(harm);
    tokio::time::sleep(time).await;
    target.proxy.set(Harm::None);
    if let Some(fault) = fault {
        soak.record.end(fault);
    }
}

fn random_harm(rng: &mut StdRng) -> Harm {
    match rng.random_range(0..6) {
        0 => Harm::Delay(Duration::from_millis(rng.random_range(20..400))),
        1 => Harm::Silence,
        2 | 3 => Harm::OneWay,
        _ => Harm::Reset,
    }
}

/// Has a target of streams send an event that does not end.
async fn send_without_end(soak: &Soak, rng: &mut StdRng, time: Duration) {
    let at = soak.serving(rng.random_range(0..FIRST_TARGETS));
    let target = &soak.targets[at];
    let Ok(_fault) = target.fault.try_lock() else {
        return;
    };
    if TARGETS[at].1 != "model" {
        return;
    }
    let fault = soak.record.begin(Scope::Target(at));
    target.target.set(Mode::EndlessEvent);
    tokio::time::sleep(time).await;
    target.target.set(targets::usual_mode(TARGETS[at].1));
    soak.record.end(fault);
}

/// Writes configurations one after another.
async fn change(soak: &Soak, rng: &mut StdRng) {
    for _ in 0..rng.random_range(1..5) {
        soak.changes.change(&soak.site.store, rng);
        let pause = Duration::from_millis(rng.random_range(20..500));
        tokio::time::sleep(pause).await;
    }
}

/// Tells an instance several times that its settings have changed.
async fn hang_up(soak: &Soak, rng: &mut StdRng) {
    let at = rng.random_range(0..soak.nodes.len());
    let times = rng.random_range(1..4);
    let Ok(node) = soak.nodes[at].try_lock() else {
        return;
    };
    // A process that has just started doesn't know the signal yet.
    let asked = tokio::time::timeout(READY_TIME, call::get(node.ready, "/v1/ready")).await;
    if !asked.is_ok_and(|got| got.is_ok()) {
        return;
    }
    for _ in 0..times {
        node.process.hang_up();
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..300))).await;
    }
}

async fn freeze(soak: &Soak, rng: &mut StdRng, time: Duration) {
    let at = rng.random_range(0..soak.nodes.len());
    let Ok(node) = soak.nodes[at].try_lock() else {
        return;
    };
    let fault = soak.record.begin(Scope::Instance(at));
    node.process.freeze();
    tokio::time::sleep(time).await;
    node.process.thaw();
    soak.record.end(fault);
}

/// Kills an instance and starts it again after `time`.
async fn kill(soak: &Soak, rng: &mut StdRng, time: Duration) {
    let at = rng.random_range(0..soak.nodes.len());
    let Ok(mut node) = soak.nodes[at].try_lock() else {
        return;
    };
    let fault = soak.record.begin(Scope::Instance(at));
    node.process.kill();
    soak.note_end(at);
    tokio::time::sleep(time).await;
    soak.respawn(at, &mut node);
    soak.record.end(fault);
}

/// Kills all instances at once, but those under another fault, and starts them
/// again after `time`.
pub(super) async fn kill_all(soak: &Soak, time: Duration) {
    let nodes = soak.nodes.iter().enumerate();
    let mut killed = Vec::new();
    for (at, node) in nodes {
        if let Ok(node) = node.try_lock() {
            killed.push((at, soak.record.begin(Scope::Instance(at)), node));
        }
    }
    for (at, _, node) in &mut killed {
        node.process.kill();
        soak.note_end(*at);
    }
    tokio::time::sleep(time).await;
    for (at, fault, mut node) in killed {
        soak.respawn(at, &mut node);
        soak.record.end(fault);
    }
}

/// What the others hear of a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    /// They are told of the new process at once.
    Heard,
    /// Watches hear of it late, so that the others dial the new process by the
    /// record of the one before.
    Unheard,
}

/// Tells an instance to stop, with further signals while it does so, and starts
/// it again.
async fn stop(soak: &Soak, rng: &mut StdRng, restart: Restart) {
    let at = rng.random_range(0..soak.nodes.len());
    stop_one(soak, at, rng, restart).await;
}

/// Replaces the process of an instance, as an upgrade does.
pub(super) async fn replace(soak: &Soak, at: usize, rng: &mut StdRng) {
    stop_one(soak, at, rng, Restart::Heard).await;
}

async fn stop_one(soak: &Soak, at: usize, rng: &mut StdRng, restart: Restart) {
    let signals: Vec<bool> = (0..rng.random_range(0..4)).map(|_| rng.random()).collect();
    let pause = Duration::from_millis(rng.random_range(50..1200));
    let Ok(mut node) = Arc::clone(&soak.nodes[at]).try_lock_owned() else {
        return;
    };
    // A process that has logged nothing doesn't know the signal yet.
    if node.logged().is_empty() {
        return;
    }
    node = terminate(soak, at, node, &signals, rng).await;
    if restart == Restart::Unheard {
        soak.site.store.mute(true);
    }
    tokio::time::sleep(pause).await;
    soak.respawn(at, &mut node);
    if restart == Restart::Unheard {
        let delay = Duration::from_millis(rng.random_range(RECORD_DELAY_MS));
        tokio::time::sleep(delay).await;
        soak.site.store.mute(false);
    }
}

/// Tells an instance to stop, with further signals while it does so, and waits
/// until it has ended.
pub(super) async fn terminate(
    soak: &Soak,
    at: usize,
    node: OwnedMutexGuard<Node>,
    signals: &[bool],
    rng: &mut StdRng,
) -> OwnedMutexGuard<Node> {
    let mut node = node;
    let told = Instant::now();
    node.process.terminate();
    for is_hang_up in signals {
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..300))).await;
        signal_again(&node, *is_hang_up);
    }
    let ending = tokio::task::spawn_blocking(move || {
        let status = node.process.wait_for_status();
        (node, status)
    });
    let (ended, status) = ending.await.expect("no panic");
    node = ended;
    soak.note_end(at);
    let took = told.elapsed();
    assert!(
        status.success(),
        "instance {at} did not stop well: {status}, {}",
        last_lines(&node.logged())
    );
    assert!(
        took <= GRACE + SLACK,
        "instance {at} took {took:?} to stop, {}",
        last_lines(&node.logged())
    );
    node
}

/// Returns the end of a log.
fn last_lines(log: &str) -> String {
    let lines: Vec<_> = log.lines().rev().take(MAX_SHOWN_LINES).collect();
    let lines: Vec<_> = lines.into_iter().rev().collect();
    format!("which logged last:\n{}", lines.join("\n"))
}

fn signal_again(node: &Node, is_hang_up: bool) {
    match is_hang_up {
        true => node.process.hang_up(),
        false => node.process.terminate(),
    }
}
