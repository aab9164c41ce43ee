//! Links to other processes of one instance, and the answers that they carry.

use std::time::Duration;

use chiverelay_sibling::Frame;
use futures_util::future::join_all;
use hyper::StatusCode;
use support::block_on;
use support::node::Got;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::ScriptedInstance;
use support::node::Site;
use support::node::Step;
use support::node::call;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Time between the two events of a stream.
const BETWEEN_EVENTS: Duration = Duration::from_millis(1500);

/// Number of callers that come one after the other.
const CALLERS: u32 = 100;

/// Time between two of them.
const BETWEEN_CALLERS: Duration = Duration::from_millis(20);

fn event(id: u64) -> Step {
    let text = format!("id: {id}\ndata: piece {id}\n\n");
    Step::Send(Frame::Data(text.into_bytes()))
}

/// A stream of two events that takes a while.
fn slow_stream() -> Vec<Step> {
    let header = |name: &str, value: &str| (name.to_owned(), value.as_bytes().to_vec());
    let head = Frame::Head {
        status: 200,
        headers: vec![
            header("server-stamp", "s"),
            header("content-type", "text/event-stream"),
        ],
    };
    vec![
        Step::Send(Frame::Ran(1)),
        Step::Send(head),
        event(1),
        Step::Pause(BETWEEN_EVENTS),
        event(2),
        Step::Send(Frame::End),
    ]
}

/// An instance whose region has no target, and a target of the other region.
async fn start() -> (Site, Node, PlatformTarget) {
    let site = Site::start().await;
    let target = PlatformTarget::start("i-south").await;
    site.register(&target, "model", "south-a");
    let near = site.instance("near", "north-a", "north").await;
    (site, near, target)
}

/// Asks for a stream that may not be repeated.
async fn stream(near: &Node, id: u32) -> Got {
    let call = Call::new(&format!("r-{id}"), "/chat/1").key(KEY);
    call.send(near.front).await
}

/// Returns the lines of the metric for answers that the instance has cut.
async fn cut_answers(near: &Node) -> Vec<String> {
    let metrics = call::get(near.metrics, "/metrics").await;
    let metrics = metrics.expect("metrics").body;
    let lines = metrics.lines().map(str::to_owned);
    lines
        .filter(|line| line.starts_with("chiverelay_cut_answers_total"))
        .filter(|line| !line.ends_with(" 0"))
        .collect()
}

/// Failure: a link was taken for one to the process before, as its dialing had
/// begun under that one's record, and was closed under the streams that it
/// carried.
#[test]
fn a_link_dialed_under_an_older_record_keeps_its_streams() {
    block_on(async {
        let (site, near, _target) = start().await;
        let _far = ScriptedInstance::start_while_dialed(&site, &near, vec![slow_stream()]).await;
        let calls = (0..CALLERS).map(async |n| {
            tokio::time::sleep(BETWEEN_CALLERS * n).await;
            stream(&near, n).await
        });
        let got = join_all(calls).await;
        let taken = got.iter().filter(|got| got.status == StatusCode::OK);
        let cut = taken.clone().filter(|got| !got.whole).count();
        assert_eq!((cut, cut_answers(&near).await), (0, vec![]));
        assert!(taken.count() > 0, "{got:?}");
    });
}

/// Failure: streams were cut as another process of the same instance was
/// reached, though the process that sent them went on.
#[test]
fn a_replaced_link_carries_its_streams_to_their_end() {
    block_on(async {
        let (site, near, _target) = start().await;
        let scripts = vec![slow_stream()];
        let mut far = ScriptedInstance::start(&site, "near", &["far"], scripts).await;
        until("the link is up", async || {
            near.logged().contains("link is up")
        })
        .await;
        let replacing = async {
            far.until_forwards(1).await;
            let successor = far.start_successor(&site);
            until("the link to the successor is up", async || {
                is_up(&near, &successor.certificate)
            })
            .await;
            stream(&near, 2).await
        };
        let (first, second) = tokio::join!(stream(&near, 1), replacing);
        assert!(first.whole, "{first:?}");
        assert_eq!(first.event_ids(), [1, 2]);
        assert!(second.whole, "{second:?}");
        assert_eq!(cut_answers(&near).await, [""; 0]);
        until("the link before has ended", async || {
            near.logged().contains("link has carried its last answer")
        })
        .await;
    });
}

/// Tells whether the instance has a link to the process with a certificate.
fn is_up(near: &Node, certificate: &str) -> bool {
    let shown = format!("\"certificate\":\"{certificate}\"");
    let logged = near.logged();
    let mut lines = logged.lines().filter(|line| line.contains("link is up"));
    lines.any(|line| line.contains(&shown))
}
