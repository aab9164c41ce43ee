//! What exactly is wrong with a refused request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::names::FieldName;

/// What is wrong with a request, and where.
///
/// A detail describes only the caller's own request. It never has data of
/// another client account, and never a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Detail {
    /// The head has both `Content-Length` and `Transfer-Encoding: chunked`.
    LengthAndChunks,
    /// The body is shorter than its declared length, or its last chunk is
    /// missing.
    BodyCutOff,
    /// The body is longer than the contained limit in bytes.
    BodyOver(u64),
    /// The head is longer than the contained limit in bytes.
    HeadOver(u64),
    /// The request's head did not arrive completely in time.
    SlowHead,
    /// The body did not arrive completely in time.
    SlowBody,
    /// The body is not the expected JSON; the position is that of the error.
    NotJson {
        /// Line of the error, from 1.
        line: u32,
        /// Column of the error, from 1.
        column: u32,
    },
    /// The body lacks a field that the request's path requires.
    NoField(FieldName),
    /// A caller's key is in a part of the request that is sent on to the
    /// target.
    KeyIn(RequestPart),
    /// The request has several caller's keys, or one that is not valid text.
    KeyUnclear,
    /// The request refers to more than one operation.
    ManyOperations,
    /// The operation's ticket does not have the format of a ticket.
    NotATicket,
    /// The idempotency key is empty, or longer than the contained limit in
    /// bytes.
    KeyLength(u64),
    /// This request differs from the operation's first request in its path,
    /// body or account.
    OtherRequest,
    /// The ticket has expired, or its signature is wrong.
    TicketInvalid,
    /// The ticket was never used, and is too old for a first use.
    TicketLate,
    /// The part of the prompt with this identifier crashed several targets.
    QuarantinedPart(u64),
}

/// The part of a request in which a key was found.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestPart {
    /// The value of this header.
    Header(FieldName),
    /// The path of the URL.
    Path,
    /// The query of the URL.
    Query,
    /// The request's body.
    Body,
}

impl fmt::Display for RequestPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Header(name) => write!(f, "the header `{name}`"),
            Self::Path => f.write_str("the path"),
            Self::Query => f.write_str("the query"),
            Self::Body => f.write_str("the body"),
        }
    }
}
