//! Answers of faulty targets: earlier refusals that come again, heads and
//! streams that end too soon, and what answers in their place.

use hyper::StatusCode;
use support::block_on;
use support::node::After;
use support::node::Got;
use support::node::Node;
use support::node::Scripted;
use support::node::ScriptedTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Where the targets are, seen from the instance that is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// In its region.
    Near,
    /// In another region.
    Far,
}

/// Instances of two regions, and targets in one of them.
struct World {
    _site: Site,
    targets: Vec<ScriptedTarget>,
    near: Node,
    _far: Node,
}

/// Starts a target for each script.
async fn start(service: &str, place: Place, scripts: Vec<Vec<Scripted>>) -> World {
    let site = Site::start().await;
    let zone = match place {
        Place::Near => "north-a",
        Place::Far => "south-a",
    };
    let mut targets = Vec::new();
    for (i, script) in scripts.into_iter().enumerate() {
        let target = ScriptedTarget::start(script).await;
        site.register_at(&format!("i-{i}"), target.address, service, zone);
        targets.push(target);
    }
    let near = site.instance("near", "north-a", "north").await;
    let far = site.instance("far", "south-a", "south").await;
    until("the instances are linked", async || {
        near.logged().contains("link is up") && far.logged().contains("link is up")
    })
    .await;
    World {
        _site: site,
        targets,
        near,
        _far: far,
    }
}

impl World {
    async fn call(&self, id: &str, path: &str) -> Result<Got, String> {
        Call::new(id, path).key(KEY).exchange(self.near.front).await
    }

    fn requests(&self) -> Vec<String> {
        let requests = self.targets.iter().flat_map(ScriptedTarget::requests);
        requests.collect()
    }
}

/// A refusal on a connection that is kept.
fn refusal(status: &str, headers: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}not-executed: 1\r\nkeep-alive: timeout=5\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// A target runs the second request of a connection, and writes its refusal of
/// the first once more in place of the answer. Taken for the second's, callers
/// were told that it had not run, or it ran at another target too.
fn an_earlier_refusal_is_not_taken_for_the_next_request(repeated: &str) {
    block_on(async {
        let refused = refusal("503 Full", "request-id: {id}\r\n");
        let script = vec![
            Scripted::new(&refused, After::Keep),
            Scripted::new(repeated, After::Keep),
        ];
        let world = start("orders", Place::Near, vec![script]).await;
        let first = world.call("first", "/deposit/1").await.expect("an answer");
        assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
        // A target that was full gets no request for a moment.
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        let second = world.call("second", "/deposit/1").await.expect("an answer");
        assert_eq!(world.requests(), ["first", "second"]);
        assert_eq!(second.status, StatusCode::BAD_GATEWAY);
    });
}

support::cases! {
    an_earlier_refusal_is_not_taken_for_the_next_request:
    a_refusal_with_the_earlier_id(&refusal("503 Full", "request-id: {previous}\r\n"));
    a_refusal_without_an_id(&refusal("503 Full", ""));
    a_redirection_with_the_earlier_id(&refusal("421 Gone", "request-id: {previous}\r\n"));
    a_redirection_without_an_id(&refusal("421 Gone", ""));
}

/// On a new connection there was no earlier request, so a refusal that names no
/// request is this one's, and another target may run it.
fn a_refusal_on_a_new_connection_lets_the_request_run_elsewhere(status: &str) {
    block_on(async {
        let refuse = Scripted::new(&refusal(status, ""), After::Close);
        let whole = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\
                     content-length: 2\r\nconnection: close\r\n\r\nok";
        let serve = Scripted::new(whole, After::Close);
        let world = start("orders", Place::Near, vec![vec![refuse], vec![serve]]).await;
        let got = world.call("r", "/deposit/1").await.expect("an answer");
        assert_eq!(got.status, StatusCode::OK);
    });
}

support::cases! {
    a_refusal_on_a_new_connection_lets_the_request_run_elsewhere:
    a_refusal_that_names_no_request("503 Full");
    a_redirection_that_names_no_request("421 Gone");
}

/// A target that writes the head of a refusal and then nothing holds up a
/// request that is known not to have run.
#[test]
fn a_refusal_that_does_not_end_holds_nobody_up() {
    block_on(async {
        let head = "HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-executed: 1\r\n\
                    content-length: 10\r\n\r\n";
        let script = vec![Scripted::new(head, After::Silent)];
        let world = start("orders", Place::Near, vec![script]).await;
        let got = world.call("r", "/deposit/1").await.expect("an answer");
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    });
}

/// The head of a stream of events.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\
                           content-type: text/event-stream\r\n";

/// Whole events of a stream.
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Returns a stream that breaks off within its third event.
fn cut_stream() -> Scripted {
    let text = format!("{STREAM_HEAD}content-length: 500\r\n\r\n{EVENTS}id: 3\nda{{pause}}");
    Scripted::new(&text, After::Close)
}

/// Requests that are sent at least, and at most until one has begun at the first
/// of two targets, which are chosen at random.
const MIN_CALLS: usize = 6;
const MAX_CALLS: usize = 60;

/// A stream breaks off and the next target answers with something else. Callers
/// found that text within their stream, or a stream that ended as if complete.
fn a_cut_stream_goes_on_with_nothing_but_its_events(next: &str, place: Place) {
    block_on(async {
        let next = || Scripted::new(next, After::Close);
        let scripts = vec![vec![cut_stream()], vec![next()]];
        let world = start("model", place, scripts).await;
        let mut cut = 0;
        for n in 0..MAX_CALLS {
            if n >= MIN_CALLS && cut > 0 {
                break;
            }
            let got = world.call(&format!("r-{n}"), "/quote/1").await;
            // A request that begins at the second target gets its answer.
            let Some(got) = got.ok().filter(|got| got.body.starts_with(EVENTS)) else {
                continue;
            };
            assert_eq!(got.body, EVENTS, "{got:?}");
            assert!(!got.whole, "{got:?}");
            cut += 1;
        }
        assert!(cut > 0, "no stream began: {:?}", world.requests());
    });
}

/// A whole answer of another status or kind than the stream.
fn error(status: &str, kind: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 {status}\r\nrequest-id: {{id}}\r\nserver-stamp: s\r\n\
         content-type: {kind}\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n{body}"
    )
}

support::cases! {
    a_cut_stream_goes_on_with_nothing_but_its_events:
    not_with_a_server_error(&error("500 Failed", "text/plain", "failed"), Place::Near);
    not_with_a_client_error(&error("404 None", "text/plain", "none\n\n"), Place::Near);
    not_with_an_error_in_events(&error("500 Failed", "text/event-stream", "id: 3\ndata: x\n\n"), Place::Near);
    not_with_a_plain_text(&error("200 OK", "text/plain", "failed\n\n"), Place::Near);
    not_with_an_empty_text(&error("200 OK", "text/plain", ""), Place::Near);
    not_with_no_content(&error("204 None", "text/event-stream", ""), Place::Near);
    not_with_a_far_server_error(&error("500 Failed", "text/plain", "failed"), Place::Far);
    not_with_a_far_plain_text(&error("200 OK", "text/plain", "failed\n\n"), Place::Far);
    not_with_a_far_empty_text(&error("200 OK", "text/plain", ""), Place::Far);
}

/// A target writes the head of an error into its stream, which has neither a
/// length nor chunks, and closes.
fn an_error_within_a_stream_is_not_passed_on(text: &str, place: Place) {
    block_on(async {
        let body = format!("id: 1\ndata: a\n\n{{pause}}{text}");
        let answer = format!("{STREAM_HEAD}connection: close\r\n\r\n{body}");
        let script = vec![Scripted::new(&answer, After::Close)];
        let world = start("model", place, vec![script]).await;
        // The route of this path can't be resumed.
        let got = world.call("r", "/chat/1").await.expect("an answer");
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.body, "id: 1\ndata: a\n\n");
    });
}

support::cases! {
    an_error_within_a_stream_is_not_passed_on:
    its_whole_head("HTTP/1.1 500 Failed\r\ncontent-length: 6\r\n\r\nfailed", Place::Near);
    its_text("internal error\n\n", Place::Near);
    its_text_as_data("data: internal error\n\n", Place::Near);
    half_an_event("id: 2\ndata: b\n", Place::Near);
    its_far_head("HTTP/1.1 500 Failed\r\ncontent-length: 6\r\n\r\nfailed", Place::Far);
}

/// A target closes in the middle of its answer's head. Callers got a 200 with an
/// empty or short body that was framed as whole.
fn a_head_that_stops_is_no_answer(head: &str, after: After, path: &str, place: Place) {
    block_on(async {
        let service = match path {
            "/quote/1" => "model",
            _ => "orders",
        };
        let script = vec![Scripted::new(head, after)];
        let world = start(service, place, vec![script]).await;
        let got = world.call("r", path).await;
        let got = got.expect("an answer");
        assert_eq!(got.status, StatusCode::BAD_GATEWAY, "{got:?}");
    });
}

/// A head that stops within the name of a header.
const CUT_HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\ncont";

/// A head that stops before its empty line, after a stated length.
const CUT_AFTER_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\ncontent-length: 0\r\n";

/// A refusal that stops before its empty line, and before it says that the
/// request has not run.
const CUT_REFUSAL: &str = "HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-exec";

support::cases! {
    a_head_that_stops_is_no_answer:
    by_closing(CUT_HEAD, After::Close, "/deposit/1", Place::Near);
    by_reset(CUT_HEAD, After::Reset, "/deposit/1", Place::Near);
    after_its_length(CUT_AFTER_LENGTH, After::Close, "/deposit/1", Place::Near);
    of_a_stream(CUT_HEAD, After::Close, "/quote/1", Place::Near);
    of_a_refusal(CUT_REFUSAL, After::Close, "/deposit/1", Place::Near);
    of_a_far_answer(CUT_HEAD, After::Close, "/deposit/1", Place::Far);
    of_a_far_stream(CUT_AFTER_LENGTH, After::Reset, "/quote/1", Place::Far);
}

/// Failure: a target in trouble answered with a status that HTTP doesn't have, or
/// that no request asked for, and callers got it as an answer. The request may
/// have run, whatever such an answer says.
fn a_status_outside_the_protocol_is_no_answer(
    status: &str,
    headers: &str,
    path: &str,
    place: Place,
) {
    block_on(async {
        let service = match path {
            "/chat/1" => "model",
            _ => "orders",
        };
        let text = format!(
            "HTTP/1.1 {status} Odd\r\nrequest-id: {{id}}\r\nserver-stamp: s\r\n{headers}\
             content-length: 4\r\nconnection: close\r\n\r\ntext"
        );
        let script = vec![Scripted::new(&text, After::Close)];
        let world = start(service, place, vec![script]).await;
        let got = world.call("r", path).await.expect("an answer");
        assert_eq!(got.status, StatusCode::BAD_GATEWAY, "{got:?}");
        assert_eq!(got.header("server-stamp"), "");
        assert_eq!(world.requests(), ["r"]);
    });
}

/// Header of a refusal.
const NOT_RUN: &str = "not-executed: 1\r\n";

support::cases! {
    a_status_outside_the_protocol_is_no_answer:
    status_000("000", "", "/deposit/1", Place::Near);
    status_000_of_a_stream("000", "", "/chat/1", Place::Near);
    status_000_far("000", "", "/deposit/1", Place::Far);
    status_001("001", "", "/deposit/1", Place::Near);
    status_099("099", NOT_RUN, "/deposit/1", Place::Near);
    status_101("101", "", "/deposit/1", Place::Near);
    status_101_far("101", "", "/deposit/1", Place::Far);
    status_600("600", "", "/deposit/1", Place::Near);
    status_600_as_a_refusal("600", NOT_RUN, "/deposit/1", Place::Near);
    status_600_of_a_stream("600", "", "/chat/1", Place::Near);
    status_600_far("600", "", "/deposit/1", Place::Far);
    status_999("999", "", "/deposit/1", Place::Near);
    status_999_far("999", "", "/chat/1", Place::Far);
    status_of_two_digits("20", "", "/deposit/1", Place::Near);
    status_of_four_digits("2000", "", "/deposit/1", Place::Near);
}

/// An answer may have neither a length nor chunks: the end of the connection is
/// its end, and a reset is none.
fn an_answer_that_ends_with_its_connection(path: &str, body: &str, place: Place) {
    block_on(async {
        let service = match path {
            "/chat/1" => "model",
            _ => "orders",
        };
        let answer = format!("{STREAM_HEAD}connection: close\r\n\r\n{body}");
        let script = vec![
            Scripted::new(&answer, After::Close),
            Scripted::new(&answer, After::Reset),
        ];
        let world = start(service, place, vec![script]).await;
        let whole = world.call("closed", path).await.expect("an answer");
        assert!(whole.whole && whole.status == StatusCode::OK, "{whole:?}");
        assert_eq!(whole.body, body);
        if let Ok(reset) = world.call("reset", path).await {
            let is_success = reset.status.is_success();
            assert!(!(is_success && reset.whole), "{reset:?}");
        }
    });
}

support::cases! {
    an_answer_that_ends_with_its_connection:
    of_a_plain_service("/deposit/1", "quoted", Place::Near);
    of_a_model("/chat/1", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Place::Near);
    of_a_far_service("/deposit/1", "quoted", Place::Far);
    of_a_far_model("/chat/1", "id: 1\ndata: a\n\n", Place::Far);
}

/// Guards against a whole answer that is lost with its connection, as the
/// target states an idle timeout that no clock reaches.
#[test]
fn an_answer_with_an_endless_idle_timeout_reaches_the_caller() {
    block_on(async {
        let answer = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\
             keep-alive: timeout=18446744073709551615\r\ncontent-length: 2\r\n\r\nok";
        let script = vec![Scripted::new(answer, After::Keep)];
        let world = start("orders", Place::Near, vec![script]).await;
        for id in ["first", "second"] {
            let got = world.call(id, "/deposit/1").await.expect("an answer");
            assert_eq!(got.status, StatusCode::OK);
        }
    });
}
