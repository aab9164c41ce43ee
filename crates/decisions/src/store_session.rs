//! Availability of the store, as a state machine driven by the outcome of each
//! call.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use statig::Outcome;
use statig::blocking;
use statig::blocking::IntoStateMachine;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::backoff::Backoff;

/// Duration above which an answered call makes the session slow.
pub const SLOW_CALL: Duration = Duration::from_millis(500);

/// Consecutive failed calls after which the store counts as out, that is
/// unavailable.
pub const MAX_FAILURES: u32 = 3;

/// Delays between calls while the store is out.
pub const PROBE_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(500),
    cap: Duration::from_secs(8),
};

/// State of the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionState {
    /// Calls are answered in time.
    Up,
    /// Calls are answered slowly, or some of them fail.
    Slow,
    /// The store is unavailable: calls fail. Single calls probe whether the
    /// store answers again.
    Out,
}

impl SessionState {
    /// Returns the name of the state, as shown in status reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Slow => "slow",
            Self::Out => "out",
        }
    }
}

/// Outcome of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The store answered.
    Answered {
        /// Time between call and answer.
        elapsed: Duration,
    },
    /// The store did not answer.
    Failed {
        /// Time at which the call ended.
        at: Duration,
        /// Uniformly distributed random number, for the delay until the next
        /// probe.
        random: u64,
    },
}

/// Data shared by all states.
///
/// # Invariants
///
/// `failures` counts the failed calls since the last answer. `probe_at`, the
/// time of the next probe, is used only while the session is out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionData {
    failures: u32,
    probe_at: Duration,
}

impl IntoStateMachine for SessionData {
    type State = SessionState;
    type Superstate<'sub> = ();
    type Event<'evt> = CallOutcome;
    type Context<'ctx> = ();

    fn initial() -> SessionState {
        SessionState::Up
    }
}

impl blocking::State<SessionData> for SessionState {
    fn call_handler(
        &mut self,
        data: &mut SessionData,
        event: &CallOutcome,
        (): &mut (),
    ) -> Outcome<Self> {
        let next = match event {
            CallOutcome::Answered { elapsed } => data.on_answered(*elapsed),
            CallOutcome::Failed { at, random } => data.on_failed(*at, *random),
        };
        if next == *self {
            return Outcome::Handled;
        }
        Outcome::Transition(next)
    }
}

impl SessionData {
    fn on_answered(&mut self, elapsed: Duration) -> SessionState {
        self.failures = 0;
        if elapsed > SLOW_CALL {
            SessionState::Slow
        } else {
            SessionState::Up
        }
    }

    fn on_failed(&mut self, at: Duration, random: u64) -> SessionState {
        self.failures = self.failures.saturating_add(1);
        if self.failures < MAX_FAILURES {
            return SessionState::Slow;
        }
        self.probe_at = at + PROBE_BACKOFF.delay(self.failures - MAX_FAILURES + 1, random);
        SessionState::Out
    }
}

/// Tracks the availability of the store for one instance.
pub struct Session {
    machine: StateMachine<SessionData>,
}

impl Session {
    /// Creates a session in state [`SessionState::Up`].
    pub fn new() -> Self {
        Self {
            machine: SessionData::default().state_machine(),
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> SessionState {
        *self.machine.state()
    }

    /// Processes the outcome of a call.
    pub fn handle(&mut self, event: CallOutcome) {
        self.machine.handle(&event);
    }

    /// Returns true if a call may start now. While the session is out, only one
    /// call, the probe, may start per delay, and it is counted here. `random`
    /// is uniformly distributed.
    pub fn try_start_call(&mut self, now: Duration, random: u64) -> bool {
        if self.state() != SessionState::Out {
            return true;
        }
        let data = self.machine.inner();
        if now < data.probe_at {
            return false;
        }
        // The probe counts as failed until its outcome is known, so that no
        // other call starts at the same time.
        self.handle(CallOutcome::Failed { at: now, random });
        true
    }
}

impl Default for Session {
    fn default() -> Self {
        Self::new()
    }
}

impl std::fmt::Debug for Session {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Session").field(&self.state()).finish()
    }
}
