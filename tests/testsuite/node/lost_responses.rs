//! The store loses the response of a watch and serves every other call.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Time in which a change has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Time after the last lost response in which an instance has to know all
/// changes again, those that the lost responses told of too.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(5);

/// Prefix of the watch of all keys.
const ALL_KEYS: &str = "";

/// Prefix of the watch of the operator's keys.
const OPERATOR_KEYS: &str = "op/";

/// A change in the store that stops requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// The key of the callers is taken away.
    Key,
    /// The zone of the target is evacuated.
    Evacuation,
    /// The target drains.
    Drain,
    /// The target's record is removed.
    Removal,
}

impl Stop {
    fn write(self, site: &Site, target: &PlatformTarget) {
        match self {
            Self::Key => {
                let mut config = configuration(9);
                config["tenants"][0]["api_keys"] = json!(["another"]);
                site.store.put("op/config", &config);
            }
            Self::Evacuation => site.store.put("op/evacuate/north-a", &json!({})),
            Self::Drain => site.register_as(target, "orders", "north-a", "draining", 0),
            Self::Removal => site.store.remove(&format!("servers/{}", target.name)),
        }
    }
}

async fn is_served(front: SocketAddr) -> bool {
    let got = Call::new("r-1", "/status/1").key(KEY).send(front).await;
    got.status.is_success()
}

/// Starts instances and waits until they serve and their watches wait.
async fn start_instances(site: &Site, count: usize) -> Vec<Node> {
    let mut nodes = Vec::new();
    for n in 0..count {
        nodes.push(site.instance(&format!("n-{n}"), "north-a", "north").await);
    }
    for node in &nodes {
        until("served", async || is_served(node.front).await).await;
    }
    // A watch that begins now waits.
    tokio::time::sleep(Duration::from_millis(500)).await;
    nodes
}

/// Has the next response of each of these watches lost, by whichever instance it
/// is waited for.
async fn lose(site: &Site, prefixes: &[&str]) {
    for prefix in prefixes {
        site.store.lose_next_watch(prefix);
    }
    let mut config = configuration(5);
    config["limits"]["idle_timeout_ms"] = json!(14_000);
    site.store.put("op/config", &config);
    until("the responses are lost", async || site.store.has_lost_all()).await;
}

/// Failure: an instance that lost one response of a watch went on by what it
/// knew until the watch ended, 20 s later: requests ran with a key that was taken
/// away, in an evacuated zone and at targets that were leaving.
fn a_change_is_in_force_in_time(instances: usize, lost: &[&str], stop: Stop) {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        site.register(&target, "orders", "north-a");
        let nodes = start_instances(&site, instances).await;
        lose(&site, lost).await;
        stop.write(&site, &target);
        tokio::time::sleep(APPLY_LIMIT).await;
        for node in &nodes {
            assert!(!is_served(node.front).await, "{}", node.logged());
        }
    });
}

cases! {
    a_change_is_in_force_in_time:
    a_key_whose_watch_lost_a_response(1, &[OPERATOR_KEYS], Stop::Key);
    an_evacuation_whose_watch_lost_a_response(1, &[OPERATOR_KEYS], Stop::Evacuation);
    a_draining_target_whose_watch_lost_a_response(1, &[ALL_KEYS], Stop::Drain);
    a_removed_target_whose_watch_lost_a_response(1, &[ALL_KEYS], Stop::Removal);
    a_key_when_both_watches_lost_a_response(1, &[OPERATOR_KEYS, ALL_KEYS], Stop::Key);
    an_evacuation_when_both_watches_lost_a_response(
        1, &[OPERATOR_KEYS, ALL_KEYS], Stop::Evacuation,
    );
    a_removed_target_at_one_of_three_instances(3, &[ALL_KEYS], Stop::Removal);
    a_draining_target_at_two_of_three_instances(3, &[ALL_KEYS, ALL_KEYS], Stop::Drain);
}

/// Failure: the lost responses tell of the change itself, at every instance, so
/// that none has read it and can tell the others.
fn a_change_that_nobody_was_told_of_is_found(instances: usize, lost: &[&str], pages: &[&str]) {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        site.register(&target, "orders", "north-a");
        let nodes = start_instances(&site, instances).await;
        for prefix in lost {
            site.store.lose_next_watch(prefix);
        }
        for prefix in pages {
            site.store.lose_next_page(prefix);
        }
        Stop::Key.write(&site, &target);
        until("the responses are lost", async || site.store.has_lost_all()).await;
        tokio::time::sleep(CATCH_UP_LIMIT).await;
        for node in &nodes {
            assert!(!is_served(node.front).await, "{}", node.logged());
        }
    });
}

cases! {
    a_change_that_nobody_was_told_of_is_found:
    a_key_that_an_instance_alone_was_not_told_of(1, &[OPERATOR_KEYS, ALL_KEYS], &[]);
    a_key_when_a_listing_was_lost_too(1, &[OPERATOR_KEYS, ALL_KEYS], &[ALL_KEYS]);
    a_key_when_listings_were_lost_too(
        1, &[OPERATOR_KEYS, ALL_KEYS], &[ALL_KEYS, OPERATOR_KEYS, ALL_KEYS],
    );
    a_key_that_no_instance_was_told_of(
        2, &[OPERATOR_KEYS, OPERATOR_KEYS, ALL_KEYS, ALL_KEYS], &[],
    );
}
