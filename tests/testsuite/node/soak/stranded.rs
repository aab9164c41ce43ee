//! Instances that are cut off from all targets, while callers, the store and the
//! other instances reach them.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use support::node::path::Cut as WayCut;

use super::brittle;
use super::callers::End;
use super::callers::Seen;
use super::checks::Violation;
use super::record::Scope;
use super::world::Soak;
use super::world::ZONES;

/// Length of a cut, in ms.
const CUT_MS: std::ops::Range<u64> = 9000..11_000;

/// Pause before a cut, in ms.
const PAUSE_MS: std::ops::Range<u64> = 500..1500;

/// What a cut does to connections: they hang, are reset, or live on while new
/// ones are refused.
const WAY_CUTS: [WayCut; 3] = [WayCut::Hang, WayCut::Reset, WayCut::RefuseNew];

/// Time after the beginning of a cut from which it is judged: `contact_ms` of the
/// settings.
const CONTACT_TIME: Duration = Duration::from_millis(5000);

/// First tries that may fail at the instances of a cut, besides a share of all.
const FAILED_SLACK: usize = 10;

/// Divisor of that share.
const FAILED_DIVISOR: usize = 50;

/// A time for which instances were cut off.
#[derive(Clone, Debug)]
struct Cut {
    instances: Vec<usize>,
    way_cut: WayCut,
    begun: Instant,
    ended: Instant,
}

/// The cuts of a run.
#[derive(Debug, Default)]
pub(super) struct Cuts(Mutex<Vec<Cut>>);

/// First tries of callers at some instances.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    sent: usize,
    served: usize,
}

impl Tries {
    fn count<'a, I>(seen: I) -> Self
    where
        I: Iterator<Item = &'a Seen>,
    {
        seen.fold(Self::default(), |tries, one| {
            // A caller that loses its connection has begun to be served.
            let is_served = one.is_success() || matches!(one.end, End::Lost(_));
            Self {
                sent: tries.sent + 1,
                served: tries.served + usize::from(is_served),
            }
        })
    }

    fn failed(self) -> usize {
        self.sent - self.served
    }

    /// Tells whether these were served less than two thirds as often as others.
    fn are_served_less_than(self, others: Self) -> bool {
        3 * self.served * others.sent < 2 * others.served * self.sent
    }
}

impl Cut {
    /// Returns what callers saw of this cut if those of its instances were served
    /// far worse than the others.
    fn violation(&self, seen: &[Seen]) -> Option<Violation> {
        let judged = self.begun + CONTACT_TIME..self.ended;
        let first_tries = seen
            .iter()
            .filter(|one| one.resumption.is_none() && judged.contains(&one.sent));
        let (cut_off, others): (Vec<&Seen>, Vec<&Seen>) =
            first_tries.partition(|one| self.instances.contains(&one.at));
        let cut_off = Tries::count(cut_off.into_iter());
        let others = Tries::count(others.into_iter());
        println!(
            "{:?} of {:?}: {cut_off:?}, the others {others:?}",
            self.way_cut, self.instances
        );
        let allowed = FAILED_SLACK + (cut_off.sent + others.sent) / FAILED_DIVISOR;
        let is_broken = cut_off.failed() > allowed && cut_off.are_served_less_than(others);
        is_broken.then(|| Violation {
            id: format!("instances {:?}", self.instances),
            rule: "callers of instances cut off from targets were served far worse",
            seen: format!("{:?}, {cut_off:?}, the others {others:?}", self.way_cut),
        })
    }
}

impl Cuts {
    pub(super) fn violations(&self, seen: &[Seen]) -> Vec<Violation> {
        let cuts = self.0.lock().expect("no panic under the lock");
        cuts.iter().filter_map(|cut| cut.violation(seen)).collect()
    }
}

/// Cuts instances off from all targets, one time after another.
pub(super) async fn run(soak: &Soak, until: Instant, rng: &mut StdRng) {
    brittle::limit_room(soak);
    loop {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        let length = Duration::from_millis(rng.random_range(CUT_MS));
        tokio::time::sleep(pause).await;
        if Instant::now() + length > until {
            return;
        }
        let instances = choose(soak, rng);
        let way_cut = WAY_CUTS[rng.random_range(0..WAY_CUTS.len())];
        cut_off(soak, instances, way_cut, length).await;
    }
}

/// Chooses all instances of a zone, all but one or a few.
fn choose(soak: &Soak, rng: &mut StdRng) -> Vec<usize> {
    let mut all: Vec<_> = (0..soak.nodes.len()).collect();
    all.shuffle(rng);
    match rng.random_range(0..4) {
        0 => {
            let (zone, _) = ZONES[rng.random_range(0..ZONES.len())];
            all.retain(|at| soak.places[*at].zone == zone);
        }
        1 | 2 => all.truncate(all.len() - 1),
        _ => all.truncate(all.len().div_ceil(3)),
    }
    all
}

async fn cut_off(soak: &Soak, instances: Vec<usize>, way_cut: WayCut, length: Duration) {
    let begun = Instant::now();
    let mut faults = Vec::new();
    for at in &instances {
        faults.push(soak.record.begin(Scope::Instance(*at)));
        soak.ways[*at].set(way_cut);
    }
    tokio::time::sleep(length).await;
    let ended = Instant::now();
    for at in &instances {
        soak.ways[*at].set(WayCut::None);
    }
    for fault in faults {
        soak.record.end(fault);
    }
    let mut cuts = soak.cuts.0.lock().expect("no panic under the lock");
    cuts.push(Cut {
        instances,
        way_cut,
        begun,
        ended,
    });
}
