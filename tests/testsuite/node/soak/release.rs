//! Releases of the targets' software.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use tokio::sync::mpsc;

use super::Profile;
use super::faults;
use super::targets::FIRST_TARGETS;
use super::targets::TARGETS;
use super::world::Soak;

/// Time before a release, and between its halves, in ms.
const PAUSE_MS: std::ops::Range<u64> = 500..1500;

/// Time for which a target that is replaced drains, in ms.
const DRAIN_MS: std::ops::Range<u64> = 600..1400;

/// Time for which all instances are down, in ms.
const DOWN_MS: std::ops::Range<u64> = 200..1000;

/// Share of the releases around which all instances are killed.
const KILL_SHARE: f64 = 0.7;

/// Replaces half of the targets of streams by others of another version of their
/// software, and then the rest. `moments` is told when these will come.
pub(super) async fn run(
    soak: &Soak,
    profile: Profile,
    rng: &mut StdRng,
    moments: mpsc::UnboundedSender<Instant>,
) {
    let mut old: Vec<_> = (0..FIRST_TARGETS)
        .filter(|at| TARGETS[*at].1 == "model")
        .collect();
    old.shuffle(rng);
    let (half, rest) = old.split_at(old.len() / 2);
    pause_before(&moments, rng).await;
    replace(soak, half, rng).await;
    let is_killing = profile == Profile::Mixed && rng.random_bool(KILL_SHARE);
    let kills_between = rng.random_bool(0.5);
    pause_before(&moments, rng).await;
    if is_killing && kills_between {
        kill_all(soak, rng).await;
    }
    replace(soak, rest, rng).await;
    if is_killing && !kills_between {
        kill_all(soak, rng).await;
    }
}

async fn kill_all(soak: &Soak, rng: &mut StdRng) {
    let down = Duration::from_millis(rng.random_range(DOWN_MS));
    faults::kill_all(soak, down).await;
}

/// Has others take the place of some targets, which drain and leave.
async fn replace(soak: &Soak, old: &[usize], rng: &mut StdRng) {
    for at in old {
        soak.replace_target(*at);
    }
    pause(rng, DRAIN_MS).await;
    for at in old {
        soak.remove_target(*at);
    }
}

/// Pauses before new targets come.
async fn pause_before(moments: &mpsc::UnboundedSender<Instant>, rng: &mut StdRng) {
    let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
    // Nobody may care.
    let _ = moments.send(Instant::now() + pause);
    tokio::time::sleep(pause).await;
}

pub(super) async fn pause(rng: &mut StdRng, ms: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(ms))).await;
}
