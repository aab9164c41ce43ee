//! Which instance decides on claims of operation tickets (see
//! [`crate::tickets`]), and how it hands this role over to a successor when it
//! stops.
//!
//! An origin is one incarnation of an instance that issues tickets. The
//! instance that decides on claims of these tickets is the origin's decider.
//!
//! # Invariants
//!
//! At any time, at most one [`Decider<Deciding>`] of an origin exists in the
//! fleet. The issuer starts as the decider. [`Decider::seal`] ends this role
//! permanently. Only a sealed decider can be committed, and only to one
//! successor, as [`Decider::commit`] consumes it. The successor becomes the
//! decider once it has received the commit and all parts that precede it. A
//! sealed instance accepts neither parts nor commits.
//!
//! A connection ends when the receiving process ends, so a message never
//! reaches a later process of the same name. It may be lost, duplicated or
//! delayed. If a message is lost for good, the origin has no decider any more
//! and the outcome of its operations stays unknown.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::settlements::ClaimSettlement;
use crate::tickets::ClaimReply;
use crate::tickets::HandoverRecord;
use crate::tickets::Issuer;
use crate::tickets::Nonce;
use crate::tickets::OperationDigest;
use crate::tickets::Origin;
use crate::tickets::Ticket;
use crate::tickets::TicketBounds;
use crate::tickets::UsedTickets;

/// Maximum number of records in one part.
const MAX_PART_RECORDS: usize = 256;

/// A part receives no further records once its recorded answers reach this size
/// in bytes. The last record may exceed it.
const PART_BYTES_TARGET: usize = 1024 * 1024;

/// Maximum number of origins that one instance decides for, including its own.
const MAX_ORIGINS: usize = 64;

/// Time for which an instance remains the decider of an origin that it took
/// over. It exceeds the validity of any ticket.
const TAKEN_OVER_RETENTION: Duration = Duration::from_secs(3700);

/// Time without a further part after which the received parts of an origin are
/// dropped.
const INCOMPLETE_TIMEOUT: Duration = Duration::from_secs(60);

/// Some of the records of one origin, sent before the commit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandoverPart {
    /// The origin.
    pub origin: Origin,
    /// Identifies the handover, as an origin may be handed over several times.
    pub round: u64,
    /// Index of the part in the handover.
    pub number: u32,
    /// The records.
    pub records: Vec<HandoverRecord>,
}

/// Message that makes a successor the decider, provided that it has all parts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandoverCommit {
    issuer: Issuer,
    round: u64,
    parts: u32,
    /// Time on the origin's clock at the seal.
    clock: Duration,
}

/// State of a decider that decides on claims.
///
/// # Invariants
///
/// `origin_time` is the time on the origin's clock at the local time
/// `local_time`. As no instance decides between seal and commit, the origin's
/// clock never goes backwards.
#[derive(Clone, Debug)]
pub struct Deciding {
    issuer: Issuer,
    tickets: UsedTickets,
    origin_time: Duration,
    local_time: Duration,
}

/// State of a decider that decides on no further claims and is to be handed
/// over.
#[derive(Debug)]
pub struct Sealed {
    issuer: Issuer,
    round: u64,
    parts: Vec<HandoverPart>,
    /// Time on the origin's clock at the seal.
    clock: Duration,
}

/// The decider of an origin's tickets in state `S`.
///
/// A sealed decider decides on nothing:
///
/// ```compile_fail
/// use chiverelay_decisions::handover::{Decider, Sealed};
/// use chiverelay_decisions::settlements::ClaimSettlement;
///
/// fn decide(mut decider: Decider<Sealed>, settlement: &ClaimSettlement) {
///     decider.settle(settlement, std::time::Duration::ZERO);
/// }
/// ```
///
/// It can be committed to only one successor:
///
/// ```compile_fail
/// use chiverelay_decisions::handover::{Decider, Sealed};
///
/// fn commit(decider: Decider<Sealed>) {
///     decider.commit();
///     decider.commit();
/// }
/// ```
#[derive(Clone, Debug)]
pub struct Decider<S> {
    state: S,
}

impl Decider<Deciding> {
    /// Creates the decider for tickets that this instance issues.
    fn new(issuer: Issuer, bounds: TicketBounds) -> Self {
        Self {
            state: Deciding {
                issuer,
                tickets: UsedTickets::new(bounds),
                origin_time: Duration::ZERO,
                local_time: Duration::ZERO,
            },
        }
    }

    /// Creates the decider of an origin that was handed over to this instance.
    fn from_parts(
        commit: HandoverCommit,
        records: Vec<HandoverRecord>,
        bounds: TicketBounds,
        now: Duration,
    ) -> Self {
        Self {
            state: Deciding {
                issuer: commit.issuer,
                tickets: UsedTickets::from_records(records, bounds),
                origin_time: commit.clock,
                local_time: now,
            },
        }
    }

    /// Converts a local time to a time on the origin's clock.
    fn to_origin_time(&self, now: Duration) -> Duration {
        self.state.origin_time + now.saturating_sub(self.state.local_time)
    }

    /// Decides on a claim.
    pub fn claim(
        &mut self,
        ticket: &Ticket,
        nonce: Nonce,
        operation: OperationDigest,
        now: Duration,
    ) -> ClaimReply {
        let now = self.to_origin_time(now);
        match self.state.issuer.verify(ticket, now) {
            None => ClaimReply::Invalid,
            Some(ticket) => self.state.tickets.claim(ticket, nonce, operation, now),
        }
    }

    /// Records the outcome of a granted claim.
    pub fn settle(&mut self, settlement: &ClaimSettlement, now: Duration) {
        if let Some(ticket) = self
            .state
            .issuer
            .verify(&settlement.ticket, self.to_origin_time(now))
        {
            let outcome = settlement.outcome.clone();
            self.state.tickets.settle(ticket, settlement.nonce, outcome);
        }
    }

    /// Stops deciding permanently. `round` must be unique among all handovers
    /// of the origin.
    pub fn seal(self, round: u64, now: Duration) -> Decider<Sealed> {
        let clock = self.to_origin_time(now);
        let origin = self.state.issuer.origin();
        let mut parts: Vec<HandoverPart> = Vec::new();
        let mut bytes = 0;
        for record in self.state.tickets.into_records() {
            let is_full = |p: &HandoverPart| {
                p.records.len() >= MAX_PART_RECORDS || bytes >= PART_BYTES_TARGET
            };
            if parts.last().is_none_or(is_full) {
                bytes = 0;
                parts.push(HandoverPart {
                    origin: origin.clone(),
                    round,
                    number: parts.len() as u32,
                    records: Vec::new(),
                });
            }
            bytes += record.size_bytes();
            if let Some(part) = parts.last_mut() {
                part.records.push(record);
            }
        }
        Decider {
            state: Sealed {
                issuer: self.state.issuer,
                round,
                parts,
                clock,
            },
        }
    }
}

impl Decider<Sealed> {
    /// Returns the origin.
    pub fn origin(&self) -> Origin {
        self.state.issuer.origin()
    }

    /// Returns the parts that a successor must receive before the commit.
    pub fn parts(&self) -> &[HandoverPart] {
        &self.state.parts
    }

    /// Returns the message that makes a successor the decider. It must be sent
    /// to only one instance.
    pub fn commit(self) -> HandoverCommit {
        HandoverCommit {
            parts: self.state.parts.len() as u32,
            issuer: self.state.issuer,
            round: self.state.round,
            clock: self.state.clock,
        }
    }
}

/// Received parts of an origin that has not been committed.
#[derive(Clone, Debug)]
struct IncomingParts {
    round: u64,
    parts: BTreeMap<u32, Vec<HandoverRecord>>,
    last_received: Duration,
}

/// The origins that one instance decides for.
///
/// # Invariants
///
/// Once `is_sealed` is set, the instance decides for no origin.
#[derive(Clone, Debug)]
pub struct DeciderTable {
    own_origin: Origin,
    deciding: BTreeMap<Origin, Decider<Deciding>>,
    incoming: BTreeMap<Origin, IncomingParts>,
    is_sealed: bool,
    bounds: TicketBounds,
}

impl DeciderTable {
    /// Creates the table with the decider for this instance's own tickets.
    pub fn new(issuer: Issuer, bounds: TicketBounds) -> Self {
        let origin = issuer.origin();
        Self {
            deciding: BTreeMap::from([(origin.clone(), Decider::new(issuer, bounds))]),
            own_origin: origin,
            incoming: BTreeMap::new(),
            is_sealed: false,
            bounds,
        }
    }

    /// Decides on a claim. The reply is [`ClaimReply::Elsewhere`] if this
    /// instance is not the decider.
    pub fn claim(
        &mut self,
        ticket: &Ticket,
        nonce: Nonce,
        operation: OperationDigest,
        now: Duration,
    ) -> ClaimReply {
        match self.deciding.get_mut(&ticket.origin()) {
            None => ClaimReply::Elsewhere,
            Some(decider) => decider.claim(ticket, nonce, operation, now),
        }
    }

    /// Records the outcome of a granted claim. Returns false if this instance
    /// is not the decider.
    pub fn settle(&mut self, settlement: &ClaimSettlement, now: Duration) -> bool {
        let decider = self.deciding.get_mut(&settlement.ticket.origin());
        decider.map(|d| d.settle(settlement, now)).is_some()
    }

    /// Receives a part of a handover. Returns false if the part was not
    /// accepted, because it exceeds the limits or this instance is sealed.
    pub fn receive_part(&mut self, part: HandoverPart, now: Duration) -> bool {
        if self.is_sealed {
            return false;
        }
        // A part of a handover that is already complete was delivered again.
        if self.deciding.contains_key(&part.origin) {
            return true;
        }
        self.drop_expired(now);
        if !self.has_room(&part.records) {
            return false;
        }
        let new_incoming = || IncomingParts {
            round: part.round,
            parts: BTreeMap::new(),
            last_received: now,
        };
        let incoming = self
            .incoming
            .entry(part.origin)
            .or_insert_with(new_incoming);
        if incoming.round != part.round {
            *incoming = new_incoming();
        }
        incoming.parts.insert(part.number, part.records);
        incoming.last_received = now;
        true
    }

    /// Becomes the decider if all parts were received. Returns false if the
    /// handover was not accepted.
    pub fn receive_commit(&mut self, commit: HandoverCommit, now: Duration) -> bool {
        let origin = commit.issuer.origin();
        if self.is_sealed {
            return false;
        }
        // The commit was delivered again.
        if self.deciding.contains_key(&origin) {
            return true;
        }
        let parts = match self.incoming.get(&origin) {
            Some(incoming) if incoming.round == commit.round => incoming.parts.len(),
            _ => 0,
        };
        if parts != commit.parts as usize || self.deciding.len() >= MAX_ORIGINS {
            return false;
        }
        let incoming = self.incoming.remove(&origin);
        let incoming = incoming.filter(|i| i.round == commit.round);
        let parts = incoming.into_iter().flat_map(|i| i.parts.into_values());
        let records = parts.flatten().collect();
        let decider = Decider::from_parts(commit, records, self.bounds, now);
        self.deciding.insert(origin, decider);
        true
    }

    /// Returns true if further records fit within the limits, which apply to
    /// the total of all records that were handed over.
    fn has_room(&self, records: &[HandoverRecord]) -> bool {
        let taken_over = self.deciding.iter().filter(|(o, _)| **o != self.own_origin);
        let uncommitted = self.incoming.values().flat_map(|i| i.parts.values());
        let (mut count, mut bytes) = (records.len(), 0);
        for (_, decider) in taken_over {
            count += decider.state.tickets.len();
            bytes += decider.state.tickets.size_bytes();
        }
        for record in uncommitted.flatten() {
            count += 1;
            bytes += record.size_bytes();
        }
        bytes += records
            .iter()
            .map(HandoverRecord::size_bytes)
            .sum::<usize>();
        self.incoming.len() + self.deciding.len() < MAX_ORIGINS
            && count <= self.bounds.max_records
            && bytes <= self.bounds.max_total_bytes
    }

    /// Drops origins whose tickets have all expired, and incomplete handovers
    /// that timed out.
    fn drop_expired(&mut self, now: Duration) {
        self.deciding.retain(|o, d| {
            *o == self.own_origin || now < d.state.local_time + TAKEN_OVER_RETENTION
        });
        self.incoming
            .retain(|_, i| now < i.last_received + INCOMPLETE_TIMEOUT);
    }

    /// Stops deciding permanently. Returns the sealed deciders to be handed
    /// over. `round` must be unique among all handovers.
    pub fn seal(&mut self, round: u64, now: Duration) -> Vec<Decider<Sealed>> {
        self.is_sealed = true;
        self.incoming.clear();
        let deciding = std::mem::take(&mut self.deciding);
        deciding.into_values().map(|d| d.seal(round, now)).collect()
    }
}
