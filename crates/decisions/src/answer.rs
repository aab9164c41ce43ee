//! Whether an answer is whole, told from its bytes as they arrive.

use bytes::Bytes;
use serde::Deserialize;
use thiserror::Error as ThisError;

/// Longest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Most bytes of a plain answer that are kept to read its usage.
const MAX_USAGE_BYTES: usize = 256 * 1024;

/// Bytes of an answer that count as one token where the engine counts none.
const BYTES_PER_TOKEN: u64 = 4;

/// Data of the last event of a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// How the end of an answer is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Server-sent events, the last of which is `[DONE]`.
    Events,
    /// Server-sent events with ids; the transport states the end.
    NumberedEvents,
    /// The transport states the length or the last chunk.
    Delimited,
    /// Only the end of the connection, which a cut looks like too.
    Open,
}

impl Framing {
    /// Tells whether the answer is a stream of events.
    pub fn is_events(self) -> bool {
        matches!(self, Self::Events | Self::NumberedEvents)
    }
}

/// Why an answer is not whole.
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
    /// An event is longer than any that is taken.
    #[error("an event is too long")]
    EventTooLong,
    /// An event's id does not follow the one before.
    #[error("an event is missing or doubled")]
    EventIdGap,
    /// The answer has no stated end.
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

/// Checks an answer piece by piece.
///
/// # Invariants
///
/// `pending` holds what came after the last whole event, so that what
/// [`AnswerChecker::push`] gives out always ends between two events.
#[derive(Debug)]
pub struct AnswerChecker {
    framing: Framing,
    pending: Vec<u8>,
    scanned: usize,
    events: u64,
    bytes: u64,
    last_id: Option<u64>,
    done: bool,
    usage: Option<Usage>,
}

impl AnswerChecker {
    /// Starts with the first byte of an answer.
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            pending: Vec::new(),
            scanned: 0,
            events: 0,
            bytes: 0,
            last_id: None,
            done: false,
            usage: None,
        }
    }

    /// Starts a stream of numbered events behind those that the caller has.
    pub fn resume_after(framing: Framing, last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::new(framing)
        }
    }

    /// Takes a piece and returns what may be passed on.
    ///
    /// # Errors
    ///
    /// Fails if the answer can't become whole any more.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, AnswerError> {
        self.bytes += data.len() as u64;
        if !self.framing.is_events() {
            let room = MAX_USAGE_BYTES.saturating_sub(self.pending.len());
            self.pending
                .extend_from_slice(&data[..data.len().min(room)]);
            return Ok(data);
        }
        self.pending.extend_from_slice(&data);
        let mut whole = 0;
        while let Some(end) = self.event_end(whole) {
            self.process_event(whole, end)?;
            whole = end;
        }
        if self.pending.len() - whole > MAX_EVENT_BYTES {
            return Err(AnswerError::EventTooLong);
        }
        let rest = self.pending.split_off(whole);
        self.scanned = rest.len().saturating_sub(EVENT_END_OVERLAP);
        Ok(std::mem::replace(&mut self.pending, rest).into())
    }

    /// Finds the end of the event that starts at `start`.
    fn event_end(&mut self, start: usize) -> Option<usize> {
        let from = self.scanned.max(start);
        let buf = &self.pending;
        let finish = (from..buf.len())
            .filter(|&i| buf[i] == b'\n')
            .find(|&i| ends_event(&buf[start..i]))
            .map(|i| i + 1);
        self.scanned = finish.unwrap_or(buf.len().saturating_sub(EVENT_END_OVERLAP));
        finish
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
        self.events += 1;
        self.read_usage(&data);
        Ok(())
    }

    fn check_id(&mut self, id: Option<u64>) -> Result<(), AnswerError> {
        let Some(id) = id else {
            return Ok(());
        };
        if self.last_id.is_some_and(|last| id != last + 1) {
            return Err(AnswerError::EventIdGap);
        }
        self.last_id = Some(id);
        Ok(())
    }

    fn read_usage(&mut self, data: &[u8]) {
        if let Ok(UsageField { usage: Some(usage) }) = serde_json::from_slice(data) {
            self.usage = Some(usage);
        }
    }

    /// Checks the end of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer is not whole.
    pub fn end(&mut self) -> Result<(), AnswerError> {
        match self.framing {
            Framing::Delimited => Ok(()),
            Framing::Open => Err(AnswerError::NoStatedEnd),
            Framing::NumberedEvents if !self.pending.is_empty() => Err(AnswerError::TruncatedEvent),
            Framing::NumberedEvents => Ok(()),
            Framing::Events if !self.pending.is_empty() => Err(AnswerError::TruncatedEvent),
            Framing::Events if !self.done => Err(AnswerError::MissingDone),
            Framing::Events => Ok(()),
        }
    }

    /// Tells whether the last event of a stream has come.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops the part of an event that a cut left, before a resumed stream.
    pub fn discard_partial_event(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }

    /// Returns the tokens used, of prompt and answer together.
    pub fn tokens(&mut self, prompt_tokens: u64) -> u64 {
        if !self.framing.is_events() {
            let body = std::mem::take(&mut self.pending);
            self.read_usage(&body);
        }
        let counted = match (self.usage, self.framing) {
            (Some(usage), _) => usage,
            (None, Framing::Events | Framing::NumberedEvents) => Usage {
                completion_tokens: Some(self.events),
                total_tokens: None,
            },
            (None, _) => Usage {
                completion_tokens: None,
                total_tokens: None,
            },
        };
        let answer = counted
            .completion_tokens
            .unwrap_or(self.bytes / BYTES_PER_TOKEN);
        counted
            .total_tokens
            .unwrap_or_else(|| prompt_tokens.saturating_add(answer))
    }
}

/// Holds back the end of an answer.
///
/// # Invariants
///
/// What [`TailBuffer::push`] gave out is never the whole answer: of a stream its
/// last event is held, of any other answer its last piece.
#[derive(Debug)]
pub struct TailBuffer {
    framing: Framing,
    tail: Bytes,
}

impl TailBuffer {
    /// Starts with the first byte of an answer.
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            tail: Bytes::new(),
        }
    }

    /// Takes a checked piece and returns what may go out before the end.
    ///
    /// `done` tells whether the last event of a stream has come.
    pub fn push(&mut self, data: Bytes, done: bool) -> Bytes {
        if data.is_empty() || (self.framing == Framing::Events && !done) {
            return data;
        }
        if self.framing != Framing::Events {
            return std::mem::replace(&mut self.tail, data);
        }
        // Only comments can follow the last event, so they may be dropped.
        if self.tail.is_empty() {
            self.tail = data;
        } else if self.tail.len() + data.len() <= MAX_EVENT_BYTES {
            self.tail = [&self.tail[..], &data[..]].concat().into();
        }
        Bytes::new()
    }

    /// Returns what was held.
    pub fn end(self) -> Bytes {
        self.tail
    }
}

/// Bytes before a line feed that tell whether it ends an event.
const EVENT_END_OVERLAP: usize = 3;

/// Tells whether a line feed after `event` ends it: its last line is empty.
fn ends_event(event: &[u8]) -> bool {
    let event = event.strip_suffix(b"\r").unwrap_or(event);
    event.is_empty() || event.ends_with(b"\n")
}

/// Returns the value of a line's field.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
