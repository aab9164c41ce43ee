//! Tells whether a target can be reached at all.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Tells whether a connection to a target can be opened within `timeout`. It is
/// closed at once, and nothing is sent on it.
pub async fn accepts_connections(address: SocketAddr, timeout: Duration) -> bool {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    matches!(connecting.await, Ok(Ok(_)))
}
