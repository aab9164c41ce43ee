//! The requests of a run that reached targets.

use std::collections::HashMap;
use std::time::Instant;

use super::world::Soak;

/// A request that reached a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrived {
    /// Index of the target.
    pub(super) target: usize,
    pub(super) at: Instant,
    /// Whether the target ran it: one that was meant for another is refused.
    is_run: bool,
}

/// The requests that reached targets, by their ids.
#[derive(Debug)]
pub(super) struct Arrivals(HashMap<String, Vec<Arrived>>);

impl Arrivals {
    pub(super) fn of(soak: &Soak) -> Self {
        let mut arrivals: HashMap<String, Vec<Arrived>> = HashMap::new();
        for (at, target) in soak.targets.iter().enumerate() {
            let target = &target.target;
            for arrival in target.arrivals() {
                let id = arrival.header("request-id").to_owned();
                let arrived = Arrived {
                    target: at,
                    at: arrival.at,
                    is_run: arrival.header("target-instance") == target.name,
                };
                arrivals.entry(id).or_default().push(arrived);
            }
        }
        Self(arrivals)
    }

    /// Returns each arrival of a request.
    pub(super) fn all(&self, id: &str) -> &[Arrived] {
        self.0.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the targets that ran a request, as often as they did.
    pub(super) fn runs(&self, id: &str) -> Vec<usize> {
        let run = self.all(id).iter().filter(|arrived| arrived.is_run);
        run.map(|arrived| arrived.target).collect()
    }
}
