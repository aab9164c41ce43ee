//! Life cycle of another instance as a state machine, driven by reports about
//! the instance and by unanswered heartbeats.
//!
//! Reports arrive in any order, so a transition leads only to a higher status,
//! or to a higher incarnation with any status.

use std::time::Duration;

use statig::Outcome;
use statig::blocking;
use statig::blocking::IntoStateMachine;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use super::MemberStatus;

/// Time after which a suspect that has not raised its incarnation is dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Consecutive unanswered heartbeats after which an instance becomes suspect.
const MISSES_UNTIL_SUSPECT: u32 = 2;

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemberEvent {
    /// An instance, possibly the member itself, reported the member's state.
    Reported {
        /// Reported incarnation.
        incarnation: u64,
        /// Reported status of that incarnation.
        status: MemberStatus,
        /// Time at which the report arrived.
        at: Duration,
    },
    /// This instance received a message from the member.
    MessageReceived,
    /// A heartbeat to the member was not answered.
    HeartbeatMissed {
        /// Time at which the heartbeat timed out.
        at: Duration,
    },
    /// This process was paused, so missing messages in that time do not count
    /// against the member.
    ProcessPaused {
        /// Duration of the pause.
        gap: Duration,
    },
    /// Periodic check for expired timeouts.
    Tick {
        /// Current time.
        now: Duration,
    },
}

/// Data shared by all states.
///
/// # Invariants
///
/// `incarnation` never decreases. `changed_at` is the time at which the
/// incarnation or the status last changed, plus the pauses of this process
/// since then, which extend the suspicion timeout. `missed_heartbeats` counts
/// the consecutive heartbeats that were not answered.
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

/// Life cycle of another instance.
#[derive(Clone)]
pub(super) struct MemberLifecycle {
    machine: StateMachine<FailureDetector>,
}

impl MemberLifecycle {
    /// Starts with the first reported incarnation and status.
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

    /// Processes an event. Returns true if the incarnation or the status
    /// changed, so that the change must be gossiped.
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

impl std::fmt::Debug for MemberLifecycle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let state = (self.status(), self.machine.inner());
        f.debug_tuple("Life").field(&state).finish()
    }
}
