//! The network path from one instance to a target, which can be cut.
//!
//! Unlike a [`super::proxy::Proxy`] it also harms the opening of connections.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// How a path is cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// It is whole.
    #[default]
    None,
    /// Nothing arrives, and nothing is closed.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// New connections are refused. Open ones live on.
    RefuseNew,
    /// New connections are accepted and reset at once, as by a proxy that has lost
    /// what is behind it. Open ones live on.
    ResetNew,
}

/// Connections that wait to be accepted before the system drops further ones.
const SHORT_BACKLOG: u32 = 1;

/// Connections that wait to be accepted on a path that is whole.
const LONG_BACKLOG: u32 = 1024;

/// A path to one target.
#[derive(Debug)]
pub struct TargetPath {
    /// Where the instance connects.
    pub address: SocketAddr,
    cut: watch::Sender<Cut>,
    _guard: DropGuard,
}

impl TargetPath {
    /// Starts a whole path to a target.
    pub async fn start(target: SocketAddr) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        // Nothing else gets the port while nobody listens.
        let port = bind(any);
        let address = port.local_addr().expect("a bound address");
        let (cut, seen) = watch::channel(Cut::None);
        let stop = CancellationToken::new();
        let listener = listen(address, LONG_BACKLOG);
        let running = async move {
            run(listener, address, target, seen).await;
            drop(port);
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(running));
        Self {
            address,
            cut,
            _guard: stop.drop_guard(),
        }
    }

    /// Cuts the path, or makes it whole.
    pub fn set(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }
}

async fn run(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut cut: watch::Receiver<Cut>,
) {
    let mut listener = Some(listener);
    loop {
        let now = *cut.borrow_and_update();
        match now {
            Cut::None => {
                let open = listener.get_or_insert_with(|| listen(address, LONG_BACKLOG));
                tokio::select! {
                    accepted = open.accept() => {
                        if let Ok((stream, _)) = accepted {
                            tokio::spawn(relay(stream, target, cut.clone()));
                        }
                    }
                    _ = cut.changed() => {}
                }
            }
            Cut::ResetNew => {
                let open = listener.get_or_insert_with(|| listen(address, LONG_BACKLOG));
                tokio::select! {
                    accepted = open.accept() => {
                        if let Ok((stream, _)) = accepted {
                            // It is reset when it is dropped.
                            let _ = stream.set_zero_linger();
                        }
                    }
                    _ = cut.changed() => {}
                }
            }
            Cut::Reset | Cut::RefuseNew => {
                listener = None;
                let _ = cut.changed().await;
            }
            Cut::Hang => {
                drop(listener.take());
                let full = listen(address, SHORT_BACKLOG);
                let filling = async {
                    let mut waiting = Vec::new();
                    loop {
                        waiting.push(TcpStream::connect(address).await);
                    }
                };
                tokio::select! {
                    () = filling => {}
                    _ = cut.changed() => {}
                }
                drop(full);
            }
        }
    }
}

fn bind(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseport(true).expect("an option");
    socket.bind(address).expect("the address is free");
    socket
}

fn listen(address: SocketAddr, backlog: u32) -> TcpListener {
    let socket = bind(address);
    socket.listen(backlog).expect("the address is ours")
}

async fn relay(stream: TcpStream, target: SocketAddr, cut: watch::Receiver<Cut>) {
    let Ok(behind) = TcpStream::connect(target).await else {
        return;
    };
    let (_, _) = (stream.set_nodelay(true), behind.set_nodelay(true));
    let mut seen = cut.clone();
    let (from, to) = stream.into_split();
    let (back_from, back_to) = behind.into_split();
    let forth = pass(from, back_to, cut.clone());
    let back = pass(back_from, to, cut);
    tokio::select! {
        _ = async { tokio::join!(forth, back) } => {}
        _ = seen.wait_for(|cut| *cut == Cut::Reset) => {}
    }
}

/// Passes bytes one way until the connection ends.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<Cut>) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        if cut.wait_for(|cut| *cut != Cut::Hang).await.is_err() {
            break;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
