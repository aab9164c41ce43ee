//! Records of claimed tickets, and the decisions on claims.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Nonce;
use super::OperationDigest;
use super::VerifiedTicket;

/// Maximum number of nonces of claims settled as not run that a ticket's record
/// holds.
const MAX_RELEASED_NONCES: usize = 16;

/// A recorded answer, replayed to callers that repeat the request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl RecordedAnswer {
    /// Returns the size of headers and body in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// Outcome of an operation whose claim was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The operation did not run: no byte of it was sent to a target.
    NotRun,
    /// The operation ran and was answered.
    Answered(RecordedAnswer),
}

/// Reply to a claim of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claimer may run the operation, as no earlier attempt ran.
    Granted,
    /// The operation ran before; this is its recorded answer.
    Recorded(RecordedAnswer),
    /// An earlier attempt may have run or may still be running. Also the reply
    /// to a repeated claim that was already settled as not run.
    Used,
    /// The ticket was claimed for another operation.
    Mismatch,
    /// The ticket has expired or its signature is invalid.
    Invalid,
    /// The ticket was never claimed, and the time for its first claim is over.
    Late,
    /// The table of used tickets is full. The ticket was not claimed.
    Full,
    /// This instance is not the decider for the ticket's origin.
    Elsewhere,
}

/// Proof of a granted claim, needed to run the operation.
#[derive(Debug)]
pub struct ClaimGrant(());

impl ClaimReply {
    /// Converts a granted reply into the proof of the grant.
    ///
    /// # Errors
    ///
    /// Returns any other reply unchanged.
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
    /// The claim with this nonce was granted and is not settled.
    Granted(Nonce),
    /// The operation ran, with this answer.
    Answered(RecordedAnswer),
    /// The last granted claim was settled as not run.
    Free,
}

/// Record of a claimed ticket.
///
/// # Invariants
///
/// `released` holds the nonces of claims settled as not run. They are never
/// granted again, so that a delayed copy of such a claim does not block the
/// ticket for callers. If a nonce was pushed out of the list, a copy of its
/// claim may be granted although its claimer no longer runs the operation. The
/// operation then never runs, which is safe.
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

/// Record of a claimed ticket, as it is handed over to another decider.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandoverRecord {
    serial: u64,
    expires: Duration,
    record: TicketRecord,
}

impl HandoverRecord {
    /// Returns the size of the recorded answer in bytes.
    pub fn size_bytes(&self) -> usize {
        self.record.size_bytes()
    }
}

/// Capacity limits of a table of used tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketBounds {
    /// Maximum number of records.
    pub max_records: usize,
    /// Maximum size of one recorded answer with its headers, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum total size of the recorded answers, in bytes.
    pub max_total_bytes: usize,
}

/// The claimed tickets of one origin.
///
/// # Invariants
///
/// A ticket's record is kept until the ticket expires. An unexpired ticket
/// without a record was therefore never granted. `by_expiry` has one entry per
/// record. `bytes` is the total size of the recorded answers and does not
/// exceed the limit.
#[derive(Clone, Debug)]
pub struct UsedTickets {
    records: HashMap<u64, TicketRecord>,
    by_expiry: BTreeSet<(Duration, u64)>,
    bytes: usize,
    bounds: TicketBounds,
}

impl UsedTickets {
    /// Creates an empty table.
    pub fn new(bounds: TicketBounds) -> Self {
        Self {
            records: HashMap::new(),
            by_expiry: BTreeSet::new(),
            bytes: 0,
            bounds,
        }
    }

    /// Creates a table from the records of another decider.
    pub fn from_records(records: Vec<HandoverRecord>, bounds: TicketBounds) -> Self {
        let mut used = Self::new(bounds);
        for handed in records {
            used.bytes += handed.size_bytes();
            used.by_expiry.insert((handed.expires, handed.serial));
            used.records.insert(handed.serial, handed.record);
        }
        used
    }

    /// Returns all records, ordered by expiry.
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

    /// Decides on a claim at time `now` of the issuer's clock. Repeating a
    /// claim with the same nonce gives the same reply.
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

    /// Records the outcome of a granted claim. Has no effect if the claim of
    /// this nonce is not the granted one.
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

    /// Returns the total size of the recorded answers in bytes.
    pub fn size_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
