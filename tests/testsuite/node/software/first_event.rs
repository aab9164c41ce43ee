//! Streams that are tried at targets of several software versions before their
//! first event: that of the target which sends it binds the rest.

use std::convert::Infallible;
use std::time::Duration;

use chiverelay_platform::settings::environment::EXTRA_ATTEMPT_QUANTILE;
use chiverelay_platform::settings::environment::EXTRA_ATTEMPT_RATIO;
use chiverelay_sibling::Frame;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::ScriptedInstance;
use support::node::SilentAnswer;
use support::node::SilentTarget;
use support::node::Site;
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
            forwards::stream_of(forwards::Stated::Version("b")),
            vec![forwards::event(1), Step::Pause(RELAYED)],
        ];
        let rest = [
            forwards::stream_of(forwards::Stated::Version("b")),
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

/// Silence of a slow target, shorter than that of a sound one may be.
const SLOW: Duration = Duration::from_millis(1700);

/// Answers after which it is known when one is slow.
const USUAL_ANSWERS: usize = 80;

/// Requests of which one goes to the slow target first.
const MAX_CALLS: usize = 20;

/// Starts an instance that may send extra attempts, before a slow target of "a"
/// and one of "b" that breaks its streams off.
async fn start_slow() -> (Site, Node, SilentTarget, PlatformTarget) {
    let mut site = start_site().await;
    site.set_variable(EXTRA_ATTEMPT_RATIO, "0.5");
    site.set_variable(EXTRA_ATTEMPT_QUANTILE, "0.9");
    let near = site.instance("near", "north-a", "north").await;
    let slow = SilentTarget::start_by_path(SilentAnswer::Events, SLOW).await;
    site.register_software_at("a-1", slow.address, "model", "north-a", "a");
    let quick = PlatformTarget::start("b-1").await;
    quick.set(Mode::Events(2));
    site.register_software(&quick, "model", "north-a", "b");
    until_records(&near, 2).await;
    for _ in 0..USUAL_ANSWERS {
        let got = Call::new("r-0", "/quote/1").key(KEY).send(near.front).await;
        assert!(got.whole, "{got:?}");
    }
    (site, near, slow, quick)
}

/// Has the quick target break off a stream that the slow one was asked for
/// first, and another one of the slow one's software join.
async fn disturb(
    id: &str,
    site: &Site,
    targets: [&PlatformTarget; 2],
    slow: &SilentTarget,
) -> Infallible {
    let [quick, other] = targets;
    let asked = |target: &PlatformTarget| {
        let mut arrivals = target.arrivals().into_iter();
        arrivals.any(|arrival| arrival.header("request-id") == id)
    };
    until("the slow target is asked", async || {
        slow.requests().iter().any(|asked| asked == id)
    })
    .await;
    quick.set(Mode::Cut(LATE_EVENTS));
    until("the quick target is asked", async || asked(quick)).await;
    site.register_software(other, "model", "north-a", "a");
    std::future::pending().await
}

/// Failure: a stream that an extra attempt had begun went on at a target of the
/// software of the one that was asked first.
#[test]
fn a_stream_is_bound_by_the_extra_attempt_that_begins_it() {
    block_on(async {
        let (site, near, slow, quick) = start_slow().await;
        let other = PlatformTarget::start("a-2").await;
        other.set(Mode::Events(2));
        for n in 1..=MAX_CALLS {
            let id = format!("r-{n}");
            let path = format!("/quote/{}", Stage::AfterHead.segment());
            let call = Call::new(&id, &path).key(KEY);
            let got = tokio::select! {
                got = call.send(near.front) => got,
                never = disturb(&id, &site, [&quick, &other], &slow) => match never {},
            };
            if slow.requests().contains(&id) {
                assert!(!got.whole, "{got:?}");
                assert_eq!(got.event_ids().len() as u64, LATE_EVENTS);
                break;
            }
        }
        until_records(&near, 3).await;
        assert!(other.arrivals().is_empty(), "{}", near.logged());
        assert_continued(&near, 0).await;
    });
}
