//! An instance that the store does not answer, beside others that it does.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::proxy::Harm;
use support::node::proxy::Proxy;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Time in which an instance has to act on what the others hear, as one that the
/// store answers does.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Requests that a cold target may get within a second from all instances:
/// 13 x 1.5 + 3.
const COLD_LIMIT: usize = 22;

/// Requests that are sent within a second, far more than that.
const REQUESTS: usize = 60;

/// Time for which the target stays cold: longer than a test.
const COLD_MS: u64 = 60_000;

/// Two instances of a region, of which the store can be kept from one.
struct World {
    site: Site,
    store: Proxy,
    cut_off: Node,
    _in_touch: Node,
}

impl World {
    async fn start() -> Self {
        let site = Site::start().await;
        let store = Proxy::start(site.store.address).await;
        let cut_off = site.spawn_before("cut-off", "north-a", "north", store.address);
        let in_touch = site.spawn("in-touch", "north-a", "north");
        for node in [&cut_off, &in_touch] {
            node.until_ready(true).await;
        }
        until("the instances are linked", async || {
            [&cut_off, &in_touch]
                .iter()
                .all(|node| node.logged().contains("link is up"))
        })
        .await;
        Self {
            site,
            store,
            cut_off,
            _in_touch: in_touch,
        }
    }

    async fn target(&self, name: &str, mode: Mode) -> PlatformTarget {
        let target = PlatformTarget::start(name).await;
        target.set(mode);
        self.site.register(&target, "model", "north-a");
        target
    }
}

async fn send(front: SocketAddr, id: &str) -> bool {
    let got = Call::new(id, "/chat/1").key(KEY).send(front).await;
    got.status.is_success()
}

async fn until_used(node: &Node, target: &PlatformTarget) {
    until("the target is used", async || {
        send(node.front, "warm").await;
        !target.arrivals().is_empty()
    })
    .await;
}

/// Sends requests at a constant rate for a second and waits for their ends.
async fn press(front: SocketAddr) {
    let calls = (0..REQUESTS).map(|n| async move {
        tokio::time::sleep(Duration::from_secs(1) * n as u32 / REQUESTS as u32).await;
        send(front, &format!("r-{n}")).await
    });
    futures_util::future::join_all(calls).await;
}

/// Failure: an instance that was cut off from the store took a target for warm by
/// an old record and sent it more than it bears, so that it crashed.
fn a_target_that_turned_cold_gets_what_it_bears(harm: Harm) {
    block_on(async {
        let world = World::start().await;
        let target = world.target("i-1", Mode::Events(2)).await;
        until_used(&world.cut_off, &target).await;
        world.store.set(harm);
        let site = &world.site;
        site.register_as(&target, "model", "north-a", "ready", COLD_MS);
        tokio::time::sleep(APPLY_LIMIT).await;
        let before = target.arrivals().len();
        press(world.cut_off.front).await;
        let arrived = target.arrivals().len() - before;
        assert!(arrived > 0, "a cold target takes some requests");
        assert!(arrived <= COLD_LIMIT, "{arrived} requests in a second");
    });
}

cases! {
    a_target_that_turned_cold_gets_what_it_bears:
    at_an_instance_whose_calls_get_no_response(Harm::Silence);
    at_an_instance_whose_connections_are_reset(Harm::Reset);
    at_an_instance_whose_responses_are_lost(Harm::OneWay);
}

/// A change in the store after which a target gets no more requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Evacuation,
    Drain,
    Removal,
}

/// Failure: an instance that was cut off from the store went on sending to the
/// targets of an evacuated zone, which turn cold, and to those that leave.
fn a_target_that_is_to_get_nothing_gets_nothing(stop: Stop) {
    block_on(async {
        let world = World::start().await;
        let target = world.target("i-1", Mode::Events(2)).await;
        until_used(&world.cut_off, &target).await;
        world.store.set(Harm::Silence);
        let site = &world.site;
        match stop {
            Stop::Evacuation => site.store.put("op/evacuate/north-a", &json!({})),
            Stop::Drain => site.register_as(&target, "model", "north-a", "draining", 0),
            Stop::Removal => site.store.remove("servers/i-1"),
        }
        tokio::time::sleep(APPLY_LIMIT).await;
        let before = target.arrivals().len();
        for n in 0..10 {
            let is_served = send(world.cut_off.front, &format!("r-{n}")).await;
            assert!(!is_served, "there is no other target");
        }
        assert_eq!(target.arrivals().len(), before);
    });
}

cases! {
    a_target_that_is_to_get_nothing_gets_nothing:
    as_its_zone_is_evacuated(Stop::Evacuation);
    as_it_drains(Stop::Drain);
    as_its_record_is_removed(Stop::Removal);
}

/// Guards against a target that starts behind the cut and is never used, and
/// against changes that the store's return brings back.
#[test]
fn a_target_that_starts_meanwhile_is_used_then_and_later() {
    block_on(async {
        let world = World::start().await;
        let first = world.target("i-1", Mode::Events(2)).await;
        until_used(&world.cut_off, &first).await;
        world.store.set(Harm::Silence);
        let second = world.target("i-2", Mode::Events(2)).await;
        world.site.store.remove("servers/i-1");
        until_used(&world.cut_off, &second).await;
        world.store.set(Harm::None);
        tokio::time::sleep(APPLY_LIMIT).await;
        let before = first.arrivals().len();
        for n in 0..10 {
            assert!(send(world.cut_off.front, &format!("r-{n}")).await);
        }
        assert_eq!(first.arrivals().len(), before, "it left");
    });
}

/// A change of the configuration, after which requests go elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    RouteBound,
    AccountBound,
    KeyWithdrawn,
}

impl Change {
    fn configuration(self) -> Value {
        let mut config = configuration(9);
        match self {
            Self::RouteBound => config["routes"][3]["allowed_regions"] = json!(["south"]),
            Self::AccountBound => config["tenants"][0]["allowed_regions"] = json!(["south"]),
            Self::KeyWithdrawn => config["tenants"][0]["api_keys"] = json!(["another-key"]),
        }
        config
    }
}

/// Failure: an instance that was cut off from the store went on by its old
/// configuration, for as long as it was cut off: it ran requests in a region that
/// was barred meanwhile, and took keys that were withdrawn.
fn a_change_is_in_force(change: Change) {
    block_on(async {
        let world = World::start().await;
        let site = &world.site;
        let far = site.instance("far", "south-a", "south").await;
        let south = PlatformTarget::start("i-south").await;
        south.set(Mode::Events(2));
        site.register(&south, "model", "south-a");
        until("the other region is linked", async || {
            world.cut_off.logged().contains("i-south") && far.logged().contains("link is up")
        })
        .await;
        let north = world.target("i-north", Mode::Events(2)).await;
        until_used(&world.cut_off, &north).await;
        world.store.set(Harm::Silence);
        site.store.put("op/config", &change.configuration());
        tokio::time::sleep(APPLY_LIMIT).await;
        let before = north.arrivals().len();
        for n in 0..10 {
            let is_served = send(world.cut_off.front, &format!("r-{n}")).await;
            assert_eq!(is_served, change != Change::KeyWithdrawn, "{n}");
        }
        assert_eq!(north.arrivals().len(), before, "run where it may not");
        world.store.set(Harm::None);
        tokio::time::sleep(APPLY_LIMIT).await;
        let log = world.cut_off.logged();
        assert!(!log.contains("outdated catalog"), "{log}");
        assert_eq!(log.matches("catalog applied").count(), 2, "{log}");
    });
}

cases! {
    a_change_is_in_force:
    that_binds_a_route_to_another_region(Change::RouteBound);
    that_binds_an_account_to_another_region(Change::AccountBound);
    that_withdraws_a_key(Change::KeyWithdrawn);
}
