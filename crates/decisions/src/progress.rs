//! The progress that is asked of a caller for whom room is kept, while room is
//! short.
//!
//! Bytes pay for time at a fixed rate, but never far ahead: who sends much and
//! then stops is soon as far behind as who never began.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Bytes a second that a caller has to send.
pub const FLOOR_BYTES_PER_SECOND: u64 = 16 * 1024;

/// Time for which a caller may send or take nothing.
pub const FLOOR_WINDOW: Duration = Duration::from_secs(2);

/// What a connection waits for that its caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Awaited {
    /// To send the head of a request.
    Head = 1,
    /// To send the body of a request, for which memory is held.
    Body = 2,
    /// To take more of an answer.
    Reading = 3,
}

/// What is asked of the caller of a connection, and until when its bytes have
/// paid. Times are since a fixed moment.
///
/// # Invariants
///
/// - `paid_until` is at most [`FLOOR_WINDOW`] after the last call.
/// - Only the tasks of the connection write to it.
#[derive(Debug, Default)]
pub struct Progress {
    /// An [`Awaited`], or 0 if nothing is asked.
    awaited: AtomicU8,
    /// In microseconds.
    paid_until: AtomicU64,
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl Progress {
    /// Asks for progress from now on.
    pub fn begin(&self, awaited: Awaited, now: Duration) {
        let paid_until = micros(now.saturating_add(FLOOR_WINDOW));
        self.paid_until.store(paid_until, Ordering::Relaxed);
        self.awaited.store(awaited as u8, Ordering::Release);
    }

    /// Asks for no more progress.
    pub fn end(&self) {
        self.awaited.store(0, Ordering::Relaxed);
    }

    /// Records bytes that the caller has sent.
    pub fn record(&self, now: Duration, bytes: usize) {
        let paid = self.paid_until.load(Ordering::Relaxed).max(micros(now));
        let more = (bytes as u64).saturating_mul(1_000_000) / FLOOR_BYTES_PER_SECOND;
        let most = micros(now.saturating_add(FLOOR_WINDOW));
        let paid_until = paid.saturating_add(more).min(most);
        self.paid_until.store(paid_until, Ordering::Relaxed);
    }

    /// Returns what is asked of the caller.
    pub fn awaited(&self) -> Option<Awaited> {
        match self.awaited.load(Ordering::Acquire) {
            1 => Some(Awaited::Head),
            2 => Some(Awaited::Body),
            3 => Some(Awaited::Reading),
            _ => None,
        }
    }

    /// Returns since when the caller is behind what is asked of it; `None` if it
    /// isn't.
    pub fn behind_since(&self, now: Duration) -> Option<Duration> {
        self.awaited()?;
        let paid_until = Duration::from_micros(self.paid_until.load(Ordering::Relaxed));
        (paid_until < now).then_some(paid_until)
    }
}
