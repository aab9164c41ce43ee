//! Requests whose target is silent for so long that another target is asked,
//! which refuses them late.

use std::time::Duration;

use hyper::StatusCode;
use support::block_on;
use support::node::After;
use support::node::Mode;
use support::node::PlatformTarget;
use support::node::Scripted;
use support::node::ScriptedTarget;
use support::node::SilentAnswer;
use support::node::SilentTarget;
use support::node::Site;
use support::node::Stage;
use support::node::call::Call;
use support::node::silent::EVENTS;
use support::node::site::KEY;
use support::node::site::until;

/// Silence of the first target. It ends after the other one's refusal.
const SILENCE: Duration = Duration::from_millis(3200);

/// Time after which the other target refuses.
const REFUSED_AFTER: Duration = Duration::from_millis(600);

/// Requests that the retry budget needs for two retries.
const OTHER_REQUESTS: usize = 20;

/// Time after which the retry budget counts requests in another interval.
const COUNTED_APART: Duration = Duration::from_millis(250);

/// Asks a silent target, beside one that refuses after a while.
fn check_beside_a_late_refusal(answer: SilentAnswer, service: &str, route: &str, stage: Stage) {
    block_on(async {
        let site = Site::start().await;
        let first = SilentTarget::start_by_path(answer, SILENCE).await;
        site.register_at("i-1", first.address, service, "north-a");
        let node = site.instance("near", "north-a", "north").await;
        let second = PlatformTarget::start("i-2").await;
        second.set(Mode::FullAfter(REFUSED_AFTER));
        let call = Call::new("r-1", &format!("/{route}/{}", stage.segment())).key(KEY);
        let joining = async {
            until("the target has the request", async || {
                !first.requests().is_empty()
            })
            .await;
            site.register(&second, service, "north-a");
        };
        let (got, ()) = tokio::join!(call.send(node.front), joining);
        assert_eq!(second.arrivals().len(), 1, "{}", node.logged());
        assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
        assert!(got.whole, "{got:?}");
        assert_eq!(first.completed(), ["r-1"]);
    });
}

// Failure: a request was cancelled at its sound target 300 ms after another one
// had got it, which refused it later, and the caller got neither's answer.
support::cases! {
    check_beside_a_late_refusal:
    plain_request_beside_a_late_refusal(
        SilentAnswer::Plain, "orders", "status", Stage::BeforeHead
    );
    stream_without_an_event_beside_a_late_refusal(
        SilentAnswer::Events, "model", "quote", Stage::AfterHead
    );
}

/// Returns the chunks of the events from one number to another.
fn events(from: u64, to: u64) -> String {
    let event = |n: u64| format!("id: {n}\ndata: piece {n}\n\n");
    let chunk = |text: String| format!("{:x}\r\n{text}\r\n", text.len());
    (from..=to).map(event).map(chunk).collect()
}

/// Failure: a stream left its target for one that refused it after more than
/// 300 ms, and ended there although the target that it had left could go on.
#[test]
fn a_stream_goes_back_when_the_other_target_refuses_late() {
    block_on(async {
        let site = Site::start().await;
        let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\
                    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let begun = format!("{head}{}", events(1, 2));
        let rest = format!("{head}{}0\r\n\r\n", events(3, EVENTS));
        let script = vec![
            Scripted::new(&begun, After::Silent),
            Scripted::new(&rest, After::Keep),
        ];
        let first = ScriptedTarget::start(script).await;
        let node = site.instance("near", "north-a", "north").await;
        // Requests without a target, which the retry budget counts.
        for _ in 0..2 {
            for _ in 0..OTHER_REQUESTS {
                Call::new("r-0", "/quote/1").key(KEY).send(node.front).await;
            }
            tokio::time::sleep(COUNTED_APART).await;
        }
        site.register_at("i-1", first.address, "model", "north-a");
        until("the target is known", async || {
            node.logged().contains("target record received")
        })
        .await;
        let second = PlatformTarget::start("i-2").await;
        second.set(Mode::FullAfter(REFUSED_AFTER));
        let call = Call::new("r-1", "/quote/1").key(KEY);
        let joining = async {
            until("the stream has begun", async || {
                !first.requests().is_empty()
            })
            .await;
            site.register(&second, "model", "north-a");
        };
        let (got, ()) = tokio::join!(call.send(node.front), joining);
        assert_eq!(second.arrivals().len(), 1, "{}", node.logged());
        assert!(got.whole, "{got:?}\n{}", node.logged());
        assert_eq!(got.event_ids(), [1, 2, 3, 4]);
    });
}
