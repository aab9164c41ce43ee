//! Links that can be cut: relays for TCP and UDP on loopback.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Largest datagram.
const MAX_DATAGRAM: usize = 65_536;

/// Cuts and mends a link.
#[derive(Clone, Debug)]
pub struct Switch {
    tx: Arc<watch::Sender<bool>>,
}

impl Default for Switch {
    fn default() -> Self {
        Self {
            tx: Arc::new(watch::Sender::new(false)),
        }
    }
}

impl Switch {
    /// Drops everything on the link from now on.
    pub fn cut(&self) {
        self.tx.send_replace(true);
    }

    /// Lets everything pass again.
    pub fn mend(&self) {
        self.tx.send_replace(false);
    }

    fn is_cut(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits until the link is cut.
    async fn wait_cut(&self) {
        // The sender lives as long as this switch.
        let _ = self.tx.subscribe().wait_for(|cut| *cut).await;
    }
}

/// A relay for datagrams in front of one address.
#[derive(Debug)]
pub struct UdpLink {
    /// Cuts and mends the link.
    pub switch: Switch,
    front: Arc<UdpSocket>,
    upstream: Mutex<Option<SocketAddr>>,
    blocked: Mutex<HashSet<SocketAddr>>,
}

impl UdpLink {
    /// Opens the relay's front.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn bind() -> std::io::Result<Arc<Self>> {
        let front = UdpSocket::bind("127.0.0.1:0").await?;
        Ok(Arc::new(Self {
            switch: Switch::default(),
            front: Arc::new(front),
            upstream: Mutex::new(None),
            blocked: Mutex::default(),
        }))
    }

    /// Returns the address of the front.
    ///
    /// # Errors
    ///
    /// Fails if the socket was closed.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.front.local_addr()
    }

    /// Sets the address behind the relay.
    pub fn set_upstream(&self, address: SocketAddr) {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    /// Drops what comes from, or goes to, one address.
    pub fn block(&self, peer: SocketAddr) {
        self.blocked().insert(peer);
    }

    /// Lets pass again what [`UdpLink::block`] drops.
    pub fn unblock(&self, peer: &SocketAddr) {
        self.blocked().remove(peer);
    }

    fn blocked(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.blocked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn passes(&self, peer: &SocketAddr) -> bool {
        !self.switch.is_cut() && !self.blocked().contains(peer)
    }

    fn upstream(&self) -> Option<SocketAddr> {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Relays until `cancel`.
    ///
    /// # Errors
    ///
    /// Fails if the front is closed.
    pub async fn run(self: Arc<Self>, cancel: CancellationToken) -> std::io::Result<()> {
        let mut peers: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let (len, peer) = tokio::select! {
                () = cancel.cancelled() => return Ok(()),
                received = self.front.recv_from(&mut buf) => match received {
                    Ok(received) => received,
                    // A peer that went away is reported on the next read.
                    Err(_) => continue,
                },
            };
            let Some(upstream) = self.upstream() else {
                continue;
            };
            if !self.passes(&peer) {
                continue;
            }
            let socket = match peers.get(&peer) {
                Some(socket) => Arc::clone(socket),
                None => {
                    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
                    peers.insert(peer, Arc::clone(&socket));
                    let back = Arc::clone(&self).back(Arc::clone(&socket), peer);
                    tokio::spawn(cancel.clone().run_until_cancelled_owned(back));
                    socket
                }
            };
            // A lost datagram is the receiver's to notice.
            let _ = socket.send_to(&buf[..len], upstream).await;
        }
    }

    async fn back(self: Arc<Self>, socket: Arc<UdpSocket>, peer: SocketAddr) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buf).await else {
                continue;
            };
            if self.passes(&peer) {
                // A lost datagram is the receiver's to notice.
                let _ = self.front.send_to(&buf[..len], peer).await;
            }
        }
    }
}

/// Relays connections from `listener` to `upstream` until `cancel`. A cut
/// drops open connections and every new one.
pub async fn run_tcp(
    listener: TcpListener,
    upstream: SocketAddr,
    switch: Switch,
    cancel: CancellationToken,
) {
    loop {
        let stream = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        if switch.is_cut() {
            continue;
        }
        let switch = switch.clone();
        let cancel = cancel.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = switch.wait_cut() => {}
                () = copy(stream, upstream) => {}
            }
        });
    }
}

async fn copy(mut stream: TcpStream, upstream: SocketAddr) {
    if let Ok(mut behind) = TcpStream::connect(upstream).await {
        // Either end may close first.
        let _ = tokio::io::copy_bidirectional(&mut stream, &mut behind).await;
    }
}
