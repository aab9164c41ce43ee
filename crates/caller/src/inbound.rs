//! Requests as decoded from HTTP.

use bytes::Bytes;
use chiverelay_decisions::admission::spread_retry_after;
use chiverelay_decisions::keys::KeyDetector;
use chiverelay_decisions::keys::PresentedKey;
use chiverelay_decisions::memory_budget::MemoryBudget;
use chiverelay_decisions::names::FieldName;
use chiverelay_decisions::names::Model;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Detail;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::refusal::RequestPart;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_http::BodyError;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
use hyper::header::COOKIE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::UPGRADE;

use crate::Limits;
use crate::fields::Fields;

/// Bytes of prompt text that count as one token before the engine counts them.
const BYTES_PER_TOKEN: u64 = 4;

/// Header that may carry a key in place of `Authorization`.
const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Headers that carry credentials, or concern just the caller's connection.
const NOT_SENT_ON: [HeaderName; 10] = [
    API_KEY,
    AUTHORIZATION,
    CONNECTION,
    COOKIE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    UPGRADE,
];

/// Query parameters that only ever carry credentials.
const CREDENTIAL_PARAMETERS: [&str; 5] =
    ["access_token", "api-key", "api_key", "apikey", "x-api-key"];

/// A caller's request, read whole.
#[derive(Debug)]
pub struct Inbound {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path_and_query: String,
    /// Path alone.
    pub path: String,
    /// Headers without those that carry keys or concern the connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The key that came with it.
    pub key: Option<PresentedKey>,
    /// The model asked for, if any.
    pub model: Option<Model>,
    /// The largest answer in tokens, if stated.
    pub max_answer_tokens: Option<u64>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Chained hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
}

/// Header with an operation ticket.
pub const TICKET: &str = "x-operation-ticket";

/// Header with a caller's own idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Tells whether a request may be a further attempt at an operation.
pub(crate) fn is_marked(headers: &HeaderMap) -> bool {
    headers.contains_key(TICKET) || headers.contains_key(IDEMPOTENCY_KEY)
}

fn refuse(code: Code, detail: Detail) -> Refusal {
    Refusal::not_run(code, Step::Receive, Peer::Caller).with_detail(detail)
}

/// Refuses a request that states both a length and chunks. Whoever passed it
/// on may have read the other one.
pub(crate) fn conflict(headers: &HeaderMap) -> Refusal {
    let refusal = refuse(Code::Malformed, Detail::LengthAndChunks);
    match is_marked(headers) {
        true => refusal.with_unknown_outcome(),
        false => refusal,
    }
}

/// Refuses a request whose head takes too long. It may name an operation in
/// the part that has not come.
pub(crate) fn late_head() -> Refusal {
    refuse(Code::ReceiveTimeout, Detail::SlowHead).with_unknown_outcome()
}

impl Inbound {
    /// Reads a request whole. While too little memory is left, `make_room` lets go
    /// of another one; it returns whether there is one.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too large, too slow, cut off or not the JSON
    /// that its path asks for.
    pub(crate) async fn read<R>(
        req: Request<Incoming>,
        limits: Limits,
        memory: &MemoryBudget,
        make_room: R,
    ) -> Result<Self, Refusal>
    where
        R: Fn() -> bool,
    {
        let (parts, body) = req.into_parts();
        let reading = read_body(body, limits.max_body, memory, make_room);
        let body = match tokio::time::timeout(limits.body_timeout, reading).await {
            Ok(body) => body?,
            Err(_) => return Err(refuse(Code::ReceiveTimeout, Detail::SlowBody)),
        };
        let path = parts.uri.path().to_owned();
        let path_and_query = match parts.uri.path_and_query() {
            Some(p) => p.as_str().to_owned(),
            None => path.clone(),
        };
        let key = read_key(&parts.headers)?;
        let headers = without_credentials(parts.headers);
        let detector = KeyDetector::new(key.as_ref());
        let query = parts.uri.query().unwrap_or_default();
        if let Some(part) = find_key(&detector, &headers, &path_and_query, query, &body) {
            return Err(refuse(Code::Malformed, Detail::KeyIn(part)));
        }
        let fields = read_fields(&path, &body)?;
        Ok(Self {
            method: parts.method,
            key,
            prefix: fields.prefix,
            path_and_query,
            path,
            headers,
            model: fields.model.map(Model::from),
            max_answer_tokens: fields.max_completion_tokens.or(fields.max_tokens),
            prompt_tokens: (body.len() as u64).div_ceil(BYTES_PER_TOKEN),
            body,
        })
    }
}

async fn read_body<R>(
    body: Incoming,
    max: usize,
    memory: &MemoryBudget,
    make_room: R,
) -> Result<Bytes, Refusal>
where
    R: Fn() -> bool,
{
    let read = chiverelay_http::read_held_body(body, max, memory, make_room).await;
    read.map_err(|e| match e {
        BodyError::TooLarge => refuse(Code::TooLarge, Detail::BodyOver(max as u64)),
        BodyError::Broken => refuse(Code::Malformed, Detail::BodyCutOff),
        BodyError::NoMemory(_) => {
            let delay = spread_retry_after(rand::random());
            Refusal::not_run(Code::Overloaded, Step::Receive, Peer::Local).with_retry_after(delay)
        }
    })
}

/// Finds a key where it would reach a target.
fn find_key(
    detector: &KeyDetector<'_>,
    headers: &HeaderMap,
    path_and_query: &str,
    query: &str,
    body: &Bytes,
) -> Option<RequestPart> {
    let holds = |(_, value): &(_, &HeaderValue)| detector.contains_key(value.as_bytes());
    if let Some((name, _)) = headers.iter().find(holds) {
        return Some(RequestPart::Header(FieldName::from(name.as_str())));
    }
    if names_credential(query) || detector.contains_key(query.as_bytes()) {
        return Some(RequestPart::Query);
    }
    if detector.contains_key(path_and_query.as_bytes()) {
        return Some(RequestPart::Path);
    }
    detector.contains_key(body).then_some(RequestPart::Body)
}

fn read_fields(path: &str, body: &Bytes) -> Result<Fields, Refusal> {
    if path != "/v1/chat/completions" && path != "/v1/completions" {
        return Ok(Fields::default());
    }
    let fields: Fields = serde_json::from_slice(body).map_err(|e| {
        let place = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let (line, column) = (place(e.line()), place(e.column()));
        refuse(Code::Malformed, Detail::NotJson { line, column })
    })?;
    if fields.model.is_none() {
        return Err(refuse(
            Code::Malformed,
            Detail::NoField(FieldName::from("model")),
        ));
    }
    Ok(fields)
}

/// Reads the key from `Authorization: Bearer` or `X-Api-Key`.
///
/// # Errors
///
/// Refuses a request that shows more than one key.
fn read_key(headers: &HeaderMap) -> Result<Option<PresentedKey>, Refusal> {
    let bearer = headers.get_all(AUTHORIZATION).iter().map(|v| {
        let v = v.to_str().ok()?;
        let (scheme, key) = v.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    });
    let api_key = headers
        .get_all(API_KEY)
        .iter()
        .map(|v| v.to_str().ok().map(str::trim));
    let keys: Vec<Option<&str>> = bearer.chain(api_key).collect();
    match keys[..] {
        [] => Ok(None),
        [Some(key)] => Ok(Some(PresentedKey::from(key))),
        _ => {
            let refusal = Refusal::not_run(Code::Unauthenticated, Step::Authenticate, Peer::Caller);
            Err(refusal.with_detail(Detail::KeyUnclear))
        }
    }
}

/// Removes the headers that carry credentials or concern just the connection,
/// also those that `Connection` names.
fn without_credentials(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&NOT_SENT_ON) {
        headers.remove(name);
    }
    headers
}

/// Tells whether a query has a parameter that only ever carries credentials.
fn names_credential(query: &str) -> bool {
    query
        .split(['&', ';'])
        .filter_map(|pair| pair.split('=').next())
        .any(|name| {
            CREDENTIAL_PARAMETERS
                .iter()
                .any(|c| name.eq_ignore_ascii_case(c))
        })
}
