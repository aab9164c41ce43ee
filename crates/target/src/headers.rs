//! The headers that pass between callers and targets.

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

/// Header that names the last event that the asker of a stream has.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Headers of a caller's request that reach a target. Keys are not among them.
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

/// Headers of a target's answer that reach a caller.
const RESPONSE_HEADERS: [HeaderName; 7] = [
    CACHE_CONTROL,
    CONTENT_ENCODING,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    ETAG,
    LAST_MODIFIED,
    LOCATION,
];

/// Keeps the headers that may reach a target.
pub fn filter_request(headers: &HeaderMap) -> HeaderMap {
    copy_allowed(headers, &REQUEST_HEADERS)
}

/// Keeps the headers that may reach a caller.
pub fn filter_response(headers: &HeaderMap) -> HeaderMap {
    copy_allowed(headers, &RESPONSE_HEADERS)
}

/// Tells whether an answer is a stream of server-sent events.
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
