//! Keeps requests with quarantined prompt parts away from targets, and shares
//! the evidence about prompt parts with the other instances.

use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::quarantine::Admission;
use chiverelay_decisions::quarantine::Change;
use chiverelay_decisions::quarantine::CrashReport;
use chiverelay_decisions::quarantine::CrashedRequest;
use chiverelay_decisions::quarantine::Verdict;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Detail;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::traffic::PromptPart;

use crate::Dialect;
use crate::Gateway;
use crate::crash_check::LostRequest;
use crate::place::PlacementContext;

/// Time after which an answer that still arrives shows that its prompt did not
/// crash the target.
pub(crate) const SOUND_AFTER: Duration = Duration::from_secs(1);

/// Time that each instance leaves to the ones before it, in an order that all
/// of them derive from the part, to send its probe. It is longer than the
/// result takes to reach all instances.
pub(crate) const PROBE_TURN: Duration = Duration::from_secs(2);

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Returns the quarantined part for which a request may not be sent to any
    /// target. If a probe of the part is due, the request may become it.
    pub(crate) fn find_quarantined_part(
        &self,
        id: &RequestId,
        parts: &[PromptPart],
        now: Duration,
    ) -> Option<u64> {
        let admission = self.tables.quarantine.lock().admit(id, parts, now);
        match admission {
            Admission::Allowed => None,
            Admission::Quarantined(part) => Some(part),
            Admission::ProbeDue(part, overdue) => {
                let rank = self.members.rank_for(&hex(part), now);
                let turn = PROBE_TURN * u32::try_from(rank).unwrap_or(u32::MAX);
                let is_probe =
                    overdue >= turn && self.tables.quarantine.lock().try_probe(part, id, now);
                (!is_probe).then_some(part)
            }
        }
    }

    /// Tells whether a part of the prompt is suspected to crash targets. Such a
    /// request is not sent to another target once it was lost.
    pub(crate) fn is_prompt_suspected(&self, cx: &PlacementContext) -> bool {
        let quarantine = self.tables.quarantine.lock();
        quarantine.is_suspected(&cx.parts, self.clock.now())
    }

    /// Records a complete answer, or one that had been arriving for
    /// [`SOUND_AFTER`].
    pub(crate) fn record_sound_answer(&self, parts: &[PromptPart], now: Duration) {
        let changes = self.tables.quarantine.lock().record_answer(parts, now);
        self.log_quarantine_changes(&changes);
    }

    /// Records the requests that were lost in a crash of a target.
    pub(crate) fn record_crash(&self, target: &Target, losses: &[LostRequest]) {
        let is_sound = |lost: &LostRequest| lost.answered_for.is_some_and(|t| t >= SOUND_AFTER);
        let accused = losses.iter().filter(|lost| !is_sound(lost));
        let requests: Vec<_> = accused
            .map(|lost| CrashedRequest {
                id: &lost.id,
                parts: &lost.parts,
            })
            .collect();
        let now = self.clock.now();
        let changes = self
            .tables
            .quarantine
            .lock()
            .record_crash(target, &requests, now);
        self.log_quarantine_changes(&changes);
        for lost in losses.iter().filter(|lost| is_sound(lost)) {
            self.record_sound_answer(&lost.parts, now);
        }
    }

    /// Drops old evidence and judges all suspected parts again.
    pub(crate) fn update_quarantine(&self, now: Duration) {
        let changes = self.tables.quarantine.lock().update(now);
        self.log_quarantine_changes(&changes);
    }

    pub(crate) fn merge_crash_report(&self, from: &Instance, report: CrashReport, now: Duration) {
        let changes = self.tables.quarantine.lock().merge(from, report, now);
        self.log_quarantine_changes(&changes);
    }

    fn log_quarantine_changes(&self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Quarantined(verdict) => log_verdict(verdict),
                Change::Adopted(part) => {
                    log::info!(target: "crashes", prompt_part:% = hex(*part); "another instance quarantined a prompt part");
                }
                Change::Prolonged(part) => {
                    log::warn!(target: "crashes", prompt_part:% = hex(*part); "quarantine prolonged after a probe");
                }
                Change::Lifted(part) => {
                    log::info!(target: "crashes", prompt_part:% = hex(*part); "quarantine lifted");
                }
            }
        }
    }
}

fn log_verdict(verdict: &Verdict) {
    log::warn!(
        target: "crashes",
        prompt_part:% = hex(verdict.part),
        crashes = verdict.crashes,
        answers = verdict.answers as u64,
        chance:% = format_args!("{:.1e}", verdict.chance);
        "prompt part quarantined"
    );
}

/// Formats the identifier of a prompt part as callers write it.
fn hex(part: u64) -> String {
    format!("{part:x}")
}

/// Adds to a refusal that a prompt part is quarantined.
pub(crate) fn name_part(refusal: Refusal, part: u64) -> Refusal {
    debug_assert_eq!(refusal.code, Code::Quarantined);
    refusal.with_detail(Detail::QuarantinedPart(part))
}
