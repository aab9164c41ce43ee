//! The store answers, and later than a call is repeated.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::cases;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Time by which responses come later.
const DELAY: Duration = Duration::from_secs(2);

/// Path of listings.
const LISTINGS: &str = "/v1/kv-range";

/// What the paths of all calls begin with.
const ALL_CALLS: &str = "/v1/";

/// Keys that make a listing one of two pages.
const OTHER_KEYS: usize = 4;

async fn start_site() -> (Site, PlatformTarget) {
    let site = Site::start().await;
    let target = PlatformTarget::start("i-1").await;
    site.register(&target, "orders", "north-a");
    for n in 0..OTHER_KEYS {
        site.store.put(&format!("other/{n}"), &json!({}));
    }
    (site, target)
}

async fn is_served(front: SocketAddr) -> bool {
    let got = Call::new("r-1", "/status/1").key(KEY).send(front).await;
    got.status.is_success()
}

/// Failure: each listing was given up after 1.5 s and begun anew, so that a
/// change whose watches were not answered was never known.
fn a_change_is_known_by_a_listing(slow: &'static str) {
    block_on(async {
        let (site, _target) = start_site().await;
        let node = site.instance("one", "north-a", "north").await;
        until("served", async || is_served(node.front).await).await;
        // A watch that begins now waits.
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.store.delay_responses(slow, DELAY);
        site.store.lose_next_watch("op/");
        site.store.lose_next_watch("");
        let mut config = configuration(9);
        config["tenants"][0]["api_keys"] = json!(["another"]);
        site.store.put("op/config", &config);
        until("the key is refused", async || !is_served(node.front).await).await;
    });
}

cases! {
    a_change_is_known_by_a_listing:
    a_key_that_a_slow_listing_tells_of(LISTINGS);
    a_key_when_all_calls_are_slow(ALL_CALLS);
}

/// Failure: an instance that started before such a store never took requests.
fn an_instance_starts(slow: &'static str) {
    block_on(async {
        let (site, _target) = start_site().await;
        site.store.delay_responses(slow, DELAY);
        let node = site.instance("one", "north-a", "north").await;
        until("served", async || is_served(node.front).await).await;
    });
}

cases! {
    an_instance_starts:
    before_slow_listings(LISTINGS);
    before_a_store_whose_calls_are_all_slow(ALL_CALLS);
}
