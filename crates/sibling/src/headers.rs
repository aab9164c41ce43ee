//! HTTP headers as they go between instances.

use chiverelay_decisions::answer::is_final_status;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

/// Writes headers as they go between instances.
pub fn write_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .map(|(k, v)| (k.as_str().to_owned(), v.as_bytes().to_vec()))
        .collect()
}

/// Reads the status of an answer as it comes from instances; `None` if it ends no
/// exchange.
pub fn read_status(status: u16) -> Option<StatusCode> {
    let status = StatusCode::from_u16(status).ok()?;
    is_final_status(status.as_u16()).then_some(status)
}

/// Reads headers as they come from instances. What is no header is left out.
pub fn read_headers(headers: &[(String, Vec<u8>)]) -> HeaderMap {
    headers
        .iter()
        .filter_map(|(k, v)| {
            let name = HeaderName::from_bytes(k.as_bytes()).ok()?;
            Some((name, HeaderValue::from_bytes(v).ok()?))
        })
        .collect()
}
