//! Kept connections follow the limits of the configuration in force.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::node::KeptConnection;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::SlowReader;
use support::node::call;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Returns a configuration with one limit on callers changed.
fn limited(version: u64, limit: &str, value: u64) -> Value {
    let mut config = configuration(version);
    config["limits"][limit] = json!(value);
    config
}

/// Puts a configuration in force at an instance.
async fn apply(site: &Site, node: &Node, config: &Value) {
    site.store.put("op/config", config);
    let line = format!("chiverelay_catalog_version {}", config["version"]);
    until("the configuration is in force", async || {
        let got = call::get(node.metrics, "/metrics").await;
        got.is_ok_and(|got| got.body.lines().any(|l| l == line))
    })
    .await;
}

/// Starts an instance with a configuration, and opens a connection to it that
/// has carried a request.
async fn kept(config: &Value) -> (Site, PlatformTarget, Node, KeptConnection) {
    let site = Site::start().await;
    site.store.put("op/config", config);
    let target = PlatformTarget::start("i-1").await;
    site.register(&target, "orders", "north-a");
    let node = site.instance("one", "north-a", "north").await;
    let mut conn = KeptConnection::open(node.front).await;
    assert_eq!(conn.send(&status("r-1")).await, Ok(StatusCode::OK));
    (site, target, node, conn)
}

fn status(id: &str) -> Call {
    Call::new(id, "/status/1").key(KEY)
}

/// Failure: a kept connection was closed by the idle limit of its opening, while
/// its caller could still use it under the limit in force.
#[test]
fn an_idle_connection_stays_open_after_the_idle_limit_rises() {
    block_on(async {
        let (site, _target, node, mut conn) = kept(&limited(4, "idle_timeout_ms", 6000)).await;
        apply(&site, &node, &limited(5, "idle_timeout_ms", 30_000)).await;
        tokio::time::sleep(Duration::from_millis(7000)).await;
        assert_eq!(conn.send(&status("r-2")).await, Ok(StatusCode::OK));
    });
}

/// Failure: a kept connection stayed open for the idle limit of its opening,
/// however low the limit in force.
#[test]
fn an_idle_connection_is_closed_by_a_lowered_idle_limit() {
    block_on(async {
        let (site, _target, node, mut conn) = kept(&configuration(4)).await;
        apply(&site, &node, &limited(5, "idle_timeout_ms", 300)).await;
        assert_eq!(conn.send(&status("r-2")).await, Ok(StatusCode::OK));
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert!(conn.is_closed(), "open after many times the limit");
    });
}

/// Failure: an idle time that a caller was promised ended sooner.
#[test]
fn an_idle_time_that_has_begun_is_not_shortened() {
    block_on(async {
        let (site, _target, node, mut conn) = kept(&configuration(4)).await;
        apply(&site, &node, &limited(5, "idle_timeout_ms", 300)).await;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(conn.send(&status("r-2")).await, Ok(StatusCode::OK));
    });
}

/// Failure: a kept connection refused a head that the limit in force allows.
#[test]
fn a_kept_connection_takes_a_head_that_a_raised_limit_allows() {
    block_on(async {
        let (site, _target, node, mut conn) = kept(&limited(4, "max_header_bytes", 16_384)).await;
        apply(&site, &node, &limited(5, "max_header_bytes", 49_152)).await;
        let long = status("r-2").header("x-long", &"a".repeat(40_000));
        assert_eq!(conn.send(&long).await, Ok(StatusCode::OK));
    });
}

/// Failure: a kept connection took a head that the limit in force forbids.
#[test]
fn a_kept_connection_refuses_a_head_over_a_lowered_limit() {
    block_on(async {
        let (site, target, node, mut conn) = kept(&limited(4, "max_header_bytes", 16_384)).await;
        apply(&site, &node, &limited(5, "max_header_bytes", 4096)).await;
        let long = status("r-2").header("x-long", &"a".repeat(8000));
        let got = conn.send(&long).await;
        assert_eq!(got, Ok(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
        assert_eq!(target.arrivals().len(), 1);
    });
}

/// Failure: a head that never ends held its connection for the idle limit, as
/// the limit on heads was not applied.
#[test]
fn a_head_that_does_not_end_is_given_up_by_its_own_limit() {
    block_on(async {
        let (_site, _target, node, mut conn) = kept(&limited(4, "header_timeout_ms", 1000)).await;
        let mut slow = TcpStream::connect(node.front).await.expect("connected");
        slow.write_all(b"GET /status/1 HTTP/1.1\r\nhost: ")
            .await
            .expect("written");
        let mut buf = Vec::new();
        let closed = tokio::time::timeout(Duration::from_secs(8), slow.read_to_end(&mut buf));
        assert!(closed.await.is_ok(), "open though the head doesn't end");
        assert_eq!(conn.send(&status("r-2")).await, Ok(StatusCode::OK));
    });
}

/// Failure: an answer whose body the library leaves out, as that to HEAD, was
/// taken for one that goes on for ever, and its connection had no idle limit.
#[test]
fn an_idle_connection_is_closed_after_a_refused_head_request() {
    block_on(async {
        let (_site, _target, node, _conn) = kept(&limited(4, "idle_timeout_ms", 300)).await;
        let mut caller = SlowReader::open(node.front).await;
        let head = "HEAD /nowhere HTTP/1.1\r\nhost: desk.example\r\nrequest-id: r-2\r\n\r\n";
        caller.write(head).await;
        let answer = caller.read_to("\r\n\r\n").await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
        assert!(caller.read_to("more").await.is_err());
        let page = call::get(node.metrics, "/metrics").await.expect("metrics");
        assert!(
            !page.body.contains("unanswered_requests_total{"),
            "{}",
            page.body
        );
    });
}
