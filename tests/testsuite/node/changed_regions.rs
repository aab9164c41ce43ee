//! Requests that are still open when a configuration changes the regions in
//! which they may run.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::call::Got;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Time after which a target turns a request away: long enough for a change.
const TURNED_AWAY_AFTER: Duration = Duration::from_millis(1500);

/// Events after which a target breaks off a stream: long enough for a change.
const LATE_EVENTS: u64 = 150;

/// What a configuration binds to regions.
#[derive(Clone, Copy, Debug)]
enum Bound {
    Routes,
    Account,
    /// A new route, which is split off from the one of the request.
    SplitOff,
}

impl Bound {
    /// Returns a configuration that binds requests to a region.
    fn to(self, region: &str) -> Value {
        let mut config = configuration(9);
        match self {
            Self::Routes => {
                for route in config["routes"].as_array_mut().expect("a list of routes") {
                    route["allowed_regions"] = json!([region]);
                }
            }
            Self::Account => config["tenants"][0]["allowed_regions"] = json!([region]),
            Self::SplitOff => {
                let routes = config["routes"].as_array_mut().expect("a list of routes");
                let split_off = routes.clone().into_iter().map(|mut route| {
                    let name = route["name"].as_str().expect("a name");
                    let (name, prefix) = (format!("{name}-more"), format!("/{name}/more/"));
                    route["name"] = json!(name);
                    route["path_prefix"] = json!(prefix);
                    route["allowed_regions"] = json!([region]);
                    route
                });
                routes.extend(split_off);
            }
        }
        config
    }

    /// Returns the path of a request on a route.
    fn path(self, route: &str) -> String {
        match self {
            Self::Routes | Self::Account => format!("/{route}/1"),
            Self::SplitOff => format!("/{route}/more/1"),
        }
    }
}

/// An instance in the north, which takes the requests, and one in the south.
struct World {
    site: Site,
    near: Node,
    far: Node,
}

impl World {
    async fn start() -> Self {
        let site = Site::start().await;
        let near = site.instance("near", "north-a", "north").await;
        let far = site.instance("far", "south-a", "south").await;
        until("the link is up", async || {
            near.logged().contains("link is up")
        })
        .await;
        Self { site, near, far }
    }

    async fn target(&self, name: &str, service: &str, zone: &str, mode: Mode) -> PlatformTarget {
        let target = PlatformTarget::start(name).await;
        target.set(mode);
        self.site.register(&target, service, zone);
        until("the target is known", async || {
            let line = format!(r#""name":"{name}""#);
            [&self.near, &self.far]
                .iter()
                .all(|node| node.logged().contains(&line))
        })
        .await;
        target
    }

    /// Sends a request, and binds it to a region once a target has it. A second
    /// target of that one's zone is known then, too.
    async fn send_and_bind(
        &self,
        path: &str,
        first: &PlatformTarget,
        zone: &str,
        config: &Value,
    ) -> (Got, PlatformTarget) {
        let call = Call::new("r-1", path).key(KEY);
        let service = if path.starts_with("/quote/") {
            "model"
        } else {
            "orders"
        };
        tokio::join!(call.send(self.near.front), async {
            until("a target has the request", async || {
                !first.arrivals().is_empty()
            })
            .await;
            let second = self
                .target("i-second", service, zone, Mode::Events(2))
                .await;
            self.site.store.put("op/config", config);
            until("the change is in force", async || {
                [&self.near, &self.far]
                    .iter()
                    .all(|node| node.logged().contains(r#""version":9"#))
            })
            .await;
            second
        })
    }
}

/// Failure: a request was tried again in a region that a later configuration had
/// barred, as it was held to that by which it was admitted.
fn check_retry(bound: Bound) {
    block_on(async {
        let world = World::start().await;
        let mode = Mode::FullAfter(TURNED_AWAY_AFTER);
        let first = world.target("i-first", "orders", "north-a", mode).await;
        let config = bound.to("south");
        let path = bound.path("status");
        let sending = world.send_and_bind(&path, &first, "north-a", &config);
        let south = async {
            until("a target has the request", async || {
                !first.arrivals().is_empty()
            })
            .await;
            world
                .target("i-south", "orders", "south-a", Mode::Answer)
                .await
        };
        let ((got, second), south) = tokio::join!(sending, south);
        assert!(second.arrivals().is_empty(), "{}", world.near.logged());
        assert_eq!(got.status, StatusCode::OK, "{got:?}");
        assert_eq!(south.arrivals().len(), 1);
    });
}

cases! {
    check_retry:
    a_request_is_not_tried_again_where_its_route_may_no_longer_run(Bound::Routes);
    a_request_is_not_tried_again_where_its_account_may_no_longer_run(Bound::Account);
    a_request_is_not_tried_again_where_its_part_of_a_route_may_no_longer_run(Bound::SplitOff);
}

/// Failure: a stream that broke off went on in a region that a later
/// configuration had barred.
fn check_stream(bound: Bound) {
    block_on(async {
        let world = World::start().await;
        let mode = Mode::Cut(LATE_EVENTS);
        let first = world.target("i-first", "model", "north-a", mode).await;
        let config = bound.to("south");
        let (got, second) = world
            .send_and_bind(&bound.path("quote"), &first, "north-a", &config)
            .await;
        assert!(second.arrivals().is_empty(), "{}", world.near.logged());
        assert!(!got.whole, "{got:?}");
    });
}

cases! {
    check_stream:
    a_stream_does_not_go_on_where_its_route_may_no_longer_run(Bound::Routes);
    a_stream_does_not_go_on_where_its_account_may_no_longer_run(Bound::Account);
    a_stream_does_not_go_on_where_its_part_of_a_route_may_no_longer_run(Bound::SplitOff);
}

/// Failure: an instance that had a request from another one tried it again in its
/// own region, which a later configuration had barred.
fn check_forwarded(bound: Bound) {
    block_on(async {
        let world = World::start().await;
        let mode = Mode::FullAfter(TURNED_AWAY_AFTER);
        let first = world.target("i-first", "orders", "south-a", mode).await;
        let config = bound.to("north");
        let (got, second) = world
            .send_and_bind(&bound.path("status"), &first, "south-a", &config)
            .await;
        assert!(second.arrivals().is_empty(), "{}", world.far.logged());
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{got:?}");
    });
}

cases! {
    check_forwarded:
    a_forwarded_request_is_not_tried_again_where_its_route_may_no_longer_run(Bound::Routes);
    a_forwarded_request_is_not_tried_again_where_its_account_may_no_longer_run(Bound::Account);
    a_forwarded_request_is_not_tried_again_where_its_part_of_a_route_may_no_longer_run(Bound::SplitOff);
}
