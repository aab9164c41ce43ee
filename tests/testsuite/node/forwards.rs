//! Requests that instances of other regions serve.

use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call;
use support::node::call::Call;
use support::node::proxy::Harm;
use support::node::proxy::Proxy;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Time in which an instance keeps connecting to one that doesn't know it.
const UNKNOWN_TIME: Duration = Duration::from_millis(2000);

#[test]
fn a_request_bound_to_another_region_goes_there_once() {
    block_on(async {
        let site = Site::start().await;
        let mut bound = configuration(5);
        bound["routes"][0]["allowed_regions"] = json!(["south"]);
        site.store.put("op/config", &bound);
        let north = PlatformTarget::start("i-north").await;
        let south = PlatformTarget::start("i-south").await;
        site.register(&north, "orders", "north-a");
        site.register(&south, "orders", "south-a");
        let near = site.instance("near", "north-a", "north").await;
        let _far = site.instance("far", "south-a", "south").await;
        until("the forward is answered", async || {
            let got = Call::new("r-1", "/status/1")
                .key(KEY)
                .send(near.front)
                .await;
            got.status == StatusCode::OK && got.body == "answer of i-south"
        })
        .await;
        assert!(north.arrivals().is_empty());
        let last = south.arrivals().pop().expect("an arrival");
        assert_eq!(last.header("tenant-id"), "parish");
        assert_eq!(last.header("host"), "desk.example");
    });
}

/// Failure: the instance that took a request found its route by a host with a
/// port or in capitals, and the one that it was forwarded to did not: 503.
fn a_forwarded_request_is_found_by_its_host(host: &'static str) {
    block_on(async {
        let site = Site::start().await;
        let south = PlatformTarget::start("i-south").await;
        site.register(&south, "orders", "south-a");
        let near = site.instance("near", "north-a", "north").await;
        let _far = site.instance("far", "south-a", "south").await;
        let answer = async |id: &str, host: &str| {
            let call = Call::new(id, "/status/1").key(KEY).header("host", host);
            call.send(near.front).await
        };
        until("a forward is answered", async || {
            answer("r-1", "desk.example").await.status == StatusCode::OK
        })
        .await;
        let got = answer("r-2", host).await;
        assert_eq!(got.status, StatusCode::OK, "{got:?}");
    });
}

cases! {
    a_forwarded_request_is_found_by_its_host:
    with_a_port("desk.example:8221");
    in_capitals("DESK.Example");
}

#[test]
fn targets_of_another_region_count_as_attempts() {
    block_on(async {
        let site = Site::start().await;
        let one = PlatformTarget::start("i-one").await;
        let two = PlatformTarget::start("i-two").await;
        site.register(&one, "orders", "south-a");
        site.register(&two, "orders", "south-a");
        let near = site.instance("near", "north-a", "north").await;
        let _far = site.instance("far", "south-a", "south").await;
        let _farther = site.instance("farther", "south-a", "south").await;
        until("forwards are answered", async || {
            let got = Call::new("r-0", "/status/1")
                .key(KEY)
                .send(near.front)
                .await;
            got.status == StatusCode::OK
        })
        .await;
        // Both instances of the other region can be asked by now.
        tokio::time::sleep(Duration::from_millis(800)).await;
        one.set(Mode::Fail);
        two.set(Mode::Fail);
        let got = Call::new("r-1", "/status/1")
            .key(KEY)
            .send(near.front)
            .await;
        assert_eq!(got.status, StatusCode::INTERNAL_SERVER_ERROR);
        let arrivals = [one.arrivals(), two.arrivals()].concat();
        let runs = arrivals
            .iter()
            .filter(|a| a.header("request-id") == "r-1")
            .count();
        assert_eq!(runs, 2, "the route allows two targets");
    });
}

/// Requests of an instance's own callers that tell which share of them a region
/// bars.
const OWN_REQUESTS: usize = 200;

/// Found on a day on which both instances of a region were being stopped.
#[test]
fn a_region_without_an_instance_is_sent_where_most_requests_may_run() {
    block_on(async {
        let site = Site::start().await;
        let mut bound = configuration(5);
        bound["routes"][0]["allowed_regions"] = json!(["north", "west"]);
        bound["routes"][2]["allowed_regions"] = json!(["north", "south"]);
        bound["routes"][3]["allowed_regions"] = json!(["north", "south"]);
        site.store.put("op/config", &bound);
        let south = site.instance("south-one", "south-a", "south").await;
        let west = site.instance("west-one", "west-a", "west").await;
        for asked in [&south, &west] {
            let path = "/v1/resolve?name=desk.example&region=north&zone=north-a";
            let got = call::get(asked.directory, path).await.expect("an answer");
            assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{}", got.body);
            for n in 0..OWN_REQUESTS {
                let call = Call::new(&format!("r-{n}"), "/quote/1").key(KEY);
                call.send(asked.front).await;
            }
            until("only the south is named", async || {
                let got = call::get(asked.directory, path).await.expect("an answer");
                got.body.contains(&south.front.to_string())
                    && !got.body.contains(&west.front.to_string())
            })
            .await;
        }
    });
}

/// Failure: an instance that the other one doesn't know yet took its link as up
/// before the other one had refused it, and answered 502 to requests that it
/// forwarded on that link.
#[test]
fn a_request_is_not_lost_on_a_link_that_the_other_instance_refuses() {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-south").await;
        site.register(&target, "orders", "south-a");
        let store = Proxy::start(site.store.address).await;
        let far = site.spawn_before("far", "south-a", "south", store.address);
        far.until_ready(true).await;
        until("the far instance is registered", async || {
            site.store.keys("chiverelay/instances/").len() == 1
        })
        .await;
        // From here on the far instance hears of no others.
        store.set(Harm::Silence);
        let near = site.instance("near", "north-a", "north").await;
        let until = Instant::now() + UNKNOWN_TIME;
        let mut n = 0;
        while Instant::now() < until {
            n += 1;
            let call = Call::new(&format!("r-{n}"), "/deposit/1").key(KEY);
            let got = call.send(near.front).await;
            let is_refused = got.status == StatusCode::SERVICE_UNAVAILABLE;
            assert!(is_refused || got.status == StatusCode::OK, "{n}: {got:?}");
        }
        let log = far.logged();
        assert!(
            log.contains("connection refused"),
            "the near instance connects"
        );
        assert!(!near.logged().contains("link is up"), "no link is accepted");
    });
}
