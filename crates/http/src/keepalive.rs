//! TCP keepalive, which detects a peer that vanished without closing the
//! connection.
//!
//! On Linux a TCP user timeout, where one is set, decides instead of the number
//! of unanswered probes. A connection either has none, so that the number
//! decides, or has one that ends it at the moment of the last probe.

use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time after which a connection is probed, and interval between probes.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection without a user timeout
/// is closed.
pub(crate) const KEEPALIVE_RETRIES: u32 = 2;

/// Time after which a connection with unacknowledged data or probes is closed.
/// Retransmissions are up to 1.6 s apart by then, so that data sent into an
/// outage of a second or two still arrives.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of probes until [`UNACKNOWLEDGED_TIMEOUT`], the first of which is
/// sent after an idle interval.
const KEEPALIVE_RETRIES_IN_TIMEOUT: u32 =
    (UNACKNOWLEDGED_TIMEOUT.as_secs() / KEEPALIVE_INTERVAL.as_secs()) as u32 - 1;

/// Makes the kernel close a connection [`UNACKNOWLEDGED_TIMEOUT`] after its
/// peer has vanished, whether data is on its way or not. A peer that leaves
/// data unread for that time loses it too. Failures are logged only, as the
/// connection works without it.
pub fn enable_keepalive(stream: &TcpStream) {
    enable_probes(stream, KEEPALIVE_RETRIES_IN_TIMEOUT);
    let socket = SockRef::from(stream);
    if let Err(e) = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)) {
        log::debug!("http: setting the TCP user timeout failed: {e}");
    }
}

/// Makes the kernel close a connection within a few seconds after its peer has
/// vanished, unless data is on its way. Failures are logged only.
pub fn enable_idle_keepalive(stream: &TcpStream) {
    enable_probes(stream, KEEPALIVE_RETRIES);
}

fn enable_probes(stream: &TcpStream, retries: u32) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(retries);
    if let Err(e) = socket.set_tcp_keepalive(&keepalive) {
        log::debug!("http: enabling TCP keepalive failed: {e}");
    }
}
