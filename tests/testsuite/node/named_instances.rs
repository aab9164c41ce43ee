//! Which instances callers are told of while those of their region are down.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Requests of the callers of the region that is left, enough to tell shares.
const OWN_REQUESTS: usize = 300;

/// Further requests, which that region bars, where they are few and many.
const FEW_BARRED: usize = 2;
const MANY_BARRED: usize = 30;

/// Longer than a restart takes and than the record of a lost instance stays.
const LONG_AFTER: Duration = Duration::from_secs(12);

/// How the instance of the caller's region ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It is stopped, as before a restart.
    Stopped,
    /// It is killed.
    Killed,
}

impl End {
    fn bring_about(self, node: &mut Node) {
        match self {
            Self::Stopped => node.process.terminate(),
            Self::Killed => node.process.kill(),
        }
    }
}

/// Whether a route of the host, or each one, may only run in the caller's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Routes {
    Anywhere,
    Bound,
    AllBound,
    /// One may, and another one in both regions.
    BoundBesideBoth,
}

/// Asks an instance in the south for those near a caller in the north.
async fn look_up(far: &Node) -> (StatusCode, String) {
    let path = "/v1/resolve?name=desk.example&region=north&zone=north-a";
    let got = call::get(far.directory, path).await.expect("an answer");
    (got.status, got.body)
}

async fn until_named(far: &Node, address: SocketAddr) {
    let address = address.to_string();
    until("the instance is named", async || {
        look_up(far).await.1.contains(&address)
    })
    .await;
}

async fn start(routes: Routes) -> (Site, Node, Node, PlatformTarget) {
    let site = Site::start().await;
    let mut catalog = configuration(5);
    let all = catalog["routes"].as_array_mut().expect("routes");
    let bound = match routes {
        Routes::Anywhere => 0,
        Routes::Bound | Routes::BoundBesideBoth => 1,
        Routes::AllBound => all.len(),
    };
    for route in &mut all[..bound] {
        route["allowed_regions"] = json!(["north"]);
    }
    if routes == Routes::BoundBesideBoth {
        all[1]["allowed_regions"] = json!(["north", "south"]);
    }
    site.store.put("op/config", &catalog);
    let target = PlatformTarget::start("i-1").await;
    site.register(&target, "orders", "north-a");
    let near = site.instance("near", "north-a", "north").await;
    let far = site.instance("far", "south-a", "south").await;
    until_named(&far, near.front).await;
    (site, near, far, target)
}

/// Checks that `far` names nobody for some time.
async fn check_names_nobody(far: &Node) {
    let began = Instant::now();
    while began.elapsed() < LONG_AFTER {
        let (status, named) = look_up(far).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{named}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn until_not_named(far: &Node, gone: &Node) {
    let address = gone.front.to_string();
    until("the one that ends is not named", async || {
        let (_, named) = look_up(far).await;
        !named.contains(&address)
    })
    .await;
}

/// Failure: once the instances of all regions where the routes of a host may run
/// had stopped, or been killed, callers were led to a region that may not run all
/// of them, and requests went there.
fn check_nobody_named(routes: Routes, end: End) {
    block_on(async {
        let (site, mut near, far, _target) = start(routes).await;
        end.bring_about(&mut near);
        until_not_named(&far, &near).await;
        check_names_nobody(&far).await;
        let again = site.instance("again", "north-a", "north").await;
        until_named(&far, again.front).await;
    });
}

cases! {
    check_nobody_named:
    nobody_is_named_in_a_barred_region_after_a_stop(Routes::Bound, End::Stopped);
    nobody_is_named_in_a_barred_region_in_an_outage(Routes::Bound, End::Killed);
    nobody_is_named_where_no_route_may_run(Routes::AllBound, End::Killed);
}

/// Failure: an instance that had started after the last stop knew of none, and
/// named a barred region at once.
#[test]
fn nobody_is_named_in_a_barred_region_by_an_instance_that_has_just_started() {
    block_on(async {
        let (site, mut near, far, _target) = start(Routes::Bound).await;
        near.process.terminate();
        near.process.wait();
        let late = site.instance("late", "south-a", "south").await;
        until_not_named(&late, &near).await;
        check_names_nobody(&late).await;
        drop(far);
    });
}

/// Sends requests of its own callers to `far`, some of which are barred there.
async fn send_own(far: &Node, barred: usize) {
    for n in 0..OWN_REQUESTS + barred {
        let path = if n < barred {
            "/status/1"
        } else {
            "/deposit/1"
        };
        let call = Call::new(&format!("r-{n}"), path).key(KEY);
        call.send(far.front).await;
    }
}

/// Failure: a region was named though it bars more than a small share of the
/// host's bound requests.
#[test]
fn a_region_that_bars_many_requests_is_not_named() {
    block_on(async {
        let (_site, mut near, far, _target) = start(Routes::BoundBesideBoth).await;
        send_own(&far, MANY_BARRED).await;
        End::Killed.bring_about(&mut near);
        until_not_named(&far, &near).await;
        check_names_nobody(&far).await;
        let logged = far.logged();
        assert!(logged.contains(r#""nearest":"barred""#), "{logged}");
    });
}

/// Failure: the callers of a region whose instances were gone were told of nobody,
/// though the other region bars few of the requests that are bound to regions.
#[test]
fn a_region_that_bars_few_requests_is_named() {
    block_on(async {
        let (_site, mut near, far, _target) = start(Routes::BoundBesideBoth).await;
        End::Killed.bring_about(&mut near);
        until_not_named(&far, &near).await;
        let (status, named) = look_up(&far).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{named}");
        send_own(&far, FEW_BARRED).await;
        until_named(&far, far.front).await;
    });
}

#[test]
fn a_region_that_may_answer_is_named_while_the_own_one_restarts() {
    block_on(async {
        let (_site, mut near, far, _target) = start(Routes::Anywhere).await;
        End::Stopped.bring_about(&mut near);
        until_named(&far, far.front).await;
    });
}
