//! Instances of a region where one pool of many targets is down and another
//! one, of few targets, is sound.

use std::net::SocketAddr;
use std::time::Duration;

use support::block_on;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::path::Cut;
use support::node::path::TargetPath;
use support::node::site::KEY;
use support::node::site::until;
use support::node::store_view::StoreView;

/// Targets of the pool that is down.
const DOWN: usize = 10;

/// Targets of the pool that is sound.
const SOUND: usize = 2;

async fn send(front: SocketAddr, id: &str, path: &str) -> bool {
    let got = Call::new(id, path).key(KEY).send(front).await;
    got.status.is_success() && got.whole
}

/// Sends requests of both pools to an instance, and returns how many of the
/// sound pool's were served.
async fn press(node: &Node, name: &str, requests: usize) -> usize {
    let calls = (0..requests).map(|n| async move {
        tokio::time::sleep(Duration::from_millis(20) * n as u32).await;
        let (down, sound) = (format!("d-{name}-{n}"), format!("s-{name}-{n}"));
        let calls = (
            send(node.front, &down, "/status/1"),
            send(node.front, &sound, "/chat/1"),
        );
        tokio::join!(calls.0, calls.1).1
    });
    let served = futures_util::future::join_all(calls).await;
    served.into_iter().filter(|is_served| *is_served).count()
}

/// Guards against instances that take themselves for cut off from all targets
/// as all those that a round of probes has drawn are of one pool that is down.
#[test]
fn a_large_pool_that_is_down_is_no_cut_from_a_small_one() {
    block_on(async {
        let site = Site::start().await;
        let (mut targets, mut paths, mut replaced) = (Vec::new(), Vec::new(), Vec::new());
        for (pool, count) in [("orders", DOWN), ("model", SOUND)] {
            for n in 0..count {
                let target = PlatformTarget::start(&format!("i-{pool}-{n}")).await;
                if pool == "model" {
                    target.set(Mode::Events(2));
                }
                let path = TargetPath::start(target.address).await;
                replaced.push((target.address, path.address));
                site.register(&target, pool, "north-a");
                targets.push(target);
                paths.push(path);
            }
        }
        let view = StoreView::start(site.store.address, replaced).await;
        let first = site.spawn_before("first", "north-a", "north", view.address);
        let second = site.spawn_before("second", "north-a", "north", view.address);
        for node in [&first, &second] {
            node.until_ready(true).await;
            until("the instances are linked", async || {
                node.logged().contains("link is up")
            })
            .await;
            until("requests are answered", async || {
                send(node.front, "first", "/status/1").await
            })
            .await;
        }
        for path in &paths[..DOWN] {
            path.set(Cut::Reset);
        }
        let served = tokio::join!(press(&first, "a", 300), press(&second, "b", 300));
        let cuts = [&first, &second].map(|node| {
            let log = node.logged();
            log.matches("cut off from all targets").count()
        });
        assert_eq!((served, cuts), ((300, 300), [0, 0]));
    });
}
