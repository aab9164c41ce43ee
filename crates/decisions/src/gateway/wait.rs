//! The queues of requests that wait for a free slot.

use std::fmt;
use std::time::Duration;

use super::PoolQueue;
use super::Tables;
use super::targets;
use crate::names::Pool;
use crate::names::Region;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::request::Admitted;
use crate::request::Request;
use crate::step::Peer;
use crate::step::Step;

/// Shortest delay that a refused caller is told to wait, also used where the
/// queue has no estimate.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Wakes a waiting request, so that it is placed.
pub struct QueueWaker(Box<dyn FnOnce() -> bool + Send>);

impl QueueWaker {
    /// Wraps a function that wakes the request, and returns false if the
    /// request no longer waits.
    pub fn new<F>(wake: F) -> Self
    where
        F: FnOnce() -> bool + Send + 'static,
    {
        Self(Box::new(wake))
    }

    fn wake(self) -> bool {
        (self.0)()
    }
}

impl fmt::Debug for QueueWaker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Waker")
    }
}

/// Adds a request to its pool's queue, to be placed again when `waker` is
/// called.
///
/// # Errors
///
/// Refuses the request if the queue is full, or if the expected wait goes
/// beyond its deadline.
pub fn enqueue<O>(
    tables: &Tables,
    req: Request<Admitted, O>,
    waker: QueueWaker,
    now: Duration,
) -> Result<Request<Admitted, O>, Refusal> {
    let config = tables.config.get();
    let grant = req.grant().clone();
    let Some(entry) = config.pools.get(&grant.pool) else {
        return Err(req.refuse(Code::Unavailable, Step::Place, Peer::Local));
    };
    let work = request_work(&req);
    let time_left = req.meta().deadline.saturating_sub(now);
    let make = || PoolQueue::new(entry);
    let queued = tables
        .queues
        .with_or_insert(&grant.pool, make, |pool_queue| {
            let queue = &mut pool_queue.queue;
            queue.set_capacity(entry.queue);
            queue.measure(now);
            let expected = queue.expected_wait(grant.account.as_ref(), work);
            if expected.is_some_and(|wait| wait > time_left) {
                let delay = queue.delay_for_wait(grant.account.as_ref(), work, time_left);
                return Err((Code::DeadlineExceeded, delay.unwrap_or(MIN_RETRY_AFTER)));
            }
            queue
                .push(grant.account.as_ref(), work, waker)
                .map_err(|_| (Code::Overloaded, expected.unwrap_or(MIN_RETRY_AFTER)))
        });
    match queued {
        Ok(()) => Ok(req),
        Err((code, delay)) => {
            let refusal = req.refuse(code, Step::Place, Peer::Local);
            Err(refusal.with_retry_after(delay.max(MIN_RETRY_AFTER)))
        }
    }
}

/// Returns the work of a request in tokens: its prompt and its longest allowed
/// answer. Without a limit on the answer, what was charged beyond the prompt
/// counts for it, which is nothing for a request that was not charged.
fn request_work<O>(req: &Request<Admitted, O>) -> u64 {
    let meta = req.meta();
    let answer = req
        .grant()
        .charged_tokens
        .saturating_sub(meta.prompt_tokens);
    meta.prompt_tokens + meta.max_answer_tokens.unwrap_or(answer)
}

/// Wakes as many waiting requests as there are free slots by the estimates,
/// less those that were woken before and are not placed yet.
///
/// Slots freed by requests of other instances are only seen in load reports, so
/// this must be called after each report, and periodically.
pub fn wake_waiting(tables: &Tables, own_region: &Region, now: Duration) {
    for pool in waiting_pools(tables) {
        wake_pool(tables, &pool, own_region, now);
    }
}

/// Returns the pools for which requests wait.
pub fn waiting_pools(tables: &Tables) -> Vec<Pool> {
    let mut pools = Vec::new();
    tables.queues.for_each(|name, pool_queue| {
        if !pool_queue.queue.is_empty() {
            pools.push(name.clone());
        }
    });
    pools
}

/// Wakes the requests that wait for one pool, like [`wake_waiting`].
pub fn wake_pool(tables: &Tables, pool: &Pool, own_region: &Region, now: Duration) {
    let config = tables.config.get();
    let Some(entry) = config.pools.get(pool) else {
        return;
    };
    let (waiting, woken) = tables
        .queues
        .with(pool, |w| w.map_or((0, 0), |w| (w.queue.len(), w.woken)));
    if waiting == 0 {
        return;
    }
    let peers = targets::count_peers(tables, own_region);
    let free = targets::free_slots(tables, entry, own_region, peers, now);
    // If no target is usable, all requests are woken, to be placed elsewhere or
    // refused.
    let free = free.map_or(u64::MAX, |free| free.saturating_sub(woken));
    for _ in 0..free.min(waiting as u64) {
        wake_next(tables, pool);
    }
}

/// Gives up the slot of a woken request that won't be placed, and wakes others
/// for it.
pub fn abandon_turn(tables: &Tables, pool: &Pool, own_region: &Region, now: Duration) {
    end_turn(tables, pool);
    wake_pool(tables, pool, own_region, now);
}

/// Counts a woken request as placed or given up.
pub(super) fn end_turn(tables: &Tables, pool: &Pool) {
    tables.queues.with(pool, |pool_queue| {
        if let Some(pool_queue) = pool_queue {
            pool_queue.woken = pool_queue.woken.saturating_sub(1);
        }
    });
}

/// Wakes the next request in a pool's queue that still waits.
pub(super) fn wake_next(tables: &Tables, pool: &Pool) {
    loop {
        let next = tables.queues.with(pool, |pool_queue| {
            let pool_queue = pool_queue?;
            let waker = pool_queue.queue.pop()?;
            pool_queue.woken += 1;
            Some(waker)
        });
        let Some(waker) = next else {
            return;
        };
        if waker.wake() {
            return;
        }
        end_turn(tables, pool);
    }
}
