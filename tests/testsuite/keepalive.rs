//! Socket options that end the connections of peers that have vanished.

use std::time::Duration;

use chiverelay_http as http;
use socket2::SockRef;
use support::block_on;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// What a socket's options say of a peer that has vanished.
#[derive(Debug, PartialEq, Eq)]
struct Detection {
    /// Time until the last probe has failed.
    probes: Duration,
    /// Time without an acknowledgement, if it is bounded.
    unacknowledged: Option<Duration>,
}

impl Detection {
    fn of(stream: &TcpStream) -> Self {
        let socket = SockRef::from(stream);
        let time = socket.tcp_keepalive_time().expect("an idle time");
        let interval = socket.tcp_keepalive_interval().expect("an interval");
        let retries = socket.tcp_keepalive_retries().expect("a number of probes");
        Self {
            probes: time + interval * retries,
            unacknowledged: socket.tcp_user_timeout().expect("a timeout"),
        }
    }
}

async fn connection() -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await;
    stream.expect("a connection")
}

/// Failure: the user timeout of 4 s decided when probes ended, whose count said
/// 3 s.
#[test]
fn probes_and_user_timeout_end_a_connection_after_the_same_time() {
    block_on(async {
        let stream = connection().await;
        http::enable_keepalive(&stream);
        let detection = Detection::of(&stream);
        assert_eq!(Some(detection.probes), detection.unacknowledged);
        assert_eq!(detection.probes, Duration::from_secs(4));
    });
}

/// A peer may leave data unread for long, so that only the probes' count ends
/// its connection.
#[test]
fn idle_keepalive_sets_no_user_timeout() {
    block_on(async {
        let stream = connection().await;
        http::enable_idle_keepalive(&stream);
        let want = Detection {
            probes: Duration::from_secs(3),
            unacknowledged: None,
        };
        assert_eq!(Detection::of(&stream), want);
    });
}
