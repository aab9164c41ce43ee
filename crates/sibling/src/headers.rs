//! HTTP headers as they go between instances.

use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

/// Writes headers as they go between instances.
pub fn write_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .map(|(k, v)| (k.as_str().to_owned(), v.as_bytes().to_vec()))
        .collect()
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
