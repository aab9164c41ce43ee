//! A caller that reads whole answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Largest number of header fields of an answer.
const MAX_FIELDS: usize = 1024;

/// Time in which an answer must end.
const PATIENCE: Duration = Duration::from_secs(60);

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, as far as it came.
    pub body: Bytes,
    /// Whether the body came to its stated end.
    pub whole: bool,
}

impl Answer {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns code and outcome of a refusal.
    pub fn refusal(&self) -> (String, String) {
        let error = &self.json()["error"];
        let text = |key: &str| error[key].as_str().unwrap_or_default().to_owned();
        (text("code"), text("outcome"))
    }
}

/// Sends a request on a connection of its own and reads the answer.
///
/// # Errors
///
/// Fails if the head of an answer does not come.
pub async fn send(address: SocketAddr, req: Request<Full<Bytes>>) -> Result<Answer, String> {
    tokio::time::timeout(PATIENCE, exchange(address, req))
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_owned()))
}

/// Sends a request on a connection of its own and reads the answer, without a
/// time limit.
///
/// # Errors
///
/// Fails if the head of an answer does not come.
pub(crate) async fn exchange(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Answer, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    let (mut sender, conn) = http1::Builder::new()
        .max_headers(MAX_FIELDS)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let conn = tokio::spawn(conn);
    let resp = sender.send_request(req).await.map_err(|e| e.to_string())?;
    let (parts, mut body) = resp.into_parts();
    let mut data = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => data.extend(frame.into_data().unwrap_or_default()),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    conn.abort();
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: data.into(),
        whole,
    })
}

/// Posts a JSON document with a key.
///
/// # Errors
///
/// Fails if the head of an answer does not come.
pub async fn post(
    address: SocketAddr,
    path: &str,
    key: &str,
    body: &serde_json::Value,
) -> Result<Answer, String> {
    post_with(address, path, key, &[], body).await
}

/// Posts a JSON document with a key and further headers.
///
/// # Errors
///
/// Fails if the head of an answer does not come.
pub async fn post_with(
    address: SocketAddr,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &serde_json::Value,
) -> Result<Answer, String> {
    let mut req = Request::post(path)
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|e| e.to_string())?;
    send(address, req).await
}

/// Gets a document without a key.
///
/// # Errors
///
/// Fails if the head of an answer does not come.
pub async fn get(address: SocketAddr, path: &str) -> Result<Answer, String> {
    let req = Request::get(path)
        .header("host", address.to_string())
        .body(Full::default())
        .map_err(|e| e.to_string())?;
    send(address, req).await
}

/// Sends bytes as they are and reads until the connection ends.
///
/// # Errors
///
/// Fails if the connection doesn't end in time.
pub async fn raw(address: SocketAddr, request: &[u8]) -> Result<String, String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request).await?;
        let mut answer = Vec::new();
        // A reset after the answer loses nothing that was read before it.
        let _ = stream.read_to_end(&mut answer).await;
        Ok::<_, std::io::Error>(String::from_utf8_lossy(&answer).into_owned())
    };
    match tokio::time::timeout(PATIENCE, exchange).await {
        Ok(answer) => answer.map_err(|e| e.to_string()),
        Err(_) => Err("no end of the connection in time".to_owned()),
    }
}
