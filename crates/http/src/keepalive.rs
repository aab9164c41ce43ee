//! Probes of idle TCP connections, which show a peer that is gone in silence.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time without bytes after which a connection is probed, and between probes.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection has ended.
pub(crate) const KEEPALIVE_RETRIES: u32 = 2;

/// Time for which sent bytes may stay without an acknowledgement.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Has the kernel end a connection whose peer is gone in silence, within a few
/// seconds.
pub fn enable_keepalive(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    if let Err(e) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!("http: no probes on a connection: {e}");
    }
    if let Err(e) = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)) {
        log::debug!("http: no timeout of unacknowledged bytes: {e}");
    }
}
