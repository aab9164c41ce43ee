//! Requests in flight from other instances, as far as they have reported them.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::InFlight;
use super::Traffic;
use crate::audience::Audience;
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

/// Requests in flight at one target, as reported to the other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetInFlight {
    /// The target.
    pub target: Target,
    /// The reporting instance's requests there.
    pub in_flight: InFlight,
}

#[derive(Debug)]
pub(super) struct RemoteCounts {
    received_at: Duration,
    counts: Vec<TargetInFlight>,
}

impl Traffic {
    /// Lists the requests in flight by target that an audience is told of.
    pub fn in_flight_for(&self, audience: Audience<'_>) -> Vec<TargetInFlight> {
        let mut sums: HashMap<&Target, InFlight> = HashMap::new();
        for (target, local) in &self.local {
            sums.entry(target).or_default().add(local.in_flight);
        }
        let told = self.remote.iter();
        let told = told.filter(|(name, _)| audience.includes_instance(name));
        for counts in told.flat_map(|(_, remote)| &remote.counts) {
            sums.entry(&counts.target)
                .or_default()
                .add(counts.in_flight);
        }
        let busy = sums.into_iter().filter(|(_, sum)| sum.running > 0);
        let to_record = |(target, in_flight): (&Target, InFlight)| TargetInFlight {
            target: target.clone(),
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
            sum.add(counts.in_flight);
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
                sum.subtract(counts.in_flight);
                if *sum == InFlight::default() {
                    self.remote_total.remove(&counts.target);
                }
            }
        }
    }

    /// Records a request forwarded to another region, as the instances there
    /// have not reported it yet.
    pub fn record_forward(&mut self, region: &Region, pool: &Pool, tokens: u32, now: Duration) {
        let key = (region.clone(), pool.clone());
        let make = || SlidingWindow::new(FORWARD_REPORT_DELAY);
        let window = self.forwarded.entry(key).or_insert_with(make);
        window.add(f64::from(tokens.max(1)), now);
    }

    /// Returns the load forwarded to a region that its instances have not
    /// reported yet.
    pub(super) fn unreported_forwards(
        &mut self,
        region: &Region,
        pool: &Pool,
        now: Duration,
    ) -> InFlight {
        let key = (region.clone(), pool.clone());
        let Some(window) = self.forwarded.get_mut(&key) else {
            return InFlight::default();
        };
        InFlight {
            prefill_tokens: window.sum(now) as u32,
            running: u32::try_from(window.len()).unwrap_or(u32::MAX),
        }
    }
}
