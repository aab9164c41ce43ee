//! Keeps requests under which targets crashed away from further targets.

use std::time::Duration;

use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::suspension::Admission;
use chiverelay_decisions::suspension::RequestDigest;
use chiverelay_decisions::traffic::PromptPart;

use crate::Dialect;
use crate::Gateway;
use crate::Outbound;
use crate::crash_check::LostRequest;
use crate::place::PlacementContext;
use crate::quarantine::PROBE_TURN;

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Returns for how much longer a request may not be sent to any target. If
    /// a probe is due, the request may become it.
    pub(crate) fn suspended_for(
        &self,
        digest: RequestDigest,
        id: &RequestId,
        now: Duration,
    ) -> Option<Duration> {
        let admission = self.tables.suspensions.lock().admit(digest, id, now);
        match admission {
            Admission::Allowed => None,
            Admission::Suspended(left) => Some(left),
            Admission::ProbeDue(overdue) => {
                let rank = self.members.rank_for(&digest.to_string(), now);
                let turn = PROBE_TURN * u32::try_from(rank).unwrap_or(u32::MAX);
                let mut suspensions = self.tables.suspensions.lock();
                let is_probe = overdue >= turn && suspensions.try_probe(digest, id, now);
                (!is_probe).then(|| turn.saturating_sub(overdue))
            }
        }
    }

    /// Tells whether a request that was just lost is suspected to crash targets,
    /// by its content or by a part of its prompt. It is not sent to another one
    /// then.
    pub(crate) fn is_suspected(&self, cx: &PlacementContext) -> bool {
        let has_crashed = self.tables.suspensions.lock().has_crashed(cx.digest);
        has_crashed || self.is_prompt_suspected(cx)
    }

    /// Records the requests that were lost in a crash of a target, and tells the
    /// other instances at once.
    pub(crate) fn suspend_lost_requests(&self, target: &Target, losses: &[LostRequest]) {
        let digests = losses.iter().map(|lost| lost.digest);
        let now = self.clock.now();
        let mut suspensions = self.tables.suspensions.lock();
        let suspended = suspensions.record_crash(target, digests, now);
        drop(suspensions);
        self.status_due.notify_one();
        for lost in losses {
            if suspended.contains(&lost.digest) {
                log::warn!(
                    target: "crashes",
                    id = lost.id.as_str(),
                    to = target.as_str();
                    "request suspended, as targets crashed under it"
                );
            }
        }
    }
}

/// Returns the digest by which a request is recognized when its caller asks
/// again.
pub(crate) fn digest(pool: &Pool, parts: &[PromptPart], out: &Outbound) -> RequestDigest {
    let method = out.method.as_str();
    RequestDigest::new(pool, method, &out.path_and_query, parts, &out.body)
}
