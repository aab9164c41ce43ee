//! Whether the store answers, as a state machine driven by the outcome of
//! each call.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use statig::Outcome;
use statig::blocking;
use statig::blocking::IntoStateMachine;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::backoff::Backoff;

/// A call that takes longer makes the session slow.
pub const SLOW_CALL: Duration = Duration::from_millis(500);

/// Failed calls in a row after which the session is out.
pub const MAX_FAILURES: u32 = 3;

/// Delays between calls while the session is out.
pub const PROBE_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(500),
    cap: Duration::from_secs(8),
};

/// State of the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionState {
    /// Calls are answered.
    Up,
    /// Calls are answered late, or some of them not.
    Slow,
    /// Calls are not answered; one now and then finds out when they are.
    Out,
}

impl SessionState {
    /// Returns the state's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Slow => "slow",
            Self::Out => "out",
        }
    }
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The store answered.
    Answered {
        /// Time from the call to its answer.
        elapsed: Duration,
    },
    /// The store did not answer.
    Failed {
        /// When the call ended.
        at: Duration,
        /// A uniform random number.
        random: u64,
    },
}

/// What the states share.
///
/// # Invariants
///
/// `failures` counts the failed calls since the last answer; `probe_at`
/// matters only while the session is out.
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

/// The session of one instance with the store.
pub struct Session {
    machine: StateMachine<SessionData>,
}

impl Session {
    /// Starts a session.
    pub fn new() -> Self {
        Self {
            machine: SessionData::default().state_machine(),
        }
    }

    /// Returns the state.
    pub fn state(&self) -> SessionState {
        *self.machine.state()
    }

    /// Takes note of the outcome of a call.
    pub fn handle(&mut self, event: CallOutcome) {
        self.machine.handle(&event);
    }

    /// Tells whether a call may start. While the session is out only one may
    /// in each delay; `random` is uniform.
    pub fn may_call(&mut self, now: Duration, random: u64) -> bool {
        if self.state() != SessionState::Out {
            return true;
        }
        let data = self.machine.inner();
        if now < data.probe_at {
            return false;
        }
        // The probe counts as failed until its outcome is known, so that no
        // other call starts beside it.
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
