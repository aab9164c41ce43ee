//! Targets that write any bytes, well formed or not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// A piece of what a target writes, after a pause.
pub type Piece = (Duration, String);

/// Starts a target that answers each request for a path with the pieces that
/// `answer` gives. After the last piece it reads on, or closes if `close`.
pub async fn target<F>(answer: F, close: bool) -> SocketAddr
where
    F: Fn(&str) -> Vec<Piece> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = Arc::clone(&answer);
            tokio::spawn(async move {
                // The gateway may close the connection at any time.
                let _ = serve(stream, &*answer, close).await;
            });
        }
    });
    address
}

async fn serve<F>(mut stream: TcpStream, answer: &F, close: bool) -> std::io::Result<()>
where
    F: Fn(&str) -> Vec<Piece>,
{
    stream.set_nodelay(true)?;
    let mut buf = Vec::new();
    loop {
        let Some(path) = read_request(&mut stream, &mut buf).await? else {
            return Ok(());
        };
        for (pause, piece) in answer(&path) {
            tokio::time::sleep(pause).await;
            stream.write_all(piece.as_bytes()).await?;
        }
        if close {
            return Ok(());
        }
    }
}

/// Reads a request without a body and returns its path.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<String>> {
    loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..at]).into_owned();
            buf.drain(..at + 4);
            return Ok(head.split(' ').nth(1).map(str::to_owned));
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
}
