//! Records what targets say about themselves in their answers: a limit on
//! requests or on rejections, a pause, or that they are leaving.

use chiverelay_decisions::fleet::KnownTarget;
use chiverelay_decisions::names::Target;
use chiverelay_target::connection_pool::PooledResponse;
use hyper::HeaderMap;

use crate::Dialect;
use crate::Gateway;
use crate::ResponseVerdict;

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Records what an answer says about its target. `known_target` is the
    /// record by which the request was sent.
    pub(crate) fn record_notices(
        &self,
        answer: &PooledResponse,
        verdict: ResponseVerdict,
        known_target: &KnownTarget,
    ) {
        if matches!(verdict, ResponseVerdict::Ran | ResponseVerdict::Rejected) {
            self.record_stated_limit(answer.target(), answer.headers());
            self.record_rejection_limit(answer, known_target);
            self.record_leaving(answer, known_target);
        }
        // A late or repeated answer to another request asks for the pause too.
        if verdict != ResponseVerdict::Misdirected {
            self.record_pause(answer);
        }
    }

    /// Records the limit on requests that a target states in an answer, or that
    /// it states none.
    fn record_stated_limit(&self, target: &Target, headers: &HeaderMap) {
        let per_s = self.dialect.stated_limit(headers);
        let now = self.clock.now();
        let mut traffic = self.tables.traffic.lock();
        let has_changed = traffic.record_stated_limit(target, per_s, now);
        drop(traffic);
        if has_changed {
            log::info!(
                target: "dispatch",
                to = target.as_str(),
                limited = per_s.is_some(),
                limit_per_s:% = per_s.unwrap_or_default();
                "target states another request limit"
            );
        }
    }

    /// Records how many rejections in a second the targets of a pool survive, or
    /// that a target states no such limit.
    fn record_rejection_limit(&self, answer: &PooledResponse, known_target: &KnownTarget) {
        let per_s = self.dialect.max_rejections(answer.headers());
        let pool = &known_target.record.pool;
        let now = self.clock.now();
        let mut traffic = self.tables.traffic.lock();
        let has_changed = traffic.record_rejection_limit(pool, per_s, now);
        drop(traffic);
        if has_changed {
            log::info!(
                target: "dispatch",
                to = answer.target().as_str(),
                pool = pool.as_str(),
                limited = per_s.is_some(),
                max_rejections = per_s.unwrap_or_default();
                "targets state another limit on rejections"
            );
        }
    }

    /// Records that a target that turned a request away asks for a pause.
    fn record_pause(&self, answer: &PooledResponse) {
        let Some(pause) = self
            .dialect
            .requested_pause(answer.status(), answer.headers())
        else {
            return;
        };
        let target = answer.target();
        let now = self.clock.now();
        let mut traffic = self.tables.traffic.lock();
        let is_new = traffic.record_pause(target, pause, now);
        drop(traffic);
        if is_new {
            log::info!(
                target: "dispatch",
                to = target.as_str(),
                pause_ms = pause.as_millis() as u64;
                "target asks for a pause"
            );
        }
    }

    /// Records that a target is leaving, if its answer says so.
    fn record_leaving(&self, answer: &PooledResponse, known_target: &KnownTarget) {
        if !self.dialect.is_leaving(answer.headers()) {
            return;
        }
        let target = answer.target();
        let mut fleet = self.tables.fleet.lock();
        // A new process may have taken the name since the request was sent.
        let is_same_process = fleet.get(target).is_some_and(|current| {
            current.record.started_ms == known_target.record.started_ms
                && current.record.address == known_target.record.address
        });
        let is_news = is_same_process && fleet.mark_leaving(target);
        drop(fleet);
        if is_news {
            log::info!(target: "fleet", to = target.as_str(); "target says that it is leaving");
        }
    }
}
