//! A target that names a limit in its answers, before running instances.

use futures_util::future::join_all;
use support::block_on;
use support::node::Mode;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Limit of the target, in requests per second.
const LIMIT_PER_S: u32 = 2;

/// Requests to each instance after the target has named its limit.
const REQUESTS: usize = 100;

/// Most requests in four seconds: half as many again as the limit, and five.
const MAX_ARRIVALS: usize = 17;

fn call(id: &str) -> Call {
    Call::new(id, "/status/1").key(KEY)
}

/// A target got far more requests than the limit that it had named in each
/// answer. The rest is refused at once, and told when to come back.
#[test]
fn a_limit_that_a_target_names_holds_over_all_instances() {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        site.register(&target, "orders", "north-a");
        let one = site.instance("one", "north-a", "north").await;
        let two = site.instance("two", "north-a", "north").await;
        let nodes = [&one, &two];
        until("requests are served", async || {
            let got = join_all(nodes.map(|node| {
                let warm = call("warm");
                async move { warm.send(node.front).await }
            }))
            .await;
            got.iter().all(|got| got.status.is_success())
        })
        .await;
        target.set(Mode::Limited(LIMIT_PER_S));
        until("both instances are told", async || {
            for node in nodes {
                call("told").exchange(node.front).await.ok();
            }
            nodes
                .iter()
                .all(|node| node.logged().contains("another request limit"))
        })
        .await;

        let before = target.arrivals().len();
        let started = std::time::Instant::now();
        let mut refused = 0;
        for n in 0..REQUESTS {
            for node in nodes {
                let got = call(&format!("r-{n}")).send(node.front).await;
                if !got.status.is_success() {
                    assert_eq!(got.status.as_u16(), 503);
                    assert_ne!(got.header("retry-after"), "");
                    refused += 1;
                }
            }
        }
        let windows = started.elapsed().as_secs() as usize / 4 + 1;
        let arrived = target.arrivals().len() - before;
        assert!(
            arrived <= MAX_ARRIVALS * windows,
            "{arrived} requests arrived"
        );
        assert_eq!(refused + arrived, 2 * REQUESTS);
    });
}
