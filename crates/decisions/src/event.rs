//! Events with timestamps of a hybrid logical clock, kept in a bounded ring
//! buffer.

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

/// Timestamp of a hybrid logical clock. Timestamps are ordered across
/// processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Wall clock time in milliseconds since the epoch, or the highest value
    /// received from another process.
    pub wall_ms: u64,
    /// Orders timestamps within the same millisecond.
    pub counter: u32,
}

impl Stamp {
    /// Returns the timestamp that follows this one, at wall clock time `wall`
    /// since the epoch.
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

/// An event that concerns a request or the instance as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub stamp: Stamp,
    /// Instance at which it happened.
    pub instance: Instance,
    /// Request that the event concerns, if any.
    pub request: Option<RequestId>,
    /// Client account that the event concerns, if any.
    pub account: Option<Account>,
    /// Processing step in which it happened.
    pub step: Step,
    /// Party that was involved: the caller, a target, another instance, the
    /// store, the registry, an operator, or only this instance.
    pub peer: Peer,
    /// Short description.
    pub what: String,
}

/// A new event for [`EventRing::record`], which adds the instance and the
/// timestamp.
#[derive(Clone, Debug)]
pub struct NewEvent {
    /// Request that the event concerns, if any.
    pub request: Option<RequestId>,
    /// Client account that the event concerns, if any.
    pub account: Option<Account>,
    /// Processing step in which it happened.
    pub step: Step,
    /// Party that was involved: the caller, a target, another instance, the
    /// store, the registry, an operator, or only this instance.
    pub peer: Peer,
    /// Short description.
    pub what: String,
}

/// Ring buffer with the newest events of one instance.
///
/// # Invariants
///
/// Contains at most `capacity` events in the order of their timestamps.
/// `dropped` counts the events that were removed to make room.
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

/// Events read from a ring buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventPage {
    /// Events, oldest first.
    pub events: Vec<Event>,
    /// Number of events dropped from the ring buffer since the instance
    /// started, whether or not they would have been selected.
    pub dropped: u64,
}

impl EventRing {
    /// Creates an empty ring buffer.
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

    /// Records an event and returns its timestamp.
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

    /// Advances the clock to a timestamp received from another instance.
    pub fn advance_clock(&self, stamp: Stamp) {
        let mut inner = self.inner.lock();
        inner.latest = inner.latest.max(stamp);
    }

    /// Returns the latest timestamp, to be sent along with messages.
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

/// Selects events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventFilter {
    /// Events of this request; of any if absent.
    pub request: Option<RequestId>,
    /// Events of this client account; of any if absent.
    pub account: Option<Account>,
    /// Events at this instance; at any if absent.
    pub instance: Option<Instance>,
    /// Earliest wall clock time, in milliseconds since the epoch.
    pub from_ms: u64,
    /// Latest wall clock time, in milliseconds since the epoch.
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
    /// Returns true if the filter selects an event.
    pub fn matches(&self, event: &Event) -> bool {
        (self.request.is_none() || self.request == event.request)
            && (self.account.is_none() || self.account == event.account)
            && (self.instance.is_none() || self.instance.as_ref() == Some(&event.instance))
            && (self.from_ms..=self.to_ms).contains(&event.stamp.wall_ms)
    }
}

/// Events of several instances, merged by timestamp.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Timeline {
    /// Events, oldest first.
    pub events: Vec<Event>,
    /// Number of events that were dropped at each instance.
    pub dropped: BTreeMap<Instance, u64>,
    /// Instances that could not be queried, with the reason.
    pub missing: BTreeMap<Instance, String>,
}

impl Timeline {
    /// Adds the events of an instance that the filter selects.
    pub fn add_page(&mut self, instance: &Instance, page: EventPage, filter: &EventFilter) {
        self.dropped.insert(instance.clone(), page.dropped);
        self.events
            .extend(page.events.into_iter().filter(|e| filter.matches(e)));
    }

    /// Records that an instance could not be queried.
    pub fn add_missing(&mut self, instance: &Instance, reason: String) {
        self.missing.insert(instance.clone(), reason);
    }

    /// Sorts the events by timestamp, and by instance where timestamps are
    /// equal.
    pub fn sort(&mut self) {
        self.events
            .sort_by(|a, b| (a.stamp, &a.instance).cmp(&(b.stamp, &b.instance)));
    }
}
