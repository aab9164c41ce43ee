//! Which connections of callers are taken on, and which are closed for them.

use std::time::Duration;

use chiverelay_decisions::admission::CallerConnections;
use chiverelay_decisions::admission::ConnectionId;
use chiverelay_decisions::admission::Level;
use chiverelay_decisions::admission::Shares;
use chiverelay_decisions::admission::spread_retry_after;
use chiverelay_decisions::admission::spread_retry_after_within;
use chiverelay_decisions::resources::ResourceLimits;
use quickcheck::QuickCheck;
use support::cases;

const SECOND: Duration = Duration::from_secs(1);

/// Memory of a caller's idle connection, in bytes; `docs/CAPACITY.md`.
const IDLE_BYTES: u64 = 22_413;

/// Memory of an open request, in bytes; `docs/CAPACITY.md`.
const OPEN_BYTES: u64 = 64 * 1024;

/// What there is must suffice for everything that is taken on.
fn check_shares(memory_mb: u64, descriptors: usize) {
    let limits = ResourceLimits {
        memory: memory_mb * 1024 * 1024,
        descriptors,
    };
    let shares = Shares::of(&limits);
    let sockets = shares.callers + shares.reserve + shares.targets;
    assert!(sockets < descriptors - 200, "{shares:?}");
    assert!(shares.callers > shares.reserve, "{shares:?}");
    assert!(shares.targets > 0 && shares.requests > 0, "{shares:?}");
    let idle = (shares.callers + shares.reserve) as u64 * IDLE_BYTES;
    let open = shares.requests as u64 * OPEN_BYTES;
    let bodies = limits.memory / 4;
    assert!(idle + open + bodies < limits.memory, "{shares:?}");
}

cases! {
    check_shares:
    shares_of_an_instance(260, 4100);
    shares_of_a_small_instance(260, 320);
    shares_of_the_defaults(256, 1024);
    shares_of_many_descriptors(128, 100_000);
}

#[test]
fn memory_bounds_connections_where_descriptors_do_not() {
    let limits = |memory| ResourceLimits {
        memory,
        descriptors: 100_000,
    };
    let little = Shares::of(&limits(64 * 1024 * 1024));
    let more = Shares::of(&limits(256 * 1024 * 1024));
    assert!(little.callers * 3 < more.callers, "{little:?} {more:?}");
    assert!(little.requests * 3 < more.requests, "{little:?} {more:?}");
}

fn opened(table: &mut CallerConnections, count: usize, now: Duration) -> Vec<ConnectionId> {
    (0..count).map(|_| table.open(now).id).collect()
}

#[test]
fn the_longest_idle_connection_gives_way() {
    let mut table = CallerConnections::new(Shares::of_callers(8));
    let old = opened(&mut table, 8, Duration::ZERO);
    table.set_busy(old[0]);
    table.set_idle(old[1], SECOND);
    assert_eq!(table.level(), Level::Full);
    let new = table.open(2 * SECOND);
    assert_eq!(new.evicted, Some(old[2]));
    assert!(table.is_admitted(new.id));
}

/// Failure: a connection on which a request was on its way was closed.
#[test]
fn a_connection_that_was_just_opened_does_not_give_way() {
    let mut table = CallerConnections::new(Shares::of_callers(8));
    opened(&mut table, 8, SECOND);
    let new = table.open(SECOND);
    assert_eq!(new.evicted, None);
    assert!(!table.is_admitted(new.id));
}

#[test]
fn a_connection_is_admitted_once_another_has_closed() {
    let mut table = CallerConnections::new(Shares::of_callers(8));
    let old = opened(&mut table, 8, SECOND);
    let new = table.open(SECOND).id;
    table.close(old[0]);
    assert_eq!(table.admit(new, SECOND), None);
    assert!(table.is_admitted(new));
}

/// Whatever happens: only idle connections give way, and no more are admitted
/// than there are places.
fn keeps_its_limits(steps: Vec<(u8, u8)>) -> bool {
    let shares = Shares::of_callers(8);
    let mut table = CallerConnections::new(shares);
    let mut open: Vec<(ConnectionId, bool)> = Vec::new();
    let mut now = Duration::ZERO;
    for (kind, which) in steps {
        now += Duration::from_millis(u64::from(which) * 10);
        let at = usize::from(which) % open.len().max(1);
        match (kind % 4, open.get(at).copied()) {
            (0, _) if table.has_room() => {
                let new = table.open(now);
                let gone = open.iter().position(|(id, _)| Some(*id) == new.evicted);
                if gone.is_some_and(|gone| open.remove(gone).1) {
                    return false;
                }
                if let Some(gone) = new.evicted {
                    table.close(gone);
                }
                open.push((new.id, false));
            }
            (1, Some((id, _))) => {
                table.set_busy(id);
                open[at].1 = true;
            }
            (2, Some((id, _))) => {
                table.set_idle(id, now);
                open[at].1 = false;
            }
            (3, Some((id, _))) => {
                table.close(id);
                open.remove(at);
            }
            _ => {}
        }
        let admitted = open.iter().filter(|(id, _)| table.is_admitted(*id)).count();
        if admitted > shares.callers || table.count_open() != open.len() {
            return false;
        }
    }
    true
}

#[test]
fn only_idle_connections_give_way_within_the_limits() {
    QuickCheck::new()
        .tests(500)
        .quickcheck(keeps_its_limits as fn(Vec<(u8, u8)>) -> bool);
}

/// Failure: callers that were refused together came back together.
#[test]
fn refused_callers_are_spread() {
    let (first, last) = (spread_retry_after(0.0), spread_retry_after(1.0));
    assert!(first >= Duration::from_millis(200), "{first:?}");
    assert!(last - first >= SECOND, "{first:?} to {last:?}");
}

/// Failure: the delays of callers with little time left were all cut to the
/// same one, so that they came back together.
#[test]
fn refused_callers_with_little_time_are_spread_too() {
    for longest in [300, 700, 60_000].map(Duration::from_millis) {
        let first = spread_retry_after_within(0.0, longest);
        let last = spread_retry_after_within(1.0, longest);
        assert!(last <= longest, "{last:?} of {longest:?}");
        assert!(first <= last.mul_f64(0.75), "{first:?} to {last:?}");
    }
}
