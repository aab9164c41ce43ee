//! Requests that arrive before the first listings of the store.

use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use support::block_on;
use support::node::PlatformStore;
use support::node::Site;
use support::node::call::Call;
use support::node::proxy::Harm;
use support::node::proxy::Proxy;
use support::node::site::KEY;
use support::node::site::until;
use tokio::net::TcpStream;

/// Time that the caller grants the request.
const DEADLINE: Duration = Duration::from_millis(100);

/// Time in which a request is refused, shorter than one without a deadline
/// waits for the listings.
const LIMIT: Duration = Duration::from_millis(450);

/// Failure: a request was held past its deadline for the first listings.
#[test]
fn a_request_waits_for_the_listings_no_longer_than_its_deadline() {
    block_on(async {
        let store = PlatformStore::start().await;
        let silent = Proxy::start(store.address).await;
        silent.set(Harm::Silence);
        let site = Site::before(store, silent.address);
        let node = site.spawn("one", "north-a", "north");
        until("the instance listens", async || {
            TcpStream::connect(node.front).await.is_ok()
        })
        .await;
        let deadline = DEADLINE.as_millis().to_string();
        let call = Call::new("r-1", "/status/1").key(KEY);
        let call = call.header("request-deadline", &deadline);
        let since = Instant::now();
        let got = call.send(node.front).await;
        let took = since.elapsed();
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(took < LIMIT, "after {took:?}");
    });
}
