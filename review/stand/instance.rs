//! Instances: `chiverelay-node` as the deploy file starts it.

use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::base::Record;
use crate::base::call;
use crate::base::sleep_ms;

/// The program, as `deploy/system.toml` names it in the repository's root.
const PROGRAM: &str = "target/release/chiverelay-node";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// A folder for settings and logs, removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("chiverelay-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| e.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An instance, which is killed when it is dropped.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    rec: Record,
}

impl Instance {
    pub fn start(
        folder: &Folder,
        number: u8,
        zone: &str,
        store: SocketAddr,
        rec: &Record,
    ) -> Result<Self, String> {
        let region = zone.split('-').next().unwrap_or_default();
        let name = format!("front-{zone}-{number}");
        let pid = std::process::id();
        let ip = format!("127.{}.{}.{number}", (pid >> 8) as u8 | 64, pid as u8);
        let text = format!(
            r#"node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [7600, 7615]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "tenants", "quota", "platform"]
[zones]
lima-a = "lima"
arequipa-a = "arequipa"
cusco-a = "cusco"
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
directory = "{ip}:8220"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 1
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 5000
ack_ms = 6000
catch_up_s = 4
drain_ms = 3000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 8000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
quota_window_s = 8
quota_overage = 0.1
quota_slack = 190000
cold_overage = 1.5
cold_slack = 3
evacuate_ms = 5000
recovery_s = 12
pass_ms = 600
reuse_window_s = 10
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
        );
        let settings = folder.0.join(format!("{name}.toml"));
        std::fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = folder.0.join(format!("{name}.log"));
        let at = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Ok(Self {
            child: spawn(&settings, &log)?,
            name,
            front: at(8221),
            ready: at(8224),
            settings,
            log,
            rec: rec.clone(),
        })
    }

    /// Waits until the instance says that it is ready.
    pub fn until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if call(
                self.ready,
                "GET",
                "/v1/ready",
                &[("Host", "ready")],
                b"",
                500,
            )
            .status()
                == 200
            {
                self.rec.line(&format!("{} is ready", self.name));
                return Ok(());
            }
            sleep_ms(20);
        }
        Err(format!("{} didn't become ready", self.name))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.rec.line(&format!("{} is killed", self.name));
        // SAFETY: the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, SIGKILL) };
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn start_again(&mut self) -> Result<(), String> {
        self.child = spawn(&self.settings, &self.log)?;
        self.rec.line(&format!("{} is started again", self.name));
        Ok(())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Result<Child, String> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .map_err(|e| e.to_string())?;
    let mut command = Command::new(PROGRAM);
    command.env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    // The process ends with the script, however that ends.
    // SAFETY: `prctl` is a system call, which may be made between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    let errors = log.try_clone().map_err(|e| e.to_string())?;
    command
        .env("CHIVERELAY_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|e| format!("{PROGRAM}: {e}"))
}
