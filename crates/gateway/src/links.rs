//! Links to the other instances, kept open so that a forward needs no
//! handshake.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_sibling::Endpoint;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;

use crate::MemberRecord;

/// Pause after a connection that did not come up.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

#[derive(Debug)]
enum Slot {
    /// A connection is being made.
    Dialing,
    /// The connection of a process of the instance.
    Up(Link<Up>, u64),
    /// The last try failed at that time.
    Failed(Duration),
}

/// Links to the other instances.
#[derive(Debug)]
pub(crate) struct Links {
    endpoint: Endpoint,
    slots: RankedMutex<HashMap<Instance, Slot>>,
}

impl Links {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            slots: RankedMutex::new(LockRank::Links, HashMap::new()),
        }
    }

    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the open link to an instance.
    pub(crate) fn get(&self, name: &Instance) -> Option<Link<Up>> {
        match self.slots.lock().get(name) {
            Some(Slot::Up(link, _)) if !link.is_lost() => Some(link.clone()),
            _ => None,
        }
    }

    /// Lists the open links.
    pub(crate) fn open(&self) -> Vec<Link<Up>> {
        let slots = self.slots.lock();
        let up = slots.values().filter_map(|slot| match slot {
            Slot::Up(link, _) if !link.is_lost() => Some(link.clone()),
            _ => None,
        });
        up.collect()
    }

    /// Marks the instances to which a connection is to be made now, and
    /// returns them. Links to instances that are gone are closed.
    pub(crate) fn start_dialing(
        &self,
        others: Vec<MemberRecord>,
        now: Duration,
    ) -> Vec<MemberRecord> {
        let mut slots = self.slots.lock();
        let known: HashSet<Instance> = others.iter().map(|r| r.instance.clone()).collect();
        slots.retain(|name, _| known.contains(name));
        let mut to_dial = Vec::new();
        for record in others {
            let is_due = match slots.get(&record.instance) {
                None => true,
                Some(Slot::Dialing) => false,
                Some(Slot::Up(link, process)) => link.is_lost() || *process != record.incarnation,
                Some(Slot::Failed(at)) => now >= *at + RETRY_PAUSE,
            };
            if let Some(Slot::Up(link, _)) = slots.get(&record.instance)
                && is_due
            {
                let was = link.peer().instance.as_str();
                log::info!(target: "links", dependency = "sibling", instance = was; "link is lost");
            }
            if is_due {
                slots.insert(record.instance.clone(), Slot::Dialing);
                to_dial.push(record);
            }
        }
        to_dial
    }

    /// Connects to an instance that was marked.
    pub(crate) async fn dial(&self, record: &MemberRecord, now: Duration) -> bool {
        let connecting = self
            .endpoint
            .connect(&record.instance, &record.region, record.siblings);
        let (slot, up) = match connecting.await {
            Ok(link) => {
                log::info!(target: "links", dependency = "sibling", instance = record.instance.as_str(); "link is up");
                (Slot::Up(link, record.incarnation), true)
            }
            Err(e) => {
                log::debug!(target: "links", error:% = e; "no link");
                (Slot::Failed(now), false)
            }
        };
        self.slots.lock().insert(record.instance.clone(), slot);
        up
    }
}
