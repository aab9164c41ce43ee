//! Crowds of clients that don't behave, at each of an instance's doors: the
//! process lives, stays within its machine, and still serves others.
//!
//! Crowd and bounds were fixed on the code before it was changed for them.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::block_on;
use support::cases;
use support::crowd::Crowd;
use support::crowd::Door;
use support::crowd::Unruly;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::SlowReader;
use support::node::call;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::Limits;
use support::node::site::configuration;
use support::node::site::until;

use crate::unruly::CROWDING;

/// The machine, which is small so that a small crowd does.
const MACHINE: Limits = Limits {
    memory_mb: 64,
    descriptors: 600,
};

/// Largest body, in bytes: a quarter of the memory has 64 of them.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Clients at the door for requests, which has places for 234.
const FRONT_CROWD: usize = 400;

/// Clients at the other doors, more than there are descriptors.
const OTHER_CROWD: usize = 700;

/// Clients over HTTP/2, each with many requests.
const HTTP2_CROWD: usize = 60;

/// Size of an answer that a crowd asks for, in bytes.
const ANSWER_BYTES: usize = 512 * 1024;

/// Time in which a crowd does what it does.
const ACTING: Duration = Duration::from_millis(1500);

/// Pause between two counts of descriptors.
const LOOK: Duration = Duration::from_millis(50);

/// Time for one try of an ordinary client.
const TRY: Duration = Duration::from_secs(4);

/// Where a crowd goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// Requests: paths with a route, without one, and the one of readiness.
    Front,
    /// Readiness, lookup and metrics.
    Others,
}

fn door(address: SocketAddr, path: &str) -> Door {
    Door {
        address,
        path: path.to_owned(),
        key: KEY.to_owned(),
        max_body: MAX_BODY_BYTES,
    }
}

const RESOLVE: &str = "/v1/resolve?name=desk.example&zone=north-a&region=north";

impl At {
    fn doors(self, node: &Node) -> Vec<Door> {
        match self {
            Self::Front => ["/status/1", "/nowhere", "/v1/ready", "/v1/resolve"]
                .map(|path| door(node.front, path))
                .to_vec(),
            Self::Others => vec![
                door(node.ready, "/v1/ready"),
                door(node.directory, RESOLVE),
                door(node.metrics, "/metrics"),
                door(node.metrics, "/nowhere"),
            ],
        }
    }

    fn crowd(self, kind: Unruly) -> usize {
        match (kind, self) {
            (Unruly::Http2Unread | Unruly::Http2Bodies, _) => HTTP2_CROWD,
            (_, Self::Front) => FRONT_CROWD,
            (_, Self::Others) => OTHER_CROWD,
        }
    }
}

/// A site whose clients may hold their requests open for long.
async fn start() -> (Site, [PlatformTarget; 2], Node) {
    let mut site = Site::start().await;
    site.limit(MACHINE);
    let mut config = configuration(4);
    config["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    config["limits"]["idle_timeout_ms"] = json!(60_000);
    site.store.put("op/config", &config);
    let orders = PlatformTarget::start("i-1").await;
    orders.set(Mode::LongBody(ANSWER_BYTES));
    site.register(&orders, "orders", "north-a");
    let model = PlatformTarget::start("i-2").await;
    model.set(Mode::Events(3));
    site.register(&model, "model", "north-a");
    let node = site.instance("one", "north-a", "north").await;
    (site, [orders, model], node)
}

/// Waits until an ordinary request is served, which comes again if it is
/// refused.
async fn until_served(node: &Node) {
    let mut n = 0;
    until("an ordinary request is served", async || {
        n += 1;
        let call = Call::new(&format!("ordinary-{n}"), "/quote/1").key(KEY);
        let sent = tokio::time::timeout(TRY, call.exchange(node.front)).await;
        matches!(sent, Ok(Ok(got)) if got.status.is_success() && got.whole)
    })
    .await;
}

async fn until_answered(what: &str, address: SocketAddr, path: &str) {
    until(what, async || {
        let sent = tokio::time::timeout(TRY, call::get(address, path)).await;
        matches!(sent, Ok(Ok(got)) if got.status.is_success() && got.whole)
    })
    .await;
}

fn check(kind: Unruly, at: At) {
    block_on(async {
        let _alone = CROWDING.lock().await;
        let (_site, _targets, mut node) = start().await;
        until_served(&node).await;
        let crowd = Crowd::send(kind, at.crowd(kind), &at.doors(&node));
        let mut descriptors = 0;
        let ended = tokio::time::Instant::now() + ACTING;
        while tokio::time::Instant::now() < ended {
            tokio::time::sleep(LOOK).await;
            descriptors = descriptors.max(node.process.open_descriptors());
        }
        let acted = node.process.peak_resident_bytes();
        println!("{descriptors} descriptors, {acted} bytes of memory");
        until_served(&node).await;
        until_answered("it is ready", node.ready, "/v1/ready").await;
        until_answered("a lookup is answered", node.directory, RESOLVE).await;
        until_answered("metrics are read", node.metrics, "/metrics").await;
        descriptors = descriptors.max(node.process.open_descriptors());
        let memory = node.process.peak_resident_bytes();
        println!("{descriptors} descriptors, {memory} bytes of memory");
        drop(crowd);
        assert!(node.process.is_running(), "the process ended");
        assert!(
            memory <= MACHINE.memory_mb << 20,
            "{memory} bytes of memory"
        );
        assert!(descriptors <= MACHINE.descriptors, "{descriptors} open");
    });
}

cases! {
    check:
    whole_bodies(Unruly::WholeBody, At::Front);
    small_pieces(Unruly::SmallPieces, At::Front);
    tiny_chunks(Unruly::TinyChunks, At::Front);
    bodies_stated_over(Unruly::StatedOver, At::Front);
    chunks_over(Unruly::ChunksOver, At::Front);
    many_fields(Unruly::ManyFields, At::Front);
    endless_heads(Unruly::EndlessHead, At::Front);
    requests_ahead(Unruly::Ahead, At::Front);
    slow_heads(Unruly::SlowHead, At::Front);
    slow_bodies(Unruly::SlowBody, At::Front);
    slow_readers(Unruly::SlowReader, At::Front);
    half_requests(Unruly::HalfWay, At::Front);
    silent_clients(Unruly::Silent, At::Front);
    whole_bodies_elsewhere(Unruly::WholeBody, At::Others);
    small_pieces_elsewhere(Unruly::SmallPieces, At::Others);
    tiny_chunks_elsewhere(Unruly::TinyChunks, At::Others);
    bodies_stated_over_elsewhere(Unruly::StatedOver, At::Others);
    chunks_over_elsewhere(Unruly::ChunksOver, At::Others);
    many_fields_elsewhere(Unruly::ManyFields, At::Others);
    endless_heads_elsewhere(Unruly::EndlessHead, At::Others);
    requests_ahead_elsewhere(Unruly::Ahead, At::Others);
    slow_heads_elsewhere(Unruly::SlowHead, At::Others);
    slow_bodies_elsewhere(Unruly::SlowBody, At::Others);
    slow_readers_elsewhere(Unruly::SlowReader, At::Others);
    half_requests_elsewhere(Unruly::HalfWay, At::Others);
    silent_clients_elsewhere(Unruly::Silent, At::Others);
    unread_answers_over_http2(Unruly::Http2Unread, At::Others);
    bodies_over_http2(Unruly::Http2Bodies, At::Others);
}

/// Pieces of a body and the pause before each.
type Pieces = (Vec<String>, Duration);

/// Sends a body in pieces while nobody else is there; it must be served, however
/// slow or small they are.
fn check_calm(framing: &str, (pieces, pause): Pieces) {
    block_on(async {
        let _alone = CROWDING.lock().await;
        let (_site, _targets, node) = start().await;
        until_served(&node).await;
        let mut caller = SlowReader::open(node.front).await;
        let head = format!(
            "POST /quote/1 HTTP/1.1\r\nhost: desk.example\r\nrequest-id: calm\r\n\
             authorization: Bearer {KEY}\r\nrequest-deadline: 20000\r\n{framing}\r\n\r\n"
        );
        caller.write(&head).await;
        for piece in pieces {
            tokio::time::sleep(pause).await;
            caller.write(&piece).await;
        }
        let answer = caller.read_to("\r\n\r\n").await;
        let answer = answer.expect("the head of an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

cases! {
    check_calm:
    /// 4 s for 40 bytes: far below what is asked while room is short.
    a_slow_body_in_calm(
        "content-length: 40",
        (vec!["a".to_owned(); 40], Duration::from_millis(100)),
    );
    a_body_in_tiny_chunks_in_calm(
        "transfer-encoding: chunked",
        (vec![format!("{}0\r\n\r\n", "1\r\na\r\n".repeat(64 * 1024))], Duration::ZERO),
    );
    a_head_of_ninety_fields_in_calm(
        &format!("{}content-length: 0", "x: y\r\n".repeat(90)),
        (Vec::new(), Duration::ZERO),
    );
}
