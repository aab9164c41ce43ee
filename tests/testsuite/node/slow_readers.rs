//! Callers that read their answers slowly get them whole.

use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::node::After;
use support::node::Node;
use support::node::Scripted;
use support::node::ScriptedTarget;
use support::node::Site;
use support::node::SlowReader;
use support::node::call;
use support::node::site::configuration;
use support::node::site::until;

/// Size of the answers, in bytes: below what the gateway collects before it
/// answers, and above what a connection takes that nobody reads.
const ANSWER_BYTES: usize = 250_000;

/// A short time limit, in milliseconds.
const SHORT_MS: u64 = 300;

/// A time limit that no test reaches, in milliseconds.
const LONG_MS: u64 = 30_000;

/// Time in which a caller reads nothing, many times the short limit.
const UNREAD: Duration = Duration::from_millis(2500);

/// Time in which a caller reads nothing, longer than the kernel waits for an
/// acknowledgement of a target.
const LONG_UNREAD: Duration = Duration::from_secs(8);

/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_secs(15);

/// Events of a stream: more than a connection takes that nobody reads, and less
/// than it takes together with the HTTP library.
const EVENTS: usize = 130;

/// Text at the end of an answer.
const END: &str = "the end";

/// A long plain answer.
fn long_answer() -> Scripted {
    let body = "a".repeat(ANSWER_BYTES) + END;
    let text = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {{id}}\r\nserver-stamp: s\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    Scripted::new(&text, After::Keep)
}

/// A stream of long events whose target breaks off behind the last one.
fn broken_stream() -> Scripted {
    let data = "a".repeat(1000);
    let event = |n: usize| format!("id: {n}\ndata: {data}\n\n");
    let events: String = (1..=EVENTS).map(event).collect();
    let text = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {{id}}\r\nserver-stamp: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
         {:x}\r\n{events}\r\nno chunk\r\n",
        events.len()
    );
    Scripted::new(&text, After::Close)
}

/// Starts an instance with limits on idle connections and on heads, in
/// milliseconds.
async fn start(script: Scripted, idle_ms: u64, head_ms: u64) -> (Site, ScriptedTarget, Node) {
    let site = Site::start().await;
    let mut config = configuration(4);
    config["limits"]["idle_timeout_ms"] = json!(idle_ms);
    config["limits"]["header_timeout_ms"] = json!(head_ms);
    site.store.put("op/config", &config);
    let target = ScriptedTarget::start(vec![script]).await;
    site.register_at("i-1", target.address, "orders", "north-a");
    site.register_at("i-2", target.address, "model", "north-a");
    let node = site.instance("one", "north-a", "north").await;
    (site, target, node)
}

/// Reads nothing of an answer for longer than a limit on idle connections or
/// heads, then all of it. `next` is sent before the pause.
fn check_pause(idle_ms: u64, head_ms: u64, next: &str, unread: Duration) {
    block_on(async {
        let (_site, _target, node) = start(long_answer(), idle_ms, head_ms).await;
        let mut caller = SlowReader::open(node.front).await;
        caller.send("r-1", "/status/1", DEADLINE).await;
        caller.until_answered().await;
        caller.write(next).await;
        tokio::time::sleep(unread).await;
        let got = caller.read_to(END).await;
        let came = |e: String| format!("only {} bytes came", e.len());
        assert_eq!(got.map(|_| ()).map_err(came), Ok(()));
    });
}

// Failure: a caller that read nothing for a while lost the rest of an answer, as
// a limit that is meant for connections without an open request passed.
support::cases! {
    check_pause:
    an_answer_outlasts_the_limits_on_idle_connections_and_heads(SHORT_MS, SHORT_MS, "", UNREAD);
    an_answer_outlasts_the_limit_on_the_next_head(LONG_MS, SHORT_MS, "POST /st", UNREAD);
    an_answer_outlasts_a_caller_that_takes_nothing_for_long(LONG_MS, LONG_MS, "", LONG_UNREAD);
}

/// Failure: a caller that never read its answer held its connection for ever.
#[test]
fn a_caller_that_never_reads_is_given_up() {
    block_on(async {
        let (_site, _target, node) = start(long_answer(), SHORT_MS, SHORT_MS).await;
        let mut caller = SlowReader::open(node.front).await;
        let deadline = Duration::from_millis(1500);
        caller.send("r-1", "/status/1", deadline).await;
        let series = "chiverelay_unanswered_requests_total{cause=\"time limit\"} 1";
        until("the connection is given up", async || {
            let got = call::get(node.metrics, "/metrics").await;
            got.is_ok_and(|got| got.body.contains(series))
        })
        .await;
        assert!(caller.read_to(END).await.is_err());
    });
}

/// Failure: a caller that read slowly lost events of a stream that had come
/// before its target broke off.
#[test]
fn what_came_of_a_stream_reaches_a_caller_that_pauses() {
    block_on(async {
        let (_site, _target, node) = start(broken_stream(), LONG_MS, LONG_MS).await;
        let mut caller = SlowReader::open(node.front).await;
        caller.send("r-1", "/chat/1", DEADLINE).await;
        caller.until_answered().await;
        tokio::time::sleep(UNREAD).await;
        let got = caller.read_to(END).await;
        let came = got.expect_err("the stream breaks off");
        assert!(came.starts_with("HTTP/1.1 200"), "{came}");
        assert_eq!(came.matches("\ndata: ").count(), EVENTS);
    });
}
