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

use super::MemberStatus;

/// A suspect that has not raised its incarnation for so long is dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Heartbeats in a row without an answer that make an instance suspect.
const MISSES_UNTIL_SUSPECT: u32 = 2;

/// What happens to a sibling, or is said of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemberEvent {
    /// Someone told of it.
    Reported {
        /// The incarnation told of.
        incarnation: u64,
        /// Status of that incarnation.
        status: MemberStatus,
        /// When.
        at: Duration,
    },
    /// It spoke to this instance.
    MessageReceived,
    /// A heartbeat to it had no answer.
    HeartbeatMissed {
        /// When.
        at: Duration,
    },
    /// This instance was paused, so that silence meanwhile means nothing.
    ProcessPaused {
        /// How long.
        gap: Duration,
    },
    /// Time passed.
    Tick {
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
struct FailureDetector {
    incarnation: u64,
    changed_at: Duration,
    missed_heartbeats: u32,
}

impl IntoStateMachine for FailureDetector {
    type State = MemberStatus;
    type Superstate<'sub> = ();
    type Event<'evt> = MemberEvent;
    type Context<'ctx> = ();

    fn initial() -> MemberStatus {
        MemberStatus::Starting
    }
}

impl blocking::State<FailureDetector> for MemberStatus {
    fn call_handler(
        &mut self,
        detector: &mut FailureDetector,
        event: &MemberEvent,
        (): &mut (),
    ) -> Outcome<Self> {
        let next = detector.next_status(*self, *event);
        if next == *self {
            return Outcome::Handled;
        }
        Outcome::Transition(next)
    }
}

impl FailureDetector {
    fn next_status(&mut self, status: MemberStatus, event: MemberEvent) -> MemberStatus {
        match event {
            MemberEvent::Reported {
                incarnation,
                status: reported,
                at,
            } => self.on_reported(status, incarnation, reported, at),
            MemberEvent::HeartbeatMissed { at } => self.on_heartbeat_missed(status, at),
            MemberEvent::Tick { now } => self.on_tick(status, now),
            MemberEvent::MessageReceived => {
                self.missed_heartbeats = 0;
                status
            }
            MemberEvent::ProcessPaused { gap } => {
                self.changed_at += gap;
                status
            }
        }
    }

    fn on_reported(
        &mut self,
        status: MemberStatus,
        incarnation: u64,
        reported: MemberStatus,
        at: Duration,
    ) -> MemberStatus {
        let is_newer_incarnation = incarnation > self.incarnation;
        let is_higher_status = incarnation == self.incarnation && reported > status;
        if !is_newer_incarnation && !is_higher_status {
            return status;
        }
        *self = Self {
            incarnation,
            changed_at: at,
            missed_heartbeats: 0,
        };
        reported
    }

    fn on_heartbeat_missed(&mut self, status: MemberStatus, at: Duration) -> MemberStatus {
        self.missed_heartbeats = self.missed_heartbeats.saturating_add(1);
        if self.missed_heartbeats < MISSES_UNTIL_SUSPECT || status >= MemberStatus::Suspect {
            return status;
        }
        self.changed_at = at;
        MemberStatus::Suspect
    }

    fn on_tick(&mut self, status: MemberStatus, now: Duration) -> MemberStatus {
        if status != MemberStatus::Suspect || self.changed_at + SUSPICION_TIMEOUT > now {
            return status;
        }
        self.changed_at = now;
        MemberStatus::Dead
    }
}

/// The life of a sibling.
#[derive(Clone)]
pub(super) struct Life {
    machine: StateMachine<FailureDetector>,
}

impl Life {
    /// Starts with what was first heard.
    pub(super) fn new(incarnation: u64, status: MemberStatus, changed_at: Duration) -> Self {
        let detector = FailureDetector {
            incarnation,
            changed_at,
            missed_heartbeats: 0,
        };
        let mut life = Self {
            machine: detector.state_machine(),
        };
        life.handle(MemberEvent::Reported {
            incarnation,
            status,
            at: changed_at,
        });
        life
    }

    /// Takes note of an event; true if it changed what others should know.
    pub(super) fn handle(&mut self, event: MemberEvent) -> bool {
        let before = (self.incarnation(), self.status());
        self.machine.handle(&event);
        before != (self.incarnation(), self.status())
    }

    pub(super) fn status(&self) -> MemberStatus {
        *self.machine.state()
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.machine.inner().incarnation
    }

    pub(super) fn changed_at(&self) -> Duration {
        self.machine.inner().changed_at
    }

    pub(super) fn has_missed_heartbeats(&self) -> bool {
        self.machine.inner().missed_heartbeats > 0
    }
}

impl std::fmt::Debug for Life {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let state = (self.status(), self.machine.inner());
        f.debug_tuple("Life").field(&state).finish()
    }
}
