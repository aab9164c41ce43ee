//! The progress that is asked of callers while room is short: a caller that
//! sends at the floor keeps its place, one that sends less or stops loses it to
//! others.

use std::time::Duration;

use chiverelay_decisions::admission::CallerConnections;
use chiverelay_decisions::admission::ConnectionId;
use chiverelay_decisions::admission::Shares;
use chiverelay_decisions::progress::Awaited;
use chiverelay_decisions::progress::FLOOR_BYTES_PER_SECOND;
use chiverelay_decisions::progress::FLOOR_WINDOW;
use chiverelay_decisions::progress::Progress;
use quickcheck::QuickCheck;
use support::cases;

const SECOND: Duration = Duration::from_secs(1);

/// Sends so many bytes at each pause for a minute; tells whether the caller is
/// behind at its end.
fn check_rate(bytes: usize, pause: Duration, is_behind: bool) {
    let progress = Progress::default();
    progress.begin(Awaited::Body, Duration::ZERO);
    let mut now = Duration::ZERO;
    while now < 60 * SECOND {
        now += pause;
        progress.record(now, bytes);
    }
    let behind = progress.behind_since(now + pause);
    assert_eq!(behind.is_some(), is_behind, "{behind:?}");
}

cases! {
    check_rate:
    a_byte_at_a_time(1, Duration::from_millis(100), true);
    half_the_floor(FLOOR_BYTES_PER_SECOND as usize / 2, SECOND, true);
    the_floor(FLOOR_BYTES_PER_SECOND as usize, SECOND, false);
    the_floor_in_pieces(FLOOR_BYTES_PER_SECOND as usize / 100, SECOND / 100, false);
}

/// Failure: a caller that sent nearly all of a body at once and stopped had paid
/// for minutes.
#[test]
fn a_burst_pays_for_no_more_than_the_window() {
    let progress = Progress::default();
    progress.begin(Awaited::Body, Duration::ZERO);
    progress.record(SECOND, 4 << 20);
    assert_eq!(progress.behind_since(SECOND + FLOOR_WINDOW), None);
    let late = SECOND + FLOOR_WINDOW + SECOND;
    assert_eq!(progress.behind_since(late), Some(SECOND + FLOOR_WINDOW));
}

#[test]
fn nothing_is_asked_of_a_caller_who_waits_itself() {
    let progress = Progress::default();
    assert_eq!(progress.behind_since(60 * SECOND), None);
    progress.begin(Awaited::Head, Duration::ZERO);
    progress.end();
    assert_eq!(progress.behind_since(60 * SECOND), None);
}

/// Whatever its pieces: who keeps to the floor within the window is never behind.
fn keeps_its_place(pieces: Vec<u8>) -> bool {
    let progress = Progress::default();
    progress.begin(Awaited::Body, Duration::ZERO);
    let mut now = Duration::ZERO;
    pieces.into_iter().all(|piece| {
        now += Duration::from_millis(u64::from(piece));
        let behind = progress.behind_since(now);
        progress.record(
            now,
            usize::from(piece) * FLOOR_BYTES_PER_SECOND as usize / 900,
        );
        behind.is_none()
    })
}

#[test]
fn a_steady_caller_keeps_its_place() {
    QuickCheck::new().quickcheck(keeps_its_place as fn(Vec<u8>) -> bool);
}

fn opened(table: &mut CallerConnections, count: usize) -> Vec<ConnectionId> {
    (0..count).map(|_| table.open(Duration::ZERO).id).collect()
}

/// Load pattern: all places are held by callers who send slowly.
#[test]
fn the_slowest_caller_gives_way_first() {
    let mut table = CallerConnections::new(Shares::of_callers(8));
    let ids = opened(&mut table, 8);
    for (n, id) in ids.iter().enumerate() {
        table.set_busy(*id);
        let progress = table.progress(*id);
        progress.begin(Awaited::Head, Duration::ZERO);
        progress.record(SECOND, 100 * (8 - n));
    }
    let at = SECOND + FLOOR_WINDOW + SECOND;
    let new = table.open(at);
    assert_eq!(new.evicted, Some(ids[7]));
    assert!(table.is_admitted(new.id));
}

/// A caller within its window keeps its place, and one whose request runs.
#[test]
fn a_caller_that_is_not_behind_keeps_its_place() {
    let mut table = CallerConnections::new(Shares::of_callers(8));
    for id in opened(&mut table, 8) {
        table.set_busy(id);
    }
    let ids = opened(&mut table, 1);
    table.progress(ids[0]).begin(Awaited::Body, SECOND);
    assert_eq!(table.evict(2 * SECOND), None);
    assert_eq!(table.evict(60 * SECOND), Some(ids[0]));
    assert_eq!(table.evict(60 * SECOND), None);
}

/// Load pattern: all memory is held for bodies that stop short of their end.
#[test]
fn only_bodies_give_way_for_memory() {
    let mut table = CallerConnections::new(Shares::of_callers(8));
    let ids = opened(&mut table, 3);
    for (id, awaited) in ids
        .iter()
        .zip([Awaited::Head, Awaited::Body, Awaited::Reading])
    {
        table.set_busy(*id);
        table.progress(*id).begin(awaited, Duration::ZERO);
    }
    assert_eq!(
        table.evict_slowest(60 * SECOND, Some(Awaited::Body)),
        Some(ids[1])
    );
    assert_eq!(table.evict_slowest(60 * SECOND, Some(Awaited::Body)), None);
}
