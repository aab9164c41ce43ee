//! Regions that leave one after the other, and come back long after a restart would
//! have ended.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use support::node::Node;
use tokio::sync::OwnedMutexGuard;

use super::faults;
use super::homes;
use super::homes::CONTACT_TIME;
use super::lookups;
use super::record::Scope;
use super::release::pause;
use super::world::Soak;
use super::world::ZONES;

/// Pause before a region leaves, and before each of its instances does, in ms.
const PAUSE_MS: std::ops::Range<u64> = 0..2500;

/// Time for which all instances of both are gone, in ms: longer than a restart.
const GONE_MS: std::ops::Range<u64> = 12_000..15_000;

/// Moves of homes to the regions that leave.
const BOUND: usize = 3;

/// Time in which callers are served in a region that is back: the longest for
/// which they keep an answer, three times `ttl_max_s`, and `contact_ms`.
const RETURN_TIME: Duration = Duration::from_secs(20);

/// An instance that is gone.
type Gone = (usize, OwnedMutexGuard<Node>);

/// Has two regions leave and come back while callers look instances up.
pub(super) async fn run(soak: &Soak, until: Instant, rng: &mut StdRng) {
    let of_callers = StdRng::seed_from_u64(rng.next_u64());
    tokio::select! {
        () = lookups::run(soak, of_callers) => {}
        () = leave_and_return(soak, until, rng) => {}
    }
}

async fn leave_and_return(soak: &Soak, until: Instant, rng: &mut StdRng) {
    pause(rng, PAUSE_MS).await;
    let mut regions = ZONES.map(|(_, region)| region);
    regions.shuffle(rng);
    let [first, second, _] = regions;
    for _ in 0..BOUND {
        let homes = homes::of_both(first, second);
        soak.changes.move_homes(&soak.site.store, homes, rng);
    }
    let mut gone = leave(soak, first, rng).await;
    pause(rng, PAUSE_MS).await;
    gone.extend(leave(soak, second, rng).await);
    pause(rng, GONE_MS).await;
    for (at, mut node) in gone {
        soak.respawn(at, &mut node);
        node.until_ready(true).await;
    }
    let back = Instant::now();
    let latest = back.max(until) + RETURN_TIME;
    soak.lookups.until_back(back, latest).await;
}

/// Has all instances of a region stop, or kills them.
async fn leave(soak: &Soak, region: &str, rng: &mut StdRng) -> Vec<Gone> {
    let is_killed = rng.random();
    let all = soak.places.iter().enumerate();
    let of_region = all.filter(|(_, place)| place.region == region);
    let leaving = of_region.map(|(at, _)| {
        let own = StdRng::seed_from_u64(rng.next_u64());
        leave_one(soak, at, is_killed, own)
    });
    let leaving: Vec<_> = leaving.collect();
    join_all(leaving).await
}

async fn leave_one(soak: &Soak, at: usize, is_killed: bool, mut rng: StdRng) -> Gone {
    let mut node = Arc::clone(&soak.nodes[at]).lock_owned().await;
    node.until_ready(true).await;
    pause(&mut rng, PAUSE_MS).await;
    if !is_killed {
        return (at, faults::terminate(soak, at, node, &[], &mut rng).await);
    }
    let fault = soak.record.begin(Scope::Instance(at));
    node.process.kill();
    soak.note_end(at);
    // The others have noticed by then.
    tokio::time::sleep(CONTACT_TIME).await;
    soak.record.end(fault);
    (at, node)
}
