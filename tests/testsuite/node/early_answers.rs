//! Answers that come while the request's body is still being written.

use bytes::Bytes;
use hyper::StatusCode;
use serde_json::json;
use support::block_on;
use support::node::EarlyEnd;
use support::node::EarlyTarget;
use support::node::Got;
use support::node::Node;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Size of a request's body, in bytes: more than the kernel takes at once.
const UPLOAD_BYTES: usize = 7 * 1024 * 1024;

/// Size, in bytes, from which on an answer is passed on before its end.
const STARTED_BYTES: usize = 300 * 1024;

/// Which instance is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// The one in the target's region.
    Near,
    /// One in another region, which forwards the request.
    Far,
}

/// A target, an instance in its region and one in another region.
struct World {
    _site: Site,
    _target: EarlyTarget,
    near: Node,
    far: Node,
}

impl World {
    async fn start(path: &str, answer: &str, end: EarlyEnd) -> Self {
        let site = Site::start().await;
        let mut config = configuration(4);
        config["limits"]["max_body_bytes"] = json!(UPLOAD_BYTES);
        site.store.put("op/config", &config);
        let target = EarlyTarget::start(answer, end).await;
        let service = match path {
            "/deposit/1" => "orders",
            _ => "model",
        };
        site.register_at("i-1", target.address, service, "north-a");
        let near = site.instance("near", "north-a", "north").await;
        let far = site.instance("far", "south-a", "south").await;
        until("the instances are linked", async || {
            near.logged().contains("link is up") && far.logged().contains("link is up")
        })
        .await;
        Self {
            _site: site,
            _target: target,
            near,
            far,
        }
    }

    /// Sends a request with a long body; an error is a connection that closed
    /// without an answer.
    async fn upload(&self, path: &str, place: Place) -> Result<Got, String> {
        let front = match place {
            Place::Near => self.near.front,
            Place::Far => self.far.front,
        };
        let body = Bytes::from(vec![b'a'; UPLOAD_BYTES]);
        let call = Call::new("r-1", path).key(KEY).body(body);
        call.exchange(front).await
    }
}

/// Returns the start of an answer, and its body.
fn answer(framing: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {{id}}\r\nserver-stamp: s\r\n{framing}\
         connection: close\r\n\r\n{body}"
    )
}

fn events(framing: &str) -> String {
    let framing = format!("content-type: text/event-stream\r\n{framing}");
    answer(&framing, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

fn of_http_1_0(answer: &str) -> String {
    answer.replacen("HTTP/1.1", "HTTP/1.0", 1)
}

fn long_part() -> String {
    "p".repeat(STARTED_BYTES)
}

/// Failure: a target answered a long upload at once, and its connection was lost
/// while the upload was still being written. Callers got the part of the answer
/// that had arrived as a whole one.
fn a_lost_upload_has_no_whole_answer(path: &str, answer: &str, end: EarlyEnd, place: Place) {
    block_on(async {
        let world = World::start(path, answer, end).await;
        let Ok(got) = world.upload(path, place).await else {
            return;
        };
        let is_success = got.status.is_success();
        assert!(
            !(is_success && got.whole),
            "{} and {} bytes as a whole answer",
            got.status,
            got.body.len()
        );
        assert!(
            is_success || got.status == StatusCode::BAD_GATEWAY,
            "{got:?}"
        );
    });
}

use EarlyEnd::CloseAndReadOn;
use EarlyEnd::CloseThenReset;
use EarlyEnd::ReadOn;
use EarlyEnd::Reset;
use EarlyEnd::ResetAtOnce;
use Place::Far;
use Place::Near;

support::cases! {
    a_lost_upload_has_no_whole_answer:
    by_reset("/deposit/1", &answer("", "part"), Reset, Near);
    by_reset_far("/deposit/1", &answer("", "part"), Reset, Far);
    by_reset_of_http_1_0("/deposit/1", &of_http_1_0(&answer("", "part")), Reset, Near);
    by_reset_after_a_long_part("/deposit/1", &answer("", &long_part()), Reset, Near);
    by_reset_after_a_long_part_far("/deposit/1", &answer("", &long_part()), Reset, Far);
    by_reset_of_events("/chat/1", &events(""), Reset, Near);
    by_reset_of_events_far("/chat/1", &events(""), Reset, Far);
    by_reset_of_chunks("/deposit/1", &answer("transfer-encoding: chunked\r\n", "4\r\npart\r\n"), Reset, Near);
    by_reset_of_a_length("/deposit/1", &answer("content-length: 9\r\n", "part"), Reset, Near);
    by_reset_at_once("/deposit/1", &answer("", "part"), ResetAtOnce, Near);
    by_reset_at_once_far("/deposit/1", &answer("", "part"), ResetAtOnce, Far);
    by_reset_of_events_at_once("/chat/1", &events(""), ResetAtOnce, Near);
    by_reset_at_once_after_a_long_part("/deposit/1", &answer("", &long_part()), ResetAtOnce, Near);
    by_close("/deposit/1", &answer("", "part"), CloseThenReset, Near);
    by_close_far("/deposit/1", &answer("", "part"), CloseThenReset, Far);
    by_close_of_http_1_0("/deposit/1", &of_http_1_0(&answer("", "part")), CloseThenReset, Near);
    by_close_after_a_long_part("/deposit/1", &answer("", &long_part()), CloseThenReset, Near);
    by_close_of_events("/chat/1", &events(""), CloseThenReset, Near);
    by_close_of_events_far("/chat/1", &events(""), CloseThenReset, Far);
    by_close_of_chunks("/deposit/1", &answer("transfer-encoding: chunked\r\n", "4\r\npart\r\n"), CloseThenReset, Near);
    by_close_of_a_length("/deposit/1", &answer("content-length: 9\r\n", "part"), CloseThenReset, Near);
}

/// A target may answer early and take the rest of the upload. Its answer is
/// whole, also one that ends with the target's half of the connection.
fn an_early_answer_is_passed_on(path: &str, answer: &str, end: EarlyEnd, place: Place) {
    block_on(async {
        let world = World::start(path, answer, end).await;
        let got = world.upload(path, place).await.expect("an answer");
        assert!(got.whole && got.status == StatusCode::OK, "{got:?}");
        let (_, body) = answer.split_once("\r\n\r\n").expect("a head");
        assert_eq!(got.body, body);
    });
}

support::cases! {
    an_early_answer_is_passed_on:
    with_a_length("/deposit/1", &answer("content-length: 5\r\n", "whole"), ReadOn, Near);
    with_a_length_far("/deposit/1", &answer("content-length: 5\r\n", "whole"), ReadOn, Far);
    without_a_length("/deposit/1", &answer("", "whole"), CloseAndReadOn, Near);
    without_a_length_far("/deposit/1", &answer("", "whole"), CloseAndReadOn, Far);
    without_a_length_of_http_1_0("/deposit/1", &of_http_1_0(&answer("", "whole")), CloseAndReadOn, Near);
    of_events("/chat/1", &events(""), CloseAndReadOn, Near);
}
