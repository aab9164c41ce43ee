//! What the tasks of requests and polls learn, told to the worker whom it
//! concerns.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::request::Grant;

use crate::context::Context;
use crate::workers;

/// A sign of a target's health, as in [`gateway::record_failure`].
type Sign = fn(&Tables, &Target, Duration);

impl Context {
    /// Gives an account back what a request did not use of its charge.
    pub(crate) fn settle(&self, grant: &Arc<Grant>, used: u64) {
        let Some(account) = &grant.account else {
            return;
        };
        let (grant, clock) = (Arc::clone(grant), self.clock);
        self.pool.tell(account.as_str(), move |tables| {
            gateway::settle_charge(tables, &grant, used, clock.now());
        });
    }

    /// Counts a request as ended at its target.
    pub(crate) fn finish(&self, pool: &Pool, target: &Target) {
        finish(&self.pool, pool, target);
    }

    /// Takes note of a sign of a target's health.
    pub(crate) fn observe(&self, pool: &Pool, target: &Target, sign: Sign) {
        let (target, clock) = (target.clone(), self.clock);
        self.pool.tell(pool.as_str(), move |tables| {
            sign(tables, &target, clock.now());
        });
    }

    /// Takes note that a sibling can't be reached with a request for a pool.
    pub(crate) fn miss(&self, pool: &Pool, instance: &Instance) {
        let instance = instance.clone();
        self.pool.tell(pool.as_str(), move |tables| {
            gateway::mark_sibling_unavailable(tables, &instance);
        });
    }

    /// Wakes waiting requests for the slots that are free.
    pub(crate) fn pump(&self) {
        for pool in gateway::waiting_pools(&self.tables) {
            let (name, here, clock) = (pool.clone(), self.settings.region.clone(), self.clock);
            self.pool.tell(pool.as_str(), move |tables| {
                gateway::wake_pool(tables, &name, &here, clock.now());
            });
        }
    }
}

/// Counts a request as ended at its target.
pub(crate) fn finish(workers: &workers::Pool, pool: &Pool, target: &Target) {
    let target = target.clone();
    workers.tell(pool.as_str(), move |tables| {
        gateway::request_finished(tables, &target);
    });
}
