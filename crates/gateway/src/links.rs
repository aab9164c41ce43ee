//! Connections to the other instances, kept open so that forwarding a request
//! needs no handshake.

mod draining;
mod watched;

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
use chiverelay_sibling::Draining;
use chiverelay_sibling::Endpoint;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;

use crate::MemberRecord;
use crate::Metrics;
use draining::DrainingLinks;
use watched::WatchedLink;

/// Delay before a failed connection is tried again.
const REDIAL_DELAY: Duration = Duration::from_millis(700);

/// The connection to the process before, which takes no new requests. The
/// record of another process alone is no evidence that its own has ended, as the
/// record may be older than the connection.
type FormerLink = Option<WatchedLink<Up>>;

#[derive(Debug)]
enum LinkState {
    /// A connection is being established.
    Dialing(FormerLink),
    /// The connection is open.
    Open(WatchedLink<Up>),
    /// The attempt to connect failed. It began at this time.
    Failed(Duration, FormerLink),
}

impl LinkState {
    fn link_mut(&mut self) -> Option<&mut WatchedLink<Up>> {
        match self {
            Self::Open(open) => Some(open),
            Self::Dialing(former) | Self::Failed(_, former) => former.as_mut(),
        }
    }

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

/// The link to use for a request.
#[derive(Debug)]
pub(crate) enum AnsweredLink {
    /// There is none.
    None,
    /// The other process owes an answer for too long.
    Overdue,
    /// The link is open.
    Open(Link<Up>),
}

/// Links on which nothing arrives.
#[derive(Debug)]
pub(crate) struct SilentLinks {
    pub(crate) up: Vec<Link<Up>>,
    pub(crate) draining: Vec<Link<Draining>>,
}

/// Connections to other instances.
#[derive(Debug)]
pub(crate) struct Links {
    endpoint: Endpoint,
    metrics: Arc<Metrics>,
    states: RankedMutex<HashMap<Instance, LinkState>>,
    draining: DrainingLinks,
}

impl Links {
    pub(crate) fn new(endpoint: Endpoint, metrics: Arc<Metrics>) -> Self {
        Self {
            endpoint,
            metrics,
            states: RankedMutex::new(LockRank::Links, HashMap::new()),
            draining: DrainingLinks::default(),
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
        let cut: usize = open.iter().map(Link::open_answers).sum();
        let cut = cut + self.draining.open_answers();
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

    /// Returns the open link to an instance for a request, unless the other
    /// process owes an answer for too long.
    pub(crate) fn get_answered(&self, name: &Instance, now: Duration) -> AnsweredLink {
        match self.states.lock().get_mut(name) {
            Some(LinkState::Open(open)) if !open.link.is_lost() => match open.is_overdue(now) {
                true => AnsweredLink::Overdue,
                false => AnsweredLink::Open(open.link.clone()),
            },
            _ => AnsweredLink::None,
        }
    }

    /// Notes that a request is sent now on the open link to an instance.
    pub(crate) fn record_sent(&self, name: &Instance, now: Duration) {
        if let Some(LinkState::Open(open)) = self.states.lock().get_mut(name) {
            open.record_sent(now);
        }
    }

    /// Has the open link to an instance take no requests until something arrives
    /// on it.
    pub(crate) fn give_up(&self, name: &Instance) {
        let is_new = match self.states.lock().get_mut(name) {
            Some(LinkState::Open(open)) => open.give_up(),
            _ => false,
        };
        if is_new {
            log::info!(target: "links", dependency = "sibling", instance = name.as_str(); "link is unanswered and takes no requests");
        }
    }

    /// Lists the instances of a region to which there is a link that takes
    /// requests.
    pub(crate) fn list_open_in(&self, region: &Region) -> Vec<Instance> {
        let states = self.states.lock();
        let up = states.values().filter_map(|state| match state {
            LinkState::Open(open) if open.takes_requests() => Some(open.link.peer()),
            _ => None,
        });
        let in_region = up.filter(|peer| peer.region == *region);
        in_region.map(|peer| peer.instance.clone()).collect()
    }

    /// Lists the processes from which datagrams have arrived since the last
    /// call, by the digests of their certificates.
    pub(crate) fn take_contacts(&self, now: Duration) -> Vec<(Instance, Arc<str>)> {
        let mut states = self.states.lock();
        let mut contacts = Vec::new();
        for (name, state) in states.iter_mut() {
            if let Some(watched) = state.link_mut()
                && watched.take_contact(now)
            {
                let certificate = Arc::clone(watched.link.certificate());
                contacts.push((name.clone(), certificate));
            }
        }
        contacts
    }

    /// Drops the draining links that carry no answer any more.
    pub(crate) fn remove_drained(&self, now: Duration) {
        self.draining.remove_ended(now);
    }

    /// Lists the links on which nothing has arrived for `time`.
    pub(crate) fn list_silent(&self, time: Duration, now: Duration) -> SilentLinks {
        let mut states = self.states.lock();
        let up = states.values_mut().filter_map(LinkState::link_mut);
        let silent = up.filter(|watched| watched.is_silent(time, now));
        let up = silent.map(|watched| watched.link.clone()).collect();
        drop(states);
        SilentLinks {
            up,
            draining: self.draining.list_silent(time, now),
        }
    }

    /// Drains the links to instances that are not in `linked`.
    fn drain_others(&self, linked: &[MemberRecord]) {
        let known: HashSet<&Instance> = linked.iter().map(|r| &r.instance).collect();
        let mut states = self.states.lock();
        let others = states.extract_if(|name, _| !known.contains(name));
        let links: Vec<_> = others.filter_map(|(_, state)| state.into_link()).collect();
        drop(states);
        for link in links {
            self.draining.push(link);
        }
    }

    /// Drains the links to instances that are not in `linked`. Marks the
    /// instances that need a new connection as dialing, and returns them.
    pub(crate) fn mark_due_for_dialing(
        &self,
        linked: Vec<MemberRecord>,
        now: Duration,
    ) -> Vec<MemberRecord> {
        self.drain_others(&linked);
        let mut states = self.states.lock();
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

    /// Connects to an instance that was marked as dialing, and drains the link
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
                (LinkState::Open(self.choose(former, link, now)), true)
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
    fn choose(&self, former: FormerLink, link: Link<Up>, now: Duration) -> WatchedLink<Up> {
        let Some(former) = former.filter(|former| !former.link.is_lost()) else {
            return WatchedLink::new(link, now);
        };
        if former.link.certificate() == link.certificate() {
            return former;
        }
        if former.link.address() == link.address() {
            // The process before has ended, as two can't have one address. What
            // waits for an answer of it fails at once.
            self.close(former.link, CloseCause::InstanceReplaced);
        } else {
            self.draining.push(former);
        }
        WatchedLink::new(link, now)
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
