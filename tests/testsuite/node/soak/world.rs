//! The processes, stand-ins and proxies of a run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use support::node::Node;
use support::node::PlatformStore;
use support::node::Site;
use support::node::proxy::Proxy;
use support::node::site::Limits;

use super::Profile;
use super::Size;
use super::brittle::BrittleTimes;
use super::callers;
use super::callers::Seen;
use super::changes::Changes;
use super::late::Misnamed;
use super::lookups::Lookups;
use super::out_of_step::OutOfStep;

use super::record::Record;
use super::stranded::Cuts;
use super::targets::FIRST_TARGETS;
use super::targets::SoakTarget;
use super::targets::TARGETS;
use super::targets::TO_SUCCESSOR;
use super::usage;
use super::usage::Usage;
use super::watches::ColdTimes;
use super::ways::Way;

/// Time in which everything works again once the last fault has ended.
const RECOVERY: Duration = Duration::from_secs(15);

/// Zones and their regions.
pub(super) const ZONES: [(&str, &str); 3] = [
    ("north-a", "north"),
    ("south-a", "south"),
    ("west-a", "west"),
];

/// Where an instance runs.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) name: String,
    pub(super) zone: &'static str,
    pub(super) region: &'static str,
}

impl Place {
    fn new(at: usize) -> Self {
        let (zone, region) = ZONES[at % ZONES.len()];
        Self {
            name: format!("front-{region}-{at}"),
            zone,
            region,
        }
    }
}

/// A run.
pub(super) struct Soak {
    pub(super) begun: Instant,
    pub(super) size: Size,
    /// What each instance's process is allowed.
    pub(super) limits: Limits,
    pub(super) usage: Usage,
    pub(super) site: Site,
    pub(super) targets: Vec<SoakTarget>,
    /// The ways of the instances to the targets, where they may be cut off.
    pub(super) ways: Vec<Way>,
    pub(super) cuts: Cuts,
    pub(super) brittle: BrittleTimes,
    pub(super) misnamed: Misnamed,
    pub(super) lookups: Lookups,
    pub(super) store: Proxy,
    /// The way of each instance to that proxy.
    pub(super) store_links: Vec<Proxy>,
    pub(super) cold: ColdTimes,
    pub(super) places: Vec<Place>,
    /// Locked by the fault that an instance suffers.
    pub(super) nodes: Vec<Arc<tokio::sync::Mutex<Node>>>,
    /// The instances' processes; none of an instance that has ended.
    pids: Vec<Mutex<Option<u32>>>,
    pub(super) fronts: Arc<Vec<Mutex<SocketAddr>>>,
    /// Where callers look the instances up.
    pub(super) directories: Vec<SocketAddr>,
    pub(super) out_of_step: Arc<OutOfStep>,
    pub(super) changes: Arc<Changes>,
    pub(super) record: Record,
    pub(super) seen: Arc<Mutex<Vec<Seen>>>,
    /// Logs of the instances that have ended.
    ended_logs: Mutex<Vec<(String, String)>>,
    crowds: AtomicUsize,
    /// Locked by the crowd that is here.
    pub(super) crowding: tokio::sync::Mutex<()>,
}

impl Soak {
    pub(super) async fn start(profile: Profile, size: Size, limits: Limits) -> Self {
        let store = PlatformStore::start().await;
        let proxy = Proxy::start(store.address).await;
        let mut site = Site::before(store, proxy.address);
        site.limit(limits);
        let changes = Changes::begin(&site.store, profile);
        let mut targets = Vec::new();
        for at in 0..TARGETS.len() {
            let target = SoakTarget::start(at, profile).await;
            if at < FIRST_TARGETS {
                target.begin(&site);
            }
            targets.push(target);
        }
        let places: Vec<_> = (0..size.instances).map(Place::new).collect();
        site.use_program(profile.first_program());
        let mut nodes = Vec::new();
        let (mut store_links, mut ways) = (Vec::new(), Vec::new());
        let addresses: Vec<_> = targets.iter().map(|t| t.proxy.address).collect();
        for place in &places {
            let link = Proxy::start(proxy.address).await;
            let mut store_address = link.address;
            if profile == Profile::Stranded {
                let way = Way::start(link.address, &addresses).await;
                store_address = way.store();
                ways.push(way);
            }
            let node = site.spawn_before(&place.name, place.zone, place.region, store_address);
            store_links.push(link);
            node.process
                .limit_descriptors(usage::open_descriptors(limits));
            nodes.push(node);
        }
        for node in &nodes {
            node.until_ready(true).await;
        }
        site.use_program(None);
        let fronts = nodes.iter().map(|node| Mutex::new(node.front)).collect();
        let pids = nodes.iter().map(|node| Mutex::new(Some(node.process.id())));
        let pids = pids.collect();
        let directories = nodes.iter().map(|node| node.directory).collect();
        let nodes = nodes.into_iter().map(tokio::sync::Mutex::new);
        Self {
            begun: Instant::now(),
            size,
            limits,
            usage: Usage::default(),
            site,
            targets,
            ways,
            cuts: Cuts::default(),
            brittle: BrittleTimes::default(),
            misnamed: Misnamed::default(),
            lookups: Lookups::default(),
            store: proxy,
            store_links,
            cold: ColdTimes::default(),
            places,
            nodes: nodes.map(Arc::new).collect(),
            pids,
            fronts: Arc::new(fronts),
            directories,
            out_of_step: Arc::default(),
            changes: Arc::new(changes),
            record: Record::default(),
            seen: Arc::default(),
            ended_logs: Mutex::default(),
            crowds: AtomicUsize::default(),
            crowding: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the target that serves in the place of one of the first.
    pub(super) fn serving(&self, first: usize) -> usize {
        let is_replaced = self.targets[first].is_replaced();
        first + if is_replaced { TO_SUCCESSOR } else { 0 }
    }

    /// Has another target with other software take the place of one, which
    /// drains.
    pub(super) fn replace_target(&self, old: usize) {
        let new = old + TO_SUCCESSOR;
        self.targets[new].begin(&self.site);
        self.targets[old].change(&self.site, |now| now.is_draining = true);
    }

    /// Ends the record of a target.
    pub(super) fn remove_target(&self, at: usize) {
        self.targets[at].remove(&self.site);
    }

    /// Writes for how long a target is cold, if it has a record.
    pub(super) fn write_cold(&self, at: usize, cold_ms: u64) {
        self.targets[at].change(&self.site, |now| now.cold_ms = cold_ms);
    }

    /// Writes an address for a target, in place of its own if there is one.
    pub(super) fn write_address(&self, at: usize, address: Option<SocketAddr>) {
        self.targets[at].change(&self.site, |now| now.address = address);
    }

    /// Returns a number that no other crowd of the run has.
    pub(super) fn next_crowd(&self) -> usize {
        self.crowds.fetch_add(1, Ordering::Relaxed)
    }

    pub(super) fn note_seen(&self, one: Seen) {
        self.seen.lock().expect("no panic under the lock").push(one);
    }

    /// Returns the process of an instance that runs.
    pub(super) fn pid(&self, at: usize) -> Option<u32> {
        *self.pids[at].lock().expect("no panic under the lock")
    }

    /// Notes that the process of an instance has ended.
    pub(super) fn note_end(&self, at: usize) {
        *self.pids[at].lock().expect("no panic under the lock") = None;
    }

    /// Kills an instance if this is still its process, and starts it again at
    /// once. One that suffers another fault is left to it.
    pub(super) fn kill_and_start_again(&self, at: usize, pid: u32) {
        let Ok(mut node) = self.nodes[at].try_lock() else {
            return;
        };
        if node.process.id() == pid {
            node.process.kill();
            self.respawn(at, &mut node);
        }
    }

    /// Starts an instance that has ended again, at its address.
    pub(super) fn respawn(&self, at: usize, node: &mut Node) {
        let place = &self.places[at];
        let mut logs = self.ended_logs.lock().expect("no panic under the lock");
        logs.push((place.name.clone(), node.logged()));
        drop(logs);
        *node = self.site.start_again(&place.name, &node.ip);
        let descriptors = usage::open_descriptors(self.limits);
        node.process.limit_descriptors(descriptors);
        *self.pids[at].lock().expect("no panic under the lock") = Some(node.process.id());
    }

    /// Returns the logs of all instances, with their names.
    pub(super) async fn logs(&self) -> Vec<(String, String)> {
        let mut logs = self
            .ended_logs
            .lock()
            .expect("no panic under the lock")
            .clone();
        for (place, node) in self.places.iter().zip(&self.nodes) {
            logs.push((place.name.clone(), node.lock().await.logged()));
        }
        logs
    }

    /// Waits until every instance answers each kind of request.
    pub(super) async fn recover(&self) {
        let until = Instant::now() + RECOVERY;
        for (at, front) in self.fronts.iter().enumerate() {
            let front = *front.lock().expect("no panic under the lock");
            for path in callers::PATHS {
                let mut n = 0;
                loop {
                    n += 1;
                    let id = format!("end-{at}-{path}-{n}");
                    let one = callers::attempt_once(at, front, &id, path).await;
                    if one.is_success() {
                        break;
                    }
                    let name = &self.places[at].name;
                    assert!(Instant::now() < until, "no answer at {name}: {one:?}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }
}
