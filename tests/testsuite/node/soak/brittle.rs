//! Targets that say for a while that they are brittle: one that rejects too many
//! requests in a second then falls over.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use support::node::Capacity;
use support::node::RoomReport;

use super::checks::Violation;
use super::record::Scope;
use super::targets::TARGETS;
use super::world::Soak;

/// The service whose targets are brittle.
const SERVICE: &str = "orders";

/// Requests that a target runs at once, as its record says.
const SLOTS: usize = 6;

/// Time that a request holds a slot before its usual time.
const SERVICE_TIME: Duration = Duration::from_millis(150);

/// Requests that wait at a target, at most.
const QUEUE: usize = 12;

/// Requests that wait at a brittle target, at most, once it has said so for
/// `contact_ms`.
const SHORT_QUEUES: std::ops::Range<usize> = 0..4;

/// Rejections in a second that a brittle target survives.
const MAX_REJECTIONS: std::ops::Range<u32> = 2..6;

/// Time for which targets say that they are brittle before they let fewer wait:
/// `contact_ms` of the settings.
const NOTICE: Duration = Duration::from_millis(5000);

/// Time for which they let fewer wait, in ms.
const SHORT_MS: std::ops::Range<u64> = 3000..6000;

/// Pause before targets turn brittle, in ms.
const PAUSE_MS: std::ops::Range<u64> = 500..2000;

/// Room of these targets when they aren't brittle.
const USUAL: Capacity = Capacity {
    slots: SLOTS,
    queue: QUEUE,
    service_time: SERVICE_TIME,
    max_rejections: None,
};

/// A time for which targets were brittle.
#[derive(Clone, Copy, Debug)]
struct BrittleTime {
    max_rejections: u32,
    /// Requests that waited at a target in the end, at most.
    queue: usize,
    rejected: usize,
    falls: usize,
}

impl std::fmt::Display for BrittleTime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            max_rejections,
            queue,
            rejected,
            falls,
        } = self;
        write!(
            f,
            "{falls} falls and {rejected} rejections by targets that survive \
             {max_rejections} in a second and have {queue} wait"
        )
    }
}

/// The times for which targets were brittle.
#[derive(Debug, Default)]
pub(super) struct BrittleTimes(Mutex<Vec<BrittleTime>>);

impl BrittleTimes {
    /// Returns the times in which targets fell over more often than two times
    /// and a tenth of their number.
    pub(super) fn violations(&self, soak: &Soak) -> Vec<Violation> {
        let allowed = 2 + targets(soak).count() / 10;
        let times = self.0.lock().expect("no panic under the lock");
        for time in times.iter() {
            println!("{time}, {allowed} allowed");
        }
        let excesses = times.iter().filter(|time| time.falls > allowed);
        let violations = excesses.map(|time| Violation {
            id: SERVICE.to_owned(),
            rule: "brittle targets fell over too often",
            seen: format!("{time}, {allowed} allowed"),
        });
        violations.collect()
    }
}

fn targets(soak: &Soak) -> impl Iterator<Item = usize> {
    let all = 0..soak.targets.len();
    all.filter(|at| TARGETS[*at].1 == SERVICE)
}

/// Limits the room of these targets, so that many callers want more than they
/// run.
pub(super) fn limit_room(soak: &Soak) {
    limit(soak, USUAL);
}

/// Has the targets of a service turn brittle, one time after another.
pub(super) async fn run(soak: &Soak, until: Instant, rng: &mut StdRng) {
    let usual = USUAL;
    limit_room(soak);
    loop {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        let short = Duration::from_millis(rng.random_range(SHORT_MS));
        let max_rejections = rng.random_range(MAX_REJECTIONS);
        let queue = rng.random_range(SHORT_QUEUES);
        tokio::time::sleep(pause).await;
        if Instant::now() + NOTICE + short > until {
            return;
        }
        let before = reports(soak);
        // A target that falls over breaks its requests off.
        let faults: Vec<_> = targets(soak)
            .map(|at| soak.record.begin(Scope::Target(at)))
            .collect();
        let brittle = Capacity {
            max_rejections: Some(max_rejections),
            ..usual
        };
        limit(soak, brittle);
        tokio::time::sleep(NOTICE).await;
        limit(soak, Capacity { queue, ..brittle });
        tokio::time::sleep(short).await;
        limit(soak, usual);
        for fault in faults {
            soak.record.end(fault);
        }
        let after = reports(soak);
        let time = BrittleTime {
            max_rejections,
            queue,
            rejected: after.rejected - before.rejected,
            falls: after.falls - before.falls,
        };
        let mut times = soak.brittle.0.lock().expect("no panic under the lock");
        times.push(time);
    }
}

fn limit(soak: &Soak, capacity: Capacity) {
    for at in targets(soak) {
        soak.targets[at].target.limit_room(capacity);
    }
}

/// Adds up what became of the targets so far.
fn reports(soak: &Soak) -> RoomReport {
    let reports = targets(soak).map(|at| soak.targets[at].target.room_report());
    reports.fold(RoomReport::default(), |sum, one| RoomReport {
        rejected: sum.rejected + one.rejected,
        falls: sum.falls + one.falls,
        ..sum
    })
}
