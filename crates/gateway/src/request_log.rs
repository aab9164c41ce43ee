//! Log lines of callers' requests.

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
use crate::extra_attempt::ExtraAttemptOutcome;
use crate::place::Destination;

/// Collects the properties of a request for its log line.
///
/// If it is dropped before an answer or refusal was logged, it logs that the
/// caller has left.
#[derive(Debug)]
pub(crate) struct RequestLog {
    id: RequestId,
    clock: Clock,
    received: Duration,
    is_logged: bool,
    /// Route that the request matched.
    pub(crate) route: Option<Route>,
    /// Client account of the request.
    pub(crate) account: Option<Account>,
    /// Number of destinations that were chosen for the request, logged as
    /// `places`.
    destinations: u32,
    /// Number of targets that this instance sent the request to, logged as
    /// `sent`.
    pub(crate) sent_count: u32,
    /// What became of the last extra attempt.
    pub(crate) extra_attempt: Option<ExtraAttemptOutcome>,
    last_destination: Option<LoggedDestination>,
}

/// A chosen destination and the data that the choice was based on.
#[derive(Debug)]
struct LoggedDestination {
    peer: Peer,
    estimate: Option<Estimate>,
    record_revision: u64,
    record_age: Duration,
}

impl LoggedDestination {
    /// Describes an instance in another region.
    fn forward(peer: Peer) -> Self {
        Self {
            peer,
            estimate: None,
            record_revision: 0,
            record_age: Duration::ZERO,
        }
    }
}

impl RequestLog {
    /// Starts the log line of a request that was just received.
    pub(crate) fn new(id: RequestId, clock: Clock) -> Self {
        Self {
            id,
            clock,
            received: clock.now(),
            is_logged: false,
            route: None,
            account: None,
            destinations: 0,
            sent_count: 0,
            extra_attempt: None,
            last_destination: None,
        }
    }

    /// Tells whether a destination was chosen for the request.
    pub(crate) fn is_placed(&self) -> bool {
        self.destinations > 0
    }

    fn took(&self) -> Duration {
        self.clock.now().saturating_sub(self.received)
    }

    /// Marks the request as answered, and writes its log line if
    /// `should_write` is set.
    pub(crate) fn log_answer(
        &mut self,
        status: StatusCode,
        catalog_version: u64,
        should_write: bool,
    ) {
        self.is_logged = true;
        if should_write {
            self.write_answer(status, catalog_version);
        }
    }

    fn route(&self) -> &str {
        self.route.as_ref().map_or("", Route::as_str)
    }

    fn account(&self) -> &str {
        self.account.as_ref().map_or("", Account::as_str)
    }

    fn peer(&self) -> String {
        let destination = self.last_destination.as_ref();
        destination.map_or(String::new(), |destination| destination.peer.to_string())
    }

    fn extra_attempt(&self) -> &'static str {
        self.extra_attempt.map_or("", ExtraAttemptOutcome::as_str)
    }

    fn estimate(&self) -> Option<&Estimate> {
        self.last_destination.as_ref()?.estimate.as_ref()
    }

    fn expected_ms(&self) -> u64 {
        self.estimate().map_or(0, |e| e.wait.as_millis() as u64)
    }

    fn record_revision(&self) -> u64 {
        self.last_destination
            .as_ref()
            .map_or(0, |destination| destination.record_revision)
    }

    fn record_age_ms(&self) -> u64 {
        let destination = self.last_destination.as_ref();
        destination.map_or(0, |destination| destination.record_age.as_millis() as u64)
    }

    /// Records the next destination of the request.
    pub(crate) fn record_destination<D>(&mut self, next: &Destination<D>, now: Duration)
    where
        D: Dialect,
    {
        self.destinations += 1;
        self.last_destination = Some(match next {
            Destination::Local(placed) => LoggedDestination {
                peer: Peer::Target(placed.req.target().clone()),
                estimate: Some(*placed.reservation.estimate()),
                record_revision: placed.known_target.revision.number,
                record_age: now.saturating_sub(placed.known_target.read_at),
            },
            Destination::Remote(req) => {
                LoggedDestination::forward(Peer::Sibling(req.instance().clone()))
            }
        });
    }

    /// Records that an instance in another region has taken the request while a
    /// target of this region had it.
    pub(crate) fn record_forward(&mut self, peer: &Peer) {
        self.destinations += 1;
        self.last_destination = Some(LoggedDestination::forward(peer.clone()));
    }

    /// Writes the log line of an answered request.
    fn write_answer(&self, status: StatusCode, catalog_version: u64) {
        log::info!(
            target: "request",
            id = self.id.as_str(),
            route = self.route(),
            account = self.account(),
            status = status.as_u16(),
            peer = self.peer(),
            places = self.destinations,
            sent = self.sent_count,
            extra = self.extra_attempt(),
            expected_ms = self.expected_ms(),
            running = self.estimate().map_or(0, |e| e.running),
            ahead = self.estimate().map_or(0, |e| e.ahead),
            // Tokens that the target must process before this request, and for
            // it.
            ahead_tokens = self.estimate().map_or(0, |e| e.queued_prefill_tokens),
            unread_tokens = self.estimate().map_or(0, |e| e.prefill_tokens),
            record = self.record_revision(),
            record_age_ms = self.record_age_ms(),
            took_ms = self.took().as_millis() as u64,
            catalog = catalog_version;
            "answered"
        );
    }

    /// Writes the log line of a refused request.
    pub(crate) fn log_refusal(
        &mut self,
        refusal: &Refusal,
        catalog_version: u64,
        store_age: Duration,
    ) {
        self.is_logged = true;
        log::info!(
            target: "request",
            id = self.id.as_str(),
            route = self.route(),
            account = self.account(),
            code = refusal.code.as_str(),
            ran = refusal.outcome.as_str(),
            step = refusal.step.as_str(),
            peer:% = refusal.peer,
            places = self.destinations,
            sent = self.sent_count,
            extra = self.extra_attempt(),
            retry_after_ms = refusal.retry_after.unwrap_or_default().as_millis() as u64,
            took_ms = self.took().as_millis() as u64,
            catalog = catalog_version,
            store_age_ms = store_age.as_millis() as u64;
            "refused"
        );
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.is_logged {
            return;
        }
        log::info!(
            target: "request",
            id = self.id.as_str(),
            route = self.route(),
            account = self.account(),
            peer = self.peer(),
            places = self.destinations,
            expected_ms = self.expected_ms(),
            running = self.estimate().map_or(0, |e| e.running),
            took_ms = self.took().as_millis() as u64;
            "caller left before an answer"
        );
    }
}
