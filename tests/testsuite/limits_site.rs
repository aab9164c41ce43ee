//! Limits over separate processes.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use support::block_on;
use support::caller;
use support::site::Site;
use support::site::document;
use support::site::eventually;
use tokio::task::JoinSet;

const PATH: &str = "/v1/chat/completions";

/// Tokens a second and at once.
const RATE: u64 = 400;
const BURST: u64 = 2000;

/// Tokens of an answer, all of which are charged and used.
const ANSWER: u64 = 50;

fn body() -> serde_json::Value {
    json!({"model": "taller-llm", "stream": false, "max_tokens": ANSWER, "messages": []})
}

async fn site(daemons: &[(&str, &str)], rate: u64, burst: u64) -> (Site, String) {
    let site = Site::start(daemons).await;
    let (_, address) = site.engine("engine-1", Duration::ZERO).await;
    let region = daemons[0].1;
    let mut document = document(&[("engine-1", address, region)], &[]);
    document["accounts"]["encargos"] = json!({"rate": rate, "burst": burst});
    site.apply(daemons[0].0, document).await;
    let key = site.grant(daemons[0].0, "encargos").await.key;
    (site, key)
}

/// Sends requests to every daemon at once for some time; returns the answers.
async fn flood(site: &Site, key: &str, time: Duration) -> u64 {
    let served = Arc::new(AtomicU64::new(0));
    let mut callers = JoinSet::new();
    let start = Instant::now();
    for daemon in site.daemons.values() {
        for _ in 0..2 {
            let (address, key, served) = (daemon.caller, key.to_owned(), Arc::clone(&served));
            callers.spawn(async move {
                while start.elapsed() < time {
                    let answer = caller::post(address, PATH, &key, &body()).await;
                    if answer.is_ok_and(|a| a.status.is_success()) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    }
    callers.join_all().await;
    served.load(Ordering::Relaxed)
}

fn allowed(elapsed: Duration) -> f64 {
    BURST as f64 + RATE as f64 * elapsed.as_secs_f64()
}

#[test]
fn all_instances_together_keep_the_limit_also_when_one_dies() {
    block_on(async {
        let daemons = [("lima-1", "lima"), ("lima-2", "lima"), ("cusco-1", "cusco")];
        let (mut site, key) = site(&daemons, RATE, BURST).await;
        let start = Instant::now();
        let mut served = flood(&site, &key, Duration::from_secs(3)).await;
        assert!(
            (served * ANSWER) as f64 <= allowed(start.elapsed()),
            "{served}"
        );
        assert!(served > 0);
        site.daemon_mut("lima-2").process.kill();
        site.daemons.remove("lima-2");
        served += flood(&site, &key, Duration::from_secs(3)).await;
        assert!(
            (served * ANSWER) as f64 <= allowed(start.elapsed()),
            "{served}"
        );
        // The others go on, and get the dead one's part in the end.
        eventually("the account is served again", async || {
            flood(&site, &key, Duration::from_millis(100)).await > 0
        })
        .await;
    });
}

/// A request may cost more than any one instance holds.
#[test]
fn tokens_that_lie_elsewhere_are_used_before_a_refusal() {
    block_on(async {
        let daemons = [("lima-1", "lima"), ("lima-2", "lima"), ("cusco-1", "cusco")];
        let (site, key) = site(&daemons, 20_000, 20_000).await;
        let address = site.daemon("lima-1").caller;
        // The parts are a quarter, a quarter and a half of the burst.
        let body = json!({"model": "taller-llm", "max_tokens": 14_000, "messages": []});
        eventually("a large request is served", async || {
            let answer = caller::post(address, PATH, &key, &body).await;
            answer.is_ok_and(|a| a.status.is_success())
        })
        .await;
        let status = site.daemon("lima-1").client().status().await;
        let counters = status.expect("a status").counters;
        let count = |name: &str| counters.get(name).copied().unwrap_or(0);
        assert!(count("shares.moves kind=loan") > 0, "{counters:?}");
        // lima-1 has a quarter of its own, and the other home as much at most.
        assert!(count("shares.tokens kind=loan") >= 4000, "{counters:?}");
    });
}

/// No lease lapses in the time of the test.
#[test]
fn a_stopped_instance_hands_its_shares_over() {
    block_on(async {
        let mut site = Site::empty().await;
        let store = json!({"address": site.store_address, "lease-seconds": 600});
        for name in ["lima-1", "lima-2"] {
            site.start_daemon(name, "lima", &json!({"store": store}));
        }
        site.joined().await;
        let (_, address) = site.engine("engine-1", Duration::ZERO).await;
        let mut document = document(&[("engine-1", address, "lima")], &[]);
        document["accounts"]["encargos"] = json!({"rate": BURST, "burst": BURST});
        site.apply("lima-1", document).await;
        let key = site.grant("lima-1", "encargos").await.key;
        // More than either holds: the other lends.
        let body = json!({"model": "taller-llm", "max_tokens": 1500, "messages": []});
        let address = site.daemon("lima-1").caller;
        let served = async || {
            let answer = caller::post(address, PATH, &key, &body).await;
            answer.is_ok_and(|a| a.status.is_success())
        };
        eventually("a request is served by both", served).await;
        site.daemon("lima-2").process.terminate();
        assert!(site.daemon_mut("lima-2").process.wait());
        eventually("a request is served by one", served).await;
    });
}
