//! Placement by daemons before stand-in engines, and replayed traces.

use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_registry::api::CRITICAL;
use chiverelay_registry::api::PASSING;
use chiverelay_standin::faults::Faults;
use serde_json::json;
use support::block_on;
use support::caller;
use support::platform::RunningRegistry;
use support::site::Site;
use support::site::document;
use support::site::eventually;

/// Asks with a long prompt and returns the engine that answered.
async fn ask(address: SocketAddr, key: &str, prompt: &str) -> String {
    let body = json!({
        "model": "taller-llm", "max_tokens": 1,
        "messages": [{"role": "user", "content": prompt.repeat(100)}],
    });
    let answer = caller::post(address, "/v1/chat/completions", key, &body)
        .await
        .expect("an answer");
    let name = &answer.json()["system_fingerprint"];
    name.as_str().unwrap_or_default().to_owned()
}

#[test]
fn a_prompt_goes_where_its_prefix_is_cached() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (_, one) = site.engine("engine-1", Duration::from_millis(1)).await;
        let (_, two) = site.engine("engine-2", Duration::from_millis(1)).await;
        let document = document(&[("engine-1", one, "lima"), ("engine-2", two, "lima")], &[]);
        site.apply("lima-1", document).await;
        let key = site.grant("lima-1", "encargos").await.key;
        let address = site.daemon("lima-1").caller;
        let lantern = ask(address, &key, "the catalogue of tin lanterns").await;
        let frame = ask(address, &key, "the catalogue of retablo frames").await;
        assert_ne!(lantern, frame);
        // Without the view, the engine that has read less lately is chosen.
        for _ in 0..3 {
            for _ in 0..3 {
                let again = ask(address, &key, "the catalogue of tin lanterns").await;
                assert_eq!(again, lantern);
            }
            for _ in 0..3 {
                let again = ask(address, &key, "the catalogue of retablo frames").await;
                assert_eq!(again, frame);
            }
        }
    });
}

#[test]
fn a_leaving_target_gets_no_new_work_at_any_instance() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("lima-2", "lima")]).await;
        let (leaving, one) = site.engine("engine-1", Duration::from_millis(1)).await;
        let (_, two) = site.engine("engine-2", Duration::from_millis(1)).await;
        let document = document(&[("engine-1", one, "lima"), ("engine-2", two, "lima")], &[]);
        site.apply("lima-1", document).await;
        let key = site.grant("lima-1", "encargos").await.key;
        leaving.reports.set_leaving(true);
        // Only one of the instances polls the engine.
        for name in ["lima-1", "lima-2"] {
            let address = site.daemon(name).caller;
            gets_work(address, &key, false).await;
        }
        leaving.reports.set_leaving(false);
        let address = site.daemon("lima-2").caller;
        gets_work(address, &key, true).await;
    });
}

/// Waits until the first engine gets some of twenty requests, or none.
async fn gets_work(address: SocketAddr, key: &str, want: bool) {
    eventually("the engine gets work, or none", async || {
        for i in 0..20 {
            if ask(address, key, &format!("question {want} {i}")).await == "engine-1" {
                return want;
            }
        }
        !want
    })
    .await;
}

/// The platform's list alone says that an engine leaves, which itself says
/// nothing of it.
#[test]
fn a_target_that_the_platform_calls_leaving_gets_no_new_work() {
    block_on(async {
        let registry = RunningRegistry::start(Duration::ZERO).await;
        let mut site = Site::empty().await;
        let settings = json!({"registry": {"address": registry.address}});
        site.start_daemon("lima-1", "lima", &settings);
        let (_, one) = site.engine("engine-1", Duration::from_millis(1)).await;
        let (_, two) = site.engine("engine-2", Duration::from_millis(1)).await;
        let document = document(&[("engine-1", one, "lima"), ("engine-2", two, "lima")], &[]);
        site.apply("lima-1", document).await;
        let key = site.grant("lima-1", "encargos").await.key;
        registry.state.set_status("engine-1", CRITICAL);
        let address = site.daemon("lima-1").caller;
        gets_work(address, &key, false).await;
        registry.state.set_status("engine-1", PASSING);
        gets_work(address, &key, true).await;
    });
}

#[test]
fn a_busy_target_lets_requests_wait_and_serves_them_all() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (engine, address) = site.engine("engine-1", Duration::from_millis(5)).await;
        let mut document = document(&[("engine-1", address, "lima")], &[]);
        document["pools"]["engines"]["slots"] = json!(1);
        site.apply("lima-1", document).await;
        let key = site.grant("lima-1", "encargos").await.key;
        let address = site.daemon("lima-1").caller;
        let mut asks = tokio::task::JoinSet::new();
        for i in 0..20 {
            let key = key.clone();
            asks.spawn(async move { ask(address, &key, &format!("question {i}")).await });
        }
        let answers = asks.join_all().await;
        assert!(answers.iter().all(|a| a == "engine-1"), "{answers:?}");
        assert_eq!(engine.taken(), 20);
        // Before the next request is placed, the slot is counted as taken.
        assert_eq!(engine.peak(), 1);
    });
}

#[test]
fn a_target_that_refuses_is_left_out() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (refusing, one) = site.engine("engine-1", Duration::from_millis(1)).await;
        let (_, two) = site.engine("engine-2", Duration::from_millis(1)).await;
        let document = document(&[("engine-1", one, "lima"), ("engine-2", two, "lima")], &[]);
        site.apply("lima-1", document).await;
        let key = site.grant("lima-1", "encargos").await.key;
        refusing.script.set(Faults {
            refuse: true,
            ..Faults::default()
        });
        let address = site.daemon("lima-1").caller;
        for i in 0..20 {
            let name = ask(address, &key, &format!("question {i}")).await;
            assert_eq!(name, "engine-2");
        }
        assert_eq!(refusing.taken(), 0);
    });
}

/// A request that may be repeated goes elsewhere when its sibling is silent.
#[test]
fn a_frozen_sibling_costs_no_repeatable_request() {
    block_on(async {
        let daemons = [
            ("lima-1", "lima"),
            ("cusco-1", "cusco"),
            ("arequipa-1", "arequipa"),
        ];
        let site = Site::start(&daemons).await;
        let (_, one) = site.engine("engine-1", Duration::from_millis(1)).await;
        let (_, two) = site.engine("engine-2", Duration::from_millis(1)).await;
        let document = document(
            &[("engine-1", one, "cusco"), ("engine-2", two, "arequipa")],
            &[],
        );
        site.apply("lima-1", document).await;
        let key = site.grant("lima-1", "encargos").await.key;
        let address = site.daemon("lima-1").caller;
        site.daemon("cusco-1").process.freeze();
        let mut asks = tokio::task::JoinSet::new();
        for i in 0..8 {
            let key = key.clone();
            asks.spawn(async move { ask(address, &key, &format!("question {i}")).await });
        }
        let answers = asks.join_all().await;
        site.daemon("cusco-1").process.thaw();
        assert!(answers.iter().all(|a| a == "engine-2"), "{answers:?}");
    });
}
