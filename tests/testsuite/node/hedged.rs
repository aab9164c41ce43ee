//! Requests whose target is silent for so long that another target or region is
//! asked, which refuses them late.

use std::time::Duration;

use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step as At;
use chiverelay_sibling::Frame;
use hyper::StatusCode;
use serde_json::json;
use support::block_on;
use support::node::After;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Scripted;
use support::node::ScriptedInstance;
use support::node::ScriptedTarget;
use support::node::SilentAnswer;
use support::node::SilentTarget;
use support::node::Site;
use support::node::Stage;
use support::node::Step;
use support::node::call::Call;
use support::node::scripted::PAUSE_MARK;
use support::node::silent::EVENTS;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Silence of the first target. It ends after the other one's refusal.
const SILENCE: Duration = Duration::from_millis(3200);

/// Time after which the other target or region refuses.
const REFUSED_AFTER: Duration = Duration::from_millis(600);

/// Pauses after which a target cuts its stream.
const CUT_AFTER_MARKS: usize = 8;

/// Silence of the target at which a stream is resumed. It is longer than that
/// after which a request may move.
const RESUMED_SILENCE: Duration = Duration::from_millis(2700);

/// Time after which another region answers a request, later than its first
/// target breaks off.
const ANSWERED_AFTER: Duration = Duration::from_millis(1500);

/// Pauses after which a silent target breaks off, once the other region has the
/// request.
const BROKEN_AFTER_MARKS: usize = 45;

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

/// Sends requests that no target can take, which the retry budget counts.
async fn send_without_target(node: &Node) {
    for _ in 0..2 {
        for _ in 0..OTHER_REQUESTS {
            Call::new("r-0", "/quote/1").key(KEY).send(node.front).await;
        }
        tokio::time::sleep(COUNTED_APART).await;
    }
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
        send_without_target(&node).await;
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

/// Failure: a request was cancelled at its sound target before the region that
/// it was forwarded to had taken it, which refused it.
#[test]
fn a_request_stays_until_another_region_has_taken_it() {
    block_on(async {
        let site = Site::start().await;
        let first = SilentTarget::start_by_path(SilentAnswer::Plain, SILENCE).await;
        site.register_at("i-1", first.address, "orders", "north-a");
        let other = PlatformTarget::start("i-2").await;
        site.register(&other, "orders", "south-a");
        let node = site.instance("near", "north-a", "north").await;
        let refusal = Refusal::not_run(Code::Overloaded, At::Dispatch, Peer::Local);
        let script = vec![
            Step::Pause(REFUSED_AFTER),
            Step::Send(Frame::Refused(refusal)),
        ];
        let far = ScriptedInstance::start(&site, "near", &["far"], vec![script]).await;
        until("the link is up", async || {
            node.logged().contains("link is up")
        })
        .await;
        let path = format!("/status/{}", Stage::BeforeHead.segment());
        let got = Call::new("r-1", &path).key(KEY).send(node.front).await;
        assert_eq!(far.forwards().len(), 1, "{}", node.logged());
        assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
        assert_eq!(first.completed(), ["r-1"]);
    });
}

/// Failure: a stream that was resumed at a target of its region left it, as it
/// was silent, for another region, which nobody asked, and was cut.
#[test]
fn a_resumed_stream_stays_in_its_region() {
    block_on(async {
        let site = Site::start().await;
        let mut document = configuration(4);
        document["routes"][2]["max_attempts"] = json!(4);
        document["routes"][2]["timeout_ms"] = json!(6000);
        site.store.put("op/config", &document);
        let head = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\
                    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let pause = PAUSE_MARK.repeat(CUT_AFTER_MARKS);
        let cut = Scripted::new(&format!("{head}{}{pause}", events(1, 2)), After::Reset);
        let first = ScriptedTarget::start(vec![cut]).await;
        let node = site.instance("near", "north-a", "north").await;
        send_without_target(&node).await;
        site.register_at("i-1", first.address, "model", "north-a");
        let other = PlatformTarget::start("i-3").await;
        site.register(&other, "model", "south-a");
        let far = ScriptedInstance::start(&site, "near", &["far"], vec![vec![]]).await;
        until("the link is up", async || {
            node.logged().contains("link is up")
        })
        .await;
        let second = SilentTarget::start_by_path(SilentAnswer::Events, RESUMED_SILENCE).await;
        let path = format!("/quote/{}", Stage::BeforeHead.segment());
        let call = Call::new("r-1", &path).key(KEY);
        let joining = async {
            until("the stream has begun", async || {
                !first.requests().is_empty()
            })
            .await;
            site.register_at("i-2", second.address, "model", "north-a");
        };
        let (got, ()) = tokio::join!(call.send(node.front), joining);
        assert!(got.whole, "{got:?}\n{}", node.logged());
        assert_eq!(got.event_ids(), [1, 2, 3, 4]);
        assert_eq!(second.completed(), ["r-1"]);
        assert!(far.forwards().is_empty());
    });
}

/// Failure: a request was given up in the region that ran it, as the silent
/// target that it had been sent to first broke off, and was refused.
#[test]
fn a_request_that_another_region_runs_outlasts_the_end_of_its_first_target() {
    block_on(async {
        let site = Site::start().await;
        let pause = PAUSE_MARK.repeat(BROKEN_AFTER_MARKS);
        let cut = Scripted::new(&pause, After::Reset);
        let first = ScriptedTarget::start(vec![cut]).await;
        site.register_at("i-1", first.address, "orders", "north-a");
        let other = PlatformTarget::start("i-2").await;
        site.register(&other, "orders", "south-a");
        let node = site.instance("near", "north-a", "north").await;
        let head = Frame::Head {
            status: StatusCode::OK.as_u16(),
            headers: Vec::new(),
        };
        let script = vec![
            Step::Pause(ANSWERED_AFTER),
            Step::Send(Frame::Ran(1)),
            Step::Send(head),
            Step::Send(Frame::End),
        ];
        let far = ScriptedInstance::start(&site, "near", &["far"], vec![script]).await;
        until("the link is up", async || {
            node.logged().contains("link is up")
        })
        .await;
        let got = Call::new("r-1", "/status/1")
            .key(KEY)
            .send(node.front)
            .await;
        assert_eq!(far.forwards().len(), 1, "{}", node.logged());
        assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
    });
}
