//! Targets whose answers are written byte by byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::DropGuard;

use super::accept::serve_each;

/// Stands for a pause between two pieces of an answer.
pub const PAUSE_MARK: &str = "{pause}";

/// Pause after each piece of an answer, in which it is passed on.
const PAUSE: Duration = Duration::from_millis(60);

/// What happens to the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// It is read from again.
    Keep,
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// Nothing more is written, and it stays open.
    Silent,
}

/// An answer. `{id}` stands for the id of the request, `{previous}` for that of
/// the request before it on the connection, and [`PAUSE_MARK`] for a pause.
#[derive(Clone, Debug)]
pub struct Scripted {
    /// The bytes that are written.
    pub text: String,
    /// What follows.
    pub after: After,
}

impl Scripted {
    /// Creates an answer.
    pub fn new(text: &str, after: After) -> Self {
        Self {
            text: text.to_owned(),
            after,
        }
    }
}

/// A target that gives the answers of a script in turn, over all connections.
/// The last one is given again and again.
#[derive(Debug)]
pub struct ScriptedTarget {
    /// Where it listens.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    _guard: DropGuard,
}

impl ScriptedTarget {
    /// Starts a target.
    pub async fn start(script: Vec<Scripted>) -> Self {
        let (listener, address) = crate::platform::listener().await;
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&requests);
        let script = Arc::new(script);
        let guard = serve_each(listener, move |stream| {
            let (seen, script) = (Arc::clone(&seen), Arc::clone(&script));
            async move { serve(stream, &script, &seen).await }
        });
        Self {
            address,
            requests,
            _guard: guard,
        }
    }

    /// Returns the ids of the requests that it has read.
    pub fn requests(&self) -> Vec<String> {
        let requests = self.requests.lock().expect("no panic under the lock");
        requests.clone()
    }
}

async fn serve(mut stream: TcpStream, script: &[Scripted], seen: &Mutex<Vec<String>>) {
    let mut previous = String::new();
    let mut buf = Vec::new();
    while let Ok(id) = read_request(&mut stream, &mut buf).await {
        let answer = {
            let mut seen = seen.lock().expect("no panic under the lock");
            seen.push(id.clone());
            &script[(seen.len() - 1).min(script.len() - 1)]
        };
        let text = answer.text.replace("{id}", &id);
        let text = text.replace("{previous}", &previous);
        for piece in text.split(PAUSE_MARK) {
            if stream.write_all(piece.as_bytes()).await.is_err() {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
        previous = id;
        match answer.after {
            After::Keep => {}
            After::Close => return,
            After::Reset => {
                let _ = stream.set_zero_linger();
                return;
            }
            After::Silent => std::future::pending().await,
        }
    }
}

/// Reads a request to its end, and returns its id.
async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> std::io::Result<String> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let header = |name: &str| {
                let mut lines = head.lines();
                lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
            };
            let body: usize = header("content-length").map_or(0, |v| v.parse().unwrap_or(0));
            let whole = end + 4 + body;
            if buf.len() >= whole {
                buf.drain(..whole);
                return Ok(header("request-id").unwrap_or_default().to_owned());
            }
        }
        if stream.read_buf(buf).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}
