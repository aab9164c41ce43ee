//! Requests and answers as a front end exchanges them with the gateway.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Model;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::traffic::PromptPart;
use futures_util::Stream;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;

use crate::HeldHeaders;
use crate::IncompleteAnswer;

/// Returns the host by which routes are found: that of a `Host` header without a
/// port, in lower case.
pub fn route_host(header: &str) -> String {
    let host = header.split(':').next().unwrap_or_default();
    host.to_ascii_lowercase()
}

/// A caller's complete request.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Id that the caller chose for this request. The gateway's attempts at
    /// the request share it.
    pub id: RequestId,
    /// Host that the request was sent to.
    pub host: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path_and_query: String,
    /// Headers that are passed on to a target.
    pub headers: HeldHeaders,
    /// Body of the request.
    pub body: Bytes,
    /// API key of the request.
    pub api_key: Option<String>,
    /// Time for which the caller waits for an answer, if stated.
    pub timeout: Option<Duration>,
    /// Requested model.
    pub model: Option<Model>,
    /// Length of the prompt in tokens, if stated.
    pub prompt_tokens: Option<u64>,
    /// Largest length of the answer in tokens, if stated.
    pub max_answer_tokens: Option<u64>,
    /// Parts of the prompt, in order, by which cached prefixes are recognized.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller has received, if the request
    /// resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the caller's request whose answer had the first event of the stream
    /// that this request resumes, if the caller names it.
    pub resumes: Option<RequestId>,
}

impl Inbound {
    /// Returns the id of the request that began the stream which this one
    /// resumes, or its own id.
    pub fn stream_id(&self) -> &RequestId {
        self.resumes.as_ref().unwrap_or(&self.id)
    }

    /// Tells whether the request resumes a stream.
    pub fn is_resuming(&self) -> bool {
        self.resumes.is_some() || self.last_event_id.is_some_and(|id| id > 0)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        let path = self.path_and_query.split('?').next();
        path.unwrap_or_default()
    }
}

/// A request as it is sent to a target.
#[derive(Clone, Debug)]
pub struct Outbound {
    /// Id that the caller chose for this request. The gateway's attempts at
    /// the request share it.
    pub id: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path_and_query: String,
    /// Headers of the caller that are passed on.
    pub headers: HeldHeaders,
    /// Body of the request.
    pub body: Bytes,
    /// Client account that the request is charged to.
    pub account: Option<Account>,
    /// Priority among the requests at a target; 0 is the highest.
    pub priority: u8,
    /// Whether the answer is a stream of events.
    pub is_streaming: bool,
    /// Id of the last event that the caller has received, if the request
    /// resumes a stream.
    pub last_event_id: Option<u64>,
}

/// Properties of one attempt that are sent to the target with the request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// Target that the request is meant for.
    pub target: &'a Target,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Address from which the target can copy cached parts of the prompt.
    pub cache_source: Option<SocketAddr>,
}

/// What the status and headers of a target's answer say about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// The target ran the request.
    Ran,
    /// The target did not run the request. It is full or draining.
    Rejected,
    /// Another target uses the address now, and did not run the request.
    Misdirected,
    /// The answer belongs to another request.
    Mismatched,
}

/// Protocol between the gateway and targets, as a front end implements it: the
/// headers of requests and the classification of answers.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the headers of a request as they are sent to a target.
    fn encode_headers(&self, req: &Outbound, attempt: &AttemptContext<'_>) -> HeaderMap;

    /// Tells from the status and headers of an answer whether the target ran
    /// the request. `is_reused` tells whether the connection carried an earlier
    /// request, whose answer may come again.
    fn classify_response(
        &self,
        req: &Outbound,
        status: StatusCode,
        headers: &HeaderMap,
        is_reused: bool,
    ) -> ResponseVerdict;

    /// Returns the limit that the target states in an answer, in requests per
    /// second from all instances together; `None` if it states none.
    fn stated_limit(&self, headers: &HeaderMap) -> Option<f64>;

    /// Returns how many rejections in a second the target says that it survives,
    /// whichever instances cause them; `None` if it states no such limit.
    fn max_rejections(&self, headers: &HeaderMap) -> Option<u32>;

    /// Returns the time for which a target that turned a request away wants no
    /// more requests from this instance; `None` if it states none.
    fn requested_pause(&self, status: StatusCode, headers: &HeaderMap) -> Option<Duration>;

    /// Tells whether the target says in an answer that it is leaving.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Returns those headers of an answer that are passed on to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;
}

/// Chunks of an answer that is relayed as it arrives.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteAnswer>> + Send>>;

/// The body of a reply.
pub enum ReplyBody {
    /// The complete body.
    Full(Bytes),
    /// Chunks as they arrive. After an error no further chunk follows.
    Chunks(BodyStream),
}

impl fmt::Debug for ReplyBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full(data) => f.debug_tuple("Full").field(&data.len()).finish(),
            // The name in the debug output differs from the variant's.
            Self::Chunks(_) => f.debug_tuple("Pieces").finish_non_exhaustive(),
        }
    }
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers that are sent to the caller.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: ReplyBody,
    /// Software of the target that answers, if a target does.
    pub software: Option<SoftwareVersion>,
}

/// Result of a request: an answer, or a refusal that says whether it ran.
pub type HandleResult = Result<Reply, Refusal>;
