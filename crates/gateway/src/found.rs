//! What was found of a request, for its log line.

use std::time::Duration;

use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Route;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::step::Peer;
use hyper::StatusCode;

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
    places: u32,
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
    fn route(&self) -> &str {
        self.route.as_ref().map_or("", Route::as_str)
    }

    fn account(&self) -> &str {
        self.account.as_ref().map_or("", Account::as_str)
    }

    fn peer(&self) -> String {
        let place = self.place.as_ref();
        place.map_or(String::new(), |place| place.peer.to_string())
    }

    fn expected_ms(&self) -> u64 {
        let place = self.place.as_ref();
        place.map_or(0, |place| place.expected.as_millis() as u64)
    }

    fn revision(&self) -> u64 {
        self.place.as_ref().map_or(0, |place| place.revision)
    }

    fn record_age_ms(&self) -> u64 {
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
                peer: Peer::Target(placed.req.target().clone()),
                expected: placed.held.expected(),
                revision: placed.known.revision,
                record_age: now.saturating_sub(placed.known.learned),
            },
            Next::Away(req) => FoundPlace {
                peer: Peer::Sibling(req.instance().clone()),
                expected: Duration::ZERO,
                revision: 0,
                record_age: Duration::ZERO,
            },
        });
    }

    /// Writes the line of an answer that has begun.
    pub(crate) fn note_answer(
        &self,
        id: &RequestId,
        status: StatusCode,
        took: Duration,
        catalog: u64,
    ) {
        log::info!(
            target: "request",
            id = id.as_str(),
            route = self.route(),
            account = self.account(),
            status = status.as_u16(),
            peer = self.peer(),
            places = self.places,
            expected_ms = self.expected_ms(),
            record = self.revision(),
            record_age_ms = self.record_age_ms(),
            took_ms = took.as_millis() as u64,
            catalog;
            "answered"
        );
    }

    /// Writes the line of a refusal.
    pub(crate) fn note_refusal(
        &self,
        id: &RequestId,
        refusal: &Refusal,
        took: Duration,
        catalog: u64,
        store_age: Duration,
    ) {
        log::info!(
            target: "request",
            id = id.as_str(),
            route = self.route(),
            account = self.account(),
            code = refusal.code.as_str(),
            ran = refusal.outcome.as_str(),
            step = refusal.step.as_str(),
            peer:% = refusal.peer,
            places = self.places,
            retry_after_ms = refusal.retry_after.unwrap_or_default().as_millis() as u64,
            took_ms = took.as_millis() as u64,
            catalog,
            store_age_ms = store_age.as_millis() as u64;
            "refused"
        );
    }
}
