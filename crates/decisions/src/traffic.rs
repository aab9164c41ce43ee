//! What runs at the targets, by this instance's own count and by what the
//! other instances tell, and the choice of a target from it.

mod cached;
mod choose;
mod meter;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::PoolTerms;
use crate::fleet::Fleet;
use crate::fleet::KnownTarget;
use crate::names::Instance;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Target;
use crate::placement::Health;
use crate::placement::HealthEvent;
use crate::placement::HealthStatus;
use crate::window::Divisor;
use crate::window::RetryLimit;
use crate::window::RetryWindow;
use crate::window::Window;

pub use cached::CachedParts;
pub use cached::PromptPart;
pub use choose::Choice;
pub use choose::Demand;
pub use choose::Estimate;
pub use choose::Nowhere;
pub use choose::RegionChoice;
pub use choose::SPILL_GAIN;
pub use meter::Meter;

/// Time without a word after which another instance's counts are dropped.
const COUNTS_LIFE: Duration = Duration::from_secs(5);

/// Time until the instances of another region have told of a request that was
/// sent there.
const UNCOUNTED: Duration = Duration::from_millis(800);

/// Window in which a cold target's requests are counted.
const COLD_WINDOW: Duration = Duration::from_millis(1030);

/// What one instance has at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// Requests that run or wait there.
    pub running: u32,
    /// Prompt tokens of them that are still to be read.
    pub unread_tokens: u32,
}

impl Count {
    /// Adds an equal share of what goes to one of so many targets.
    fn plus_share(self, other: Self, targets: usize) -> Self {
        let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
        Self {
            running: self.running + other.running / targets,
            unread_tokens: self
                .unread_tokens
                .saturating_add(other.unread_tokens / targets),
        }
    }

    fn add(&mut self, other: Self) {
        self.running += other.running;
        self.unread_tokens += other.unread_tokens;
    }
}

/// What an instance has at a target, as told to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetCount {
    /// The target.
    pub target: Target,
    /// What is there.
    pub count: Count,
}

#[derive(Debug, Default)]
struct OwnCount {
    count: Count,
    health: Health,
    cold: Option<Window>,
    failing: f64,
    /// When an answer last began or ended there.
    answered: Duration,
}

#[derive(Debug)]
struct Told {
    heard: Duration,
    counts: Vec<TargetCount>,
}

/// A place at a target, from the choice until the request has ended there.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The target.
    pub target: Target,
    /// The pool.
    pub pool: Pool,
    /// Prompt tokens that the target has to read.
    pub unread_tokens: u32,
    /// Prompt tokens ahead of them when the place was taken.
    pub ahead_tokens: u32,
    /// When it was taken, on the local monotonic clock.
    pub since: Duration,
    /// Where the target can copy parts of the prompt from that it lacks.
    pub source: Option<SocketAddr>,
    /// Requests that ran or waited for each slot when the place was taken, at
    /// least 1.
    pub crowd: f64,
}

/// How a request at a target went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The target answered.
    Answered,
    /// The target said that it did not run the request, as it is full.
    Full,
    /// Another target has the address.
    Misdirected,
    /// The target answered with an error of its own.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// There was no answer, or not all of it.
    Lost,
    /// The caller left, or the request was given up here.
    Cancelled,
}

/// Weight of the newest answer in a target's share of failures.
const FAILING_WEIGHT: f64 = 0.08;

/// Time without any answer of a target after which a request that was given up
/// there counts as failed.
const HANGING: Duration = Duration::from_millis(1500);

/// Time for which a full target is passed over.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// Time in which a full target's queue is taken to run empty.
const FULL_LIFE: Duration = Duration::from_millis(600);

/// Requests for each slot that a full target is taken to have.
const FULL_CROWD: f64 = 3.0;

/// A part of a prompt that a target reads or has in memory, as told to the
/// other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartUse {
    /// The target.
    pub target: Target,
    /// The part.
    pub part: PromptPart,
}

/// Parts of which the other instances are told at once.
const MAX_USES: usize = 128;

/// Parts from which on others are told of them, in tokens.
const TOLD_TOKENS: u32 = 500;

/// Everything that is counted at the targets.
///
/// # Invariants
///
/// `uses` has at most [`MAX_USES`] entries. `told_sum` is the sum of the counts in `told`. Each [`Place`] given out is
/// counted in `own` until it is given back by [`Traffic::end`].
#[derive(Debug)]
pub struct Traffic {
    own: HashMap<Target, OwnCount>,
    cached: HashMap<Target, CachedParts>,
    uses: Vec<PartUse>,
    told: HashMap<Instance, Told>,
    told_sum: HashMap<Target, Count>,
    meters: HashMap<Pool, Meter>,
    retries: HashMap<Pool, RetryWindow>,
    full_until: HashMap<Target, Duration>,
    sent_away: HashMap<(Region, Pool), Window>,
    retry_limit: RetryLimit,
    cold_slack: ColdSlack,
}

/// How far all instances together may overrun a cold target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSlack {
    /// Factor on the limit.
    pub factor: f64,
    /// Requests beside that.
    pub slack: f64,
}

impl Traffic {
    /// Starts with nothing counted.
    pub fn new(retry_limit: RetryLimit, cold_slack: ColdSlack) -> Self {
        Self {
            own: HashMap::new(),
            cached: HashMap::new(),
            uses: Vec::new(),
            told: HashMap::new(),
            told_sum: HashMap::new(),
            meters: HashMap::new(),
            retries: HashMap::new(),
            full_until: HashMap::new(),
            sent_away: HashMap::new(),
            retry_limit,
            cold_slack,
        }
    }

    /// Returns what all instances have at a target, as far as is known.
    pub fn count(&self, target: &Target) -> Count {
        let mut count = self.own.get(target).map(|o| o.count).unwrap_or_default();
        if let Some(told) = self.told_sum.get(target) {
            count.add(*told);
        }
        count
    }

    /// Returns how many requests a target with so many slots has at least, as
    /// it said that it was full not long ago.
    fn least_running(&self, target: &Target, slots: u32, now: Duration) -> u32 {
        let Some(until) = self.full_until.get(target) else {
            return 0;
        };
        let since = (now + FULL_PAUSE).saturating_sub(*until);
        let left = 1.0 - since.as_secs_f64() / FULL_LIFE.as_secs_f64();
        (f64::from(slots) * FULL_CROWD * left.max(0.0)) as u32
    }

    /// Returns the meter of a pool.
    pub fn meter(&self, pool: &Pool) -> Meter {
        self.meters.get(pool).copied().unwrap_or_default()
    }

    /// Returns the meter of a pool, to be fed.
    pub fn meter_mut(&mut self, pool: &Pool) -> &mut Meter {
        self.meters.entry(pool.clone()).or_default()
    }

    /// Lists what this instance has at the targets, for the others.
    pub fn counts(&self) -> Vec<TargetCount> {
        let busy = |(target, own): (&Target, &OwnCount)| {
            (own.count.running > 0).then(|| TargetCount {
                target: target.clone(),
                count: own.count,
            })
        };
        self.own.iter().filter_map(busy).collect()
    }

    /// Takes another instance's counts.
    pub fn tell(&mut self, from: &Instance, counts: Vec<TargetCount>, now: Duration) {
        let told = Told { heard: now, counts };
        self.told.insert(from.clone(), told);
        self.sum_up(now);
    }

    /// Drops the counts of an instance that has ended.
    pub fn forget(&mut self, from: &Instance, now: Duration) {
        if self.told.remove(from).is_some() {
            self.sum_up(now);
        }
    }

    fn sum_up(&mut self, now: Duration) {
        self.told.retain(|_, told| told.heard + COUNTS_LIFE > now);
        self.told_sum.clear();
        for told in self.told.values().flat_map(|told| &told.counts) {
            let sum = self.told_sum.entry(told.target.clone()).or_default();
            sum.add(told.count);
        }
    }

    /// Counts a request for a pool.
    pub fn request(&mut self, pool: &Pool, now: Duration) {
        self.retry_window(pool).request(now);
    }

    /// Tells whether a request may be sent to a further target, and counts it
    /// if so.
    pub fn may_retry(&mut self, pool: &Pool, divisor: Divisor, now: Duration) -> bool {
        let limit = self.retry_limit;
        self.retry_window(pool).retry(limit, divisor, now)
    }

    fn retry_window(&mut self, pool: &Pool) -> &mut RetryWindow {
        let limit = self.retry_limit;
        let make = || RetryWindow::new(limit);
        self.retries.entry(pool.clone()).or_insert_with(make)
    }

    /// Takes a place at a target that was chosen; false if it is cold and this
    /// instance's part of what it takes is used up.
    pub fn take(
        &mut self,
        place: &Place,
        parts: &[PromptPart],
        known: &KnownTarget,
        pool: &PoolTerms,
        divisor: Divisor,
        now: Duration,
    ) -> bool {
        let bound = self.cold_bound(pool, divisor);
        let own = self.own.entry(place.target.clone()).or_default();
        if let Some(bound) = bound.filter(|_| known.is_cold(now)) {
            let window = own.cold.get_or_insert_with(|| Window::new(COLD_WINDOW));
            if !window.take(1.0, bound, now) {
                return false;
            }
        }
        own.health.observe(HealthEvent::RequestPlaced, now);
        own.count.running += 1;
        own.count.unread_tokens += place.unread_tokens;
        if let Some(engine) = &pool.engine {
            let cached = self.cached.entry(place.target.clone()).or_default();
            cached.set_capacity(engine.cache_tokens);
            cached.insert(parts, now);
            self.note_uses(&place.target, parts);
        }
        true
    }

    fn note_uses(&mut self, target: &Target, parts: &[PromptPart]) {
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        for part in shared.iter().filter(|part| part.tokens >= TOLD_TOKENS) {
            if self.uses.len() < MAX_USES {
                self.uses.push(PartUse {
                    target: target.clone(),
                    part: *part,
                });
            }
        }
    }

    /// Returns the parts that went to targets since the last call, for the
    /// other instances.
    pub fn take_uses(&mut self) -> Vec<PartUse> {
        std::mem::take(&mut self.uses)
    }

    /// Takes what another instance says of the parts that it sent.
    pub fn tell_uses(&mut self, uses: Vec<PartUse>, now: Duration) {
        for PartUse { target, part } in uses {
            let cached = self.cached.entry(target).or_default();
            cached.insert(&[part], now);
        }
    }

    /// Finds the target that has most of a prompt's shared parts in memory,
    /// other than `target`, if it has at least `tokens` more than it.
    fn best_source<'a>(
        &'a self,
        fleet: &Fleet,
        target: &Target,
        parts: &[PromptPart],
        tokens: u64,
    ) -> Option<(&'a Target, u64)> {
        let has = self
            .cached
            .get(target)
            .map_or(0, |c| c.cached_tokens(parts));
        let others = self.cached.iter().filter(|(name, _)| *name != target);
        let known = others.filter(|(name, _)| fleet.takes_work(name));
        let tokens_of = known.map(|(name, cached)| (name, cached.cached_tokens(parts)));
        let best = tokens_of.max_by_key(|(_, cached)| *cached)?;
        (best.1 >= has + tokens).then_some(best)
    }

    fn cold_bound(&self, pool: &PoolTerms, divisor: Divisor) -> Option<f64> {
        let per_s = pool.cold.requests_per_s;
        let bound = per_s * self.cold_slack.factor + self.cold_slack.slack;
        (per_s > 0.0).then(|| divisor.part(bound).floor())
    }

    /// Notes a request that goes to another region, whose instances have not
    /// counted it yet.
    pub fn sent_away(&mut self, region: &Region, pool: &Pool, tokens: u32, now: Duration) {
        let key = (region.clone(), pool.clone());
        let make = || Window::new(UNCOUNTED);
        let window = self.sent_away.entry(key).or_insert_with(make);
        window.add(f64::from(tokens.max(1)), now);
    }

    /// Returns the requests and the prompt tokens that went to a region and
    /// are not counted there yet.
    fn uncounted(&mut self, region: &Region, pool: &Pool, now: Duration) -> Count {
        let key = (region.clone(), pool.clone());
        let Some(window) = self.sent_away.get_mut(&key) else {
            return Count::default();
        };
        Count {
            unread_tokens: window.sum(now) as u32,
            running: u32::try_from(window.len()).unwrap_or(u32::MAX),
        }
    }

    /// Notes that a target has read a request's prompt.
    pub fn read(&mut self, place: &mut Place) {
        let tokens = std::mem::take(&mut place.unread_tokens);
        if let Some(own) = self.own.get_mut(&place.target) {
            own.count.unread_tokens = own.count.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Notes the time of a whole plain answer.
    pub fn answered(&mut self, place: &Place, took: Duration) {
        let service = took.div_f64(place.crowd.max(1.0));
        self.meter_mut(&place.pool).answered(service);
    }

    /// Notes the time to the first event of a stream, which tells how fast the
    /// target reads if it began at once.
    pub fn first_event(&mut self, place: &Place, took: Duration) {
        if let Some(own) = self.own.get_mut(&place.target) {
            own.answered = place.since + took;
        }
        if place.crowd <= 1.0 {
            let tokens = place.ahead_tokens.saturating_add(place.unread_tokens);
            self.meter_mut(&place.pool).first_event(tokens, took);
        }
    }

    /// Notes the time from a stream's first event to its end.
    pub fn generated(&mut self, place: &Place, took: Duration) {
        self.meter_mut(&place.pool).generated(took);
    }

    /// Gives a place back.
    pub fn end(&mut self, mut place: Place, ended: Ended, now: Duration) {
        self.read(&mut place);
        let Some(own) = self.own.get_mut(&place.target) else {
            return;
        };
        own.count.running = own.count.running.saturating_sub(1);
        let (sign, failed) = match ended {
            Ended::Answered => (Some(HealthEvent::Success), Some(0.0)),
            Ended::Failed => (None, Some(1.0)),
            Ended::Lost => (Some(HealthEvent::Failure), Some(1.0)),
            Ended::Unreachable | Ended::Misdirected => (Some(HealthEvent::Unreachable), None),
            Ended::Cancelled if now >= own.answered.max(place.since) + HANGING => {
                (Some(HealthEvent::Failure), Some(1.0))
            }
            Ended::Full | Ended::Cancelled => (None, None),
        };
        if ended == Ended::Answered {
            own.answered = now;
        }
        if let Some(sign) = sign {
            own.health.observe(sign, now);
        }
        if let Some(failed) = failed {
            own.failing += (failed - own.failing) * FAILING_WEIGHT;
        }
        if ended == Ended::Full {
            self.full_until.insert(place.target, now + FULL_PAUSE);
        }
    }

    /// Forgets what a target had before it started anew.
    pub fn restarted(&mut self, target: &Target, now: Duration) {
        self.cached.remove(target);
        if let Some(own) = self.own.get_mut(target) {
            own.failing = 0.0;
            own.health.observe(HealthEvent::Restarted, now);
        }
    }

    /// Drops a target that is gone, unless requests still run there.
    pub fn gone(&mut self, target: &Target) {
        self.full_until.remove(target);
        self.cached.remove(target);
        if self.own.get(target).is_some_and(|o| o.count.running == 0) {
            self.own.remove(target);
        }
    }

    fn status(&self, target: &Target, now: Duration) -> HealthStatus {
        let own = self.own.get(target);
        own.map_or(HealthStatus::Healthy, |own| own.health.status(now))
    }
}

impl Ended {
    /// Returns the name as it stands in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::Failed => "failed",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::Cancelled => "cancelled",
        }
    }
}
