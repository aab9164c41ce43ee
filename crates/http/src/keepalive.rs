//! TCP keepalive, which detects a peer that vanished without closing the
//! connection.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time after which a connection is probed, and interval between probes.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection is closed.
pub(crate) const KEEPALIVE_RETRIES: u32 = 2;

/// Time after which a connection with unacknowledged data is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Makes the kernel close a connection within a few seconds after its peer has
/// vanished. A peer that leaves data unread for that time loses it too.
/// Failures are logged only, as the connection works without it.
pub fn enable_keepalive(stream: &TcpStream) {
    enable_idle_keepalive(stream);
    let socket = SockRef::from(stream);
    if let Err(e) = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)) {
        log::debug!("http: setting the TCP user timeout failed: {e}");
    }
}

/// Makes the kernel close a connection within a few seconds after its peer has
/// vanished, unless data is on its way. Failures are logged only.
pub fn enable_idle_keepalive(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    if let Err(e) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!("http: enabling TCP keepalive failed: {e}");
    }
}
