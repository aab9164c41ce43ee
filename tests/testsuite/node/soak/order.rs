//! The order of the events within each answer.

use support::cases;

use super::arrivals::Arrivals;
use super::callers::Seen;
use super::checks;
use super::checks::Violation;
use super::pieces;
use super::pieces::Piece;
use super::resume::RESUMABLE;
use super::targets::EVENTS;
use super::targets::TARGETS;

/// Returns what is wrong with the events of answers that are streams. Each
/// answer is looked at by itself, as answers to one stream may overlap in time.
pub(super) fn violations(seen: &[Seen], arrivals: &Arrivals) -> Vec<Violation> {
    let answers = seen.iter().flat_map(|one| {
        let ran = arrivals.runs(&one.id);
        let broken = Answer::of(one).map(|answer| answer.broken_rules(&ran));
        let broken = broken.unwrap_or_default().into_iter();
        broken.map(|rule| Violation::new(one, rule))
    });
    answers.collect()
}

/// The answer of a target of streams, as far as it came.
struct Answer<'a> {
    /// Id of the request.
    request: &'a str,
    path: &'a str,
    /// Number of the event after which it is to begin.
    after: u64,
    body: &'a str,
    pieces: Vec<Piece>,
    stamp: &'a str,
    is_whole: bool,
}

impl<'a> Answer<'a> {
    fn of(one: &'a Seen) -> Option<Self> {
        let got = one.answer().filter(|got| got.status.is_success())?;
        checks::is_stream(one.path).then(|| Self {
            request: &one.id,
            path: one.path,
            after: one.after(),
            body: &got.body,
            pieces: pieces::pieces(&got.body),
            stamp: got.header("server-stamp"),
            is_whole: got.whole,
        })
    }

    fn broken_rules(&self, ran: &[usize]) -> Vec<&'static str> {
        let rules = [
            (self.is_well_formed(), "an event of a stream is malformed"),
            (
                self.is_in_order(),
                "an event of an answer is missing, came twice or went back",
            ),
            (
                self.is_ended_by_last(),
                "a stream ended before its last event",
            ),
            (
                self.is_of_one_version(),
                "an answer of two software versions",
            ),
            (self.has_runs_in_turn(), "two runs are joined in an answer"),
            (
                self.is_of_own_runs(),
                "an event is of another request's stream",
            ),
            (
                self.is_stamped_by_its_target(ran),
                "a stream is stamped by a target that didn't run it",
            ),
        ];
        let broken = rules.into_iter().filter(|(holds, _)| !holds);
        broken.map(|(_, rule)| rule).collect()
    }

    fn is_well_formed(&self) -> bool {
        let is_tail_allowed = !self.is_whole || pieces::ends_with_event(self.body);
        is_tail_allowed && pieces::is_well_formed(self.body)
    }

    /// Tells whether the events follow each other from the one on that the
    /// caller asked for.
    fn is_in_order(&self) -> bool {
        let ids = self.pieces.iter().map(|piece| piece.id);
        ids.eq(self.after + 1..=self.last_id())
    }

    fn is_ended_by_last(&self) -> bool {
        !self.is_whole || self.last_id() == EVENTS
    }

    /// Returns the number of the last event that the caller has.
    fn last_id(&self) -> u64 {
        self.pieces.last().map_or(self.after, |last| last.id)
    }

    fn is_of_one_version(&self) -> bool {
        let mut pairs = self.pieces.windows(2);
        pairs.all(|pair| pair[0].software == pair[1].software)
    }

    /// Tells whether each run goes on after the last event of the one before it,
    /// and the first one where the caller asked for it. Only a stream that may
    /// be resumed has several.
    fn has_runs_in_turn(&self) -> bool {
        let first = self.pieces.first();
        let begins_well = first.is_none_or(|piece| piece.run.after == self.after);
        let mut pairs = self.pieces.windows(2);
        begins_well
            && pairs.all(|pair| {
                let [last, next] = pair else { return true };
                let goes_on = next.run.after == last.id && self.path == RESUMABLE;
                next.run == last.run || goes_on
            })
    }

    fn is_of_own_runs(&self) -> bool {
        let mut runs = self.pieces.iter().map(|piece| &piece.run);
        runs.all(|run| run.request() == self.request)
    }

    /// Tells whether the stamp is that of a target that ran the request. `ran`
    /// has their numbers: the first one may have sent no event.
    fn is_stamped_by_its_target(&self, ran: &[usize]) -> bool {
        let mut names = ran.iter().map(|at| TARGETS[*at].0);
        names.any(|name| self.stamp == format!("stamp-of-{name}"))
    }
}

/// Number of `i-model-1`.
const MODEL_1: usize = 8;

/// Writes the event of a run at `i-model-1`.
fn event(id: u64, run: u64, after: u64) -> String {
    format!("id: {id}\ndata: piece {id} of run r-1/i-model-1/{run} after {after} of v1\n\n")
}

/// Checks what is found in the answer to request `r-1` for events after `after`.
fn check_answer(path: &str, after: u64, is_whole: bool, body: &str, expected: &[&str]) {
    let answer = Answer {
        request: "r-1",
        path,
        after,
        body,
        pieces: pieces::pieces(body),
        stamp: "stamp-of-i-model-1",
        is_whole,
    };
    assert_eq!(answer.broken_rules(&[MODEL_1]), expected, "{body}");
}

/// Checks an answer of one run that is cut after these events.
fn check_cut(ids: &[u64], expected: &[&str]) {
    let body: String = ids.iter().map(|id| event(*id, 1, 0)).collect();
    check_answer(RESUMABLE, 0, false, &body, expected);
}

/// Checks an answer that another run completes, which goes on after `after`.
fn check_second_run(path: &str, after: u64, expected: &[&str]) {
    let first = (1..=2).map(|id| event(id, 1, 0));
    let second = (3..=EVENTS).map(|id| event(id, 2, after));
    let body: String = first.chain(second).collect();
    check_answer(path, 0, true, &body, expected);
}

/// Checks an answer to a request for events after the second that is cut in the
/// middle of an event, with more after it.
fn check_glued(tail: &str, more: &str, expected: &[&str]) {
    let body = [&event(3, 1, 2), tail, more].concat();
    check_answer(RESUMABLE, 2, false, &body, expected);
}

const NOT_IN_ORDER: &str = "an event of an answer is missing, came twice or went back";
const JOINED: &str = "two runs are joined in an answer";
const MALFORMED: &str = "an event of a stream is malformed";
const ENDED: &str = "a stream ended before its last event";

cases! {
    check_cut:
    a_cut_answer_in_order(&[1, 2, 3], &[]);
    a_cut_answer_with_an_event_twice(&[1, 2, 2, 3], &[NOT_IN_ORDER]);
    a_cut_answer_that_goes_back(&[1, 2, 3, 2], &[NOT_IN_ORDER]);
    a_cut_answer_without_an_event(&[1, 3], &[NOT_IN_ORDER]);
}

cases! {
    check_second_run:
    a_second_run_that_goes_on("/quote/1", 2, &[]);
    a_second_run_from_the_beginning("/quote/1", 0, &[JOINED]);
    a_second_run_of_a_stream_that_must_not_be_resumed("/chat/1", 2, &[JOINED]);
}

cases! {
    check_glued:
    an_answer_cut_in_an_event("id: 4\nda", "", &[]);
    an_answer_that_goes_on_within_an_event("id: 4\nda", &event(4, 2, 3), &[MALFORMED]);
}

cases! {
    check_answer:
    an_answer_that_ends_early("/chat/1", 0, true, &event(1, 1, 0), &[ENDED]);
    an_answer_that_ends_before_it_begins("/chat/1", 0, true, "", &[ENDED]);
    a_resumed_answer_that_starts_again("/quote/1", 2, false, &event(1, 1, 0), &[NOT_IN_ORDER, JOINED]);
}
