//! Who connects to a target of a run: each instance has a harm of its own there.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use support::node::proxy::Harm;
use tokio::sync::watch;

/// Connections of this machine, as the kernel lists them.
const CONNECTIONS: &str = "/proc/net/tcp";

/// Column of a connection's socket in that list.
const SOCKET_COLUMN: usize = 9;

/// The ways of the instances to all targets.
#[derive(Debug)]
pub(super) struct Peers {
    ways: Vec<Way>,
    /// What those meet who are no instance.
    others: watch::Sender<Harm>,
    connections: Mutex<Connections>,
}

/// The connections of this machine, as they were listed last. To list them takes
/// long where there are many, so those who ask at once share a list.
#[derive(Debug, Default)]
struct Connections {
    list: String,
    /// When the kernel was asked for it.
    asked: Option<Instant>,
}

/// The way of an instance to all targets.
#[derive(Debug, Default)]
struct Way {
    /// Process of the instance, once it has one.
    pid: Mutex<Option<u32>>,
    harm: watch::Sender<Harm>,
}

impl Peers {
    pub(super) fn new(instances: usize) -> Self {
        Self {
            ways: (0..instances).map(|_| Way::default()).collect(),
            others: watch::Sender::default(),
            connections: Mutex::default(),
        }
    }

    /// Notes the process of an instance.
    pub(super) fn note(&self, at: usize, pid: u32) {
        let mut known = self.ways[at].pid.lock().expect("no panic under the lock");
        *known = Some(pid);
    }

    /// Changes what an instance meets on its way to targets.
    pub(super) fn set(&self, at: usize, harm: Harm) {
        self.ways[at].harm.send_replace(harm);
    }

    /// Returns what the instance that connects from an address meets.
    pub(super) fn harm_of(&self, peer: SocketAddr) -> watch::Receiver<Harm> {
        let socket = self.socket_of(peer, Instant::now());
        let mut ways = self.ways.iter();
        let way = socket.and_then(|socket| ways.find(|way| way.has(&socket)));
        way.map_or(&self.others, |way| &way.harm).subscribe()
    }

    /// Finds the socket that was connected by a time from an address.
    fn socket_of(&self, peer: SocketAddr, connected: Instant) -> Option<String> {
        let mut connections = self.connections.lock().expect("no panic under the lock");
        if connections.asked.is_none_or(|asked| asked < connected) {
            connections.asked = Some(Instant::now());
            connections.list = std::fs::read_to_string(CONNECTIONS).ok()?;
        }
        connections.socket_of(peer)
    }
}

impl Connections {
    /// Finds the socket with an IPv4 address, by the name that its process's
    /// folder has for it.
    fn socket_of(&self, address: SocketAddr) -> Option<String> {
        let SocketAddr::V4(address) = address else {
            return None;
        };
        // The kernel lists the address as a number in the machine's byte order.
        let ip = u32::from_ne_bytes(address.ip().octets());
        let own = format!(": {ip:08X}:{:04X} ", address.port());
        let (before, after) = self.list.split_at(self.list.find(&own)?);
        let number = before.lines().next_back().unwrap_or_default();
        let row = after.lines().next().unwrap_or_default();
        let row = format!("{number}{row}");
        let socket = row.split_whitespace().nth(SOCKET_COLUMN)?;
        Some(format!("socket:[{socket}]"))
    }
}

impl Way {
    /// Tells whether a socket is one of the instance's process.
    fn has(&self, socket: &str) -> bool {
        let pid = *self.pid.lock().expect("no panic under the lock");
        pid.is_some_and(|pid| has_socket(pid, socket))
    }
}

fn has_socket(pid: u32, socket: &str) -> bool {
    let Ok(open) = std::fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let mut links = open.flatten().map(|entry| std::fs::read_link(entry.path()));
    links.any(|link| link.is_ok_and(|link| link == Path::new(socket)))
}
