//! One request from caller to target and back, over separate processes.

use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::caller;
use support::site::Site;
use support::site::document;

fn ask(stream: bool) -> serde_json::Value {
    json!({"model": "taller-llm", "stream": stream, "max_tokens": 4, "messages": []})
}

#[test]
fn streams_from_the_own_region() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (_, engine) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", engine, "lima")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        let address = site.daemon("lima-1").caller;
        let answer = caller::post(address, "/v1/chat/completions", &key, &ask(true))
            .await
            .expect("an answer");
        assert!(answer.whole);
        assert!(answer.text().contains("word3"), "{}", answer.text());
        assert!(answer.text().ends_with("data: [DONE]\n\n"));
    });
}

#[test]
fn forwards_to_another_region() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (_, engine) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("cusco-1", document(&[("engine-1", engine, "cusco")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        let address = site.daemon("lima-1").caller;
        let answer = caller::post(address, "/v1/chat/completions", &key, &ask(false))
            .await
            .expect("an answer");
        assert!(answer.whole);
        assert_eq!(answer.json()["system_fingerprint"], "engine-1");
    });
}

#[test]
fn refuses_a_wrong_key_as_not_run() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (service, address) = site.service().await;
        site.apply("lima-1", document(&[], &[("orders-1", address, "lima")]))
            .await;
        let answer = caller::post(
            site.daemon("lima-1").caller,
            "/deposits",
            "ck_0.wrong",
            &json!({"order": 1}),
        )
        .await
        .expect("an answer");
        let want = ("unauthenticated".to_owned(), "not_run".to_owned());
        assert_eq!(answer.refusal(), want);
        assert!(service.runs().is_empty());
    });
}
