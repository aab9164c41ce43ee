//! The project's own program, started as the deploy file says, on loopback
//! addresses.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::store::Store;

/// What is the same for all machines of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Zone and region, in the order of the machines.
    pub zones: Vec<(&'static str, &'static str)>,
    pub dir: PathBuf,
    /// Second and third byte of the machines' addresses.
    pub net: (u8, u8),
    pub bounds: String,
}

/// A machine with one process of the role `entry`.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub zone: &'static str,
    pub region: &'static str,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().expect("an address")
}

impl Node {
    /// Writes the settings of machine `n` of a zone.
    pub fn new(deployment: &Deployment, zone: usize, n: usize, store: SocketAddr) -> Node {
        let (zone_name, region) = deployment.zones[zone];
        let name = format!("front-{zone_name}-{n}");
        let (a, b) = deployment.net;
        let ip = format!("127.{a}.{b}.{}", 10 * (zone + 1) + n);
        let zones: Vec<String> = deployment
            .zones
            .iter()
            .map(|(z, r)| format!("{z} = \"{r}\""))
            .collect();
        let text = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\", \"directory\"]\nip = \"{ip}\"\nzone = \"{zone_name}\"\nregion = \"{region}\"\nport_range = [7600, 7615]\nseeds = []\nbootstrap = true\nin_tolerance = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200\ncontracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"places\", \"tenants\", \"quota\", \"platform\"]\n[zones]\n{}\n[listen]\nfront = \"{ip}:8221\"\nready = \"{ip}:8224\"\ndirectory = \"{ip}:8220\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 1\n[bounds]\n{}[platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            zones.join("\n"),
            deployment.bounds
        );
        let settings = deployment.dir.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("a settings file");
        Node {
            log: deployment.dir.join(format!("{name}.log")),
            front: address(&ip, 8221),
            ready: address(&ip, 8224),
            directory: address(&ip, 8220),
            name,
            zone: zone_name,
            region,
            settings,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let program = std::env::var("NODE").unwrap_or("target/release/chiverelay-node".to_owned());
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new(Path::new(&program))
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", "/tmp")
            .env("LANG", "C")
            .env("CHIVERELAY_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the program");
        self.child = Some(child);
    }

    /// Ends the process as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::ask(self.ready, head, b"", Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Asks the directory for the addresses of a host.
    pub fn resolve(&self, host: &str, region: &str, zone: &str) -> String {
        let head = format!(
            "GET /v1/resolve?name={host}&region={region}&zone={zone} HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n"
        );
        let answer = http::ask(self.directory, &head, b"", Duration::from_secs(1));
        answer
            .filter(|a| a.status() == 200)
            .map_or(String::new(), |a| {
                String::from_utf8_lossy(&a.body).into_owned()
            })
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all are ready, and tells whether they are.
pub fn wait_until_ready(nodes: &[Node], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// The store that a deployment is before.
pub fn deploy(deployment: &Deployment, store: &Store, machines: &[usize]) -> Vec<Node> {
    let mut nodes = Vec::new();
    for (zone, count) in machines.iter().enumerate() {
        for n in 1..=*count {
            nodes.push(Node::new(deployment, zone, n, store.address));
        }
    }
    nodes
}
