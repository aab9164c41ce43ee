//! The faults of a run that may cost a request its answer.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Time after a fault in which connections may still end because of it.
const AFTERMATH: Duration = Duration::from_millis(1000);

/// What a fault struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// The instance at this index.
    Instance(usize),
    /// The target at this index, or the link to it.
    Target(usize),
    /// The store.
    Store,
    /// The way of the instance at this index to the store.
    StoreLink(usize),
}

#[derive(Clone, Copy, Debug)]
struct Fault {
    scope: Scope,
    begun: Instant,
    ended: Option<Instant>,
}

/// The faults of a run.
#[derive(Debug, Default)]
pub(super) struct Record(Mutex<Vec<Fault>>);

impl Record {
    /// Records that a fault begins, and returns its number.
    pub(super) fn begin(&self, scope: Scope) -> usize {
        let mut faults = self.0.lock().expect("no panic under the lock");
        faults.push(Fault {
            scope,
            begun: Instant::now(),
            ended: None,
        });
        faults.len() - 1
    }

    /// Records that a fault has ended.
    pub(super) fn end(&self, fault: usize) {
        let mut faults = self.0.lock().expect("no panic under the lock");
        faults[fault].ended = Some(Instant::now());
    }

    /// Returns the first moment from `at` on that has no fault of a scope that
    /// `counts` in the `calm` time before it. There is none while such a fault
    /// lasts.
    pub(super) fn calm_after<F>(&self, at: Instant, calm: Duration, counts: F) -> Option<Instant>
    where
        F: Fn(Scope) -> bool,
    {
        let faults = self.0.lock().expect("no panic under the lock");
        let mut at = at;
        // In the order in which they began.
        for fault in faults.iter().filter(|fault| counts(fault.scope)) {
            if fault.begun <= at {
                at = at.max(fault.ended? + calm);
            }
        }
        Some(at)
    }

    /// Tells whether a fault of a scope that `counts` touched a span of time.
    pub(super) fn touches<F>(&self, from: Instant, until: Instant, counts: F) -> bool
    where
        F: Fn(Scope) -> bool,
    {
        let faults = self.0.lock().expect("no panic under the lock");
        faults.iter().any(|fault| {
            let is_over = fault.ended.is_some_and(|ended| ended + AFTERMATH < from);
            counts(fault.scope) && fault.begun <= until && !is_over
        })
    }
}
