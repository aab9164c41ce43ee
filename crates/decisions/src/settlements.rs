//! Settlements that the decider of their ticket has not taken yet.
//!
//! A settlement whose first try failed is kept here and told again until the
//! decider has it. Doing so twice changes nothing, as a settlement is of one
//! nonce.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::backoff::Backoff;
use crate::tickets::ClaimOutcome;
use crate::tickets::Nonce;
use crate::tickets::Origin;
use crate::tickets::Ticket;

/// What became of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimSettlement {
    /// The ticket.
    pub ticket: Ticket,
    /// Names the claim.
    pub nonce: Nonce,
    /// What became of it.
    #[serde(rename = "settlement")]
    pub outcome: ClaimOutcome,
}

impl ClaimSettlement {
    fn is_release(&self) -> bool {
        matches!(self.outcome, ClaimOutcome::NotRun)
    }

    fn size_bytes(&self) -> usize {
        match &self.outcome {
            ClaimOutcome::NotRun => 0,
            ClaimOutcome::Answered(answer) => answer.size_bytes(),
        }
    }
}

/// What came of telling a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The decider of the ticket has it.
    Accepted,
    /// Nobody answered.
    NoReply,
    /// Nobody who answered decides on tickets of that origin.
    NoDecider,
}

/// Bounds of what is kept.
#[derive(Clone, Copy, Debug)]
pub struct SettlementBounds {
    /// Most settlements.
    pub max_settlements: usize,
    /// Most bytes of their answers.
    pub max_bytes: usize,
    /// Time for which a settlement is kept.
    pub ttl: Duration,
    /// Time after which an origin that nobody decides for is given up.
    pub no_decider_timeout: Duration,
    /// Delays between tries.
    pub backoff: Backoff,
}

#[derive(Debug)]
struct Entry {
    settlement: ClaimSettlement,
    expires_at: Duration,
}

/// What is to be told of the tickets of one origin.
#[derive(Debug, Default)]
struct OriginQueue {
    ids: BTreeSet<u64>,
    attempts: u32,
    next_attempt: Duration,
    no_decider_since: Option<Duration>,
}

/// Settlements that are to be told again.
///
/// # Invariants
///
/// `order` and the queues have the numbers of `entries`, no queue is empty,
/// and `bytes` counts the answers. Numbers rise, and with them `until`.
#[derive(Debug)]
pub struct PendingSettlements {
    entries: BTreeMap<u64, Entry>,
    drop_order: BTreeSet<(bool, u64)>,
    queues: BTreeMap<Origin, OriginQueue>,
    bytes: usize,
    next_id: u64,
    bounds: SettlementBounds,
}

impl PendingSettlements {
    /// Makes an empty table.
    pub fn new(bounds: SettlementBounds) -> Self {
        Self {
            entries: BTreeMap::new(),
            drop_order: BTreeSet::new(),
            queues: BTreeMap::new(),
            bytes: 0,
            next_id: 0,
            bounds,
        }
    }

    /// Keeps a settlement that was not taken; returns how many were dropped.
    ///
    /// With no room, the oldest answer goes first: a lost answer leaves a
    /// caller with "unknown", a lost release an operation that never runs.
    pub fn add(&mut self, settlement: ClaimSettlement, now: Duration, random: u64) -> usize {
        let (id, is_release) = (self.next_id, settlement.is_release());
        self.next_id += 1;
        self.bytes += settlement.size_bytes();
        let queue = self.queues.entry(settlement.ticket.origin()).or_default();
        if queue.ids.is_empty() {
            queue.next_attempt = now + self.bounds.backoff.delay(0, random);
        }
        queue.ids.insert(id);
        self.drop_order.insert((is_release, id));
        let expires_at = now + self.bounds.ttl;
        self.entries.insert(
            id,
            Entry {
                settlement,
                expires_at,
            },
        );
        let mut dropped = 0;
        while self.entries.len() > self.bounds.max_settlements || self.bytes > self.bounds.max_bytes
        {
            let Some(&(_, first)) = self.drop_order.first() else {
                break;
            };
            self.remove(first);
            dropped += 1;
        }
        dropped
    }

    fn remove(&mut self, id: u64) {
        let Some(Entry { settlement, .. }) = self.entries.remove(&id) else {
            return;
        };
        self.bytes -= settlement.size_bytes();
        self.drop_order.remove(&(settlement.is_release(), id));
        let origin = settlement.ticket.origin();
        if let Some(queue) = self.queues.get_mut(&origin) {
            queue.ids.remove(&id);
            if queue.ids.is_empty() {
                self.queues.remove(&origin);
            }
        }
    }

    /// Drops what was kept for its whole life; returns how many.
    pub fn expire(&mut self, now: Duration) -> usize {
        let mut dropped = 0;
        while let Some((&id, entry)) = self.entries.first_key_value() {
            if entry.expires_at > now {
                break;
            }
            self.remove(id);
            dropped += 1;
        }
        dropped
    }

    /// Returns when the next try is due.
    pub fn next_attempt(&self) -> Option<Duration> {
        self.queues.values().map(|queue| queue.next_attempt).min()
    }

    /// Returns the first settlement of each origin that is due, and sets the
    /// origin aside for as long as a try may take.
    pub fn take_due(&mut self, now: Duration, timeout: Duration) -> Vec<ClaimSettlement> {
        let mut due = Vec::new();
        for queue in self.queues.values_mut().filter(|q| q.next_attempt <= now) {
            let first = queue.ids.first();
            if let Some(entry) = first.and_then(|id| self.entries.get(id)) {
                due.push(entry.settlement.clone());
            }
            queue.next_attempt = now + timeout;
        }
        due
    }

    /// Takes note of a try; returns how many settlements were dropped.
    pub fn record_delivery(
        &mut self,
        settlement: &ClaimSettlement,
        delivery: Delivery,
        now: Duration,
        random: u64,
    ) -> usize {
        let Some(queue) = self.queues.get_mut(&settlement.ticket.origin()) else {
            return 0;
        };
        match delivery {
            Delivery::Accepted => {
                (queue.attempts, queue.next_attempt, queue.no_decider_since) = (0, now, None);
                let mut ids = queue.ids.iter().copied();
                let nonce = settlement.nonce;
                let accepted = ids.find(|n| self.entries[n].settlement.nonce == nonce);
                if let Some(id) = accepted {
                    self.remove(id);
                }
                return 0;
            }
            Delivery::NoReply => queue.no_decider_since = None,
            Delivery::NoDecider => {
                let since = *queue.no_decider_since.get_or_insert(now);
                if now >= since + self.bounds.no_decider_timeout {
                    let ids = std::mem::take(&mut queue.ids);
                    ids.iter().for_each(|id| self.remove(*id));
                    return ids.len();
                }
            }
        }
        queue.attempts += 1;
        queue.next_attempt = now + self.bounds.backoff.delay(queue.attempts, random);
        0
    }

    /// Makes every origin due, as when the instance is about to stop.
    pub fn retry_now(&mut self, now: Duration) {
        for queue in self.queues.values_mut() {
            (queue.attempts, queue.next_attempt) = (0, now);
        }
    }

    /// Returns the number of settlements.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
