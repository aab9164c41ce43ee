//! The issuer's record of used tickets, and what it replies to claims.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Nonce;
use super::OperationDigest;
use super::VerifiedTicket;

/// Claims settled as not run that a ticket's record remembers.
const MAX_RELEASED_NONCES: usize = 16;

/// An answer kept for callers that ask again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl RecordedAnswer {
    /// Counts the bytes of headers and body.
    pub fn size_bytes(&self) -> usize {
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
pub enum ClaimOutcome {
    /// No target has seen any byte of it.
    NotRun,
    /// It ran and was answered.
    Answered(RecordedAnswer),
}

/// The issuer's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claimer may run the operation; no earlier attempt ran.
    Granted,
    /// The operation ran and was answered before.
    Recorded(RecordedAnswer),
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
pub struct ClaimGrant(());

impl ClaimReply {
    /// Returns the leave that a grant gives.
    ///
    /// # Errors
    ///
    /// Gives back any other reply.
    pub fn into_grant(self) -> Result<ClaimGrant, Self> {
        match self {
            Self::Granted => Ok(ClaimGrant(())),
            other => Err(other),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum ClaimState {
    Granted(Nonce),
    Answered(RecordedAnswer),
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
struct TicketRecord {
    operation: OperationDigest,
    state: ClaimState,
    released: VecDeque<Nonce>,
}

impl TicketRecord {
    fn size_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Answered(answer) => answer.size_bytes(),
            ClaimState::Granted(_) | ClaimState::Free => 0,
        }
    }
}

/// A record as it is handed over to another decider.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandoverRecord {
    serial: u64,
    expires: Duration,
    record: TicketRecord,
}

impl HandoverRecord {
    /// Returns the bytes of its answer.
    pub fn size_bytes(&self) -> usize {
        self.record.size_bytes()
    }
}

/// Bounds of a table of used tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketBounds {
    /// Most records.
    pub max_records: usize,
    /// Most bytes of one recorded answer, headers included.
    pub max_answer_bytes: usize,
    /// Most bytes of all recorded answers.
    pub max_total_bytes: usize,
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
pub struct UsedTickets {
    records: HashMap<u64, TicketRecord>,
    by_expiry: BTreeSet<(Duration, u64)>,
    bytes: usize,
    bounds: TicketBounds,
}

impl UsedTickets {
    /// Makes an empty table.
    pub fn new(bounds: TicketBounds) -> Self {
        Self {
            records: HashMap::new(),
            by_expiry: BTreeSet::new(),
            bytes: 0,
            bounds,
        }
    }

    /// Makes a table of all records of another one.
    pub fn from_records(records: Vec<HandoverRecord>, bounds: TicketBounds) -> Self {
        let mut used = Self::new(bounds);
        for handed in records {
            used.bytes += handed.size_bytes();
            used.by_expiry.insert((handed.expires, handed.serial));
            used.records.insert(handed.serial, handed.record);
        }
        used
    }

    /// Returns all records, the first to expire first.
    pub fn into_records(mut self) -> Vec<HandoverRecord> {
        let by_expiry = std::mem::take(&mut self.by_expiry);
        let handed = by_expiry.into_iter().filter_map(|(expires, serial)| {
            self.records.remove(&serial).map(|record| HandoverRecord {
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
        ticket: VerifiedTicket,
        nonce: Nonce,
        operation: OperationDigest,
        now: Duration,
    ) -> ClaimReply {
        self.expire(now);
        if now >= ticket.expires {
            return ClaimReply::Invalid;
        }
        let is_full = self.records.len() >= self.bounds.max_records;
        let Some(record) = self.records.get_mut(&ticket.serial) else {
            if now >= ticket.use_by {
                return ClaimReply::Late;
            }
            if is_full {
                return ClaimReply::Full;
            }
            self.insert(ticket, nonce, operation);
            return ClaimReply::Granted;
        };
        if record.operation != operation {
            return ClaimReply::Mismatch;
        }
        match &record.state {
            ClaimState::Granted(holder) if *holder == nonce => ClaimReply::Granted,
            ClaimState::Granted(_) => ClaimReply::Used,
            ClaimState::Answered(answer) => ClaimReply::Recorded(answer.clone()),
            ClaimState::Free if record.released.contains(&nonce) => ClaimReply::Used,
            ClaimState::Free => {
                record.state = ClaimState::Granted(nonce);
                ClaimReply::Granted
            }
        }
    }

    fn insert(&mut self, ticket: VerifiedTicket, nonce: Nonce, operation: OperationDigest) {
        let record = TicketRecord {
            operation,
            state: ClaimState::Granted(nonce),
            released: VecDeque::new(),
        };
        self.records.insert(ticket.serial, record);
        self.by_expiry.insert((ticket.expires, ticket.serial));
    }

    /// Records what became of a granted claim; of any other claim, nothing.
    pub fn settle(&mut self, ticket: VerifiedTicket, nonce: Nonce, outcome: ClaimOutcome) {
        let Some(record) = self.records.get_mut(&ticket.serial) else {
            return;
        };
        if !matches!(record.state, ClaimState::Granted(holder) if holder == nonce) {
            return;
        }
        match outcome {
            ClaimOutcome::NotRun => {
                record.released.truncate(MAX_RELEASED_NONCES - 1);
                record.released.push_front(nonce);
                record.state = ClaimState::Free;
            }
            ClaimOutcome::Answered(answer) => {
                let bytes = answer.size_bytes();
                let total = self.bytes + bytes;
                if bytes <= self.bounds.max_answer_bytes && total <= self.bounds.max_total_bytes {
                    self.bytes = total;
                    record.state = ClaimState::Answered(answer);
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
                self.bytes -= record.size_bytes();
            }
        }
    }

    /// Returns the bytes of the recorded answers.
    pub fn size_bytes(&self) -> usize {
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
