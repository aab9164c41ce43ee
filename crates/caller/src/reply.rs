//! Answers before encoding, and refusals as the caller reads them.

use bytes::Bytes;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Serialize;

use crate::Error;
use crate::body::StreamBody;
use crate::explain;

/// An answer to a caller.
#[derive(Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: ReplyBody,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// All of it.
    Full(Bytes),
    /// Pieces to come.
    Stream(StreamBody),
}

/// The JSON form of a refusal.
#[derive(Debug)]
#[derive(Serialize)]
struct Envelope {
    error: ErrorBody,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ErrorBody {
    code: Code,
    outcome: chiverelay_decisions::refusal::Outcome,
    retry_after_ms: Option<u64>,
    step: chiverelay_decisions::step::Step,
    peer: String,
    message: String,
}

impl Reply {
    /// Answers with a JSON document.
    pub fn json(status: StatusCode, body: Vec<u8>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self {
            status,
            headers,
            body: ReplyBody::Full(body.into()),
        }
    }

    /// Answers with a refusal.
    pub fn refusal(refusal: &Refusal) -> Self {
        let mut reply = Self::json(status(refusal.code), refusal_json(refusal));
        if let Some(delay) = refusal.retry_after {
            let secs = delay.as_millis().div_ceil(1000).max(1) as u64;
            reply.headers.insert(RETRY_AFTER, HeaderValue::from(secs));
        }
        reply
    }

    /// Writes a whole answer as the last one of an HTTP/1.1 connection.
    pub(crate) fn encode_last(self) -> Vec<u8> {
        let ReplyBody::Full(body) = self.body else {
            return Vec::new();
        };
        let mut data = format!("HTTP/1.1 {}\r\n", self.status).into_bytes();
        for (name, value) in &self.headers {
            data.extend(name.as_str().as_bytes());
            data.extend(b": ");
            data.extend(value.as_bytes());
            data.extend(b"\r\n");
        }
        let length = body.len();
        data.extend(format!("content-length: {length}\r\nconnection: close\r\n\r\n").as_bytes());
        data.extend(body);
        data
    }

    pub(crate) fn encode(self) -> Response<BoxBody<Bytes, Error>> {
        let body = match self.body {
            ReplyBody::Full(data) => Full::new(data).map_err(|e| match e {}).boxed(),
            ReplyBody::Stream(body) => body.boxed(),
        };
        let mut resp = Response::new(body);
        *resp.status_mut() = self.status;
        *resp.headers_mut() = self.headers;
        resp
    }
}

/// Returns a server-sent event that ends a stream with a refusal.
pub fn error_event(refusal: &Refusal) -> Bytes {
    let mut event = b"event: error\ndata: ".to_vec();
    event.extend(refusal_json(refusal));
    event.extend(b"\n\n");
    event.into()
}

/// Returns the JSON document of a refusal.
pub(crate) fn refusal_json(refusal: &Refusal) -> Vec<u8> {
    let envelope = Envelope {
        error: ErrorBody {
            code: refusal.code,
            outcome: refusal.outcome,
            retry_after_ms: refusal.retry_after.map(|d| d.as_millis() as u64),
            step: refusal.step,
            peer: refusal.peer.to_string(),
            message: explain::message(refusal),
        },
    };
    serde_json::to_vec(&envelope).unwrap_or_default()
}

fn status(code: Code) -> StatusCode {
    match code {
        Code::Malformed => StatusCode::BAD_REQUEST,
        Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::ReceiveTimeout => StatusCode::REQUEST_TIMEOUT,
        Code::Unauthenticated => StatusCode::UNAUTHORIZED,
        Code::Forbidden => StatusCode::FORBIDDEN,
        Code::NoRoute => StatusCode::NOT_FOUND,
        Code::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        Code::AlreadyUsed => StatusCode::CONFLICT,
        Code::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Code::Overloaded
        | Code::Unavailable
        | Code::StateUnavailable
        | Code::Suspended
        | Code::NotResumable
        | Code::Draining => StatusCode::SERVICE_UNAVAILABLE,
        Code::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Code::TargetFailed | Code::SiblingFailed => StatusCode::BAD_GATEWAY,
    }
}
