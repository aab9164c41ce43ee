//! Counts of the client's calls.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Reads a key.
    Get,
    /// Reads the keys of a prefix.
    List,
    /// Writes keys by compare-and-swap.
    Swap,
    /// Deletes keys.
    Delete,
    /// Takes a lease.
    Grant,
    /// Renews a lease.
    Renew,
    /// Gives a lease back.
    Revoke,
    /// Opens a watch.
    Watch,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 8] = [
        Self::Get,
        Self::List,
        Self::Swap,
        Self::Delete,
        Self::Grant,
        Self::Renew,
        Self::Revoke,
        Self::Watch,
    ];

    /// Returns the kind's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Swap => "swap",
            Self::Delete => "delete",
            Self::Grant => "grant",
            Self::Renew => "renew",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
        }
    }

    /// Tells whether the store counts the call as a write.
    pub fn is_write(self) -> bool {
        !matches!(self, Self::Get | Self::List | Self::Watch)
    }
}

/// Counts by kind, and the watches that wait now.
#[derive(Debug, Default)]
pub struct Calls {
    counts: [AtomicU64; Kind::ALL.len()],
    waiting: AtomicU64,
}

impl Calls {
    fn slot(&self, kind: Kind) -> &AtomicU64 {
        &self.counts[kind as usize]
    }

    pub(crate) fn count(&self, kind: Kind) {
        self.slot(kind).fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn wait(&self) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end_wait(&self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the calls of a kind so far.
    pub fn of(&self, kind: Kind) -> u64 {
        self.slot(kind).load(Ordering::Relaxed)
    }

    /// Returns the watches that wait now, each of which the store counts as a call.
    pub fn waiting(&self) -> u64 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns the calls so far.
    pub fn total(&self) -> u64 {
        Kind::ALL.iter().map(|kind| self.of(*kind)).sum()
    }
}
