//! The health of a target as a state machine.

use std::fmt;
use std::time::Duration;

use statig::blocking::StateMachine;
use statig::prelude::*;

/// Failures in a row that eject a target.
const FAILURE_THRESHOLD: u32 = 2;

/// Time without new work after the first ejection; doubled with each further.
const BASE_EJECTION: Duration = Duration::from_secs(5);

/// The longest ejection is [`BASE_EJECTION`] doubled so many times.
const MAX_DOUBLINGS: u32 = 4;

/// Time for a probe to succeed before another one is sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// The share of a target that just returned, in thousandths.
const RAMP_START_PER_MILLE: u64 = 100;

/// Something that was seen of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// It answered.
    Success,
    /// It failed at a request.
    Failure,
    /// It can't be reached or takes no work.
    Unreachable,
    /// A request goes to it.
    RequestPlaced,
    /// It is about to stop.
    Leaving,
    /// It says that it takes work.
    Accepting,
    /// It started anew, with a cold cache.
    Restarted,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// It does.
    Healthy,
    /// It does, and failed lately.
    Suspect,
    /// It takes one request, which shows whether it came back.
    Probe,
    /// It takes none.
    Ejected,
    /// It takes none and will stop.
    Leaving,
}

/// A sign with its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedEvent {
    kind: HealthEvent,
    now: Duration,
}

/// What outlasts a state.
///
/// # Invariants
///
/// `ejections` counts the ejections since the last success outside of a probe.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Machine {
    returned_at: Option<Duration>,
    ejections: u32,
}

impl Machine {
    fn eject(&mut self, now: Duration) -> Outcome<State> {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        Transition(State::ejected(now + BASE_EJECTION * (1 << doublings)))
    }

    fn reinstate(&mut self, now: Duration) -> Outcome<State> {
        self.returned_at = Some(now);
        Transition(State::healthy())
    }
}

#[state_machine(
    initial = "State::healthy()",
    state(derive(Clone, Debug, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl Machine {
    #[state(superstate = "known")]
    fn healthy(&mut self, event: &TimedEvent) -> Outcome<State> {
        match event.kind {
            HealthEvent::Failure => Transition(State::suspect(1)),
            HealthEvent::Unreachable => self.eject(event.now),
            HealthEvent::Success => {
                self.ejections = 0;
                Handled
            }
            _ => Super,
        }
    }

    #[state(superstate = "known")]
    fn suspect(&mut self, failures: &mut u32, event: &TimedEvent) -> Outcome<State> {
        match event.kind {
            HealthEvent::Failure => {
                *failures += 1;
                if *failures < FAILURE_THRESHOLD {
                    return Handled;
                }
                self.eject(event.now)
            }
            HealthEvent::Unreachable => self.eject(event.now),
            HealthEvent::Success => Transition(State::healthy()),
            _ => Super,
        }
    }

    #[state(superstate = "known")]
    fn ejected(&mut self, until: &Duration, event: &TimedEvent) -> Outcome<State> {
        match event.kind {
            HealthEvent::RequestPlaced if event.now >= *until => {
                Transition(State::probing(event.now + PROBE_TIMEOUT))
            }
            // An answer to work from before the ejection shows nothing new.
            _ => Super,
        }
    }

    #[state(superstate = "known")]
    fn probing(&mut self, until: &mut Duration, event: &TimedEvent) -> Outcome<State> {
        match event.kind {
            HealthEvent::Success => self.reinstate(event.now),
            HealthEvent::Failure | HealthEvent::Unreachable => self.eject(event.now),
            HealthEvent::RequestPlaced => {
                *until = event.now + PROBE_TIMEOUT;
                Handled
            }
            _ => Super,
        }
    }

    #[state(superstate = "known")]
    fn leaving(&mut self, event: &TimedEvent) -> Outcome<State> {
        match event.kind {
            HealthEvent::Accepting => Transition(State::healthy()),
            _ => Super,
        }
    }

    #[superstate]
    fn known(&mut self, event: &TimedEvent) -> Outcome<State> {
        match event.kind {
            HealthEvent::Leaving => Transition(State::leaving()),
            HealthEvent::Restarted => self.reinstate(event.now),
            _ => Handled,
        }
    }
}

/// The health of a target.
#[derive(Default)]
pub struct Health {
    machine: StateMachine<Machine>,
}

impl fmt::Debug for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Health").field(self.machine.state()).finish()
    }
}

impl Health {
    /// Takes note of a sign.
    pub fn observe(&mut self, sign: HealthEvent, now: Duration) {
        self.machine.handle(&TimedEvent { kind: sign, now });
    }

    /// Tells whether the target takes new work.
    pub fn status(&self, now: Duration) -> HealthStatus {
        match self.machine.state() {
            State::Healthy {} => HealthStatus::Healthy,
            State::Suspect { .. } => HealthStatus::Suspect,
            State::Ejected { until } | State::Probing { until } if now >= *until => {
                HealthStatus::Probe
            }
            State::Ejected { .. } | State::Probing { .. } => HealthStatus::Ejected,
            State::Leaving {} => HealthStatus::Leaving,
        }
    }

    /// Returns the target's share of its full load, in thousandths, which it
    /// has again `ramp` after it returned.
    pub fn capacity_per_mille(&self, ramp: Duration, now: Duration) -> u64 {
        let Some(returned) = self.machine.inner().returned_at else {
            return 1000;
        };
        let elapsed = now.saturating_sub(returned);
        if elapsed >= ramp {
            return 1000;
        }
        let gained = (1000 - RAMP_START_PER_MILLE) * elapsed.as_millis() as u64;
        RAMP_START_PER_MILLE + gained / (ramp.as_millis() as u64).max(1)
    }
}
