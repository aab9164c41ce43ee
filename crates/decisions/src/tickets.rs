//! Operation tickets: who may run a request that must not run twice.
//!
//! An [`Issuer`] signs tickets and alone decides on them. It keeps a record
//! in [`Used`] from the first claim of a ticket until the ticket expires. A
//! claim is answered by [`Reply`]; only [`Reply::Granted`] lets the claimer
//! run the operation, and at most one claim has a grant that was not settled
//! as not run.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::config::hex;
use crate::names::Account;
use crate::names::Instance;
use crate::names::Route;

/// Bytes of a signing key.
pub const KEY_BYTES: usize = 32;

/// Bytes of a signature.
const TAG_BYTES: usize = 32;

/// Claims settled as not run that a ticket's record remembers.
const RELEASES: usize = 16;

/// A ticket, whose signature is not yet checked.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    issuer: Instance,
    incarnation: u64,
    serial: u64,
    use_by_ms: u64,
    expires_ms: u64,
    tag: [u8; TAG_BYTES],
}

impl Ticket {
    /// Returns the instance that signed the ticket.
    pub fn issuer(&self) -> &Instance {
        &self.issuer
    }

    /// Returns the incarnation that signed the ticket.
    pub fn origin(&self) -> Origin {
        Origin {
            issuer: self.issuer.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// One incarnation of an instance, as the issuer of tickets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Origin {
    /// The instance.
    pub issuer: Instance,
    /// A number that no other process has.
    pub incarnation: u64,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.issuer, self.incarnation)
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (issuer, tag) = (&self.issuer, hex(&self.tag));
        let (incarnation, serial) = (self.incarnation, self.serial);
        let (use_by, expires) = (self.use_by_ms, self.expires_ms);
        write!(
            f,
            "{issuer}.{incarnation:x}.{serial:x}.{use_by:x}.{expires:x}.{tag}"
        )
    }
}

/// A text that is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("not an operation ticket")]
pub struct NotATicket;

impl FromStr for Ticket {
    type Err = NotATicket;

    fn from_str(s: &str) -> Result<Self, NotATicket> {
        let number = |s: &str| u64::from_str_radix(s, 16).map_err(|_| NotATicket);
        let parts: Vec<&str> = s.split('.').collect();
        let [issuer, incarnation, serial, use_by, expires, tag] = parts[..] else {
            return Err(NotATicket);
        };
        Ok(Self {
            issuer: issuer.into(),
            incarnation: number(incarnation)?,
            serial: number(serial)?,
            use_by_ms: number(use_by)?,
            expires_ms: number(expires)?,
            tag: unhex(tag).ok_or(NotATicket)?,
        })
    }
}

fn unhex(s: &str) -> Option<[u8; TAG_BYTES]> {
    if s.len() != 2 * TAG_BYTES || !s.is_ascii() {
        return None;
    }
    let mut bytes = [0; TAG_BYTES];
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(bytes)
}

/// Names one claim of a ticket, so that its reply can be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Nonce(pub u128);

/// A digest of what a ticket is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Operation([u8; 32]);

impl Operation {
    /// Digests an account's request on a route.
    pub fn new(account: Option<&Account>, route: &Route, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [
            account.map_or("", Account::as_str).as_bytes(),
            route.as_str().as_bytes(),
            path.as_bytes(),
            body,
        ] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

/// Signs and checks the tickets of one incarnation of an instance.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Issuer {
    instance: Instance,
    incarnation: u64,
    key: [u8; KEY_BYTES],
}

impl fmt::Debug for Issuer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Issuer")
            .field("instance", &self.instance)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

/// A ticket whose signature and expiry were checked by its issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checked {
    serial: u64,
    use_by: Duration,
    expires: Duration,
}

/// Until when a ticket counts, on its issuer's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// Until when it can be claimed for the first time.
    pub use_by: Duration,
    /// Until when its record is kept.
    pub expires: Duration,
}

impl Issuer {
    /// Makes an issuer with a key that no other incarnation has.
    pub fn new(instance: Instance, incarnation: u64, key: [u8; KEY_BYTES]) -> Self {
        Self {
            instance,
            incarnation,
            key,
        }
    }

    /// Signs a ticket.
    pub fn issue(&self, serial: u64, validity: Validity) -> Ticket {
        let use_by_ms = validity.use_by.as_millis() as u64;
        let expires_ms = validity.expires.as_millis() as u64;
        Ticket {
            issuer: self.instance.clone(),
            incarnation: self.incarnation,
            serial,
            use_by_ms,
            expires_ms,
            tag: self.tag(serial, use_by_ms, expires_ms),
        }
    }

    /// Returns which incarnation signs.
    pub fn origin(&self) -> Origin {
        Origin {
            issuer: self.instance.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Checks that this incarnation signed the ticket and that it is in time.
    pub fn check(&self, ticket: &Ticket, now: Duration) -> Option<Checked> {
        let want = self.tag(ticket.serial, ticket.use_by_ms, ticket.expires_ms);
        let expires = Duration::from_millis(ticket.expires_ms);
        let signed = bool::from(want.ct_eq(&ticket.tag));
        let own = ticket.issuer == self.instance && ticket.incarnation == self.incarnation;
        (signed && own && now < expires).then_some(Checked {
            serial: ticket.serial,
            use_by: Duration::from_millis(ticket.use_by_ms),
            expires,
        })
    }

    fn tag(&self, serial: u64, use_by_ms: u64, expires_ms: u64) -> [u8; TAG_BYTES] {
        let mut inner = Sha256::new();
        inner.update(self.key);
        inner.update(self.incarnation.to_be_bytes());
        inner.update(serial.to_be_bytes());
        inner.update(use_by_ms.to_be_bytes());
        inner.update(expires_ms.to_be_bytes());
        let mut outer = Sha256::new();
        outer.update(self.key);
        outer.update(inner.finalize());
        outer.finalize().into()
    }
}

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
            State::Answered(answer) => answer.body.len(),
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
    /// Most bytes of one recorded answer.
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
                let bytes = answer.body.len();
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
