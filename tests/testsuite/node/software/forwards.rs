//! Streams that another instance relays and that go on elsewhere.

use std::time::Duration;

use chiverelay_sibling::Frame;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::ScriptedInstance;
use support::node::Site;
use support::node::Step;
use support::node::site::until;

use super::assert_continued;
use super::start_site;
use super::stream_call;
use super::until_records;

/// Time for which a stream is relayed until it breaks off.
const RELAYED: Duration = Duration::from_millis(1600);

/// What an instance says of the software of a stream's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stated {
    Version(&'static str),
    Unknown,
    Nothing,
}

impl Stated {
    fn frame(self) -> Option<Frame> {
        match self {
            Self::Version(software) => Some(Frame::Software(software.into())),
            Self::Unknown => Some(Frame::SoftwareUnknown),
            Self::Nothing => None,
        }
    }
}

/// Starts a stream.
pub(super) fn stream_of(software: Stated) -> Vec<Step> {
    let header = |name: &str, value: &str| (name.to_owned(), value.as_bytes().to_vec());
    let head = Frame::Head {
        status: 200,
        headers: vec![
            header("server-stamp", "s"),
            header("content-type", "text/event-stream"),
        ],
    };
    let mut steps = vec![Step::Send(Frame::Ran(1))];
    steps.extend(software.frame().map(Step::Send));
    steps.push(Step::Send(head));
    steps
}

pub(super) fn event(id: u64) -> Step {
    let text = format!("id: {id}\ndata: piece {id}\n\n");
    Step::Send(Frame::Data(text.into_bytes()))
}

/// A stream that breaks off after its first event.
fn begun_by(software: Stated) -> Vec<Step> {
    [stream_of(software), vec![event(1), Step::Pause(RELAYED)]].concat()
}

/// The rest of the stream.
fn rest_by(software: Stated) -> Vec<Step> {
    let rest = vec![event(2), event(3), Step::Send(Frame::End)];
    [stream_of(software), rest].concat()
}

/// An instance, and two scripted ones of the region that has the only target.
struct Regions {
    site: Site,
    near: Node,
    far: ScriptedInstance,
    _target: PlatformTarget,
}

impl Regions {
    /// The software is that of the target's record.
    async fn start(software: &str, scripts: Vec<Vec<Step>>) -> Self {
        let site = start_site().await;
        let target = PlatformTarget::start("i-south").await;
        site.register_software(&target, "model", "south-a", software);
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

    /// Has a target of the own region join once the stream was forwarded.
    async fn join_at_home(&self, home: &PlatformTarget, software: &str) {
        self.far.until_forwards(1).await;
        home.set(Mode::Events(2));
        self.site
            .register_software(home, "model", "north-a", software);
        until_records(&self.near, 2).await;
    }
}

/// A stream that "a" began far away, and that breaks off there beside a target
/// of the own region. `last_event` is what the caller has of it before.
fn check_at_home(software: &'static str, last_event: Option<&'static str>, home_requests: usize) {
    block_on(async {
        let regions = Regions::start(
            "a",
            vec![
                begun_by(Stated::Version("a")),
                rest_by(Stated::Version("a")),
            ],
        )
        .await;
        let home = PlatformTarget::start("i-north").await;
        let mut call = stream_call();
        if let Some(last_event) = last_event {
            call = call.header("last-event-id", last_event);
        }
        let joining = regions.join_at_home(&home, software);
        let (got, ()) = tokio::join!(call.send(regions.near.front), joining);
        let logs = regions.near.logged();
        assert!(got.whole, "{got:?}\n{logs}");
        assert_eq!(got.event_ids(), [1, 2, 3]);
        assert_eq!(home.arrivals().len(), home_requests, "{logs}");
        let forwards = regions.far.forwards();
        assert_eq!(forwards.len(), 2 - home_requests);
        if let Some(second) = forwards.get(1) {
            assert_eq!(second.software, Some("a".into()));
        }
        assert_continued(&regions.near, 1).await;
    });
}

// Failure: a stream that broke off on its way through another instance went on
// at a target of other software.
cases! {
    check_at_home:
    a_forwarded_stream_goes_on_at_a_target_of_its_software("a", None, 1);
    a_forwarded_stream_goes_on_beside_other_software("b", None, 0);
    a_stream_that_its_caller_resumes_is_bound_by_a_forward("b", Some("0"), 0);
}

/// A stream that "a" began far away, and whose rest another instance takes from
/// a target of this software.
fn check_rest(software: Stated, others: &[&str]) {
    block_on(async {
        let scripts = vec![begun_by(Stated::Version("a")), rest_by(software)];
        let regions = Regions::start("a", scripts).await;
        for software in others {
            let other = PlatformTarget::start("i-other").await;
            let site = &regions.site;
            site.register_software(&other, "model", "south-a", software);
            until_records(&regions.near, 2).await;
        }
        let got = stream_call().send(regions.near.front).await;
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1], "{}", regions.near.logged());
        assert!(regions.far.forwards().len() > 1);
        assert_continued(&regions.near, 0).await;
    });
}

// Failure: another instance answered for a target of other software, and that
// was passed on as the rest of the stream.
cases! {
    check_rest:
    the_rest_of_a_stream_by_other_software_is_not_used(Stated::Version("b"), &["b"]);
    the_rest_of_a_stream_by_software_not_stated_is_not_used(Stated::Nothing, &["b"]);
    the_rest_of_a_stream_by_unknown_software_is_not_used(Stated::Unknown, &["b"]);
    the_rest_of_a_stream_by_unknown_software_is_not_used_beside_one(Stated::Unknown, &[]);
}

/// A stream of which another instance states this, and that breaks off there
/// beside a target of the own region.
fn check_begun(stated: Stated, software: &'static str) {
    block_on(async {
        let scripts = vec![begun_by(stated), rest_by(stated)];
        let regions = Regions::start("a", scripts).await;
        let home = PlatformTarget::start("i-north").await;
        let joining = regions.join_at_home(&home, software);
        let call = stream_call();
        let (got, ()) = tokio::join!(call.send(regions.near.front), joining);
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1]);
        assert!(home.arrivals().is_empty());
        assert_eq!(regions.far.forwards().len(), 1);
        assert_continued(&regions.near, 0).await;
    });
}

// Failure: nobody knew which software had begun a stream, and it went on at a
// target of any.
cases! {
    check_begun:
    a_stream_of_software_not_stated_does_not_go_on_beside_several(Stated::Nothing, "b");
    a_stream_of_unknown_software_does_not_go_on_beside_several(Stated::Unknown, "b");
    a_stream_of_unknown_software_does_not_go_on_beside_one(Stated::Unknown, "a");
}
