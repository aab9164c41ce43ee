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

/// Targets that can go on with a stream, one of each of these versions.
async fn start_others(versions: &[&'static str]) -> Vec<(&'static str, PlatformTarget)> {
    let mut others = Vec::new();
    for software in versions {
        let target = PlatformTarget::start(&format!("{software}-2")).await;
        target.set(Mode::Events(2));
        others.push((*software, target));
    }
    others
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
fn check_begun(moment: Moment, zone: &str, others_zone: &str, versions: &[&'static str]) {
    block_on(async {
        let site = start_site().await;
        let (near, far) = start_instances(&site).await;
        send_without_target(&near).await;
        send_without_target(&far).await;
        let first = ScriptedTarget::start(moment.script()).await;
        site.register_software_at("i-1", first.address, "model", zone, "a");
        until_records(&near, 1).await;
        until_records(&far, 1).await;
        let others = start_others(versions).await;
        let changing = async {
            until_asked(&first).await;
            site.register_restarted("i-1", first.address, "model", zone, "b");
            until_records(&near, 2).await;
            until_records(&far, 2).await;
            for (software, target) in &others {
                site.register_software(target, "model", others_zone, software);
            }
            until_records(&near, 2 + others.len()).await;
            until_records(&far, 2 + others.len()).await;
        };
        let call = stream_call();
        let (got, ()) = tokio::join!(call.send(near.front), changing);
        let logs = near.logged() + &far.logged();
        assert!(!got.whole, "{got:?}\n{logs}");
        assert_eq!(got.event_ids(), [1, 2]);
        let requests = others.iter().map(|(_, target)| target.arrivals().len());
        assert_eq!(requests.sum::<usize>(), 0, "{logs}");
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
        Moment::BeforeFirstEvent, "north-a", "north-a", &["a", "b"]
    );
    a_target_that_begins_anew_after_the_first_event(
        Moment::AfterFirstEvent, "north-a", "north-a", &["a", "b"]
    );
    a_far_target_that_begins_anew_before_the_first_event(
        Moment::BeforeFirstEvent, "south-a", "south-a", &["a", "b"]
    );
    a_far_target_that_begins_anew_after_the_first_event(
        Moment::AfterFirstEvent, "south-a", "south-a", &["a", "b"]
    );
    a_far_target_that_begins_anew_before_the_first_event_beside_near_ones(
        Moment::BeforeFirstEvent, "south-a", "north-a", &["a", "b"]
    );
    a_far_target_that_begins_anew_after_the_first_event_beside_near_ones(
        Moment::AfterFirstEvent, "south-a", "north-a", &["a", "b"]
    );
    a_far_target_that_begins_anew_beside_its_new_software_alone(
        Moment::BeforeFirstEvent, "south-a", "north-a", &["b"]
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

/// Failure: an instance that relayed a stream of unknown software was killed, and
/// the one near the caller went on at the only software that targets had by then.
#[test]
fn a_stream_of_unknown_software_ends_with_the_instance_that_relays_it() {
    block_on(async {
        let site = start_site().await;
        let (near, mut far) = start_instances(&site).await;
        send_without_target(&near).await;
        let begun = format!("{HEAD}{}{}", pause(CHANGING), events(1, 2));
        let script = vec![Scripted::new(&begun, After::Silent)];
        let first = ScriptedTarget::start(script).await;
        site.register_software_at("i-1", first.address, "model", "south-a", "a");
        until_records(&near, 1).await;
        until_records(&far, 1).await;
        let other = PlatformTarget::start("b-2").await;
        other.set(Mode::Events(2));
        let changing = async {
            until_asked(&first).await;
            site.register_restarted("i-1", first.address, "model", "south-a", "b");
            site.register_software(&other, "model", "north-a", "b");
            until_records(&near, 3).await;
            until_records(&far, 3).await;
            until("the stream is relayed", async || {
                far.logged().contains("forwarded request handled")
            })
            .await;
            far.process.kill();
        };
        let call = stream_call();
        let (got, ()) = tokio::join!(call.send(near.front), changing);
        assert!(!got.whole, "{got:?}\n{}", near.logged());
        assert_eq!(got.event_ids(), [1, 2]);
        assert!(other.arrivals().is_empty());
        assert_continued(&near, 0).await;
    });
}
