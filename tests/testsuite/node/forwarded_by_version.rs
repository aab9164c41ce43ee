//! Requests that are forwarded while the instances have different versions of
//! the configuration.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::proxy::Harm;
use support::node::proxy::Proxy;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Requests after the change.
const REQUESTS: usize = 20;

/// A configuration whose first route leads to the new service.
fn moved(version: u64) -> Value {
    let mut config = configuration(version);
    let mut service = config["services"][0].clone();
    service["name"] = json!("new-orders");
    config["services"]
        .as_array_mut()
        .expect("a list of services")
        .push(service);
    config["routes"][0]["service"] = json!("new-orders");
    config
}

/// Failure: an instance that had shown a version forwarded requests to one that
/// the store didn't answer, which ran them by an older version: callers of one
/// instance saw the version come and go.
fn a_route_that_moved_stays_moved(has_other: bool) {
    block_on(async {
        let site = Site::start().await;
        let old = PlatformTarget::start("i-old").await;
        let new = PlatformTarget::start("i-new").await;
        site.register(&old, "orders", "south-a");
        site.register(&new, "new-orders", "south-a");
        let store = Proxy::start(site.store.address).await;
        let behind = site.spawn_before("behind", "south-a", "south", store.address);
        let near = site.spawn("near", "north-a", "north");
        let other = has_other.then(|| site.spawn("other", "south-a", "south"));
        for node in [Some(&behind), Some(&near), other.as_ref()]
            .into_iter()
            .flatten()
        {
            node.until_ready(true).await;
        }
        until("a forward is answered", async || {
            let got = Call::new("warm", "/status/1")
                .key(KEY)
                .send(near.front)
                .await;
            got.status == StatusCode::OK
        })
        .await;
        store.set(Harm::Silence);
        site.store.put("op/config", &moved(9));
        until("the version is in force", async || {
            near.logged().contains(r#""version":9"#)
        })
        .await;
        let before = old.arrivals().len();
        for n in 0..REQUESTS {
            let call = Call::new(&format!("r-{n}"), "/status/1").key(KEY);
            let got = call.send(near.front).await;
            let is_served = got.status == StatusCode::OK;
            let is_refused = got.status == StatusCode::SERVICE_UNAVAILABLE;
            assert!(is_served || (is_refused && !has_other), "{n}: {got:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(old.arrivals().len(), before, "run by the old service");
        assert!(!has_other || !new.arrivals().is_empty());
    });
}

cases! {
    a_route_that_moved_stays_moved:
    as_the_only_instance_there_is_behind(false);
    as_one_of_two_instances_there_is_behind(true);
}

/// Failure: an instance with an older version sent a request on for no account, as its
/// route had been public, and it ran where its account may not; or it sent the body
/// to one instance after another of a region that bars it.
fn an_outdated_sender_is_turned_back(is_public_before: bool, bind: fn(&mut Value)) {
    block_on(async {
        let site = Site::start().await;
        let mut config = configuration(4);
        config["routes"][0]["public"] = json!(is_public_before);
        site.store.put("op/config", &config);
        let target = PlatformTarget::start("i-south").await;
        site.register(&target, "orders", "south-a");
        let store = Proxy::start(site.store.address).await;
        let sender = site.spawn_before("sender", "north-a", "north", store.address);
        let receivers = ["south-1", "south-2"].map(|name| site.spawn(name, "south-a", "south"));
        let send = async |id| {
            let call = Call::new(id, "/status/1").key(KEY);
            call.send(sender.front).await.status
        };
        until("both are linked and the target is used", async || {
            sender.logged().matches("link is up").count() == receivers.len()
                && send("warm").await == StatusCode::OK
        })
        .await;
        store.set(Harm::Silence);
        let mut bound = configuration(9);
        bind(&mut bound);
        site.store.put("op/config", &bound);
        until("the version is in force", async || {
            let is_known = |node: &Node| node.logged().contains(r#""version":9"#);
            receivers.iter().all(is_known)
        })
        .await;
        assert_eq!(send("r-1").await, StatusCode::SERVICE_UNAVAILABLE);
        let count = |text: &str| {
            let log = sender.logged();
            let lines = log.lines().filter(|line| line.contains(r#""id":"r-1""#));
            lines.filter(|line| line.contains(text)).count()
        };
        until("its end is logged", async || count(r#""places""#) == 1).await;
        assert_eq!(count("refused there"), 1, "{}", sender.logged());
    });
}

cases! {
    an_outdated_sender_is_turned_back:
    as_the_route_needs_an_account_by_then(
        true, |config| config["tenants"][0]["allowed_regions"] = json!(["north"]));
    as_the_region_is_barred_by_then(
        false, |config| config["routes"][0]["allowed_regions"] = json!(["north"]));
}
