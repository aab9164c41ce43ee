//! Targets that write their streams in parts which end anywhere.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use support::node::Mode;

use super::targets;
use super::targets::EVENTS;
use super::targets::FIRST_TARGETS;
use super::targets::TARGETS;
use super::world::Soak;

/// Pause between two such times, in ms.
const PAUSE_MS: std::ops::Range<u64> = 50..400;

/// Time for which a target writes so, in ms.
const TIME_MS: std::ops::Range<u64> = 800..2500;

/// Pause before each part, in ms.
const PART_PAUSE_MS: std::ops::Range<u64> = 1..90;

/// Has one target of streams after another write so.
pub(super) async fn run(soak: &Soak, until: Instant, rng: &mut StdRng) {
    while Instant::now() < until {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        let time = Duration::from_millis(rng.random_range(TIME_MS));
        let part_pause = Duration::from_millis(rng.random_range(PART_PAUSE_MS));
        let at = soak.serving(rng.random_range(0..FIRST_TARGETS));
        tokio::time::sleep(pause).await;
        if TARGETS[at].1 == "model" {
            write_torn(soak, at, part_pause, time).await;
        }
    }
}

async fn write_torn(soak: &Soak, at: usize, part_pause: Duration, time: Duration) {
    let target = &soak.targets[at];
    // Another fault may have the target now.
    let Ok(_fault) = target.fault.try_lock() else {
        return;
    };
    target.target.set(Mode::Torn(EVENTS, part_pause));
    tokio::time::sleep(time).await;
    target.target.set(targets::usual_mode(TARGETS[at].1));
}
