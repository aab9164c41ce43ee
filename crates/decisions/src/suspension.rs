//! Suspension of requests under which targets crash.
//!
//! A caller that gets no answer asks again under another identifier, so a
//! request that crashes targets is recognized by its content. Instances share
//! the crashes that they saw as [`LostRequestsReport`]s. A request that was in
//! flight at two targets when these crashed, with no answer since, is refused
//! for a while everywhere; each further crash doubles that time. After it one
//! request at a time is let through as a probe.

mod report;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3Default;

use crate::audience::Audience;
use crate::audience::Source;
use crate::names::Instance;
use crate::names::Pool;
use crate::names::RequestId;
use crate::names::Target;
use crate::traffic::PromptPart;

pub use report::CrashRecord;
pub use report::LostRequestsReport;
pub use report::RequestAnswer;

/// Fewest crashes for which a request is suspended.
const MIN_CRASHES: usize = 2;

/// Length of a request's first suspension.
const BASE_LENGTH: Duration = Duration::from_secs(10);

/// Longest suspension.
const MAX_LENGTH: Duration = Duration::from_secs(80);

/// Time after which another request may be the probe if the last one has no
/// result.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a request's crashes are remembered after the last one, and
/// for which its answer is.
const MEMORY: Duration = Duration::from_secs(120);

/// Longest time between two losses at a target that belong to one crash. A
/// target needs longer to start again.
const CRASH_SPAN: Duration = Duration::from_secs(2);

/// Largest number of requests that are remembered.
const MAX_REQUESTS: usize = 2048;

/// Largest number of crashes that are remembered for one request.
const MAX_CRASHES: usize = 8;

/// Age up to which what an instance saw is reported, in milliseconds. Several
/// reports are sent in this time.
const REPORT_AGE_MS: u32 = 2_000;

/// Largest number of lost requests in a report.
const MAX_REPORTED_LOSSES: usize = 256;

/// Identifies a request by its content. It is the same when a caller asks
/// again under another identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// Returns the digest of a request to a pool. `parts` are the parts of its
    /// prompt, which need not be in the body.
    pub fn new(
        pool: &Pool,
        method: &str,
        path_and_query: &str,
        parts: &[PromptPart],
        body: &[u8],
    ) -> Self {
        let mut hasher = Xxh3Default::new();
        for text in [pool.as_str(), method, path_and_query] {
            hasher.update(text.as_bytes());
            // No name and no path has this byte.
            hasher.update(&[0]);
        }
        for part in parts {
            hasher.update(&part.id.to_be_bytes());
        }
        hasher.update(body);
        Self(hasher.digest())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A crash of a target in which a request was lost.
#[derive(Clone, Debug)]
struct Crash {
    target: Target,
    at: Duration,
    /// The instance that lost the request, or told of it.
    source: Source,
}

/// An answer to a request.
#[derive(Clone, Debug)]
struct Answer {
    at: Duration,
    /// The instance that passed it on, or told of it.
    source: Source,
}

/// A request that was let through after a suspension.
#[derive(Clone, Debug)]
struct Probe {
    id: RequestId,
    sent_at: Duration,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is not suspended.
    Allowed,
    /// It is suspended for that much longer.
    Suspended(Duration),
    /// Its suspension ended that long ago. It may become the probe, see
    /// [`Suspensions::try_probe`].
    ProbeDue(Duration),
}

/// The crashes under one request since it was last answered.
///
/// # Invariants
///
/// `crashes` has at most [`MAX_CRASHES`] entries, oldest first, each for another
/// crash and none older than `answer`.
#[derive(Clone, Debug, Default)]
struct History {
    crashes: Vec<Crash>,
    answer: Option<Answer>,
    probe: Option<Probe>,
}

impl History {
    fn add_crash(&mut self, crash: Crash) {
        let answer = self.answer.as_ref();
        let is_refuted = answer.is_some_and(|answer| crash.at <= answer.at);
        let is_known = |known: &Crash| {
            known.target == crash.target && known.at.abs_diff(crash.at) < CRASH_SPAN
        };
        if is_refuted || self.crashes.iter().any(is_known) {
            return;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    fn add_answer(&mut self, answer: Answer) {
        if self
            .answer
            .as_ref()
            .is_some_and(|known| known.at >= answer.at)
        {
            return;
        }
        self.crashes.retain(|crash| crash.at > answer.at);
        self.answer = Some(answer);
    }

    fn admit(&self, id: &RequestId, now: Duration) -> Admission {
        let Some(until) = self.suspended_until() else {
            return Admission::Allowed;
        };
        let Some(overdue) = now.checked_sub(until) else {
            return Admission::Suspended(until - now);
        };
        match self.running_probe(now) {
            Some(probe) if probe.id == *id => Admission::Allowed,
            Some(probe) => Admission::Suspended(probe.sent_at + PROBE_TIMEOUT - now),
            None => Admission::ProbeDue(overdue),
        }
    }

    fn running_probe(&self, now: Duration) -> Option<&Probe> {
        let probe = self.probe.as_ref();
        probe.filter(|probe| now < probe.sent_at + PROBE_TIMEOUT)
    }

    fn last_at(&self) -> Duration {
        let answered_at = self.answer.as_ref().map(|answer| answer.at);
        let crashed_at = self.crashes.last().map(|crash| crash.at);
        crashed_at.max(answered_at).unwrap_or_default()
    }

    fn suspended_until(&self) -> Option<Duration> {
        let further = self.crashes.len().checked_sub(MIN_CRASHES)?;
        let length = BASE_LENGTH * (1 << further.min(MAX_CRASHES));
        Some(self.crashes.last()?.at + length.min(MAX_LENGTH))
    }
}

/// The requests under which targets crashed lately. All times are on the local
/// monotonic clock.
///
/// # Invariants
///
/// `requests` has at most [`MAX_REQUESTS`] entries.
#[derive(Debug, Default)]
pub struct Suspensions {
    requests: HashMap<RequestDigest, History>,
}

impl Suspensions {
    /// Records the requests of this instance that were lost in a crash of
    /// `target`. Returns those that this suspends, or suspends for longer.
    pub fn record_crash<I>(
        &mut self,
        target: &Target,
        requests: I,
        now: Duration,
    ) -> Vec<RequestDigest>
    where
        I: IntoIterator<Item = RequestDigest>,
    {
        let mut suspended = Vec::new();
        for digest in requests {
            let crash = Crash {
                target: target.clone(),
                at: now,
                source: Source::Own,
            };
            self.history_mut(digest).add_crash(crash);
            if self.is_suspended(digest, now) && !suspended.contains(&digest) {
                suspended.push(digest);
            }
        }
        suspended
    }

    /// Records that a request was answered completely.
    pub fn record_answer(&mut self, digest: RequestDigest, now: Duration) {
        if let Some(history) = self.requests.get_mut(&digest) {
            history.add_answer(Answer {
                at: now,
                source: Source::Own,
            });
        }
    }

    /// Tells whether a request may be sent to a target.
    pub fn admit(&self, digest: RequestDigest, id: &RequestId, now: Duration) -> Admission {
        let history = self.requests.get(&digest);
        history.map_or(Admission::Allowed, |history| history.admit(id, now))
    }

    /// Makes a request the probe, if one is due. Returns whether it is the
    /// probe.
    pub fn try_probe(&mut self, digest: RequestDigest, id: &RequestId, now: Duration) -> bool {
        let Some(history) = self.requests.get_mut(&digest) else {
            return true;
        };
        match history.admit(id, now) {
            Admission::Allowed => true,
            Admission::Suspended(_) => false,
            Admission::ProbeDue(_) => {
                let (id, sent_at) = (id.clone(), now);
                history.probe = Some(Probe { id, sent_at });
                true
            }
        }
    }

    fn is_suspended(&self, digest: RequestDigest, now: Duration) -> bool {
        let until = self
            .requests
            .get(&digest)
            .and_then(History::suspended_until);
        until.is_some_and(|until| now < until)
    }

    /// Tells whether a target crashed under the request, which was not answered
    /// since. If it is lost once more, no further target may get it.
    pub fn has_crashed(&self, digest: RequestDigest) -> bool {
        let history = self.requests.get(&digest);
        history.is_some_and(|history| !history.crashes.is_empty())
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Duration) {
        self.requests
            .retain(|_, history| now < history.last_at() + MEMORY);
    }

    /// Counts the suspended requests.
    pub fn count_suspended(&self, now: Duration) -> usize {
        let digests = self.requests.keys();
        digests
            .filter(|digest| self.is_suspended(**digest, now))
            .count()
    }

    fn history_mut(&mut self, digest: RequestDigest) -> &mut History {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&digest) {
            self.forget_weakest();
        }
        self.requests.entry(digest).or_default()
    }

    /// Forgets the request with the fewest crashes, the oldest of several.
    fn forget_weakest(&mut self) {
        let strength =
            |(_, history): &(&RequestDigest, &History)| (history.crashes.len(), history.last_at());
        let weakest = self.requests.iter().min_by_key(strength);
        if let Some(digest) = weakest.map(|(digest, _)| *digest) {
            self.requests.remove(&digest);
        }
    }

    /// Returns what an audience is told: losses of the last moments, all that
    /// this instance knows of requests that were suspended, and answers.
    pub fn report(&self, audience: Audience<'_>, now: Duration) -> LostRequestsReport {
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
        let mut losses = Vec::new();
        let mut answers = Vec::new();
        for (digest, history) in &self.requests {
            // All instances repeat the crashes of these, as those that lost the
            // request may have restarted.
            let is_repeated = history.crashes.len() >= MIN_CRASHES;
            for crash in &history.crashes {
                let is_news = audience.includes(&crash.source) && age_ms(crash.at) < REPORT_AGE_MS;
                if is_repeated || is_news {
                    let rank = Reverse((history.crashes.len(), crash.at));
                    losses.push((rank, crash, *digest));
                }
            }
            let answer = history.answer.as_ref();
            if let Some(answer) = answer.filter(|answer| audience.includes(&answer.source))
                && age_ms(answer.at) < REPORT_AGE_MS
            {
                answers.push(RequestAnswer {
                    request: *digest,
                    age_ms: age_ms(answer.at),
                });
            }
        }
        losses.sort_unstable_by_key(|(rank, ..)| *rank);
        answers.truncate(MAX_REPORTED_LOSSES);
        let mut report = LostRequestsReport {
            crashes: Vec::new(),
            answers,
        };
        for (_, crash, digest) in losses.into_iter().take(MAX_REPORTED_LOSSES) {
            report.add_loss(&crash.target, age_ms(crash.at), digest);
        }
        report
    }

    /// Applies the report of another instance.
    pub fn merge(&mut self, from: &Instance, report: LostRequestsReport, now: Duration) {
        let at = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        for answer in report.answers {
            if let Some(history) = self.requests.get_mut(&answer.request) {
                history.add_answer(Answer {
                    at: at(answer.age_ms),
                    source: Source::Other(from.clone()),
                });
            }
        }
        for record in report.crashes {
            for digest in record.requests.into_iter().take(MAX_REPORTED_LOSSES) {
                self.history_mut(digest).add_crash(Crash {
                    target: record.target.clone(),
                    at: at(record.age_ms),
                    source: Source::Other(from.clone()),
                });
            }
        }
    }
}
