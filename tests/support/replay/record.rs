//! Request traces as files: one line a request, separated by commas.

use std::fmt::Write;
use std::path::PathBuf;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::trace::Ask;
use super::trace::Kind;
use super::trace::Trace;
use super::trace::User;

/// Seed of the recorded traces.
pub const RECORDED_SEED: u64 = 1;

/// The columns of a file; times are since the request before.
const COLUMNS: &str = "after_ms,region,account,long,document,own_tokens,answer_tokens";

/// Tokens in one block of a prompt.
const BLOCK: u64 = 64;

/// Tokens of the shared beginning of a question.
const QUESTION: u64 = 256;

/// Tokens of the shortest document, and by how much each next one is longer.
const DOCUMENT: (u64, u64) = (3000, 900);

/// What is recorded of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Milliseconds since the trace began.
    pub at_ms: u64,
    /// The region where it comes.
    pub region: usize,
    /// Its client account.
    pub account: usize,
    /// Whether it is a long draft and not a short question.
    pub long: bool,
    /// The account's document that it begins with.
    pub document: u64,
    /// Tokens of its prompt after that.
    pub own: u64,
    /// Tokens of its answer.
    pub answer: u64,
}

impl Record {
    /// Returns the request, which is the `index`th of its trace.
    pub(super) fn ask(&self, seed: u64, index: u64) -> Ask {
        let shared = match self.long {
            true => DOCUMENT.0 + self.document * DOCUMENT.1,
            false => QUESTION,
        };
        let prompt = shared + self.own;
        let name = format!("{} {} {}", self.account, self.long, self.document);
        let family = xxh3_64_with_seed(name.as_bytes(), seed);
        let nonce = xxh3_64_with_seed(&index.to_le_bytes(), seed);
        let chain = (0..prompt / BLOCK)
            .scan(family, |hash, i| {
                let mix = if i < shared / BLOCK { 0 } else { nonce };
                *hash = xxh3_64_with_seed(&hash.to_le_bytes(), mix);
                Some(*hash)
            })
            .collect();
        Ask {
            at: Duration::from_millis(self.at_ms),
            region: self.region,
            account: self.account,
            prompt,
            answer: self.answer,
            chain,
        }
    }

    fn parse(line: &str, before_ms: u64) -> Option<Self> {
        let mut numbers = line.split(',').map(|n| n.parse::<u64>().ok());
        let mut next = || numbers.next().flatten();
        let record = Self {
            at_ms: before_ms + next()?,
            region: next()? as usize,
            account: next()? as usize,
            long: next()? == 1,
            document: next()?,
            own: next()?,
            answer: next()?,
        };
        numbers.next().is_none().then_some(record)
    }
}

/// Returns the file of a recorded trace.
pub fn path(user: User, kind: Kind) -> PathBuf {
    let name = format!("{user:?}-{kind:?}.csv").to_lowercase();
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    dir.join("benches/replay/traces").join(name)
}

impl Trace {
    /// Reads a recorded trace.
    ///
    /// # Panics
    ///
    /// Panics if the file can't be read or is no trace.
    pub fn recorded(user: User, kind: Kind) -> Self {
        let path = path(user, kind);
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => panic!("{}: {e}", path.display()),
        };
        let mut lines = text.lines();
        assert_eq!(lines.next(), Some(COLUMNS), "{}", path.display());
        let mut at_ms = 0;
        let records = lines.map(|line| {
            let record = Record::parse(line, at_ms);
            let record = record.unwrap_or_else(|| panic!("{}: {line}", path.display()));
            at_ms = record.at_ms;
            record
        });
        Self::new(user, kind, RECORDED_SEED, records.collect())
    }

    /// Returns the text of the trace's file.
    pub fn text(&self) -> String {
        let mut text = format!("{COLUMNS}\n");
        let mut at_ms = 0;
        for r in &self.records {
            let (after, long) = (r.at_ms - at_ms, u8::from(r.long));
            at_ms = r.at_ms;
            writeln!(
                text,
                "{after},{},{},{long},{},{},{}",
                r.region, r.account, r.document, r.own, r.answer
            )
            .expect("a text takes all that is written");
        }
        text
    }
}
