//! Callers that leave while a target is silent: the target's connection is
//! closed, in each phase of the request.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chiverelay_sibling::Frame;
use hyper::StatusCode;
use support::block_on;
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
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Silence of the targets, within which the callers leave.
const SILENCE: Duration = Duration::from_secs(6);

/// Time from the arrival at the target until the caller leaves.
const STAY: Duration = Duration::from_millis(300);

/// Time after which a request has gone to a second target.
const HEDGED: Duration = Duration::from_millis(2600);

/// Time in which the targets have to see that the caller has left.
const BOUND: Duration = Duration::from_millis(500);

/// Sends a request and returns the open connection.
async fn send(to: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    let req = format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\nrequest-id: gone\r\n\
         request-deadline: 9000\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 8\r\n\r\nquestion"
    );
    let sent = stream.write_all(req.as_bytes()).await;
    sent.expect("the request is sent");
    stream
}

/// Where the targets are and what the request waits for.
#[derive(Clone, Copy, Debug)]
struct Case {
    route: &'static str,
    zone: &'static str,
    stage: Stage,
    targets: usize,
    stay: Duration,
}

impl Case {
    fn new(route: &'static str, zone: &'static str, stage: Stage) -> Self {
        Self {
            route,
            zone,
            stage,
            targets: 1,
            stay: STAY,
        }
    }

    fn hedged(self) -> Self {
        Self {
            targets: 2,
            stay: HEDGED,
            ..self
        }
    }

    fn is_stream(self) -> bool {
        matches!(self.route, "quote" | "chat")
    }
}

fn check(case: Case) {
    block_on(async {
        let site = Site::start().await;
        let (answer, service) = match case.is_stream() {
            true => (SilentAnswer::Events, "model"),
            false => (SilentAnswer::Plain, "orders"),
        };
        let mut targets = Vec::new();
        for n in 0..case.targets {
            let target = SilentTarget::start_by_path(answer, SILENCE).await;
            site.register_at(&format!("i-{n}"), target.address, service, case.zone);
            targets.push(target);
        }
        let near = site.instance("near", "north-a", "north").await;
        let _far = site.instance("far", "south-a", "south").await;
        until("requests are answered", async || {
            let call = Call::new("first", &format!("/{}/at-once", case.route)).key(KEY);
            call.send(near.front).await.status.is_success()
        })
        .await;
        let path = format!("/{}/{}", case.route, case.stage.segment());
        let caller = send(near.front, &path).await;
        let has_request = |target: &SilentTarget| target.requests().contains(&"gone".to_owned());
        until("a target has the request", async || {
            targets.iter().any(has_request)
        })
        .await;
        tokio::time::sleep(case.stay).await;
        let asked = targets.iter().filter(|target| has_request(target)).count();
        assert_eq!(asked, case.targets);
        drop(caller);
        let left_at = Instant::now();
        until("the targets see that the caller has left", async || {
            targets.iter().all(|target| !target.left().is_empty())
        })
        .await;
        for (_, at) in targets.iter().flat_map(SilentTarget::left) {
            let took = at.saturating_duration_since(left_at);
            println!("{case:?}: closed after {took:?}");
            assert!(took < BOUND, "{case:?}: closed after {took:?}");
        }
    });
}

const NEAR: &str = "north-a";
const FAR: &str = "south-a";

// Failure: a target went on with a request for more than half a second after its
// caller had left.
support::cases! {
    check:
    plain_before_the_head(Case::new("status", NEAR, Stage::BeforeHead));
    plain_before_the_head_in_another_region(Case::new("status", FAR, Stage::BeforeHead));
    plain_within_the_body_in_another_region(Case::new("status", FAR, Stage::WithinBody));
    once_before_the_head_in_another_region(Case::new("deposit", FAR, Stage::BeforeHead));
    stream_before_the_head_in_another_region(Case::new("quote", FAR, Stage::BeforeHead));
    stream_before_its_first_event_in_another_region(Case::new("quote", FAR, Stage::AfterHead));
    stream_within_the_body_in_another_region(Case::new("quote", FAR, Stage::WithinBody));
    bound_stream_within_the_body_in_another_region(Case::new("chat", FAR, Stage::WithinBody));
    hedged_before_the_head(Case::new("status", NEAR, Stage::BeforeHead).hedged());
    hedged_before_the_head_in_another_region(Case::new("status", FAR, Stage::BeforeHead).hedged());
}

/// Failure: a request whose caller had left before it was read was forwarded to
/// another region and run there.
#[test]
fn a_request_that_is_read_after_its_caller_has_left_goes_nowhere() {
    block_on(async {
        let site = Site::start().await;
        let other = PlatformTarget::start("i-1").await;
        site.register(&other, "orders", "south-a");
        let node = site.instance("near", "north-a", "north").await;
        let head = Frame::Head {
            status: StatusCode::OK.as_u16(),
            headers: Vec::new(),
        };
        let script = vec![Step::Send(head), Step::Send(Frame::End)];
        let far = ScriptedInstance::start(&site, "near", &["far"], vec![script]).await;
        until("the link is up", async || {
            node.logged().contains("link is up")
        })
        .await;
        node.process.freeze();
        drop(send(node.front, "/status/1").await);
        tokio::time::sleep(STAY).await;
        node.process.thaw();
        let later = Call::new("later", "/status/1").key(KEY);
        assert_eq!(later.send(node.front).await.status, StatusCode::OK);
        let ids: Vec<_> = far.forwards().into_iter().map(|req| req.id).collect();
        assert_eq!(ids, ["later".into()]);
    });
}
