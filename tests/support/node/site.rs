//! Instances on the platform, each a process with a loopback address of its
//! own, before one store.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use super::PlatformStore;
use super::PlatformTarget;
use super::call;
use crate::process::Process;

/// Time in which an instance gets ready or something else becomes true.
const PATIENCE: Duration = Duration::from_secs(20);

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// What the platform allows a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors, of which some are kept for files.
    pub descriptors: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 260,
            descriptors: 4100,
        }
    }
}

/// The key of the test account.
pub const KEY: &str = "key-of-parish";

/// A store, and instances before it.
#[derive(Debug)]
pub struct Site {
    /// The platform's store.
    pub store: PlatformStore,
    /// Where instances reach it.
    reached_at: SocketAddr,
    limits: Limits,
    variables: Vec<(&'static str, String)>,
    /// Another build of the program, which processes are started from.
    program: Mutex<Option<PathBuf>>,
    dir: TempDir,
}

/// A running instance.
#[derive(Debug)]
pub struct Node {
    /// Its process.
    pub process: Process,
    /// Its machine's address.
    pub ip: String,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the platform asks whether it takes requests.
    pub ready: SocketAddr,
    /// Where callers ask where to connect.
    pub directory: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Where it writes its log.
    pub log: PathBuf,
}

/// Addresses used in the last byte before the byte before it changes.
const ADDRESSES_PER_NET: u16 = 254;

/// Step of the byte before the last, which leaves the networks of tests with
/// neighbouring process ids alone.
const NET_STEP: u8 = 61;

/// Returns a loopback address that no other instance of this process has.
fn next_address() -> String {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let (net, host) = (n / ADDRESSES_PER_NET, n % ADDRESSES_PER_NET + 1);
    let process = std::process::id();
    let (a, b) = (process as u8 | 1, (process >> 8) as u8);
    let b = b.wrapping_add(NET_STEP.wrapping_mul(net as u8));
    format!("127.{a}.{b}.{host}")
}

/// The settings file of an instance, as the platform writes it.
pub fn settings(name: &str, ip: &str, zone: &str, region: &str, store: SocketAddr) -> String {
    limited_settings(name, ip, zone, region, store, Limits::default())
}

fn limited_settings(
    name: &str,
    ip: &str,
    zone: &str,
    region: &str,
    store: SocketAddr,
    limits: Limits,
) -> String {
    let Limits {
        memory_mb,
        descriptors,
    } = limits;
    format!(
        r#"
node_name = "{name}"
role = "entry"
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [7600, 7615]
heartbeat_ms = 1200
contracts = ["base", "platform"]
a_field_of_tomorrow = true
[zones]
north-a = "north"
south-a = "south"
west-a = "west"
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
control = "{ip}:8229"
directory = "{ip}:8220"
[limits]
cores = 1
memory_mb = {memory_mb}
max_fds = {descriptors}
[bounds]
contact_ms = 5000
drain_ms = 3000
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
quota_window_s = 8
quota_overage = 0.1
quota_slack = 190000
cold_overage = 1.5
cold_slack = 3
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
    )
}

/// A configuration with a route of each kind, at a version.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "hostname": "desk.example", "path_prefix": format!("/{name}/"),
            "type": kind, "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1,
            "service": service, "max_attempts": 2, "public": false, "resumable": name == "quote",
            "gap_aim_ms": 200, "allowed_regions": [],
        })
    };
    json!({
        "version": version,
        "routes": [
            route("status", "idempotent", "orders"),
            route("deposit", "non_idempotent", "orders"),
            route("quote", "streaming", "model"),
            route("chat", "streaming", "model"),
        ],
        "services": [
            {"name": "orders", "health_path": "/health", "max_connections": 100},
            {"name": "model", "health_path": "/health", "max_connections": 100,
             "warmup_s": 3.0, "cold_per_s": 13.0,
             "engine": {"slots": 64, "kv_cache_tokens": 600000, "models": [{"name": "m"}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "parish", "api_keys": [KEY], "priority": 1, "unit": "tokens",
                     "plain_tokens": 200, "rate_per_s": 1e6, "burst": 1e6,
                     "allowed_regions": []}],
    })
}

/// Software version of targets that are registered without one.
const SOFTWARE: &str = "v1";

/// Start of a target, in milliseconds of Unix time.
const BORN: u64 = 1_700_000_000_000;

/// Start of a process that has taken the name of another one.
const LATER_BORN: u64 = BORN + 60_000;

/// What a target's record says.
#[derive(Clone, Copy, Debug)]
pub struct Registration<'a> {
    /// Where instances reach it.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Version of its software.
    pub software: &'a str,
    /// `ready` or `draining`.
    pub state: &'a str,
    /// How long it stays cold, in ms.
    pub cold_ms: u64,
    /// Start of the process, in ms of Unix time.
    pub born: u64,
}

impl<'a> Registration<'a> {
    /// Describes a target that takes requests and isn't cold.
    pub fn new(address: SocketAddr, service: &'a str, zone: &'a str) -> Self {
        Self {
            address,
            service,
            zone,
            software: SOFTWARE,
            state: "ready",
            cold_ms: 0,
            born: BORN,
        }
    }

    fn record(&self) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": self.software, "slots": 6, "state": self.state,
            "warmup_left_ms": self.cold_ms,
            "sequence": 1, "born": self.born,
        })
    }
}

impl Site {
    /// Starts a store with a configuration.
    pub async fn start() -> Self {
        let store = PlatformStore::start().await;
        let reached_at = store.address;
        Self::before(store, reached_at)
    }

    /// Gives a store a configuration, which instances reach at an address.
    pub fn before(store: PlatformStore, reached_at: SocketAddr) -> Self {
        store.put("op/config", &configuration(3));
        Self {
            store,
            reached_at,
            limits: Limits::default(),
            variables: Vec::new(),
            program: Mutex::default(),
            dir: TempDir::new().expect("a folder for settings"),
        }
    }

    /// Changes what the processes that start from now on are allowed.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets an environment variable of the processes that start from now on.
    pub fn set_variable(&mut self, name: &'static str, value: &str) {
        self.variables.push((name, value.to_owned()));
    }

    /// Starts processes from another build of the program from now on, or from
    /// today's.
    pub fn use_program(&self, program: Option<PathBuf>) {
        *self.program.lock().expect("no panic under the lock") = program;
    }

    fn start_node(&self, name: &str, log: &Path) -> Process {
        let program = self
            .program
            .lock()
            .expect("no panic under the lock")
            .clone();
        let settings = self.settings_path(name);
        Process::start_node(program.as_deref(), &settings, log, &self.variables)
    }

    /// Registers a target as it does itself.
    pub fn register(&self, target: &PlatformTarget, service: &str, zone: &str) {
        self.register_as(target, service, zone, "ready", 0);
    }

    /// Registers a target in a state, cold for a while.
    pub fn register_as(
        &self,
        target: &PlatformTarget,
        service: &str,
        zone: &str,
        state: &str,
        cold_ms: u64,
    ) {
        let usual = Registration::new(target.address, service, zone);
        let registration = Registration {
            state,
            cold_ms,
            ..usual
        };
        self.write_registration(&target.name, &registration);
    }

    /// Registers a target with a version of its software.
    pub fn register_software(
        &self,
        target: &PlatformTarget,
        service: &str,
        zone: &str,
        software: &str,
    ) {
        self.register_software_at(&target.name, target.address, service, zone, software);
    }

    /// Registers a target that instances reach at an address, with a version of
    /// its software.
    pub fn register_software_at(
        &self,
        name: &str,
        address: SocketAddr,
        service: &str,
        zone: &str,
        software: &str,
    ) {
        let usual = Registration::new(address, service, zone);
        let registration = Registration { software, ..usual };
        self.write_registration(name, &registration);
    }

    /// Registers a process that has taken the name and address of another one,
    /// with a version of its software.
    pub fn register_restarted(
        &self,
        name: &str,
        address: SocketAddr,
        service: &str,
        zone: &str,
        software: &str,
    ) {
        let registration = Registration {
            software,
            born: LATER_BORN,
            ..Registration::new(address, service, zone)
        };
        self.write_registration(name, &registration);
    }

    /// Registers a target that instances reach at an address.
    pub fn register_at(&self, name: &str, address: SocketAddr, service: &str, zone: &str) {
        self.write_registration(name, &Registration::new(address, service, zone));
    }

    /// Writes the record of a target.
    pub fn write_registration(&self, name: &str, registration: &Registration<'_>) {
        let key = format!("servers/{name}");
        self.store.put(&key, &registration.record());
    }

    /// Starts an instance and waits until it takes requests.
    pub async fn instance(&self, name: &str, zone: &str, region: &str) -> Node {
        let node = self.spawn(name, zone, region);
        node.until_ready(true).await;
        node
    }

    /// Starts an instance.
    pub fn spawn(&self, name: &str, zone: &str, region: &str) -> Node {
        self.spawn_before(name, zone, region, self.reached_at)
    }

    /// Kills an instance's process and starts another one in its place.
    pub fn restart(&self, node: &mut Node) {
        node.process.kill();
        let name = node.log.file_stem().expect("the log has a name").to_owned();
        node.process = self.start_node(&name.to_string_lossy(), &node.log);
    }

    /// Starts an instance that reaches the store at an address of its own.
    pub fn spawn_before(&self, name: &str, zone: &str, region: &str, store: SocketAddr) -> Node {
        let ip = next_address();
        let text = limited_settings(name, &ip, zone, region, store, self.limits);
        std::fs::write(self.settings_path(name), text).expect("settings can be written");
        self.start_process(name, &ip)
    }

    /// Starts an instance again on its machine, with the settings that it had.
    pub fn start_again(&self, name: &str, ip: &str) -> Node {
        self.start_process(name, ip)
    }

    fn settings_path(&self, name: &str) -> PathBuf {
        self.dir.path().join(format!("{name}.toml"))
    }

    fn start_process(&self, name: &str, ip: &str) -> Node {
        let log = self.dir.path().join(format!("{name}.log"));
        let at = |port| format!("{ip}:{port}").parse().expect("an address");
        Node {
            process: self.start_node(name, &log),
            ip: ip.to_owned(),
            front: at(8221),
            ready: at(8224),
            directory: at(8220),
            metrics: at(9464),
            log,
        }
    }
}

impl Node {
    /// Waits until the instance says that it takes requests, or that it does
    /// not.
    pub async fn until_ready(&self, ready: bool) {
        let what = if ready { "ready" } else { "not ready" };
        until(what, async || {
            let got = call::get(self.ready, "/v1/ready").await;
            got.is_ok_and(|got| got.status.is_success()) == ready
        })
        .await;
    }

    /// Returns what the instance has logged.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Waits until something is true.
pub async fn until<F>(what: &str, mut check: F)
where
    F: AsyncFnMut() -> bool,
{
    let looking = async {
        while !check().await {
            tokio::time::sleep(LOOK).await;
        }
    };
    let found = tokio::time::timeout(PATIENCE, looking).await;
    assert!(found.is_ok(), "never: {what}");
}
