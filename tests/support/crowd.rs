//! Crowds of clients that don't behave.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Room of a client that reads little, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4096;

/// Size of a small piece of a body, in bytes.
const PIECE_BYTES: usize = 512;

/// Size of a chunk of a few bytes.
const CHUNK_BYTES: usize = 3;

/// Size of what is written at once where the size of pieces doesn't matter.
const BLOCK_BYTES: usize = 16 * 1024;

/// How often a body goes over the largest size.
const TIMES_OVER: usize = 64;

/// Size of a head that is just legal, in bytes.
const HEAD_BYTES: usize = 16_000;

/// Size of a head that never ends, in bytes, as far as it is sent.
const ENDLESS_HEAD_BYTES: usize = 1024 * 1024;

/// Requests that are sent ahead on one connection.
const AHEAD: usize = 400;

/// Streams on one connection of HTTP/2.
const STREAMS: usize = 200;

/// Pause between two bytes of a slow client.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// How a client misbehaves. It stays open, whatever it has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unruly {
    /// It sends a body of the largest size at once, but for its last byte.
    WholeBody,
    /// It sends such a body in small pieces.
    SmallPieces,
    /// It sends such a body in chunks of a few bytes, but for the last chunk.
    TinyChunks,
    /// It states a body far over the largest size, and sends it.
    StatedOver,
    /// It sends chunks far over the largest size.
    ChunksOver,
    /// It sends a whole request whose head is full of short fields.
    ManyFields,
    /// It sends a whole request whose body is JSON full of short fields.
    ManyJsonFields,
    /// It sends short fields of a head without end.
    EndlessHead,
    /// It sends many requests and reads no answer.
    Ahead,
    /// It sends a head slowly.
    SlowHead,
    /// It sends a body slowly.
    SlowBody,
    /// It asks once and reads the answer slowly.
    SlowReader,
    /// It sends half of a request.
    HalfWay,
    /// It sends nothing.
    Silent,
    /// It sends many requests over HTTP/2, and gives answers no window.
    Http2Unread,
    /// It sends many bodies over HTTP/2, each but for its end.
    Http2Bodies,
}

/// Where a crowd goes, and what it may send there.
#[derive(Clone, Debug)]
pub struct Door {
    /// Address.
    pub address: SocketAddr,
    /// Path with its query.
    pub path: String,
    /// Key to show.
    pub key: String,
    /// Largest body, in bytes.
    pub max_body: usize,
}

impl Door {
    fn head(&self, method: &str, n: usize, more: &str) -> String {
        let Self { path, key, .. } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nrequest-id: crowd-{n}\r\n\
             authorization: Bearer {key}\r\n{more}"
        )
    }
}

/// A crowd, which leaves when it is dropped.
#[derive(Debug)]
pub struct Crowd {
    _members: JoinSet<()>,
}

impl Crowd {
    /// Sends so many clients, in turn to each of the doors.
    pub fn send(kind: Unruly, size: usize, doors: &[Door]) -> Self {
        let mut members = JoinSet::new();
        for (n, door) in doors.iter().cycle().take(size).enumerate() {
            let door = door.clone();
            members.spawn(async move {
                let Ok(mut stream) = connect(kind, door.address).await else {
                    return;
                };
                // The other side may refuse it and close at any time.
                let _ = misbehave(kind, &door, n, &mut stream).await;
                std::future::pending::<()>().await;
            });
        }
        Self { _members: members }
    }
}

async fn connect(kind: Unruly, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if matches!(kind, Unruly::Ahead | Unruly::SlowReader) {
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    }
    socket.connect(to).await
}

async fn misbehave(
    kind: Unruly,
    door: &Door,
    n: usize,
    stream: &mut TcpStream,
) -> std::io::Result<()> {
    let stated = |len: usize| door.head("POST", n, &format!("content-length: {len}\r\n\r\n"));
    let chunked = door.head("POST", n, "transfer-encoding: chunked\r\n\r\n");
    match kind {
        Unruly::WholeBody => {
            stream.write_all(stated(door.max_body).as_bytes()).await?;
            write_in(stream, door.max_body - 1, door.max_body).await
        }
        Unruly::SmallPieces => {
            stream.set_nodelay(true)?;
            stream.write_all(stated(door.max_body).as_bytes()).await?;
            write_in(stream, door.max_body - 1, PIECE_BYTES).await
        }
        Unruly::TinyChunks => {
            stream.write_all(chunked.as_bytes()).await?;
            write_chunks(stream, door.max_body - CHUNK_BYTES, CHUNK_BYTES).await
        }
        Unruly::StatedOver => {
            let size = door.max_body * TIMES_OVER;
            stream.write_all(stated(size).as_bytes()).await?;
            write_in(stream, size, BLOCK_BYTES).await
        }
        Unruly::ChunksOver => {
            stream.write_all(chunked.as_bytes()).await?;
            write_chunks(stream, door.max_body * TIMES_OVER, BLOCK_BYTES).await
        }
        Unruly::ManyFields => {
            let head = door.head("GET", n, &(short_fields(HEAD_BYTES) + "\r\n"));
            stream.write_all(head.as_bytes()).await
        }
        Unruly::ManyJsonFields => {
            let body = short_json(door.max_body);
            stream.write_all(stated(body.len()).as_bytes()).await?;
            stream.write_all(body.as_bytes()).await
        }
        Unruly::EndlessHead => {
            let head = door.head("GET", n, "x: ");
            stream.write_all(head.as_bytes()).await?;
            write_in(stream, ENDLESS_HEAD_BYTES, BLOCK_BYTES).await
        }
        Unruly::Ahead => {
            let requests = door.head("GET", n, "\r\n").repeat(AHEAD);
            stream.write_all(requests.as_bytes()).await
        }
        Unruly::SlowHead => {
            let head = door.head("GET", n, &short_fields(HEAD_BYTES));
            write_slowly(stream, head.as_bytes()).await
        }
        Unruly::SlowBody => {
            stream.write_all(stated(door.max_body).as_bytes()).await?;
            write_slowly(stream, &vec![b'a'; door.max_body]).await
        }
        Unruly::SlowReader => {
            let head = door.head("GET", n, "\r\n");
            stream.write_all(head.as_bytes()).await?;
            while stream.read(&mut [0]).await? > 0 {
                tokio::time::sleep(SLOW_PAUSE).await;
            }
            Ok(())
        }
        Unruly::HalfWay => {
            let head = door.head("POST", n, "content-length: 1000\r\nx-half");
            stream.write_all(head.as_bytes()).await
        }
        Unruly::Silent => Ok(()),
        Unruly::Http2Unread | Unruly::Http2Bodies => {
            let sent = misbehave_over_http2(kind, door, n, stream).await;
            sent.map_err(std::io::Error::other)
        }
    }
}

/// Writes so many bytes, in pieces of a size.
async fn write_in(stream: &mut TcpStream, size: usize, piece: usize) -> std::io::Result<()> {
    let data = vec![b'a'; piece];
    let mut left = size;
    while left > 0 {
        let len = left.min(piece);
        stream.write_all(&data[..len]).await?;
        left -= len;
    }
    Ok(())
}

/// Writes so many bytes of data in chunks of a size, without the last chunk.
async fn write_chunks(stream: &mut TcpStream, size: usize, chunk: usize) -> std::io::Result<()> {
    let one = format!("{chunk:x}\r\n{}\r\n", "a".repeat(chunk));
    let per_block = BLOCK_BYTES.div_ceil(one.len());
    let block = one.repeat(per_block);
    let mut left = size / chunk;
    while left > 0 {
        let count = left.min(per_block);
        stream
            .write_all(&block.as_bytes()[..count * one.len()])
            .await?;
        left -= count;
    }
    Ok(())
}

async fn write_slowly(stream: &mut TcpStream, data: &[u8]) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    for byte in data {
        stream.write_all(&[*byte]).await?;
        tokio::time::sleep(SLOW_PAUSE).await;
    }
    Ok(())
}

/// Returns header fields of a few bytes each, so many bytes in all.
fn short_fields(size: usize) -> String {
    let mut fields = String::new();
    let mut n = 0;
    while fields.len() < size {
        let _ = write!(fields, "{n:x}:\r\n");
        n += 1;
    }
    fields
}

/// Returns a chat whose messages are as short as can be, and many.
fn short_json(size: usize) -> String {
    let (start, end) = (r#"{"model":"m","messages":[{}"#, "]}");
    let room = size - start.len() - end.len();
    format!("{start}{}{end}", ",{}".repeat(room / 3))
}

async fn misbehave_over_http2(
    kind: Unruly,
    door: &Door,
    n: usize,
    stream: &mut TcpStream,
) -> Result<(), h2::Error> {
    let window = match kind {
        Unruly::Http2Unread => 0,
        _ => 65_535,
    };
    let handshake = h2::client::Builder::new()
        .initial_window_size(window)
        .handshake::<_, Bytes>(stream);
    let (mut sender, conn) = handshake.await?;
    let data = Bytes::from(vec![b'a'; door.max_body - 1]);
    let requests = async {
        let mut open = Vec::new();
        for stream in 0..STREAMS {
            sender = sender.ready().await?;
            let req = request(door, n * STREAMS + stream);
            let is_whole = kind == Unruly::Http2Unread;
            let (answer, mut body) = sender.send_request(req, is_whole)?;
            if !is_whole {
                body.send_data(data.clone(), false)?;
            }
            open.push((answer, body));
        }
        std::future::pending::<Result<(), h2::Error>>().await
    };
    tokio::select! {
        ended = conn => ended,
        ended = requests => ended,
    }
}

fn request(door: &Door, n: usize) -> Request<()> {
    Request::post(format!("http://desk.example{}", door.path))
        .header("request-id", format!("crowd-{n}"))
        .header("authorization", format!("Bearer {}", door.key))
        .body(())
        .expect("a well-formed request")
}
