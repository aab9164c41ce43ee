//! What must hold of streams, over all requests with which a caller got one.

use std::collections::BTreeMap;

use super::Profile;
use super::arrivals::Arrivals;
use super::callers::End;
use super::callers::Seen;
use super::checks::NOT_RUN;
use super::checks::Violation;
use super::order;
use super::pieces;
use super::pieces::Piece;

/// Fewest resumed streams that tell the share of those that go on.
const MIN_RESUMED: usize = 12;

/// What became of the requests that resumed streams and named them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Resumed {
    sent: usize,
    /// Those that brought more of their stream, or its end.
    went_on: usize,
    /// Those that were refused as not run.
    refused: usize,
}

impl Resumed {
    pub(super) fn count(seen: &[Seen]) -> Self {
        let mut resumed = Self::default();
        let is_named = |one: &&Seen| one.resumption.as_ref().is_some_and(|r| r.is_named);
        for one in seen.iter().filter(is_named) {
            if matches!(one.end, End::NotSent | End::Unopened) {
                continue;
            }
            resumed.sent += 1;
            resumed.went_on += usize::from(one.is_success() || !pieces(one).is_empty());
            resumed.refused += usize::from(is_refused(one));
        }
        resumed
    }

    pub(super) fn summary(&self) -> String {
        let Self {
            sent,
            went_on,
            refused,
        } = self;
        format!("{sent} resumed streams, of which {went_on} went on and {refused} were refused")
    }

    /// Tells that too few streams went on under planned work alone.
    pub(super) fn violation(&self, profile: Profile) -> Option<Violation> {
        let is_little = self.sent >= MIN_RESUMED && self.went_on * 2 < self.sent;
        (profile == Profile::Calm && is_little).then(|| Violation {
            id: String::new(),
            rule: "too few resumed streams went on",
            seen: self.summary(),
        })
    }
}

fn pieces(one: &Seen) -> Vec<Piece> {
    let bodies = one.answer().map(|got| pieces::pieces(&got.body));
    bodies.unwrap_or_default()
}

fn is_refused(one: &Seen) -> bool {
    let status = one.answer().map(|got| got.status.as_u16());
    status.is_some_and(|status| NOT_RUN.contains(&status))
}

/// Returns what is wrong with the streams of a run.
pub(super) fn violations(seen: &[Seen], arrivals: &Arrivals) -> Vec<Violation> {
    let mut streams: BTreeMap<&str, Vec<&Seen>> = BTreeMap::new();
    for one in seen {
        streams.entry(one.stream()).or_default().push(one);
    }
    let mut found = order::violations(seen, arrivals);
    for requests in streams.values_mut() {
        requests.sort_by_key(|one| one.sent);
        found.extend(joined_versions(requests));
    }
    let resumed = seen.iter().filter(|one| one.resumption.is_some());
    found.extend(resumed.filter_map(|one| dishonest_refusal(one, arrivals)));
    found
}

/// Finds a stream with events of more than one software version.
fn joined_versions(requests: &[&Seen]) -> Option<Violation> {
    let mut pieces = requests.iter().flat_map(|one| pieces(one));
    let first = pieces.next()?;
    let is_joined = pieces.any(|piece| piece.software != first.software);
    is_joined.then(|| violation(requests, "a stream of two software versions"))
}

/// Finds a request that was to resume a stream and was refused, though a target
/// had it, or not in the way that lets its caller try again.
fn dishonest_refusal(one: &Seen, arrivals: &Arrivals) -> Option<Violation> {
    let status = one.answer()?.status.as_u16();
    let is_honest = [429, 503].contains(&status) && arrivals.all(&one.id).is_empty();
    let is_wrong = is_refused(one) && !is_honest;
    is_wrong.then(|| Violation::new(one, "a resumed stream was not refused honestly"))
}

/// Describes a stream by what came over each of its requests.
fn violation(requests: &[&Seen], rule: &'static str) -> Violation {
    let parts: Vec<_> = requests.iter().map(|one| describe(one)).collect();
    Violation {
        id: requests[0].stream().to_owned(),
        rule,
        seen: parts.join(", then "),
    }
}

fn describe(one: &Seen) -> String {
    let pieces: Vec<_> = pieces(one)
        .iter()
        .map(|piece| {
            format!(
                "{} of {} by {}",
                piece.id,
                piece.software,
                piece.run.target()
            )
        })
        .collect();
    let after = one.after();
    format!(
        "{} at instance {} after {after}: {pieces:?}",
        one.id, one.at
    )
}
