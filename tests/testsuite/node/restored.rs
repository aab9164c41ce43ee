//! The store comes back from an older copy: what was written since is gone,
//! and revisions and leases are given out again.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_gateway::Metrics;
use chiverelay_platform::store::Put;
use chiverelay_platform::store::StoreClient;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Time in which a configuration has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Starts one instance before one target of the order desk.
async fn desk() -> (Site, PlatformTarget, Node) {
    let site = Site::start().await;
    let target = PlatformTarget::start("i-1").await;
    site.register(&target, "orders", "north-a");
    let node = site.instance("one", "north-a", "north").await;
    (site, target, node)
}

/// A configuration with one more route.
fn with_route(version: u64, name: &str) -> Value {
    let mut more = configuration(version);
    let mut route = more["routes"][0].clone();
    route["name"] = json!(name);
    route["path_prefix"] = json!(format!("/{name}/"));
    more["routes"]
        .as_array_mut()
        .expect("a list of routes")
        .push(route);
    more
}

async fn status_of(node: &Node, path: &str) -> StatusCode {
    let call = Call::new("r-1", path).key(KEY);
    call.send(node.front).await.status
}

async fn metric(node: &Node, name: &str) -> String {
    let got = call::get(node.metrics, "/metrics").await;
    let text = got.map(|got| got.body).unwrap_or_default();
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(&format!("{name} ")));
    value.unwrap_or_default().to_owned()
}

async fn until_version(node: &Node, version: &str) {
    until("the version is in force", async || {
        metric(node, "chiverelay_catalog_version").await == version
    })
    .await;
}

async fn until_restore_known(node: &Node) {
    until("the store's new era is known", async || {
        metric(node, "chiverelay_store_era").await == "1"
    })
    .await;
}

async fn until_targets(node: &Node, count: &str) {
    until("the targets are known", async || {
        metric(node, "chiverelay_targets").await == count
    })
    .await;
}

async fn until_instances(node: &Node, count: &str) {
    until("the other instances are known", async || {
        metric(node, "chiverelay_instances").await == count
    })
    .await;
}

/// Brings the instance to version 6, and the store back to version 3.
async fn lose_three_versions(site: &Site, node: &Node) {
    let copy = site.store.copy();
    for version in [4, 5, 6] {
        site.store
            .put("op/config", &with_route(version, "confirmed"));
        until_version(node, &version.to_string()).await;
    }
    site.store.restore(copy);
    site.store.cut_watches();
}

/// Guards against a confirmed configuration that is never in force, as its
/// revision was given out before the store came back from an older copy.
#[test]
fn a_configuration_written_after_a_restore_is_served() {
    block_on(async {
        let (site, _target, node) = desk().await;
        lose_three_versions(&site, &node).await;
        site.store.put("op/config", &with_route(9, "later"));
        let served = async {
            while status_of(&node, "/later/1").await != StatusCode::OK {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let served = tokio::time::timeout(APPLY_LIMIT, served).await;
        assert!(served.is_ok(), "the route is not served");
    });
}

/// Guards against a configuration that goes back to an older version with the
/// store.
#[test]
fn a_restored_configuration_does_not_replace_a_later_version() {
    block_on(async {
        let (site, _target, node) = desk().await;
        lose_three_versions(&site, &node).await;
        until_restore_known(&node).await;
        site.store.put("op/config", &with_route(5, "confirmed"));
        for _ in 0..20 {
            assert_eq!(status_of(&node, "/confirmed/1").await, StatusCode::OK);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(metric(&node, "chiverelay_catalog_version").await, "6");
    });
}

/// Guards against a target's record that is ignored, as its revision was given
/// out before the store came back from an older copy.
#[test]
fn a_target_that_drains_after_a_restore_gets_nothing_more() {
    block_on(async {
        let (site, target, node) = desk().await;
        let copy = site.store.copy();
        for cold_ms in [3, 2, 1] {
            site.register_as(&target, "orders", "north-a", "ready", cold_ms);
        }
        until_targets(&node, "1").await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.store.restore(copy);
        site.store.cut_watches();
        until_restore_known(&node).await;
        site.register_as(&target, "orders", "north-a", "draining", 0);
        let passed_over = async {
            while status_of(&node, "/status/1").await == StatusCode::OK {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let passed_over = tokio::time::timeout(APPLY_LIMIT, passed_over).await;
        assert!(passed_over.is_ok(), "the target still gets requests");
    });
}

/// Guards against a target that left coming back into use with the record of
/// an older copy.
#[test]
fn a_removed_target_that_an_older_copy_lists_gets_nothing_until_it_writes_again() {
    block_on(async {
        let (site, _target, node) = desk().await;
        let left = PlatformTarget::start("i-2").await;
        site.register(&left, "orders", "north-a");
        until_targets(&node, "2").await;
        let copy = site.store.copy();
        site.store.remove("servers/i-2");
        until_targets(&node, "1").await;
        let arrivals = left.arrivals().len();
        site.store.restore(copy);
        site.store.cut_watches();
        until_restore_known(&node).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        for _ in 0..20 {
            assert_eq!(status_of(&node, "/status/1").await, StatusCode::OK);
        }
        assert_eq!(left.arrivals().len(), arrivals, "it left");
        site.register(&left, "orders", "north-a");
        until("the target is used again", async || {
            status_of(&node, "/status/1").await;
            left.arrivals().len() > arrivals
        })
        .await;
    });
}

/// Guards against an instance that keeps another's lease alive and has no
/// record itself, as the lease's id was given out again.
#[test]
fn an_instance_takes_a_new_lease_after_a_restore() {
    block_on(async {
        let site = Site::start().await;
        let copy = site.store.copy();
        let node = site.instance("one", "north-a", "north").await;
        let own = "chiverelay/instances/one";
        until("the record is written", async || {
            !site.store.keys(own).is_empty()
        })
        .await;
        site.store.restore(copy);
        let other = StoreClient::new(site.store.address, Arc::new(Metrics::new()));
        let ttl = Duration::from_secs(2);
        let lease = other.grant_lease(ttl).await.expect("a lease");
        let put = Put {
            key: "other/record".to_owned(),
            value: b"v".to_vec(),
            lease,
        };
        other.put(put, 0).await.expect("written");
        site.store.cut_watches();
        let written = async {
            while site.store.keys(own).is_empty() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let written = tokio::time::timeout(Duration::from_secs(3), written).await;
        assert!(written.is_ok(), "the instance has no record");
        until("the other's lease ends", async || {
            site.store.keys("other/").is_empty()
        })
        .await;
        node.until_ready(true).await;
    });
}

/// Returns the lines on records of an instance that another has taken, by era.
fn records_taken(node: &Node, instance: &str, era: u64) -> Vec<Value> {
    let log = node.logged();
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    lines
        .filter(|line: &Value| line["text"] == "instance record received")
        .filter(|line| line["instance"] == instance && line["era"] == era)
        .collect()
}

/// Failure: an instance that restarted has its old address and certificate
/// again, as an older copy of the store has its old record.
#[test]
fn an_instance_that_restarted_keeps_its_new_record_after_a_restore() {
    block_on(async {
        let site = Site::start().await;
        let node = site.instance("one", "north-a", "north").await;
        let mut ended = site.instance("two", "north-a", "north").await;
        until_instances(&node, "1").await;
        let copy = site.store.copy();
        ended.process.kill();
        until("its first record is logged", async || {
            !records_taken(&node, "two", 0).is_empty()
        })
        .await;
        let old = records_taken(&node, "two", 0);
        let old = &old.first().expect("a record")["incarnation"];
        let restarted = site.instance("two", "north-a", "north").await;
        until("its new record is read", async || {
            let taken = records_taken(&node, "two", 0);
            taken.iter().any(|line| line["incarnation"] != *old)
        })
        .await;
        restarted.process.freeze();
        site.store.restore(copy);
        site.store.cut_watches();
        until("the old record is read", async || {
            node.logged().contains("outdated instance record ignored")
                || !records_taken(&node, "two", 1).is_empty()
        })
        .await;
        assert_eq!(records_taken(&node, "two", 1), Vec::<Value>::new());
        restarted.process.thaw();
        until("its new record is read again", async || {
            !records_taken(&node, "two", 1).is_empty()
        })
        .await;
        let taken = records_taken(&node, "two", 1);
        assert!(taken.iter().all(|line| line["incarnation"] != *old));
    });
}

/// Guards against callers that are sent to an instance that ended, as an older
/// copy of the store has its record.
#[test]
fn an_instance_that_ended_is_not_named_again_after_a_restore() {
    block_on(async {
        let site = Site::start().await;
        let node = site.instance("one", "north-a", "north").await;
        let mut ended = site.instance("two", "north-a", "north").await;
        until_instances(&node, "1").await;
        let copy = site.store.copy();
        ended.process.kill();
        site.store.end_all_leases();
        until_instances(&node, "0").await;
        site.store.restore(copy);
        site.store.cut_watches();
        until_instances(&node, "1").await;
        let path = "/v1/resolve?name=desk.example&region=north&zone=north-a";
        let named = call::get(node.directory, path).await.expect("an answer");
        assert!(!named.body.contains(&ended.front.to_string()), "{named:?}");
        assert!(named.body.contains(&node.front.to_string()), "{named:?}");
    });
}

/// Failure: an instance that started after the store had come back from an older
/// copy served by that copy's configuration, which the others had a later version
/// of: requests ran in a region that was barred.
#[test]
fn an_instance_that_starts_after_a_restore_learns_the_later_version() {
    block_on(async {
        let (site, target, running) = desk().await;
        let copy = site.store.copy();
        let mut bound = configuration(6);
        bound["routes"][0]["allowed_regions"] = json!(["south"]);
        site.store.put("op/config", &bound);
        until_version(&running, "6").await;
        site.store.restore(copy);
        site.store.cut_watches();
        until_restore_known(&running).await;
        let started = site.instance("two", "north-a", "north").await;
        tokio::time::sleep(APPLY_LIMIT).await;
        let status = status_of(&started, "/status/1").await;
        assert!(target.arrivals().is_empty(), "run where it may not");
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    });
}
