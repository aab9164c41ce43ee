//! A loopback proxy before a target or the store, which harms connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// What a proxy does to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Each piece comes later.
    Delay(Duration),
    /// Open connections and new ones are reset.
    Reset,
    /// Nothing passes, and nothing is closed.
    Silence,
    /// What comes from behind is lost, so requests arrive without an answer; a
    /// connection that lost something ends with the harm.
    OneWay,
}

/// A proxy before one address.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: watch::Sender<Harm>,
    _guard: DropGuard,
}

impl Proxy {
    /// Starts a proxy that does no harm.
    pub async fn start(upstream: SocketAddr) -> Self {
        let (harm, seen) = watch::channel(Harm::None);
        let (address, guard) = listen(upstream, seen).await;
        Self {
            address,
            harm,
            _guard: guard,
        }
    }

    /// Changes what the proxy does, also to open connections.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

/// Accepts connections until the guard is dropped.
async fn listen(upstream: SocketAddr, harm: watch::Receiver<Harm>) -> (SocketAddr, DropGuard) {
    let (listener, address) = crate::platform::listener().await;
    let stop = CancellationToken::new();
    let until = stop.clone();
    let running = run(listener, upstream, harm);
    tokio::spawn(async move { until.run_until_cancelled(running).await });
    (address, stop.drop_guard())
}

async fn run(listener: TcpListener, upstream: SocketAddr, harm: watch::Receiver<Harm>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay(stream, upstream, harm.clone()));
        }
    }
}

async fn relay(stream: TcpStream, upstream: SocketAddr, harm: watch::Receiver<Harm>) {
    // A connection that is dropped with unread bytes is reset.
    if *harm.borrow() == Harm::Reset {
        let _ = stream.set_zero_linger();
        return;
    }
    let Ok(behind) = TcpStream::connect(upstream).await else {
        return;
    };
    let (_, _) = (stream.set_nodelay(true), behind.set_nodelay(true));
    let mut seen = harm.clone();
    let (from, to) = stream.into_split();
    let (back_from, back_to) = behind.into_split();
    let forth = pass(from, back_to, harm.clone(), false);
    let back = pass(back_from, to, harm, true);
    tokio::select! {
        _ = async { tokio::join!(forth, back) } => {}
        _ = seen.wait_for(|harm| *harm == Harm::Reset) => {}
    }
}

/// Passes bytes one way until the connection ends.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harm: watch::Receiver<Harm>,
    is_back: bool,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        let now = *harm.borrow();
        match now {
            Harm::Delay(time) => tokio::time::sleep(time).await,
            // What was lost does not come later: the connection is of no use.
            Harm::OneWay if is_back => {
                let _ = harm.wait_for(|harm| *harm != Harm::OneWay).await;
                break;
            }
            _ => {}
        }
        if harm.wait_for(|harm| *harm != Harm::Silence).await.is_err() {
            break;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
