//! Incremental check that an answer is complete.

use std::ops::RangeInclusive;

use bytes::Bytes;
use serde::Deserialize;
use thiserror::Error as ThisError;

use crate::memory_budget::Exhausted;
use crate::memory_budget::MemoryBudget;
use crate::memory_budget::Reservation;

/// Largest accepted event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Bytes of an unfinished event that are not reserved. Most events are shorter,
/// so that their streams go on when the memory for longer ones is used up.
const UNRESERVED_EVENT_BYTES: usize = 4 * 1024;

/// Most bytes from the start of an answer that is not a stream that are
/// buffered to parse the usage reported in it.
const MAX_USAGE_BYTES: usize = 256 * 1024;

/// Bytes per token of an answer, for answers that report no usage.
const BYTES_PER_TOKEN: u64 = 4;

/// Data of the last event of a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// Smallest and largest status of a final HTTP response.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Tells whether a status ends an exchange. Statuses below are of interim
/// responses, which precede another one; HTTP has none above.
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// How the end of an answer is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Server-sent events that end with `[DONE]`.
    Events,
    /// Server-sent events with consecutive ids and no `[DONE]`. The length or
    /// the last chunk of the HTTP body marks the end.
    NumberedEvents,
    /// Any other answer of which the length or the last chunk of the HTTP body
    /// marks the end.
    Delimited,
    /// The answer ends with the connection, so a lost connection can't be told
    /// from the end.
    UntilClose,
}

impl Framing {
    /// Tells whether the answer is a stream of events.
    pub fn is_events(self) -> bool {
        matches!(self, Self::Events | Self::NumberedEvents)
    }
}

/// Why an answer is incomplete or malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum AnswerError {
    /// The stream ended within an event.
    #[error("the stream ends within an event")]
    TruncatedEvent,
    /// The stream ended before its last event.
    #[error("the stream ends without [DONE]")]
    MissingDone,
    /// Something follows the last event.
    #[error("an event follows [DONE]")]
    EventAfterDone,
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[error("an event is too long")]
    EventTooLong,
    /// Too little memory is left to hold the rest of an event.
    #[error("too little memory is left for an event")]
    NoMemory,
    /// An event's id is not one higher than that of the event before it: events
    /// were lost, repeated or reordered.
    #[error("an event is missing or doubled")]
    EventIdOutOfOrder,
    /// A line is neither a field nor a comment of an event, such as the text of
    /// an error.
    #[error("a line is no part of an event")]
    NotAnEvent,
    /// An event of a stream with numbered events has no id.
    #[error("an event has no id")]
    MissingEventId,
    /// The answer ends with the connection, as it has neither a length nor a
    /// last chunk.
    #[error("the answer states no length")]
    NoStatedEnd,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct UsageField {
    usage: Option<Usage>,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct Usage {
    completion_tokens: Option<u64>,
    total_tokens: Option<u64>,
}

/// Checks an answer chunk by chunk.
///
/// # Invariants
///
/// `pending` has the bytes after the last complete event of a stream, so that
/// the output of [`AnswerChecker::push`] always ends between two events. Of an
/// answer that is not a stream, `pending` has a copy of the start, from which
/// the usage is parsed: of the first [`MAX_USAGE_BYTES`] as much as there is
/// memory for. `reserved` covers `pending` but for [`UNRESERVED_EVENT_BYTES`].
#[derive(Debug)]
pub struct AnswerChecker {
    framing: Framing,
    pending: Vec<u8>,
    /// `None` if nothing limits the memory of unfinished events.
    reserved: Option<Reservation>,
    /// Whether the usage that the answer reports is of interest.
    reads_usage: bool,
    /// Offset in `pending` up to which no end of an event was found.
    scan_offset: usize,
    event_count: u64,
    byte_count: u64,
    last_id: Option<u64>,
    done: bool,
    usage: Option<Usage>,
}

impl AnswerChecker {
    /// Creates a checker for a new answer.
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            pending: Vec::new(),
            reserved: None,
            reads_usage: true,
            scan_offset: 0,
            event_count: 0,
            byte_count: 0,
            last_id: None,
            done: false,
            usage: None,
        }
    }

    /// Creates a checker for the rest of a stream of numbered events, after
    /// the event `last_id` that the caller already has; `None` if it has none.
    pub fn resume_after(framing: Framing, last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::new(framing)
        }
    }

    /// Reserves the bytes that the checker holds, as unfinished events.
    pub fn within(mut self, memory: &MemoryBudget) -> Self {
        self.reserved = Some(memory.empty_reservation());
        self
    }

    /// Leaves out the usage that the answer reports, and the copy of the answer
    /// that it would be parsed from.
    pub fn without_usage(mut self) -> Self {
        self.reads_usage = false;
        self
    }

    /// Adds a chunk and returns the bytes that may be forwarded: the complete
    /// events of a stream, or the chunk itself.
    ///
    /// # Errors
    ///
    /// Fails if the answer is malformed.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, AnswerError> {
        self.byte_count += data.len() as u64;
        if !self.framing.is_events() {
            self.keep_start(&data);
            return Ok(data);
        }
        self.pending.extend_from_slice(&data);
        let mut complete_len = 0;
        while let Some(end) = self.event_end(complete_len) {
            self.process_event(complete_len, end)?;
            complete_len = end;
        }
        if self.pending.len() - complete_len > MAX_EVENT_BYTES {
            return Err(AnswerError::EventTooLong);
        }
        let complete = self.take_pending(complete_len);
        self.reserve_pending().map_err(|_| AnswerError::NoMemory)?;
        Ok(complete)
    }

    /// Keeps the start of an answer that is not a stream, to parse the usage
    /// reported in it.
    fn keep_start(&mut self, data: &[u8]) {
        if !self.reads_usage {
            return;
        }
        let room = MAX_USAGE_BYTES.saturating_sub(self.pending.len());
        self.pending
            .extend_from_slice(&data[..data.len().min(room)]);
        if self.reserve_pending().is_err() {
            // The tokens are estimated instead.
            self.pending = Vec::new();
            self.reads_usage = false;
        }
    }

    /// Removes the first `len` bytes of what is pending and returns them.
    fn take_pending(&mut self, len: usize) -> Bytes {
        if len == 0 {
            return Bytes::new();
        }
        let rest = self.pending.split_off(len);
        self.scan_offset = rest.len().saturating_sub(EVENT_END_OVERLAP);
        std::mem::replace(&mut self.pending, rest).into()
    }

    fn reserve_pending(&mut self) -> Result<(), Exhausted> {
        let Some(reserved) = &mut self.reserved else {
            return Ok(());
        };
        let bytes = self.pending.capacity();
        let bytes = bytes.saturating_sub(UNRESERVED_EVENT_BYTES);
        reserved.shrink_to(bytes);
        reserved.grow_to(bytes)
    }

    /// Finds the end of the event that starts at `start`.
    fn event_end(&mut self, start: usize) -> Option<usize> {
        let from = self.scan_offset.max(start);
        let buf = &self.pending;
        let end = (from..buf.len())
            .filter(|&i| buf[i] == b'\n')
            .find(|&i| ends_event(&buf[start..i]))
            .map(|i| i + 1);
        self.scan_offset = end.unwrap_or(buf.len().saturating_sub(EVENT_END_OVERLAP));
        end
    }

    fn process_event(&mut self, start: usize, end: usize) -> Result<(), AnswerError> {
        let event = &self.pending[start..end];
        let mut data = Vec::new();
        let mut id = None;
        for line in event.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field_value(line, b"data") {
                data.extend_from_slice(value);
            } else if let Some(value) = field_value(line, b"id") {
                id = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
            } else if !is_field_or_comment(line) {
                return Err(AnswerError::NotAnEvent);
            }
        }
        if data.is_empty() {
            return Ok(());
        }
        if self.done {
            return Err(AnswerError::EventAfterDone);
        }
        if data == DONE_DATA {
            self.done = true;
            return Ok(());
        }
        self.check_id(id)?;
        self.event_count += 1;
        self.read_usage(&data);
        Ok(())
    }

    fn check_id(&mut self, id: Option<u64>) -> Result<(), AnswerError> {
        let Some(id) = id else {
            return match self.framing {
                Framing::NumberedEvents => Err(AnswerError::MissingEventId),
                _ => Ok(()),
            };
        };
        let is_next = |last: u64| last.checked_add(1) == Some(id);
        if !self.last_id.is_none_or(is_next) {
            return Err(AnswerError::EventIdOutOfOrder);
        }
        self.last_id = Some(id);
        Ok(())
    }

    fn read_usage(&mut self, data: &[u8]) {
        if !self.reads_usage {
            return;
        }
        if let Ok(UsageField { usage: Some(usage) }) = serde_json::from_slice(data) {
            self.usage = Some(usage);
        }
    }

    /// Checks the end of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer is incomplete.
    pub fn check_end(&mut self) -> Result<(), AnswerError> {
        match self.framing {
            Framing::Delimited => Ok(()),
            Framing::UntilClose => Err(AnswerError::NoStatedEnd),
            Framing::NumberedEvents if !self.pending.is_empty() => Err(AnswerError::TruncatedEvent),
            Framing::NumberedEvents => Ok(()),
            Framing::Events if !self.pending.is_empty() => Err(AnswerError::TruncatedEvent),
            Framing::Events if !self.done => Err(AnswerError::MissingDone),
            Framing::Events => Ok(()),
        }
    }

    /// Tells whether the stream's `[DONE]` event has arrived.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops an incomplete event left by a lost connection, before the stream
    /// is resumed on another one.
    pub fn discard_partial_event(&mut self) {
        self.pending.clear();
        self.scan_offset = 0;
    }

    /// Returns the tokens of prompt and answer together: the reported usage, or
    /// an estimate by the events or bytes of the answer. To be called once,
    /// after the end, as it consumes the buffered answer.
    pub fn count_tokens(&mut self, prompt_tokens: u64) -> u64 {
        if !self.framing.is_events() {
            let body = std::mem::take(&mut self.pending);
            self.read_usage(&body);
        }
        let usage = match (self.usage, self.framing) {
            (Some(usage), _) => usage,
            (None, Framing::Events | Framing::NumberedEvents) => Usage {
                completion_tokens: Some(self.event_count),
                total_tokens: None,
            },
            (None, _) => Usage {
                completion_tokens: None,
                total_tokens: None,
            },
        };
        let answer_tokens = usage
            .completion_tokens
            .unwrap_or(self.byte_count / BYTES_PER_TOKEN);
        usage
            .total_tokens
            .unwrap_or_else(|| prompt_tokens.saturating_add(answer_tokens))
    }
}

/// Holds back the end of an answer until the answer is known to be complete.
///
/// # Invariants
///
/// All outputs of [`TailBuffer::push`] together are never the complete answer:
/// `tail` has the last event of a stream that ends with `[DONE]`, and the last
/// chunk of any other answer.
#[derive(Debug)]
pub struct TailBuffer {
    framing: Framing,
    tail: Bytes,
}

impl TailBuffer {
    /// Creates an empty buffer for a new answer.
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            tail: Bytes::new(),
        }
    }

    /// Adds a checked chunk and returns the bytes that may be sent before the
    /// answer's end.
    ///
    /// `done` tells whether the stream's `[DONE]` event has arrived.
    pub fn push(&mut self, data: Bytes, done: bool) -> Bytes {
        if data.is_empty() || (self.framing == Framing::Events && !done) {
            return data;
        }
        if self.framing != Framing::Events {
            return std::mem::replace(&mut self.tail, data);
        }
        // Only comments can follow the last event. They may be dropped, which
        // bounds the buffer.
        if self.tail.is_empty() {
            self.tail = data;
        } else if self.tail.len() + data.len() <= MAX_EVENT_BYTES {
            self.tail = [&self.tail[..], &data[..]].concat().into();
        }
        Bytes::new()
    }

    /// Returns the bytes that were held back.
    pub fn into_tail(self) -> Bytes {
        self.tail
    }
}

/// Bytes before a line feed that are needed to tell whether it ends an event.
const EVENT_END_OVERLAP: usize = 3;

/// Tells whether a line feed after `event` ends the event, as it follows an
/// empty line.
fn ends_event(event: &[u8]) -> bool {
    let event = event.strip_suffix(b"\r").unwrap_or(event);
    event.is_empty() || event.ends_with(b"\n")
}

/// Tells whether a line of a server-sent event is empty, a comment, or a field
/// with a name and a colon.
fn is_field_or_comment(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|b| *b == b':') else {
        return line.is_empty();
    };
    let is_name_byte = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    line[..colon].iter().all(is_name_byte)
}

/// Returns the value of a server-sent event's line if its field is `name`.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
