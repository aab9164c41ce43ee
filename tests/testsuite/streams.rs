//! What is known of streams that callers may resume, and of the software that
//! began them.

use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::streams::BeganStreams;
use chiverelay_decisions::streams::MARK_INTERVAL;
use chiverelay_decisions::streams::MARK_PATIENCE;
use chiverelay_decisions::streams::MAX_ID_BYTES;
use chiverelay_decisions::streams::MAX_STREAMS;
use chiverelay_decisions::streams::MIN_LIFETIME;
use chiverelay_decisions::streams::MarkChange;
use chiverelay_decisions::streams::MarkStep;
use chiverelay_decisions::streams::MarkTurn;
use chiverelay_decisions::streams::PoolSoftware;
use chiverelay_decisions::streams::SoftwareHistory;
use chiverelay_decisions::streams::StreamKey;
use chiverelay_decisions::streams::StreamSource;
use chiverelay_decisions::streams::lifetime_for;
use chiverelay_decisions::streams::software_of_stream;
use support::cases;

const START: Duration = Duration::from_secs(100);

fn of(software: &str) -> PoolSoftware {
    PoolSoftware {
        pool: "model".into(),
        software: software.into(),
    }
}

fn pool() -> Pool {
    "model".into()
}

fn key(n: usize) -> StreamKey {
    StreamKey {
        account: Some("parish".into()),
        id: format!("r-{n}").into(),
    }
}

/// Records a stream that began here.
fn begin(streams: &mut BeganStreams, n: usize, software: &str, now: Duration) {
    streams.record(&key(n), of(software), StreamSource::Own, now);
}

/// Returns the software that began a stream.
fn found(streams: &BeganStreams, n: usize, now: Duration) -> Option<&str> {
    let origin = streams.find(&key(n), now)?;
    Some(origin.software.as_str())
}

/// Whether all software that a pool can have had is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum History {
    Complete,
    Partial,
}

fn check_software(
    known: Option<&str>,
    possible: &[&str],
    history: History,
    expected: Option<&str>,
) {
    let possible: Vec<SoftwareVersion> = possible.iter().map(|s| (*s).into()).collect();
    let is_complete = history == History::Complete;
    let found = software_of_stream(known.map(Into::into), &possible, is_complete);
    assert_eq!(found, expected.map(Into::into));
}

cases! {
    check_software:
    what_is_known_of_a_stream_counts(Some("a"), &["a", "b"], History::Partial, Some("a"));
    what_is_known_counts_before_the_only_version(Some("a"), &["b"], History::Complete, Some("a"));
    the_only_version_began_all_streams(None, &["b"], History::Complete, Some("b"));
    the_only_version_known_may_not_be_the_only_one(None, &["b"], History::Partial, None);
    one_of_several_versions_is_not_guessed(None, &["a", "b"], History::Complete, None);
    without_a_target_nothing_is_known(None, &[], History::Complete, None);
}

#[test]
fn a_stream_is_forgotten_after_its_lifetime() {
    let mut streams = BeganStreams::default();
    begin(&mut streams, 1, "a", START);
    let last = START + MIN_LIFETIME - Duration::from_millis(1);
    assert_eq!(found(&streams, 1, last), Some("a"));
    assert_eq!(found(&streams, 1, START + MIN_LIFETIME), None);
    begin(&mut streams, 2, "a", START + MIN_LIFETIME);
    assert_eq!(streams.len(), 1);
}

/// Failure: a stream that was resumed twice was bound to what continued it and
/// not to what began it.
#[test]
fn what_continues_a_stream_has_not_begun_it() {
    let mut streams = BeganStreams::default();
    begin(&mut streams, 1, "a", START);
    let later = START + MIN_LIFETIME / 2;
    streams.record(&key(1), of("b"), StreamSource::Resumed, later);
    assert_eq!(found(&streams, 1, later), Some("a"));
    let kept_until = later + MIN_LIFETIME - Duration::from_millis(1);
    assert_eq!(found(&streams, 1, kept_until), Some("a"));
}

#[test]
fn a_stream_of_another_account_is_another_stream() {
    let mut streams = BeganStreams::default();
    begin(&mut streams, 1, "a", START);
    let other = StreamKey {
        account: Some("other".into()),
        ..key(1)
    };
    assert!(streams.find(&other, START).is_none());
    assert!(streams.list_own(&"other".into(), START).is_empty());
    assert_eq!(streams.list_own(&pool(), START), [(key(1), "a".into())]);
    streams.record(&key(2), of("a"), StreamSource::Told, START);
    assert_eq!(streams.list_own(&pool(), START).len(), 1);
}

/// Load pattern: callers begin more streams than are remembered.
#[test]
fn the_oldest_streams_make_room() {
    let mut streams = BeganStreams::default();
    for n in 0..=MAX_STREAMS {
        begin(&mut streams, n, "a", START);
    }
    assert_eq!(streams.len(), MAX_STREAMS);
    assert_eq!(found(&streams, 0, START), None);
    let last = found(&streams, MAX_STREAMS, START);
    assert_eq!(last, Some("a"));
}

/// Returns the next step of an instance of this rank.
fn step(history: &mut SoftwareHistory, rank: usize, now: Duration) -> MarkStep {
    history.next_mark_step(|_| true, |_| MarkTurn::Rank(rank), now)
}

#[test]
fn software_counts_for_a_while_after_its_last_target() {
    let mut history = SoftwareHistory::default();
    assert!(history.observe(&of("a"), START));
    assert!(!history.observe(&of("a"), START));
    let last = START + MIN_LIFETIME - Duration::from_millis(1);
    assert_eq!(history.possible(&pool(), last), ["a".into()]);
    let gone = START + MIN_LIFETIME;
    assert!(history.possible(&pool(), gone).is_empty());
    assert!(history.possible(&"other".into(), START).is_empty());
}

/// Failure: an instance that started after all were killed knew nothing of
/// software whose targets had left, and continued its streams with another.
#[test]
fn marked_software_counts_until_its_mark_is_removed() {
    let mut history = SoftwareHistory::default();
    assert!(history.record_mark(of("a"), START));
    let late = START + 10 * MIN_LIFETIME;
    assert_eq!(history.possible(&pool(), late), ["a".into()]);
    history.record_unmarked(&of("a"), late);
    assert!(history.possible(&pool(), late).is_empty());
}

#[test]
fn software_in_use_is_marked_in_turn() {
    let mut history = SoftwareHistory::default();
    history.observe(&of("a"), START);
    let add = MarkStep::Due(MarkChange::Add(of("a")));
    assert_eq!(step(&mut history, 0, START), add);
    let second = START + MARK_INTERVAL;
    assert_eq!(step(&mut history, 1, START), MarkStep::WaitUntil(second));
    assert_eq!(step(&mut history, 1, second), add);
    history.record_mark(of("a"), second);
    let unused = START + MIN_LIFETIME;
    assert_eq!(step(&mut history, 0, second), MarkStep::WaitUntil(unused));
}

#[test]
fn a_mark_without_targets_is_removed_in_turn() {
    let mut history = SoftwareHistory::default();
    history.record_mark(of("a"), START);
    let unused = START + MIN_LIFETIME;
    let remove = MarkStep::Due(MarkChange::Remove(of("a")));
    assert_eq!(step(&mut history, 0, START), MarkStep::WaitUntil(unused));
    assert_eq!(step(&mut history, 0, unused), remove);
    assert_eq!(step(&mut history, 1, unused + MARK_INTERVAL), remove);
    history.observe(&of("a"), unused);
    let later = MarkStep::WaitUntil(unused + MIN_LIFETIME);
    assert_eq!(step(&mut history, 0, unused), later);
}

#[test]
fn a_mark_that_the_store_lost_is_written_again() {
    let mut history = SoftwareHistory::default();
    history.observe(&of("a"), START);
    history.record_mark(of("a"), START);
    let new = history.reconcile_marks(&HashSet::from([of("b")]), START);
    assert_eq!(new, [of("b")]);
    let add = MarkStep::Due(MarkChange::Add(of("a")));
    assert_eq!(step(&mut history, 0, START), add);
    assert_eq!(history.possible(&pool(), START).len(), 2);
}

/// Failure: software had no mark for seconds after its first stream, and those
/// that started after all instances were killed did not know of it.
#[test]
fn software_at_which_a_stream_began_is_marked_out_of_turn() {
    let mut history = SoftwareHistory::default();
    history.observe(&of("a"), START);
    let later = START + Duration::from_millis(1);
    history.observe_stream(&of("a"), later);
    let add = MarkStep::Due(MarkChange::Add(of("a")));
    assert_eq!(step(&mut history, 7, later), add);
    history.record_mark(of("a"), later);
    history.observe_stream(&of("a"), later);
    let unused = MarkStep::WaitUntil(later + MIN_LIFETIME);
    assert_eq!(step(&mut history, 0, later), unused);
}

#[test]
fn new_streams_avoid_software_until_it_is_marked() {
    let mut history = SoftwareHistory::default();
    history.observe(&of("a"), START);
    history.observe(&of("b"), START);
    history.record_mark(of("a"), START);
    assert_eq!(history.awaiting_mark(&pool(), START), ["b".into()]);
    assert!(history.awaiting_mark(&"other".into(), START).is_empty());
    // The store may refuse to write it.
    let late = START + MARK_PATIENCE;
    assert!(history.awaiting_mark(&pool(), late).is_empty());
    history.record_mark(of("b"), START);
    assert!(history.awaiting_mark(&pool(), START).is_empty());
}

/// Load pattern: hundreds of instances start at once before a store without
/// marks. Most of them hear of the first one's mark before their own turn.
#[test]
fn instances_that_start_together_spread_their_first_marks() {
    let delay = |known, random| match MarkTurn::after_start(known, random) {
        MarkTurn::Spread(delay) => delay,
        MarkTurn::Rank(_) => panic!("no order is known"),
    };
    assert!(delay(5, u64::MAX) <= Duration::from_millis(10));
    assert_eq!(delay(330, 0), Duration::ZERO);
    assert!(delay(330, u64::MAX / 2) >= Duration::from_millis(150));
    assert!(delay(10_000, u64::MAX) <= Duration::from_millis(400));
}

/// Pools without streams that callers may resume need no marks.
#[test]
fn other_pools_get_no_marks() {
    let mut history = SoftwareHistory::default();
    history.observe(&of("a"), START);
    let step = history.next_mark_step(|_| false, |_| MarkTurn::Rank(0), START);
    assert_eq!(step, MarkStep::Wait);
    history.record_mark(of("a"), START);
    let step = history.next_mark_step(|_| false, |_| MarkTurn::Rank(0), START + MIN_LIFETIME);
    assert_eq!(step, MarkStep::Due(MarkChange::Remove(of("a"))));
}

/// Failure: a stream that lasted minutes was forgotten while it ran, and so was
/// the software that began it.
#[test]
fn what_lasts_longer_is_remembered_longer() {
    assert_eq!(lifetime_for(Duration::from_secs(5)), MIN_LIFETIME);
    let longest = 4 * MIN_LIFETIME;
    let lifetime = lifetime_for(longest);
    assert!(lifetime > longest);
    let mut streams = BeganStreams::default();
    streams.set_lifetime(lifetime);
    begin(&mut streams, 1, "a", START);
    let mut history = SoftwareHistory::default();
    history.set_retention(lifetime);
    history.observe(&of("a"), START);
    assert_eq!(found(&streams, 1, START + longest), Some("a"));
    assert_eq!(history.possible(&pool(), START + longest), ["a".into()]);
}

/// Failure: hubs that told each other of the same streams pushed out others long
/// before the largest number was reached.
#[test]
fn what_is_told_again_does_not_push_out_other_streams() {
    let mut streams = BeganStreams::default();
    begin(&mut streams, 0, "a", START);
    for _ in 0..2 {
        for n in 1..=MAX_STREAMS / 2 {
            begin(&mut streams, n, "b", START);
        }
    }
    assert!(streams.len() <= MAX_STREAMS);
    assert_eq!(found(&streams, 0, START), Some("a"));
}

/// Failure: a caller could fill the memory with ids as long as a request's head.
#[test]
fn a_stream_with_a_huge_id_is_not_remembered() {
    let mut streams = BeganStreams::default();
    let huge = StreamKey {
        account: None,
        id: "r".repeat(MAX_ID_BYTES + 1).into(),
    };
    streams.record(&huge, of("a"), StreamSource::Own, START);
    assert!(streams.is_empty());
}

/// Load pattern: long streams are recorded again while others end.
#[test]
fn a_stream_that_was_recorded_again_outlives_older_ones() {
    let mut streams = BeganStreams::default();
    begin(&mut streams, 1, "a", START);
    begin(&mut streams, 2, "a", START);
    let later = START + MIN_LIFETIME / 2;
    streams.record(&key(1), of("a"), StreamSource::Resumed, later);
    begin(&mut streams, 3, "a", START + MIN_LIFETIME);
    assert_eq!(streams.len(), 2);
    assert_eq!(found(&streams, 1, START + MIN_LIFETIME), Some("a"));
}
