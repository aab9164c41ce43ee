//! A bounded queue that shares the slots of a pool fairly among accounts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use crate::names::Account;

/// Weight of the newest interval in the measured throughput, in percent.
const NEWEST_WEIGHT_PERCENT: u64 = 30;

/// The shortest interval over which throughput is measured.
const MIN_MEASURE_INTERVAL: Duration = Duration::from_millis(500);

/// The queue holds as many requests as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

#[derive(Debug)]
struct Entry<T> {
    work: u64,
    item: T,
}

/// An account's waiting requests.
///
/// # Invariants
///
/// `tag` is the work that the account was served, on the queue's virtual
/// clock. `waiting` is ordered by work, plus the clock at arrival, so that
/// short requests go first and none waits for ever. `work` is its sum.
#[derive(Debug)]
struct AccountQueue<T> {
    virtual_time: u64,
    work: u64,
    waiting: BTreeMap<(u64, u64), Entry<T>>,
}

impl<T> AccountQueue<T> {
    fn virtual_finish(&self) -> Option<u64> {
        let (_, first) = self.waiting.first_key_value()?;
        Some(self.virtual_time + first.work)
    }
}

/// Waiting requests, taken by fair shares of work among accounts.
///
/// # Invariants
///
/// `len` counts the entries of all lanes; none is added once it reaches
/// `capacity`. `clock` never falls while requests wait. A lane without entries is kept only while
/// its tag is ahead of the clock.
#[derive(Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    len: usize,
    arrivals: u64,
    virtual_clock: u64,
    work_taken: u64,
    last_measured: Option<(Duration, u64)>,
    work_per_second: u64,
    accounts: HashMap<Option<Account>, AccountQueue<T>, Xxh3DefaultBuilder>,
}

impl<T> FairQueue<T> {
    /// Makes an empty queue.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            arrivals: 0,
            virtual_clock: 0,
            work_taken: 0,
            last_measured: None,
            work_per_second: 0,
            accounts: HashMap::default(),
        }
    }

    /// Changes how many requests may wait; those that wait already stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Counts the waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full.
    pub fn push(&mut self, account: Option<&Account>, work: u64, item: T) -> Result<(), QueueFull> {
        if self.len >= self.capacity {
            return Err(QueueFull);
        }
        let clock = self.virtual_clock;
        let lane = self
            .accounts
            .entry(account.cloned())
            .or_insert_with(|| AccountQueue {
                virtual_time: clock,
                work: 0,
                waiting: BTreeMap::new(),
            });
        lane.virtual_time = lane.virtual_time.max(clock);
        lane.work += work;
        let key = (work.saturating_add(clock), self.arrivals);
        lane.waiting.insert(key, Entry { work, item });
        self.arrivals += 1;
        self.len += 1;
        Ok(())
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let next = self
            .accounts
            .iter()
            .filter_map(|(account, lane)| Some((lane.virtual_finish()?, account)))
            .min()?;
        let account = next.1.clone();
        let lane = self.accounts.get_mut(&account)?;
        let (_, entry) = lane.waiting.pop_first()?;
        self.virtual_clock = self.virtual_clock.max(lane.virtual_time);
        lane.virtual_time += entry.work;
        lane.work -= entry.work;
        self.len -= 1;
        self.work_taken += entry.work;
        if self.len == 0 {
            // Nobody waits, so nobody has been served before another.
            self.accounts.clear();
        } else if self.accounts[&account].waiting.is_empty() {
            let clock = self.virtual_clock;
            self.accounts
                .retain(|_, l| !l.waiting.is_empty() || l.virtual_time > clock);
        }
        Some(entry.item)
    }

    /// Measures the throughput since the last call.
    pub fn measure(&mut self, now: Duration) {
        let Some((at, taken)) = self.last_measured else {
            self.last_measured = Some((now, self.work_taken));
            return;
        };
        let elapsed = now.saturating_sub(at);
        if elapsed < MIN_MEASURE_INTERVAL {
            return;
        }
        let newest = (self.work_taken - taken) * 1000 / elapsed.as_millis() as u64;
        self.work_per_second = match self.work_per_second {
            0 => newest,
            rate => (rate * (100 - NEWEST_WEIGHT_PERCENT) + newest * NEWEST_WEIGHT_PERCENT) / 100,
        };
        self.last_measured = Some((now, self.work_taken));
    }

    /// Returns the expected wait of another request; `None` before any
    /// throughput was measured.
    ///
    /// No account is served more than this one before the request's turn.
    pub fn expected_wait(&self, account: Option<&Account>, work: u64) -> Option<Duration> {
        let share = self.work_through(account, work);
        self.time_for(self.work_ahead(share, 0))
    }

    /// Returns after how long such a request is expected to wait no longer than
    /// `limit`, if no other comes; `None` before any throughput was measured.
    pub fn delay_until(
        &self,
        account: Option<&Account>,
        work: u64,
        limit: Duration,
    ) -> Option<Duration> {
        let share = self.work_through(account, work);
        let room = (limit.as_millis() as u64).saturating_mul(self.work_per_second) / 1000;
        // The work that each account is served until then.
        let (mut low, mut high) = (0, self.accounts.values().map(|l| l.work).max().unwrap_or(0));
        while low < high {
            let served = low + (high - low) / 2;
            if self.work_ahead(share, served) <= room {
                high = served;
            } else {
                low = served + 1;
            }
        }
        self.time_for(self.accounts.values().map(|l| l.work.min(low)).sum())
    }

    /// Returns the work that an account is served with its next request.
    fn work_through(&self, account: Option<&Account>, work: u64) -> u64 {
        let own: u64 = self.accounts.get(&account.cloned()).map_or(0, |l| {
            let shorter = l.waiting.values().filter(|e| e.work <= work);
            shorter.map(|e| e.work).sum()
        });
        own + work
    }

    /// Returns the work before an account's share, once each account was
    /// served so much.
    fn work_ahead(&self, share: u64, served: u64) -> u64 {
        let left = self
            .accounts
            .values()
            .map(|l| l.work.saturating_sub(served));
        left.map(|work| work.min(share)).sum()
    }

    fn time_for(&self, work: u64) -> Option<Duration> {
        let millis = (work * 1000).checked_div(self.work_per_second)?;
        Some(Duration::from_millis(millis))
    }
}
