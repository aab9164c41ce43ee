//! Health of a target as a state machine, with ejection and slow start.

use std::fmt;
use std::time::Duration;

use statig::blocking::StateMachine;
use statig::prelude::*;

/// Number of consecutive failures that eject a target.
const FAILURE_THRESHOLD: u32 = 2;

/// Duration of the first ejection. It doubles with each further one.
const BASE_EJECTION: Duration = Duration::from_secs(5);

/// How many times the duration of an ejection may double from
/// [`BASE_EJECTION`].
const MAX_DOUBLINGS: u32 = 4;

/// Time after which another probe is sent if the last one has no result.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Share of a target's capacity that may be used right after it came back, in
/// thousandths.
const RAMP_START_PER_MILLE: u64 = 100;

/// An observation that may change the health of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthEvent {
    /// The target began to answer a request.
    Success,
    /// A request to the target failed.
    Failure,
    /// The target can't be reached or accepts no requests.
    Unreachable,
    /// A request was placed at the target.
    RequestPlaced,
    /// The target reported that it is about to stop.
    Leaving,
    /// The target reported that it accepts requests.
    Accepting,
    /// The target was restarted and has a cold cache.
    Restarted,
}

/// Whether new requests are sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthStatus {
    /// Requests are sent to it.
    Healthy,
    /// Requests are sent to it, but its last result was a failure.
    Suspect,
    /// Its ejection is over and one request is sent to it as a probe.
    Probe,
    /// No requests are sent to it, as it failed or can't be reached.
    Ejected,
    /// No requests are sent to it, as it is about to stop.
    Leaving,
}

/// A [`HealthEvent`] with its time, the input of the state machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedEvent {
    kind: HealthEvent,
    now: Duration,
}

/// Data of the state machine that is kept across states.
///
/// # Invariants
///
/// `ejections` counts the ejections since this target last answered while
/// healthy.
/// `returned_at` is when the target last came back or restarted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct HealthMachine {
    returned_at: Option<Duration>,
    ejections: u32,
}

impl HealthMachine {
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
impl HealthMachine {
    #[state(superstate = "any_state")]
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

    #[state(superstate = "any_state")]
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

    #[state(superstate = "any_state")]
    fn ejected(&mut self, until: &Duration, event: &TimedEvent) -> Outcome<State> {
        match event.kind {
            HealthEvent::RequestPlaced if event.now >= *until => {
                Transition(State::probing(event.now + PROBE_TIMEOUT))
            }
            // An answer to a request from before the ejection does not show
            // that the target has recovered.
            _ => Super,
        }
    }

    #[state(superstate = "any_state")]
    fn probing(&mut self, next_probe_at: &mut Duration, event: &TimedEvent) -> Outcome<State> {
        match event.kind {
            HealthEvent::Success => self.reinstate(event.now),
            HealthEvent::Failure | HealthEvent::Unreachable => self.eject(event.now),
            HealthEvent::RequestPlaced => {
                *next_probe_at = event.now + PROBE_TIMEOUT;
                Handled
            }
            _ => Super,
        }
    }

    #[state(superstate = "any_state")]
    fn leaving(&mut self, event: &TimedEvent) -> Outcome<State> {
        match event.kind {
            HealthEvent::Accepting => Transition(State::healthy()),
            _ => Super,
        }
    }

    #[superstate]
    fn any_state(&mut self, event: &TimedEvent) -> Outcome<State> {
        match event.kind {
            HealthEvent::Leaving => Transition(State::leaving()),
            // A restart ends any ejection, probing or leaving.
            HealthEvent::Restarted => self.reinstate(event.now),
            _ => Handled,
        }
    }
}

/// The health of a target.
#[derive(Default)]
pub struct Health {
    machine: StateMachine<HealthMachine>,
}

impl fmt::Debug for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Health").field(self.machine.state()).finish()
    }
}

impl Health {
    /// Updates the health by an observation.
    pub fn observe(&mut self, event: HealthEvent, now: Duration) {
        self.machine.handle(&TimedEvent { kind: event, now });
    }

    /// Returns the status, which decides whether new requests are sent to the
    /// target.
    pub fn status(&self, now: Duration) -> HealthStatus {
        match self.machine.state() {
            State::Healthy {} => HealthStatus::Healthy,
            State::Suspect { .. } => HealthStatus::Suspect,
            // While a probe runs, the target counts as ejected, until the next
            // probe is due.
            State::Ejected { until }
            | State::Probing {
                next_probe_at: until,
            } if now >= *until => HealthStatus::Probe,
            State::Ejected { .. } | State::Probing { .. } => HealthStatus::Ejected,
            State::Leaving {} => HealthStatus::Leaving,
        }
    }

    /// Returns the share of the target's capacity that may be used, in
    /// thousandths.
    ///
    /// After the target came back or restarted, the share grows to the whole
    /// within the time `ramp` (slow start).
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
