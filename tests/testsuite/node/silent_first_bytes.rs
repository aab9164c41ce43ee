//! Sound targets that are silent for longer than after which their request may
//! go to another target, mostly before the first bytes of an answer.

use std::time::Duration;

use futures_util::future::join_all;
use hyper::StatusCode;
use support::block_on;
use support::node::Got;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::SilentAnswer;
use support::node::SilentTarget;
use support::node::Site;
use support::node::Stage;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// A silence after which a request may move, and that ends soon after.
const BEYOND: Duration = Duration::from_millis(2600);

/// Time for which a busy target runs each of its requests.
const BUSY: Duration = Duration::from_millis(3600);

/// Number of requests that are sent to a target to make it busy. It gets as
/// many of them as its queue admits.
const BUSY_REQUESTS: usize = 64;

/// Time in which a request that is sent reaches its target.
const SETTLE: Duration = Duration::from_millis(200);

/// Sends a request until it is not refused for want of a target.
async fn send_until_placed(node: &Node, path: &str) -> Got {
    let mut got = None;
    until("a target takes the request", async || {
        let call = Call::new("moved", path).key(KEY);
        let answer = call.exchange(node.front).await.expect("an answer");
        let is_placed = answer.status != StatusCode::SERVICE_UNAVAILABLE;
        got = Some(answer);
        is_placed
    })
    .await;
    got.expect("an answer")
}

// Failure: the gateway gave up a sound target for one whose queue was too long
// for the request, and the caller got a 504.
#[test]
fn a_request_stays_while_the_queue_of_the_other_target_is_too_long() {
    block_on(async {
        let site = Site::start().await;
        let busy = SilentTarget::start_by_path(SilentAnswer::Plain, BUSY).await;
        site.register_at("i-2", busy.address, "orders", "north-a");
        let node = site.instance("near", "north-a", "north").await;
        let others = (0..BUSY_REQUESTS).map(|i| {
            let call = Call::new(&format!("other-{i}"), "/deposit/before-head").key(KEY);
            let front = node.front;
            async move { call.exchange(front).await }
        });
        let asking = async {
            until("the queue is full", async || {
                let count = busy.requests().len();
                tokio::time::sleep(SETTLE).await;
                count > 0 && busy.requests().len() == count
            })
            .await;
            let silent = SilentTarget::start_by_path(SilentAnswer::Plain, BEYOND).await;
            site.register_at("i-1", silent.address, "orders", "north-a");
            let got = send_until_placed(&node, "/status/before-head").await;
            (got, silent.requests())
        };
        let (_, (got, arrivals)) = tokio::join!(join_all(others), asking);
        assert_eq!(arrivals.iter().filter(|id| *id == "moved").count(), 1);
        assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
    });
}

/// Asks a silent target, beside one that refuses every request as not run.
fn check_beside_full(answer: SilentAnswer, service: &str, route: &str, stage: Stage) {
    block_on(async {
        let site = Site::start().await;
        let silent = SilentTarget::start_by_path(answer, BEYOND).await;
        site.register_at("i-1", silent.address, service, "north-a");
        let node = site.instance("near", "north-a", "north").await;
        let full = PlatformTarget::start("i-3").await;
        full.set(Mode::Full);
        let path = format!("/{route}/{}", stage.segment());
        let asking = send_until_placed(&node, &path);
        let joining = async {
            until("the target has the request", async || {
                !silent.requests().is_empty()
            })
            .await;
            site.register(&full, service, "north-a");
        };
        let (got, ()) = tokio::join!(asking, joining);
        assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
    });
}

// Failure: a request left a sound target before another one had taken it, and
// was refused as that one was full.
support::cases! {
    check_beside_full:
    plain_request_beside_a_full_target(
        SilentAnswer::Plain, "orders", "status", Stage::BeforeHead
    );
    stream_beside_a_full_target(SilentAnswer::Events, "model", "quote", Stage::AfterHead);
}

/// Failure: a stream that stayed at its target took two retries from the budget
/// for the one request that the other target refused.
#[test]
fn a_stream_that_stays_takes_one_retry_for_each_request_sent() {
    block_on(async {
        let site = Site::start().await;
        let silent = SilentTarget::start_by_path(SilentAnswer::Events, BEYOND).await;
        site.register_at("i-1", silent.address, "model", "north-a");
        let node = site.instance("near", "north-a", "north").await;
        let full = PlatformTarget::start("i-3").await;
        full.set(Mode::Full);
        let path = format!("/quote/{}", Stage::WithinBody.segment());
        let asking = send_until_placed(&node, &path);
        let joining = async {
            until("the target has the request", async || {
                !silent.requests().is_empty()
            })
            .await;
            site.register(&full, "model", "north-a");
        };
        let (got, ()) = tokio::join!(asking, joining);
        assert!(got.whole, "{got:?}");
        assert_eq!(full.arrivals().len(), 1);
        until("the log is written", async || {
            node.logged().contains("relayed answer ended")
        })
        .await;
        let taken = node.logged().matches("retry budget checked").count();
        assert_eq!(taken, 1, "{}", node.logged());
    });
}

/// Silence of a target that both a move and a time limit outlast.
const LONG: Duration = Duration::from_millis(3000);

/// Silence of the target that a request moves to. It ends after that of the
/// first one.
const SHORTER: Duration = Duration::from_millis(1200);

/// Silence of the target that a request moves to. It ends before that of the
/// first one.
const SOON: Duration = Duration::from_millis(400);

/// Asks a target that is silent for [`LONG`], beside one that joins and is
/// silent for a while before it answers.
fn check_left_target(answer: SilentAnswer, service: &str, call: Call, silence: Duration) {
    block_on(async {
        let site = Site::start().await;
        let first = SilentTarget::start_by_path(answer, LONG).await;
        site.register_at("i-1", first.address, service, "north-a");
        let node = site.instance("near", "north-a", "north").await;
        let second = SilentTarget::start_by_path(answer, silence).await;
        let joining = async {
            until("the target has the request", async || {
                !first.requests().is_empty()
            })
            .await;
            site.register_at("i-2", second.address, service, "north-a");
        };
        let (got, ()) = tokio::join!(call.send(node.front), joining);
        assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
        assert!(got.whole, "{got:?}");
        assert_eq!(second.completed(), ["moved"]);
        assert!(first.completed().is_empty(), "{}", node.logged());
    });
}

fn moved(path: &str) -> Call {
    Call::new("moved", path).key(KEY)
}

// Failure: a request that had moved went on at the silent target that it had
// left: one that starts anew until the caller had its answer, one that goes on
// after an event until the other target answered.
support::cases! {
    check_left_target:
    a_request_is_cancelled_at_the_first_target_once_another_has_begun(
        SilentAnswer::Plain, "orders", moved("/status/before-head"), SOON
    );
    a_stream_that_goes_on_is_cancelled_at_the_first_target_before_the_other_answers(
        SilentAnswer::Events,
        "model",
        moved("/quote/before-head").header("last-event-id", "1"),
        SHORTER
    );
}
