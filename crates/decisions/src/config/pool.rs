//! Pools of the configuration: which targets may answer, and how they are used.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::ConfigFaults;
use crate::names::Pool;
use crate::names::Region;
use crate::names::Target;
use crate::names::Zone;
use crate::placement::Objective;

/// Requests that a target takes at once where the pool states none.
pub const DEFAULT_SLOTS: u64 = 64;

/// Prompt tokens a second that a target reads where the pool states none.
pub const DEFAULT_PREFILL_RATE: u64 = 8000;

/// Requests that may wait for a pool at an instance where the pool states none.
pub const DEFAULT_QUEUE: usize = 1024;

/// Share of the usable targets under which ejected ones are used too, where
/// the pool states none, in percent.
pub const DEFAULT_PANIC_PERCENT: u64 = 30;

/// Time in which a returning target comes back to its full share where the
/// pool states none, in milliseconds.
pub const DEFAULT_RAMP_MS: u64 = 20_000;

/// Longest ramp in milliseconds.
const MAX_RAMP_MS: u64 = 3_600_000;

/// What a pool's targets are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines, which answer in tokens.
    Engine,
    /// Plain services.
    Service,
}

/// A pool: which targets, in which regions, may answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PoolEntry {
    /// What the targets are.
    pub kind: PoolKind,
    /// The targets by name.
    pub targets: BTreeMap<Target, TargetEntry>,
    /// Requests that a target takes at once.
    #[serde(default = "default_slots")]
    pub slots: u64,
    /// Prompt tokens a second that a target reads.
    #[serde(default = "default_prefill_rate")]
    pub prefill_rate: u64,
    /// Requests that may wait at an instance.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Whether a target goes on with a stream that another one began, after
    /// the event that `Last-Event-ID` names.
    #[serde(default)]
    pub resume: bool,
    /// What placement weighs more.
    #[serde(default)]
    pub weights: Objective,
    /// With a smaller share of its targets usable, in percent, ejected ones
    /// are used too, unless another region may answer; 0 for never.
    #[serde(default = "default_panic_percent")]
    pub panic_percent: u64,
    /// Time in which a target that returns, or restarts with a cold cache,
    /// comes back to its full share, in milliseconds.
    #[serde(default = "default_ramp_ms")]
    pub ramp_ms: u64,
}

impl PoolEntry {
    /// Returns the time in which a returning target comes back to its full
    /// share.
    pub fn ramp(&self) -> Duration {
        Duration::from_millis(self.ramp_ms)
    }

    /// Lists the faults of the pool by itself.
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
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// The target's region.
    pub region: Region,
    /// The target's availability zone.
    pub zone: Zone,
}
