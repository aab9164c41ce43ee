//! Streams before targets of several software versions.

mod first_event;
mod forwards;
mod moves;
mod restarts;

use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::ScriptedTarget;
use support::node::Site;
use support::node::call;
use support::node::call::Call;
use support::node::scripted::PAUSE_MARK;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Events after which each target breaks off.
const EVENTS: u64 = 2;

/// Events after which a target breaks off once another one is known.
const LATE_EVENTS: u64 = 150;

/// Streams that are asked for.
const STREAMS: usize = 6;

/// Attempts at a stream that tests with several targets allow.
const MAX_ATTEMPTS: u32 = 4;

/// Starts a site whose streams may be tried at [`MAX_ATTEMPTS`] targets.
async fn start_site() -> Site {
    let site = Site::start().await;
    let mut document = configuration(4);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["max_attempts"] = json!(MAX_ATTEMPTS);
        route["timeout_ms"] = json!(6000);
    }
    site.store.put("op/config", &document);
    site
}

/// Asks for a stream.
fn stream_call() -> Call {
    Call::new("r-1", "/quote/1").key(KEY)
}

/// Requests that the retry budget needs for two retries.
const OTHER_REQUESTS: usize = 20;

/// Time after which the retry budget counts requests in another interval.
const COUNTED_APART: Duration = Duration::from_millis(250);

/// Sends requests that no target can take, which the retry budget counts.
async fn send_without_target(node: &Node) {
    for _ in 0..2 {
        for _ in 0..OTHER_REQUESTS {
            Call::new("r-0", "/quote/1").key(KEY).send(node.front).await;
        }
        tokio::time::sleep(COUNTED_APART).await;
    }
}

/// Waits until a target has a request.
async fn until_asked(target: &ScriptedTarget) {
    until("the target has the request", async || {
        !target.requests().is_empty()
    })
    .await;
}

/// Waits until an instance has read so many records of targets.
async fn until_records(node: &Node, count: usize) {
    until("the records are read", async || {
        node.logged().matches("target record received").count() >= count
    })
    .await;
}

/// Returns how many streams went on at another target, by its software.
async fn count_continued(node: &Node, software: &str) -> u64 {
    let got = call::get(node.metrics, "/metrics").await.expect("metrics");
    let name = format!("chiverelay_continued_streams_total{{software=\"{software}\"}} ");
    let value = got.body.lines().find_map(|line| line.strip_prefix(&name));
    value.map_or(0, |value| value.parse().expect("a count"))
}

/// Asserts how many streams went on at a target of the same software, and that
/// none did at another one.
async fn assert_continued(node: &Node, same: u64) {
    assert_eq!(count_continued(node, "same").await, same);
    assert_eq!(count_continued(node, "other").await, 0);
    assert_eq!(count_continued(node, "unknown").await, 0);
}

/// The head of a stream.
const HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\
                    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// The chunk that ends a stream.
const END: &str = "0\r\n\r\n";

/// Returns the chunks of the events from one number to another.
fn events(from: u64, to: u64) -> String {
    let event = |n: u64| format!("id: {n}\ndata: piece {n}\n\n");
    let chunk = |text: String| format!("{:x}\r\n{text}\r\n", text.len());
    (from..=to).map(event).map(chunk).collect()
}

/// A pause in a script, in steps of 60 ms.
fn pause(steps: usize) -> String {
    PAUSE_MARK.repeat(steps)
}

/// Two targets of each of two versions that break off all streams.
async fn start_breaking_targets(site: &Site, zone: &str) -> Vec<(&'static str, PlatformTarget)> {
    let mut targets = Vec::new();
    for (name, software) in [("a-1", "a"), ("b-1", "b"), ("a-2", "a"), ("b-2", "b")] {
        let target = PlatformTarget::start(name).await;
        target.set(Mode::Cut(EVENTS));
        site.register_software(&target, "model", zone, software);
        targets.push((software, target));
    }
    targets
}

/// Lists the software of the targets that had a request.
fn software_of(targets: &[(&'static str, PlatformTarget)], id: &str) -> Vec<&'static str> {
    let has_request = |target: &PlatformTarget| {
        let mut arrivals = target.arrivals().into_iter();
        arrivals.any(|arrival| arrival.header("request-id") == id)
    };
    let had = targets.iter().filter(|(_, target)| has_request(target));
    had.map(|(software, _)| *software).collect()
}

/// Asks for streams, each of which breaks off at its second target, too. Targets
/// that broke off many are left out after a while.
async fn check_streams(node: &Node, targets: &[(&'static str, PlatformTarget)]) {
    let mut continued = 0;
    for n in 0..STREAMS {
        let id = format!("r-{n}");
        let got = Call::new(&id, &format!("/quote/{n}")).key(KEY);
        let got = got.send(node.front).await;
        assert!(!got.whole, "{got:?}");
        let software = software_of(targets, &id);
        let is_same = software.iter().all(|s| *s == software[0]);
        assert!(is_same, "{id}: {software:?}: {}", node.logged());
        if got.event_ids() == [1, 2, 3, 4] {
            continued += 1;
        }
    }
    assert!(continued > 0, "{}", node.logged());
}

/// Failure: a stream that its target broke off went on at a target of other
/// software, and the caller got a text of two versions.
fn check_broken_off(target_zone: &str) {
    block_on(async {
        let site = Site::start().await;
        let targets = start_breaking_targets(&site, target_zone).await;
        let near = site.instance("near", "north-a", "north").await;
        let _far = site.instance("far", "south-a", "south").await;
        until("the link is up", async || {
            near.logged().contains("link is up")
        })
        .await;
        check_streams(&near, &targets).await;
    });
}

cases! {
    check_broken_off:
    a_stream_stays_with_its_software("north-a");
    a_forwarded_stream_stays_with_its_software("south-a");
}

/// Failure: the only other target had other software, and the stream went on
/// there in place of breaking off.
#[test]
fn a_stream_without_a_target_of_its_software_breaks_off() {
    block_on(async {
        let site = Site::start().await;
        let first = PlatformTarget::start("a-1").await;
        first.set(Mode::Cut(LATE_EVENTS));
        site.register_software(&first, "model", "north-a", "a");
        let near = site.instance("near", "north-a", "north").await;
        let call = Call::new("r-1", "/quote/1").key(KEY);
        let (got, other) = tokio::join!(call.send(near.front), async {
            until("the stream has begun", async || {
                !first.arrivals().is_empty()
            })
            .await;
            let other = PlatformTarget::start("b-1").await;
            other.set(Mode::Events(EVENTS));
            site.register_software(&other, "model", "north-a", "b");
            until_records(&near, 2).await;
            other
        });
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.event_ids().len() as u64, LATE_EVENTS);
        assert!(other.arrivals().is_empty());
    });
}

/// Failure: a stream was given to a target that drains, as no other one was left
/// of its software.
#[test]
fn a_stream_does_not_go_on_at_a_draining_target() {
    block_on(async {
        let site = Site::start().await;
        let first = PlatformTarget::start("i-1").await;
        first.set(Mode::Cut(LATE_EVENTS));
        site.register(&first, "model", "north-a");
        let draining = PlatformTarget::start("i-2").await;
        site.register_as(&draining, "model", "north-a", "draining", 0);
        let other = PlatformTarget::start("b-1").await;
        site.register_software(&other, "model", "north-a", "b");
        other.set(Mode::Full);
        let near = site.instance("near", "north-a", "north").await;
        let got = stream_call().send(near.front).await;
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.event_ids().len() as u64, LATE_EVENTS);
        assert!(draining.arrivals().is_empty());
        assert_continued(&near, 0).await;
    });
}
