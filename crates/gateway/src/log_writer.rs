//! Writes log lines as JSON objects to standard output without blocking the
//! process.
//!
//! Lines go through a queue to a single writer thread. The queue is bounded by
//! lines and by bytes. If it is full, lines are dropped, and the writer later logs how many.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use chiverelay_decisions::memory_budget::MemoryBudget;
use env_logger::Target;
use log::Record;
use log::kv;
use log::kv::VisitSource;

/// Maximum number of lines that wait for the writer.
const QUEUE_CAPACITY: usize = 4096;

/// Maximum size of the lines that wait for the writer, in bytes. A line may have
/// text of a caller, as long as its head may be.
const QUEUE_BYTES: u64 = 2 * 1024 * 1024;

/// Size in bytes from which a batch is written without waiting for more lines.
const FULL_BATCH_BYTES: usize = 32 * 1024;

/// Longest time that a line waits for its batch to fill.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(250);

/// Counts of log lines since the start of the process.
#[derive(Debug, Default)]
pub struct LineCounts {
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LineCounts {
    /// Returns the number of lines written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Sends lines to the writer thread, and drops them if its queue is full.
struct QueueWriter {
    tx: SyncSender<Bytes>,
    memory: MemoryBudget,
    counts: Arc<LineCounts>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let held = self.memory.hold(line.to_vec());
        let is_queued = held.is_ok_and(|line| self.tx.try_send(line).is_ok());
        if !is_queued {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the writer thread and installs a logger that sends lines to it.
///
/// # Errors
///
/// Fails if the thread can't be started or a logger is already installed.
pub fn init(instance: &str, level: log::LevelFilter) -> io::Result<Arc<LineCounts>> {
    let counts = Arc::new(LineCounts::default());
    let queue = start_writer(io::stdout(), Arc::clone(&counts))?;
    let instance = instance.to_owned();
    env_logger::Builder::new()
        .filter_level(level)
        .filter_module("hyper", log::LevelFilter::Warn)
        .filter_module("quinn", log::LevelFilter::Error)
        .filter_module("rustls", log::LevelFilter::Error)
        .format(move |buf, record| writeln!(buf, "{}", format_line(&instance, record)))
        .target(Target::Pipe(Box::new(queue)))
        .try_init()
        .map_err(io::Error::other)?;
    Ok(counts)
}

fn start_writer<W>(to: W, counts: Arc<LineCounts>) -> io::Result<QueueWriter>
where
    W: Write + Send + 'static,
{
    let (tx, rx) = sync_channel(QUEUE_CAPACITY);
    let writer_counts = Arc::clone(&counts);
    std::thread::Builder::new()
        // The log is called journal in the names that leave the process.
        .name("journal".to_owned())
        .spawn(move || write_batches(&rx, to, &writer_counts))?;
    let memory = MemoryBudget::new(QUEUE_BYTES);
    Ok(QueueWriter { tx, memory, counts })
}

/// Starts a writer thread for any output, and returns the writer to its queue.
/// Tests use it to check how the queue behaves if the output blocks or fails.
///
/// # Errors
///
/// Fails if the writer thread can't be started.
pub fn start_queue_writer<W>(to: W) -> io::Result<(impl Write, Arc<LineCounts>)>
where
    W: Write + Send + 'static,
{
    let counts = Arc::new(LineCounts::default());
    Ok((start_writer(to, Arc::clone(&counts))?, counts))
}

fn write_batches<W>(rx: &Receiver<Bytes>, mut to: W, counts: &LineCounts)
where
    W: Write,
{
    let mut reported_dropped = 0;
    while let Ok(first) = rx.recv() {
        let (batch, lines) = collect_batch(rx, first);
        let written = to.write_all(&batch).and_then(|()| to.flush());
        match written {
            Ok(()) => counts.written.fetch_add(lines, Ordering::Relaxed),
            Err(_) => counts.dropped.fetch_add(lines, Ordering::Relaxed),
        };
        let dropped = counts.dropped();
        if dropped > reported_dropped && written.is_ok() {
            let note = format!(
                "{{\"ms\":{},\"part\":\"journal\",\"text\":\"lines dropped\",\"lines\":{}}}\n",
                unix_ms(),
                dropped - reported_dropped
            );
            // If this fails, the next batch likely fails too. The lines of this
            // note are not reported again, but stay counted as dropped.
            let _ = to.write_all(note.as_bytes());
            reported_dropped = dropped;
        }
    }
}

/// Collects lines until the batch is full or its first line has waited for
/// [`MAX_BATCH_DELAY`]. Returns the batch and its number of lines.
fn collect_batch(rx: &Receiver<Bytes>, first: Bytes) -> (Vec<u8>, u64) {
    let until = Instant::now() + MAX_BATCH_DELAY;
    let (mut batch, mut lines) = (first.to_vec(), 1);
    while batch.len() < FULL_BATCH_BYTES {
        let left = until.saturating_duration_since(Instant::now());
        match rx.recv_timeout(left) {
            Ok(line) => {
                batch.extend_from_slice(&line);
                lines += 1;
            }
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
        }
    }
    (batch, lines)
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

/// Formats a log record as a JSON object.
fn format_line(instance: &str, record: &Record<'_>) -> String {
    let mut fields = serde_json::Map::new();
    let ms = u64::try_from(unix_ms()).unwrap_or(u64::MAX);
    fields.insert("ms".to_owned(), ms.into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("instance".to_owned(), instance.into());
    fields.insert("part".to_owned(), record.target().into());
    fields.insert("text".to_owned(), record.args().to_string().into());
    let mut visitor = Fields(fields);
    if record.key_values().visit(&mut visitor).is_err() {
        visitor.0.insert("incomplete".to_owned(), true.into());
    }
    serde_json::Value::Object(visitor.0).to_string()
}

struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(n), _) => n.into(),
            (None, Some(b)) => b.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
