//! Crowds of clients that don't behave, at a daemon's doors for callers and for
//! operators: the process lives, stays within its machine, and still serves
//! others.
//!
//! Crowd and bounds were fixed on the code before it was changed for them.

use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_operator::api::GrantedKey;
use serde_json::json;
use support::block_on;
use support::caller;
use support::cases;
use support::crowd::Crowd;
use support::crowd::Door;
use support::crowd::Unruly;
use support::node::SlowReader;
use support::site::Daemon;
use support::site::Site;
use support::site::TOKEN;
use support::site::document;
use support::site::eventually;

/// Held by the crowd that is there, as more of them would wait for the processor.
pub(crate) static CROWDING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Memory of the machine, in bytes: four times what bodies may have.
const MEMORY_BYTES: u64 = 64 << 20;

/// Memory more for operators with the token, in bytes: that of a document, whose
/// largest size is no setting.
const DOCUMENT_BYTES: u64 = 64 << 20;

/// Memory for bodies in the settings, in bytes.
const BODY_MEMORY_BYTES: usize = 16 << 20;

/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Connections of callers in the settings.
const MAX_CONNECTIONS: usize = 250;

/// Most descriptors of a process with so many connections: those that are
/// refused, and as many as admission leaves to files, targets and operators.
const MAX_DESCRIPTORS: u64 = 600;

/// Clients at the callers' door.
const CALLER_CROWD: usize = 400;

/// Clients at the operators' door, more than there are descriptors.
const OPERATOR_CROWD: usize = 700;

/// Clients over HTTP/2, each with many requests.
const HTTP2_CROWD: usize = 60;

/// Time in which a crowd does what it does.
const ACTING: Duration = Duration::from_millis(1500);

/// Pause between two counts of descriptors.
const LOOK: Duration = Duration::from_millis(50);

/// Time for one try of an ordinary client.
const TRY: Duration = Duration::from_secs(4);

/// Where a crowd goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// The callers' door: paths with a route, without one, and of the instance.
    Callers,
    /// The path of chats.
    Chat,
    /// The operators' door, without a token.
    Operators,
    /// The operators' door, with the token.
    OperatorsWithToken,
}

impl At {
    fn doors(self, daemon: &Daemon, key: &str) -> Vec<Door> {
        let door = |address: SocketAddr, path: &str, key: &str| Door {
            address,
            path: path.to_owned(),
            key: key.to_owned(),
            max_body: MAX_BODY_BYTES,
        };
        match self {
            Self::Callers => ["/orders", "/nowhere", "/readyz", "/v1/models"]
                .map(|path| door(daemon.caller, path, key))
                .to_vec(),
            Self::Chat => vec![door(daemon.caller, "/v1/chat/completions", key)],
            Self::Operators => vec![door(daemon.operator, "/v1/keys", "wrong")],
            Self::OperatorsWithToken => ["/v1/keys", "/v1/status", "/v1/events", "/nowhere"]
                .map(|path| door(daemon.operator, path, TOKEN))
                .to_vec(),
        }
    }

    fn memory(self) -> u64 {
        match self {
            Self::OperatorsWithToken => MEMORY_BYTES + DOCUMENT_BYTES,
            Self::Callers | Self::Chat | Self::Operators => MEMORY_BYTES,
        }
    }

    fn crowd(self, kind: Unruly) -> usize {
        match (kind, self) {
            (Unruly::Http2Unread | Unruly::Http2Bodies, _) => HTTP2_CROWD,
            (_, Self::Callers | Self::Chat) => CALLER_CROWD,
            (_, Self::Operators | Self::OperatorsWithToken) => OPERATOR_CROWD,
        }
    }
}

async fn start() -> (Site, GrantedKey) {
    let mut site = Site::empty().await;
    let settings = json!({"caller": {
        "listen": "127.0.0.1:0", "max-body": MAX_BODY_BYTES, "body-memory": BODY_MEMORY_BYTES,
        "max-connections": MAX_CONNECTIONS, "body-timeout-ms": 60_000,
    }});
    site.start_daemon("lima-1", "lima", &settings);
    let (_, service) = site.service().await;
    site.apply("lima-1", document(&[], &[("orders-1", service, "lima")]))
        .await;
    let granted = site.grant("lima-1", "encargos").await;
    (site, granted)
}

/// Waits until an ordinary request is served, which comes again if it is
/// refused.
async fn until_served(daemon: &Daemon, key: &str) {
    eventually("an ordinary request is served", async || {
        let body = json!({});
        let call = caller::post(daemon.caller, "/orders", key, &body);
        let sent = tokio::time::timeout(TRY, call).await;
        matches!(sent, Ok(Ok(answer)) if answer.status.is_success() && answer.whole)
    })
    .await;
}

fn check(kind: Unruly, at: At) {
    block_on(async {
        let _alone = CROWDING.lock().await;
        let (mut site, granted) = start().await;
        let daemon = site.daemon("lima-1");
        until_served(daemon, &granted.key).await;
        let crowd = Crowd::send(kind, at.crowd(kind), &at.doors(daemon, &granted.key));
        let mut descriptors = 0;
        let ended = tokio::time::Instant::now() + ACTING;
        while tokio::time::Instant::now() < ended {
            tokio::time::sleep(LOOK).await;
            descriptors = descriptors.max(daemon.process.open_descriptors());
        }
        let acted = daemon.process.peak_resident_bytes();
        println!("{descriptors} descriptors, {acted} bytes of memory");
        until_served(daemon, &granted.key).await;
        eventually("an operator is answered", async || {
            let client = daemon.client();
            let sent = tokio::time::timeout(TRY, client.status()).await;
            matches!(sent, Ok(Ok(_)))
        })
        .await;
        descriptors = descriptors.max(daemon.process.open_descriptors());
        let memory = daemon.process.peak_resident_bytes();
        println!("{descriptors} descriptors, {memory} bytes of memory");
        drop(crowd);
        assert!(
            site.daemon_mut("lima-1").process.is_running(),
            "the process ended"
        );
        assert!(memory <= at.memory(), "{memory} bytes of memory");
        assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors} open");
    });
}

cases! {
    check:
    whole_bodies(Unruly::WholeBody, At::Callers);
    small_pieces(Unruly::SmallPieces, At::Callers);
    tiny_chunks(Unruly::TinyChunks, At::Callers);
    bodies_stated_over(Unruly::StatedOver, At::Callers);
    chunks_over(Unruly::ChunksOver, At::Callers);
    many_fields(Unruly::ManyFields, At::Callers);
    many_json_fields(Unruly::ManyJsonFields, At::Chat);
    endless_heads(Unruly::EndlessHead, At::Callers);
    requests_ahead(Unruly::Ahead, At::Callers);
    slow_heads(Unruly::SlowHead, At::Callers);
    slow_bodies(Unruly::SlowBody, At::Callers);
    slow_readers(Unruly::SlowReader, At::Callers);
    half_requests(Unruly::HalfWay, At::Callers);
    silent_clients(Unruly::Silent, At::Callers);
    unread_answers_over_http2(Unruly::Http2Unread, At::Callers);
    bodies_over_http2(Unruly::Http2Bodies, At::Callers);
    whole_bodies_to_operators(Unruly::WholeBody, At::Operators);
    chunks_over_to_operators(Unruly::ChunksOver, At::Operators);
    many_fields_to_operators(Unruly::ManyFields, At::Operators);
    endless_heads_to_operators(Unruly::EndlessHead, At::Operators);
    requests_ahead_to_operators(Unruly::Ahead, At::Operators);
    slow_heads_to_operators(Unruly::SlowHead, At::Operators);
    slow_readers_to_operators(Unruly::SlowReader, At::Operators);
    half_requests_to_operators(Unruly::HalfWay, At::Operators);
    silent_operators(Unruly::Silent, At::Operators);
    unread_answers_to_operators(Unruly::Http2Unread, At::Operators);
    bodies_of_operators(Unruly::ChunksOver, At::OperatorsWithToken);
    requests_ahead_of_operators(Unruly::Ahead, At::OperatorsWithToken);
}

/// Pause between two bytes of a slow body, of which 40 take 4 s.
const CALM_PAUSE: Duration = Duration::from_millis(100);

/// A body far below what is asked while room is short is served in calm.
#[test]
fn a_slow_body_in_calm() {
    block_on(async {
        let _alone = CROWDING.lock().await;
        let (site, granted) = start().await;
        let daemon = site.daemon("lima-1");
        until_served(daemon, &granted.key).await;
        let mut caller = SlowReader::open(daemon.caller).await;
        let head = format!(
            "POST /orders HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer {}\r\n\
             content-length: 40\r\n\r\n",
            granted.key
        );
        caller.write(&head).await;
        for _ in 0..40 {
            tokio::time::sleep(CALM_PAUSE).await;
            caller.write(" ").await;
        }
        let answer = caller.read_to("\r\n\r\n").await;
        let answer = answer.expect("the head of an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}
