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
use support::node::site::configuration;
use support::node::site::until;

/// Time after which a lost instance's record is gone too.
const LONG_AFTER: Duration = Duration::from_secs(8);

/// How the instance of the caller's region ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It is stopped, as before a restart.
    Stopped,
    /// It is killed.
    Killed,
}

/// Whether a route of the host, or each one, may only run in the caller's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Routes {
    Anywhere,
    Bound,
    AllBound,
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
        Routes::Bound => 1,
        Routes::AllBound => all.len(),
    };
    for route in &mut all[..bound] {
        route["allowed_regions"] = json!(["north"]);
    }
    site.store.put("op/config", &catalog);
    let target = PlatformTarget::start("i-1").await;
    site.register(&target, "orders", "north-a");
    let near = site.instance("near", "north-a", "north").await;
    let far = site.instance("far", "south-a", "south").await;
    until_named(&far, near.front).await;
    (site, near, far, target)
}

/// Failure: while all instances of a region were stopped for a restart, its
/// callers were led to a region where their routes may not run, and their
/// requests went there.
#[test]
fn nobody_is_named_in_a_barred_region_while_the_own_one_restarts() {
    block_on(async {
        let (_site, mut near, far, _target) = start(Routes::Bound).await;
        near.process.terminate();
        until("the stopped one is not named", async || {
            let (_, named) = look_up(&far).await;
            !named.contains(&near.front.to_string())
        })
        .await;
        let (status, named) = look_up(&far).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{named}");
        near.process.wait();
        let (status, named) = look_up(&far).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{named}");
    });
}

fn check_other_region_named(routes: Routes, end: End) {
    block_on(async {
        let (_site, mut near, far, _target) = start(routes).await;
        match end {
            End::Stopped => near.process.terminate(),
            End::Killed => near.process.kill(),
        }
        until_named(&far, far.front).await;
    });
}

cases! {
    check_other_region_named:
    a_region_that_may_answer_is_named_while_the_own_one_restarts(Routes::Anywhere, End::Stopped);
    a_barred_region_is_named_in_an_outage(Routes::Bound, End::Killed);
}

/// Failure: once the instances of all regions where the routes of a host may run
/// were gone for good, its callers were led to a region that may run none.
#[test]
fn nobody_is_named_where_no_route_may_run() {
    block_on(async {
        let (_site, mut near, far, _target) = start(Routes::AllBound).await;
        near.process.kill();
        let killed = Instant::now();
        until("the killed one is not named", async || {
            let (_, named) = look_up(&far).await;
            !named.contains(&near.front.to_string())
        })
        .await;
        while killed.elapsed() < LONG_AFTER {
            let (status, named) = look_up(&far).await;
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{named}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
}
