//! Answers that many callers do not read stay within the memory of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Endless;
use support::node::EndlessTarget;
use support::node::Node;
use support::node::Site;
use support::node::SlowReader;
use support::node::site::configuration;
use support::node::site::until;

/// Memory of an instance, in bytes.
const MEMORY: u64 = 260_000_000;

/// Time for which the callers wait: longer than a test.
const DEADLINE: Duration = Duration::from_secs(60);

/// Time in which a request reaches a target that is known.
const REACHING: Duration = Duration::from_millis(300);

/// Time between two callers.
const BETWEEN: Duration = Duration::from_millis(15);

/// Time between two looks at the memory of the instances.
const LOOK: Duration = Duration::from_secs(2);

/// Growth between two looks after which nothing more fills up, in bytes.
const SETTLED: u64 = 1_000_000;

/// Starts an instance in each of two regions, and a target in one of them.
async fn start(site: &Site, target: SocketAddr, zone: &str) -> [Node; 2] {
    let mut config = configuration(4);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(60_000);
    }
    for service in config["services"].as_array_mut().expect("services") {
        service["max_connections"] = json!(10_000);
    }
    site.store.put("op/config", &config);
    let record = json!({
        "service": "orders", "address": target.to_string(), "zone": zone,
        "version": "v1", "slots": 1000, "state": "ready", "warmup_left_ms": 0,
        "sequence": 1, "born": 1_700_000_000_000_u64,
    });
    site.store.put("servers/i-1", &record);
    let near = site.instance("near", "north-a", "north").await;
    let far = site.instance("far", "south-a", "south").await;
    [near, far]
}

/// Opens callers that do not read, and waits until the target has them all.
async fn open_unread(node: &Node, target: &EndlessTarget, callers: usize) -> Vec<SlowReader> {
    let mut held = Vec::new();
    for n in 0..callers {
        let mut caller = SlowReader::open(node.front).await;
        caller.send(&format!("r-{n}"), "/status/1", DEADLINE).await;
        held.push(caller);
        // A link takes more streams as it gets used.
        tokio::time::sleep(BETWEEN).await;
    }
    until("the target has all requests", async || {
        target.open() == callers
    })
    .await;
    held
}

/// Waits until no instance grows any more, and returns the memory of the largest.
async fn settled(nodes: &[Node]) -> u64 {
    let largest = || nodes.iter().map(|n| n.process.resident_bytes()).max();
    let mut seen = 0;
    loop {
        let now = largest().expect("an instance");
        if now > MEMORY || now < seen + SETTLED {
            return now;
        }
        seen = now;
        tokio::time::sleep(LOOK).await;
    }
}

/// Waits until requests reach the target, which the first instance may have to
/// hear of.
async fn until_reached(node: &Node, target: &EndlessTarget) {
    until("a request reaches the target", async || {
        let mut caller = SlowReader::open(node.front).await;
        caller.send("r-first", "/status/1", DEADLINE).await;
        tokio::time::sleep(REACHING).await;
        target.requests() > 0
    })
    .await;
    until("the target has no request", async || target.open() == 0).await;
}

fn check_unread(zone: &str, callers: usize) {
    block_on(async {
        let site = Site::start().await;
        let target = EndlessTarget::start(Endless::BodyUntilClose).await;
        let nodes = start(&site, target.address, zone).await;
        let [near, _] = &nodes;
        until_reached(near, &target).await;
        let _held = open_unread(near, &target, callers).await;
        let most = settled(&nodes).await;
        println!("{most} bytes for {callers} unread answers");
        assert!(most <= MEMORY, "{most} bytes");
    });
}

cases! {
    check_unread:
    /// Failure: a connection to a target read far ahead of a caller that does
    /// not read, and what was buffered for such callers had no bound.
    unread_answers_stay_within_the_memory("north-a", 400);
    /// Failure: the link to another instance read far ahead of a caller that
    /// does not read.
    unread_forwarded_answers_stay_within_the_memory("south-a", 200);
}
