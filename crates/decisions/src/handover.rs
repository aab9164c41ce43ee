//! Which instance decides on the tickets of an origin, and how that passes to
//! another when the decider stops as planned.
//!
//! # Invariants
//!
//! At any time at most one [`Decider<Deciding>`] of an origin exists in the
//! fleet. The issuer starts as it. [`Decider::seal`] ends it for good, and
//! only what is sealed can be committed: to one heir, as [`Decider::commit`]
//! consumes it. The heir decides once it has the commit and every part before
//! it; a sealed instance takes no more of either. A message reaches only the
//! process that it was sent to, as its connection ends with that process; it
//! may be lost, doubled or late. If a message is lost for good, nobody decides on the origin any more, and its operations stay
//! unknown.

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

/// Most records of one part.
const MAX_PART_RECORDS: usize = 256;

/// Bytes of answers after which a part takes no further record.
const FULL_PART_BYTES: usize = 1024 * 1024;

/// Most origins that an instance decides for, its own included.
const MAX_ORIGINS: usize = 64;

/// Time for which an origin is decided for after it was handed over; longer
/// than the life of any ticket.
const INHERITED_RETENTION: Duration = Duration::from_secs(3700);

/// Parts of an origin that get no further one for so long are dropped.
const INCOMPLETE_TIMEOUT: Duration = Duration::from_secs(60);

/// Records of one origin, told before its commit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandoverPart {
    /// The origin.
    pub origin: Origin,
    /// Names the hand-over, as an origin may be handed over again.
    pub round: u64,
    /// Place among the parts.
    pub number: u32,
    /// The records.
    pub records: Vec<HandoverRecord>,
}

/// Makes the heir that has all parts the decider.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandoverCommit {
    issuer: Issuer,
    round: u64,
    parts: u32,
    clock: Duration,
}

/// State in which an instance decides on an origin's tickets.
///
/// # Invariants
///
/// The origin's clock stood at `there` when the own one stood at `here`; as
/// nobody decided in between, it never goes back.
#[derive(Clone, Debug)]
pub struct Deciding {
    issuer: Issuer,
    tickets: UsedTickets,
    origin_time: Duration,
    local_time: Duration,
}

/// State in which the origin's tickets are no longer decided on here.
#[derive(Debug)]
pub struct Sealed {
    issuer: Issuer,
    round: u64,
    parts: Vec<HandoverPart>,
    clock: Duration,
}

/// The decider of an origin's tickets in state `S`.
///
/// What is sealed decides on nothing.
///
/// ```compile_fail
/// use chiverelay_decisions::handover::{Decider, Sealed};
/// use chiverelay_decisions::settlements::Settle;
///
/// fn decide(mut decider: Decider<Sealed>, settle: &Settle) {
///     decider.settle(settle, std::time::Duration::ZERO);
/// }
/// ```
///
/// It is committed to one heir only.
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
    /// Starts as the issuer.
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

    /// Starts as the heir.
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

    /// Returns the time on the origin's clock.
    fn origin_clock(&self, now: Duration) -> Duration {
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
        let now = self.origin_clock(now);
        match self.state.issuer.verify(ticket, now) {
            None => ClaimReply::Invalid,
            Some(ticket) => self.state.tickets.claim(ticket, nonce, operation, now),
        }
    }

    /// Records what became of a claim.
    pub fn settle(&mut self, settlement: &ClaimSettlement, now: Duration) {
        if let Some(ticket) = self
            .state
            .issuer
            .verify(&settlement.ticket, self.origin_clock(now))
        {
            let outcome = settlement.outcome.clone();
            self.state.tickets.settle(ticket, settlement.nonce, outcome);
        }
    }

    /// Stops deciding, for good. No other hand-over has this `round`.
    pub fn seal(self, round: u64, now: Duration) -> Decider<Sealed> {
        let clock = self.origin_clock(now);
        let origin = self.state.issuer.origin();
        let mut parts: Vec<HandoverPart> = Vec::new();
        let mut bytes = 0;
        for record in self.state.tickets.into_records() {
            let is_full =
                |p: &HandoverPart| p.records.len() >= MAX_PART_RECORDS || bytes >= FULL_PART_BYTES;
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

    /// Returns what an heir must have before the commit.
    pub fn parts(&self) -> &[HandoverPart] {
        &self.state.parts
    }

    /// Returns what makes an heir the decider, to be told to one heir only.
    pub fn commit(self) -> HandoverCommit {
        HandoverCommit {
            parts: self.state.parts.len() as u32,
            issuer: self.state.issuer,
            round: self.state.round,
            clock: self.state.clock,
        }
    }
}

/// Parts of an origin whose commit has not come.
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
/// Once `sealed`, it decides for none.
#[derive(Clone, Debug)]
pub struct Deciders {
    own: Origin,
    deciding: BTreeMap<Origin, Decider<Deciding>>,
    incoming: BTreeMap<Origin, IncomingParts>,
    is_sealed: bool,
    bounds: TicketBounds,
}

impl Deciders {
    /// Starts with the tickets that this instance issues.
    pub fn new(issuer: Issuer, bounds: TicketBounds) -> Self {
        let origin = issuer.origin();
        Self {
            deciding: BTreeMap::from([(origin.clone(), Decider::new(issuer, bounds))]),
            own: origin,
            incoming: BTreeMap::new(),
            is_sealed: false,
            bounds,
        }
    }

    /// Decides on a claim, unless another instance or none does.
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

    /// Records what became of a claim; false if it is not decided on here.
    pub fn settle(&mut self, settlement: &ClaimSettlement, now: Duration) -> bool {
        let decider = self.deciding.get_mut(&settlement.ticket.origin());
        decider.map(|d| d.settle(settlement, now)).is_some()
    }

    /// Takes a part from its decider; false if there is no room for it.
    pub fn receive_part(&mut self, part: HandoverPart, now: Duration) -> bool {
        if self.is_sealed {
            return false;
        }
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

    /// Becomes the decider if every part is here; false if not.
    pub fn receive_commit(&mut self, commit: HandoverCommit, now: Duration) -> bool {
        let origin = commit.issuer.origin();
        if self.is_sealed {
            return false;
        }
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

    /// Counts what was handed over, as the bounds hold for all of it.
    fn has_room(&self, records: &[HandoverRecord]) -> bool {
        let inherited = self.deciding.iter().filter(|(o, _)| **o != self.own);
        let uncommitted = self.incoming.values().flat_map(|i| i.parts.values());
        let (mut count, mut bytes) = (records.len(), 0);
        for (_, decider) in inherited {
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

    /// Drops origins whose tickets have all expired, and parts without commit.
    fn drop_expired(&mut self, now: Duration) {
        self.deciding
            .retain(|o, d| *o == self.own || now < d.state.local_time + INHERITED_RETENTION);
        self.incoming
            .retain(|_, i| now < i.last_received + INCOMPLETE_TIMEOUT);
    }

    /// Stops deciding, for good; returns what is to be handed over in a
    /// `round` that no other hand-over has.
    pub fn seal(&mut self, round: u64, now: Duration) -> Vec<Decider<Sealed>> {
        self.is_sealed = true;
        self.incoming.clear();
        let deciding = std::mem::take(&mut self.deciding);
        deciding.into_values().map(|d| d.seal(round, now)).collect()
    }
}
