//! Configuration of pools: their targets and how requests are placed on them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::check::ConfigFaults;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Target;
use crate::names::Zone;
use crate::placement::Objective;

/// Default maximum number of concurrent requests per target.
pub const DEFAULT_SLOTS: u64 = 64;

/// Prompt tokens per second that a target processes if the pool sets none.
pub const DEFAULT_PREFILL_RATE: u64 = 8000;

/// Default maximum number of requests that wait for a pool at each instance.
pub const DEFAULT_QUEUE: usize = 1024;

/// Default of [`PoolEntry::panic_percent`].
pub const DEFAULT_PANIC_PERCENT: u64 = 30;

/// Default of [`PoolEntry::ramp_ms`], in milliseconds.
pub const DEFAULT_RAMP_MS: u64 = 20_000;

/// Maximum ramp-up time in milliseconds.
const MAX_RAMP_MS: u64 = 3_600_000;

/// Kind of a pool's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines, whose answers consist of tokens.
    Engine,
    /// Other HTTP services.
    Service,
}

/// A pool of targets that answer the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PoolEntry {
    /// Kind of the targets.
    pub kind: PoolKind,
    /// Targets by name.
    pub targets: BTreeMap<Target, TargetEntry>,
    /// Maximum number of concurrent requests per target.
    #[serde(default = "default_slots")]
    pub slots: u64,
    /// Prompt tokens per second that a target processes.
    #[serde(default = "default_prefill_rate")]
    pub prefill_rate: u64,
    /// Maximum number of requests that wait for the pool at each instance.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Whether a target can resume a stream that another target began, after
    /// the event that `Last-Event-ID` identifies.
    #[serde(default)]
    pub resume: bool,
    /// Weights of the placement score.
    #[serde(default)]
    pub weights: Objective,
    /// Percentage of the targets that must be usable. If fewer are, ejected
    /// targets are used too, unless another region can answer; 0 disables this.
    #[serde(default = "default_panic_percent")]
    pub panic_percent: u64,
    /// Time over which a target that is used again after ejection, or that
    /// restarts with a cold cache, is ramped up to its full share of requests,
    /// in milliseconds.
    #[serde(default = "default_ramp_ms")]
    pub ramp_ms: u64,
}

impl PoolEntry {
    /// Returns the ramp-up time, see [`PoolEntry::ramp_ms`].
    pub fn ramp_up_time(&self) -> Duration {
        Duration::from_millis(self.ramp_ms)
    }

    /// Adds the errors of this pool to `faults`. References to other entries
    /// are not checked.
    pub(super) fn check(&self, name: &Pool, faults: &mut ConfigFaults) {
        let at = |key| ["pools", name.as_str(), key];
        faults.check_name(&["pools", name.as_str()], name.as_str());
        if self.slots == 0 {
            faults.push(&at("slots"), "slots are at least 1");
        }
        if self.prefill_rate == 0 {
            faults.push(&at("prefill-rate"), "a rate is at least 1");
        }
        if self.panic_percent > 100 {
            faults.push(&at("panic-percent"), "a share is at most 100 percent");
        }
        if self.ramp_ms > MAX_RAMP_MS {
            let reason = format!("a ramp is at most {MAX_RAMP_MS} ms");
            faults.push(&at("ramp-ms"), reason);
        }
        for target in self.targets.keys() {
            let at = ["pools", name.as_str(), "targets", target.as_str()];
            faults.check_name(&at, target.as_str());
        }
    }
}

fn default_slots() -> u64 {
    DEFAULT_SLOTS
}

fn default_prefill_rate() -> u64 {
    DEFAULT_PREFILL_RATE
}

fn default_queue() -> usize {
    DEFAULT_QUEUE
}

fn default_panic_percent() -> u64 {
    DEFAULT_PANIC_PERCENT
}

fn default_ramp_ms() -> u64 {
    DEFAULT_RAMP_MS
}

/// A target of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TargetEntry {
    /// IP address and port of the target.
    pub address: std::net::SocketAddr,
    /// Region of the target.
    pub region: Region,
    /// Availability zone of the target.
    pub zone: Zone,
}
