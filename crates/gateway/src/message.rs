//! Requests and answers between a front end and the gateway's parts.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Model;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::traffic::PromptPart;
use futures_util::Stream;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;

use crate::IncompleteAnswer;

/// A caller's request, read whole.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// The caller's name for this attempt.
    pub id: RequestId,
    /// Host that the request was sent to.
    pub host: String,
    /// Method.
    pub method: Method,
    /// Path with its query, as it was sent.
    pub path_and_query: String,
    /// Headers that may reach a target.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The key that came with it.
    pub api_key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The model asked for.
    pub model: Option<Model>,
    /// Tokens of the prompt, if stated.
    pub prompt_tokens: Option<u64>,
    /// The largest answer in tokens, if stated.
    pub max_answer_tokens: Option<u64>,
    /// The prompt's parts, in order.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<u64>,
}

impl Inbound {
    /// Returns the path alone.
    pub fn path(&self) -> &str {
        let path = self.path_and_query.split('?').next();
        path.unwrap_or_default()
    }
}

/// A request for a target.
#[derive(Clone, Debug)]
pub struct Outbound {
    /// The caller's name for this attempt.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path_and_query: String,
    /// The caller's headers that may reach a target.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The client account that it runs for.
    pub account: Option<Account>,
    /// Rank among the requests of a target; 0 goes first.
    pub priority: u8,
    /// Whether the answer is a stream of events.
    pub is_streaming: bool,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// What one sending of a request tells its target.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// The target that is meant.
    pub target: &'a Target,
    /// Time that the target has.
    pub remaining: Duration,
    /// Where it can copy parts of the prompt from that it lacks.
    pub cache_source: Option<SocketAddr>,
}

/// What the head of a target's answer says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// The target ran the request.
    Executed,
    /// It did not, as it has no room or is leaving.
    Rejected,
    /// Another target has the address and did not run the request.
    Misdirected,
    /// The answer is not this request's.
    Mismatched,
}

/// How requests and answers are written at the targets.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the headers of a request as it goes to a target.
    fn encode_headers(&self, req: &Outbound, sending: &AttemptContext<'_>) -> HeaderMap;

    /// Reads the head of an answer.
    fn classify_response(
        &self,
        req: &Outbound,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseVerdict;

    /// Returns the headers of an answer that may reach a caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;
}

/// Pieces of an answer that is passed on as it comes.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteAnswer>> + Send>>;

/// The body of a reply.
pub enum ReplyBody {
    /// All of it.
    Full(Bytes),
    /// Pieces as they come; an error means that the rest never comes.
    Pieces(BodyStream),
}

impl fmt::Debug for ReplyBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full(data) => f.debug_tuple("Full").field(&data.len()).finish(),
            Self::Pieces(_) => f.debug_tuple("Pieces").finish_non_exhaustive(),
        }
    }
}

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

/// What became of a request: an answer, or a refusal that says whether it ran.
pub type HandleResult = Result<Reply, Refusal>;
