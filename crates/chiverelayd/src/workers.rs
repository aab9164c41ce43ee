//! A fixed pool of workers that run decisions over the shared tables.
//!
//! Jobs of one account or of one pool of targets go to one worker, which keeps
//! their locks uncontended and their order. A worker waits on its queues; it
//! neither blocks on I/O nor spins.
//!
//! New work may be refused, so its queue is bounded. What has happened already
//! (a request ended, a target failed) may not be lost, so it goes another way,
//! which can't be full: the work that it comes from was let in before.

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

/// The ways to one worker.
///
/// # Invariants
///
/// `notes` has no bound of its own. Each note comes from a request that was
/// admitted, of which each has a handful, or from a poll that waits for it.
#[derive(Debug)]
struct Queue {
    jobs: mpsc::Sender<Job>,
    notes: mpsc::UnboundedSender<Job>,
}

/// The workers' queues.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    queues: Arc<[Queue]>,
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
                let (jobs, new) = mpsc::channel(depth);
                let (notes, heard) = mpsc::unbounded_channel();
                let worker = Worker {
                    tables: Arc::clone(&tables),
                    notes: heard,
                };
                tokio::spawn(worker.run(new, cancel.clone()));
                Queue { jobs, notes }
            })
            .collect();
        Self { queues }
    }

    fn queue(&self, by: &str) -> &Queue {
        &self.queues[xxh3_64(by.as_bytes()) as usize % self.queues.len()]
    }

    /// Runs a decision on new work on the worker of `by` and returns its result.
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
        self.queue(by).jobs.try_send(job).map_err(|_| Full)?;
        rx.await.map_err(|_| Full)
    }

    /// Tells the worker of `by` what has happened. It knows before it runs any
    /// job that is asked for later.
    pub(crate) fn tell<F>(&self, by: &str, f: F)
    where
        F: FnOnce(&Tables) + Send + 'static,
    {
        // The workers end after the last request; then nothing is decided.
        let _ = self.queue(by).notes.send(Box::new(f));
    }

    /// Like [`Pool::tell`], and returns what comes of it; `None` once the
    /// workers have ended.
    pub(crate) async fn consult<R, F>(&self, by: &str, f: F) -> Option<R>
    where
        R: Send + 'static,
        F: FnOnce(&Tables) -> R + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        self.tell(by, move |tables| {
            // Whoever asked may have left.
            let _ = tx.send(f(tables));
        });
        rx.await.ok()
    }

    /// Returns the number of waiting jobs.
    pub(crate) fn waiting(&self) -> usize {
        self.queues
            .iter()
            .map(|q| q.jobs.max_capacity() - q.jobs.capacity())
            .sum()
    }
}

struct Worker {
    tables: Arc<Tables>,
    notes: mpsc::UnboundedReceiver<Job>,
}

impl Worker {
    async fn run(mut self, mut jobs: mpsc::Receiver<Job>, cancel: CancellationToken) {
        cancel.run_until_cancelled(self.work(&mut jobs)).await;
        self.catch_up();
    }

    async fn work(&mut self, jobs: &mut mpsc::Receiver<Job>) {
        loop {
            let job = tokio::select! {
                biased;
                Some(note) = self.notes.recv() => note,
                Some(job) = jobs.recv() => {
                    // What was told before the job was asked for comes first.
                    self.catch_up();
                    job
                }
                else => return,
            };
            job(&self.tables);
        }
    }

    /// Runs the notes that are there.
    fn catch_up(&mut self) {
        while let Ok(note) = self.notes.try_recv() {
            note(&self.tables);
        }
    }
}
