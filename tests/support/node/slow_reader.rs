//! A caller that reads its answers by hand, with little room for what it has
//! not read.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use super::site::KEY;

/// Room for what was not read, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4096;

/// Largest segment of the connection, in bytes. The kernel sizes the buffer of
/// the other side by it.
const SEGMENT_BYTES: u32 = 536;

/// Time in which an answer must end once it is read.
const PATIENCE: Duration = Duration::from_secs(20);

/// A caller that reads slowly.
#[derive(Debug)]
pub struct SlowReader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl SlowReader {
    /// Connects to an instance.
    pub async fn open(to: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        let sized = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        sized.expect("a small buffer");
        let segmented = SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES);
        segmented.expect("small segments");
        Self {
            stream: socket.connect(to).await.expect("a connection"),
            buf: Vec::new(),
        }
    }

    /// Sends a request, or the start of one, whose caller waits for a time.
    pub async fn send(&mut self, id: &str, path: &str, deadline: Duration) {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: desk.example\r\nrequest-id: {id}\r\n\
             authorization: Bearer {KEY}\r\nrequest-deadline: {}\r\n\
             content-length: 0\r\n\r\n",
            deadline.as_millis()
        );
        self.write(&head).await;
    }

    /// Writes text as it stands.
    pub async fn write(&mut self, text: &str) {
        let written = self.stream.write_all(text.as_bytes()).await;
        written.expect("the connection is open");
    }

    /// Waits until the first bytes of an answer are here, without reading them.
    pub async fn until_answered(&self) {
        let mut first = [0];
        let answered = tokio::time::timeout(PATIENCE, self.stream.peek(&mut first));
        let len = answered.await.expect("an answer in time");
        assert_eq!(len.expect("an open connection"), 1);
    }

    /// Reads up to a text, and returns all before it; what came, if the
    /// connection ends before.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first, with what came.
    pub async fn read_to(&mut self, text: &str) -> Result<String, String> {
        let reading = tokio::time::timeout(PATIENCE, self.find(text.as_bytes()));
        let end = reading.await.expect("an answer or an end in time");
        let came = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        match end {
            Some(end) => Ok(came(&self.buf.drain(..end).collect::<Vec<u8>>())),
            None => Err(came(&std::mem::take(&mut self.buf))),
        }
    }

    async fn find(&mut self, text: &[u8]) -> Option<usize> {
        let mut searched = 0;
        loop {
            let rest = &self.buf[searched..];
            if let Some(at) = rest.windows(text.len()).position(|w| w == text) {
                return Some(searched + at + text.len());
            }
            searched = self.buf.len().saturating_sub(text.len());
            match self.stream.read_buf(&mut self.buf).await {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }
}
