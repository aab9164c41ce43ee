//! A budget of bytes that the bodies and buffered answers of a process share.
//!
//! Bytes are reserved before they are read, and returned when the last copy of
//! what was read is dropped, as after an answer was written to a slow caller.

use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use thiserror::Error as ThisError;

/// Size from which a buffer grows by segments, and of a segment, in bytes.
const SEGMENT_BYTES: usize = 16 * 1024;

/// The budget has too few bytes left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
#[error("too little memory is left for requests")]
pub struct Exhausted;

/// How much of a budget is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Level {
    /// Not near the limit.
    Ample,
    /// At least three quarters are in use.
    Near,
    /// A reservation was denied.
    Exhausted,
}

/// Use of a budget at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetUse {
    /// Bytes that may be reserved in all.
    pub limit: u64,
    /// Bytes that are reserved.
    pub used: u64,
}

/// # Invariants
///
/// `used` is the sum of all reservations, and at most `limit`. It is a part of
/// the `used` of `whole`.
#[derive(Debug)]
struct Shared {
    limit: u64,
    used: AtomicU64,
    /// The budget that this one is a part of.
    whole: Option<Arc<Shared>>,
    /// A [`Level`], the last one that was returned by
    /// [`MemoryBudget::level_change`].
    noted: AtomicU8,
    denied: AtomicU64,
    /// Value of `denied` at the last call of [`MemoryBudget::level_change`].
    noted_denied: AtomicU64,
}

impl Shared {
    fn new(limit: u64, whole: Option<Arc<Self>>) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicU64::new(0),
            whole,
            noted: AtomicU8::new(Level::Ample as u8),
            denied: AtomicU64::new(0),
            noted_denied: AtomicU64::new(0),
        })
    }

    fn take(&self, bytes: u64) -> Result<(), Exhausted> {
        self.take_own(bytes)?;
        let taken = self.whole.as_ref().map_or(Ok(()), |w| w.take(bytes));
        taken.inspect_err(|_| self.give_back_own(bytes))
    }

    fn take_own(&self, bytes: u64) -> Result<(), Exhausted> {
        let add = |used: u64| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        taken.map(|_| ()).map_err(|_| {
            self.denied.fetch_add(1, Ordering::Relaxed);
            Exhausted
        })
    }

    fn give_back(&self, bytes: u64) {
        self.give_back_own(bytes);
        if let Some(whole) = &self.whole {
            whole.give_back(bytes);
        }
    }

    fn give_back_own(&self, bytes: u64) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// A budget of bytes. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self {
            shared: Shared::new(limit, None),
        }
    }

    /// Creates a budget of `limit` bytes that are also bytes of this one.
    pub fn part(&self, limit: u64) -> Self {
        Self {
            shared: Shared::new(limit, Some(Arc::clone(&self.shared))),
        }
    }

    /// Reserves bytes until the reservation is dropped.
    ///
    /// # Errors
    ///
    /// Fails if too few bytes are left.
    pub fn reserve(&self, bytes: usize) -> Result<Reservation, Exhausted> {
        let mut reservation = self.empty_reservation();
        reservation.grow_to(bytes)?;
        Ok(reservation)
    }

    /// Returns a reservation of nothing.
    pub fn empty_reservation(&self) -> Reservation {
        Reservation {
            shared: Arc::clone(&self.shared),
            bytes: 0,
        }
    }

    /// Reserves bytes for data that was read, until its last copy is dropped.
    ///
    /// # Errors
    ///
    /// Fails if too few bytes are left.
    pub fn hold(&self, data: Vec<u8>) -> Result<Bytes, Exhausted> {
        self.empty_reservation().hold(data)
    }

    /// Returns a buffer with room for `capacity` bytes.
    ///
    /// # Errors
    ///
    /// Fails if too few bytes are left.
    pub fn buffer(&self, capacity: usize) -> Result<HeldBuffer, Exhausted> {
        let reservation = self.reserve(capacity)?;
        Ok(HeldBuffer::new(reservation, capacity))
    }

    /// Returns a buffer without room.
    pub fn empty_buffer(&self) -> HeldBuffer {
        HeldBuffer::new(self.empty_reservation(), 0)
    }

    /// Returns the limit and the bytes in use.
    pub fn usage(&self) -> BudgetUse {
        BudgetUse {
            limit: self.shared.limit,
            used: self.shared.used.load(Ordering::Relaxed),
        }
    }

    /// Returns the level if it differs from what the last call returned. A level
    /// ends once no more than half of the budget is in use.
    pub fn level_change(&self) -> Option<Level> {
        let shared = &self.shared;
        let BudgetUse { limit, used } = self.usage();
        let denied = shared.denied.load(Ordering::Relaxed);
        let was_denied = shared.noted_denied.swap(denied, Ordering::Relaxed) != denied;
        let noted = shared.noted.load(Ordering::Relaxed);
        let level = if was_denied {
            Level::Exhausted
        } else if used <= limit / 2 {
            Level::Ample
        } else if used >= limit - limit / 4 && noted == Level::Ample as u8 {
            Level::Near
        } else {
            return None;
        };
        let former = shared.noted.swap(level as u8, Ordering::Relaxed);
        (former != level as u8).then_some(level)
    }
}

/// Bytes of a budget, which are returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    shared: Arc<Shared>,
    bytes: u64,
}

impl Reservation {
    /// Raises the reservation to `bytes` if it is smaller.
    ///
    /// # Errors
    ///
    /// Fails if too few bytes are left. The reservation is unchanged then.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let more = (bytes as u64).saturating_sub(self.bytes);
        self.shared.take(more)?;
        self.bytes += more;
        Ok(())
    }

    /// Holds data that was read, until its last copy is dropped. Of the reservation
    /// as much is kept as the data needs.
    ///
    /// # Errors
    ///
    /// Fails if it needs more and too few bytes are left.
    pub fn hold(mut self, mut data: Vec<u8>) -> Result<Bytes, Exhausted> {
        data.shrink_to_fit();
        self.grow_to(data.capacity())?;
        self.shrink_to(data.capacity());
        Ok(Bytes::from_owner(Held {
            data,
            _reservation: self,
        }))
    }

    /// Lowers the reservation to `bytes` if it is larger.
    pub fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes as u64);
        self.shared.give_back(less);
        self.bytes -= less;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.give_back(self.bytes);
    }
}

/// A buffer whose room is reserved.
///
/// A large one has segments: memory that a growing allocation leaves behind may
/// stay with the process.
///
/// # Invariants
///
/// `reservation` covers the capacity of all segments, but for what
/// [`HeldBuffer::extend_unreserved`] has added.
#[derive(Debug)]
pub struct HeldBuffer {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    len: usize,
    reserved: usize,
    reservation: Reservation,
}

impl HeldBuffer {
    fn new(reservation: Reservation, capacity: usize) -> Self {
        Self {
            full: Vec::new(),
            last: Vec::with_capacity(capacity),
            len: 0,
            reserved: capacity,
            reservation,
        }
    }

    /// Adds data, for which room is reserved first.
    ///
    /// # Errors
    ///
    /// Fails if too few bytes are left. Nothing is added then.
    pub fn extend(&mut self, data: &[u8]) -> Result<(), Exhausted> {
        let len = self.last.len() + data.len();
        if len > self.last.capacity() {
            match len <= SEGMENT_BYTES {
                true => self.grow_last(len.max(2 * self.last.capacity()))?,
                false => self.add_segment(data.len().max(SEGMENT_BYTES))?,
            }
        }
        self.extend_unreserved(data);
        Ok(())
    }

    fn grow_last(&mut self, capacity: usize) -> Result<(), Exhausted> {
        self.reserve(capacity - self.last.capacity())?;
        self.last.reserve_exact(capacity - self.last.len());
        Ok(())
    }

    fn add_segment(&mut self, capacity: usize) -> Result<(), Exhausted> {
        self.reserve(capacity)?;
        let last = std::mem::replace(&mut self.last, Vec::with_capacity(capacity));
        self.full.push(last);
        Ok(())
    }

    fn reserve(&mut self, more: usize) -> Result<(), Exhausted> {
        self.reservation.grow_to(self.reserved + more)?;
        self.reserved += more;
        Ok(())
    }

    /// Adds data that was received already and can't be refused any more.
    pub fn extend_unreserved(&mut self, data: &[u8]) {
        self.last.extend_from_slice(data);
        self.len += data.len();
    }

    /// Returns the number of bytes of data.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether there is no data.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the data. Its bytes are returned to the budget when the last
    /// copy is dropped.
    pub fn freeze(mut self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        let data = if self.full.is_empty() {
            self.last
        } else {
            self.full.push(self.last);
            self.full.concat()
        };
        self.reservation.shrink_to(data.capacity());
        Bytes::from_owner(Held {
            data,
            _reservation: self.reservation,
        })
    }
}

/// Data with the reservation of its memory.
struct Held {
    data: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
