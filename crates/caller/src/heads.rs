//! Where the heads of HTTP/1.1 requests begin and end in what a caller sends.
//!
//! The server's HTTP library reads a length and chunks together as chunks,
//! and closes a connection silently whose headers are too slow. Both show only
//! in the bytes themselves.

/// Bytes of a line that are kept; the names and values needed are shorter.
const KEPT: usize = 64;

/// The part of a request that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// The request line, or the empty lines that may come before it.
    Start,
    /// The lines of the headers.
    Headers,
    /// So many bytes of a body.
    Body(u64),
    /// The line with the size of a chunk.
    Size,
    /// So many bytes of a chunk, then the end of its line.
    Chunk(u64),
    /// The lines after the last chunk.
    Trailers,
    /// What is not told apart: another version of HTTP, or a faulty request.
    Other,
}

/// Follows the requests of a connection.
///
/// # Invariants
///
/// `line` has at most [`KEPT`] bytes.
#[derive(Debug)]
pub(crate) struct Heads {
    part: Part,
    line: Vec<u8>,
    length: Option<u64>,
    chunked: bool,
    count: u64,
    conflict: Option<u64>,
}

impl Heads {
    /// Starts before the first request.
    pub(crate) fn new() -> Self {
        Self {
            part: Part::Start,
            line: Vec::with_capacity(KEPT),
            length: None,
            chunked: false,
            count: 0,
            conflict: None,
        }
    }

    /// Tells whether a head has begun and not ended.
    pub(crate) fn is_open(&self) -> bool {
        match self.part {
            // The beginning may be that of HTTP/2.
            Part::Start => !b"PRI*HTTP/2".starts_with(&self.line),
            part => part == Part::Headers,
        }
    }

    /// Returns the number of the request, from 1, that states both a length
    /// and chunks; no later request is looked at.
    pub(crate) fn conflict(&self) -> Option<u64> {
        self.conflict
    }

    /// Takes what the caller sent next.
    pub(crate) fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let taken = match self.part {
                Part::Other => return,
                Part::Body(left) => self.skip(left, data.len(), Part::Start, Part::Body),
                Part::Chunk(left) => self.skip(left, data.len(), Part::Size, Part::Chunk),
                _ => self.take_line(data),
            };
            data = &data[taken..];
        }
    }

    /// Passes over a body of `left` bytes.
    fn skip(&mut self, left: u64, there: usize, then: Part, rest: fn(u64) -> Part) -> usize {
        let taken = left.min(there as u64);
        self.part = match left - taken {
            0 => then,
            left => rest(left),
        };
        taken as usize
    }

    /// Takes bytes up to the end of a line; returns how many.
    fn take_line(&mut self, data: &[u8]) -> usize {
        let end = data.iter().position(|b| *b == b'\n');
        let piece = &data[..end.unwrap_or(data.len())];
        let room = KEPT - self.line.len();
        // Blanks have no meaning in what is looked for.
        let kept = piece.iter().filter(|b| !b.is_ascii_whitespace());
        self.line.extend(kept.take(room));
        let Some(end) = end else {
            return data.len();
        };
        let mut line = std::mem::take(&mut self.line);
        self.part = self.after(&line);
        line.clear();
        self.line = line;
        end + 1
    }

    /// Returns the part that comes after a line.
    fn after(&mut self, line: &[u8]) -> Part {
        match self.part {
            Part::Start if line.is_empty() => Part::Start,
            Part::Start if line.starts_with(b"PRI*HTTP/2") => Part::Other,
            Part::Headers if line.is_empty() => self.end_head(),
            Part::Headers => self.header(line),
            Part::Size => size(line),
            Part::Trailers if line.is_empty() => Part::Start,
            Part::Trailers => Part::Trailers,
            _ => Part::Headers,
        }
    }

    fn header(&mut self, line: &[u8]) -> Part {
        let colon = line.iter().position(|b| *b == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = value.get(1..).and_then(|v| std::str::from_utf8(v).ok());
            self.length = value.and_then(|v| v.parse().ok());
            if self.length.is_none() {
                return Part::Other;
            }
        }
        Part::Headers
    }

    fn end_head(&mut self) -> Part {
        self.count += 1;
        let chunked = std::mem::take(&mut self.chunked);
        match (chunked, self.length.take()) {
            (true, Some(_)) => {
                self.conflict = Some(self.count);
                Part::Other
            }
            (true, None) => Part::Size,
            (false, None | Some(0)) => Part::Start,
            (false, Some(length)) => Part::Body(length),
        }
    }
}

/// Returns the part that comes after the line with the size of a chunk.
fn size(line: &[u8]) -> Part {
    let end = line.iter().position(|b| !b.is_ascii_hexdigit());
    let digits = std::str::from_utf8(&line[..end.unwrap_or(line.len())]).ok();
    match digits.and_then(|d| u64::from_str_radix(d, 16).ok()) {
        Some(0) => Part::Trailers,
        // The line of a chunk ends with two bytes.
        Some(size) => size.checked_add(2).map_or(Part::Other, Part::Chunk),
        None => Part::Other,
    }
}
