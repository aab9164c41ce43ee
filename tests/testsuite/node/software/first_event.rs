//! Streams that are tried at targets of several software versions before their
//! first event: that of the target which sends it binds the rest.

use std::time::Duration;

use chiverelay_sibling::Frame;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::PlatformTarget;
use support::node::ScriptedInstance;
use support::node::SilentAnswer;
use support::node::SilentTarget;
use support::node::Stage;
use support::node::Step;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

use super::LATE_EVENTS;
use super::assert_continued;
use super::forwards;
use super::send_without_target;
use super::start_site;
use super::until_records;

/// Silence of the first target, longer than that after which a request moves.
const SILENCE: Duration = Duration::from_millis(3500);

/// Time for which a stream is relayed until it breaks off.
const RELAYED: Duration = Duration::from_secs(1);

/// Asks for a stream whose target, in a zone, is silent before its first event.
fn silent_call() -> Call {
    let path = format!("/quote/{}", Stage::AfterHead.segment());
    Call::new("r-1", &path).key(KEY)
}

/// A stream goes from a silent target of "a" to one of "b", which breaks it off
/// beside another one of each.
fn check_hedged(zone: &str) {
    block_on(async {
        let site = start_site().await;
        let silent = SilentTarget::start_by_path(SilentAnswer::Events, SILENCE).await;
        site.register_software_at("a-1", silent.address, "model", zone, "a");
        let near = site.instance("near", "north-a", "north").await;
        let far = site.instance("far", "south-a", "south").await;
        until("the link is up", async || {
            near.logged().contains("link is up")
        })
        .await;
        let beginning = PlatformTarget::start("b-1").await;
        beginning.set(Mode::Cut(LATE_EVENTS));
        let (same, other) = (
            PlatformTarget::start("b-2").await,
            PlatformTarget::start("a-2").await,
        );
        same.set(Mode::Events(2));
        other.set(Mode::Events(2));
        let joining = async {
            until("the first target is asked", async || {
                !silent.requests().is_empty()
            })
            .await;
            site.register_software(&beginning, "model", zone, "b");
            until("the second target is asked", async || {
                !beginning.arrivals().is_empty()
            })
            .await;
            site.register_software(&same, "model", zone, "b");
            site.register_software(&other, "model", zone, "a");
            until_records(&near, 4).await;
            until_records(&far, 4).await;
        };
        let call = silent_call();
        let (got, ()) = tokio::join!(call.send(near.front), joining);
        let logs = near.logged() + &far.logged();
        assert!(got.whole, "{got:?}\n{logs}");
        assert_eq!(same.arrivals().len(), 1, "{logs}");
        assert!(other.arrivals().is_empty(), "{logs}");
        let continuing = if zone == "north-a" { &near } else { &far };
        assert_continued(continuing, 1).await;
    });
}

// Failure: a stream was bound to the software of the target that it was sent to
// first, though another one began it.
cases! {
    check_hedged:
    a_hedged_stream_is_bound_by_the_target_that_answers("north-a");
    a_forwarded_hedged_stream_is_bound_by_the_target_that_answers("south-a");
}

/// Failure: the same, where another region has answered in place of the silent
/// target, and the stream came back from there.
#[test]
fn a_stream_begun_in_another_region_is_bound_by_its_target() {
    block_on(async {
        let site = start_site().await;
        let near = site.instance("near", "north-a", "north").await;
        send_without_target(&near).await;
        let silent = SilentTarget::start_by_path(SilentAnswer::Events, SILENCE).await;
        site.register_software_at("a-1", silent.address, "model", "north-a", "a");
        let remote = PlatformTarget::start("b-1").await;
        site.register_software(&remote, "model", "south-a", "b");
        let begun = [
            forwards::stream_of(Some("b")),
            vec![forwards::event(1), Step::Pause(RELAYED)],
        ];
        let rest = [
            forwards::stream_of(Some("b")),
            vec![forwards::event(2), Step::Send(Frame::End)],
        ];
        let scripts = vec![begun.concat(), rest.concat()];
        let far = ScriptedInstance::start(&site, "near", &["far", "farther"], scripts).await;
        until("both links are up", async || {
            near.logged().matches("link is up").count() == 2
        })
        .await;
        let other = PlatformTarget::start("a-2").await;
        other.set(Mode::Events(2));
        let joining = async {
            far.until_forwards(1).await;
            site.register_software(&other, "model", "north-a", "a");
            until_records(&near, 3).await;
        };
        let call = silent_call();
        let (got, ()) = tokio::join!(call.send(near.front), joining);
        assert!(got.whole, "{got:?}\n{}", near.logged());
        assert_eq!(got.event_ids(), [1, 2]);
        assert!(other.arrivals().is_empty(), "{}", near.logged());
        assert_eq!(far.forwards()[0].software, None);
        assert_eq!(far.forwards()[1].software, Some("b".into()));
        assert_continued(&near, 1).await;
    });
}
