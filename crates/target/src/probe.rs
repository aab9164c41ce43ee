//! Tells whether a target can be reached at all.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Time after which a connection that is still open counts as kept. A
/// proxy in front of a target may accept connections and then reset them.
const HOLD_TIME: Duration = Duration::from_millis(50);

/// A connection to a target, on which nothing is sent.
#[derive(Debug)]
pub struct ProbeConnection(TcpStream);

impl ProbeConnection {
    /// Opens a connection; `None` if that fails or takes longer than `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Option<Self> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        connecting.await.ok()?.ok().map(Self)
    }

    /// Tells whether the other side keeps the connection, for a moment at least.
    pub async fn is_kept(mut self) -> bool {
        let mut buf = [0];
        let reading = tokio::time::timeout(HOLD_TIME, self.0.read(&mut buf));
        matches!(reading.await, Err(_) | Ok(Ok(1..)))
    }
}
