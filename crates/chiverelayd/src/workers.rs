//! A fixed pool of workers that run decisions over the shared tables.
//!
//! Jobs of one account go to one worker, which keeps its locks uncontended.
//! A worker waits on its queue; it neither blocks on I/O nor spins.

use std::sync::Arc;

use chiverelay_decisions::gateway::Tables;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

type Job = Box<dyn FnOnce(&Tables) + Send>;

/// The queue of the worker asked for is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Full;

/// The workers' queues.
#[derive(Debug)]
pub(crate) struct Pool {
    queues: Vec<mpsc::Sender<Job>>,
}

impl Pool {
    /// Starts the workers, which end with `cancel`.
    pub(crate) fn start(
        tables: Arc<Tables>,
        workers: usize,
        depth: usize,
        cancel: &CancellationToken,
    ) -> Self {
        let queues = (0..workers)
            .map(|_| {
                let (tx, rx) = mpsc::channel(depth);
                tokio::spawn(work(Arc::clone(&tables), rx, cancel.clone()));
                tx
            })
            .collect();
        Self { queues }
    }

    /// Runs a decision on the worker of `by` and returns its result.
    ///
    /// # Errors
    ///
    /// Fails at once if the worker's queue is full.
    pub(crate) async fn run<R, F>(&self, by: &str, f: F) -> Result<R, Full>
    where
        R: Send + 'static,
        F: FnOnce(&Tables) -> R + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let job = Box::new(move |tables: &Tables| {
            // Whoever asked may have left.
            let _ = tx.send(f(tables));
        });
        let queue = &self.queues[xxh3_64(by.as_bytes()) as usize % self.queues.len()];
        queue.try_send(job).map_err(|_| Full)?;
        rx.await.map_err(|_| Full)
    }

    /// Returns the number of waiting jobs.
    pub(crate) fn waiting(&self) -> usize {
        self.queues
            .iter()
            .map(|q| q.max_capacity() - q.capacity())
            .sum()
    }
}

async fn work(tables: Arc<Tables>, mut rx: mpsc::Receiver<Job>, cancel: CancellationToken) {
    let jobs = async {
        while let Some(job) = rx.recv().await {
            job(&tables);
        }
    };
    cancel.run_until_cancelled(jobs).await;
}
