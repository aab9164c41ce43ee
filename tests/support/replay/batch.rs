//! Requests at the engines: they wait, are served in a batch, and end.

use super::measure::DEADLINE;
use super::run::Event;
use super::run::FAR;
use super::run::NEAR;
use super::run::World;

impl World<'_> {
    pub(super) fn submit(&mut self, ask: usize, engine: usize) {
        if !self.jobs[ask].copies.contains(&engine) {
            // It was cancelled on its way.
            return;
        }
        if !self.engines[engine].up {
            self.finish(ask, engine);
            self.fail(ask, engine, false);
            return;
        }
        self.engines[engine].waiting.push_back(ask);
        self.fill(engine);
    }

    /// Takes waiting requests into the batch.
    pub(super) fn fill(&mut self, engine: usize) {
        while self.engines[engine].has_room() {
            let Some(ask) = self.engines[engine].waiting.pop_front() else {
                return;
            };
            let it = &self.trace.asks[ask];
            if self.now > it.at + DEADLINE {
                // Its caller has left.
                self.finish(ask, engine);
                continue;
            }
            let e = &mut self.engines[engine];
            let (first, done) = e.admit(ask, it.prompt, it.answer, &it.chain, self.now);
            let incarnation = e.incarnation;
            let back = match e.region == it.region {
                true => NEAR,
                false => FAR,
            };
            let earlier = self.jobs[ask].first.unwrap_or(first + back);
            self.jobs[ask].first = Some(earlier.min(first + back));
            self.at(
                first,
                Event::First {
                    ask,
                    engine,
                    incarnation,
                },
            );
            self.at(
                done,
                Event::Done {
                    ask,
                    engine,
                    incarnation,
                },
            );
        }
    }

    /// Tells whether an engine still serves a request that it began with.
    fn serves(&self, ask: usize, engine: usize, incarnation: u64) -> bool {
        let e = &self.engines[engine];
        e.incarnation == incarnation && e.batch.contains(&ask)
    }

    /// Takes note of an answer's first token.
    pub(super) fn first(&mut self, ask: usize, engine: usize, incarnation: u64) {
        if !self.serves(ask, engine, incarnation) {
            return;
        }
        self.jobs[ask].first.get_or_insert(self.now + NEAR);
        self.cancel_others(ask, engine);
        if let Some(gateway) = self.gateways.get(self.jobs[ask].instance) {
            gateway.succeed(&self.names[engine], self.now);
        }
    }

    /// Ends a request, and lets those that wait take its place.
    pub(super) fn done(&mut self, ask: usize, engine: usize, incarnation: u64) {
        if !self.serves(ask, engine, incarnation) {
            return;
        }
        self.engines[engine].batch.retain(|a| *a != ask);
        self.finish(ask, engine);
        self.fill(engine);
    }
}
