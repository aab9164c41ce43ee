//! The budget of bytes that bodies and buffered answers share.

use chiverelay_decisions::memory_budget::Exhausted;
use chiverelay_decisions::memory_budget::Level;
use chiverelay_decisions::memory_budget::MemoryBudget;
use support::cases;

const LIMIT: u64 = 1000;

/// Reserves sizes in turn, and compares which fit.
fn check_reserve(sizes: &[usize], fit: &[bool]) {
    let budget = MemoryBudget::new(LIMIT);
    let held: Vec<_> = sizes.iter().map(|n| budget.reserve(*n)).collect();
    let found: Vec<bool> = held.iter().map(Result::is_ok).collect();
    assert_eq!(found, fit);
    drop(held);
    assert_eq!(budget.usage().used, 0);
}

cases! {
    check_reserve:
    nothing_fits_always(&[1000, 0], &[true, true]);
    up_to_the_limit(&[400, 600], &[true, true]);
    one_byte_over_the_limit(&[400, 601], &[true, false]);
    smaller_ones_fit_after_a_denial(&[900, 200, 100], &[true, false, true]);
    a_size_that_overflows(&[1, usize::MAX], &[true, false]);
}

#[test]
fn a_buffer_reserves_its_room_before_it_grows() {
    let budget = MemoryBudget::new(LIMIT);
    let mut buffer = budget.buffer(100).expect("room");
    assert_eq!(budget.usage().used, 100);
    assert_eq!(buffer.extend(&[1; 100]), Ok(()));
    assert_eq!(budget.usage().used, 100);
    assert_eq!(buffer.extend(&[2; 50]), Ok(()));
    assert_eq!(budget.usage().used, 200);
    assert_eq!(buffer.extend(&[3; 900]), Err(Exhausted));
    assert_eq!((buffer.len(), budget.usage().used), (150, 200));
}

#[test]
fn a_large_buffer_grows_by_segments_and_keeps_its_data() {
    let budget = MemoryBudget::new(100_000);
    let mut buffer = budget.empty_buffer();
    let data: Vec<u8> = (0..60_000_u32).map(|n| n as u8).collect();
    for part in data.chunks(700) {
        buffer.extend(part).expect("room");
    }
    assert!(budget.usage().used <= 80_000, "{:?}", budget.usage());
    let frozen = buffer.freeze();
    assert_eq!((frozen.as_ref(), budget.usage().used), (&data[..], 60_000));
    drop(frozen);
    assert_eq!(budget.usage().used, 0);
}

#[test]
fn the_last_copy_of_the_data_returns_its_bytes() {
    let budget = MemoryBudget::new(LIMIT);
    let data = budget.hold(vec![7; 300]).expect("room");
    let slice = data.slice(10..20);
    drop(data);
    assert_eq!(budget.usage().used, 300);
    drop(slice);
    assert_eq!(budget.usage().used, 0);
}

/// Failure: data that was read under a reservation was reserved once more, or held
/// more than it needs.
#[test]
fn a_reservation_goes_over_to_the_data_that_it_was_made_for() {
    let budget = MemoryBudget::new(LIMIT);
    let reservation = budget.reserve(800).expect("room");
    let mut data = Vec::with_capacity(900);
    data.extend_from_slice(&[7; 600]);
    let held = reservation.hold(data).expect("room");
    assert_eq!(budget.usage().used, 600);
    let too_small = budget.reserve(300).expect("room");
    assert_eq!(too_small.hold(vec![7; 500]).err(), Some(Exhausted));
    assert_eq!(budget.usage().used, 600);
    drop(held);
    assert_eq!(budget.usage().used, 0);
}

#[test]
fn each_change_of_level_is_told_once() {
    let budget = MemoryBudget::new(LIMIT);
    assert_eq!(budget.level_change(), None);
    let most = budget.reserve(750).expect("room");
    assert_eq!(budget.level_change(), Some(Level::Near));
    assert_eq!(budget.level_change(), None);
    assert_eq!(budget.reserve(251).err(), Some(Exhausted));
    assert_eq!(budget.level_change(), Some(Level::Exhausted));
    assert_eq!(budget.reserve(251).err(), Some(Exhausted));
    assert_eq!(budget.level_change(), None);
    drop(most);
    assert_eq!(budget.level_change(), Some(Level::Ample));
    assert_eq!(budget.level_change(), None);
}

/// Failure: one holder took all of the memory that others need.
#[test]
fn a_part_is_bounded_by_itself_and_by_the_whole() {
    let whole = MemoryBudget::new(LIMIT);
    let part = whole.part(LIMIT / 2);
    let first = part.reserve(400).expect("room");
    assert!(part.reserve(101).is_err(), "the part is used up");
    assert_eq!((part.usage().used, whole.usage().used), (400, 400));
    let other = whole.reserve(550).expect("room");
    assert!(part.reserve(60).is_err(), "the whole is used up");
    assert_eq!((part.usage().used, whole.usage().used), (400, 950));
    drop((first, other));
    assert_eq!((part.usage().used, whole.usage().used), (0, 0));
}
