//! The memory that requests hold: bodies and buffered answers share a budget,
//! and what doesn't fit is refused before it is read.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use chiverelay_decisions::admission::spread_retry_after;
use chiverelay_decisions::memory_budget::Exhausted;
use chiverelay_decisions::memory_budget::HeldBuffer;
use chiverelay_decisions::memory_budget::Level;
use chiverelay_decisions::memory_budget::MemoryBudget;
use chiverelay_decisions::memory_budget::Reservation;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::resources::ResourceLimits;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use hyper::HeaderMap;

use crate::HeldHeaders;
use crate::Metrics;

/// Bodies and buffered answers have one part in this number of the process's
/// memory.
const PARTS_OF_MEMORY: u64 = 4;

/// Answers have at most one part in this number of that, so that bodies find
/// room whatever targets send.
const PARTS_FOR_ANSWERS: u64 = 2;

/// The answers of one target have at most one part in this number of that, so
/// that those of other targets find room.
const PARTS_FOR_TARGET: u64 = 2;

/// Number of sources from which on the budgets of those that hold nothing are
/// dropped.
const MAX_IDLE_SOURCES: usize = 64;

/// File in which the system states the memory of the process.
const STATUS_FILE: &str = "/proc/self/status";

/// Memory that bodies and buffered answers share.
#[derive(Debug)]
pub struct RequestMemory {
    budget: MemoryBudget,
    /// The part of the answers.
    answers: MemoryBudget,
    /// The parts of the targets, and of the instances that relay answers.
    by_source: RankedMutex<HashMap<Arc<str>, MemoryBudget>>,
    metrics: Arc<Metrics>,
}

impl RequestMemory {
    /// Creates the budget of a process with these limits.
    pub fn new(limits: ResourceLimits, metrics: Arc<Metrics>) -> Self {
        let budget = MemoryBudget::new(limits.memory / PARTS_OF_MEMORY);
        Self {
            answers: budget.part(budget.usage().limit / PARTS_FOR_ANSWERS),
            budget,
            by_source: RankedMutex::new(LockRank::Memory, HashMap::new()),
            metrics,
        }
    }

    /// Returns the budget.
    pub fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Returns the budget of the answers that come from a target, or from an
    /// instance that relays them.
    pub(crate) fn answers_of(&self, source: &str) -> MemoryBudget {
        let mut by_source = self.by_source.lock();
        if let Some(budget) = by_source.get(source) {
            return budget.clone();
        }
        if by_source.len() >= MAX_IDLE_SOURCES {
            by_source.retain(|_, budget| budget.usage().used > 0);
        }
        let limit = self.answers.usage().limit / PARTS_FOR_TARGET;
        let budget = self.answers.part(limit);
        by_source.insert(Arc::from(source), budget.clone());
        budget
    }

    /// Refuses a caller's request whose body there is no memory for.
    pub fn refuse_body(&self) -> Refusal {
        self.refuse("body", Step::Receive)
    }

    /// Holds the headers of a request.
    ///
    /// # Errors
    ///
    /// Refuses the request if its headers are many and too little memory is left.
    pub fn hold_headers(&self, headers: HeaderMap) -> Result<HeldHeaders, Refusal> {
        let held = HeldHeaders::new(headers, &self.budget);
        held.map_err(|Exhausted| self.refuse("headers", Step::Receive))
    }

    /// Reserves the bytes of a message by which another instance forwards a
    /// request.
    ///
    /// # Errors
    ///
    /// Refuses the request if too little memory is left.
    pub(crate) fn reserve_forwarded(&self, bytes: usize) -> Result<Reservation, Refusal> {
        let reservation = self.budget.reserve(bytes);
        reservation.map_err(|Exhausted| self.refuse("forwarded body", Step::Receive))
    }

    /// Holds the body of a request that another instance has forwarded, with the
    /// memory of its message.
    ///
    /// # Errors
    ///
    /// Refuses the request if it needs more memory and too little is left.
    pub(crate) fn hold_forwarded(
        &self,
        body: Vec<u8>,
        memory: Reservation,
    ) -> Result<Bytes, Refusal> {
        let held = memory.hold(body);
        held.map_err(|Exhausted| self.refuse("forwarded body", Step::Receive))
    }

    /// Reserves the bytes of a message to another instance.
    ///
    /// # Errors
    ///
    /// Fails if too little memory is left.
    pub(crate) fn reserve_message(&self, bytes: usize) -> Result<Reservation, Refusal> {
        let reservation = self.budget.reserve(bytes);
        reservation.map_err(|Exhausted| self.refuse("message", Step::Forward))
    }

    /// Adds a part of an answer that is buffered. Returns false if too little
    /// memory is left to buffer more; the part is added nevertheless.
    pub(crate) fn extend_answer(&self, answer: &mut HeldBuffer, part: &[u8]) -> bool {
        if answer.extend(part).is_ok() {
            return true;
        }
        self.metrics.count_memory_denial("answer");
        answer.extend_unreserved(part);
        false
    }

    /// Logs that the budget is near its limit, has reached it, or is free again.
    pub(crate) fn log_level(&self) {
        let Some(level) = self.budget.level_change() else {
            return;
        };
        let usage = self.budget.usage();
        let (used, limit) = (usage.used, usage.limit);
        match level {
            Level::Near => {
                log::warn!(target: "memory", used, limit; "memory of requests is nearly used up");
            }
            Level::Exhausted => {
                log::warn!(target: "memory", used, limit; "memory of requests is used up; what does not fit is refused");
            }
            Level::Ample => {
                log::info!(target: "memory", used, limit; "memory of requests is free again");
            }
        }
    }

    fn refuse(&self, what: &str, step: Step) -> Refusal {
        self.metrics.count_memory_denial(what);
        self.log_level();
        let delay = spread_retry_after(rand::random());
        Refusal::not_run(Code::Overloaded, step, Peer::Local).with_retry_after(delay)
    }
}

/// Returns the memory that the process has in use, in bytes; 0 if the system
/// doesn't tell.
pub(crate) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next());
    let kib: Option<u64> = kib.and_then(|n| n.parse().ok());
    kib.map_or(0, |n| n * 1024)
}
