//! The issuer's record of used tickets, and what it replies to claims.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Checked;
use super::Nonce;
use super::Operation;

/// Claims settled as not run that a ticket's record remembers.
const RELEASES: usize = 16;

/// An answer kept for callers that ask again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Recorded {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Recorded {
    /// Counts the bytes of headers and body.
    pub fn bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// What became of an operation that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Settlement {
    /// No target has seen any byte of it.
    NotRun,
    /// It ran and was answered.
    Answered(Recorded),
}

/// The issuer's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// The claimer may run the operation; no earlier attempt ran.
    Granted,
    /// The operation ran and was answered before.
    Recorded(Recorded),
    /// The operation may have run, or may run now.
    Used,
    /// The ticket was used for another operation.
    Mismatch,
    /// The ticket has expired or is forged.
    Invalid,
    /// The ticket was never claimed, and it is too late for its first claim.
    Late,
    /// The table is full; the ticket was not used.
    Full,
    /// The ticket is not decided on here.
    Elsewhere,
}

/// Leave to run an operation, as no earlier attempt at it ran.
#[derive(Debug)]
pub struct Granted(());

impl Reply {
    /// Returns the leave that a grant gives.
    ///
    /// # Errors
    ///
    /// Gives back any other reply.
    pub fn granted(self) -> Result<Granted, Self> {
        match self {
            Self::Granted => Ok(Granted(())),
            other => Err(other),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum State {
    Granted(Nonce),
    Answered(Recorded),
    Free,
}

/// What is known of a claimed ticket.
///
/// # Invariants
///
/// A nonce in `released` gets no other grant, so that a delayed copy of a
/// settled claim does not take the ticket from callers. If it is forgotten,
/// such a copy leaves the ticket unused, which is safe.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Record {
    operation: Operation,
    state: State,
    released: VecDeque<Nonce>,
}

impl Record {
    fn bytes(&self) -> usize {
        match &self.state {
            State::Answered(answer) => answer.bytes(),
            State::Granted(_) | State::Free => 0,
        }
    }
}

/// A record as it is handed over to another decider.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handed {
    serial: u64,
    expires: Duration,
    record: Record,
}

impl Handed {
    /// Returns the bytes of its answer.
    pub fn bytes(&self) -> usize {
        self.record.bytes()
    }
}

/// Bounds of a table of used tickets.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most records.
    pub records: usize,
    /// Most bytes of one recorded answer, headers included.
    pub answer_bytes: usize,
    /// Most bytes of all recorded answers.
    pub total_bytes: usize,
}

/// The tickets of this incarnation that were claimed.
///
/// # Invariants
///
/// A ticket's record stays until the ticket has expired, so that an unexpired
/// ticket without a record was never granted. `by_expiry` has one entry for
/// each record. `bytes` counts the recorded answers and stays within the
/// bounds.
#[derive(Clone, Debug)]
pub struct Used {
    records: HashMap<u64, Record>,
    by_expiry: BTreeSet<(Duration, u64)>,
    bytes: usize,
    bounds: Bounds,
}

impl Used {
    /// Makes an empty table.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            records: HashMap::new(),
            by_expiry: BTreeSet::new(),
            bytes: 0,
            bounds,
        }
    }

    /// Makes a table of all records of another one.
    pub fn from_records(records: Vec<Handed>, bounds: Bounds) -> Self {
        let mut used = Self::new(bounds);
        for handed in records {
            used.bytes += handed.bytes();
            used.by_expiry.insert((handed.expires, handed.serial));
            used.records.insert(handed.serial, handed.record);
        }
        used
    }

    /// Returns all records, the first to expire first.
    pub fn into_records(mut self) -> Vec<Handed> {
        let by_expiry = std::mem::take(&mut self.by_expiry);
        let handed = by_expiry.into_iter().filter_map(|(expires, serial)| {
            self.records.remove(&serial).map(|record| Handed {
                serial,
                expires,
                record,
            })
        });
        handed.collect()
    }

    /// Decides on a claim. The same nonce gets the same reply.
    pub fn claim(
        &mut self,
        ticket: Checked,
        nonce: Nonce,
        operation: Operation,
        now: Duration,
    ) -> Reply {
        self.expire(now);
        if now >= ticket.expires {
            return Reply::Invalid;
        }
        let full = self.records.len() >= self.bounds.records;
        let Some(record) = self.records.get_mut(&ticket.serial) else {
            if now >= ticket.use_by {
                return Reply::Late;
            }
            if full {
                return Reply::Full;
            }
            self.insert(ticket, nonce, operation);
            return Reply::Granted;
        };
        if record.operation != operation {
            return Reply::Mismatch;
        }
        match &record.state {
            State::Granted(holder) if *holder == nonce => Reply::Granted,
            State::Granted(_) => Reply::Used,
            State::Answered(answer) => Reply::Recorded(answer.clone()),
            State::Free if record.released.contains(&nonce) => Reply::Used,
            State::Free => {
                record.state = State::Granted(nonce);
                Reply::Granted
            }
        }
    }

    fn insert(&mut self, ticket: Checked, nonce: Nonce, operation: Operation) {
        let record = Record {
            operation,
            state: State::Granted(nonce),
            released: VecDeque::new(),
        };
        self.records.insert(ticket.serial, record);
        self.by_expiry.insert((ticket.expires, ticket.serial));
    }

    /// Records what became of a granted claim; of any other claim, nothing.
    pub fn settle(&mut self, ticket: Checked, nonce: Nonce, settlement: Settlement) {
        let Some(record) = self.records.get_mut(&ticket.serial) else {
            return;
        };
        if !matches!(record.state, State::Granted(holder) if holder == nonce) {
            return;
        }
        match settlement {
            Settlement::NotRun => {
                record.released.truncate(RELEASES - 1);
                record.released.push_front(nonce);
                record.state = State::Free;
            }
            Settlement::Answered(answer) => {
                let bytes = answer.bytes();
                let total = self.bytes + bytes;
                if bytes <= self.bounds.answer_bytes && total <= self.bounds.total_bytes {
                    self.bytes = total;
                    record.state = State::Answered(answer);
                }
            }
        }
    }

    fn expire(&mut self, now: Duration) {
        while let Some(&(expires, serial)) = self.by_expiry.first() {
            if expires > now {
                return;
            }
            self.by_expiry.pop_first();
            if let Some(record) = self.records.remove(&serial) {
                self.bytes -= record.bytes();
            }
        }
    }

    /// Returns the bytes of the recorded answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
