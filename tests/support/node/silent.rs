//! Sound targets that fall silent within an answer and go on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::DropGuard;

use super::accept::serve_each;

/// Where in its answers a target falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// After it has read the request.
    BeforeHead,
    /// Between the head and the first piece of the body.
    AfterHead,
    /// Between two pieces of the body.
    WithinBody,
    /// Between the last piece of the body and its end.
    BeforeEnd,
}

impl Stage {
    /// All stages, in the order of an answer.
    pub const ALL: [Self; 4] = [
        Self::BeforeHead,
        Self::AfterHead,
        Self::WithinBody,
        Self::BeforeEnd,
    ];

    /// Returns the last segment of the paths for which a target falls silent at
    /// this stage if it was started with [`SilentTarget::start_by_path`].
    pub fn segment(self) -> &'static str {
        match self {
            Self::BeforeHead => "before-head",
            Self::AfterHead => "after-head",
            Self::WithinBody => "within-body",
            Self::BeforeEnd => "before-end",
        }
    }

    fn of_path(path: &str) -> Option<Self> {
        let segment = path.rsplit('/').next()?;
        Self::ALL
            .into_iter()
            .find(|stage| stage.segment() == segment)
    }
}

/// What a target answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilentAnswer {
    /// A stream of [`EVENTS`] numbered events.
    Events,
    /// A body of [`PLAIN_PIECES`].
    Plain,
}

/// Number of the last event of a stream.
pub const EVENTS: u64 = 4;

/// The pieces of a plain body.
pub const PLAIN_PIECES: [&str; 2] = ["first part, ", "last part"];

/// A target that falls silent in each answer and goes on, unless the connection
/// was closed.
#[derive(Debug)]
pub struct SilentTarget {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    _guard: DropGuard,
}

#[derive(Debug)]
#[derive(Default)]
struct Seen {
    requests: Vec<String>,
    completed: Vec<String>,
    left: Vec<(String, Instant)>,
}

impl SilentTarget {
    /// Starts a target that is silent for `silence` at a stage of its answers.
    pub async fn start(answer: SilentAnswer, stage: Stage, silence: Duration) -> Self {
        Self::start_with(answer, Some(stage), silence).await
    }

    /// Starts a target that is silent for `silence` at the stage that the last
    /// segment of a request's path names, if it names one.
    pub async fn start_by_path(answer: SilentAnswer, silence: Duration) -> Self {
        Self::start_with(answer, None, silence).await
    }

    async fn start_with(answer: SilentAnswer, stage: Option<Stage>, silence: Duration) -> Self {
        let (listener, address) = crate::platform::listener().await;
        let seen = Arc::new(Mutex::new(Seen::default()));
        let shared = Arc::clone(&seen);
        let guard = serve_each(listener, move |stream| {
            let seen = Arc::clone(&shared);
            async move {
                // The gateway may close the connection at any time.
                let _ = serve(stream, answer, stage, silence, &seen).await;
            }
        });
        Self {
            address,
            seen,
            _guard: guard,
        }
    }

    /// Returns the ids of the requests that it has read.
    pub fn requests(&self) -> Vec<String> {
        let seen = self.seen.lock().expect("no panic under the lock");
        seen.requests.clone()
    }

    /// Returns the ids of the requests that it has answered to the end.
    pub fn completed(&self) -> Vec<String> {
        let seen = self.seen.lock().expect("no panic under the lock");
        seen.completed.clone()
    }

    /// Returns the ids of the requests whose connection was closed while it was
    /// silent, and when it saw that.
    pub fn left(&self) -> Vec<(String, Instant)> {
        let seen = self.seen.lock().expect("no panic under the lock");
        seen.left.clone()
    }
}

/// A request, as far as the target looks at it.
struct Request {
    id: String,
    path: String,
    last_event_id: u64,
}

async fn serve(
    mut stream: TcpStream,
    answer: SilentAnswer,
    stage: Option<Stage>,
    silence: Duration,
    seen: &Mutex<Seen>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = Vec::new();
    loop {
        let req = read_request(&mut stream, &mut buf).await?;
        let id = req.id.clone();
        let silent_at = stage.or_else(|| Stage::of_path(&req.path));
        seen.lock()
            .expect("no panic under the lock")
            .requests
            .push(id.clone());
        for (at, piece) in pieces(answer, &req) {
            if at.is_some() && at == silent_at {
                let waited = wait_unless_closed(&mut stream, silence).await;
                waited.inspect_err(|_| {
                    let mut seen = seen.lock().expect("no panic under the lock");
                    seen.left.push((id.clone(), Instant::now()));
                })?;
            }
            stream.write_all(piece.as_bytes()).await?;
        }
        let mut seen = seen.lock().expect("no panic under the lock");
        seen.completed.push(id);
    }
}

/// Returns the pieces of an answer, with the stage before each.
fn pieces(answer: SilentAnswer, req: &Request) -> Vec<(Option<Stage>, String)> {
    let kind = match answer {
        SilentAnswer::Events => "text/event-stream",
        SilentAnswer::Plain => "text/plain",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nserver-stamp: s\r\n\
         content-type: {kind}\r\ntransfer-encoding: chunked\r\n\r\n",
        req.id
    );
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let body: Vec<String> = match answer {
        SilentAnswer::Events => (req.last_event_id + 1..=EVENTS)
            .map(|n| chunk(&format!("id: {n}\ndata: piece {n}\n\n")))
            .collect(),
        SilentAnswer::Plain => PLAIN_PIECES.into_iter().map(chunk).collect(),
    };
    let mut pieces = vec![(Some(Stage::BeforeHead), head)];
    for (i, piece) in body.into_iter().enumerate() {
        let stage = match i {
            0 => Some(Stage::AfterHead),
            1 => Some(Stage::WithinBody),
            _ => None,
        };
        pieces.push((stage, piece));
    }
    pieces.push((Some(Stage::BeforeEnd), "0\r\n\r\n".to_owned()));
    pieces
}

/// Waits, and fails as soon as the connection is closed.
async fn wait_unless_closed(stream: &mut TcpStream, time: Duration) -> std::io::Result<()> {
    let mut buf = [0; 1];
    // A caller sends nothing while it waits for an answer.
    match tokio::time::timeout(time, stream.read(&mut buf)).await {
        Ok(Ok(_)) => Err(std::io::ErrorKind::ConnectionAborted.into()),
        Ok(Err(e)) => Err(e),
        Err(_) => Ok(()),
    }
}

/// Reads a request to its end.
async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> std::io::Result<Request> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
            let header = |name: &str| {
                let mut lines = head.lines();
                lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
            };
            let number = |name: &str| header(name).and_then(|v| v.parse().ok()).unwrap_or(0);
            let whole = end + 4 + number("content-length") as usize;
            if buf.len() >= whole {
                buf.drain(..whole);
                return Ok(Request {
                    id: header("request-id").unwrap_or_default().to_owned(),
                    path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
                    last_event_id: number("last-event-id"),
                });
            }
        }
        if stream.read_buf(buf).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}
