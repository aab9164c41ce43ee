//! What happens at the limits of an instance's resources.

use std::time::Duration;

use chiverelay_decisions::admission;
use chiverelay_decisions::admission::Level;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;

use crate::Dialect;
use crate::Gateway;
use crate::Inbound;
use crate::LimitAction;
use crate::Resource;
use crate::handle::max_retry_after;
use crate::request_log::RequestLog;

/// Shortest time between two log lines on the same limit.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// When each limit was last written to the log.
#[derive(Debug)]
pub(crate) struct LimitReports {
    last: RankedMutex<Vec<(Resource, LimitAction, Duration)>>,
}

impl Default for LimitReports {
    fn default() -> Self {
        Self {
            last: RankedMutex::new(LockRank::Events, Vec::new()),
        }
    }
}

impl LimitReports {
    fn should_report(&self, resource: Resource, action: LimitAction, now: Duration) -> bool {
        let mut last = self.last.lock();
        let known = last
            .iter_mut()
            .find(|(r, a, _)| (*r, *a) == (resource, action));
        match known {
            Some((_, _, at)) if now < *at + REPORT_INTERVAL => false,
            Some((_, _, at)) => {
                *at = now;
                true
            }
            None => {
                last.push((resource, action, now));
                true
            }
        }
    }
}

/// Returns the refusal of a request for which a resource is missing, whose
/// caller waits for `left` if that is known.
fn refuse_for_want(step: Step, peer: Peer, left: Option<Duration>) -> Refusal {
    let random = rand::random();
    let retry_after = match left {
        Some(left) => admission::spread_retry_after_within(random, max_retry_after(left)),
        None => admission::spread_retry_after(random),
    };
    Refusal::not_run(Code::Overloaded, step, peer).with_retry_after(retry_after)
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Counts what was done at the limit of a resource, and writes it to the
    /// log once in a while.
    pub fn record_limit(&self, resource: Resource, action: LimitAction) {
        self.metrics.count_limit_hit(resource, action);
        if self
            .limit_reports
            .should_report(resource, action, self.clock.now())
        {
            log::warn!(
                target: "resources",
                resource = resource.as_str(),
                action = action.as_str();
                "limit of a resource reached"
            );
        }
    }

    /// Writes to the log that the callers' connections are near their limit or
    /// have reached it.
    pub fn report_caller_connections(&self, level: Level) {
        let usage = self.caller_connections.usage();
        log::warn!(
            target: "resources",
            open = usage.open,
            idle = usage.idle,
            limit = usage.limit,
            is_full = level == Level::Full;
            "connections of callers near their limit"
        );
    }

    /// Closes the connection of the slowest caller who is behind with a body, as
    /// there is no memory for another body; returns whether there is one.
    pub fn close_slowest_body(&self) -> bool {
        let is_closed = self.caller_connections.close_slowest_body();
        if is_closed {
            self.record_limit(Resource::RequestMemory, LimitAction::Closed);
        }
        is_closed
    }

    /// Checks that another request may be open.
    ///
    /// # Errors
    ///
    /// Refuses the request if as many are open as the memory allows.
    pub(crate) fn check_open_requests(&self, left: Option<Duration>) -> Result<(), Refusal> {
        if self.open_requests.len() <= self.shares.requests {
            return Ok(());
        }
        self.record_limit(Resource::Requests, LimitAction::Refused);
        Err(refuse_for_want(Step::Admit, Peer::Local, left))
    }

    /// Refuses a request that came on a connection for which there is no place.
    pub fn refuse_unplaced_connection(&self, inbound: &Inbound) -> Refusal {
        self.record_limit(Resource::CallerConnections, LimitAction::Refused);
        let refusal = refuse_for_want(Step::Receive, Peer::Caller, inbound.timeout);
        let mut request_log = RequestLog::new(inbound.id.clone(), self.clock);
        self.finish_refused(refusal, inbound.timeout, self.clock.now(), &mut request_log)
    }
}
