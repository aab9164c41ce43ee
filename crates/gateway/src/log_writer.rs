//! Log lines as JSON objects on standard output, which never hold up the
//! process.
//!
//! Lines go through a bounded queue to one writer thread. When the queue is
//! full a line is dropped and counted, and the writer says how many were.

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

use env_logger::Target;
use log::Record;
use log::kv;
use log::kv::VisitSource;

/// Lines that may wait for the writer.
const QUEUE_CAPACITY: usize = 4096;

/// Bytes after which waiting lines are written at once.
const BATCH_BYTES: usize = 32 * 1024;

/// Time after which waiting lines are written.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(250);

/// Counts of lines.
#[derive(Debug, Default)]
pub struct LineCounts {
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LineCounts {
    /// Returns the lines written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns the lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Hands lines to the writer thread.
struct QueueWriter {
    tx: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.tx.try_send(line.to_vec()).is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the writer and makes it the destination of the program's log.
///
/// # Errors
///
/// Fails if the thread can't be started or a log is set up already.
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
        .name("journal".to_owned())
        .spawn(move || write_batches(&rx, to, &writer_counts))?;
    Ok(QueueWriter { tx, counts })
}

/// Opens a queue of lines to any destination, for tests of what it does when
/// that blocks or fails.
///
/// # Errors
///
/// Fails if the writer thread can't be started.
pub fn queue_to<W>(to: W) -> io::Result<(impl Write, Arc<LineCounts>)>
where
    W: Write + Send + 'static,
{
    let counts = Arc::new(LineCounts::default());
    Ok((start_writer(to, Arc::clone(&counts))?, counts))
}

fn write_batches<W>(rx: &Receiver<Vec<u8>>, mut to: W, counts: &LineCounts)
where
    W: Write,
{
    let mut reported = 0;
    while let Ok(first) = rx.recv() {
        let (batch, lines) = collect_batch(rx, first);
        let written = to.write_all(&batch).and_then(|()| to.flush());
        match written {
            Ok(()) => counts.written.fetch_add(lines, Ordering::Relaxed),
            Err(_) => counts.dropped.fetch_add(lines, Ordering::Relaxed),
        };
        let dropped = counts.dropped();
        if dropped > reported && written.is_ok() {
            let note = format!(
                "{{\"ms\":{},\"part\":\"journal\",\"text\":\"lines dropped\",\"lines\":{}}}\n",
                unix_ms(),
                dropped - reported
            );
            // The next batch shows whether the destination still takes lines.
            let _ = to.write_all(note.as_bytes());
            reported = dropped;
        }
    }
}

/// Collects lines until there are many or the first has waited long enough.
fn collect_batch(rx: &Receiver<Vec<u8>>, first: Vec<u8>) -> (Vec<u8>, u64) {
    let until = Instant::now() + MAX_BATCH_DELAY;
    let (mut batch, mut lines) = (first, 1);
    while batch.len() < BATCH_BYTES {
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

/// Writes a record as one JSON object.
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
