//! Requests around the end of a planned stop, at running instances.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Scripted;
use support::node::ScriptedTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::scripted::After;
use support::node::scripted::PAUSE_MARK;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time after which the platform kills an instance that it told to stop.
const GRACE: Duration = Duration::from_secs(8);

/// Time of the late requests: too late for the slow target, and before the
/// last of the grace period.
const LATE: Duration = Duration::from_millis(6500);

/// Time that the slow target takes.
const SLOW: Duration = Duration::from_secs(20);

/// Starts an instance before a slow target of both pools, and another one that
/// callers can move to. Routes allow more time than the grace period.
async fn start() -> (Site, PlatformTarget, PlatformTarget, Node, Node) {
    let site = Site::start().await;
    let mut document = configuration(4);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(30_000);
    }
    site.store.put("op/config", &document);
    let orders = PlatformTarget::start("i-1").await;
    let model = PlatformTarget::start("i-2").await;
    site.register(&orders, "orders", "north-a");
    site.register(&model, "model", "north-a");
    for target in [&orders, &model] {
        target.set(Mode::Slow(SLOW));
    }
    let node = site.instance("one", "north-a", "north").await;
    let other = site.instance("two", "north-a", "north").await;
    (site, orders, model, node, other)
}

/// Sends the head of a request and half of its body.
async fn begin(to: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\nrequest-id: late\r\n\
         request-deadline: 20000\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 8\r\n\r\nques"
    );
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("half a request is sent");
    stream
}

/// Sends the rest of the body and reads up to the end of the connection.
async fn finish(mut stream: TcpStream) -> String {
    let sent = stream.write_all(b"tion").await;
    sent.expect("the rest is sent");
    let mut answer = Vec::new();
    // A connection that is reset ends too; what came before it counts.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a request that comes late in the grace period, is passed on
/// to a target that can't end in time, and is cut without an answer.
fn check_late_request(path: &str, status: u16, arrivals: usize) {
    block_on(async {
        let (_site, orders, model, node, _other) = start().await;
        let stream = begin(node.front, path).await;
        node.process.terminate();
        tokio::time::sleep(LATE).await;
        let sent = Instant::now();
        let answer = finish(stream).await;
        let took = sent.elapsed();
        let line = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&line), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
        assert_eq!(orders.arrivals().len() + model.arrivals().len(), arrivals);
        assert!(took < GRACE - LATE, "answered after {took:?}");
    });
}

cases! {
    check_late_request:
    a_late_request_once_only_is_refused_as_not_run("/deposit/1", 503, 0);
    a_late_stream_that_may_not_go_on_is_refused_as_not_run("/chat/1", 503, 0);
    a_late_stream_that_may_go_on_is_refused_as_not_run("/quote/1", 503, 0);
    a_late_request_that_is_mostly_fast_ends_in_time("/status/1", 504, 1);
}

/// Guards against an open request whose connection closes without an answer as
/// the time for open requests is over.
#[test]
fn a_request_open_at_the_limit_is_answered_as_unknown() {
    block_on(async {
        let (_site, orders, _model, mut node, _other) = start().await;
        let call = Call::new("r-1", "/deposit/1")
            .key(KEY)
            .header("request-deadline", "20000");
        let stopping = async {
            until("the request runs", async || !orders.arrivals().is_empty()).await;
            node.process.terminate();
            let stopped = Instant::now();
            assert!(tokio::task::block_in_place(|| node.process.wait()));
            stopped.elapsed()
        };
        let (got, took) = tokio::join!(call.exchange(node.front), stopping);
        let got = got.expect("an answer");
        assert_eq!(got.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(got.header("connection"), "close");
        assert!(took < GRACE, "ended after {took:?}");
    });
}

/// Length of a prompt whose prefill takes about two seconds, and of the answer.
const LONG_PROMPT: &str = "120000,40";

/// Long prompts that are queued at a target before the stop.
const QUEUED_PROMPTS: usize = 2;

/// Guards against a stream that is taken in a stop although the prompts queued
/// at its target take longer than the rest of the stop.
#[test]
fn a_stream_behind_a_long_queue_is_refused_as_not_run() {
    block_on(async {
        let (_site, _orders, model, node, _other) = start().await;
        let queued = (0..QUEUED_PROMPTS).map(|n| {
            let call = Call::new(&format!("queued-{n}"), "/quote/1")
                .key(KEY)
                .header("request-deadline", "20000")
                .header("token-usage", LONG_PROMPT);
            let front = node.front;
            // The account's share is small at first.
            tokio::spawn(async move { while call.exchange(front).await.is_ok() {} })
        });
        let queued: Vec<_> = queued.collect();
        until("the prompts are queued", async || {
            model.arrivals().len() == QUEUED_PROMPTS
        })
        .await;
        let stream = begin(node.front, "/quote/1").await;
        node.process.terminate();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let answer = finish(stream).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
        assert_eq!(model.arrivals().len(), QUEUED_PROMPTS);
        queued.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

/// Message of an instance that was told of a target by another instance.
const TOLD_BY_ANOTHER: &str = "target changed by what another instance knows";

/// Waits until an instance has logged one of some messages about a target.
async fn until_told(node: &Node, target: &str, messages: &[&str]) {
    let name = format!("\"name\":\"{target}\"");
    until("the instance is told of the target", async || {
        let log = node.logged();
        let mut lines = log.lines().filter(|line| line.contains(&name));
        lines.any(|line| messages.iter().any(|message| line.contains(message)))
    })
    .await;
}

/// Marks of a silence that ends before the open requests are ended.
const SILENCE_MARKS: usize = 90;

/// Guards against a stream that is cut in a planned stop as its target pauses:
/// another target is there, and the stream may not begin there any more.
#[test]
fn a_stream_whose_target_pauses_in_a_stop_stays_with_it() {
    block_on(async {
        let (site, _orders, model, node, _other) = start().await;
        site.store.remove("servers/i-2");
        let text = [
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
             f\r\nid: 1\ndata: a\n\n\r\n",
            &PAUSE_MARK.repeat(SILENCE_MARKS),
            "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
        ];
        let pausing = Scripted::new(&text.concat(), After::Keep);
        let pausing = ScriptedTarget::start(vec![pausing]).await;
        site.register_at("i-3", pausing.address, "model", "north-a");
        // A call at the target before would leave it for the one that pauses.
        until_told(
            &node,
            "i-2",
            &["target record removed", "\"change\":\"Gone\""],
        )
        .await;
        until_told(&node, "i-3", &["target record received", TOLD_BY_ANOTHER]).await;
        // A prompt whose prefill takes longer than the stop leaves later on.
        let call = Call::new("r-1", "/quote/1")
            .key(KEY)
            .header("request-deadline", "20000")
            .header("token-usage", "120000,40");
        let stopping = async {
            until("the stream has begun", async || {
                !pausing.requests().is_empty()
            })
            .await;
            node.process.terminate();
            tokio::time::sleep(Duration::from_millis(2600)).await;
            site.register(&model, "model", "north-a");
        };
        let sending = async {
            let refused = async || call.exchange(node.front).await;
            let mut got = refused().await;
            while got.as_ref().is_ok_and(|got| got.status != StatusCode::OK) {
                tokio::time::sleep(Duration::from_millis(50)).await;
                got = refused().await;
            }
            got.expect("an answer")
        };
        let (got, ()) = tokio::join!(sending, stopping);
        assert!(got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1, 2]);
        assert!(model.arrivals().is_empty());
    });
}
