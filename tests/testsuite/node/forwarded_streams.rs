//! Streams that an instance in another region relays, and their end if that
//! instance, its target or the link to it fails.

use std::time::Duration;

use chiverelay_sibling::Frame;
use hyper::StatusCode;
use support::block_on;
use support::cases;
use support::node::Got;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::ScriptedInstance;
use support::node::Site;
use support::node::Step;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Starts an answer after `ran` attempts.
fn head(ran: u32, content_type: &str) -> Vec<Step> {
    let header = |name: &str, value: &str| (name.to_owned(), value.as_bytes().to_vec());
    let head = Frame::Head {
        status: 200,
        headers: vec![
            header("server-stamp", "s"),
            header("content-type", content_type),
        ],
    };
    vec![Step::Send(Frame::Ran(ran)), Step::Send(head)]
}

fn stream(ran: u32) -> Vec<Step> {
    head(ran, "text/event-stream")
}

fn event(id: u64) -> Step {
    let text = format!("id: {id}\ndata: piece {id}\n\n");
    Step::Send(Frame::Data(text.into_bytes()))
}

fn half_an_event() -> Step {
    Step::Send(Frame::Data(b"id: 9\nda".to_vec()))
}

fn end() -> Step {
    Step::Send(Frame::End)
}

/// An instance, and two scripted ones of the region that has the only target.
struct Regions {
    _site: Site,
    near: Node,
    far: ScriptedInstance,
    _target: PlatformTarget,
}

impl Regions {
    async fn start(scripts: Vec<Vec<Step>>) -> Self {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-south").await;
        site.register(&target, "model", "south-a");
        let near = site.instance("near", "north-a", "north").await;
        let far = ScriptedInstance::start(&site, "near", &["far", "farther"], scripts).await;
        until("both links are up", async || {
            near.logged().matches("link is up").count() == 2
        })
        .await;
        Self {
            _site: site,
            near,
            far,
            _target: target,
        }
    }

    async fn call(&self, path: &str) -> Got {
        Call::new("r-1", path).key(KEY).send(self.near.front).await
    }
}

fn check_break_before_the_first_event(path: &str, status: u16, forwards: usize) {
    block_on(async {
        let mut broken = stream(1);
        broken.push(half_an_event());
        let whole = [stream(1), vec![event(1), event(2), end()]].concat();
        let regions = Regions::start(vec![broken, whole]).await;
        let got = regions.call(path).await;
        assert_eq!(got.status.as_u16(), status, "{got:?}");
        assert!(got.whole, "{got:?}");
        assert_eq!(regions.far.forwards().len(), forwards);
    });
}

// Failure: the head of a forwarded stream went out before its first event, and
// the stream was cut though nothing of it had reached the caller.
cases! {
    check_break_before_the_first_event:
    a_resumable_stream_without_an_event_is_tried_elsewhere("/quote/1", 200, 2);
    another_stream_without_an_event_is_answered_as_unknown("/chat/1", 502, 1);
}

/// Failure: a forwarded stream whose first event came late was cut or tried
/// again.
#[test]
fn a_stream_whose_first_event_is_late_is_waited_for() {
    block_on(async {
        let mut late = stream(1);
        late.push(Step::Pause(Duration::from_millis(2500)));
        late.extend([event(1), event(2), end()]);
        let regions = Regions::start(vec![late]).await;
        let got = regions.call("/quote/1").await;
        assert!(got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1, 2]);
        assert_eq!(regions.far.forwards().len(), 1);
    });
}

/// Failure: a forwarded stream without any event did not end by its deadline.
#[test]
fn a_stream_without_an_event_ends_at_its_deadline() {
    block_on(async {
        let mut silent = stream(1);
        silent.push(Step::Pause(Duration::from_secs(20)));
        let regions = Regions::start(vec![silent]).await;
        let call = Call::new("r-1", "/quote/1").key(KEY);
        let call = call.header("request-deadline", "1000");
        let got = call.send(regions.near.front).await;
        assert_eq!(got.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(regions.far.forwards().len(), 1);
    });
}
