//! Requests in flight from other instances, as far as they have reported them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::InFlight;
use super::LocalTargetState;
use super::Traffic;
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
    /// Lists this instance's requests in flight by target, to be reported to
    /// the other instances.
    pub fn local_counts(&self) -> Vec<TargetInFlight> {
        let busy = |(target, local): (&Target, &LocalTargetState)| {
            (local.in_flight.running > 0).then(|| TargetInFlight {
                target: target.clone(),
                in_flight: local.in_flight,
            })
        };
        self.local.iter().filter_map(busy).collect()
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
        self.remote.insert(from.clone(), remote);
        self.update_remote_total(now);
    }

    /// Drops the counts of an instance that has stopped.
    pub fn remove_instance(&mut self, from: &Instance, now: Duration) {
        if self.remote.remove(from).is_some() {
            self.update_remote_total(now);
        }
    }

    fn update_remote_total(&mut self, now: Duration) {
        self.remote
            .retain(|_, remote| remote.received_at + REMOTE_COUNTS_TTL > now);
        self.remote_total.clear();
        for remote in self.remote.values().flat_map(|remote| &remote.counts) {
            let sum = self.remote_total.entry(remote.target.clone()).or_default();
            sum.add(remote.in_flight);
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
