//! The shared tables and their lock order.

use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_decisions::tables::ShardedMap;

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
