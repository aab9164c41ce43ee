//! Reads JSON documents that model engines publish.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::step::Step;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use serde::de::DeserializeOwned;

use crate::Client;
use crate::Error;
use crate::TargetRequest;

/// Largest document that is read, in bytes.
const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// Fetches a document; `None` if the engine responds with a status other than
/// 200.
pub(crate) async fn fetch<T>(
    client: &Client,
    target: &Target,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<Option<T>, Error>
where
    T: DeserializeOwned,
{
    let exchange = fetch_body(client, target, address, path);
    let Ok(body) = tokio::time::timeout(timeout, exchange).await else {
        return Err(Error::Timeout {
            step: Step::Answer,
            target: target.clone(),
        });
    };
    let Some(data) = body? else {
        return Ok(None);
    };
    let document = serde_json::from_slice(&data).map_err(|e| Error::InvalidResponse {
        target: target.clone(),
        reason: format!("{path}: {e}"),
    })?;
    Ok(Some(document))
}

async fn fetch_body(
    client: &Client,
    target: &Target,
    address: SocketAddr,
    path: &str,
) -> Result<Option<Vec<u8>>, Error> {
    let conn = client.connect(target, address).await?;
    let req = TargetRequest {
        method: Method::GET,
        path_and_query: path.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let mut resp = conn.send(req).await?;
    let status = resp.status();
    let mut data = Vec::new();
    while let Some(chunk) = resp.next_chunk().await? {
        if data.len() + chunk.len() > MAX_DOCUMENT_BYTES {
            return Err(Error::InvalidResponse {
                target: target.clone(),
                reason: format!("{path}: more than {MAX_DOCUMENT_BYTES} bytes"),
            });
        }
        data.extend_from_slice(&chunk);
    }
    Ok((status == StatusCode::OK).then_some(data))
}
