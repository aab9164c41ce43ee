//! What was found of a request, for its log line.

use std::time::Duration;

use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Route;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::traffic::Estimate;
use hyper::StatusCode;

use crate::Clock;
use crate::Dialect;
use crate::place::Next;

/// What was found of a request, for its log line.
///
/// A line is written in any case: if no end was noted, the caller has left.
#[derive(Debug)]
pub(crate) struct Found {
    id: RequestId,
    clock: Clock,
    received: Duration,
    is_noted: bool,
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
    estimate: Option<Estimate>,
    revision: u64,
    record_age: Duration,
}

impl Found {
    /// Begins with a request that was just received.
    pub(crate) fn new(id: RequestId, clock: Clock) -> Self {
        Self {
            id,
            clock,
            received: clock.now(),
            is_noted: false,
            route: None,
            account: None,
            places: 0,
            place: None,
        }
    }

    fn took(&self) -> Duration {
        self.clock.now().saturating_sub(self.received)
    }

    /// Notes an answer that has begun, and writes its line if it is wanted.
    pub(crate) fn answered(&mut self, status: StatusCode, catalog: u64, is_wanted: bool) {
        self.is_noted = true;
        if is_wanted {
            self.note_answer(status, catalog);
        }
    }

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

    fn estimate(&self) -> Option<&Estimate> {
        self.place.as_ref()?.estimate.as_ref()
    }

    fn expected_ms(&self) -> u64 {
        self.estimate().map_or(0, |e| e.wait.as_millis() as u64)
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
                estimate: Some(*placed.held.estimate()),
                revision: placed.known.revision,
                record_age: now.saturating_sub(placed.known.read_at),
            },
            Next::Away(req) => FoundPlace {
                peer: Peer::Sibling(req.instance().clone()),
                estimate: None,
                revision: 0,
                record_age: Duration::ZERO,
            },
        });
    }

    /// Writes the line of an answer that has begun.
    fn note_answer(&self, status: StatusCode, catalog: u64) {
        log::info!(
            target: "request",
            id = self.id.as_str(),
            route = self.route(),
            account = self.account(),
            status = status.as_u16(),
            peer = self.peer(),
            places = self.places,
            expected_ms = self.expected_ms(),
            running = self.estimate().map_or(0, |e| e.running),
            ahead_tokens = self.estimate().map_or(0, |e| e.queued_prefill_tokens),
            unread_tokens = self.estimate().map_or(0, |e| e.prefill_tokens),
            record = self.revision(),
            record_age_ms = self.record_age_ms(),
            took_ms = self.took().as_millis() as u64,
            catalog;
            "answered"
        );
    }

    /// Writes the line of a refusal.
    pub(crate) fn note_refusal(&mut self, refusal: &Refusal, catalog: u64, store_age: Duration) {
        self.is_noted = true;
        log::info!(
            target: "request",
            id = self.id.as_str(),
            route = self.route(),
            account = self.account(),
            code = refusal.code.as_str(),
            ran = refusal.outcome.as_str(),
            step = refusal.step.as_str(),
            peer:% = refusal.peer,
            places = self.places,
            retry_after_ms = refusal.retry_after.unwrap_or_default().as_millis() as u64,
            took_ms = self.took().as_millis() as u64,
            catalog,
            store_age_ms = store_age.as_millis() as u64;
            "refused"
        );
    }
}

impl Drop for Found {
    fn drop(&mut self) {
        if self.is_noted {
            return;
        }
        log::info!(
            target: "request",
            id = self.id.as_str(),
            route = self.route(),
            account = self.account(),
            peer = self.peer(),
            places = self.places,
            expected_ms = self.expected_ms(),
            running = self.estimate().map_or(0, |e| e.running),
            took_ms = self.took().as_millis() as u64;
            "caller left before an answer"
        );
    }
}
