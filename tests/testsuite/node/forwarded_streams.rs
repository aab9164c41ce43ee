//! Streams that an instance in another region relays, and their end if that
//! instance, its target or the link to it fails.

use std::time::Duration;

use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::step;
use chiverelay_decisions::step::Peer;
use chiverelay_sibling::Frame;
use hyper::StatusCode;
use support::block_on;
use support::cases;
use support::node::Got;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::ScriptedInstance;
use support::node::Site;
use support::node::Step;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Time in which a new record reaches a running instance.
const RECORD_TIME: Duration = Duration::from_millis(800);

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

fn lost() -> Step {
    let refusal = Refusal::unknown(Code::TargetFailed, step::Step::Answer, Peer::Local);
    Step::Send(Frame::Refused(refusal))
}

/// An instance, and two scripted ones of the region that has the only target.
struct Regions {
    site: Site,
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
            site,
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

/// Failure: an instance passed on a status that HTTP doesn't have, and callers got
/// it as an answer.
fn a_forwarded_status_outside_the_protocol_is_no_answer(status: u16) {
    block_on(async {
        let head = Frame::Head {
            status,
            headers: vec![("server-stamp".to_owned(), b"s".to_vec())],
        };
        let text = Frame::Data(b"text".to_vec());
        let script = [Frame::Ran(1), head, text, Frame::End].map(Step::Send);
        let regions = Regions::start(vec![script.to_vec()]).await;
        let got = regions.call("/chat/1").await;
        assert_eq!(got.status, StatusCode::BAD_GATEWAY, "{got:?}");
        assert_eq!(got.header("server-stamp"), "");
        assert_eq!(regions.far.forwards().len(), 1);
    });
}

cases! {
    a_forwarded_status_outside_the_protocol_is_no_answer:
    a_forwarded_status_0(0);
    a_forwarded_status_99(99);
    a_forwarded_status_101(101);
    a_forwarded_status_600(600);
    a_forwarded_status_1000(1000);
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

/// How a forwarded stream breaks off after its first event.
fn broken(ran: u32, by: Vec<Step>) -> Vec<Step> {
    [stream(ran), vec![event(1)], by].concat()
}

fn check_resumed_at_another_instance(by: Vec<Step>) {
    block_on(async {
        let rest = [stream(1), vec![event(2), event(3), end()]].concat();
        let regions = Regions::start(vec![broken(1, by), rest]).await;
        let got = regions.call("/quote/1").await;
        assert!(got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1, 2, 3]);
        let forwards = regions.far.forwards();
        assert_eq!(forwards.len(), 2);
        assert_eq!(forwards[1].last_event_id, Some(1));
        assert_eq!(forwards[1].attempts, 1);
    });
}

// Failure: a forwarded stream was cut at the caller as the other instance or
// the link to it failed, though it could go on through another instance.
cases! {
    check_resumed_at_another_instance:
    a_stream_cut_between_events_goes_on_elsewhere(vec![]);
    a_stream_cut_within_an_event_goes_on_elsewhere(vec![half_an_event()]);
    a_stream_given_up_there_goes_on_elsewhere(vec![lost()]);
}

/// Failure: a forwarded stream was cut at the caller, though a target of the
/// own region could take it.
#[test]
fn a_forwarded_stream_goes_on_at_home() {
    block_on(async {
        let cut = broken(1, vec![Step::Pause(2 * RECORD_TIME)]);
        let regions = Regions::start(vec![cut]).await;
        let home = PlatformTarget::start("i-north").await;
        home.set(Mode::Events(2));
        let joining = async {
            regions.far.until_forwards(1).await;
            regions.site.register(&home, "model", "north-a");
        };
        let (got, ()) = tokio::join!(regions.call("/quote/1"), joining);
        assert!(got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1, 2, 3]);
        assert_eq!(home.arrivals()[0].header("last-event-id"), "1");
    });
}

/// Failure: a forwarded answer was cut as a store that came back from an older
/// copy had the record of the process before.
#[test]
fn an_answer_outlasts_the_return_of_an_older_record() {
    block_on(async {
        let whole = [stream(1), vec![event(1), end()]].concat();
        let mut slow = stream(1);
        slow.extend([event(1), Step::Pause(Duration::from_secs(2))]);
        slow.extend([event(2), end()]);
        let regions = Regions::start(vec![whole, slow]).await;
        regions.far.announce_former(&regions.site);
        let copy = regions.site.store.copy();
        regions.far.announce(&regions.site);
        until("forwards are answered", async || {
            regions.call("/chat/1").await.status == StatusCode::OK
        })
        .await;
        let restoring = async {
            regions.far.until_forwards(2).await;
            regions.site.store.restore(copy);
            regions.site.store.cut_watches();
        };
        let (got, ()) = tokio::join!(regions.call("/chat/1"), restoring);
        assert!(
            got.whole,
            "{:?}\n{}",
            got.event_ids(),
            regions.near.logged()
        );
        assert_eq!(got.event_ids(), [1, 2]);
    });
}

fn check_not_resumed(path: &str, scripts: Vec<Vec<Step>>, forwards: usize) {
    block_on(async {
        let regions = Regions::start(scripts).await;
        let got = regions.call(path).await;
        assert_eq!(got.status, StatusCode::OK);
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1]);
        assert_eq!(regions.far.forwards().len(), forwards);
    });
}

/// The rest of a stream as an answer of another kind.
fn plain_rest() -> Vec<Step> {
    [head(1, "text/plain"), vec![event(2), end()]].concat()
}

// Failure: a forwarded stream went on though it may not be repeated or had no
// attempt left, or with an answer of another kind.
cases! {
    check_not_resumed:
    a_stream_that_may_not_be_repeated_stays_cut(
        "/chat/1",
        vec![broken(1, vec![])],
        1,
    );
    a_stream_without_attempts_left_stays_cut(
        "/quote/1",
        vec![broken(2, vec![])],
        1,
    );
    a_stream_resumed_there_without_attempts_left_stays_cut(
        "/quote/1",
        vec![broken(1, vec![Step::Send(Frame::Ran(2))])],
        1,
    );
    a_stream_does_not_go_on_with_an_answer_of_another_kind(
        "/quote/1",
        vec![broken(1, vec![]), plain_rest()],
        2,
    );
}

/// Length of a stream of the real instances, in events, of which some are still
/// to come as something is done to an instance.
const EVENTS: u64 = 150;

/// Length of the rest of a stream that goes on elsewhere, in events.
const REST: u64 = 5;

/// Time for which an instance is frozen.
const FREEZE: Duration = Duration::from_secs(2);

/// An instance that forwards to two others, one of which relays a stream.
struct RealRegions {
    site: Site,
    near: Node,
    far: Vec<Node>,
    target: PlatformTarget,
}

impl RealRegions {
    async fn start() -> Self {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-south").await;
        target.set(Mode::Events(EVENTS));
        site.register(&target, "model", "south-a");
        let near = site.instance("near", "north-a", "north").await;
        let mut far = Vec::new();
        for name in ["far", "farther"] {
            far.push(site.instance(name, "south-a", "south").await);
        }
        until("both links are up", async || {
            near.logged().matches("link is up").count() >= 2
        })
        .await;
        Self {
            site,
            near,
            far,
            target,
        }
    }

    /// Waits until one of the instances relays the stream, and returns it.
    async fn until_relayed(&mut self) -> (&Site, &mut Node) {
        let is_relaying = |node: &Node| node.logged().contains("forwarded request handled");
        until("the stream is relayed", async || {
            self.far.iter().any(is_relaying)
        })
        .await;
        let relaying = self.far.iter_mut().find(|node| is_relaying(node));
        (&self.site, relaying.expect("one of them relays it"))
    }
}

/// Failure: a stream ran at more targets than its route allows, as the other
/// instance had resumed it before it gave up.
#[test]
fn resumes_in_the_other_region_count_as_attempts() {
    block_on(async {
        let regions = RealRegions::start().await;
        let second = PlatformTarget::start("i-second").await;
        regions.site.register(&second, "model", "south-a");
        tokio::time::sleep(RECORD_TIME).await;
        for target in [&regions.target, &second] {
            target.set(Mode::Cut(1));
        }
        let call = Call::new("r-1", "/quote/1").key(KEY);
        let got = call.send(regions.near.front).await;
        assert!(!got.whole);
        assert_eq!(got.event_ids(), [1, 2]);
        let runs = regions.target.arrivals().len() + second.arrivals().len();
        assert_eq!(runs, 2, "the route allows two targets");
    });
}

/// What is done to the instance that relays a stream.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    Kill,
    Restart,
    Freeze,
    Terminate,
}

impl Disruption {
    async fn apply(self, site: &Site, node: &mut Node) {
        match self {
            Self::Kill => node.process.kill(),
            Self::Restart => site.restart(node),
            Self::Freeze => {
                node.process.freeze();
                tokio::time::sleep(FREEZE).await;
                node.process.thaw();
            }
            Self::Terminate => node.process.terminate(),
        }
    }
}

fn check_disrupted_relay(disruption: Disruption, runs: usize) {
    block_on(async {
        let mut regions = RealRegions::start().await;
        let call = Call::new("r-1", "/quote/1").key(KEY);
        let front = regions.near.front;
        let streaming = call.send(front);
        let disrupting = async {
            let (site, node) = regions.until_relayed().await;
            disruption.apply(site, node).await;
            regions.target.set(Mode::Events(REST));
        };
        let (got, ()) = tokio::join!(streaming, disrupting);
        assert!(got.whole, "{:?}", got.event_ids());
        let ids = got.event_ids();
        let expected: Vec<u64> = (1..=ids.len() as u64).collect();
        assert_eq!(ids, expected);
        assert_eq!(regions.target.arrivals().len(), runs);
    });
}

// Failure: a stream was cut, run again or waited for the process before as the
// instance that relayed it was killed, restarted, frozen or told to stop.
cases! {
    check_disrupted_relay:
    a_stream_through_an_instance_that_is_killed_goes_on(Disruption::Kill, 2);
    a_stream_through_an_instance_that_restarts_goes_on(Disruption::Restart, 2);
    a_stream_through_an_instance_that_freezes_goes_on(Disruption::Freeze, 1);
    a_stream_through_an_instance_that_stops_ends_whole(Disruption::Terminate, 1);
}

/// Failure: a request that came as an instance of the other region was told to
/// stop got no answer, though the other one there could serve it.
#[test]
fn requests_are_served_as_an_instance_of_the_other_region_stops() {
    block_on(async {
        let regions = RealRegions::start().await;
        regions.target.set(Mode::Events(3));
        for n in 0..40 {
            if n == 10 {
                regions.far[0].process.terminate();
            }
            let call = Call::new(&format!("r-{n}"), "/chat/1").key(KEY);
            let got = call.send(regions.near.front).await;
            assert_eq!(got.status, StatusCode::OK, "{n}: {got:?}");
            assert!(got.whole, "{n}: {got:?}");
        }
        assert_eq!(regions.target.arrivals().len(), 40);
    });
}
