//! Requests in flight at a target by their priority.

use super::InFlight;

/// Requests in flight at one target with one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PriorityLoad {
    priority: u8,
    in_flight: InFlight,
}

/// Requests in flight at one target by their priority, as engines admit the
/// most urgent ones first.
///
/// # Invariants
///
/// Each priority stands at most once, and only with requests or prompt tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LoadByPriority(Vec<PriorityLoad>);

impl LoadByPriority {
    /// Tells whether there are no requests. Prompt tokens may be left of some.
    pub(super) fn is_idle(&self) -> bool {
        self.0.iter().all(|level| level.in_flight.running == 0)
    }

    /// Returns the sum of the requests that are at least as urgent.
    pub(super) fn ahead_of(&self, priority: u8) -> InFlight {
        let mut sum = InFlight::default();
        for level in self.0.iter().filter(|level| level.priority <= priority) {
            sum.add(level.in_flight);
        }
        sum
    }

    /// Lists the requests of each priority.
    pub(super) fn levels(&self) -> impl Iterator<Item = (u8, InFlight)> {
        self.0.iter().map(|level| (level.priority, level.in_flight))
    }

    pub(super) fn add(&mut self, priority: u8, in_flight: InFlight) {
        if in_flight == InFlight::default() {
            return;
        }
        match self.0.iter_mut().find(|level| level.priority == priority) {
            Some(level) => level.in_flight.add(in_flight),
            None => self.0.push(PriorityLoad {
                priority,
                in_flight,
            }),
        }
    }

    pub(super) fn subtract(&mut self, priority: u8, in_flight: InFlight) {
        if let Some(level) = self.0.iter_mut().find(|level| level.priority == priority) {
            level.in_flight.subtract(in_flight);
        }
        self.0
            .retain(|level| level.in_flight != InFlight::default());
    }
}
