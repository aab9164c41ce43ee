//! Whether an answer is whole, told from its bytes as they arrive.

use bytes::Bytes;
use serde::Deserialize;
use thiserror::Error as ThisError;

/// Longest event of a stream, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// Most bytes of a plain answer that are kept to read its usage.
const MAX_USAGE: usize = 256 * 1024;

/// Bytes of an answer that count as one token where the engine counts none.
const BYTES_PER_TOKEN: u64 = 4;

/// Data of the last event of a stream.
const DONE: &[u8] = b"[DONE]";

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
pub enum Fault {
    /// The stream ended within an event.
    #[error("the stream ends within an event")]
    CutEvent,
    /// The stream ended before its last event.
    #[error("the stream ends without [DONE]")]
    NoDone,
    /// Something follows the last event.
    #[error("an event follows [DONE]")]
    AfterDone,
    /// An event is longer than any that is taken.
    #[error("an event is too long")]
    LongEvent,
    /// An event's id does not follow the one before.
    #[error("an event is missing or doubled")]
    Sequence,
    /// The answer has no stated end.
    #[error("the answer states no length")]
    NoLength,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Counted {
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
/// [`Checker::push`] gives out always ends between two events.
#[derive(Debug)]
pub struct Checker {
    framing: Framing,
    pending: Vec<u8>,
    scanned: usize,
    events: u64,
    bytes: u64,
    last_id: Option<u64>,
    done: bool,
    usage: Option<Usage>,
}

impl Checker {
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
    pub fn after(framing: Framing, last_id: Option<u64>) -> Self {
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
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, Fault> {
        self.bytes += data.len() as u64;
        if !self.framing.is_events() {
            let room = MAX_USAGE.saturating_sub(self.pending.len());
            self.pending
                .extend_from_slice(&data[..data.len().min(room)]);
            return Ok(data);
        }
        self.pending.extend_from_slice(&data);
        let mut whole = 0;
        while let Some(end) = self.event_end(whole) {
            self.take_event(whole, end)?;
            whole = end;
        }
        if self.pending.len() - whole > MAX_EVENT {
            return Err(Fault::LongEvent);
        }
        let rest = self.pending.split_off(whole);
        self.scanned = rest.len().saturating_sub(EVENT_END_OVERLAP);
        Ok(std::mem::replace(&mut self.pending, rest).into())
    }

    /// Finds the end of the event that starts at `start`.
    fn event_end(&mut self, start: usize) -> Option<usize> {
        let from = self.scanned.max(start);
        let buf = &self.pending;
        let end = (from..buf.len())
            .filter(|&i| buf[i] == b'\n')
            .find(|&i| ends_event(&buf[start..i]))
            .map(|i| i + 1);
        self.scanned = end.unwrap_or(buf.len().saturating_sub(EVENT_END_OVERLAP));
        end
    }

    fn take_event(&mut self, start: usize, end: usize) -> Result<(), Fault> {
        let event = &self.pending[start..end];
        let mut data = Vec::new();
        let mut id = None;
        for line in event.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field(line, b"data") {
                data.extend_from_slice(value);
            } else if let Some(value) = field(line, b"id") {
                id = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
            }
        }
        if data.is_empty() {
            return Ok(());
        }
        if self.done {
            return Err(Fault::AfterDone);
        }
        if data == DONE {
            self.done = true;
            return Ok(());
        }
        self.take_id(id)?;
        self.events += 1;
        self.read_usage(&data);
        Ok(())
    }

    fn take_id(&mut self, id: Option<u64>) -> Result<(), Fault> {
        let Some(id) = id else {
            return Ok(());
        };
        if self.last_id.is_some_and(|last| id != last + 1) {
            return Err(Fault::Sequence);
        }
        self.last_id = Some(id);
        Ok(())
    }

    fn read_usage(&mut self, data: &[u8]) {
        if let Ok(Counted { usage: Some(usage) }) = serde_json::from_slice(data) {
            self.usage = Some(usage);
        }
    }

    /// Checks the end of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer is not whole.
    pub fn end(&mut self) -> Result<(), Fault> {
        match self.framing {
            Framing::Delimited => Ok(()),
            Framing::Open => Err(Fault::NoLength),
            Framing::NumberedEvents if !self.pending.is_empty() => Err(Fault::CutEvent),
            Framing::NumberedEvents => Ok(()),
            Framing::Events if !self.pending.is_empty() => Err(Fault::CutEvent),
            Framing::Events if !self.done => Err(Fault::NoDone),
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
    pub fn resume(&mut self) {
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
/// What [`Hold::pass`] gave out is never the whole answer: of a stream its
/// last event is held, of any other answer its last piece.
#[derive(Debug)]
pub struct Hold {
    framing: Framing,
    held: Bytes,
}

impl Hold {
    /// Starts with the first byte of an answer.
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            held: Bytes::new(),
        }
    }

    /// Takes a checked piece and returns what may go out before the end.
    ///
    /// `done` tells whether the last event of a stream has come.
    pub fn pass(&mut self, data: Bytes, done: bool) -> Bytes {
        if data.is_empty() || (self.framing == Framing::Events && !done) {
            return data;
        }
        if self.framing != Framing::Events {
            return std::mem::replace(&mut self.held, data);
        }
        // Only comments can follow the last event, so they may be dropped.
        if self.held.is_empty() {
            self.held = data;
        } else if self.held.len() + data.len() <= MAX_EVENT {
            self.held = [&self.held[..], &data[..]].concat().into();
        }
        Bytes::new()
    }

    /// Returns what was held.
    pub fn end(self) -> Bytes {
        self.held
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
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
