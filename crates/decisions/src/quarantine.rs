//! Quarantine of prompt parts that crash targets.
//!
//! A prompt part may crash every target that begins to answer a prompt with
//! it. Each crash takes all requests at the target with it, so a single crash
//! accuses every part that was there. Instances share the crashes that they saw
//! as [`CrashReport`]s, and each judges by all of them together: a part that was
//! lost in several crashes and that hardly ever came through is quarantined,
//! and requests with it are refused on all instances.
//!
//! A quarantine ends with a probe: after a while one request with the part is
//! let through. If it is answered, the quarantine is lifted everywhere;
//! otherwise it lasts twice as long.

mod decaying_count;
mod entry;
mod evidence;
mod report;

use std::collections::HashMap;
use std::time::Duration;

use crate::audience::Audience;
use crate::names::Instance;
use crate::names::RequestId;
use crate::names::Target;
use crate::traffic::PromptPart;
use entry::Entry;
use entry::State;
use evidence::Evidence;
use evidence::MIN_ANSWERS;
use evidence::Suspect;
use xxhash_rust::xxh3::xxh3_64;

pub use report::AnswersRecord;
pub use report::CrashReport;
pub use report::LossRecord;
pub use report::QuarantineRecord;
pub use report::SuspectRecord;

/// Fewest independent crashes for which a part is quarantined.
const MIN_CRASHES: usize = 3;

/// Highest probability that any of the suspected parts was in flight at so many
/// crashes by chance.
const MAX_CHANCE: f64 = 1e-2;

/// Fewest crashes in excess of the answers for which a part is suspected.
const MIN_SUSPECTED_EXCESS: i64 = 2;

/// Time from the first crash with a part to its earliest quarantine, in which
/// the other instances report the answers to requests with it.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Largest number of quarantined parts.
const MAX_ENTRIES: usize = 64;

/// A request that was in flight at a target when the target crashed.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashedRequest<'a> {
    /// The request.
    pub id: &'a RequestId,
    /// Parts of its prompt, in order.
    pub parts: &'a [PromptPart],
}

/// A change of a part's quarantine, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A part was quarantined by this instance's judgement.
    Quarantined(Verdict),
    /// Another instance reported that a part is quarantined.
    Adopted(u64),
    /// A quarantine was prolonged, as a probe crashed a target.
    Prolonged(u64),
    /// A quarantine was lifted, as a request with the part was answered.
    Lifted(u64),
}

/// Why a part was quarantined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// The part.
    pub part: u64,
    /// Independent crashes in which requests with the part were lost.
    pub crashes: usize,
    /// Recent answered requests with the part, on all instances.
    pub answers: f64,
    /// Probability that any of the suspected parts was in flight at so many
    /// crashes by chance.
    pub chance: f64,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No part of the prompt is quarantined.
    Allowed,
    /// The part is quarantined.
    Quarantined(u64),
    /// The part's quarantine has lasted as long as it was meant to, for that
    /// much time. The request may be its probe, see [`Quarantine::try_probe`].
    ProbeDue(u64, Duration),
}

/// The quarantined prompt parts, and the evidence for and against others. All
/// times are on the local monotonic clock.
///
/// # Invariants
///
/// `entries` has at most [`MAX_ENTRIES`] entries.
#[derive(Debug, Default)]
pub struct Quarantine {
    evidence: Evidence,
    entries: HashMap<u64, Entry>,
}

impl Quarantine {
    /// Tells whether a request with these prompt parts may be sent to a target.
    pub fn admit(&self, id: &RequestId, parts: &[PromptPart], now: Duration) -> Admission {
        if self.entries.is_empty() {
            return Admission::Allowed;
        }
        let quarantined = PromptPart::shared(parts)
            .iter()
            .filter_map(|part| Some((part.id, self.entries.get(&part.id)?)))
            .find(|(_, entry)| entry.bars(request_hash(id), now));
        match quarantined {
            None => Admission::Allowed,
            Some((part, entry)) => match entry.overdue(now) {
                Some(overdue) => Admission::ProbeDue(part, overdue),
                None => Admission::Quarantined(part),
            },
        }
    }

    /// Tells whether a part of the prompt is suspected, so that a request that
    /// was lost in a crash may crash the next target too.
    pub fn is_suspected(&self, parts: &[PromptPart], now: Duration) -> bool {
        let mut shared = PromptPart::shared(parts).iter();
        shared.any(|part| {
            self.evidence.suspect(part.id).is_some_and(|suspect| {
                let crashes = suspect.count_crashes(|_| false);
                let excess = self.evidence.excess(part.id, suspect, crashes, now);
                excess >= MIN_SUSPECTED_EXCESS
            })
        })
    }

    /// Makes a request the probe of a part, unless another request is. Returns
    /// whether it is the probe.
    pub fn try_probe(&mut self, part: u64, id: &RequestId, now: Duration) -> bool {
        match self.entries.get_mut(&part) {
            Some(entry) => entry.try_probe(request_hash(id), now),
            None => true,
        }
    }

    /// Records that a request was answered completely, or that its answer had
    /// been arriving for long.
    pub fn record_answer(&mut self, parts: &[PromptPart], now: Duration) -> Vec<Change> {
        let shared = PromptPart::shared(parts);
        self.evidence.record_answer(shared, now);
        let mut changes = Vec::new();
        for part in shared {
            let is_lifted = self
                .entries
                .get_mut(&part.id)
                .is_some_and(|entry| entry.lift_by_probe(now));
            if is_lifted {
                self.evidence.acquit(part.id);
                changes.push(Change::Lifted(part.id));
            }
        }
        changes
    }

    /// Records the requests of this instance that were lost in a crash of
    /// `target`, and judges their parts.
    pub fn record_crash(
        &mut self,
        target: &Target,
        requests: &[CrashedRequest<'_>],
        now: Duration,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for lost in requests {
            let request = request_hash(lost.id);
            let shared = PromptPart::shared(lost.parts);
            self.evidence.record_loss(target, request, shared, now);
            for part in shared {
                let is_prolonged = self
                    .entries
                    .get_mut(&part.id)
                    .is_some_and(|entry| entry.prolong_by_probe(request, now));
                if is_prolonged {
                    changes.push(Change::Prolonged(part.id));
                }
            }
        }
        changes.extend(self.judge(now));
        changes
    }

    /// Drops what no longer counts, and judges all parts again.
    pub fn update(&mut self, now: Duration) -> Vec<Change> {
        self.evidence.expire(now);
        self.entries.retain(|_, entry| !entry.is_expired(now));
        self.judge(now)
    }

    /// Forgets the counts that another instance reported, as it has stopped or
    /// they come another way. Losses stay, as each is known by its request.
    pub fn remove_instance(&mut self, from: &Instance) {
        self.evidence.remove_instance(from);
    }

    /// Forgets the counts that all other instances reported.
    pub fn remove_all_instances(&mut self) {
        self.evidence.remove_all_instances();
    }

    /// Returns what an audience is told.
    pub fn report(&self, audience: Audience<'_>, now: Duration) -> CrashReport {
        let quarantined = self.entries.iter();
        CrashReport {
            quarantined: quarantined
                .map(|(part, entry)| entry.to_record(*part, now))
                .collect(),
            ..self.evidence.report(audience, now)
        }
    }

    /// Applies the report of another instance, and judges all parts again.
    pub fn merge(&mut self, from: &Instance, report: CrashReport, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in &report.quarantined {
            changes.extend(self.adopt(record, now));
        }
        if self.evidence.merge(from, report, now) {
            changes.extend(self.judge(now));
        }
        changes
    }

    /// Counts the quarantined parts.
    pub fn len(&self) -> usize {
        let active = self.entries.values().filter(|entry| entry.is_active());
        active.count()
    }

    /// Tells whether no part is quarantined.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn adopt(&mut self, record: &QuarantineRecord, now: Duration) -> Option<Change> {
        let reported = Entry::from_record(record, now);
        let known = self.entries.get(&record.part);
        if known.is_some_and(|known| !reported.supersedes(known))
            || (known.is_none() && self.entries.len() >= MAX_ENTRIES)
        {
            return None;
        }
        let was_active = known.is_some_and(Entry::is_active);
        let change = match (was_active, reported.state()) {
            (_, State::Active) => Some(Change::Adopted(record.part)),
            (true, State::Lifted) => Some(Change::Lifted(record.part)),
            (false, State::Lifted) => None,
        };
        if reported.state() == State::Lifted {
            self.evidence.acquit(record.part);
        }
        self.entries.insert(record.part, reported);
        change
    }

    /// Lifts the quarantines that the answers speak against, and quarantines
    /// the parts that explain crashes best, one after the other: crashes that a
    /// quarantined part explains don't accuse other parts.
    fn judge(&mut self, now: Duration) -> Vec<Change> {
        let mut changes = self.lift_refuted(now);
        while let Some(verdict) = self.find_culprit(now) {
            if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&verdict.part) {
                break;
            }
            let entry = match self.entries.get(&verdict.part) {
                Some(lifted) => lifted.renew(now),
                None => Entry::new(now),
            };
            self.entries.insert(verdict.part, entry);
            changes.push(Change::Quarantined(verdict));
        }
        changes
    }

    fn lift_refuted(&mut self, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut refuted = Vec::new();
        for (part, entry) in &mut self.entries {
            let is_refuted = self.evidence.suspect(*part).is_some_and(|suspect| {
                let answers = self.evidence.answers(*part, suspect, now);
                let crashes = suspect.count_crashes(|_| false);
                answers >= MIN_ANSWERS && self.evidence.excess(*part, suspect, crashes, now) <= 0
            });
            if is_refuted && entry.lift(now) {
                refuted.push(*part);
            }
        }
        for part in refuted {
            self.evidence.acquit(part);
            changes.push(Change::Lifted(part));
        }
        changes
    }

    /// Returns the part that explains most of the crashes that no quarantined
    /// part explains, if it is accused by enough of them. Of several parts that
    /// occurred together, the last in the prompt is returned, as fewest other
    /// requests have it.
    fn find_culprit(&self, now: Duration) -> Option<Verdict> {
        let active = self.entries.iter().filter(|(_, entry)| entry.is_active());
        let culprits: Vec<&Suspect> = active
            .filter_map(|(part, _)| self.evidence.suspect(*part))
            .collect();
        let accused = self.evidence.suspects().filter_map(|(part, suspect)| {
            let verdict = self.judge_suspect(*part, suspect, &culprits, now)?;
            let excess = self.evidence.excess(*part, suspect, verdict.crashes, now);
            Some(((excess, suspect.position(), *part), verdict))
        });
        let worst = accused.max_by_key(|(rank, _)| *rank);
        worst.map(|(_, verdict)| verdict)
    }

    /// Returns the verdict on a part that is not quarantined, if it is accused
    /// by enough crashes that none of the `culprits` explains.
    fn judge_suspect(
        &self,
        part: u64,
        suspect: &Suspect,
        culprits: &[&Suspect],
        now: Duration,
    ) -> Option<Verdict> {
        let entry = self.entries.get(&part);
        if entry.is_some_and(Entry::is_active) || now < suspect.first_at() + REPORT_TIME {
            return None;
        }
        let lifted_at = entry.map(Entry::changed_at);
        let crashes = suspect.count_crashes(|loss| {
            lifted_at.is_some_and(|at| loss.at() <= at)
                || culprits.iter().any(|culprit| culprit.explains(loss))
        });
        if crashes < MIN_CRASHES || self.evidence.excess(part, suspect, crashes, now) <= 0 {
            return None;
        }
        let answers = self.evidence.answers(part, suspect, now);
        let suspects = self.evidence.suspect_count() as f64;
        let chance = self.evidence.chance(answers, crashes, now) * suspects;
        (chance <= MAX_CHANCE).then_some(Verdict {
            part,
            crashes,
            answers,
            chance,
        })
    }
}

/// Returns the hash by which requests are told apart in reports.
fn request_hash(id: &RequestId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}
