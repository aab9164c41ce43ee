//! The requests of a run that reached targets.

use std::collections::HashMap;
use std::time::Instant;

use super::trouble::Trouble;
use super::world::Soak;

/// A request that reached a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrived {
    /// Index of the target.
    pub(super) target: usize,
    pub(super) at: Instant,
    /// Whether the target ran it: one that was meant for another is refused, and
    /// so is one for which there is no room.
    is_run: bool,
}

/// The requests that reached targets, by their ids.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    arrived: HashMap<String, Vec<Arrived>>,
    /// Targets in whose place one in trouble had a request.
    in_trouble: HashMap<String, Vec<usize>>,
}

impl Arrivals {
    pub(super) fn of(soak: &Soak) -> Self {
        let mut arrivals = Self::default();
        for (at, target) in soak.targets.iter().enumerate() {
            for id in target.trouble.iter().flat_map(Trouble::requests) {
                arrivals.in_trouble.entry(id).or_default().push(at);
            }
            let target = &target.target;
            for arrival in target.arrivals() {
                let id = arrival.header("request-id").to_owned();
                let arrived = Arrived {
                    target: at,
                    at: arrival.at,
                    is_run: arrival.header("target-instance") == target.name
                        && !arrival.is_rejected,
                };
                arrivals.arrived.entry(id).or_default().push(arrived);
            }
        }
        arrivals
    }

    /// Returns each arrival of a request at a sound target.
    pub(super) fn all(&self, id: &str) -> &[Arrived] {
        self.arrived.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the targets that ran a request, as often as they did.
    pub(super) fn runs(&self, id: &str) -> Vec<usize> {
        let run = self.all(id).iter().filter(|arrived| arrived.is_run);
        let in_trouble = self.in_trouble.get(id).into_iter().flatten();
        run.map(|arrived| arrived.target)
            .chain(in_trouble.copied())
            .collect()
    }
}
