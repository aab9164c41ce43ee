//! A caller that keeps one connection open for several requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::call::Call;

/// Time in which a call must end.
const PATIENCE: Duration = Duration::from_secs(20);

/// An open connection to an instance.
#[derive(Debug)]
pub struct KeptConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<hyper::Result<()>>,
}

impl KeptConnection {
    /// Connects to an instance.
    pub async fn open(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.expect("a connection");
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, conn) = handshake.await.expect("a handshake");
        Self {
            sender,
            driver: tokio::spawn(conn),
        }
    }

    /// Sends a request and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends without a whole answer.
    pub async fn send(&mut self, call: &Call) -> Result<StatusCode, String> {
        let exchange = async {
            self.sender.ready().await.map_err(|e| e.to_string())?;
            let sent = self.sender.send_request(call.request()).await;
            let (parts, body) = sent.map_err(|e| e.to_string())?.into_parts();
            body.collect().await.map_err(|e| e.to_string())?;
            Ok(parts.status)
        };
        let sent = tokio::time::timeout(PATIENCE, exchange).await;
        sent.unwrap_or_else(|_| Err("no answer in time".to_owned()))
    }

    /// Returns whether the instance has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.driver.is_finished()
    }
}

impl Drop for KeptConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
