//! A bounded copy of a target's prefix cache, updated by its cache events.

use std::collections::HashSet;
use std::mem;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use super::prefix::BLOCK_TOKENS;

type Blocks = HashSet<u64, Xxh3DefaultBuilder>;

/// Largest number of confirmed blocks recorded of a target's cache. As many
/// unconfirmed ones may be recorded besides.
const MAX_CONFIRMED_BLOCKS: usize = 2048;

/// Cache events are missing before the one that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceGap {
    /// Sequence number of the event applied last.
    pub last_applied: u64,
    /// Sequence number of the received event.
    pub received: u64,
}

/// The blocks that are known to be in a target's prefix cache.
///
/// # Invariants
///
/// `recent` and `older` together have at most [`MAX_CONFIRMED_BLOCKS`] blocks:
/// when `recent` reaches half of it, `older` is dropped and replaced by
/// `recent`. `unconfirmed` has at most as many, from before the last gap.
/// `sequence` is the number of the event applied last; no event was missed
/// since the blocks in `recent` and `older`, the confirmed ones, were recorded.
#[derive(Clone, Debug, Default)]
pub struct CacheView {
    sequence: u64,
    recent: Blocks,
    older: Blocks,
    unconfirmed: Blocks,
}

impl CacheView {
    /// Returns the sequence number of the event applied last.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the number of recorded blocks.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len() + self.unconfirmed.len()
    }

    /// Returns whether no block is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records blocks that the target has stored or is about to store.
    pub fn insert<I>(&mut self, blocks: I)
    where
        I: IntoIterator<Item = u64>,
    {
        for block in blocks {
            self.older.remove(&block);
            self.unconfirmed.remove(&block);
            self.recent.insert(block);
            if self.recent.len() >= MAX_CONFIRMED_BLOCKS / 2 {
                self.older = mem::take(&mut self.recent);
            }
        }
    }

    /// Applies a cache event; one that was applied before is ignored.
    ///
    /// # Errors
    ///
    /// Reports a gap in the sequence. All blocks recorded before it become
    /// unconfirmed, since they may have been evicted in a missed event. The
    /// event is still applied.
    pub fn apply(
        &mut self,
        sequence: u64,
        stored: &[u64],
        removed: &[u64],
    ) -> Result<(), SequenceGap> {
        if sequence <= self.sequence {
            return Ok(());
        }
        let last_applied = mem::replace(&mut self.sequence, sequence);
        let gap = sequence != last_applied + 1;
        if gap {
            self.mark_unconfirmed();
        }
        for block in removed {
            self.recent.remove(block);
            self.older.remove(block);
            self.unconfirmed.remove(block);
        }
        self.insert(stored.iter().copied());
        if gap {
            return Err(SequenceGap {
                last_applied,
                received: sequence,
            });
        }
        Ok(())
    }

    /// Removes all blocks, for a target that was restarted.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn mark_unconfirmed(&mut self) {
        self.unconfirmed = mem::take(&mut self.recent);
        self.unconfirmed.extend(self.older.drain());
    }

    /// Estimates how many tokens of a prompt's prefix the target has cached.
    ///
    /// Unconfirmed blocks count half.
    pub fn cached_tokens(&self, block_hashes: &[u64]) -> u64 {
        let confirmed = cached_blocks(block_hashes, |b| {
            self.recent.contains(b) || self.older.contains(b)
        });
        let unconfirmed = cached_blocks(block_hashes, |b| self.unconfirmed.contains(b));
        confirmed.max((confirmed + unconfirmed) / 2) * BLOCK_TOKENS
    }
}

/// Counts the blocks up to the last cached one. As the hashes are chained, a
/// cached block implies that all blocks before it are cached.
fn cached_blocks<F>(chain: &[u64], is_cached: F) -> u64
where
    F: Fn(&u64) -> bool,
{
    chain
        .iter()
        .rposition(is_cached)
        .map_or(0, |at| at as u64 + 1)
}
