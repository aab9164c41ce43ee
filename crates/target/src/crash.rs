//! Tells a target that has crashed from one that lost a single connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Tells whether nothing listens at a target's address any more, so that
/// connections are refused.
///
/// A target that does not respond within `timeout` may be cut off or overloaded
/// and does not count.
pub async fn refuses_connections(address: SocketAddr, timeout: Duration) -> bool {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Err(e)) => e.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
