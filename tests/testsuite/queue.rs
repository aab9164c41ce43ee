//! The fair queue of a pool.

use std::collections::BTreeMap;
use std::time::Duration;

use chiverelay_decisions::names::Account;
use chiverelay_decisions::placement::FairQueue;
use chiverelay_decisions::placement::QueueFull;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::cases;

type Item = (&'static str, u64);

fn queue(items: &[Item]) -> FairQueue<Item> {
    let mut queue = FairQueue::new(1000);
    for item in items {
        let account = Account::from(item.0);
        queue.push(Some(&account), item.1, *item).expect("room");
    }
    queue
}

fn check_order(items: &[Item], want: &[Item]) {
    let mut queue = queue(items);
    let found: Vec<Item> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(found, want);
    assert!(queue.is_empty());
}

cases! {
    check_order:
    nothing(&[], &[]);
    in_order(&[("a", 5), ("a", 5)], &[("a", 5), ("a", 5)]);
    short_ahead_of_long(&[("a", 500), ("a", 5)], &[("a", 5), ("a", 500)]);
    short_of_another_account_first(&[("a", 500), ("b", 5)], &[("b", 5), ("a", 500)]);
    accounts_take_turns(
        &[("a", 10), ("a", 10), ("a", 10), ("b", 10), ("b", 10)],
        &[("a", 10), ("b", 10), ("a", 10), ("b", 10), ("a", 10)],
    );
    turns_are_weighed_by_work(
        &[("a", 30), ("a", 30), ("b", 10), ("b", 10), ("b", 10), ("b", 10)],
        &[("b", 10), ("b", 10), ("a", 30), ("b", 10), ("b", 10), ("a", 30)],
    );
}

#[test]
fn a_full_queue_takes_nothing() {
    let mut queue = FairQueue::new(2);
    assert_eq!(queue.push(None, 1, ()), Ok(()));
    assert_eq!(queue.push(None, 1, ()), Ok(()));
    assert_eq!(queue.push(None, 1, ()), Err(QueueFull));
}

/// A long request among ever new short ones of its account gets its turn.
#[test]
fn a_long_request_is_not_starved() {
    let mut queue = queue(&[("a", 1000)]);
    let account = Account::from("a");
    let mut turns = 0;
    loop {
        queue.push(Some(&account), 10, ("a", 10)).expect("room");
        turns += 1;
        if queue.pop() == Some(("a", 1000)) {
            break;
        }
        assert!(turns <= 102, "starved");
    }
}

#[test]
fn a_wait_is_expected_from_the_throughput() {
    let mut queue = queue(&[("a", 100); 30]);
    let b = Account::from("b");
    assert_eq!(queue.expected_wait(Some(&b), 10), None);
    queue.measure(Duration::ZERO);
    for _ in 0..10 {
        queue.pop();
    }
    queue.measure(Duration::from_secs(1));
    // The account without waiting requests waits for one share of the other's.
    assert_eq!(
        queue.expected_wait(Some(&b), 10),
        Some(Duration::from_millis(10))
    );
    let a = Account::from("a");
    assert_eq!(
        queue.expected_wait(Some(&a), 100),
        Some(Duration::from_millis(2000))
    );
}

const ACCOUNTS: [&str; 3] = ["a", "b", "c"];

/// While all accounts have requests waiting, the work served to any two of
/// them differs by no more than two of the largest requests.
fn fair(works: Vec<(u8, u8)>) -> bool {
    let works: Vec<Item> = works
        .iter()
        .map(|(a, w)| (ACCOUNTS[usize::from(*a) % 3], u64::from(*w) + 1))
        .collect();
    let mut waiting: BTreeMap<&str, usize> = BTreeMap::new();
    for (account, _) in &works {
        *waiting.entry(account).or_default() += 1;
    }
    let mut queue = queue(&works);
    let mut served: BTreeMap<&str, u64> = ACCOUNTS.iter().map(|a| (*a, 0)).collect();
    while ACCOUNTS
        .iter()
        .all(|a| waiting.get(a).copied().unwrap_or(0) > 0)
    {
        let Some((account, work)) = queue.pop() else {
            return false;
        };
        *served.entry(account).or_default() += work;
        *waiting.entry(account).or_default() -= 1;
        let (low, high) = (served.values().min(), served.values().max());
        if high.copied().unwrap_or(0) - low.copied().unwrap_or(0) > 2 * 256 {
            return false;
        }
    }
    true
}

#[test]
fn work_is_shared_fairly() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 3))
        .tests(300)
        .quickcheck(fair as fn(Vec<(u8, u8)>) -> bool);
}
