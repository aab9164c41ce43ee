//! Instances of an older build, which are replaced one by one by today's.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use super::faults;
use super::late;
use super::world::Soak;

/// Time between two replacements, in ms.
const PAUSE_MS: std::ops::Range<u64> = 300..2500;

/// Replaces all instances, in any order. Midway one of either build is lost for a
/// moment, and the store executes a write of its process late.
pub(super) async fn run(soak: &Soak, rng: &mut StdRng) {
    let mut order: Vec<_> = (0..soak.nodes.len()).collect();
    order.shuffle(rng);
    let midway = order.len() / 2;
    for (n, at) in order.into_iter().enumerate() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        if n == midway {
            late::write_over_successor(soak, rng).await;
        }
        faults::replace(soak, at, rng).await;
        soak.nodes[at].lock().await.until_ready(true).await;
    }
}
