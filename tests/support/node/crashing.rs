//! Targets that crash under requests with a certain prompt part.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::endless::read_head;

/// Time from a crash until the target listens again.
const DOWNTIME: Duration = Duration::from_millis(400);

/// A target that ends all its connections and stops listening for a while when
/// it begins to answer a request with the part.
#[derive(Debug)]
pub struct CrashingTarget {
    /// Where it listens.
    pub address: SocketAddr,
    crashes: Arc<AtomicUsize>,
    _guard: DropGuard,
}

impl CrashingTarget {
    /// Starts a target that crashes under requests whose prompt has `part`, as
    /// callers write it.
    pub async fn start(part: &'static str) -> Self {
        let (listener, address) = crate::platform::listener().await;
        let crashes = Arc::new(AtomicUsize::new(0));
        let stop = CancellationToken::new();
        let (counted, stopped) = (Arc::clone(&crashes), stop.clone());
        let running = async move {
            let mut listener = listener;
            loop {
                run_until_crash(listener, part).await;
                counted.fetch_add(1, Ordering::SeqCst);
                tokio::time::sleep(DOWNTIME).await;
                listener = listen_again(address);
            }
        };
        tokio::spawn(async move { stopped.run_until_cancelled(running).await });
        Self {
            address,
            crashes,
            _guard: stop.drop_guard(),
        }
    }

    /// Counts its crashes.
    pub fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }
}

fn listen_again(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an option of sockets");
    socket.bind(address).expect("the address is free again");
    socket.listen(128).expect("a listener")
}

/// Serves connections until a request crashes the target, which ends them all.
async fn run_until_crash(listener: TcpListener, part: &'static str) {
    let crash = CancellationToken::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                let crash = crash.clone();
                tokio::spawn(async move {
                    let serving = serve(stream, part, &crash);
                    crash.run_until_cancelled(serving).await;
                });
            }
            () = crash.cancelled() => return,
        }
    }
}

/// Answers one request with a stream of two events, or crashes.
async fn serve(mut stream: TcpStream, part: &str, crash: &CancellationToken) {
    let Ok(head) = read_head(&mut stream).await else {
        return;
    };
    let header = |name: &str| {
        let mut lines = head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    };
    let parts = header("prompt-prefix").unwrap_or_default();
    if parts
        .split(',')
        .any(|entry| entry.split(':').next() == Some(part))
    {
        crash.cancel();
        return;
    }
    let id = header("request-id").unwrap_or_default();
    let body = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
    let answer = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\n\
         content-type: text/event-stream\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(answer.as_bytes()).await;
}
