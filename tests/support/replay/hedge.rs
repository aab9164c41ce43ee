//! Hedging: a request without its first token after a while goes to a second
//! engine too, and the first to answer has it.

use std::time::Duration;

use super::measure::Measures;
use super::policy::Policy;
use super::run::Action;
use super::run::Event;
use super::run::Held;
use super::run::World;
use super::trace::Trace;

/// Replays a trace by the gateway's decisions with hedging; returns also the
/// share of the requests that were hedged, in percent.
///
/// The second engine is chosen as for a retry, out of the same budget.
pub fn replay_hedged(trace: &Trace, policy: Policy, after: Duration) -> (Measures, f64) {
    let mut world = World::new(trace, policy);
    world.hedge_after = Some(after);
    world.run();
    let share = world.hedged as f64 * 100.0 / trace.asks.len() as f64;
    (world.measures(), share)
}

impl World<'_> {
    /// Notes a request that was sent to an engine of its region.
    pub(super) fn plan_hedge(&mut self, ask: usize) {
        if let Some(after) = self.hedge_after
            && matches!(self.jobs[ask].held, Held::Sent(_))
        {
            self.at(self.now + after, Event::Hedge(ask));
        }
    }

    /// Sends a request to a second engine if its first token is not out.
    pub(super) fn hedge(&mut self, ask: usize) {
        let job = &self.jobs[ask];
        let is_out = job.first.is_some_and(|first| first <= self.now);
        if is_out || job.copies.len() != 1 || !matches!(job.held, Held::Sent(_)) {
            return;
        }
        let held = std::mem::take(&mut self.jobs[ask].held);
        let asked = &self.trace.asks[ask];
        let action = self.gateways[self.jobs[ask].instance].place(asked, ask, held, self.now);
        if let Action::Send(engine, held) = action
            && self.engines[engine].up
        {
            self.hedged += 1;
            self.jobs[ask].held = held;
            self.start(ask, engine);
            let way = self.transfer(
                ask,
                self.engines[engine].region,
                self.engines[engine].region,
            );
            self.at(self.now + way, Event::Submit { ask, engine });
        }
    }

    /// Cancels a request at the engines that were not the first to answer.
    pub(super) fn cancel_others(&mut self, ask: usize, winner: usize) {
        let others: Vec<usize> = self.jobs[ask].copies.clone();
        for engine in others.into_iter().filter(|e| *e != winner) {
            self.engines[engine].waiting.retain(|a| *a != ask);
            self.engines[engine].batch.retain(|a| *a != ask);
            self.finish(ask, engine);
            self.fill(engine);
        }
    }
}
