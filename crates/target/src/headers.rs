//! Allowlists of the headers that are forwarded between callers and targets.

use hyper::HeaderMap;
use hyper::header::ACCEPT;
use hyper::header::ACCEPT_LANGUAGE;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_ENCODING;
use hyper::header::CONTENT_LANGUAGE;
use hyper::header::CONTENT_TYPE;
use hyper::header::ETAG;
use hyper::header::HeaderName;
use hyper::header::IF_MATCH;
use hyper::header::IF_NONE_MATCH;
use hyper::header::LAST_MODIFIED;
use hyper::header::LOCATION;
use hyper::header::USER_AGENT;

/// Id of the last server-sent event that the client of a stream has received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Headers of a caller's request that are forwarded to a target. Credentials
/// are not among them.
const REQUEST_HEADERS: [HeaderName; 9] = [
    ACCEPT,
    ACCEPT_LANGUAGE,
    CONTENT_TYPE,
    CONTENT_ENCODING,
    CONTENT_LANGUAGE,
    IF_MATCH,
    IF_NONE_MATCH,
    LAST_EVENT_ID,
    USER_AGENT,
];

/// Headers of a target's response that are forwarded to a caller.
const RESPONSE_HEADERS: [HeaderName; 7] = [
    CACHE_CONTROL,
    CONTENT_ENCODING,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    ETAG,
    LAST_MODIFIED,
    LOCATION,
];

/// Returns the request headers that may be forwarded to a target.
pub fn filter_request(headers: &HeaderMap) -> HeaderMap {
    copy_allowed(headers, &REQUEST_HEADERS)
}

/// Returns the response headers that may be forwarded to a caller.
pub fn filter_response(headers: &HeaderMap) -> HeaderMap {
    copy_allowed(headers, &RESPONSE_HEADERS)
}

/// Tells whether a response is a stream of server-sent events, by its content
/// type.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    content_type.is_some_and(|kind| kind.trim_start().starts_with("text/event-stream"))
}

fn copy_allowed(headers: &HeaderMap, allowed: &[HeaderName]) -> HeaderMap {
    let mut filtered = HeaderMap::new();
    for name in allowed {
        for value in headers.get_all(name) {
            filtered.append(name.clone(), value.clone());
        }
    }
    filtered
}
