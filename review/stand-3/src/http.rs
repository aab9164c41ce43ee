//! HTTP/1.1 over blocking sockets: what the stand-ins need of it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

/// A message: the words of its first line, its headers, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of a field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.first.get(1)?.split_once('?')?;
        let found = query.split('&').find_map(|pair| {
            let (k, v) = pair.split_once('=')?;
            (k == name).then(|| decode(v))
        });
        found
    }

    pub fn path(&self) -> &str {
        let target = self.first.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() + 0 {
            if let Ok(byte) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(byte);
                i += 3;
                continue;
            }
        }
        out.push(bytes[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message::default();
    message.first = line.trim_end().splitn(3, ' ').map(str::to_owned).collect();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let pair = (name.to_owned(), value.trim().to_owned());
            message.headers.push(pair);
        }
    }
}

/// Reads a message with a length or in chunks; `None` at the end of the
/// connection. A body that breaks off leaves `is_whole` false.
pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        message.is_whole = read_chunks(reader, &mut message.body).unwrap_or(false);
        return Ok(Some(message));
    }
    let len = message
        .header("content-length")
        .and_then(|v| v.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    message.is_whole = reader.read_exact(&mut body).is_ok();
    message.body = body;
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Result<bool> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let Ok(len) = usize::from_str_radix(line.trim(), 16) else {
            return Ok(false);
        };
        let mut chunk = vec![0; len];
        if reader.read_exact(&mut chunk).is_err() {
            return Ok(false);
        }
        body.extend_from_slice(&chunk);
        let mut end = String::new();
        reader.read_line(&mut end)?;
        if len == 0 {
            return Ok(true);
        }
    }
}

pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// Serves connections, each on a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            let spawned = std::thread::Builder::new().stack_size(256 * 1024);
            let _ = spawned.spawn(move || handle(stream));
        }
    });
}

/// Sends one request on a new connection and reads the answer; `None` if there
/// is none, or if it breaks off before its head is whole.
pub fn ask(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut out = head.as_bytes().to_vec();
    out.extend_from_slice(body);
    stream.write_all(&out).ok()?;
    read(&mut BufReader::new(stream)).ok()?
}
