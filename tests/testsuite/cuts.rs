//! Regions that lose each other and the store.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::caller;
use support::caller::Answer;
use support::site::Site;
use support::site::document;
use support::site::eventually;

async fn ask(address: SocketAddr, key: &str) -> Answer {
    let body = json!({"model": "taller-llm", "max_tokens": 2, "messages": []});
    caller::post(address, "/v1/chat/completions", key, &body)
        .await
        .expect("an answer")
}

/// A region without links serves its own callers from its own targets, and
/// refuses honestly what only another region can answer.
#[test]
fn region_on_its_own_serves_its_callers() {
    block_on(async {
        let site = Site::start_linked(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (near, near_address) = site.engine("near", Duration::from_millis(1)).await;
        let (_, far_address) = site.engine("far", Duration::from_millis(1)).await;
        let mut doc = document(&[("near", near_address, "lima")], &[]);
        doc["routes"]["questions"] = json!({
            "path": "/v1/chat/completions", "model": "far", "pool": "far", "accounts": ["encargos"],
        });
        doc["pools"]["far"] = json!({"kind": "engine", "targets": {
            "far": {"address": far_address, "region": "cusco", "zone": "cusco-a"},
        }});
        site.apply("lima-1", doc).await;
        let key = site.grant("lima-1", "encargos").await.key;
        site.cut("lima-1");
        let lima = site.daemon("lima-1");
        eventually("lima-1 hears nobody", async || {
            let status = lima.client().status().await.expect("a status");
            status.siblings.iter().all(|s| s.state == "unreachable")
        })
        .await;

        let answer = ask(lima.caller, &key).await;
        assert!(answer.whole && answer.status.is_success(), "{answer:?}");
        assert_eq!(answer.json()["system_fingerprint"], "near");
        let body = json!({"model": "far", "messages": []});
        let refused = caller::post(lima.caller, "/v1/chat/completions", &key, &body)
            .await
            .expect("an answer");
        let want = ("unavailable".to_owned(), "not_run".to_owned());
        assert_eq!(refused.refusal(), want, "{}", refused.text());

        site.mend("lima-1");
        site.joined().await;
        let answer = caller::post(lima.caller, "/v1/chat/completions", &key, &body)
            .await
            .expect("an answer");
        assert!(answer.whole && answer.status.is_success(), "{answer:?}");
        drop(near);
    });
}

/// With the store out, requests go on as before.
#[test]
fn store_outage_stops_no_request() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (_, engine) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", engine, "cusco")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        site.store.script.set(chiverelay_standin::faults::Faults {
            refuse: true,
            ..Default::default()
        });
        for name in ["lima-1", "cusco-1"] {
            let answer = ask(site.daemon(name).caller, &key).await;
            assert!(answer.whole && answer.status.is_success(), "{answer:?}");
        }
    });
}
