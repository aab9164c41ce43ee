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
use super::call::Got;

/// Time in which a call must end.
const PATIENCE: Duration = Duration::from_secs(20);

/// Why a kept connection brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// The connection was closed before anything of the request was sent.
    NotSent(String),
    /// The connection ended before the head of an answer.
    Unanswered(String),
    /// What came is no answer of HTTP.
    Malformed(String),
}

/// An open connection to an instance.
#[derive(Debug)]
pub struct KeptConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<hyper::Result<()>>,
}

impl KeptConnection {
    /// Connects to an instance.
    pub async fn open(to: SocketAddr) -> Self {
        Self::try_open(to).await.expect("a connection")
    }

    /// Connects to an instance that may be gone.
    ///
    /// # Errors
    ///
    /// Fails if the instance accepts no connection.
    pub async fn try_open(to: SocketAddr) -> Result<Self, String> {
        let stream = TcpStream::connect(to).await.map_err(|e| e.to_string())?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, conn) = handshake.await.map_err(|e| e.to_string())?;
        Ok(Self {
            sender,
            driver: tokio::spawn(conn),
        })
    }

    /// Sends a request and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends without a whole answer.
    pub async fn send(&mut self, call: &Call) -> Result<StatusCode, String> {
        let sent = tokio::time::timeout(PATIENCE, self.exchange(call)).await;
        match sent {
            Ok(Ok(got)) if got.whole => Ok(got.status),
            Ok(Ok(_)) => Err("the answer broke off".to_owned()),
            Ok(Err(e)) => Err(format!("{e:?}")),
            Err(_) => Err("no answer in time".to_owned()),
        }
    }

    /// Sends a request and reads the answer as far as it comes, without a time
    /// limit.
    ///
    /// # Errors
    ///
    /// Fails if there is no head of an answer.
    pub async fn exchange(&mut self, call: &Call) -> Result<Got, NoAnswer> {
        self.exchange_until(call, |_| false).await
    }

    /// Sends a request and reads the answer until what came of its body is
    /// enough. An answer that was enough before its end isn't whole.
    ///
    /// # Errors
    ///
    /// Fails if there is no head of an answer.
    pub async fn exchange_until<F>(&mut self, call: &Call, is_enough: F) -> Result<Got, NoAnswer>
    where
        F: Fn(&[u8]) -> bool,
    {
        let not_sent = |e: hyper::Error| NoAnswer::NotSent(e.to_string());
        self.sender.ready().await.map_err(not_sent)?;
        let sent = self.sender.try_send_request(call.request()).await;
        let resp = sent.map_err(|mut e| match e.take_message() {
            Some(_) => NoAnswer::NotSent(e.into_error().to_string()),
            None => match e.into_error() {
                e if e.is_parse() => NoAnswer::Malformed(e.to_string()),
                e => NoAnswer::Unanswered(e.to_string()),
            },
        })?;
        let (parts, mut body) = resp.into_parts();
        let mut data = Vec::new();
        let mut whole = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                whole = false;
                break;
            };
            data.extend(frame.into_data().unwrap_or_default());
            if is_enough(&data) {
                whole = false;
                break;
            }
        }
        Ok(Got {
            status: parts.status,
            headers: parts.headers,
            body: String::from_utf8_lossy(&data).into_owned(),
            whole,
        })
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
