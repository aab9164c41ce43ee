//! Connections to the other instances, kept open so that forwarding a request
//! needs no handshake.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::tables::EntryGuard;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_sibling::Endpoint;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;

use crate::MemberRecord;

/// Delay before a failed connection is tried again.
const REDIAL_DELAY: Duration = Duration::from_millis(700);

#[derive(Debug)]
enum LinkState {
    /// A connection is being established.
    Dialing,
    /// An open connection, and the incarnation of the process it leads to.
    /// `Up` marks a link that can carry messages.
    Open(Link<Up>, u64),
    /// The attempt to connect failed. It began at this time.
    Failed(Duration),
}

/// Connections to the other instances, one for each.
#[derive(Debug)]
pub(crate) struct Links {
    endpoint: Endpoint,
    states: RankedMutex<HashMap<Instance, LinkState>>,
}

impl Links {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            states: RankedMutex::new(LockRank::Links, HashMap::new()),
        }
    }

    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the open link to an instance, if there is one.
    pub(crate) fn get(&self, name: &Instance) -> Option<Link<Up>> {
        match self.states.lock().get(name) {
            Some(LinkState::Open(link, _)) if !link.is_lost() => Some(link.clone()),
            _ => None,
        }
    }

    /// Lists the open links.
    pub(crate) fn list_open(&self) -> Vec<Link<Up>> {
        let states = self.states.lock();
        let up = states.values().filter_map(|state| match state {
            LinkState::Open(link, _) if !link.is_lost() => Some(link.clone()),
            _ => None,
        });
        up.collect()
    }

    /// Drops the links to instances that are not in `others`. Closes the links
    /// to processes that were replaced. Marks the instances that need a new
    /// connection as dialing, and returns them.
    pub(crate) fn mark_due_for_dialing(
        &self,
        others: Vec<MemberRecord>,
        now: Duration,
    ) -> Vec<MemberRecord> {
        let mut states = self.states.lock();
        let known: HashSet<Instance> = others.iter().map(|r| r.instance.clone()).collect();
        states.retain(|name, _| known.contains(name));
        let mut to_dial = Vec::new();
        for record in others {
            let is_due = match states.get(&record.instance) {
                None => true,
                Some(LinkState::Dialing) => false,
                Some(LinkState::Open(link, incarnation)) => {
                    link.is_lost() || *incarnation != record.incarnation
                }
                Some(LinkState::Failed(at)) => now >= *at + REDIAL_DELAY,
            };
            if let Some(LinkState::Open(link, _)) = states.get(&record.instance)
                && is_due
            {
                let name = link.peer().instance.as_str();
                log::info!(target: "links", dependency = "sibling", instance = name; "link is lost, or the instance has restarted");
                // What waits for an answer of the process before fails at once.
                link.clone().close();
            }
            if is_due {
                states.insert(record.instance.clone(), LinkState::Dialing);
                to_dial.push(record);
            }
        }
        to_dial
    }

    /// Connects to an instance that was marked as dialing. Returns whether the
    /// connection was established.
    pub(crate) async fn dial(&self, record: &MemberRecord, now: Duration) -> bool {
        // Without an outcome the instance is due for dialing again.
        let dialing = EntryGuard::new(&self.states, record.instance.clone());
        let connecting = self
            .endpoint
            .connect(&record.instance, &record.region, record.siblings);
        let (state, is_up) = match connecting.await {
            Ok(link) => {
                log::info!(target: "links", dependency = "sibling", instance = record.instance.as_str(); "link is up");
                (LinkState::Open(link, record.incarnation), true)
            }
            Err(e) => {
                log::debug!(target: "links", error:% = e; "connection to instance failed");
                (LinkState::Failed(now), false)
            }
        };
        dialing.replace(state);
        is_up
    }
}
