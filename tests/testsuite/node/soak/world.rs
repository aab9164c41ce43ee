//! The processes, stand-ins and proxies of a run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use support::node::Mode;
use support::node::Node;
use support::node::PlatformStore;
use support::node::PlatformTarget;
use support::node::Registration;
use support::node::Site;
use support::node::proxy::Proxy;
use support::node::site::Limits;

use super::Size;
use super::callers;
use super::callers::Seen;
use super::changes::Changes;
use super::record::Record;
use super::usage;
use super::usage::Usage;
use super::watches::ColdTimes;

/// Time in which everything works again once the last fault has ended.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time of a plain answer, so that faults meet requests at the targets.
const SERVICE: Duration = Duration::from_millis(60);

/// Number of the last event of a stream.
pub(super) const EVENTS: u64 = 5;

/// Pause between the events of a stream, so that faults meet streams midway.
const EVENT_PAUSE: Duration = Duration::from_millis(80);

/// Zones and their regions.
const ZONES: [(&str, &str); 3] = [
    ("north-a", "north"),
    ("south-a", "south"),
    ("west-a", "west"),
];

/// Targets that serve from the beginning. Those after them replace the targets of
/// streams, each the one so many before it.
pub(super) const FIRST_TARGETS: usize = 13;

/// Difference between the numbers of a target and of the one that replaces it.
const TO_SUCCESSOR: usize = 5;

/// Versions of the targets' software.
const SOFTWARE: [&str; 2] = ["v1", "v2"];

/// Targets with their service and zone.
pub(super) const TARGETS: [(&str, &str, &str); 18] = [
    ("i-orders-1", "orders", "north-a"),
    ("i-orders-2", "orders", "north-a"),
    ("i-orders-3", "orders", "south-a"),
    ("i-orders-4", "orders", "south-a"),
    ("i-orders-5", "orders", "west-a"),
    ("i-spare-1", "spare", "north-a"),
    ("i-spare-2", "spare", "south-a"),
    ("i-spare-3", "spare", "west-a"),
    ("i-model-1", "model", "north-a"),
    ("i-model-2", "model", "north-a"),
    ("i-model-3", "model", "south-a"),
    ("i-model-4", "model", "south-a"),
    ("i-model-5", "model", "west-a"),
    ("i-model-6", "model", "north-a"),
    ("i-model-7", "model", "north-a"),
    ("i-model-8", "model", "south-a"),
    ("i-model-9", "model", "south-a"),
    ("i-model-10", "model", "west-a"),
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

/// A target behind a proxy.
#[derive(Debug)]
pub(super) struct SoakTarget {
    pub(super) target: PlatformTarget,
    pub(super) proxy: Proxy,
    /// Locked by the fault that the target suffers.
    pub(super) fault: tokio::sync::Mutex<()>,
    /// Locked while the target is cold.
    pub(super) cold: tokio::sync::Mutex<()>,
    /// What its record says besides its place; none while it has none.
    registered: Mutex<Option<Registered>>,
}

/// The changing part of a target's record.
#[derive(Clone, Copy, Debug)]
struct Registered {
    is_draining: bool,
    cold_ms: u64,
}

/// A run.
pub(super) struct Soak {
    pub(super) size: Size,
    /// What each instance's process is allowed.
    pub(super) limits: Limits,
    pub(super) usage: Usage,
    pub(super) site: Site,
    pub(super) targets: Vec<SoakTarget>,
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
    pub(super) async fn start(size: Size, limits: Limits) -> Self {
        let store = PlatformStore::start().await;
        let proxy = Proxy::start(store.address).await;
        let mut site = Site::before(store, proxy.address);
        site.limit(limits);
        let changes = Changes::begin(&site.store);
        let mut targets = Vec::new();
        for at in 0..TARGETS.len() {
            let target = SoakTarget::start(at).await;
            if at < FIRST_TARGETS {
                target.begin(&site, at);
            }
            targets.push(target);
        }
        let places: Vec<_> = (0..size.instances).map(Place::new).collect();
        let mut nodes = Vec::new();
        let mut store_links = Vec::new();
        for place in &places {
            let link = Proxy::start(proxy.address).await;
            let node = site.spawn_before(&place.name, place.zone, place.region, link.address);
            store_links.push(link);
            node.process
                .limit_descriptors(usage::open_descriptors(limits));
            nodes.push(node);
        }
        for node in &nodes {
            node.until_ready(true).await;
        }
        let fronts = nodes.iter().map(|node| Mutex::new(node.front)).collect();
        let pids = nodes.iter().map(|node| Mutex::new(Some(node.process.id())));
        let pids = pids.collect();
        let nodes = nodes.into_iter().map(tokio::sync::Mutex::new);
        Self {
            size,
            limits,
            usage: Usage::default(),
            site,
            targets,
            store: proxy,
            store_links,
            cold: ColdTimes::default(),
            places,
            nodes: nodes.map(Arc::new).collect(),
            pids,
            fronts: Arc::new(fronts),
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
        self.targets[new].begin(&self.site, new);
        self.targets[old].change(&self.site, old, |now| now.is_draining = true);
    }

    /// Ends the record of a target.
    pub(super) fn remove_target(&self, at: usize) {
        let target = &self.targets[at];
        let mut registered = target.registered.lock().expect("no panic under the lock");
        *registered = None;
        self.site
            .store
            .remove(&format!("servers/{}", TARGETS[at].0));
    }

    /// Writes for how long a target is cold, if it has a record.
    pub(super) fn write_cold(&self, at: usize, cold_ms: u64) {
        self.targets[at].change(&self.site, at, |now| now.cold_ms = cold_ms);
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

/// Returns the region of a target.
pub(super) fn region_of_target(at: usize) -> &'static str {
    let (_, _, zone) = TARGETS[at];
    let mut zones = ZONES.iter().filter(|(name, _)| *name == zone);
    zones.next().map(|(_, region)| *region).expect("a zone")
}

/// Returns the version of a target's software.
fn software(at: usize) -> &'static str {
    SOFTWARE[usize::from(at >= FIRST_TARGETS)]
}

/// Returns how a sound target of a service treats requests.
pub(super) fn usual_mode(service: &str) -> Mode {
    match service {
        "model" => Mode::Paced(EVENTS, EVENT_PAUSE),
        _ => Mode::Slow(SERVICE),
    }
}

impl SoakTarget {
    async fn start(at: usize) -> Self {
        let (name, service, _) = TARGETS[at];
        let target = PlatformTarget::start(name).await;
        target.set(usual_mode(service));
        target.name_software(software(at));
        let proxy = Proxy::start(target.address).await;
        Self {
            target,
            proxy,
            fault: tokio::sync::Mutex::default(),
            cold: tokio::sync::Mutex::default(),
            registered: Mutex::default(),
        }
    }

    /// Tells whether another target has this one's place.
    fn is_replaced(&self) -> bool {
        let registered = self.registered.lock().expect("no panic under the lock");
        registered.is_none_or(|now| now.is_draining)
    }

    /// Writes the first record of the target.
    fn begin(&self, site: &Site, at: usize) {
        let mut registered = self.registered.lock().expect("no panic under the lock");
        let now = registered.insert(Registered {
            is_draining: false,
            cold_ms: 0,
        });
        self.write(site, at, *now);
    }

    /// Changes the record of the target, if it has one.
    fn change<F>(&self, site: &Site, at: usize, set: F)
    where
        F: FnOnce(&mut Registered),
    {
        let mut registered = self.registered.lock().expect("no panic under the lock");
        if let Some(now) = registered.as_mut() {
            set(now);
            self.write(site, at, *now);
        }
    }

    fn write(&self, site: &Site, at: usize, now: Registered) {
        let (name, service, zone) = TARGETS[at];
        let usual = Registration::new(self.proxy.address, service, zone);
        let registration = Registration {
            software: software(at),
            state: if now.is_draining { "draining" } else { "ready" },
            cold_ms: now.cold_ms,
            ..usual
        };
        site.write_registration(name, &registration);
    }
}
