//! Requests that would be forwarded to a process that was killed.

use std::time::Duration;

use chiverelay_platform::protocol::MEMBERS_PREFIX;
use chiverelay_platform::records::decode_member;
use hyper::StatusCode;
use support::block_on;
use support::node::Got;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;
use tokio::net::UdpSocket;

/// Time after which an instance has sent its status to those of other regions,
/// and could have heard from them.
const KNOWN_AFTER: Duration = Duration::from_millis(1500);

/// Requests after that time. Each could have been sent to the killed process.
const REQUESTS: usize = 12;

/// Time for which an instance is frozen, less than a connection lives without a
/// sign of life.
const FROZEN_TIME: Duration = Duration::from_secs(2);

/// Asks for an operation that runs at most once.
async fn deposit(near: &Node, n: usize) -> Got {
    let call = Call::new(&format!("r-{n}"), "/deposit/1").key(KEY);
    call.send(near.front).await
}

/// An instance whose region has no target, and instances of the region with the
/// target, to each of which it has a link.
async fn start(others: &[&str]) -> (Site, Node, Vec<Node>, PlatformTarget) {
    let site = Site::start().await;
    let target = PlatformTarget::start("i-south").await;
    site.register(&target, "orders", "south-a");
    let near = site.instance("near", "north-a", "north").await;
    let mut far = Vec::new();
    for name in others {
        far.push(site.instance(name, "south-a", "south").await);
    }
    for node in &far {
        until("requests are forwarded there", async || {
            deposit(&near, 0).await;
            let forwarded = "forwarded request handled";
            node.logged().contains(forwarded)
        })
        .await;
    }
    (site, near, far, target)
}

/// Kills an instance. Its address is taken, as by another process that doesn't
/// know the link: nothing is answered there, and the port isn't closed.
async fn kill(site: &Site, name: &str, node: &mut Node) -> UdpSocket {
    let record = site.store.value(&format!("{MEMBERS_PREFIX}{name}"));
    let record = decode_member(&record.expect("a record")).expect("it can be read");
    node.process.kill();
    let taken = UdpSocket::bind(record.siblings).await.expect("a free port");
    tokio::time::sleep(KNOWN_AFTER).await;
    taken
}

/// Failure: requests were forwarded on the link to a process that had been killed
/// seconds before and had acknowledged nothing since: 502 (`sibling_failed`), as
/// the link was closed, or 504.
#[test]
fn requests_go_to_another_instance() {
    block_on(async {
        let (site, near, mut far, _target) = start(&["far", "farther"]).await;
        let _taken = kill(&site, "far", &mut far[0]).await;
        for n in 1..=REQUESTS {
            let got = deposit(&near, n).await;
            assert_eq!(got.status, StatusCode::OK, "{n}: {got:?}");
        }
    });
}

#[test]
fn requests_are_refused_as_not_run_if_there_is_no_other() {
    block_on(async {
        let (site, near, mut far, _target) = start(&["far"]).await;
        let _taken = kill(&site, "far", &mut far[0]).await;
        for n in 1..=REQUESTS {
            let got = deposit(&near, n).await;
            let is_not_run = got.body.contains("not_run");
            assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{n}: {got:?}");
            assert!(is_not_run, "{n}: {got:?}");
        }
    });
}

/// What arrived on the links while an instance was frozen itself is read before
/// it takes a process for one that doesn't answer.
#[test]
fn an_instance_that_was_frozen_itself_forwards_at_once() {
    block_on(async {
        let (_site, near, _far, _target) = start(&["far"]).await;
        near.process.freeze();
        let waiting = async {
            tokio::time::sleep(FROZEN_TIME).await;
            near.process.thaw();
        };
        let (got, ()) = tokio::join!(deposit(&near, 1), waiting);
        assert_eq!(got.status, StatusCode::OK, "{got:?}");
        let got = deposit(&near, 2).await;
        assert_eq!(got.status, StatusCode::OK, "{got:?}");
    });
}
