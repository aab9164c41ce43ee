//! What was found of a request, for its log line.

use std::time::Duration;

use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Route;
use chiverelay_decisions::step::Peer;

use crate::Dialect;
use crate::place::Next;

/// What was found of a request, for its log line.
#[derive(Debug, Default)]
pub(crate) struct Found {
    /// The route.
    pub(crate) route: Option<Route>,
    /// The client account.
    pub(crate) account: Option<Account>,
    /// Places that the request was given.
    pub(crate) places: u32,
    place: Option<FoundPlace>,
}

/// The last place that a request was given, and what that rested on.
#[derive(Debug)]
struct FoundPlace {
    peer: Peer,
    expected: Duration,
    revision: u64,
    record_age: Duration,
}

impl Found {
    pub(crate) fn route(&self) -> &str {
        self.route.as_ref().map_or("", Route::as_str)
    }

    pub(crate) fn account(&self) -> &str {
        self.account.as_ref().map_or("", Account::as_str)
    }

    pub(crate) fn peer(&self) -> String {
        let place = self.place.as_ref();
        place.map_or(String::new(), |place| place.peer.to_string())
    }

    pub(crate) fn expected_ms(&self) -> u64 {
        let place = self.place.as_ref();
        place.map_or(0, |place| place.expected.as_millis() as u64)
    }

    pub(crate) fn revision(&self) -> u64 {
        self.place.as_ref().map_or(0, |place| place.revision)
    }

    pub(crate) fn record_age_ms(&self) -> u64 {
        let place = self.place.as_ref();
        place.map_or(0, |place| place.record_age.as_millis() as u64)
    }

    /// Notes where a request goes next.
    pub(crate) fn placed<D>(&mut self, next: &Next<D>, now: Duration)
    where
        D: Dialect,
    {
        self.places += 1;
        self.place = Some(match next {
            Next::Here(placed) => FoundPlace {
                peer: Peer::Target(placed.0.target().clone()),
                expected: placed.1.expected(),
                revision: placed.2.revision,
                record_age: now.saturating_sub(placed.2.learned),
            },
            Next::Away(req) => FoundPlace {
                peer: Peer::Sibling(req.instance().clone()),
                expected: Duration::ZERO,
                revision: 0,
                record_age: Duration::ZERO,
            },
        });
    }
}
