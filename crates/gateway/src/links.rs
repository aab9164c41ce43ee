//! Connections to the other instances, kept open so that forwarding a request
//! needs no handshake.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::tables::EntryGuard;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_sibling::Connected;
use chiverelay_sibling::Endpoint;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;

use crate::MemberRecord;
use crate::Metrics;

/// Delay before a failed connection is tried again.
const REDIAL_DELAY: Duration = Duration::from_millis(700);

/// An open connection to a process.
#[derive(Clone, Debug)]
struct OpenLink {
    /// `Up` marks a link that can carry messages.
    link: Link<Up>,
    /// Number of datagrams that had arrived at the last look.
    received_datagrams: u64,
}

/// The connection to the process before, which is closed once the one that has
/// replaced it is reached. The record of another process alone is no evidence,
/// as it may be older than the connection.
type FormerLink = Option<OpenLink>;

#[derive(Debug)]
enum LinkState {
    /// A connection is being established.
    Dialing(FormerLink),
    /// The connection is open.
    Open(OpenLink),
    /// The attempt to connect failed. It began at this time.
    Failed(Duration, FormerLink),
}

impl LinkState {
    /// Returns the open connection of this state, or that to the process
    /// before.
    fn into_link(self) -> FormerLink {
        match self {
            Self::Open(open) => Some(open),
            Self::Dialing(former) | Self::Failed(_, former) => former,
        }
    }
}

/// Why this instance closes a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseCause {
    /// Nothing listens at the address of the other process any more.
    InstanceEnded,
    /// Another process was reached in its place.
    InstanceReplaced,
    /// This instance stops.
    OwnStop,
}

impl CloseCause {
    /// Returns the cause's name in metrics and log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::InstanceEnded => "instance ended",
            Self::InstanceReplaced => "instance replaced",
            Self::OwnStop => "own stop",
        }
    }
}

/// Connections to other instances.
#[derive(Debug)]
pub(crate) struct Links {
    endpoint: Endpoint,
    metrics: Arc<Metrics>,
    states: RankedMutex<HashMap<Instance, LinkState>>,
}

impl Links {
    pub(crate) fn new(endpoint: Endpoint, metrics: Arc<Metrics>) -> Self {
        Self {
            endpoint,
            metrics,
            states: RankedMutex::new(LockRank::Links, HashMap::new()),
        }
    }

    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Closes a link, which breaks off the answers that it carries.
    pub(crate) fn close<S>(&self, link: Link<S>, cause: CloseCause)
    where
        S: Connected,
    {
        let cut = link.open_answers();
        self.metrics.count_cut_answers(cause, cut);
        let instance = link.peer().instance.clone();
        log::info!(
            target: "links",
            dependency = "sibling",
            instance = instance.as_str(),
            certificate:% = link.certificate(),
            cause = cause.as_str(),
            cut;
            "link closed"
        );
        link.close();
    }

    /// Closes all links and waits until the other instances know.
    pub(crate) async fn close_all(&self) {
        let open = self.list_open();
        let cut = open.iter().map(Link::open_answers).sum();
        self.metrics.count_cut_answers(CloseCause::OwnStop, cut);
        log::info!(target: "links", cut; "all links closed");
        self.endpoint.close().await;
    }

    /// Returns the open link to an instance, if there is one.
    pub(crate) fn get(&self, name: &Instance) -> Option<Link<Up>> {
        match self.states.lock().get(name) {
            Some(LinkState::Open(open)) if !open.link.is_lost() => Some(open.link.clone()),
            _ => None,
        }
    }

    /// Lists the open links.
    pub(crate) fn list_open(&self) -> Vec<Link<Up>> {
        let states = self.states.lock();
        let up = states.values().filter_map(|state| match state {
            LinkState::Open(open) if !open.link.is_lost() => Some(open.link.clone()),
            _ => None,
        });
        up.collect()
    }

    /// Lists the instances of a region to which there is an open link.
    pub(crate) fn list_open_in(&self, region: &Region) -> Vec<Instance> {
        let states = self.states.lock();
        let up = states.values().filter_map(|state| match state {
            LinkState::Open(open) if !open.link.is_lost() => Some(open.link.peer()),
            _ => None,
        });
        let in_region = up.filter(|peer| peer.region == *region);
        in_region.map(|peer| peer.instance.clone()).collect()
    }

    /// Lists the processes from which datagrams have arrived since the last
    /// call, by the digests of their certificates.
    pub(crate) fn take_contacts(&self) -> Vec<(Instance, Arc<str>)> {
        let mut states = self.states.lock();
        let mut contacts = Vec::new();
        for (name, state) in states.iter_mut() {
            if let LinkState::Open(open) = state
                && open.take_contact()
            {
                contacts.push((name.clone(), Arc::clone(open.link.certificate())));
            }
        }
        contacts
    }

    /// Drops the links to instances that are not in `linked`. Marks the
    /// instances that need a new connection as dialing, and returns them.
    pub(crate) fn mark_due_for_dialing(
        &self,
        linked: Vec<MemberRecord>,
        now: Duration,
    ) -> Vec<MemberRecord> {
        let mut states = self.states.lock();
        let known: HashSet<Instance> = linked.iter().map(|r| r.instance.clone()).collect();
        states.retain(|name, _| known.contains(name));
        let mut to_dial = Vec::new();
        for record in linked {
            let is_due = match states.get(&record.instance) {
                None => true,
                Some(LinkState::Dialing(_)) => false,
                Some(LinkState::Open(open)) => !open.leads_to(&record),
                Some(LinkState::Failed(at, _)) => now >= *at + REDIAL_DELAY,
            };
            if !is_due {
                continue;
            }
            let state = states.remove(&record.instance);
            if let Some(LinkState::Open(open)) = &state {
                open.log_unusable(&record);
            }
            let state = match state.and_then(LinkState::into_link) {
                Some(open) if open.leads_to(&record) => LinkState::Open(open),
                former => {
                    to_dial.push(record.clone());
                    LinkState::Dialing(former)
                }
            };
            states.insert(record.instance, state);
        }
        to_dial
    }

    /// Connects to an instance that was marked as dialing, and closes the link
    /// to the process before. Returns whether the connection was established.
    pub(crate) async fn dial(&self, record: &MemberRecord, now: Duration) -> bool {
        // Without an outcome the instance is due for dialing again.
        let dialing = EntryGuard::new(&self.states, record.instance.clone());
        let connecting = self
            .endpoint
            .connect(&record.instance, &record.region, record.siblings);
        let connected = connecting.await;
        let former = dialing.take().and_then(LinkState::into_link);
        let (state, is_up) = match connected {
            Ok(link) => {
                log_up(record, &link);
                (LinkState::Open(self.choose(former, link)), true)
            }
            Err(e) => {
                log::debug!(target: "links", error:% = e; "connection to instance failed");
                (LinkState::Failed(now, former), false)
            }
        };
        self.states.lock().insert(record.instance.clone(), state);
        is_up
    }

    /// Returns the link to use from now on: the former one if the new one leads
    /// to the same process, which the new one has carried nothing to yet.
    fn choose(&self, former: FormerLink, link: Link<Up>) -> OpenLink {
        let Some(former) = former.filter(|former| !former.link.is_lost()) else {
            return OpenLink::new(link);
        };
        if former.link.certificate() == link.certificate() {
            return former;
        }
        // What waits for an answer of that process fails at once.
        self.close(former.link, CloseCause::InstanceReplaced);
        OpenLink::new(link)
    }
}

fn log_up(record: &MemberRecord, link: &Link<Up>) {
    log::info!(
        target: "links",
        dependency = "sibling",
        instance = record.instance.as_str(),
        incarnation = record.incarnation,
        expected = record.certificate.as_str(),
        certificate = link.certificate();
        "link is up"
    );
}

impl OpenLink {
    fn new(link: Link<Up>) -> Self {
        Self {
            link,
            received_datagrams: 0,
        }
    }

    /// Logs why the link is dialed again under a record.
    fn log_unusable(&self, record: &MemberRecord) {
        let reason = match self.link.is_lost() {
            true => "lost",
            false => "leads to another process",
        };
        log::info!(
            target: "links",
            dependency = "sibling",
            instance = record.instance.as_str(),
            incarnation = record.incarnation,
            expected = record.certificate.as_str(),
            certificate:% = self.link.certificate(),
            reason,
            open = self.link.open_answers();
            "link is given up"
        );
    }

    /// Tells whether datagrams have arrived since the last call.
    fn take_contact(&mut self) -> bool {
        let received = self.link.received_datagrams();
        std::mem::replace(&mut self.received_datagrams, received) != received
    }

    /// Tells whether the link is usable and leads to the process of a record.
    fn leads_to(&self, record: &MemberRecord) -> bool {
        !self.link.is_lost() && **self.link.certificate() == *record.certificate
    }
}
