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
use support::node::call::Got;
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

/// Two instances in the south, where the target is, and one in the north that the
/// store can be kept from.
struct OutdatedSender {
    site: Site,
    store: Proxy,
    target: PlatformTarget,
    sender: Node,
    receivers: [Node; 2],
}

impl OutdatedSender {
    async fn start(config: &Value) -> Self {
        let site = Site::start().await;
        site.store.put("op/config", config);
        let target = PlatformTarget::start("i-south").await;
        site.register(&target, "orders", "south-a");
        let store = Proxy::start(site.store.address).await;
        let sender = site.spawn_before("sender", "north-a", "north", store.address);
        let receivers = ["south-1", "south-2"].map(|name| site.spawn(name, "south-a", "south"));
        for node in receivers.iter().chain([&sender]) {
            node.until_ready(true).await;
        }
        until("the links are up", async || {
            sender.logged().matches("link is up").count() == receivers.len()
        })
        .await;
        Self {
            site,
            store,
            target,
            sender,
            receivers,
        }
    }

    /// Sends a request while a configuration is in force at the receivers alone.
    async fn send_after(&self, config: &Value) -> Got {
        until("the target is used", async || {
            let warm = Call::new("warm", "/status/1").key(KEY);
            warm.send(self.sender.front).await.status == StatusCode::OK
        })
        .await;
        self.store.set(Harm::Silence);
        self.site.store.put("op/config", config);
        until("the version is in force", async || {
            let is_known = |node: &Node| node.logged().contains(r#""version":9"#);
            self.receivers.iter().all(is_known)
        })
        .await;
        let call = Call::new("r-1", "/status/1").key(KEY);
        call.send(self.sender.front).await
    }

    /// Counts the receivers that have refused the request.
    async fn count_refusals(&self) -> usize {
        let lines_of_request = || {
            let log = self.sender.logged();
            let lines = log.lines().filter(|line| line.contains(r#""r-1""#));
            lines.map(str::to_owned).collect::<Vec<_>>()
        };
        until("the end of the request is logged", async || {
            lines_of_request()
                .iter()
                .any(|line| line.contains(r#""places""#))
        })
        .await;
        let lines = lines_of_request();
        let refusals = lines.iter().filter(|line| line.contains("refused there"));
        refusals.count()
    }
}

/// Failure: a route that had been public came to require a key, and its requests
/// were run for no account, in a region that the account may not use.
#[test]
fn a_request_without_its_account_is_not_run() {
    block_on(async {
        let mut public = configuration(4);
        public["routes"][0]["public"] = json!(true);
        let world = OutdatedSender::start(&public).await;
        let mut bound = configuration(9);
        bound["tenants"][0]["allowed_regions"] = json!(["north"]);
        let got = world.send_after(&bound).await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{got:?}");
        let arrivals = world.target.arrivals();
        let ids = arrivals.iter().map(|arrival| arrival.header("request-id"));
        assert!(!ids.into_iter().any(|id| id == "r-1"));
    });
}

/// Failure: one instance said that the request may not run in its region, and the
/// body went to the next one there all the same.
#[test]
fn a_request_goes_to_a_barred_region_once_at_most() {
    block_on(async {
        let world = OutdatedSender::start(&configuration(4)).await;
        let mut bound = configuration(9);
        bound["routes"][0]["allowed_regions"] = json!(["north"]);
        let got = world.send_after(&bound).await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{got:?}");
        let refusals = world.count_refusals().await;
        assert_eq!(refusals, 1, "{}", world.sender.logged());
    });
}
