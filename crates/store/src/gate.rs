//! Admits the client's calls: their rate, and whether the store answers.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use chiverelay_decisions::pacing;
use chiverelay_decisions::pacing::Pacer;
use chiverelay_decisions::store_session::CallOutcome;
use chiverelay_decisions::store_session::Session;
use chiverelay_decisions::store_session::SessionState;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::Calls;
use crate::Error;
use crate::Kind;

/// Instances assumed to share the store before their number is known.
const UNKNOWN_FLEET: u32 = 32;

/// The store's rates, which all instances share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Reads a second, waiting watches included.
    pub reads: f64,
    /// Writes a second.
    pub writes: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            reads: 2000.0,
            writes: 300.0,
        }
    }
}

/// Admits calls.
#[derive(Debug)]
pub struct Gate {
    start: Instant,
    budget: Budget,
    calls: Calls,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    rng: StdRng,
    session: Session,
    reads: Pacer,
    writes: Pacer,
    fleet: u32,
    /// Until when a writer's place is held.
    placed_until: Option<Instant>,
}

impl Inner {
    /// Sets the rates to this instance's parts.
    fn set_rates(&mut self, budget: &Budget) {
        let placed = self
            .placed_until
            .is_some_and(|until| Instant::now() < until);
        let writes = pacing::write_share(self.fleet, placed);
        self.writes.set_rate(budget.writes * writes);
        let reads = pacing::read_share(self.fleet);
        self.reads.set_rate(budget.reads * reads);
    }

    /// Lets calls start anew after an outage, without a burst.
    fn restart(&mut self, now: Duration) {
        let random = self.rng.next_u64();
        self.reads.restart(now, random);
        self.writes.restart(now, random);
    }
}

/// A call that may start now.
#[derive(Debug)]
#[must_use]
pub struct Permit<'a> {
    gate: &'a Gate,
    started: Instant,
}

impl Gate {
    /// Makes a gate for one instance; `seed` sets its jitter.
    pub fn new(budget: Budget, seed: u64) -> Self {
        let mut inner = Inner {
            rng: StdRng::seed_from_u64(seed),
            session: Session::new(),
            reads: Pacer::new(budget.reads),
            writes: Pacer::new(budget.writes),
            fleet: UNKNOWN_FLEET,
            placed_until: None,
        };
        inner.set_rates(&budget);
        Self {
            start: Instant::now(),
            budget,
            calls: Calls::default(),
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the number of instances that share the store.
    pub fn set_fleet(&self, instances: u32) {
        self.lock().fleet = instances;
    }

    /// Sets until when a writer's place is held, if it is.
    pub fn set_place(&self, until: Option<Instant>) {
        self.lock().placed_until = until;
    }

    /// Returns the session's state.
    pub fn state(&self) -> SessionState {
        self.lock().session.state()
    }

    /// Returns the counts of calls.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    fn reserve(&self, kind: Kind, patience: Duration) -> Result<Duration, Error> {
        let now = self.start.elapsed();
        let mut inner = self.lock();
        let random = inner.rng.next_u64();
        if !inner.session.try_start_call(now, random) {
            return Err(Error::Out);
        }
        inner.set_rates(&self.budget);
        let pacer = match kind.is_write() {
            true => &mut inner.writes,
            false => &mut inner.reads,
        };
        pacer.reserve(now, patience).ok_or(Error::Paced)
    }

    /// Waits until a call may start, at most for `patience`.
    ///
    /// # Errors
    ///
    /// Fails at once while the store is out, and if too many calls wait.
    pub async fn enter(&self, kind: Kind, patience: Duration) -> Result<Permit<'_>, Error> {
        let at = self.reserve(kind, patience)?;
        tokio::time::sleep_until(self.start + at).await;
        self.calls.count(kind);
        Ok(Permit {
            gate: self,
            started: Instant::now(),
        })
    }

    fn handle(&self, answered: Option<Duration>) {
        let at = self.start.elapsed();
        let mut inner = self.lock();
        let event = match answered {
            Some(took) => CallOutcome::Answered { elapsed: took },
            None => CallOutcome::Failed {
                at,
                random: inner.rng.next_u64(),
            },
        };
        let before = inner.session.state();
        inner.session.handle(event);
        let after = inner.session.state();
        if before == SessionState::Out && after != SessionState::Out {
            inner.restart(at);
        }
        if before != after {
            log::warn!("store: session is {}", after.as_str());
        }
    }
}

impl Permit<'_> {
    /// Returns when the call started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Takes note of the call's outcome.
    pub fn end<T>(self, result: &Result<T, Error>) {
        let answered = match result {
            Ok(_) => true,
            Err(Error::Refused { status }) => *status < 500,
            Err(_) => false,
        };
        self.gate.handle(answered.then(|| self.started.elapsed()));
    }
}
