//! Connections to targets are bounded, and idle ones give way.

use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::Target;
use chiverelay_target::connection_pool::ConnectionPool;
use chiverelay_target::connection_pool::PooledConnection;
use chiverelay_target::connection_pool::Purpose;
use http_body_util::Full;
use hyper::Request;
use support::block_on;
use support::node::PlatformTarget;

/// Longest idle time of a reused connection.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// Returns a pool of two connections.
fn pool() -> ConnectionPool {
    ConnectionPool::new(Duration::from_secs(5), 2)
}

async fn connect(pool: &ConnectionPool, to: &PlatformTarget) -> PooledConnection {
    let name = Target::from(to.name.as_str());
    let acquired = pool.acquire(&name, to.address, MAX_IDLE, Purpose::FirstAttempt);
    let acquired = acquired.await;
    acquired.expect("a connection")
}

/// Sends a request and returns the connection to the pool.
async fn use_once(pool: &ConnectionPool, conn: PooledConnection) {
    let req = Request::builder()
        .header("host", "target")
        .body(Full::new(Bytes::new()));
    let sent = conn.send(req.expect("a request")).await;
    let mut resp = sent.expect("a response");
    while resp.next_chunk().await.expect("a whole body").is_some() {}
    resp.release(pool);
}

/// Failure: connections to targets took the last descriptors, and targets were
/// blamed for connections that this side could not open.
#[test]
fn no_connection_is_opened_beyond_the_limit() {
    block_on(async {
        let (one, two) = (
            PlatformTarget::start("i-1").await,
            PlatformTarget::start("i-2").await,
        );
        let pool = pool();
        let first = connect(&pool, &one).await;
        let _second = connect(&pool, &two).await;
        let name = Target::from("i-1");
        let third = pool.acquire(&name, one.address, MAX_IDLE, Purpose::FurtherAttempt);
        assert!(third.await.expect_err("no place").is_local_limit());
        drop(first);
        connect(&pool, &one).await;
    });
}

/// Failure: connections that nobody used kept others from being opened.
#[test]
fn an_idle_connection_gives_way_to_one_that_is_needed() {
    block_on(async {
        let (one, two) = (
            PlatformTarget::start("i-1").await,
            PlatformTarget::start("i-2").await,
        );
        let pool = pool();
        for _ in 0..2 {
            let (first, second) = (connect(&pool, &one).await, connect(&pool, &one).await);
            use_once(&pool, first).await;
            use_once(&pool, second).await;
            assert_eq!(pool.count_open(), 2);
            let _needed = connect(&pool, &two).await;
            assert_eq!(pool.count_open(), 2);
        }
    });
}

/// Failure: a stream that had lost its target competed with new requests for a
/// connection to another one, and was cut where they could have been refused.
#[test]
fn new_requests_leave_connections_to_those_that_go_on() {
    block_on(async {
        let one = PlatformTarget::start("i-1").await;
        let pool = ConnectionPool::new(Duration::from_secs(5), 8);
        let mut open = Vec::new();
        for _ in 0..7 {
            open.push(connect(&pool, &one).await);
        }
        let name = Target::from("i-1");
        let new = pool.acquire(&name, one.address, MAX_IDLE, Purpose::FirstAttempt);
        assert!(new.await.expect_err("no place").is_local_limit());
        let going_on = pool.acquire(&name, one.address, MAX_IDLE, Purpose::FurtherAttempt);
        going_on.await.expect("a connection");
    });
}
