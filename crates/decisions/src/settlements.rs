//! Settlements that still have to be delivered to the decider of their ticket.
//!
//! A settlement is queued here if its first delivery failed, and is sent again
//! until the decider accepts it. Repeated delivery is harmless because a
//! settlement applies only to the claim with its nonce.

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

/// A message that reports the outcome of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimSettlement {
    /// The claimed ticket.
    pub ticket: Ticket,
    /// Nonce of the claim.
    pub nonce: Nonce,
    /// Outcome of the operation.
    #[serde(rename = "settlement")]
    pub outcome: ClaimOutcome,
}

impl ClaimSettlement {
    /// Returns true for a release, a settlement as not run. It makes the ticket
    /// claimable again.
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

/// Result of an attempt to deliver a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The decider of the ticket accepted the settlement.
    Accepted,
    /// No instance replied.
    NoReply,
    /// Instances replied, but none of them is the decider for the ticket's
    /// origin.
    NoDecider,
}

/// Limits of the queue of settlements.
#[derive(Clone, Copy, Debug)]
pub struct SettlementBounds {
    /// Maximum number of settlements.
    pub max_settlements: usize,
    /// Maximum total size of their recorded answers, in bytes.
    pub max_bytes: usize,
    /// Time after which a settlement is dropped.
    pub ttl: Duration,
    /// Time without a decider after which all settlements of an origin are
    /// dropped.
    pub no_decider_timeout: Duration,
    /// Delays between delivery attempts.
    pub backoff: Backoff,
}

#[derive(Debug)]
struct Entry {
    settlement: ClaimSettlement,
    expires_at: Duration,
}

/// Settlements of the tickets of one origin.
#[derive(Debug, Default)]
struct OriginQueue {
    ids: BTreeSet<u64>,
    attempts: u32,
    next_attempt: Duration,
    no_decider_since: Option<Duration>,
}

/// Settlements that have to be delivered again.
///
/// # Invariants
///
/// `drop_order` and the queues contain exactly the ids of `entries`, no queue
/// is empty, and `bytes` is the total size of the recorded answers. Ids
/// increase over time, and `expires_at` with them.
#[derive(Debug)]
pub struct PendingSettlements {
    entries: BTreeMap<u64, Entry>,
    /// Whether the settlement is a release, and its id; the first entry is
    /// dropped first.
    drop_order: BTreeSet<(bool, u64)>,
    queues: BTreeMap<Origin, OriginQueue>,
    bytes: usize,
    next_id: u64,
    bounds: SettlementBounds,
}

impl PendingSettlements {
    /// Creates an empty queue.
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

    /// Adds a settlement whose delivery failed. Returns the number of
    /// settlements dropped to make room.
    ///
    /// The oldest recorded answers are dropped first, and releases last.
    /// Without its answer a repeated request gets the result "unknown". Without
    /// its release an operation can never run.
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

    /// Drops the expired settlements and returns their number.
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

    /// Returns the time of the next delivery attempt.
    pub fn next_attempt(&self) -> Option<Duration> {
        self.queues.values().map(|queue| queue.next_attempt).min()
    }

    /// Returns the oldest settlement of each origin that is due, and postpones
    /// the next attempt for these origins by `timeout`, the time that an
    /// attempt may take.
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

    /// Records the result of a delivery attempt. Returns the number of
    /// settlements dropped because their origin has no decider any more.
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

    /// Schedules an immediate delivery attempt for every origin, for instance
    /// before the instance stops.
    pub fn retry_now(&mut self, now: Duration) {
        for queue in self.queues.values_mut() {
            (queue.attempts, queue.next_attempt) = (0, now);
        }
    }

    /// Returns the number of settlements.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no settlements.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
