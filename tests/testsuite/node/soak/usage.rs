//! Memory and descriptors of the instances' processes.

use std::sync::Mutex;
use std::time::Duration;

use support::node::site::Limits;

use super::world::Soak;

/// Pause between two looks at a process.
const LOOK: Duration = Duration::from_millis(50);

/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Most descriptors that a process has for other things than connections.
const OTHER_DESCRIPTORS: u64 = 32;

const KB_PER_MB: u64 = 1024;

/// Name of an instance's process, as the kernel cuts it off.
const PROCESS_NAME: &str = "chiverelay-node";

/// Returns how many descriptors a process may have open.
pub(super) fn open_descriptors(limits: Limits) -> u64 {
    limits.descriptors - FILE_DESCRIPTORS + OTHER_DESCRIPTORS
}

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    /// The most memory so far.
    memory_kb: u64,
    descriptors: u64,
}

impl Used {
    /// Reads what a process uses, unless it has ended.
    fn read(pid: u32) -> Option<Self> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let field = |name: &str| {
            let mut values = status.lines().filter_map(|line| line.strip_prefix(name));
            values.next()?.split_whitespace().next()
        };
        if field("Name:")? != PROCESS_NAME {
            return None;
        }
        let open = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
        Some(Self {
            memory_kb: field("VmHWM:")?.parse().ok()?,
            descriptors: open.count() as u64,
        })
    }

    fn max(self, other: Self) -> Self {
        Self {
            memory_kb: self.memory_kb.max(other.memory_kb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// A process that had more than its limit.
#[derive(Clone, Debug)]
pub(super) struct Excess {
    pub(super) instance: String,
    pub(super) rule: &'static str,
    pub(super) seen: String,
    pid: u32,
}

/// What the processes of a run used.
#[derive(Debug, Default)]
pub(super) struct Usage {
    most: Mutex<Used>,
    excesses: Mutex<Vec<Excess>>,
}

impl Usage {
    /// Looks at the processes again and again. One that has more memory than
    /// its limit is killed, as the platform does, and started again.
    pub(super) async fn watch(&self, soak: &Soak) {
        loop {
            tokio::time::sleep(LOOK).await;
            for at in 0..soak.places.len() {
                self.look_at(soak, at).await;
            }
        }
    }

    async fn look_at(&self, soak: &Soak, at: usize) {
        let Some(pid) = soak.pid(at) else {
            return;
        };
        let Some(used) = Used::read(pid) else {
            return;
        };
        {
            let mut most = self.most.lock().expect("no panic under the lock");
            *most = most.max(used);
        }
        let limits = soak.limits;
        let (memory_mb, limit) = (used.memory_kb / KB_PER_MB, limits.memory_mb);
        if used.memory_kb > limit * KB_PER_MB {
            let seen = format!(
                "{memory_mb} MB of {limit}, {} descriptors",
                used.descriptors
            );
            self.note(soak, at, pid, "memory over the limit", seen);
            soak.kill_and_start_again(at, pid);
            return;
        }
        let (open, limit) = (used.descriptors, open_descriptors(limits));
        if open >= limit {
            let seen = format!("{open} descriptors of {limit}, {memory_mb} MB");
            self.note(soak, at, pid, "no descriptor left", seen);
        }
    }

    /// Notes what a process had too much of, once for each process.
    fn note(&self, soak: &Soak, at: usize, pid: u32, rule: &'static str, seen: String) {
        let mut excesses = self.excesses.lock().expect("no panic under the lock");
        if excesses.iter().any(|e| e.pid == pid && e.rule == rule) {
            return;
        }
        excesses.push(Excess {
            instance: soak.places[at].name.clone(),
            rule,
            seen,
            pid,
        });
    }

    pub(super) fn excesses(&self) -> Vec<Excess> {
        let excesses = self.excesses.lock().expect("no panic under the lock");
        excesses.clone()
    }

    /// Describes the most that a process used.
    pub(super) fn summary(&self) -> String {
        let most = self.most.lock().expect("no panic under the lock");
        let memory_mb = most.memory_kb / KB_PER_MB;
        format!("at most {memory_mb} MB, {} descriptors", most.descriptors)
    }
}
