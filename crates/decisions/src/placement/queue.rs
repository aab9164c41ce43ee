//! A bounded queue that divides the slots of a pool fairly among accounts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use crate::names::Account;

/// Weight of the newest measurement in the average throughput, in percent.
const NEWEST_WEIGHT_PERCENT: u64 = 30;

/// Shortest interval over which throughput is measured.
const MIN_MEASURE_INTERVAL: Duration = Duration::from_millis(500);

/// The queue has reached its capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

#[derive(Debug)]
struct Entry<T> {
    work: u64,
    item: T,
}

/// The waiting requests of an account.
///
/// # Invariants
///
/// `virtual_time` grows by the work that the account is served, and is raised
/// to the queue's virtual clock when a request is added. `waiting` is ordered
/// by work plus the virtual clock at arrival, so that short requests go first
/// and none waits forever. `work` is the sum of the waiting requests' work.
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

/// Waiting requests of a pool, served in fair shares of work among accounts.
///
/// # Invariants
///
/// `len` counts the requests of all accounts; none is added once it reaches
/// `capacity`. `virtual_clock` never decreases while requests wait. An account
/// without waiting requests is kept only while its virtual time is ahead of the
/// clock. In `accounts`, the key `None` stands for the requests on open routes,
/// which have no account. `work_per_second` is the average throughput, or 0
/// before the first measurement.
#[derive(Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    len: usize,
    /// Requests added so far, which orders those of equal work.
    arrivals: u64,
    virtual_clock: u64,
    /// Work of all requests removed so far.
    work_taken: u64,
    /// Time of the last measurement, and `work_taken` then.
    last_measured: Option<(Duration, u64)>,
    work_per_second: u64,
    accounts: HashMap<Option<Account>, AccountQueue<T>, Xxh3DefaultBuilder>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
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

    /// Changes how many requests may wait. Requests that wait already stay in
    /// the queue.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request with its work in tokens.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full.
    pub fn push(&mut self, account: Option<&Account>, work: u64, item: T) -> Result<(), QueueFull> {
        if self.len >= self.capacity {
            return Err(QueueFull);
        }
        let virtual_clock = self.virtual_clock;
        let queue = self
            .accounts
            .entry(account.cloned())
            .or_insert_with(|| AccountQueue {
                virtual_time: virtual_clock,
                work: 0,
                waiting: BTreeMap::new(),
            });
        queue.virtual_time = queue.virtual_time.max(virtual_clock);
        queue.work += work;
        let key = (work.saturating_add(virtual_clock), self.arrivals);
        queue.waiting.insert(key, Entry { work, item });
        self.arrivals += 1;
        self.len += 1;
        Ok(())
    }

    /// Removes the next request.
    ///
    /// It is the first one of the account whose virtual time, with the work of
    /// that request added, is lowest.
    pub fn pop(&mut self) -> Option<T> {
        let next = self
            .accounts
            .iter()
            .filter_map(|(account, queue)| Some((queue.virtual_finish()?, account)))
            .min()?;
        let account = next.1.clone();
        let queue = self.accounts.get_mut(&account)?;
        let (_, entry) = queue.waiting.pop_first()?;
        self.virtual_clock = self.virtual_clock.max(queue.virtual_time);
        queue.virtual_time += entry.work;
        queue.work -= entry.work;
        self.len -= 1;
        self.work_taken += entry.work;
        if self.len == 0 {
            // With no request waiting, no account has to be favored or held
            // back.
            self.accounts.clear();
        } else if self.accounts[&account].waiting.is_empty() {
            let virtual_clock = self.virtual_clock;
            self.accounts
                .retain(|_, a| !a.waiting.is_empty() || a.virtual_time > virtual_clock);
        }
        Some(entry.item)
    }

    /// Updates the average throughput by the work removed since the last
    /// measurement.
    pub fn measure(&mut self, now: Duration) {
        let Some((at, work_taken)) = self.last_measured else {
            self.last_measured = Some((now, self.work_taken));
            return;
        };
        let elapsed = now.saturating_sub(at);
        if elapsed < MIN_MEASURE_INTERVAL {
            return;
        }
        let newest = (self.work_taken - work_taken) * 1000 / elapsed.as_millis() as u64;
        self.work_per_second = match self.work_per_second {
            0 => newest,
            rate => (rate * (100 - NEWEST_WEIGHT_PERCENT) + newest * NEWEST_WEIGHT_PERCENT) / 100,
        };
        self.last_measured = Some((now, self.work_taken));
    }

    /// Returns the expected wait of a request that is added now; `None` before
    /// the throughput was measured.
    ///
    /// The estimate assumes that each other account is served at most as much
    /// work as this one until then.
    pub fn expected_wait(&self, account: Option<&Account>, work: u64) -> Option<Duration> {
        let own_work_up_to = self.own_work_up_to(account, work);
        self.time_for(self.work_ahead(own_work_up_to, 0))
    }

    /// Returns the time after which a request of `work` tokens would wait at
    /// most `max_wait`, if no other one is added; `None` before the throughput
    /// was measured.
    pub fn delay_for_wait(
        &self,
        account: Option<&Account>,
        work: u64,
        max_wait: Duration,
    ) -> Option<Duration> {
        let own_work_up_to = self.own_work_up_to(account, work);
        let room = (max_wait.as_millis() as u64).saturating_mul(self.work_per_second) / 1000;
        // Binary search for the work that each account must be served before
        // the wait is at most `max_wait`.
        let (mut low, mut high) = (0, self.accounts.values().map(|a| a.work).max().unwrap_or(0));
        while low < high {
            let served = low + (high - low) / 2;
            if self.work_ahead(own_work_up_to, served) <= room {
                high = served;
            } else {
                low = served + 1;
            }
        }
        self.time_for(self.accounts.values().map(|a| a.work.min(low)).sum())
    }

    /// Returns the work that an account is served up to and including a new
    /// request. It is estimated by work alone, without the time of arrival.
    fn own_work_up_to(&self, account: Option<&Account>, work: u64) -> u64 {
        let own: u64 = self.accounts.get(&account.cloned()).map_or(0, |a| {
            let shorter = a.waiting.values().filter(|e| e.work <= work);
            shorter.map(|e| e.work).sum()
        });
        own + work
    }

    /// Returns the work of all accounts that comes before a new request, once
    /// each account was served `served`.
    ///
    /// `own_work_up_to` is that request's result of [`Self::own_work_up_to`].
    fn work_ahead(&self, own_work_up_to: u64, served: u64) -> u64 {
        let left = self
            .accounts
            .values()
            .map(|a| a.work.saturating_sub(served));
        left.map(|work| work.min(own_work_up_to)).sum()
    }

    fn time_for(&self, work: u64) -> Option<Duration> {
        let millis = (work * 1000).checked_div(self.work_per_second)?;
        Some(Duration::from_millis(millis))
    }
}
