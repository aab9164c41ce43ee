//! Requests that were read whole get an answer, or an end that can be told.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::catalog::ClientLimits;
use chiverelay_gateway::GaugeValues;
use chiverelay_gateway::Metrics;
use chiverelay_platform::caller_server::respond;
use chiverelay_platform::exchange::Exchange;
use chiverelay_platform::exchange::ExchangeGuard;
use hyper::StatusCode;
use serde_json::json;
use support::block_on;
use support::node::After;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Scripted;
use support::node::ScriptedTarget;
use support::node::Site;
use support::node::call;
use support::node::call::Call;
use support::node::scripted::PAUSE_MARK;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Head of a stream, and a first event in a chunk of its own.
const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n";

/// The second event, and the end of the stream.
const LAST_EVENT: &str = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// Marks of a silence between two events, of two seconds or somewhat more.
const SILENCE_MARKS: usize = 34;

/// An answer with two events, and a silence between them.
fn silent_for_a_while() -> Scripted {
    let text = [FIRST_EVENT, &PAUSE_MARK.repeat(SILENCE_MARKS), LAST_EVENT].concat();
    Scripted::new(&text, After::Keep)
}

/// Starts an instance before one scripted target of the model.
async fn model(script: Scripted) -> (Site, ScriptedTarget, Node) {
    let site = Site::start().await;
    let target = ScriptedTarget::start(vec![script]).await;
    site.register_at("i-1", target.address, "model", "north-a");
    let node = site.instance("one", "north-a", "north").await;
    (site, target, node)
}

/// Failure: a stream was cut as its target paused, with no other target to go
/// on at, though the target went on.
#[test]
fn a_stream_whose_target_pauses_goes_on_if_there_is_no_other_target() {
    block_on(async {
        let (_site, target, node) = model(silent_for_a_while()).await;
        let got = Call::new("r-1", "/quote/1").key(KEY).send(node.front).await;
        assert_eq!(got.status, StatusCode::OK);
        assert!(got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1, 2]);
        assert_eq!(target.requests().len(), 1);
    });
}

/// Failure: a stream was cut as its target paused, with no attempt left, though
/// the target went on.
#[test]
fn a_stream_whose_last_target_pauses_goes_on() {
    block_on(async {
        let site = Site::start().await;
        let cut = PlatformTarget::start("i-1").await;
        cut.set(Mode::Cut(1));
        site.register(&cut, "model", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        let resumed = FIRST_EVENT.replace("id: 1", "id: 2") + &PAUSE_MARK.repeat(SILENCE_MARKS);
        let resumed = resumed + &LAST_EVENT.replace("id: 2", "id: 3");
        let pausing = ScriptedTarget::start(vec![Scripted::new(&resumed, After::Keep)]).await;
        let third = PlatformTarget::start("i-3").await;
        let streaming = Call::new("r-1", "/quote/1").key(KEY);
        let streaming = streaming.send(node.front);
        let joining = async {
            until("the stream has begun", async || !cut.arrivals().is_empty()).await;
            site.register_at("i-2", pausing.address, "model", "north-a");
            until("the stream goes on", async || {
                !pausing.requests().is_empty()
            })
            .await;
            site.register(&third, "model", "north-a");
        };
        let (got, ()) = tokio::join!(streaming, joining);
        assert!(got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1, 2, 3]);
        assert!(third.arrivals().is_empty(), "the route allows two targets");
    });
}

/// Failure: a stream stayed with a target that had fallen silent, though
/// another target could take it over.
#[test]
fn a_stream_whose_target_falls_silent_moves_to_another_target() {
    block_on(async {
        let silent = Scripted::new(FIRST_EVENT, After::Silent);
        let (site, target, node) = model(silent).await;
        let other = PlatformTarget::start("i-2").await;
        other.set(Mode::Events(2));
        let streaming = Call::new("r-1", "/quote/1").key(KEY);
        let streaming = streaming.send(node.front);
        let joining = async {
            until("the stream has begun", async || {
                !target.requests().is_empty()
            })
            .await;
            site.register(&other, "model", "north-a");
        };
        let (got, ()) = tokio::join!(streaming, joining);
        assert!(got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1, 2, 3]);
        assert_eq!(other.arrivals()[0].header("last-event-id"), "1");
    });
}

/// Failure: the caller got a closed connection and no byte of an answer whose
/// first event had arrived, as the next bytes of the target were malformed.
#[test]
fn what_came_of_an_answer_goes_out_before_it_breaks_off() {
    block_on(async {
        let text = [FIRST_EVENT, "no chunk\r\n"].concat();
        let (_site, _target, node) = model(Scripted::new(&text, After::Close)).await;
        let call = Call::new("r-1", "/chat/1").key(KEY);
        let got = call.exchange(node.front).await.expect("a head");
        assert_eq!(got.status, StatusCode::OK);
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1]);
    });
}

/// Failure: a request that ended without an answer was counted nowhere.
#[test]
fn a_caller_that_leaves_is_told_from_an_answer_that_is_broken_off() {
    block_on(async {
        let site = Site::start().await;
        let slow = PlatformTarget::start("i-1").await;
        slow.set(Mode::Slow(Duration::from_secs(5)));
        site.register(&slow, "orders", "north-a");
        let cut = PlatformTarget::start("i-2").await;
        cut.set(Mode::Cut(1));
        site.register(&cut, "model", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        let leaving = Call::new("r-left", "/status/1").key(KEY);
        let leaving =
            tokio::time::timeout(Duration::from_millis(300), leaving.exchange(node.front));
        assert!(leaving.await.is_err());
        let got = Call::new("r-cut", "/chat/1")
            .key(KEY)
            .send(node.front)
            .await;
        assert!(!got.whole);
        for cause in ["caller left", "broken off"] {
            let series = format!("chiverelay_unanswered_requests_total{{cause=\"{cause}\"}} 1");
            until("the end is counted", async || {
                let got = call::get(node.metrics, "/metrics").await;
                got.is_ok_and(|got| got.body.contains(&series))
            })
            .await;
        }
        let page = call::get(node.metrics, "/metrics").await.expect("metrics");
        let counted = page.body.matches("chiverelay_unanswered_requests_total{");
        assert_eq!(counted.count(), 2, "{}", page.body);
        let log = node.logged();
        let mut ends = log.lines().filter(|l| l.contains("got no complete answer"));
        assert!(ends.all(|line| line.contains("r-cut")), "{log}");
    });
}

/// How a task ends that has an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskEnd {
    Panic,
    Cancel,
}

/// Ends a task with an open request, and checks the cause that is counted.
fn check_task_end(end: TaskEnd, cause: &str) {
    block_on(async {
        let metrics = Arc::new(Metrics::new());
        let exchange = Exchange::new(&ClientLimits::default());
        let guard = ExchangeGuard::new(exchange.clone(), Arc::clone(&metrics));
        let task = tokio::spawn(async move {
            let _guard = guard;
            exchange.request_read("r-1".into(), None);
            assert_eq!(end, TaskEnd::Cancel);
            std::future::pending::<()>().await;
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
        task.abort();
        assert!(task.await.is_err());
        let text = metrics.render(&GaugeValues::default());
        let series = format!("chiverelay_unanswered_requests_total{{cause=\"{cause}\"}} 1");
        assert!(text.contains(&series), "{text}");
    });
}

// Failure: a panic or a cancelled task ended a request, and the log blamed its
// caller or said nothing.
support::cases! {
    check_task_end:
    a_request_whose_task_panics_is_counted(TaskEnd::Panic, "panicked");
    a_request_whose_task_is_cancelled_is_counted(TaskEnd::Cancel, "cancelled");
}

/// Checks the status that a request gets whose handling panics.
fn check_handler_panic(is_read: bool, expected: StatusCode) {
    block_on(async {
        let exchange = Exchange::new(&ClientLimits::default());
        if is_read {
            exchange.request_read("r-1".into(), None);
        }
        let got = respond(&exchange, async { panic!("a fault of the program") }).await;
        assert_eq!(got.status(), expected);
    });
}

// Failure: a panic closed the connection of a request, which got no answer.
support::cases! {
    check_handler_panic:
    a_request_whose_handling_panics_may_have_run(true, StatusCode::BAD_GATEWAY);
    a_request_whose_reading_panics_has_not_run(false, StatusCode::SERVICE_UNAVAILABLE);
}

/// Failure: a number of a caller overflowed a sum, and the panic ended the
/// request without an answer.
#[test]
fn a_request_with_absurd_token_counts_gets_an_answer() {
    block_on(async {
        let site = Site::start().await;
        let mut config = configuration(4);
        config["tenants"][0]["rate_per_s"] = json!(0);
        site.store.put("op/config", &config);
        let target = PlatformTarget::start("i-1").await;
        target.set(Mode::Slow(Duration::from_millis(500)));
        site.register(&target, "model", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        let counts = format!("{},{}", u64::MAX, u64::MAX);
        let parts = format!("a1:{0},b2:{0}", u32::MAX);
        let calls = (0..4).map(|n| {
            let call = Call::new(&format!("r-{n}"), "/chat/1").key(KEY);
            let call = call.header("token-usage", &counts);
            let call = call.header("prompt-prefix", &parts);
            async move { call.exchange(node.front).await }
        });
        for got in futures_util::future::join_all(calls).await {
            got.expect("an answer or a refusal");
        }
        let plain = Call::new("r-plain", "/chat/1").key(KEY);
        plain.exchange(node.front).await.expect("an answer");
        assert!(!node.logged().contains("panicked"), "{}", node.logged());
    });
}
