//! Requests with a prompt part that crashes targets, before running instances.

use hyper::StatusCode;
use support::block_on;
use support::node::CrashingTarget;
use support::node::Node;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// The part that crashes targets.
const DEADLY: &str = "dead1";

/// The first part of all prompts.
const CATALOG: &str = "ca7a";

/// Sound requests to each instance before the first deadly one.
const SOUND_REQUESTS: usize = 60;

/// Requests with the part that are sent to each instance once both refuse it.
const LATER_REQUESTS: usize = 10;

fn call(id: &str, prompt: &str) -> Call {
    Call::new(id, "/quote/1")
        .key(KEY)
        .header("prompt-prefix", prompt)
        .header("token-usage", "300,20")
}

fn sound(n: usize) -> Call {
    call(&format!("sound-{n}"), &format!("{CATALOG}:200,{n:x}:20"))
}

fn deadly(n: usize) -> Call {
    let prompt = format!("{CATALOG}:200,{DEADLY}:50,{n:x}:20");
    call(&format!("deadly-{n}"), &prompt)
}

async fn send_sound(nodes: [&Node; 2], first: usize, count: usize) -> usize {
    let mut served = 0;
    for n in first..first + count {
        for (i, node) in nodes.into_iter().enumerate() {
            let got = sound(2 * n + i).send(node.front).await;
            served += usize::from(got.status.is_success() && got.whole);
        }
    }
    served
}

/// Requests with one prompt part crashed target after target: each was retried
/// at another target, and nothing kept the next one away.
#[test]
fn requests_with_a_part_that_crashes_targets_are_refused_in_all_regions() {
    block_on(async {
        let site = Site::start().await;
        let mut targets = Vec::new();
        for (i, zone) in ["north-a", "north-a", "south-a", "south-a"]
            .iter()
            .enumerate()
        {
            let target = CrashingTarget::start(DEADLY).await;
            site.register_at(&format!("i-{i}"), target.address, "model", zone);
            targets.push(target);
        }
        let crashes = || targets.iter().map(CrashingTarget::crashes).sum::<usize>();
        let near = site.instance("near", "north-a", "north").await;
        let far = site.instance("far", "south-a", "south").await;
        let nodes = [&near, &far];
        until("sound requests are served", async || {
            send_sound(nodes, 0, 1).await == 2
        })
        .await;
        send_sound(nodes, 1, SOUND_REQUESTS).await;

        let mut sent = 0;
        until("both instances refuse the part", async || {
            let mut refused = 0;
            for node in nodes {
                sent += 1;
                let got = deadly(sent).send(node.front).await;
                refused += usize::from(got.status == StatusCode::BAD_REQUEST);
            }
            send_sound(nodes, 1_000 + 10 * sent, 2).await;
            refused == 2
        })
        .await;

        let before = crashes();
        for _ in 0..LATER_REQUESTS {
            for node in nodes {
                sent += 1;
                let got = deadly(sent).send(node.front).await;
                assert_eq!(got.status, StatusCode::BAD_REQUEST);
                assert!(got.body.contains(r#""ran":"not_run""#), "{}", got.body);
                assert!(got.body.contains(DEADLY), "{}", got.body);
                assert_eq!(got.header("retry-after"), "");
            }
        }
        assert_eq!(crashes(), before, "targets crashed by refused requests");
        until(
            "sound requests with the same first part are served",
            async || send_sound(nodes, 100_000, 1).await == 2,
        )
        .await;
    });
}
