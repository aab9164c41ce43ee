//! What an instance takes on is bounded by its descriptors.

use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use support::block_on;
use support::node::KeptConnection;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::SlowReader;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::Limits;
use support::node::site::until;

/// Descriptors of an instance, 200 of which are for files.
const DESCRIPTORS: u64 = 320;

/// Callers' connections that such an instance may have.
const LIMIT: usize = 71;

/// More connections than that.
const CALLERS: usize = 160;

/// Time in which a request that can't be served is refused.
const PROMPT: Duration = Duration::from_secs(3);

/// Starts a target, and an instance with few descriptors.
async fn tight() -> (Site, PlatformTarget, Node) {
    let mut site = Site::start().await;
    site.limit(Limits {
        descriptors: DESCRIPTORS,
        ..Limits::default()
    });
    let target = PlatformTarget::start("i-1").await;
    site.register(&target, "orders", "north-a");
    let node = site.spawn("one", "north-a", "north");
    node.until_ready(true).await;
    (site, target, node)
}

fn status(id: &str) -> Call {
    Call::new(id, "/status/1").key(KEY)
}

/// Failure: connections that callers kept and did not use filled the instance,
/// until it was killed or could accept no other one.
#[test]
fn idle_connections_give_way_to_new_callers() {
    block_on(async {
        let (_site, _target, node) = tight().await;
        let mut kept = Vec::new();
        for n in 0..CALLERS {
            let mut conn = KeptConnection::open(node.front).await;
            let sent = conn.send(&status(&format!("r-{n}"))).await;
            assert_eq!(sent, Ok(StatusCode::OK), "caller {n}");
            kept.push(conn);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let closed = kept.iter().filter(|conn| conn.is_closed()).count();
        assert!(closed >= CALLERS - LIMIT, "only {closed} were closed");
        assert!(!kept[CALLERS - 1].is_closed(), "the last one was closed");
    });
}

/// Failure: at the last descriptor callers hung, or those with open requests
/// lost them.
#[test]
fn callers_beyond_the_limit_are_refused_and_open_requests_are_kept() {
    block_on(async {
        let (_site, target, node) = tight().await;
        let mut open = Vec::new();
        for n in 0..LIMIT {
            let mut caller = SlowReader::open(node.front).await;
            let head = format!(
                "POST /status/1 HTTP/1.1\r\nhost: desk.example\r\nrequest-id: r-{n}\r\n\
                 authorization: Bearer {KEY}\r\ncontent-length: 4\r\n\r\n12"
            );
            caller.write(&head).await;
            open.push(caller);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let started = Instant::now();
        let got = status("beyond").send(node.front).await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{got:?}");
        assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
        assert!(!got.header("retry-after").is_empty(), "{got:?}");
        assert_eq!(got.header("connection"), "close");
        assert!(
            got.body.contains("\"overloaded\",\"ran\":\"not_run\""),
            "{got:?}"
        );
        until("the limit is in the log", async || {
            node.logged().contains("limit of a resource reached")
        })
        .await;
        for mut caller in open {
            caller.write("34").await;
            let answer = caller.read_to("\r\n\r\n").await.expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        assert_eq!(target.arrivals().len(), LIMIT);
        let got = status("after").send(node.front).await;
        assert_eq!(got.status, StatusCode::OK, "{got:?}");
    });
}

/// Failure: with no descriptor left, a new caller hung until others had gone.
#[test]
fn a_caller_is_answered_though_the_system_has_no_descriptors_left() {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        site.register(&target, "orders", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        node.process.limit_further_descriptors(20);
        let mut kept = Vec::new();
        for _ in 0..30 {
            kept.push(KeptConnection::open(node.front).await);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let late = status("late");
        let got = tokio::time::timeout(PROMPT, late.exchange(node.front)).await;
        let got = got.expect("an answer in time").expect("an answer");
        match got.status {
            StatusCode::OK => {}
            status => {
                assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{got:?}");
                assert!(!got.header("retry-after").is_empty(), "{got:?}");
            }
        }
    });
}
