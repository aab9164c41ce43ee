//! The daemon's connections of callers are bounded, and none waits unanswered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_caller::Handler;
use chiverelay_caller::Inbound;
use chiverelay_caller::Limits;
use chiverelay_caller::Reply;
use chiverelay_caller::ReplyBody;
use chiverelay_caller::Server;
use chiverelay_caller::Shutdown;
use chiverelay_decisions::refusal::Refusal;
use hyper::HeaderMap;
use hyper::StatusCode;
use support::block_on;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Number of connections that the server may have.
const LIMIT: usize = 4;

/// Time in which a request that can't be served is refused.
const PROMPT: Duration = Duration::from_secs(3);

/// Time in which a connection without a place is closed, with some to spare.
const UNPLACED: Duration = Duration::from_millis(2500);

/// The start of HTTP/2 with an empty frame of settings, but no request.
const HTTP2_START: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

const REQUEST: &[u8] = b"POST /orders HTTP/1.1\r\nhost: gateway\r\ncontent-length: 0\r\n\r\n";

/// Answers once it is told to.
#[derive(Debug, Default)]
struct Waiting(Notify);

impl Handler for Waiting {
    async fn handle(&self, _: Inbound) -> Reply {
        self.0.notified().await;
        Reply {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: ReplyBody::Full(Bytes::from_static(b"answer")),
        }
    }

    fn refused(&self, _: &Refusal) {}
}

async fn start() -> (SocketAddr, Arc<Waiting>) {
    let limits = Limits {
        max_connections: LIMIT,
        ..Limits::default()
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = Server::bind(address, limits, None).await;
    let server = server.expect("a listener");
    let address = server.address();
    let shutdown = Shutdown {
        notice: CancellationToken::new(),
        close: CancellationToken::new(),
    };
    let handler = Arc::new(Waiting::default());
    tokio::spawn(server.run(Arc::clone(&handler), shutdown));
    (address, handler)
}

async fn send(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(REQUEST).await.expect("written");
    stream
}

async fn read_start(stream: &mut TcpStream) -> String {
    let mut buf = vec![0; 4096];
    let read = tokio::time::timeout(PROMPT, stream.read(&mut buf)).await;
    let len = read.expect("an answer in time").expect("no reset");
    String::from_utf8_lossy(&buf[..len]).to_lowercase()
}

/// Failure: callers beyond the limit hung until others had gone.
#[test]
fn a_caller_beyond_the_limit_is_refused_at_once() {
    block_on(async {
        let (address, handler) = start().await;
        let mut open = Vec::new();
        for _ in 0..LIMIT {
            open.push(send(address).await);
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
        let refused = read_start(&mut send(address).await).await;
        assert!(refused.starts_with("http/1.1 503"), "{refused}");
        assert!(refused.contains("retry-after: "), "{refused}");
        assert!(refused.contains("connection: close"), "{refused}");
        assert!(
            refused.contains("\"overloaded\",\"outcome\":\"not_run\""),
            "{refused}"
        );
        // The requests may wait in another order than they were sent in.
        (0..LIMIT).for_each(|_| handler.0.notify_one());
        for mut stream in open {
            let answer = read_start(&mut stream).await;
            assert!(answer.starts_with("http/1.1 200"), "{answer}");
        }
    });
}

/// Failure: connections that callers kept and did not use kept others waiting.
#[test]
fn an_idle_connection_gives_way_to_a_new_caller() {
    block_on(async {
        let (address, handler) = start().await;
        let mut kept = Vec::new();
        for _ in 0..LIMIT {
            handler.0.notify_one();
            let mut stream = send(address).await;
            let answer = read_start(&mut stream).await;
            assert!(answer.starts_with("http/1.1 200"), "{answer}");
            kept.push(stream);
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
        handler.0.notify_one();
        let answer = read_start(&mut send(address).await).await;
        assert!(answer.starts_with("http/1.1 200"), "{answer}");
        assert_eq!(read_start(&mut kept[0]).await, "", "the first is open");
    });
}

/// Failure: HTTP/2 connections without a place stayed open and unused, and all
/// later callers hung.
#[test]
fn an_unused_http2_connection_without_a_place_is_closed() {
    block_on(async {
        let (address, _handler) = start().await;
        let mut open = Vec::new();
        for _ in 0..LIMIT {
            open.push(send(address).await);
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
        let mut unused = Vec::new();
        for _ in 0..LIMIT {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream.write_all(HTTP2_START).await.expect("written");
            unused.push(stream);
        }
        tokio::time::sleep(UNPLACED).await;
        let refused = read_start(&mut send(address).await).await;
        assert!(refused.starts_with("http/1.1 503"), "{refused}");
    });
}
