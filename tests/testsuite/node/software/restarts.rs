//! Targets whose process begins anew with other software, under the same name.

use support::block_on;
use support::cases;
use support::node::After;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Scripted;
use support::node::ScriptedTarget;
use support::node::Site;
use support::node::site::until;

use super::END;
use super::HEAD;
use super::assert_continued;
use super::events;
use super::pause;
use super::send_without_target;
use super::start_site;
use super::stream_call;
use super::until_asked;
use super::until_records;

/// Pauses in which the record of a target changes, shorter than the silence of
/// a sound one.
const CHANGING: usize = 20;

/// Two targets that can go on with a stream, one of each software.
struct Others {
    targets: [PlatformTarget; 2],
}

impl Others {
    async fn start() -> Self {
        let targets = [
            PlatformTarget::start("a-2").await,
            PlatformTarget::start("b-2").await,
        ];
        targets
            .iter()
            .for_each(|target| target.set(Mode::Events(2)));
        Self { targets }
    }

    fn register(&self, site: &Site, zone: &str) {
        let [a, b] = &self.targets;
        site.register_software(a, "model", zone, "a");
        site.register_software(b, "model", zone, "b");
    }

    fn requests(&self) -> usize {
        self.targets.iter().map(|t| t.arrivals().len()).sum()
    }
}

/// Where in an answer the record of its target changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    BeforeFirstEvent,
    AfterFirstEvent,
}

impl Moment {
    /// Returns an answer of two events that breaks off.
    fn script(self) -> Vec<Scripted> {
        let changing = pause(CHANGING);
        let events = events(1, 2);
        let text = match self {
            Self::BeforeFirstEvent => format!("{HEAD}{changing}{events}{}", pause(2)),
            Self::AfterFirstEvent => format!("{HEAD}{events}{changing}"),
        };
        vec![Scripted::new(&text, After::Reset)]
    }
}

/// Starts an instance near the caller, and one far away.
async fn start_instances(site: &Site) -> (Node, Node) {
    let near = site.instance("near", "north-a", "north").await;
    let far = site.instance("far", "south-a", "south").await;
    until("the link is up", async || {
        near.logged().contains("link is up")
    })
    .await;
    (near, far)
}

/// A target of a zone is asked as one of "a" and becomes one of "b" before it
/// breaks its answer off, beside others in their zone.
fn check_begun(moment: Moment, zone: &str, others_zone: &str) {
    block_on(async {
        let site = start_site().await;
        let (near, far) = start_instances(&site).await;
        send_without_target(&near).await;
        send_without_target(&far).await;
        let first = ScriptedTarget::start(moment.script()).await;
        site.register_software_at("i-1", first.address, "model", zone, "a");
        until_records(&near, 1).await;
        until_records(&far, 1).await;
        let others = Others::start().await;
        let changing = async {
            until_asked(&first).await;
            site.register_restarted("i-1", first.address, "model", zone, "b");
            until_records(&near, 2).await;
            until_records(&far, 2).await;
            others.register(&site, others_zone);
            until_records(&near, 4).await;
            until_records(&far, 4).await;
        };
        let call = stream_call();
        let (got, ()) = tokio::join!(call.send(near.front), changing);
        let logs = near.logged() + &far.logged();
        assert!(!got.whole, "{got:?}\n{logs}");
        assert_eq!(got.event_ids(), [1, 2]);
        assert_eq!(others.requests(), 0, "{logs}");
        assert_continued(&near, 0).await;
        assert_continued(&far, 0).await;
    });
}

// Failure: a target had begun anew with other software, the store told of it
// after the request was sent, and the stream went on at a target of the software
// that the record had named before.
cases! {
    check_begun:
    a_target_that_begins_anew_before_the_first_event(
        Moment::BeforeFirstEvent, "north-a", "north-a"
    );
    a_target_that_begins_anew_after_the_first_event(
        Moment::AfterFirstEvent, "north-a", "north-a"
    );
    a_far_target_that_begins_anew_before_the_first_event(
        Moment::BeforeFirstEvent, "south-a", "south-a"
    );
    a_far_target_that_begins_anew_after_the_first_event(
        Moment::AfterFirstEvent, "south-a", "south-a"
    );
    a_far_target_that_begins_anew_before_the_first_event_beside_near_ones(
        Moment::BeforeFirstEvent, "south-a", "north-a"
    );
    a_far_target_that_begins_anew_after_the_first_event_beside_near_ones(
        Moment::AfterFirstEvent, "south-a", "north-a"
    );
}

/// Failure: a stream was taken up at a target of its software, which had begun
/// anew with other software when it answered.
#[test]
fn a_target_that_begins_anew_does_not_go_on_with_a_stream() {
    block_on(async {
        let site = start_site().await;
        let cut = format!("{HEAD}{}{}", events(1, 2), pause(8));
        let first = ScriptedTarget::start(vec![Scripted::new(&cut, After::Reset)]).await;
        site.register_software_at("i-1", first.address, "model", "north-a", "a");
        let near = site.instance("near", "north-a", "north").await;
        let rest = format!("{HEAD}{}{}{END}", pause(CHANGING), events(3, 4));
        let second = ScriptedTarget::start(vec![Scripted::new(&rest, After::Keep)]).await;
        let changing = async {
            until_asked(&first).await;
            site.register_software_at("i-2", second.address, "model", "north-a", "a");
            until_asked(&second).await;
            site.register_restarted("i-2", second.address, "model", "north-a", "b");
            until_records(&near, 3).await;
        };
        let call = stream_call();
        let (got, ()) = tokio::join!(call.send(near.front), changing);
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.event_ids(), [1, 2], "{}", near.logged());
        assert_continued(&near, 0).await;
    });
}
