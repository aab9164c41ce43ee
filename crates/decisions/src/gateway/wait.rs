//! Requests that wait for a slot.

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

/// The delay named where a full queue gives no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Wakes a waiting request.
pub struct QueueWaker(Box<dyn FnOnce() -> bool + Send>);

impl QueueWaker {
    /// Wraps a function that returns false if nobody waits any more.
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

/// Lets a request wait until [`QueueWaker`] tells it to be placed again.
///
/// # Errors
///
/// Refuses the request at once if the queue is full or the deadline would
/// pass first.
pub fn enqueue<O>(
    tables: &Tables,
    req: Request<Admitted, O>,
    waker: QueueWaker,
    now: Duration,
) -> Result<Request<Admitted, O>, Refusal> {
    let config = tables.config.get();
    let grant = req.grant().clone();
    let Some(entry) = config.pools.get(&grant.pool) else {
        return Err(req.refuse_not_run(Code::Unavailable, Step::Place, Peer::Local));
    };
    let work = request_work(&req);
    let left = req.meta().deadline.saturating_sub(now);
    let make = || PoolQueue::new(entry);
    let taken = tables.queues.with_or_insert(&grant.pool, make, |waiting| {
        let queue = &mut waiting.queue;
        queue.set_capacity(entry.queue);
        queue.measure(now);
        let expected = queue.expected_wait(grant.account.as_ref(), work);
        if expected.is_some_and(|wait| wait > left) {
            let delay = queue.delay_until(grant.account.as_ref(), work, left);
            return Err((Code::DeadlineExceeded, delay.unwrap_or(DEFAULT_RETRY_AFTER)));
        }
        queue
            .push(grant.account.as_ref(), work, waker)
            .map_err(|_| (Code::Overloaded, expected.unwrap_or(DEFAULT_RETRY_AFTER)))
    });
    match taken {
        Ok(()) => Ok(req),
        Err((code, delay)) => {
            let refusal = req.refuse_not_run(code, Step::Place, Peer::Local);
            Err(refusal.retry_after(delay.max(DEFAULT_RETRY_AFTER)))
        }
    }
}

/// Returns the work of a request in tokens.
fn request_work<O>(req: &Request<Admitted, O>) -> u64 {
    let head = req.meta();
    let answer = req
        .grant()
        .charged_tokens
        .saturating_sub(head.prompt_tokens);
    head.prompt_tokens + head.max_answer_tokens.unwrap_or(answer)
}

/// Wakes waiting requests for the slots that are free by the estimates.
///
/// Slots that other instances gave up are seen in load reports only, so this
/// is called with each report, and now and then.
pub fn wake_waiting(tables: &Tables, here: &Region, now: Duration) {
    for pool in waiting_pools(tables) {
        wake_pool(tables, &pool, here, now);
    }
}

/// Lists the pools for which requests wait.
pub fn waiting_pools(tables: &Tables) -> Vec<Pool> {
    let mut pools = Vec::new();
    tables.queues.for_each(|name, waiting| {
        if !waiting.queue.is_empty() {
            pools.push(name.clone());
        }
    });
    pools
}

/// Wakes requests that wait for one pool, as [`wake_waiting`] does.
pub fn wake_pool(tables: &Tables, pool: &Pool, here: &Region, now: Duration) {
    let config = tables.config.get();
    let Some(entry) = config.pools.get(pool) else {
        return;
    };
    let waiting = tables.queues.with(pool, |w| w.map_or(0, |w| w.queue.len()));
    if waiting == 0 {
        return;
    }
    let peers = targets::count_peers(tables, here);
    let free = targets::free_slots(tables, entry, here, peers, now);
    for _ in 0..free.unwrap_or(u64::MAX).min(waiting as u64) {
        wake_next(tables, pool);
    }
}

/// Wakes the request whose turn it is.
pub(super) fn wake_next(tables: &Tables, pool: &Pool) {
    loop {
        let next = tables
            .queues
            .with(pool, |waiting| waiting.and_then(|w| w.queue.pop()));
        match next {
            Some(waker) => {
                if waker.wake() {
                    return;
                }
            }
            None => return,
        }
    }
}
