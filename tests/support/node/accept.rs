//! Accepting connections for targets that are written by hand.

use std::future::Future;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// Runs `serve` for each connection, until the returned guard is dropped.
pub fn serve_each<F, S>(listener: TcpListener, serve: F) -> DropGuard
where
    F: Fn(TcpStream) -> S + Send + 'static,
    S: Future<Output = ()> + Send + 'static,
{
    let stop = CancellationToken::new();
    let stopped = stop.clone();
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let serving = serve(stream);
            let stop = stopped.clone();
            tokio::spawn(async move { stop.run_until_cancelled(serving).await });
        }
    };
    let stopped = stop.clone();
    tokio::spawn(async move { stopped.run_until_cancelled(accept).await });
    stop.drop_guard()
}
