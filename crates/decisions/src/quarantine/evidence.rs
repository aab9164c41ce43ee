//! Evidence for and against prompt parts: requests lost in crashes, and
//! answered requests, of this and the other instances.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::decaying_count::DecayingCount;
use super::report::AnswersRecord;
use super::report::CrashReport;
use super::report::LossRecord;
use super::report::SuspectRecord;
use crate::audience::Audience;
use crate::audience::Source;
use crate::names::Instance;
use crate::names::Target;
use crate::traffic::PromptPart;

/// Time for which a lost request counts.
const LOSS_MEMORY: Duration = Duration::from_secs(120);

/// Longest time between two losses at a target that belong to one crash. A
/// target needs longer to start again.
const CRASH_SPAN: Duration = Duration::from_secs(2);

/// Largest number of suspected parts.
const MAX_SUSPECTS: usize = 512;

/// Largest number of crashes that are kept.
const MAX_CRASHES: usize = 64;

/// Largest number of losses that are kept for one part.
const MAX_LOSSES: usize = 32;

/// Largest number of parts whose answered requests are counted.
const MAX_ANSWERED_PARTS: usize = 4096;

/// Largest number of suspected parts whose losses one report has.
const MAX_REPORTED_SUSPECTS: usize = 16;

/// Largest number of suspected parts whose answers one report has.
const MAX_REPORTED_ANSWERS: usize = 32;

/// Largest number of losses of one part in a report.
const MAX_REPORTED_LOSSES: usize = 6;

/// Smallest count of answers that is evidence: one answer, after some time.
pub(super) const MIN_ANSWERS: f64 = 0.5;

/// Number of crashes that one answered request with a part outweighs.
const CRASHES_PER_ANSWER: f64 = 4.0;

/// Answered requests that are assumed in addition to the counted ones, so that
/// a rate from a few requests is not taken for exact.
const ASSUMED_ANSWERS: f64 = 20.0;

/// Answered requests with a part. They are remembered for longer than losses,
/// so that a part is not accused as answers are forgotten first.
type PartAnswers = DecayingCount<120>;

/// Requests by which the frequency of a part is judged. The memory is short, as
/// a part may be new.
type RecentRequests = DecayingCount<15>;

/// A request with a suspected part that was lost in a crash.
#[derive(Clone, Debug)]
pub(super) struct Loss {
    target: Target,
    request: u64,
    position: u16,
    at: Duration,
    /// The instance that lost it, or told of it.
    source: Source,
}

/// The crash of a target.
#[derive(Clone, Debug)]
struct Crash {
    target: Target,
    at: Duration,
}

impl Crash {
    fn includes(&self, loss: &Loss) -> bool {
        self.target == loss.target && self.at.abs_diff(loss.at) < CRASH_SPAN
    }
}

impl Loss {
    pub(super) fn at(&self) -> Duration {
        self.at
    }

    fn is_same_crash(&self, other: &Self) -> bool {
        self.target == other.target && self.at.abs_diff(other.at) < CRASH_SPAN
    }
}

/// The evidence about one part.
///
/// # Invariants
///
/// `losses` has at most [`MAX_LOSSES`] entries, oldest first, and no request
/// twice at one target.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    losses: Vec<Loss>,
    first_at: Duration,
    /// Answered requests that the other instances reported.
    answers_elsewhere: HashMap<Instance, PartAnswers>,
}

impl Suspect {
    fn new(now: Duration) -> Self {
        Self {
            losses: Vec::new(),
            first_at: now,
            answers_elsewhere: HashMap::new(),
        }
    }

    /// Adds a loss, and returns whether it is new.
    fn add(&mut self, loss: Loss) -> bool {
        let is_known = |known: &Loss| known.request == loss.request && known.target == loss.target;
        if self.losses.iter().any(is_known) {
            return false;
        }
        if self.losses.len() >= MAX_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push(loss);
        true
    }

    /// Returns when this instance first heard of a crash with the part.
    pub(super) fn first_at(&self) -> Duration {
        self.first_at
    }

    /// Returns the last index at which the part stood in a prompt.
    pub(super) fn position(&self) -> u16 {
        let positions = self.losses.iter().map(|loss| loss.position);
        positions.max().unwrap_or_default()
    }

    /// Tells whether a request with the part was lost in the same crash.
    pub(super) fn explains(&self, loss: &Loss) -> bool {
        self.losses.iter().any(|own| own.is_same_crash(loss))
    }

    /// Counts the independent crashes among the losses that `is_excluded`
    /// does not leave out: no target's crash and no request counts twice.
    pub(super) fn count_crashes<F>(&self, is_excluded: F) -> usize
    where
        F: Fn(&Loss) -> bool,
    {
        let mut crashes: Vec<&Loss> = Vec::new();
        let mut requests: HashSet<u64> = HashSet::new();
        for loss in self.losses.iter().filter(|loss| !is_excluded(loss)) {
            requests.insert(loss.request);
            if !crashes.iter().any(|crash| crash.is_same_crash(loss)) {
                crashes.push(loss);
            }
        }
        crashes.len().min(requests.len())
    }

    /// Returns the newest losses that an audience is told of, one of each crash.
    fn to_record(&self, part: u64, audience: Audience<'_>, now: Duration) -> SuspectRecord {
        let mut told: Vec<&Loss> = Vec::new();
        let losses = self.losses.iter().rev();
        for loss in losses.filter(|loss| audience.includes(&loss.source)) {
            if !told.iter().any(|other| other.is_same_crash(loss)) {
                told.push(loss);
            }
        }
        let to_record = |loss: &Loss| LossRecord {
            target: loss.target.clone(),
            request: loss.request,
            position: loss.position,
            age_ms: now.saturating_sub(loss.at).as_millis() as u32,
        };
        SuspectRecord {
            part,
            losses: told
                .into_iter()
                .take(MAX_REPORTED_LOSSES)
                .map(to_record)
                .collect(),
        }
    }

    fn last_at(&self) -> Duration {
        self.losses.last().map_or(self.first_at, |loss| loss.at)
    }
}

/// Recent lost and answered requests that another instance reported.
#[derive(Clone, Copy, Debug)]
struct Totals {
    lost: RecentRequests,
    answered: RecentRequests,
}

/// The evidence that this instance has.
///
/// # Invariants
///
/// `suspects` has at most [`MAX_SUSPECTS`] entries, `crashes` at most
/// [`MAX_CRASHES`], oldest first, and `answers` at most [`MAX_ANSWERED_PARTS`].
#[derive(Debug, Default)]
pub(super) struct Evidence {
    suspects: HashMap<u64, Suspect>,
    /// Crashes of all targets that this instance knows of.
    crashes: Vec<Crash>,
    answers: HashMap<u64, PartAnswers>,
    lost: RecentRequests,
    answered: RecentRequests,
    totals_elsewhere: HashMap<Instance, Totals>,
}

impl Evidence {
    pub(super) fn record_answer(&mut self, shared: &[PromptPart], now: Duration) {
        if shared.is_empty() {
            return;
        }
        self.answered.increment(now);
        for part in shared {
            self.answers.entry(part.id).or_default().increment(now);
        }
        if self.answers.len() > MAX_ANSWERED_PARTS {
            self.forget_rarest_answers(now);
        }
    }

    /// Keeps the more frequent half of the counted parts.
    fn forget_rarest_answers(&mut self, now: Duration) {
        let mut counts: Vec<f64> = self.answers.values().map(|count| count.get(now)).collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.answers.retain(|_, count| count.get(now) > median);
    }

    /// Records a request of this instance that was lost in a crash.
    pub(super) fn record_loss(
        &mut self,
        target: &Target,
        request: u64,
        shared: &[PromptPart],
        now: Duration,
    ) {
        if shared.is_empty() {
            return;
        }
        self.lost.increment(now);
        for (position, part) in (0..).zip(shared) {
            let loss = Loss {
                target: target.clone(),
                request,
                position,
                at: now,
                source: Source::Own,
            };
            self.record_crash_of(&loss);
            self.suspect_mut(part.id, now).add(loss);
        }
    }

    /// Adds the crash in which a request was lost, unless it is known.
    fn record_crash_of(&mut self, loss: &Loss) {
        if self.crashes.iter().any(|crash| crash.includes(loss)) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(Crash {
            target: loss.target.clone(),
            at: loss.at,
        });
    }

    fn suspect_mut(&mut self, part: u64, now: Duration) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&part) {
            self.forget_weakest_suspect(now);
        }
        let make = || Suspect::new(now);
        self.suspects.entry(part).or_insert_with(make)
    }

    /// Forgets the suspect that the evidence speaks most against accusing.
    fn forget_weakest_suspect(&mut self, now: Duration) {
        let strength = |(part, suspect): &(&u64, &Suspect)| {
            let excess = self.excess(**part, suspect, suspect.count_crashes(|_| false), now);
            (excess, suspect.last_at())
        };
        let weakest = self.suspects.iter().min_by_key(strength);
        if let Some(part) = weakest.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }

    /// Drops losses that no longer count.
    pub(super) fn expire(&mut self, now: Duration) {
        for suspect in self.suspects.values_mut() {
            suspect.losses.retain(|loss| now < loss.at + LOSS_MEMORY);
        }
        self.crashes.retain(|crash| now < crash.at + LOSS_MEMORY);
        self.suspects
            .retain(|_, suspect| !suspect.losses.is_empty());
    }

    /// Drops the evidence against a part, and the losses of other parts in the
    /// same crashes.
    pub(super) fn acquit(&mut self, part: u64) {
        let Some(acquitted) = self.suspects.remove(&part) else {
            return;
        };
        for suspect in self.suspects.values_mut() {
            suspect.losses.retain(|loss| !acquitted.explains(loss));
        }
        self.suspects
            .retain(|_, suspect| !suspect.losses.is_empty());
    }

    pub(super) fn suspect(&self, part: u64) -> Option<&Suspect> {
        self.suspects.get(&part)
    }

    pub(super) fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = (&u64, &Suspect)> {
        self.suspects.iter()
    }

    fn own_answers(&self, part: u64, now: Duration) -> f64 {
        self.answers.get(&part).map_or(0.0, |count| count.get(now))
    }

    /// Returns the recent answered requests with a part, on all instances.
    pub(super) fn answers(&self, part: u64, suspect: &Suspect, now: Duration) -> f64 {
        let elsewhere = suspect.answers_elsewhere.values();
        let elsewhere: f64 = elsewhere.map(|count| count.get(now)).sum();
        self.own_answers(part, now) + elsewhere
    }

    /// Returns the probability that requests with a part were in flight at
    /// `crashes` of the known crashes by chance, if the crashes have nothing to
    /// do with the part.
    pub(super) fn chance(&self, answers: f64, crashes: usize, now: Duration) -> f64 {
        let (mut lost, mut answered) = (self.lost.get(now), self.answered.get(now));
        for totals in self.totals_elsewhere.values() {
            lost += totals.lost.get(now);
            answered += totals.answered.get(now);
        }
        let weight = |crash: &Crash| RecentRequests::new(1.0, crash.at).get(now);
        let recent_crashes: f64 = self.crashes.iter().map(weight).sum();
        let lost_per_crash = lost / recent_crashes.max(f64::MIN_POSITIVE);
        let with_part = crashes as f64 + answers + 1.0;
        let frequency = with_part / (lost + answered + ASSUMED_ANSWERS);
        let in_one_crash = (frequency * lost_per_crash.max(1.0)).min(1.0);
        let binomial = |i: usize| (self.crashes.len() - i) as f64 / (i + 1) as f64;
        let counted = 0..crashes.min(self.crashes.len());
        counted.map(|i| binomial(i) * in_one_crash).product()
    }

    /// Returns by how much the crashes outweigh the answers to requests with a
    /// part.
    pub(super) fn excess(
        &self,
        part: u64,
        suspect: &Suspect,
        crashes: usize,
        now: Duration,
    ) -> i64 {
        let answers = self.answers(part, suspect, now);
        (crashes as f64 - answers * CRASHES_PER_ANSWER).ceil() as i64
    }

    /// Forgets the counts that another instance reported.
    pub(super) fn remove_instance(&mut self, from: &Instance) {
        self.totals_elsewhere.remove(from);
        for suspect in self.suspects.values_mut() {
            suspect.answers_elsewhere.remove(from);
        }
    }

    /// Forgets the counts that all other instances reported.
    pub(super) fn remove_all_instances(&mut self) {
        self.totals_elsewhere.clear();
        for suspect in self.suspects.values_mut() {
            suspect.answers_elsewhere.clear();
        }
    }

    /// Returns the recent answered requests with a part that an audience is
    /// told of.
    fn answers_for(
        &self,
        part: u64,
        suspect: &Suspect,
        audience: Audience<'_>,
        now: Duration,
    ) -> f64 {
        let told = suspect.answers_elsewhere.iter();
        let told = told.filter(|(name, _)| audience.includes_instance(name));
        let elsewhere: f64 = told.map(|(_, count)| count.get(now)).sum();
        self.own_answers(part, now) + elsewhere
    }

    /// Returns what an audience is told: the losses with the parts that are
    /// accused most, and the answers that speak for others.
    pub(super) fn report(&self, audience: Audience<'_>, now: Duration) -> CrashReport {
        let mut accused = Vec::new();
        let mut answered = Vec::new();
        for (part, suspect) in &self.suspects {
            let crashes = suspect.count_crashes(|_| false);
            let mut losses = suspect.losses.iter();
            if losses.any(|loss| audience.includes(&loss.source)) {
                let excess = self.excess(*part, suspect, crashes, now);
                accused.push((excess, suspect.last_at(), *part, suspect));
            }
            let answers = self.answers_for(*part, suspect, audience, now);
            if answers >= MIN_ANSWERS {
                answered.push((crashes, *part, answers));
            }
        }
        accused
            .sort_unstable_by_key(|(excess, last_at, part, _)| Reverse((*excess, *last_at, *part)));
        answered.sort_unstable_by_key(|(crashes, part, _)| Reverse((*crashes, *part)));
        let accused = accused.into_iter().take(MAX_REPORTED_SUSPECTS);
        let answered = answered.into_iter().take(MAX_REPORTED_ANSWERS);
        let (mut lost, mut answered_in_all) = (self.lost.get(now), self.answered.get(now));
        let told = self.totals_elsewhere.iter();
        for (_, totals) in told.filter(|(name, _)| audience.includes_instance(name)) {
            lost += totals.lost.get(now);
            answered_in_all += totals.answered.get(now);
        }
        CrashReport {
            lost: lost as f32,
            answered: answered_in_all as f32,
            losses: accused
                .map(|(_, _, part, suspect)| suspect.to_record(part, audience, now))
                .collect(),
            answers: answered
                .map(|(_, part, answers)| AnswersRecord {
                    part,
                    answers: answers as f32,
                })
                .collect(),
            quarantined: Vec::new(),
        }
    }

    /// Adds the report of another instance, and returns whether it has a loss
    /// that was not known.
    pub(super) fn merge(&mut self, from: &Instance, report: CrashReport, now: Duration) -> bool {
        let mut has_news = false;
        let totals = Totals {
            lost: RecentRequests::new(report.lost.into(), now),
            answered: RecentRequests::new(report.answered.into(), now),
        };
        self.totals_elsewhere.insert(from.clone(), totals);
        for record in report.losses.into_iter().take(MAX_REPORTED_SUSPECTS) {
            for loss in record.losses.into_iter().take(MAX_REPORTED_LOSSES) {
                let age = Duration::from_millis(loss.age_ms.into());
                let loss = Loss {
                    target: loss.target,
                    request: loss.request,
                    position: loss.position,
                    at: now.saturating_sub(age),
                    source: Source::Other(from.clone()),
                };
                self.record_crash_of(&loss);
                has_news |= self.suspect_mut(record.part, now).add(loss);
            }
        }
        for AnswersRecord { part, answers } in report.answers {
            if let Some(suspect) = self.suspects.get_mut(&part) {
                let answers = PartAnswers::new(answers.into(), now);
                suspect.answers_elsewhere.insert(from.clone(), answers);
            }
        }
        has_news
    }
}
