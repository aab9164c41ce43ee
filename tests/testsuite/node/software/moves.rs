//! Streams that leave a silent target after an event.

use std::time::Duration;

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

/// Pauses after which a stream may move, and that end soon after.
const SILENCE: usize = 44;

/// Time after which the other target refuses, longer than two may run a stream.
const REFUSED_AFTER: Duration = Duration::from_millis(600);

/// Starts an instance before a target of the software "a" with a script.
async fn start(site: &Site, script: Vec<Scripted>) -> (Node, ScriptedTarget) {
    let node = site.instance("near", "north-a", "north").await;
    send_without_target(&node).await;
    let first = ScriptedTarget::start(script).await;
    site.register_software_at("a-1", first.address, "model", "north-a", "a");
    until("the target is known", async || {
        node.logged().contains("target record received")
    })
    .await;
    (node, first)
}

/// A stream whose target is silent beside another one of this software.
fn check_silence(software: &'static str, requests: usize) {
    block_on(async {
        let site = start_site().await;
        let silent = format!(
            "{HEAD}{}{}{}{END}",
            events(1, 2),
            pause(SILENCE),
            events(3, 4)
        );
        let script = vec![Scripted::new(&silent, After::Keep)];
        let (node, first) = start(&site, script).await;
        let other = PlatformTarget::start("i-2").await;
        other.set(Mode::Events(2));
        let joining = async {
            until_asked(&first).await;
            site.register_software(&other, "model", "north-a", software);
        };
        let call = stream_call();
        let (got, ()) = tokio::join!(call.send(node.front), joining);
        assert!(got.whole, "{got:?}\n{}", node.logged());
        assert_eq!(got.event_ids(), [1, 2, 3, 4]);
        assert_eq!(other.arrivals().len(), requests, "{}", node.logged());
        assert_continued(&node, requests as u64).await;
    });
}

// Failure: a stream left its silent target for one of other software, though the
// silent one went on.
cases! {
    check_silence:
    a_stream_leaves_its_silent_target_for_one_of_its_software("a", 1);
    a_stream_stays_at_its_silent_target_beside_other_software("b", 0);
}

/// Failure: a stream whose other target refused late went on at a target of
/// other software, and not at the one that it had left.
#[test]
fn a_stream_returns_to_its_software_after_a_late_refusal() {
    block_on(async {
        let site = start_site().await;
        let begun = format!("{HEAD}{}", events(1, 2));
        let rest = format!("{HEAD}{}{END}", events(3, 4));
        let script = vec![
            Scripted::new(&begun, After::Silent),
            Scripted::new(&rest, After::Keep),
        ];
        let (node, first) = start(&site, script).await;
        let refusing = PlatformTarget::start("a-2").await;
        refusing.set(Mode::FullAfter(REFUSED_AFTER));
        let other = PlatformTarget::start("b-1").await;
        other.set(Mode::Events(2));
        let joining = async {
            until_asked(&first).await;
            site.register_software(&refusing, "model", "north-a", "a");
            site.register_software(&other, "model", "north-a", "b");
        };
        let call = stream_call();
        let (got, ()) = tokio::join!(call.send(node.front), joining);
        assert_eq!(refusing.arrivals().len(), 1, "{}", node.logged());
        assert!(got.whole, "{got:?}\n{}", node.logged());
        assert_eq!(got.event_ids(), [1, 2, 3, 4]);
        assert!(other.arrivals().is_empty(), "{}", node.logged());
        assert_continued(&node, 1).await;
    });
}
