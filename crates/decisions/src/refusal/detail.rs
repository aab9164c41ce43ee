//! What exactly was wrong with a refused request, where its code leaves that
//! open.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::names::FieldName;

/// What was wrong with a request, and where.
///
/// A detail tells a caller of its own request alone: never what another client
/// account has or did, and never a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Detail {
    /// The head states both a length and chunks.
    LengthAndChunks,
    /// The body ended before its stated end.
    BodyCutOff,
    /// The body has more bytes than this.
    BodyOver(u64),
    /// The head did not arrive whole in time.
    SlowHead,
    /// The body did not arrive whole in time.
    SlowBody,
    /// The body is not the JSON asked for, as of this place.
    NotJson {
        /// Line, from 1.
        line: u32,
        /// Column in it, from 1.
        column: u32,
    },
    /// The body lacks a field that its path needs.
    NoField(FieldName),
    /// A key stands where it would reach a target.
    KeyIn(RequestPart),
    /// More than one key is shown, or one that is not text.
    KeyUnclear,
    /// The request names more than one operation.
    ManyOperations,
    /// The ticket of the operation is not one that an instance issued.
    NotATicket,
    /// The idempotency key is empty or has more bytes than this.
    KeyLength(u64),
    /// The operation was first asked for with another path or body, or by
    /// another account.
    OtherRequest,
    /// The ticket has expired, or is forged.
    TicketInvalid,
    /// The ticket was never used, and is too old for a first use.
    TicketLate,
}

/// A part of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestPart {
    /// A header.
    Header(FieldName),
    /// The path.
    Path,
    /// The query.
    Query,
    /// The body.
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
