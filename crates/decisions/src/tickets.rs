//! Operation tickets, which ensure that a non-repeatable request runs at most
//! once.
//!
//! An [`Issuer`] signs tickets, and claims of a ticket are decided in one
//! place, at first by the issuer itself. [`UsedTickets`] keeps a record of a
//! ticket from its first claim until the ticket expires. A claim is answered by
//! a [`ClaimReply`], and only [`ClaimReply::Granted`] allows the claimer to run
//! the operation. Afterwards the claimer settles the claim: it reports the
//! [`ClaimOutcome`]. At any time at most one granted claim is open or answered;
//! all others were settled as [`ClaimOutcome::NotRun`].

mod used;

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

pub use used::ClaimGrant;
pub use used::ClaimOutcome;
pub use used::ClaimReply;
pub use used::HandoverRecord;
pub use used::RecordedAnswer;
pub use used::TicketBounds;
pub use used::UsedTickets;

/// Length of a signing key in bytes.
pub const SIGNING_KEY_BYTES: usize = 32;

/// Length of a signature in bytes.
const SIGNATURE_BYTES: usize = 32;

/// A ticket whose signature has not been verified.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    issuer: Instance,
    incarnation: u64,
    serial: u64,
    /// See [`Validity::use_by`].
    use_by_ms: u64,
    /// See [`Validity::expires`].
    expires_ms: u64,
    /// Signature: a message authentication code made with the issuer's key.
    tag: [u8; SIGNATURE_BYTES],
}

impl Ticket {
    /// Returns the instance that signed the ticket, as the ticket states it.
    pub fn issuer(&self) -> &Instance {
        &self.issuer
    }

    /// Returns the issuing instance with its incarnation.
    pub fn origin(&self) -> Origin {
        Origin {
            issuer: self.issuer.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// One incarnation of an instance, in its role as an issuer of tickets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Origin {
    /// The issuing instance.
    pub issuer: Instance,
    /// Incarnation of the instance, unique among its processes.
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

/// Error for a text that is not an operation ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("not an operation ticket")]
pub struct ParseTicketError;

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(s: &str) -> Result<Self, ParseTicketError> {
        let number = |s: &str| u64::from_str_radix(s, 16).map_err(|_| ParseTicketError);
        let parts: Vec<&str> = s.split('.').collect();
        let [issuer, incarnation, serial, use_by, expires, tag] = parts[..] else {
            return Err(ParseTicketError);
        };
        Ok(Self {
            issuer: issuer.into(),
            incarnation: number(incarnation)?,
            serial: number(serial)?,
            use_by_ms: number(use_by)?,
            expires_ms: number(expires)?,
            tag: decode_hex(tag).ok_or(ParseTicketError)?,
        })
    }
}

fn decode_hex(s: &str) -> Option<[u8; SIGNATURE_BYTES]> {
    if s.len() != 2 * SIGNATURE_BYTES || !s.is_ascii() {
        return None;
    }
    let mut bytes = [0; SIGNATURE_BYTES];
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(bytes)
}

/// Identifies one claim of a ticket, so that a repeated claim gets the same
/// reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Nonce(pub u128);

/// SHA-256 digest of the operation that a ticket is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct OperationDigest([u8; 32]);

impl OperationDigest {
    /// Computes the digest of an account's request on a route.
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

/// Signs and verifies the tickets of one incarnation of an instance. It is
/// sent, with the signing key, to an instance that takes over the decisions on
/// these tickets.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Issuer {
    instance: Instance,
    incarnation: u64,
    key: [u8; SIGNING_KEY_BYTES],
}

impl fmt::Debug for Issuer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Issuer")
            .field("instance", &self.instance)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

/// A ticket whose signature and expiry were verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerifiedTicket {
    serial: u64,
    use_by: Duration,
    expires: Duration,
}

/// Validity of a ticket, as times on its issuer's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// Time from which the ticket can no longer be claimed for the first time.
    pub use_by: Duration,
    /// Time at which the ticket expires and its record is dropped.
    pub expires: Duration,
}

impl Issuer {
    /// Creates an issuer. No other incarnation may have the same key.
    pub fn new(instance: Instance, incarnation: u64, key: [u8; SIGNING_KEY_BYTES]) -> Self {
        Self {
            instance,
            incarnation,
            key,
        }
    }

    /// Issues a signed ticket. `serial` must be unique within the incarnation.
    pub fn issue(&self, serial: u64, validity: Validity) -> Ticket {
        let use_by_ms = validity.use_by.as_millis() as u64;
        let expires_ms = validity.expires.as_millis() as u64;
        Ticket {
            issuer: self.instance.clone(),
            incarnation: self.incarnation,
            serial,
            use_by_ms,
            expires_ms,
            tag: self.sign(serial, use_by_ms, expires_ms),
        }
    }

    /// Returns the instance and incarnation that sign.
    pub fn origin(&self) -> Origin {
        Origin {
            issuer: self.instance.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Verifies that this incarnation signed the ticket and that it has not
    /// expired. Returns `None` if not.
    pub fn verify(&self, ticket: &Ticket, now: Duration) -> Option<VerifiedTicket> {
        let expected = self.sign(ticket.serial, ticket.use_by_ms, ticket.expires_ms);
        let expires = Duration::from_millis(ticket.expires_ms);
        let is_signed = bool::from(expected.ct_eq(&ticket.tag));
        let is_own = ticket.issuer == self.instance && ticket.incarnation == self.incarnation;
        (is_signed && is_own && now < expires).then_some(VerifiedTicket {
            serial: ticket.serial,
            use_by: Duration::from_millis(ticket.use_by_ms),
            expires,
        })
    }

    /// Computes the message authentication code of a ticket: a SHA-256 hash of
    /// the key and the fields, hashed again with the key.
    fn sign(&self, serial: u64, use_by_ms: u64, expires_ms: u64) -> [u8; SIGNATURE_BYTES] {
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
