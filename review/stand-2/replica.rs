//! A stand-in replica: it names itself, checks whom a request is meant for, and
//! otherwise does what its case says.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;

use crate::base::Conn;
use crate::base::Message;

/// What a case does with a request that is meant for the replica; false closes
/// the connection.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Starts a replica on a listener.
pub fn serve(name: &str, listener: TcpListener, handler: Handler) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let name = name.to_owned();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, handler) = (name.clone(), Arc::clone(&handler));
            std::thread::spawn(move || serve_connection(&name, stream, &handler));
        }
    });
    address
}

fn serve_connection(name: &str, stream: TcpStream, handler: &Handler) {
    use std::io::Write;
    let mut conn = Conn::new(stream);
    while let Ok(Some(msg)) = conn.message(false) {
        if !msg.is_whole {
            return;
        }
        if msg
            .header("target-instance")
            .is_some_and(|meant| meant != name)
        {
            let id = msg.header("request-id").unwrap_or("").to_owned();
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {name}\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            if conn.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !handler(&msg, &mut conn.stream) {
            return;
        }
    }
}

/// Writes a plain answer.
pub fn answer(stream: &mut TcpStream, status: u16, id: &str, stamp: &str, body: &str) -> bool {
    use std::io::Write;
    let text = format!(
        "HTTP/1.1 {status} OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\nKeep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Returns the entry of a replica.
pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    state: &str,
    warmup_left_ms: u64,
    born: u64,
    sequence: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"warmup_left_ms\":{warmup_left_ms},\"sequence\":{sequence},\"born\":{born}}}"
    )
}
