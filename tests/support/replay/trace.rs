//! Request traces, generated from a seed.

use std::time::Duration;

use chiverelay_decisions::placement::Objective;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::record::Record;

/// Length of every trace.
pub(super) const LENGTH: Duration = Duration::from_secs(120);

/// When the fault of a trace begins.
pub(super) const FAULT_FROM: Duration = Duration::from_secs(40);

/// When the fault of a trace ends.
pub(super) const FAULT_TO: Duration = Duration::from_secs(80);

/// Client accounts of a user.
pub(super) const ACCOUNTS: usize = 5;

/// Share of each account in the requests, in percent.
const SHARES: [u32; ACCOUNTS] = [40, 30, 15, 10, 5];

/// Documents that an account's long requests begin with.
const DOCUMENTS: u64 = 6;

/// One of the two users with their sizes of today.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum User {
    /// Hojalateria Andina Encargos.
    Hojalateria,
    /// Pochoirs Laurentides.
    Pochoirs,
}

impl User {
    /// Both users.
    pub const ALL: [Self; 2] = [Self::Hojalateria, Self::Pochoirs];

    /// Returns the regions and their engines.
    pub fn regions(self) -> [(&'static str, usize); 3] {
        match self {
            Self::Hojalateria => [("lima", 4), ("arequipa", 3), ("cusco", 2)],
            Self::Pochoirs => [("quebec", 6), ("ontario", 4), ("maritimes", 2)],
        }
    }

    /// Returns the megabits a second of each way between two regions.
    pub fn link_mbits(self) -> u64 {
        match self {
            Self::Hojalateria => 140,
            Self::Pochoirs => 2000,
        }
    }

    /// Returns the weights that the user asks for.
    pub fn weights(self) -> Objective {
        match self {
            Self::Hojalateria => Objective::Latency,
            Self::Pochoirs => Objective::Cost,
        }
    }
}

/// What a trace shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Peaks at different hours in different regions.
    Peaks,
    /// One account sends several times its rate.
    Surge,
    /// A region loses half of its engines.
    Loss,
    /// A region at its peak is cut off from the others.
    Cut,
    /// A region's traffic comes back to cold caches.
    Cold,
    /// An engine leaves.
    Leaving,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Peaks,
        Self::Surge,
        Self::Loss,
        Self::Cut,
        Self::Cold,
        Self::Leaving,
    ];

    /// Returns what goes wrong between [`FAULT_FROM`] and [`FAULT_TO`].
    pub fn fault(self) -> Fault {
        match self {
            Self::Peaks | Self::Surge => Fault::None,
            Self::Loss => Fault::Crash { region: 0 },
            Self::Cut => Fault::Cut { region: 1 },
            Self::Cold => Fault::Restart { region: 0 },
            Self::Leaving => Fault::Leave { engine: 0 },
        }
    }
}

/// What goes wrong in a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Every second engine of a region is down.
    Crash {
        /// The region.
        region: usize,
    },
    /// A region hears nothing of the others.
    Cut {
        /// The region.
        region: usize,
    },
    /// All engines of a region restart at the end of the time.
    Restart {
        /// The region.
        region: usize,
    },
    /// An engine reads prompts several times slower and doesn't say so.
    Slow {
        /// The engine.
        engine: usize,
    },
    /// An engine says that it leaves, and is gone three seconds later.
    Leave {
        /// The engine.
        engine: usize,
    },
}

/// A request of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// When it comes.
    pub at: Duration,
    /// The region where it comes.
    pub region: usize,
    /// Its client account.
    pub account: usize,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens of its answer.
    pub answer: u64,
    /// Chained hashes of the prompt's blocks.
    pub chain: Vec<u64>,
}

/// A request trace.
///
/// # Invariants
///
/// `asks` has the requests of `records`, in the same order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Whose sizes it has.
    pub user: User,
    /// What was recorded of the requests.
    pub records: Vec<Record>,
    /// What goes wrong.
    pub fault: Fault,
    /// The requests, by time.
    pub asks: Vec<Ask>,
}

/// Requests a second that one engine bears, as the traces have them.
const PER_ENGINE: f64 = 2.2;

impl Trace {
    /// Generates a trace.
    pub fn generate(user: User, kind: Kind, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut records = Vec::new();
        for (region, (_, engines)) in user.regions().into_iter().enumerate() {
            let mut at = 0.0;
            while at < LENGTH.as_secs_f64() {
                let rate = engines as f64 * PER_ENGINE * level(kind, region, at);
                at += -(1.0 - rng.random::<f64>()).ln() / rate.max(0.05);
                let record = some_record(region, at, &mut rng);
                if kind == Kind::Surge && record.account == 1 && is_faulty(at) {
                    for _ in 0..4 {
                        records.push(some_record_of(1, region, at, &mut rng));
                    }
                }
                records.push(record);
            }
        }
        records.sort_by_key(|r| r.at_ms);
        Self::new(user, kind, seed, records)
    }

    /// Makes a trace of what was recorded.
    pub(super) fn new(user: User, kind: Kind, seed: u64, records: Vec<Record>) -> Self {
        let asks = (0..).zip(&records).map(|(i, r)| r.ask(seed, i));
        Self {
            user,
            fault: kind.fault(),
            asks: asks.collect(),
            records,
        }
    }
}

fn is_faulty(at: f64) -> bool {
    (FAULT_FROM.as_secs_f64()..FAULT_TO.as_secs_f64()).contains(&at)
}

/// Returns the load of a region as a share of what its engines bear.
fn level(kind: Kind, region: usize, at: f64) -> f64 {
    match kind {
        Kind::Peaks => {
            let phase = at / LENGTH.as_secs_f64() * std::f64::consts::TAU;
            let shift = region as f64 * std::f64::consts::TAU / 3.0;
            0.75 + 0.55 * (phase - shift).sin()
        }
        Kind::Cut if region == 1 => 0.85,
        Kind::Cold if region == 0 && is_faulty(at) => 0.05,
        Kind::Cold if region == 0 => 0.8,
        Kind::Loss if region == 0 => 0.7,
        _ => 0.6,
    }
}

fn some_record(region: usize, at: f64, rng: &mut SmallRng) -> Record {
    let mut pick = rng.random_range(0..100);
    let account = SHARES.iter().position(|share| {
        let found = pick < *share;
        pick = pick.saturating_sub(*share);
        found
    });
    some_record_of(account.unwrap_or(0), region, at, rng)
}

/// Makes a short question or a long draft of an account.
fn some_record_of(account: usize, region: usize, at: f64, rng: &mut SmallRng) -> Record {
    let long = rng.random_bool(0.35);
    let document = rng.random_range(0..DOCUMENTS);
    let own = rng.random_range(30..400);
    let answer = match long {
        true => rng.random_range(120..400),
        false => rng.random_range(20..120),
    };
    Record {
        at_ms: (at * 1000.0) as u64,
        region,
        account,
        long,
        document,
        own,
        answer,
    }
}
