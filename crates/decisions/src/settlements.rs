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
use crate::tickets::Nonce;
use crate::tickets::Origin;
use crate::tickets::Settlement;
use crate::tickets::Ticket;

/// What became of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Settle {
    /// The ticket.
    pub ticket: Ticket,
    /// Names the claim.
    pub nonce: Nonce,
    /// What became of it.
    pub settlement: Settlement,
}

impl Settle {
    fn is_release(&self) -> bool {
        matches!(self.settlement, Settlement::NotRun)
    }

    fn bytes(&self) -> usize {
        match &self.settlement {
            Settlement::NotRun => 0,
            Settlement::Answered(answer) => answer.bytes(),
        }
    }
}

/// What came of telling a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The decider of the ticket has it.
    Taken,
    /// Nobody answered.
    Lost,
    /// Nobody who answered decides on tickets of that origin.
    Gone,
}

/// Bounds of what is kept.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most settlements.
    pub settlements: usize,
    /// Most bytes of their answers.
    pub bytes: usize,
    /// Time for which a settlement is kept.
    pub life: Duration,
    /// Time after which an origin that nobody decides for is given up.
    pub gone: Duration,
    /// Delays between tries.
    pub backoff: Backoff,
}

#[derive(Debug)]
struct Entry {
    settle: Settle,
    until: Duration,
}

/// What is to be told of the tickets of one origin.
#[derive(Debug, Default)]
struct Queue {
    numbers: BTreeSet<u64>,
    tries: u32,
    due: Duration,
    gone_since: Option<Duration>,
}

/// Settlements that are to be told again.
///
/// # Invariants
///
/// `order` and the queues have the numbers of `entries`, no queue is empty,
/// and `bytes` counts the answers. Numbers rise, and with them `until`.
#[derive(Debug)]
pub struct Unsettled {
    entries: BTreeMap<u64, Entry>,
    order: BTreeSet<(bool, u64)>,
    queues: BTreeMap<Origin, Queue>,
    bytes: usize,
    next: u64,
    bounds: Bounds,
}

impl Unsettled {
    /// Makes an empty table.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            entries: BTreeMap::new(),
            order: BTreeSet::new(),
            queues: BTreeMap::new(),
            bytes: 0,
            next: 0,
            bounds,
        }
    }

    /// Keeps a settlement that was not taken; returns how many were dropped.
    ///
    /// With no room, the oldest answer goes first: a lost answer leaves a
    /// caller with "unknown", a lost release an operation that never runs.
    pub fn keep(&mut self, settle: Settle, now: Duration, random: u64) -> usize {
        let (number, release) = (self.next, settle.is_release());
        self.next += 1;
        self.bytes += settle.bytes();
        let queue = self.queues.entry(settle.ticket.origin()).or_default();
        if queue.numbers.is_empty() {
            queue.due = now + self.bounds.backoff.delay(0, random);
        }
        queue.numbers.insert(number);
        self.order.insert((release, number));
        let until = now + self.bounds.life;
        self.entries.insert(number, Entry { settle, until });
        let mut dropped = 0;
        while self.entries.len() > self.bounds.settlements || self.bytes > self.bounds.bytes {
            let Some(&(_, first)) = self.order.first() else {
                break;
            };
            self.remove(first);
            dropped += 1;
        }
        dropped
    }

    fn remove(&mut self, number: u64) {
        let Some(Entry { settle, .. }) = self.entries.remove(&number) else {
            return;
        };
        self.bytes -= settle.bytes();
        self.order.remove(&(settle.is_release(), number));
        let origin = settle.ticket.origin();
        if let Some(queue) = self.queues.get_mut(&origin) {
            queue.numbers.remove(&number);
            if queue.numbers.is_empty() {
                self.queues.remove(&origin);
            }
        }
    }

    /// Drops what was kept for its whole life; returns how many.
    pub fn expire(&mut self, now: Duration) -> usize {
        let mut dropped = 0;
        while let Some((&number, entry)) = self.entries.first_key_value() {
            if entry.until > now {
                break;
            }
            self.remove(number);
            dropped += 1;
        }
        dropped
    }

    /// Returns when the next try is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.queues.values().map(|queue| queue.due).min()
    }

    /// Returns the first settlement of each origin that is due, and sets the
    /// origin aside for as long as a try may take.
    pub fn due(&mut self, now: Duration, limit: Duration) -> Vec<Settle> {
        let mut due = Vec::new();
        for queue in self.queues.values_mut().filter(|q| q.due <= now) {
            let first = queue.numbers.first();
            if let Some(entry) = first.and_then(|number| self.entries.get(number)) {
                due.push(entry.settle.clone());
            }
            queue.due = now + limit;
        }
        due
    }

    /// Takes note of a try; returns how many settlements were dropped.
    pub fn told(&mut self, settle: &Settle, told: Told, now: Duration, random: u64) -> usize {
        let Some(queue) = self.queues.get_mut(&settle.ticket.origin()) else {
            return 0;
        };
        match told {
            Told::Taken => {
                (queue.tries, queue.due, queue.gone_since) = (0, now, None);
                let mut numbers = queue.numbers.iter().copied();
                let nonce = settle.nonce;
                let taken = numbers.find(|n| self.entries[n].settle.nonce == nonce);
                if let Some(number) = taken {
                    self.remove(number);
                }
                return 0;
            }
            Told::Lost => queue.gone_since = None,
            Told::Gone => {
                let since = *queue.gone_since.get_or_insert(now);
                if now >= since + self.bounds.gone {
                    let numbers = std::mem::take(&mut queue.numbers);
                    numbers.iter().for_each(|number| self.remove(*number));
                    return numbers.len();
                }
            }
        }
        queue.tries += 1;
        queue.due = now + self.bounds.backoff.delay(queue.tries, random);
        0
    }

    /// Makes every origin due, as when the instance is about to stop.
    pub fn hurry(&mut self, now: Duration) {
        for queue in self.queues.values_mut() {
            (queue.tries, queue.due) = (0, now);
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
