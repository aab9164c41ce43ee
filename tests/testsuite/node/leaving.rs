//! A target whose answers say that it is leaving, before running instances.

use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Requests to each instance after it got an answer that says so.
const REQUESTS: usize = 20;

fn call(id: &str) -> Call {
    Call::new(id, "/status/1").key(KEY)
}

/// Writes the target's record once more, still as ready.
fn write_record(site: &Site, target: &PlatformTarget, started_ms: u64, sequence: u64) {
    let record = json!({
        "service": "orders", "address": target.address.to_string(), "zone": "north-a",
        "version": "v1", "slots": 6, "state": "ready", "warmup_left_ms": 0,
        "sequence": sequence, "born": started_ms,
    });
    site.store.put(&format!("servers/{}", target.name), &record);
}

/// A target that said in its answers that it was leaving got requests until its
/// record said so too: from the instance that its callers reach, and from the
/// one that another region's instance forwards to.
fn check_a_leaving_target_gets_nothing(mode: Mode) {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        let started_ms = 1_700_000_000_000;
        write_record(&site, &target, started_ms, 1);
        let near = site.instance("near", "north-a", "north").await;
        let far = site.instance("far", "south-a", "south").await;
        let nodes = [&near, &far];
        for node in nodes {
            until("requests are served", async || {
                call("warm").send(node.front).await.status.is_success()
            })
            .await;
        }

        target.set(mode);
        // Forwarded, so that the answer goes through both instances.
        call("told").send(far.front).await;
        until("the answer is noted", async || {
            near.logged().contains("target says that it is leaving")
        })
        .await;
        target.set(Mode::Answer);
        let before = target.arrivals().len();
        for n in 0..REQUESTS {
            write_record(&site, &target, started_ms, 2 + n as u64);
            for node in nodes {
                let got = call(&format!("r-{n}")).send(node.front).await;
                assert_eq!(got.status.as_u16(), 503);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(target.arrivals().len(), before);

        write_record(&site, &target, started_ms + 1, 100);
        for node in nodes {
            until("the next process is served", async || {
                call("next").send(node.front).await.status.is_success()
            })
            .await;
        }
    });
}

cases! {
    check_a_leaving_target_gets_nothing:
    that_says_so_in_an_answer(Mode::Leaving);
    that_says_so_in_a_refusal(Mode::FullAndLeaving);
}
