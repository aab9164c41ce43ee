//! The shared tables and their lock order.

use std::collections::HashMap;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use chiverelay_decisions::tables::EntryGuard;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::tables::ShardedMap;
use support::cases;

#[test]
fn ranks_may_rise() {
    let low = RankedMutex::new(LockRank::Config, 1);
    let high = RankedMutex::new(LockRank::Accounts, 2);
    let sum = {
        let low = low.lock();
        *low + *high.lock()
    };
    assert_eq!(sum, 3);
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "lock order")]
fn ranks_may_not_fall() {
    let low = RankedMutex::new(LockRank::Config, 1);
    let high = RankedMutex::new(LockRank::Accounts, 2);
    let _high = high.lock();
    let _low = low.lock();
}

#[test]
fn entries_are_kept_by_key() {
    let table = ShardedMap::new(LockRank::Accounts);
    for i in 0..100_u32 {
        table.insert(i, i * 2);
    }
    assert_eq!(table.len(), 100);
    assert_eq!(table.with(&7, |v| v.copied()), Some(14));
    table.retain(|k, _| k % 2 == 0);
    assert_eq!(table.len(), 50);
}

/// What is left of an entry at the end of the task that it stands for.
fn check_guarded(task: fn(EntryGuard<'_, u32, u32>), want: Option<u32>) {
    let map = RankedMutex::new(LockRank::Accounts, HashMap::from([(7, 1)]));
    let guard = EntryGuard::new(&map, 7);
    // The outcome is what the map holds.
    let _ = catch_unwind(AssertUnwindSafe(|| task(guard)));
    assert_eq!(map.lock().get(&7).copied(), want);
}

cases! {
    check_guarded:
    /// Failure: an instance counts as being dialed for ever, or a target as
    /// being checked, after the task has panicked.
    an_entry_ends_with_a_task_that_panics(|_guard| panic!("as the task"), None);
    an_entry_ends_once_it_is_taken(|guard| assert_eq!(guard.take(), Some(1)), None);
    an_entry_that_was_replaced_stays(|guard| guard.replace(2), Some(2));
}
