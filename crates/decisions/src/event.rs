//! Events with hybrid logical clock stamps, kept in a bounded ring.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Account;
use crate::names::Instance;
use crate::names::RequestId;
use crate::step::Peer;
use crate::step::Step;
use crate::tables::LockRank;
use crate::tables::RankedMutex;

/// A hybrid logical clock's stamp; ordered over all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Wall clock time in milliseconds since the epoch, or the highest one seen.
    pub wall_ms: u64,
    /// Orders stamps of the same millisecond.
    pub counter: u32,
}

impl Stamp {
    /// Returns the next stamp at a wall clock time.
    pub fn next(self, wall: Duration) -> Self {
        let wall_ms = wall.as_millis() as u64;
        if wall_ms > self.wall_ms {
            return Self {
                wall_ms,
                counter: 0,
            };
        }
        Self {
            wall_ms: self.wall_ms,
            counter: self.counter.saturating_add(1),
        }
    }
}

/// Something that happened to a request or to the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// When it happened.
    pub stamp: Stamp,
    /// The instance at which it happened.
    pub instance: Instance,
    /// The request, if it concerns one.
    pub request: Option<RequestId>,
    /// The client account, if it concerns one.
    pub account: Option<Account>,
    /// The step.
    pub step: Step,
    /// The peer.
    pub peer: Peer,
    /// What happened, in a few words.
    pub what: String,
}

/// What a caller of [`EventRing::record`] says; the ring adds instance and stamp.
#[derive(Clone, Debug)]
pub struct NewEvent {
    /// The request, if it concerns one.
    pub request: Option<RequestId>,
    /// The client account, if it concerns one.
    pub account: Option<Account>,
    /// The step.
    pub step: Step,
    /// The peer.
    pub peer: Peer,
    /// What happened, in a few words.
    pub what: String,
}

/// The newest events of one instance.
///
/// # Invariants
///
/// Holds at most `capacity` events, in the order of their stamps; `dropped`
/// counts those that made room.
#[derive(Debug)]
pub struct EventRing {
    instance: Instance,
    capacity: usize,
    inner: RankedMutex<EventBuffer>,
}

#[derive(Debug)]
struct EventBuffer {
    latest: Stamp,
    dropped: u64,
    events: VecDeque<Event>,
}

/// Events read from a ring.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventPage {
    /// The events, oldest first.
    pub events: Vec<Event>,
    /// Events that the ring no longer holds.
    pub dropped: u64,
}

impl EventRing {
    /// Makes an empty ring.
    pub fn new(instance: Instance, capacity: usize) -> Self {
        Self {
            instance,
            capacity,
            inner: RankedMutex::new(
                LockRank::Events,
                EventBuffer {
                    latest: Stamp::default(),
                    dropped: 0,
                    events: VecDeque::with_capacity(capacity),
                },
            ),
        }
    }

    /// Records an event and returns its stamp.
    pub fn record(&self, wall: Duration, entry: NewEvent) -> Stamp {
        let mut inner = self.inner.lock();
        inner.latest = inner.latest.next(wall);
        if inner.events.len() == self.capacity {
            inner.events.pop_front();
            inner.dropped += 1;
        }
        let stamp = inner.latest;
        inner.events.push_back(Event {
            stamp,
            instance: self.instance.clone(),
            request: entry.request,
            account: entry.account,
            step: entry.step,
            peer: entry.peer,
            what: entry.what,
        });
        stamp
    }

    /// Moves the clock past a stamp that a sibling sent.
    pub fn observe(&self, stamp: Stamp) {
        let mut inner = self.inner.lock();
        inner.latest = inner.latest.max(stamp);
    }

    /// Returns the latest stamp, to be sent along with messages.
    pub fn latest(&self) -> Stamp {
        self.inner.lock().latest
    }

    /// Returns the events for which `f` returns true.
    pub fn page<F>(&self, f: F) -> EventPage
    where
        F: Fn(&Event) -> bool,
    {
        let inner = self.inner.lock();
        EventPage {
            events: inner.events.iter().filter(|e| f(e)).cloned().collect(),
            dropped: inner.dropped,
        }
    }
}

/// Which events are wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventFilter {
    /// Of this request; any if absent.
    pub request: Option<RequestId>,
    /// Of this client account; any if absent.
    pub account: Option<Account>,
    /// At this instance; any if absent.
    pub instance: Option<Instance>,
    /// Not before this time, in milliseconds since the epoch.
    pub from_ms: u64,
    /// Not after this time, in milliseconds since the epoch.
    pub to_ms: u64,
}

impl Default for EventFilter {
    fn default() -> Self {
        Self {
            request: None,
            account: None,
            instance: None,
            from_ms: 0,
            to_ms: u64::MAX,
        }
    }
}

impl EventFilter {
    /// Tells whether an event is wanted.
    pub fn matches(&self, event: &Event) -> bool {
        (self.request.is_none() || self.request == event.request)
            && (self.account.is_none() || self.account == event.account)
            && (self.instance.is_none() || self.instance.as_ref() == Some(&event.instance))
            && (self.from_ms..=self.to_ms).contains(&event.stamp.wall_ms)
    }
}

/// Events of several instances in the order of their stamps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Timeline {
    /// The events, oldest first.
    pub events: Vec<Event>,
    /// Events that each instance's ring no longer holds.
    pub dropped: BTreeMap<Instance, u64>,
    /// Instances that could not be asked, and why.
    pub missing: BTreeMap<Instance, String>,
}

impl Timeline {
    /// Adds the wanted events of an instance.
    pub fn add_page(&mut self, instance: &Instance, page: EventPage, filter: &EventFilter) {
        self.dropped.insert(instance.clone(), page.dropped);
        self.events
            .extend(page.events.into_iter().filter(|e| filter.matches(e)));
    }

    /// Notes an instance that could not be asked.
    pub fn add_missing(&mut self, instance: &Instance, reason: String) {
        self.missing.insert(instance.clone(), reason);
    }

    /// Puts the events in the order of their stamps.
    pub fn sort(&mut self) {
        self.events
            .sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    }
}
