//! What must hold of each request of a run.

use std::collections::HashMap;
use std::collections::HashSet;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use support::node::Got;

use super::MIN_REQUESTS;
use super::Profile;
use super::SLACK;
use super::arrivals::Arrivals;
use super::callers::End;
use super::callers::Seen;
use super::homes;
use super::late;
use super::record::Scope;
use super::streams;
use super::streams::Resumed;
use super::targets::EVENTS;
use super::targets::TARGETS;
use super::trouble;
use super::usage::Excess;
use super::world::Soak;

/// Statuses that promise that a request has not run.
pub(super) const NOT_RUN: [u16; 9] = [400, 401, 404, 408, 413, 421, 429, 431, 503];

/// Statuses that refuse a request which the configurations of a run allow.
const DENIED: [u16; 6] = [400, 401, 403, 404, 413, 431];

/// Statuses that promise nothing.
const UNKNOWN: [u16; 2] = [502, 504];

/// Time after which a connection that ends without an answer counts as one
/// whose request was read.
const LOSS_SLACK: Duration = Duration::from_millis(1000);

/// Time by which an answer at a timeout may come before it, for the clocks of
/// caller and gateway.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(50);

/// Message of an instance that gave up a request.
const UNANSWERED_LINE: &str = "request got no complete answer";

/// Most log lines that are shown of a request.
const MAX_SHOWN_LINES: usize = 16;

/// Variable that asks for the logs of all runs.
const KEEP_LOGS: &str = "SOAK_KEEP_LOGS";

/// Most violations that are shown.
const MAX_SHOWN: usize = 20;

/// Something that must not happen.
#[derive(Debug)]
pub(super) struct Violation {
    pub(super) id: String,
    pub(super) rule: &'static str,
    pub(super) seen: String,
}

/// Checks a run. The logs of one that fails are kept, and those of others if
/// the environment asks for them.
pub(super) async fn check(soak: &Soak, profile: Profile, seed: u64) {
    let unrecorded = late::unrecorded(soak).await;
    let logs = soak.logs().await;
    let found = {
        let seen = soak.seen.lock().expect("no panic under the lock");
        summarize(profile, seed, &seen, &soak.usage.summary());
        assert!(seen.len() > MIN_REQUESTS, "only {} requests", seen.len());
        let excesses = soak.usage.excesses();
        let mut found: Vec<_> = excesses.into_iter().map(Violation::from).collect();
        found.extend(
            soak.cold
                .excesses(soak)
                .into_iter()
                .map(too_many_while_cold),
        );
        found.extend(unrecorded);
        found.extend(soak.misnamed.violations());
        found.extend(soak.cuts.violations(&seen));
        found.extend(soak.brittle.violations(soak));
        found.extend(soak.lookups.violations(soak));
        found.extend(Checker::new(soak, profile, &logs).violations(&seen));
        found
    };
    if found.is_empty() {
        if std::env::var_os(KEEP_LOGS).is_some() {
            keep_logs(profile, seed, &logs);
        }
        return;
    }
    let dir = keep_logs(profile, seed, &logs);
    let shown = found.iter().take(MAX_SHOWN);
    let shown: Vec<_> = shown.map(|one| one.explain(&logs)).collect();
    panic!(
        "{profile:?} seed {seed}: {} violations, logs in {}\n{}",
        found.len(),
        dir.display(),
        shown.join("\n")
    );
}

fn too_many_while_cold((target, count): (&'static str, usize)) -> Violation {
    Violation {
        id: target.to_owned(),
        rule: "a cold target got too many requests",
        seen: format!("{count} in a second"),
    }
}

/// Prints how often each end was seen, and what processes used.
fn summarize(profile: Profile, seed: u64, seen: &[Seen], used: &str) {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for one in seen {
        let end = match &one.end {
            End::NotSent => "not sent".to_owned(),
            End::Unopened => "unopened".to_owned(),
            End::Unanswered => "unanswered".to_owned(),
            End::Late => "late".to_owned(),
            End::Malformed => "malformed".to_owned(),
            End::Answered(got) if got.whole => got.status.as_str().to_owned(),
            End::Answered(_) => "broken off".to_owned(),
            End::Lost(_) => "lost by its caller".to_owned(),
        };
        *counts.entry(end).or_default() += 1;
    }
    let kept = seen.iter().filter(|one| one.is_kept).count();
    let resumed = Resumed::count(seen).summary();
    println!("{profile:?} seed {seed}: {counts:?}, {kept} on kept connections, {resumed}, {used}");
}

fn keep_logs(profile: Profile, seed: u64, logs: &[(String, String)]) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{profile:?}-{seed}"));
    std::fs::create_dir_all(&dir).expect("a folder for the logs");
    for (i, (name, log)) in logs.iter().enumerate() {
        let path = dir.join(format!("{i}-{name}.log"));
        std::fs::write(path, log).expect("the log can be written");
    }
    dir
}

impl From<Excess> for Violation {
    fn from(excess: Excess) -> Self {
        Self {
            id: excess.instance,
            rule: excess.rule,
            seen: excess.seen,
        }
    }
}

impl Violation {
    pub(super) fn new(one: &Seen, rule: &'static str) -> Self {
        Self {
            id: one.id.clone(),
            rule,
            seen: format!("after {:?}: {one:?}", one.ended - one.sent),
        }
    }

    /// Describes the violation, with what the instances logged of the request.
    fn explain(&self, logs: &[(String, String)]) -> String {
        let mut text = format!("{}: {}: {}\n", self.rule, self.id, self.seen);
        let field = format!("\"id\":\"{}\"", self.id);
        let lines = logs.iter().flat_map(|(_, log)| log.lines());
        let named = lines.filter(|line| line.contains(&field));
        for line in named.take(MAX_SHOWN_LINES) {
            text.push_str(&format!("    {line}\n"));
        }
        text
    }
}

/// Returns the id of the request that a log line says was given up.
fn given_up_request(line: &str) -> Option<String> {
    if !line.contains(UNANSWERED_LINE) {
        return None;
    }
    let line: Value = serde_json::from_str(line).ok()?;
    line["id"].as_str().map(str::to_owned)
}

struct Checker<'a> {
    soak: &'a Soak,
    profile: Profile,
    arrivals: Arrivals,
    /// Requests that an instance says it gave up.
    given_up: HashSet<String>,
}

impl<'a> Checker<'a> {
    fn new(soak: &'a Soak, profile: Profile, logs: &[(String, String)]) -> Self {
        let lines = logs.iter().flat_map(|(_, log)| log.lines());
        let given_up = lines.filter_map(given_up_request);
        Self {
            soak,
            profile,
            arrivals: Arrivals::of(soak),
            given_up: given_up.collect(),
        }
    }

    /// Returns the targets that ran a request, as often as they did.
    fn runs(&self, one: &Seen) -> Vec<usize> {
        self.arrivals.runs(&one.id)
    }

    fn violations(&self, seen: &[Seen]) -> Vec<Violation> {
        let mut found = Vec::new();
        for one in seen {
            let broken = self.broken_rules(one);
            found.extend(broken.into_iter().map(|rule| Violation::new(one, rule)));
        }
        if matches!(self.profile, Profile::Calm | Profile::Crowded) {
            found.extend(self.given_up_without_cause(seen));
        }
        found.extend(homes::violations(self.soak, seen, &self.arrivals));
        found.extend(streams::violations(seen, &self.arrivals));
        found.extend(Resumed::count(seen).violation(self.profile));
        found
    }

    fn broken_rules(&self, one: &Seen) -> Vec<&'static str> {
        let mut rules = Vec::new();
        let mut hold = |holds: bool, rule| {
            if !holds {
                rules.push(rule);
            }
        };
        let ran = self.runs(one).len();
        hold(
            !runs_at_most_once(one.path) || ran <= 1,
            "ran more than once",
        );
        hold(self.is_answered(one), "not answered, without a fault");
        let is_malformed = matches!(one.end, End::Malformed);
        hold(!is_malformed, "answered by what is no answer");
        if let Some(got) = one.answer() {
            let is = |statuses: &[u16]| statuses.contains(&got.status.as_u16());
            hold(!is(&NOT_RUN) || ran == 0, "refused as not run, and ran");
            hold(!is(&DENIED), "denied");
            if got.status.is_success() {
                hold(ran >= 1, "answered by nobody");
                hold(self.is_own_answer(one, got), "not the answer to it");
            }
        }
        rules
    }

    /// Tells whether an answer is one of a target that ran the request, as far
    /// as it came.
    fn is_own_answer(&self, one: &Seen, got: &Got) -> bool {
        if got.header("request-id") != one.id {
            return false;
        }
        if trouble::wrote(got) {
            return trouble::is_allowed(one, got);
        }
        let runs = self.runs(one);
        let targets = runs.iter().map(|at| &TARGETS[*at]);
        let mut allowed = targets.filter(|(_, service, _)| service_answers(one.path, service));
        if is_stream(one.path) {
            let whole: Vec<u64> = (one.after() + 1..=EVENTS).collect();
            let events = got.event_ids();
            let is_in_order = match got.whole {
                true => events == whole,
                false => whole.starts_with(&events),
            };
            return allowed.next().is_some() && is_in_order;
        }
        allowed.any(|(name, _, _)| {
            let body = format!("answer of {name}");
            let is_body = match got.whole {
                true => got.body == body,
                false => body.starts_with(&got.body),
            };
            is_body && got.header("server-stamp") == format!("stamp-of-{name}")
        })
    }

    /// Tells whether a request was answered or honestly refused, or a fault or
    /// its time explains that it was not.
    fn is_answered(&self, one: &Seen) -> bool {
        let (shortest, longest) = self.soak.changes.timeouts(one.sent, one.ended);
        let took = one.ended - one.sent;
        let is_timed_out = took + TIMEOUT_MARGIN >= one.deadline.min(shortest);
        let is_well = match &one.end {
            End::NotSent => true,
            End::Unanswered => !self.was_read(one),
            End::Unopened | End::Late | End::Malformed => false,
            End::Lost(_) => true,
            End::Answered(got) => {
                let is_answer = got.whole && !UNKNOWN.contains(&got.status.as_u16());
                let is_in_time = took <= one.deadline.min(longest) + SLACK;
                is_in_time && (is_answer || is_timed_out)
            }
        };
        is_well || self.is_touched(one)
    }

    /// Tells whether an instance has read a request whole.
    fn was_read(&self, one: &Seen) -> bool {
        !self.runs(one).is_empty()
            || self.given_up.contains(&one.id)
            || one.ended - one.sent > LOSS_SLACK
    }

    /// Tells whether a fault touched a request: one of its instance, of a target
    /// that ran it, or of an instance that it was passed on to.
    fn is_touched(&self, one: &Seen) -> bool {
        let runs = self.runs(one);
        let own_zone = self.soak.places[one.at].zone;
        let is_passed_on = runs.iter().any(|at| TARGETS[*at].2 != own_zone);
        self.soak
            .record
            .touches(one.sent, one.ended, |scope| match scope {
                Scope::Instance(at) => at == one.at || is_passed_on || runs.is_empty(),
                Scope::Target(at) if runs.is_empty() => service_answers(one.path, TARGETS[at].1),
                Scope::Target(at) => runs.contains(&at),
                Scope::Store | Scope::StoreLink(_) => false,
            })
    }

    /// Returns the requests that an instance gave up though their time was not
    /// over.
    fn given_up_without_cause(&self, seen: &[Seen]) -> Vec<Violation> {
        // One that its caller has lost is given up for that.
        let awaited = seen.iter().filter(|one| !matches!(one.end, End::Lost(_)));
        let given_up = awaited.filter(|one| self.given_up.contains(&one.id));
        let without_cause = given_up.filter(|one| {
            let (shortest, _) = self.soak.changes.timeouts(one.sent, one.ended);
            one.ended - one.sent + TIMEOUT_MARGIN < one.deadline.min(shortest)
        });
        without_cause
            .map(|one| Violation::new(one, "given up by its instance"))
            .collect()
    }
}

/// Tells whether a service may answer a path in some configuration of a run.
fn service_answers(path: &str, service: &str) -> bool {
    match service {
        "orders" => !is_stream(path),
        "spare" => path.starts_with("/status"),
        _ => is_stream(path),
    }
}

pub(super) fn is_stream(path: &str) -> bool {
    path.starts_with("/quote") || path.starts_with("/chat")
}

fn runs_at_most_once(path: &str) -> bool {
    path.starts_with("/deposit") || path.starts_with("/chat")
}
