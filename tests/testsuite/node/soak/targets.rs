//! The targets of a run.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use support::node::Mode;
use support::node::PlatformTarget;
use support::node::Registration;
use support::node::Site;
use support::node::proxy::Proxy;

use super::Profile;
use super::trouble::Trouble;
use super::world::ZONES;

/// Time of a plain answer, so that faults meet requests at the targets.
const SERVICE: Duration = Duration::from_millis(60);

/// Number of the last event of a stream.
pub(super) const EVENTS: u64 = 5;

/// Pause between the events of a stream, so that faults meet streams midway.
const EVENT_PAUSE: Duration = Duration::from_millis(80);

/// Targets that serve from the beginning. Those after them replace the targets of
/// streams, each the one so many before it.
pub(super) const FIRST_TARGETS: usize = 13;

/// Difference between the numbers of a target and of the one that replaces it.
pub(super) const TO_SUCCESSOR: usize = 5;

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

/// A target behind a proxy.
#[derive(Debug)]
pub(super) struct SoakTarget {
    /// Its index.
    at: usize,
    pub(super) target: PlatformTarget,
    pub(super) proxy: Proxy,
    /// What may take its place for a while.
    pub(super) trouble: Option<Trouble>,
    /// Locked by the fault that the target suffers.
    pub(super) fault: tokio::sync::Mutex<()>,
    /// Locked while the target is cold.
    pub(super) cold: tokio::sync::Mutex<()>,
    /// The changing part of its record; none while it has none.
    registered: Mutex<Option<Registered>>,
}

/// The changing part of a target's record.
#[derive(Clone, Copy, Debug)]
pub(super) struct Registered {
    pub(super) is_draining: bool,
    pub(super) cold_ms: u64,
    /// Address that stands in the place of its own.
    pub(super) address: Option<SocketAddr>,
}

impl SoakTarget {
    pub(super) async fn start(at: usize, profile: Profile) -> Self {
        let (name, service, _) = TARGETS[at];
        let target = PlatformTarget::start(name).await;
        target.set(usual_mode(service));
        target.name_runs(software(at));
        target.forget_bodies();
        let proxy = Proxy::start(target.address).await;
        let trouble = match profile {
            Profile::Broken if service != "model" => Some(Trouble::start().await),
            _ => None,
        };
        Self {
            at,
            target,
            proxy,
            trouble,
            fault: tokio::sync::Mutex::default(),
            cold: tokio::sync::Mutex::default(),
            registered: Mutex::default(),
        }
    }

    /// Tells whether another target has this one's place.
    pub(super) fn is_replaced(&self) -> bool {
        let registered = self.registered.lock().expect("no panic under the lock");
        registered.is_none_or(|now| now.is_draining)
    }

    /// Writes the first record of the target.
    pub(super) fn begin(&self, site: &Site) {
        let mut registered = self.registered.lock().expect("no panic under the lock");
        let now = registered.insert(Registered {
            is_draining: false,
            cold_ms: 0,
            address: None,
        });
        self.write(site, *now);
    }

    /// Changes the record of the target, if it has one.
    pub(super) fn change<F>(&self, site: &Site, set: F)
    where
        F: FnOnce(&mut Registered),
    {
        let mut registered = self.registered.lock().expect("no panic under the lock");
        if let Some(now) = registered.as_mut() {
            set(now);
            self.write(site, *now);
        }
    }

    /// Ends the target's record.
    pub(super) fn remove(&self, site: &Site) {
        let mut registered = self.registered.lock().expect("no panic under the lock");
        *registered = None;
        site.store
            .remove(&format!("servers/{}", TARGETS[self.at].0));
    }

    fn write(&self, site: &Site, now: Registered) {
        let (name, service, zone) = TARGETS[self.at];
        let address = now.address.unwrap_or(self.proxy.address);
        let usual = Registration::new(address, service, zone);
        let registration = Registration {
            software: software(self.at),
            state: if now.is_draining { "draining" } else { "ready" },
            cold_ms: now.cold_ms,
            ..usual
        };
        site.write_registration(name, &registration);
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
