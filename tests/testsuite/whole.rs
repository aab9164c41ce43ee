//! Answers reach callers whole, or end in an error that can be seen.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_standin::faults::Faults;
use chiverelay_standin::faults::Flaw;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use serde_json::json;
use support::block_on;
use support::caller;
use support::cases;
use support::raw;
use support::site::Site;
use support::site::document;
use support::site::eventually;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

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

/// A target that writes its own bytes, and the path that it answers.
async fn get(site: &Site, key: &str, path: &str) -> caller::Answer {
    let caller = site.daemon("lima-1").caller;
    let req = Request::get(path)
        .header("host", caller.to_string())
        .header("authorization", format!("Bearer {key}"))
        .body(Full::default())
        .expect("a request");
    caller::send(caller, req).await.expect("an answer")
}

async fn raw_site(target: SocketAddr) -> (Site, String) {
    let site = Site::start(&[("lima-1", "lima")]).await;
    site.apply("lima-1", document(&[], &[("orders-1", target, "lima")]))
        .await;
    let key = site.grant("lima-1", "encargos").await.key;
    (site, key)
}

const AT_ONCE: Duration = Duration::ZERO;

fn check_raw(bytes: &'static str) {
    block_on(async {
        let target = raw::target(move |_| vec![(AT_ONCE, bytes.to_owned())], true).await;
        let (site, key) = raw_site(target).await;
        let answer = get(&site, &key, "/orders").await;
        let refused = answer.refusal().1 == "unknown";
        assert!(refused || !answer.whole, "passed on as whole: {answer:?}");
    });
}

cases! {
    check_raw:
    shorter_than_stated("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf");
    no_last_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    cut_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf");
    wrong_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\nhalf\r\n0\r\n\r\n");
    no_length("HTTP/1.1 200 OK\r\n\r\nhalf");
    two_lengths("HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nhalf!");
    status_000("HTTP/1.1 000 Odd\r\ncontent-length: 4\r\n\r\ntext");
    status_101("HTTP/1.1 101 Odd\r\ncontent-length: 4\r\n\r\ntext");
    status_600("HTTP/1.1 600 Odd\r\ncontent-length: 4\r\n\r\ntext");
    status_999("HTTP/1.1 999 Odd\r\ncontent-length: 4\r\n\r\ntext");
    no_http("half an answer\r\n\r\n");
    cut_head("HTTP/1.1 200 OK\r\ncontent-le");
}

/// A target that answers everything twice, the second time late.
fn check_doubled(late: Duration) {
    block_on(async {
        let answer = move |path: &str| {
            let text = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}",
                path.len()
            );
            vec![(AT_ONCE, text.clone()), (late, text)]
        };
        let (site, key) = raw_site(raw::target(answer, false).await).await;
        for i in 0..50 {
            let path = format!("/orders/{i}");
            let answer = get(&site, &key, &path).await;
            assert_eq!(answer.text(), path, "another request's answer");
        }
    });
}

cases! {
    check_doubled:
    answer_doubled_at_once(AT_ONCE);
    answer_doubled_late(Duration::from_millis(1));
    answer_doubled_later(Duration::from_millis(5));
}

#[test]
fn a_broken_stream_is_broken_over_http2() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (engine, address) = site.engine("engine-1", Duration::from_millis(1)).await;
        site.apply("lima-1", document(&[("engine-1", address, "lima")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        engine.script.set(flaw(Flaw::NoDone));
        let caller = site.daemon("lima-1").caller;
        let stream = TcpStream::connect(caller).await.expect("a connection");
        let (mut sender, conn) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .expect("a handshake");
        tokio::spawn(conn);
        let req = Request::post(format!("http://{caller}/v1/chat/completions"))
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(Bytes::from(ask(WORDS).to_string())))
            .expect("a request");
        let mut body = sender.send_request(req).await.expect("a head").into_body();
        let mut data = Vec::new();
        let end = loop {
            match body.frame().await {
                Some(Ok(frame)) => data.extend(frame.into_data().unwrap_or_default()),
                Some(Err(e)) => break Err(e),
                None => break Ok(()),
            }
        };
        assert!(end.is_err(), "passed on as whole");
        assert!(!String::from_utf8_lossy(&data).contains("[DONE]"));
    });
}

#[test]
fn a_slow_caller_holds_back_only_itself() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (engine, address) = site.engine("engine-1", Duration::ZERO).await;
        site.apply("lima-1", document(&[("engine-1", address, "lima")], &[]))
            .await;
        let key = site.grant("lima-1", "encargos").await.key;
        let caller = site.daemon("lima-1").caller;
        let mut slow = TcpStream::connect(caller).await.expect("a connection");
        let body = ask(500_000).to_string();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        slow.write_all(head.as_bytes())
            .await
            .expect("a sent request");
        eventually("the slow one runs", async || engine.running() == 1).await;
        for _ in 0..3 {
            let answer = caller::post(caller, "/v1/chat/completions", &key, &ask(500))
                .await
                .expect("an answer");
            assert!(answer.whole && answer.text().contains("[DONE]"));
        }
        assert_eq!(engine.running(), 1, "the slow one is held back, not ended");
        drop(slow);
        eventually("it is cancelled", async || engine.cancelled() == 1).await;
    });
}

fn numbered(text: &str) -> Vec<String> {
    let words = text.lines().filter_map(|l| {
        let event: serde_json::Value = serde_json::from_str(l.strip_prefix("data: ")?).ok()?;
        let word = event["choices"][0]["delta"]["content"].as_str()?;
        Some(word.trim().to_owned())
    });
    words.collect()
}

/// An engine cuts its stream; another one of the region goes on with it.
fn check_resumed(region: &str, faults: Faults) {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (one, first) = site.engine("engine-1", Duration::from_millis(1)).await;
        let (two, second) = site.engine("engine-2", Duration::from_millis(1)).await;
        let engines = [("engine-1", first, region), ("engine-2", second, region)];
        let mut doc = document(&engines, &[]);
        doc["pools"]["engines"]["resume"] = json!(true);
        site.apply("lima-1", doc).await;
        let key = site.grant("lima-1", "encargos").await.key;
        let caller = site.daemon("lima-1").caller;
        // The first to be asked is cut, the other is not.
        one.script.set(faults.clone());
        two.script.set(faults);
        let body = ask(200);
        let asked = caller::post(caller, "/v1/chat/completions", &key, &body);
        let mend = async {
            eventually("one runs", async || one.running() + two.running() > 0).await;
            let other = if one.running() > 0 { &two } else { &one };
            other.script.set(Faults::default());
        };
        let (answer, ()) = tokio::join!(asked, mend);
        let answer = answer.expect("an answer");
        let text = answer.text();
        let want: Vec<String> = (0..200).map(|i| format!("word{i}")).collect();
        assert_eq!(numbered(&text), want, "{text}");
        assert!(answer.whole && text.ends_with("data: [DONE]\n\n"), "{text}");
        assert_eq!(text.matches("\"usage\"").count(), 1, "{text}");
    });
}

cases! {
    check_resumed:
    resumed_after_a_cut("lima", cut_after(100));
    resumed_after_a_cut_in_another_region("cusco", cut_after(100));
    resumed_after_a_cut_event("lima", flaw(Flaw::CutEvent));
    resumed_after_no_done("lima", flaw(Flaw::NoDone));
}
