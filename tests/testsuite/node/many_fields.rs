//! Requests whose heads have many short fields.

use hyper::StatusCode;
use support::block_on;
use support::cases;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Returns a request with so many further fields, each of 18 bytes.
fn call(id: &str, path: &str, fields: usize) -> Call {
    let named = (0..fields).map(|n| format!("x-trace-{n:03}"));
    named.fold(Call::new(id, path).key(KEY), |call, name| {
        call.header(&name, "00")
    })
}

/// Failure: a request with more than 100 fields, far within the bytes that the
/// configuration allows for a head, got 431.
fn all_fields_reach_a_target(zone: &'static str, fields: usize) {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        site.register(&target, "orders", zone);
        let near = site.instance("near", "north-a", "north").await;
        let _far = site.instance("far", "south-a", "south").await;
        until("a request is answered", async || {
            call("r-1", "/status/1", 0).send(near.front).await.status == StatusCode::OK
        })
        .await;
        let got = call("r-2", "/status/1", fields).send(near.front).await;
        assert_eq!(got.status, StatusCode::OK, "{got:?}");
        let arrival = target.arrivals().pop().expect("an arrival");
        for n in 0..fields {
            assert_eq!(arrival.header(&format!("x-trace-{n:03}")), "00", "{n}");
        }
    });
}

cases! {
    all_fields_reach_a_target:
    of_the_region("north-a", 120);
    of_another_region("south-a", 120);
    as_many_as_are_read("north-a", 500);
    as_many_to_another_region("south-a", 500);
}
