//! A bounded view of a target's prefix cache, fed by cache events.

use std::collections::HashSet;
use std::mem;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use super::prefix::BLOCK_TOKENS;

type Blocks = HashSet<u64, Xxh3DefaultBuilder>;

/// Blocks kept of one target's cache.
const CAPACITY: usize = 2048;

/// Events are missing between the last one applied and the one at hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceGap {
    /// Sequence number of the last event applied.
    pub last_applied: u64,
    /// Sequence number of the event at hand.
    pub received: u64,
}

/// What is known of a target's prefix cache.
///
/// # Invariants
///
/// `recent` and `older` together hold at most [`CAPACITY`] blocks: when
/// `recent` reaches half of it, `older` is dropped and replaced by `recent`.
/// `unsure` holds at most as many, from before the last gap. `sequence` is the
/// last event applied, without a gap for the blocks in `recent` and `older`.
#[derive(Clone, Debug, Default)]
pub struct CacheView {
    sequence: u64,
    recent: Blocks,
    older: Blocks,
    unconfirmed: Blocks,
}

impl CacheView {
    /// Returns the sequence number of the last event applied.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Counts the blocks held.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len() + self.unconfirmed.len()
    }

    /// Tells whether nothing is known to be cached.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes note of blocks that the target stores.
    pub fn insert<I>(&mut self, blocks: I)
    where
        I: IntoIterator<Item = u64>,
    {
        for block in blocks {
            self.older.remove(&block);
            self.unconfirmed.remove(&block);
            self.recent.insert(block);
            if self.recent.len() >= CAPACITY / 2 {
                self.older = mem::take(&mut self.recent);
            }
        }
    }

    /// Applies one cache event.
    ///
    /// # Errors
    ///
    /// A gap in the sequence makes the whole view unsure, since blocks may have
    /// left the cache unseen. The event is applied all the same.
    pub fn apply(
        &mut self,
        sequence: u64,
        stored: &[u64],
        removed: &[u64],
    ) -> Result<(), SequenceGap> {
        if sequence <= self.sequence {
            return Ok(());
        }
        let after = mem::replace(&mut self.sequence, sequence);
        let gap = sequence != after + 1;
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
                last_applied: after,
                received: sequence,
            });
        }
        Ok(())
    }

    /// Starts anew, for a target that was restarted.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn mark_unconfirmed(&mut self) {
        self.unconfirmed = mem::take(&mut self.recent);
        self.unconfirmed.extend(self.older.drain());
    }

    /// Estimates the tokens of a prompt's prefix that the target has cached.
    ///
    /// Blocks from before a gap count half.
    pub fn cached_tokens(&self, block_hashes: &[u64]) -> u64 {
        let sure = cached_blocks(block_hashes, |b| {
            self.recent.contains(b) || self.older.contains(b)
        });
        let unsure = cached_blocks(block_hashes, |b| self.unconfirmed.contains(b));
        sure.max((sure + unsure) / 2) * BLOCK_TOKENS
    }
}

/// Counts the blocks up to the last one held; as the hashes are chained, it
/// covers all before it.
fn cached_blocks<F>(chain: &[u64], held: F) -> u64
where
    F: Fn(&u64) -> bool,
{
    chain.iter().rposition(held).map_or(0, |at| at as u64 + 1)
}
