//! One request that crashes targets and is asked for again and again, before
//! running instances.

use std::time::Duration;

use hyper::StatusCode;
use support::block_on;
use support::node::CrashingTarget;
use support::node::Node;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// The last part of the deadly request's prompt, which no other request has.
const DEADLY: &str = "dead1";

/// Targets in each of the two regions.
const TARGETS: usize = 3;

/// Times that the request is asked for at each instance.
const REPEATS: usize = 8;

/// Time between two requests at an instance, in which targets start again.
const PAUSE: Duration = Duration::from_millis(300);

/// Most targets that may end: the two that make the request suspended, and one
/// for each instance that has not heard of them.
const MAX_CRASHES: usize = 4;

fn call(id: &str, last_part: &str) -> Call {
    Call::new(id, &format!("/quote/{last_part}"))
        .key(KEY)
        .header("prompt-prefix", &format!("ca7a:200,{last_part}:20"))
        .header("token-usage", "220,20")
}

async fn is_sound_served(node: &Node) -> bool {
    let got = call("sound", "1").send(node.front).await;
    got.status.is_success() && got.whole
}

/// A request was sent to targets on and on though it had ended three of them:
/// each time it came with another id, and the part that it shares with others
/// is sound.
#[test]
fn a_request_that_crashes_targets_is_suspended_in_all_regions() {
    block_on(async {
        let site = Site::start().await;
        let mut targets = Vec::new();
        for i in 0..2 * TARGETS {
            let target = CrashingTarget::start(DEADLY).await;
            let zone = ["north-a", "south-a"][i % 2];
            site.register_at(&format!("i-{i}"), target.address, "model", zone);
            targets.push(target);
        }
        let near = site.instance("near", "north-a", "north").await;
        let far = site.instance("far", "south-a", "south").await;
        let nodes = [&near, &far];
        for node in nodes {
            until("sound requests are served", async || {
                is_sound_served(node).await
            })
            .await;
        }

        let mut refused = 0;
        for n in 0..REPEATS {
            for (i, node) in nodes.into_iter().enumerate() {
                let got = call(&format!("deadly-{n}-{i}"), DEADLY)
                    .send(node.front)
                    .await;
                assert!(!(got.status.is_success() && got.whole));
                if got.status == StatusCode::SERVICE_UNAVAILABLE {
                    assert!(got.body.contains(r#""ran":"not_run""#), "{}", got.body);
                    refused += 1;
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        let crashes: usize = targets.iter().map(CrashingTarget::crashes).sum();
        assert!(
            crashes <= MAX_CRASHES,
            "{crashes} targets ended, {refused} of {} requests refused",
            2 * REPEATS
        );
        for node in nodes {
            until("sound requests are served beside it", async || {
                is_sound_served(node).await
            })
            .await;
        }
    });
}
