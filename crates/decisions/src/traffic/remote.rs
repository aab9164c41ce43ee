//! Requests in flight from other instances, as far as they have reported them.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::InFlight;
use super::LOWEST_PRIORITY;
use super::LoadByPriority;
use super::Traffic;
use crate::audience::Audience;
use crate::catalog::PoolSpec;
use crate::names::Instance;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Target;
use crate::window::SlidingWindow;

/// Age at which the counts that another instance reported are dropped.
const REMOTE_COUNTS_TTL: Duration = Duration::from_secs(5);

/// Time after which the instances of another region are assumed to have
/// reported a request that was forwarded there.
const FORWARD_REPORT_DELAY: Duration = Duration::from_millis(800);

/// Requests in flight at one target with one priority, as reported to the other
/// instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetInFlight {
    /// The target.
    pub target: Target,
    /// Priority of the requests.
    pub priority: u8,
    /// The reporting instance's requests there.
    pub in_flight: InFlight,
}

/// Requests forwarded to another region that its instances have not reported.
#[derive(Debug)]
pub(super) struct UnreportedForwards {
    requests: SlidingWindow,
    tokens: SlidingWindow,
}

impl Default for UnreportedForwards {
    fn default() -> Self {
        Self {
            requests: SlidingWindow::new(FORWARD_REPORT_DELAY),
            tokens: SlidingWindow::new(FORWARD_REPORT_DELAY),
        }
    }
}

/// A request that is forwarded to another region.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedLoad {
    /// Its priority.
    pub priority: u8,
    /// Prompt tokens that a target has to prefill for it.
    pub tokens: u32,
    /// How many times as many callers the instances of this region have together
    /// as this one.
    pub callers_ratio: f64,
}

impl ForwardedLoad {
    /// Returns how many requests it stands for. The others' requests were
    /// forwarded at any time since the last report, and those that a target has
    /// had for longer than `time_at_target` have ended.
    fn with_others(self, time_at_target: Duration) -> f64 {
        let unreported = time_at_target.as_secs_f64() / FORWARD_REPORT_DELAY.as_secs_f64();
        1.0 + (self.callers_ratio - 1.0).max(0.0) * unreported.min(1.0)
    }
}

#[derive(Debug)]
pub(super) struct RemoteCounts {
    received_at: Duration,
    counts: Vec<TargetInFlight>,
}

impl Traffic {
    /// Lists the requests in flight by target that an audience is told of.
    pub fn in_flight_for(&self, audience: Audience<'_>) -> Vec<TargetInFlight> {
        let mut sums: HashMap<(&Target, u8), InFlight> = HashMap::new();
        for (target, local) in &self.local {
            for (priority, in_flight) in local.in_flight.levels() {
                sums.entry((target, priority)).or_default().add(in_flight);
            }
        }
        let told = self.remote.iter();
        let told = told.filter(|(name, _)| audience.includes_instance(name));
        for counts in told.flat_map(|(_, remote)| &remote.counts) {
            sums.entry((&counts.target, counts.priority))
                .or_default()
                .add(counts.in_flight);
        }
        let busy = sums.into_iter().filter(|(_, sum)| sum.running > 0);
        let to_record =
            |((target, priority), in_flight): ((&Target, u8), InFlight)| TargetInFlight {
                target: target.clone(),
                priority,
                in_flight,
            };
        busy.map(to_record).collect()
    }

    /// Replaces the counts that another instance reported.
    pub fn update_remote_counts(
        &mut self,
        from: &Instance,
        counts: Vec<TargetInFlight>,
        now: Duration,
    ) {
        let remote = RemoteCounts {
            received_at: now,
            counts,
        };
        for counts in &remote.counts {
            let sum = self.remote_total.entry(counts.target.clone()).or_default();
            sum.add(counts.priority.min(LOWEST_PRIORITY), counts.in_flight);
        }
        let replaced = self.remote.insert(from.clone(), remote);
        self.subtract_from_total(replaced);
        self.expire_remote_counts(now);
    }

    /// Drops what an instance reported, as it has stopped or reports elsewhere.
    pub fn remove_instance(&mut self, from: &Instance) {
        let removed = self.remote.remove(from);
        self.subtract_from_total(removed);
    }

    /// Drops what all other instances reported.
    pub fn remove_all_instances(&mut self) {
        self.remote.clear();
        self.remote_total.clear();
    }

    /// Drops counts that are too old.
    pub fn expire_remote_counts(&mut self, now: Duration) {
        let is_old = |remote: &RemoteCounts| remote.received_at + REMOTE_COUNTS_TTL <= now;
        let old = self.remote.iter().filter(|(_, remote)| is_old(remote));
        let old: Vec<Instance> = old.map(|(name, _)| name.clone()).collect();
        for name in old {
            self.remove_instance(&name);
        }
    }

    fn subtract_from_total(&mut self, removed: Option<RemoteCounts>) {
        for counts in removed.into_iter().flat_map(|removed| removed.counts) {
            if let Some(sum) = self.remote_total.get_mut(&counts.target) {
                sum.subtract(counts.priority.min(LOWEST_PRIORITY), counts.in_flight);
                if *sum == LoadByPriority::default() {
                    self.remote_total.remove(&counts.target);
                }
            }
        }
    }

    /// Records a request forwarded to another region, as the instances there
    /// have not reported it yet.
    ///
    /// This region's other instances see the same load and are assumed to forward
    /// as much, in proportion to their capacity, until a target has finished such
    /// a request.
    pub fn record_forward(
        &mut self,
        region: &Region,
        pool: &PoolSpec,
        load: ForwardedLoad,
        now: Duration,
    ) {
        let performance = self.performance(&pool.name);
        let prefill_time = performance.prefill_time(u64::from(load.tokens));
        let time_at_target = match pool.engine {
            Some(_) => prefill_time + performance.generation_time(),
            None => performance.service_time(),
        };
        let requests = load.with_others(time_at_target);
        let prompts = load.with_others(prefill_time);
        let key = (region.clone(), pool.name.clone());
        let forwards = self.forwarded.entry(key).or_default();
        let forwards = forwards.entry(load.priority).or_default();
        forwards.requests.add(requests, now);
        forwards.tokens.add(f64::from(load.tokens) * prompts, now);
    }

    /// Returns the load forwarded to a region that its instances have not
    /// reported yet, of requests that are at least as urgent.
    pub(super) fn unreported_forwards(
        &mut self,
        region: &Region,
        pool: &Pool,
        priority: u8,
        now: Duration,
    ) -> InFlight {
        let key = (region.clone(), pool.clone());
        let mut sum = InFlight::default();
        let Some(forwards) = self.forwarded.get_mut(&key) else {
            return sum;
        };
        for (_, forwards) in forwards.range_mut(..=priority) {
            sum.add(InFlight {
                prefill_tokens: forwards.tokens.sum(now) as u32,
                running: forwards.requests.sum(now) as u32,
            });
        }
        sum
    }
}
