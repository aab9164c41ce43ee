//! What goes wrong while a trace is replayed.

use std::time::Duration;

use super::run::Event;
use super::run::World;
use super::trace::Fault;

impl World<'_> {
    pub(super) fn fault_begins(&mut self) {
        match self.trace.fault {
            Fault::None | Fault::Restart { .. } => {}
            Fault::Crash { region } => {
                let some = self.engines_of(region).into_iter().step_by(2);
                for engine in some.collect::<Vec<_>>() {
                    self.take_down(engine);
                }
            }
            Fault::Cut { region } => self.cut = Some(region),
            Fault::Slow { engine } => self.engines[engine].slow = true,
            Fault::Leave { engine } => {
                self.engines[engine].leaving = true;
                self.at(self.now + Duration::from_secs(3), Event::EngineGone(engine));
            }
        }
    }

    pub(super) fn fault_ends(&mut self) {
        self.cut = None;
        if let Fault::Restart { region } = self.trace.fault {
            for engine in self.engines_of(region) {
                self.take_down(engine);
            }
        }
        for engine in &mut self.engines {
            engine.up = true;
            engine.leaving = false;
            engine.slow = false;
        }
    }

    fn engines_of(&self, region: usize) -> Vec<usize> {
        (0..self.engines.len())
            .filter(|e| self.engines[*e].region == region)
            .collect()
    }

    /// Takes an engine down, with its requests and its cache.
    ///
    /// An engine that leaves ends its running work.
    pub(super) fn take_down(&mut self, engine: usize) {
        self.engines[engine].up = false;
        if self.engines[engine].leaving {
            return;
        }
        for ask in self.engines[engine].restart() {
            self.finish(ask, engine);
            if self.jobs[ask].first.is_none_or(|first| first > self.now) {
                self.jobs[ask].first = None;
                self.fail(ask, engine, false);
            }
        }
    }
}
