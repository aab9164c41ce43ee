//! The life of a sibling, as a state machine driven by what is said of it and
//! by its silence.
//!
//! What is said arrives in any order, so a transition only ever leads to a
//! higher status, or to a higher incarnation with whatever status it has.

use std::time::Duration;

use statig::Outcome;
use statig::blocking;
use statig::blocking::IntoStateMachine;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use super::Status;

/// A suspect that has not raised its incarnation for so long is dead.
pub const SUSPICION: Duration = Duration::from_secs(3);

/// Heartbeats in a row without an answer that make an instance suspect.
const MISSES: u32 = 2;

/// What happens to a sibling, or is said of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// Someone told of it.
    Told {
        /// The incarnation told of.
        incarnation: u64,
        /// Status of that incarnation.
        status: Status,
        /// When.
        at: Duration,
    },
    /// It spoke to this instance.
    Spoke,
    /// A heartbeat to it had no answer.
    Missed {
        /// When.
        at: Duration,
    },
    /// This instance was paused, so that silence meanwhile means nothing.
    Paused {
        /// How long.
        gap: Duration,
    },
    /// Time passed.
    Elapsed {
        /// Until when.
        now: Duration,
    },
}

/// What the states share.
///
/// # Invariants
///
/// `incarnation` never falls. `changed` is when it or the status last changed.
/// `misses` counts heartbeats in a row that had no answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Rules {
    incarnation: u64,
    changed: Duration,
    misses: u32,
}

impl IntoStateMachine for Rules {
    type State = Status;
    type Superstate<'sub> = ();
    type Event<'evt> = Event;
    type Context<'ctx> = ();

    fn initial() -> Status {
        Status::Starting
    }
}

impl blocking::State<Rules> for Status {
    fn call_handler(&mut self, rules: &mut Rules, event: &Event, (): &mut ()) -> Outcome<Self> {
        let next = rules.next(*self, *event);
        if next == *self {
            return Outcome::Handled;
        }
        Outcome::Transition(next)
    }
}

impl Rules {
    fn next(&mut self, status: Status, event: Event) -> Status {
        match event {
            Event::Told {
                incarnation,
                status: told,
                at,
            } => self.told(status, incarnation, told, at),
            Event::Missed { at } => self.missed(status, at),
            Event::Elapsed { now } => self.elapsed(status, now),
            Event::Spoke => {
                self.misses = 0;
                status
            }
            Event::Paused { gap } => {
                self.changed += gap;
                status
            }
        }
    }

    fn told(&mut self, status: Status, incarnation: u64, told: Status, at: Duration) -> Status {
        let renewed = incarnation > self.incarnation;
        let risen = incarnation == self.incarnation && told > status;
        if !renewed && !risen {
            return status;
        }
        *self = Self {
            incarnation,
            changed: at,
            misses: 0,
        };
        told
    }

    fn missed(&mut self, status: Status, at: Duration) -> Status {
        self.misses = self.misses.saturating_add(1);
        if self.misses < MISSES || status >= Status::Suspect {
            return status;
        }
        self.changed = at;
        Status::Suspect
    }

    fn elapsed(&mut self, status: Status, now: Duration) -> Status {
        if status != Status::Suspect || self.changed + SUSPICION > now {
            return status;
        }
        self.changed = now;
        Status::Dead
    }
}

/// The life of a sibling.
#[derive(Clone)]
pub(super) struct Life {
    machine: StateMachine<Rules>,
}

impl Life {
    /// Starts with what was first heard.
    pub(super) fn new(incarnation: u64, status: Status, changed: Duration) -> Self {
        let rules = Rules {
            incarnation,
            changed,
            misses: 0,
        };
        let mut life = Self {
            machine: rules.state_machine(),
        };
        life.handle(Event::Told {
            incarnation,
            status,
            at: changed,
        });
        life
    }

    /// Takes note of an event; true if it changed what others should know.
    pub(super) fn handle(&mut self, event: Event) -> bool {
        let before = (self.incarnation(), self.status());
        self.machine.handle(&event);
        before != (self.incarnation(), self.status())
    }

    pub(super) fn status(&self) -> Status {
        *self.machine.state()
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.machine.inner().incarnation
    }

    pub(super) fn changed(&self) -> Duration {
        self.machine.inner().changed
    }

    pub(super) fn has_missed(&self) -> bool {
        self.machine.inner().misses > 0
    }
}

impl std::fmt::Debug for Life {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let state = (self.status(), self.machine.inner());
        f.debug_tuple("Life").field(&state).finish()
    }
}
