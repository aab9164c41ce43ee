//! Answers reach callers whole, or end in an error that can be seen.

use std::time::Duration;

use chiverelay_standin::faults::Faults;
use chiverelay_standin::faults::Flaw;
use serde_json::json;
use support::block_on;
use support::caller;
use support::cases;
use support::site::Site;
use support::site::document;
use support::site::eventually;

/// Words of the answers.
const WORDS: u64 = 6;

fn ask(words: u64) -> serde_json::Value {
    json!({"model": "taller-llm", "stream": true, "max_tokens": words, "messages": []})
}

fn check_flaw(region: &str, faults: Faults) {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (engine, address) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", address, region)], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        engine.script.set(faults);
        let caller = site.daemon("lima-1").caller;
        let answer = caller::post(caller, "/v1/chat/completions", &key, &ask(WORDS))
            .await
            .expect("the head of an answer");
        let text = answer.text();
        assert!(!answer.whole, "passed on as whole: {text}");
        assert!(!text.contains("[DONE]"), "passed on as whole: {text}");
        let error = text
            .rsplit_once("event: error\ndata: ")
            .unwrap_or_else(|| panic!("no error event: {text}"))
            .1;
        let error: serde_json::Value = serde_json::from_str(error.trim()).expect("JSON");
        assert_eq!(error["error"]["code"], "target_failed");
        assert_eq!(error["error"]["outcome"], "unknown");
    });
}

fn flaw(flaw: Flaw) -> Faults {
    Faults {
        flaw: Some(flaw),
        ..Faults::default()
    }
}

fn cut_after(pieces: u64) -> Faults {
    Faults {
        cut_after: Some(pieces),
        ..Faults::default()
    }
}

cases! {
    check_flaw:
    no_done("lima", flaw(Flaw::NoDone));
    no_done_forwarded("cusco", flaw(Flaw::NoDone));
    cut_within_an_event("lima", flaw(Flaw::CutEvent));
    cut_within_an_event_forwarded("cusco", flaw(Flaw::CutEvent));
    event_after_the_last("lima", flaw(Flaw::AfterDone));
    doubled_event("lima", flaw(Flaw::Doubled));
    missing_event("lima", flaw(Flaw::Missing));
    cut_between_events("lima", cut_after(3));
    cut_between_events_forwarded("cusco", cut_after(3));
}

#[test]
fn a_route_deadline_ends_the_request() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (engine, address) = site.engine("engine-1", Duration::from_millis(1)).await;
        let mut doc = document(&[("engine-1", address, "lima")], &[]);
        doc["routes"]["chat"]["deadline-ms"] = json!(300);
        site.apply("lima-1", doc).await;
        let key = site.grant("lima-1", "encargos").await.key;
        engine.script.set(Faults {
            delay_ms: 20_000,
            ..Faults::default()
        });
        let caller = site.daemon("lima-1").caller;
        let answer = caller::post(caller, "/v1/chat/completions", &key, &ask(WORDS))
            .await
            .expect("an answer");
        let want = ("deadline_exceeded".to_owned(), "unknown".to_owned());
        assert_eq!(answer.refusal(), want, "{}", answer.text());
    });
}

fn check_leaving(region: &str) {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (engine, address) = site.engine("engine-1", Duration::from_millis(20)).await;
        site.apply("lima-1", document(&[("engine-1", address, region)], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        let caller = site.daemon("lima-1").caller;
        let body = ask(2_000);
        let asked = caller::post(caller, "/v1/chat/completions", &key, &body);
        let left = async {
            eventually("the request runs", async || engine.running() == 1).await;
        };
        tokio::select! {
            answer = asked => panic!("an answer to a request without end: {answer:?}"),
            () = left => {}
        }
        eventually("the request is cancelled", async || engine.cancelled() == 1).await;
        assert_eq!(engine.running(), 0);
    });
}

cases! {
    check_leaving:
    caller_that_leaves_cancels("lima");
    caller_that_leaves_cancels_in_another_region("cusco");
}
