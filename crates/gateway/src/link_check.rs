//! Closes links to instances whose process has ended, so that what waits for an
//! answer from there fails at once.
//!
//! Silence alone is no evidence, as an instance may go on after it. A closed
//! port is: the instances listen on theirs until they end.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_sibling::Connected;
use chiverelay_sibling::Link;
use tokio::net::UdpSocket;

use crate::Dialect;
use crate::Gateway;
use crate::links::CloseCause;

/// Time without a datagram after which a link is checked, longer than between
/// two signs of life on it.
const CHECK_AFTER: Duration = Duration::from_millis(1500);

/// Time to wait for the reply to a check. An open port gives none.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// Content of a check, which is too short for a QUIC packet and ignored.
const CHECK: &[u8] = &[0];

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Starts a check of each link on which nothing arrives.
    pub(crate) fn check_silent_links(self: &Arc<Self>, now: Duration) {
        let silent = self.links.list_silent(CHECK_AFTER, now);
        for link in silent.up {
            tokio::spawn(Arc::clone(self).check_link(link));
        }
        for link in silent.draining {
            tokio::spawn(Arc::clone(self).check_link(link));
        }
    }

    /// Closes the link if nothing listens any more at the address that it leads
    /// to, whatever the instance's record says.
    async fn check_link<S>(self: Arc<Self>, link: Link<S>)
    where
        S: Connected,
    {
        let local = self.settings.sibling_address.ip();
        if is_port_closed(local, link.address()).await {
            self.links.close(link, CloseCause::InstanceEnded);
        }
    }
}

/// Tells whether the host at `address` replies that nothing listens on the
/// port. A check that fails in any other way says nothing.
async fn is_port_closed(local: IpAddr, address: SocketAddr) -> bool {
    let checking = async {
        let socket = UdpSocket::bind((local, 0)).await?;
        socket.connect(address).await?;
        socket.send(CHECK).await?;
        socket.recv(&mut [0; 1]).await
    };
    let checked = tokio::time::timeout(REPLY_TIMEOUT, checking).await;
    matches!(checked, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
