//! Targets that answer before they have read the request's body.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio_util::sync::DropGuard;

use super::accept::serve_each;
use super::endless::read_head;

/// Size of the targets' receive buffers, in bytes. A body that is much larger
/// than the buffers of both ends is still being written when the answer comes.
const RECEIVE_BUFFER_BYTES: u32 = 4096;

/// Time for what was written to be passed on.
const PAUSE: Duration = Duration::from_millis(80);

/// How a target ends a connection on which it has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// It resets the connection as it has written.
    ResetAtOnce,
    /// It resets the connection after a moment.
    Reset,
    /// It ends its half of the connection, and resets the other half as more
    /// arrives. A process that ends with nothing left to read does so.
    CloseThenReset,
    /// It ends its half of the connection and reads the body to its end.
    CloseAndReadOn,
    /// It reads the body to its end and closes the connection.
    ReadOn,
}

/// A target that writes an answer once it has read the head of a request.
#[derive(Debug)]
pub struct EarlyTarget {
    /// Where it listens.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    _guard: DropGuard,
}

impl EarlyTarget {
    /// Starts a target. In its answer, `{id}` stands for the id of the request.
    pub async fn start(answer: &str, end: EarlyEnd) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("a small buffer");
        let any = "127.0.0.1:0".parse().expect("an address");
        socket.bind(any).expect("a free port");
        let listener = socket.listen(1024).expect("a listener");
        let address = listener.local_addr().expect("a bound address");
        let answer: Arc<str> = answer.into();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&requests);
        let guard = serve_each(listener, move |stream| {
            let (answer, seen) = (Arc::clone(&answer), Arc::clone(&seen));
            async move {
                // The instance may close the connection at any time.
                let _ = serve(stream, &answer, end, &seen).await;
            }
        });
        Self {
            address,
            requests,
            _guard: guard,
        }
    }

    /// Returns the ids of the requests whose heads it has read.
    pub fn requests(&self) -> Vec<String> {
        let requests = self.requests.lock().expect("no panic under the lock");
        requests.clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    answer: &str,
    end: EarlyEnd,
    seen: &Mutex<Vec<String>>,
) -> std::io::Result<()> {
    let head = read_head(&mut stream).await?;
    let id = header(&head, "request-id").unwrap_or_default();
    note(seen, id);
    let answer = answer.replace("{id}", id);
    stream.write_all(answer.as_bytes()).await?;
    if end != EarlyEnd::ResetAtOnce {
        tokio::time::sleep(PAUSE).await;
    }
    match end {
        EarlyEnd::ResetAtOnce | EarlyEnd::Reset => stream.set_zero_linger(),
        EarlyEnd::CloseThenReset => {
            stream.shutdown().await?;
            tokio::time::sleep(PAUSE).await;
            stream.set_zero_linger()
        }
        EarlyEnd::CloseAndReadOn => {
            stream.shutdown().await?;
            read_body(&mut stream, &head).await
        }
        EarlyEnd::ReadOn => read_body(&mut stream, &head).await,
    }
}

fn note(seen: &Mutex<Vec<String>>, id: &str) {
    let mut seen = seen.lock().expect("no panic under the lock");
    seen.push(id.to_owned());
}

/// Reads the rest of a request's body, of which some may follow the head.
async fn read_body(stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
    let stated: usize = header(head, "content-length").map_or(0, |v| v.parse().unwrap_or(0));
    let read = head
        .split_once("\r\n\r\n")
        .map_or(0, |(_, body)| body.len());
    let mut left = stated.saturating_sub(read);
    let mut buf = vec![0; 64 * 1024];
    while left > 0 {
        match stream.read(&mut buf).await? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            len => left = left.saturating_sub(len),
        }
    }
    Ok(())
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}
