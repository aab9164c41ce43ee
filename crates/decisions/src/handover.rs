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

use crate::settlements::Settle;
use crate::tickets::Bounds;
use crate::tickets::Handed;
use crate::tickets::Issuer;
use crate::tickets::Nonce;
use crate::tickets::Operation;
use crate::tickets::Origin;
use crate::tickets::Reply;
use crate::tickets::Ticket;
use crate::tickets::Used;

/// Most records of one part.
const PART_RECORDS: usize = 256;

/// Bytes of answers after which a part takes no further record.
const PART_BYTES: usize = 1024 * 1024;

/// Most origins that an instance decides for, its own included.
const MAX_ORIGINS: usize = 64;

/// Time for which an origin is decided for after it was handed over; longer
/// than the life of any ticket.
const KEPT: Duration = Duration::from_secs(3700);

/// Parts of an origin that get no further one for so long are dropped.
const INCOMPLETE: Duration = Duration::from_secs(60);

/// Records of one origin, told before its commit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// The origin.
    pub origin: Origin,
    /// Names the hand-over, as an origin may be handed over again.
    pub round: u64,
    /// Place among the parts.
    pub number: u32,
    /// The records.
    pub records: Vec<Handed>,
}

/// Makes the heir that has all parts the decider.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Commit {
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
    used: Used,
    there: Duration,
    here: Duration,
}

/// State in which the origin's tickets are no longer decided on here.
#[derive(Debug)]
pub struct Sealed {
    issuer: Issuer,
    round: u64,
    parts: Vec<Part>,
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
    fn new(issuer: Issuer, bounds: Bounds) -> Self {
        Self {
            state: Deciding {
                issuer,
                used: Used::new(bounds),
                there: Duration::ZERO,
                here: Duration::ZERO,
            },
        }
    }

    /// Starts as the heir.
    fn from_parts(commit: Commit, records: Vec<Handed>, bounds: Bounds, now: Duration) -> Self {
        Self {
            state: Deciding {
                issuer: commit.issuer,
                used: Used::from_records(records, bounds),
                there: commit.clock,
                here: now,
            },
        }
    }

    /// Returns the time on the origin's clock.
    fn clock(&self, now: Duration) -> Duration {
        self.state.there + now.saturating_sub(self.state.here)
    }

    /// Decides on a claim.
    pub fn claim(
        &mut self,
        ticket: &Ticket,
        nonce: Nonce,
        operation: Operation,
        now: Duration,
    ) -> Reply {
        let now = self.clock(now);
        match self.state.issuer.check(ticket, now) {
            None => Reply::Invalid,
            Some(ticket) => self.state.used.claim(ticket, nonce, operation, now),
        }
    }

    /// Records what became of a claim.
    pub fn settle(&mut self, settle: &Settle, now: Duration) {
        if let Some(ticket) = self.state.issuer.check(&settle.ticket, self.clock(now)) {
            let settlement = settle.settlement.clone();
            self.state.used.settle(ticket, settle.nonce, settlement);
        }
    }

    /// Stops deciding, for good. No other hand-over has this `round`.
    pub fn seal(self, round: u64, now: Duration) -> Decider<Sealed> {
        let clock = self.clock(now);
        let origin = self.state.issuer.origin();
        let mut parts: Vec<Part> = Vec::new();
        let mut bytes = 0;
        for record in self.state.used.into_records() {
            let full = |p: &Part| p.records.len() >= PART_RECORDS || bytes >= PART_BYTES;
            if parts.last().is_none_or(full) {
                bytes = 0;
                parts.push(Part {
                    origin: origin.clone(),
                    round,
                    number: parts.len() as u32,
                    records: Vec::new(),
                });
            }
            bytes += record.bytes();
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
    pub fn parts(&self) -> &[Part] {
        &self.state.parts
    }

    /// Returns what makes an heir the decider, to be told to one heir only.
    pub fn commit(self) -> Commit {
        Commit {
            parts: self.state.parts.len() as u32,
            issuer: self.state.issuer,
            round: self.state.round,
            clock: self.state.clock,
        }
    }
}

/// Parts of an origin whose commit has not come.
#[derive(Clone, Debug)]
struct Incoming {
    round: u64,
    parts: BTreeMap<u32, Vec<Handed>>,
    newest: Duration,
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
    incoming: BTreeMap<Origin, Incoming>,
    sealed: bool,
    bounds: Bounds,
}

impl Deciders {
    /// Starts with the tickets that this instance issues.
    pub fn new(issuer: Issuer, bounds: Bounds) -> Self {
        let origin = issuer.origin();
        Self {
            deciding: BTreeMap::from([(origin.clone(), Decider::new(issuer, bounds))]),
            own: origin,
            incoming: BTreeMap::new(),
            sealed: false,
            bounds,
        }
    }

    /// Decides on a claim, unless another instance or none does.
    pub fn claim(
        &mut self,
        ticket: &Ticket,
        nonce: Nonce,
        operation: Operation,
        now: Duration,
    ) -> Reply {
        match self.deciding.get_mut(&ticket.origin()) {
            None => Reply::Elsewhere,
            Some(decider) => decider.claim(ticket, nonce, operation, now),
        }
    }

    /// Records what became of a claim; false if it is not decided on here.
    pub fn settle(&mut self, settle: &Settle, now: Duration) -> bool {
        let decider = self.deciding.get_mut(&settle.ticket.origin());
        decider.map(|d| d.settle(settle, now)).is_some()
    }

    /// Takes a part from its decider; false if there is no room for it.
    pub fn take_part(&mut self, part: Part, now: Duration) -> bool {
        if self.sealed {
            return false;
        }
        if self.deciding.contains_key(&part.origin) {
            return true;
        }
        self.forget(now);
        if !self.has_room(&part.records) {
            return false;
        }
        let fresh = || Incoming {
            round: part.round,
            parts: BTreeMap::new(),
            newest: now,
        };
        let incoming = self.incoming.entry(part.origin).or_insert_with(fresh);
        if incoming.round != part.round {
            *incoming = fresh();
        }
        incoming.parts.insert(part.number, part.records);
        incoming.newest = now;
        true
    }

    /// Becomes the decider if every part is here; false if not.
    pub fn take_commit(&mut self, commit: Commit, now: Duration) -> bool {
        let origin = commit.issuer.origin();
        if self.sealed {
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
    fn has_room(&self, records: &[Handed]) -> bool {
        let inherited = self.deciding.iter().filter(|(o, _)| **o != self.own);
        let waiting = self.incoming.values().flat_map(|i| i.parts.values());
        let (mut count, mut bytes) = (records.len(), 0);
        for (_, decider) in inherited {
            count += decider.state.used.len();
            bytes += decider.state.used.bytes();
        }
        for record in waiting.flatten() {
            count += 1;
            bytes += record.bytes();
        }
        bytes += records.iter().map(Handed::bytes).sum::<usize>();
        self.incoming.len() + self.deciding.len() < MAX_ORIGINS
            && count <= self.bounds.records
            && bytes <= self.bounds.total_bytes
    }

    /// Drops origins whose tickets have all expired, and parts without commit.
    fn forget(&mut self, now: Duration) {
        self.deciding
            .retain(|o, d| *o == self.own || now < d.state.here + KEPT);
        self.incoming.retain(|_, i| now < i.newest + INCOMPLETE);
    }

    /// Stops deciding, for good; returns what is to be handed over in a
    /// `round` that no other hand-over has.
    pub fn seal(&mut self, round: u64, now: Duration) -> Vec<Decider<Sealed>> {
        self.sealed = true;
        self.incoming.clear();
        let deciding = std::mem::take(&mut self.deciding);
        deciding.into_values().map(|d| d.seal(round, now)).collect()
    }
}
