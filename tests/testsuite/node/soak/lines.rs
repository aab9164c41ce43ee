//! How callers reach instances, and where they note what they saw.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use support::node::KeptConnection;

use super::SLACK;
use super::callers::Seen;
use super::out_of_step::OutOfStep;
use super::world::Soak;

/// The instances of a run, for its callers.
#[derive(Clone, Debug)]
pub(super) struct Lines {
    fronts: Arc<Vec<Mutex<SocketAddr>>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    out_of_step: Arc<OutOfStep>,
}

impl Lines {
    pub(super) fn of(soak: &Soak) -> Self {
        Self {
            fronts: Arc::clone(&soak.fronts),
            seen: Arc::clone(&soak.seen),
            out_of_step: Arc::clone(&soak.out_of_step),
        }
    }

    /// Returns the number of instances.
    pub(super) fn instances(&self) -> usize {
        self.fronts.len()
    }

    /// Lists the instances that are out of step.
    pub(super) fn out_of_step(&self) -> Vec<usize> {
        self.out_of_step.list()
    }

    pub(super) fn note(&self, one: Seen) {
        self.seen.lock().expect("no panic under the lock").push(one);
    }

    pub(super) async fn connect_to(&self, at: usize) -> Option<KeptConnection> {
        let front = *self.fronts[at].lock().expect("no panic under the lock");
        let opening = tokio::time::timeout(SLACK, KeptConnection::try_open(front));
        opening.await.ok()?.ok()
    }
}
