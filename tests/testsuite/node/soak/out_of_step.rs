//! Instances that are out of step around a release: they stand still, are cut off
//! from the store, or are started and killed again and again.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use support::node::proxy::Harm;
use tokio::sync::mpsc;

use super::faults;
use super::record::Scope;
use super::world::Soak;

/// Longest time by which instances are out of step before a release, in ms.
const MAX_LEAD_MS: u64 = 1200;

/// Time for which an instance stands still, in ms.
const STILL_MS: std::ops::Range<u64> = 300..4000;

/// Time for which an instance is cut off from the store, in ms.
const CUT_MS: std::ops::Range<u64> = 1500..6000;

/// Time for which an instance that stood still stays cut off from the store, in
/// ms.
const LATER_CUT_MS: std::ops::Range<u64> = 300..3000;

/// Most instances that are out of step at once.
const MAX_INSTANCES: usize = 2;

/// How often all instances are killed one time after another.
const ROUNDS: std::ops::Range<usize> = 2..5;

/// Time for which all are down, in ms.
const DOWN_MS: std::ops::Range<u64> = 50..400;

/// Time after a start in which they are killed again, in ms.
const UP_MS: std::ops::Range<u64> = 100..1000;

/// Time between the restarts of two instances, in ms.
const ROLL_MS: std::ops::Range<u64> = 30..300;

/// Time for which nobody hears of records after such restarts, in ms.
const UNHEARD_MS: std::ops::Range<u64> = 200..1500;

/// Time for which callers prefer an instance that was out of step.
const AFTERWARDS: Duration = Duration::from_millis(800);

/// The instances that are out of step, or were until a moment ago.
#[derive(Debug, Default)]
pub(super) struct OutOfStep(Mutex<Vec<usize>>);

impl OutOfStep {
    pub(super) fn list(&self) -> Vec<usize> {
        self.0.lock().expect("no panic under the lock").clone()
    }

    fn add(&self, at: usize) {
        self.0.lock().expect("no panic under the lock").push(at);
    }

    fn remove(&self, at: usize) {
        let mut list = self.0.lock().expect("no panic under the lock");
        let position = list.iter().position(|listed| *listed == at);
        position.map(|position| list.swap_remove(position));
    }
}

/// Has instances be out of step around each moment at which new targets come,
/// until the release is over.
pub(super) async fn run(
    soak: &Soak,
    mut moments: mpsc::UnboundedReceiver<Instant>,
    rng: &mut StdRng,
) {
    let mut strikes = FuturesUnordered::new();
    loop {
        tokio::select! {
            moment = moments.recv() => match moment {
                Some(moment) => {
                    let own = StdRng::seed_from_u64(rng.next_u64());
                    strikes.push(strike(soak, moment, own));
                }
                None => break,
            },
            Some(()) = strikes.next() => {}
        }
    }
    while strikes.next().await.is_some() {}
}

async fn strike(soak: &Soak, moment: Instant, mut rng: StdRng) {
    let lead = Duration::from_millis(rng.random_range(0..MAX_LEAD_MS));
    let kind = rng.random_range(0..10);
    // It begins at once if there is less time than that.
    let begin = moment.checked_sub(lead).unwrap_or(moment);
    tokio::time::sleep_until(begin.into()).await;
    match kind {
        0..=6 => stall_some(soak, &mut rng).await,
        7 | 8 => kill_again_and_again(soak, &mut rng).await,
        _ => roll(soak, &mut rng).await,
    }
}

/// Has one or two instances stand still, or cuts them off from the store.
async fn stall_some(soak: &Soak, rng: &mut StdRng) {
    let mut all: Vec<_> = (0..soak.nodes.len()).collect();
    all.shuffle(rng);
    all.truncate(rng.random_range(1..=MAX_INSTANCES));
    let stalls = all.into_iter().map(|at| {
        let own = StdRng::seed_from_u64(rng.next_u64());
        stall(soak, at, own)
    });
    let stalls: Vec<_> = stalls.collect();
    futures_util::future::join_all(stalls).await;
}

async fn stall(soak: &Soak, at: usize, mut rng: StdRng) {
    let still = Duration::from_millis(rng.random_range(STILL_MS));
    let cut = Duration::from_millis(rng.random_range(CUT_MS));
    let later_cut = Duration::from_millis(rng.random_range(LATER_CUT_MS));
    let kind = rng.random_range(0..3);
    soak.out_of_step.add(at);
    match kind {
        0 => stand_still(soak, at, still).await,
        1 => cut_off(soak, at, tokio::time::sleep(cut)).await,
        _ => {
            // It runs again before it hears of the store.
            let standing = async {
                stand_still(soak, at, still).await;
                tokio::time::sleep(later_cut).await;
            };
            cut_off(soak, at, standing).await;
        }
    }
    tokio::time::sleep(AFTERWARDS).await;
    soak.out_of_step.remove(at);
}

async fn stand_still(soak: &Soak, at: usize, time: Duration) {
    // Another fault may have the instance now.
    let Ok(node) = soak.nodes[at].try_lock() else {
        return;
    };
    let fault = soak.record.begin(Scope::Instance(at));
    node.process.freeze();
    tokio::time::sleep(time).await;
    node.process.thaw();
    soak.record.end(fault);
}

/// Cuts an instance off from the store while something goes on.
async fn cut_off<F>(soak: &Soak, at: usize, meanwhile: F)
where
    F: Future<Output = ()>,
{
    let fault = soak.record.begin(Scope::StoreLink(at));
    soak.store_links[at].set(Harm::Silence);
    meanwhile.await;
    soak.store_links[at].set(Harm::None);
    soak.record.end(fault);
}

/// Kills all instances several times, each time soon after their start.
async fn kill_again_and_again(soak: &Soak, rng: &mut StdRng) {
    for _ in 0..rng.random_range(ROUNDS) {
        let down = Duration::from_millis(rng.random_range(DOWN_MS));
        faults::kill_all(soak, down).await;
        let up = Duration::from_millis(rng.random_range(UP_MS));
        tokio::time::sleep(up).await;
    }
}

/// Restarts one instance after another, faster than the others hear of it.
async fn roll(soak: &Soak, rng: &mut StdRng) {
    let mut order: Vec<_> = (0..soak.nodes.len()).collect();
    order.shuffle(rng);
    let unheard = soak.record.begin(Scope::Store);
    soak.site.store.mute(true);
    for at in order {
        restart(soak, at);
        let pause = Duration::from_millis(rng.random_range(ROLL_MS));
        tokio::time::sleep(pause).await;
    }
    let pause = Duration::from_millis(rng.random_range(UNHEARD_MS));
    tokio::time::sleep(pause).await;
    soak.site.store.mute(false);
    soak.record.end(unheard);
}

fn restart(soak: &Soak, at: usize) {
    let Ok(mut node) = soak.nodes[at].try_lock() else {
        return;
    };
    let fault = soak.record.begin(Scope::Instance(at));
    node.process.kill();
    soak.respawn(at, &mut node);
    soak.record.end(fault);
}
