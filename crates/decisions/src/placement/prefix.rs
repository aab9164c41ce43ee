//! Chained hashes of a prompt's blocks, which identify prefixes in the caches
//! of targets.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text in a block.
pub const BLOCK_BYTES: usize = 256;

/// Assumed tokens of prompt text in a block.
pub const BLOCK_TOKENS: u64 = 64;

/// Largest number of blocks hashed of a prompt. The rest counts as not cached.
pub const MAX_BLOCKS: usize = 1024;

/// Hashes the complete blocks of a prompt whose text is given in `parts`.
///
/// Each hash covers its block and all blocks before it, so that equal hashes
/// mean equal prefixes.
pub fn block_hashes<'a, I>(parts: I) -> Vec<u64>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut hasher = PrefixHasher::new();
    for part in parts {
        hasher.push(part);
    }
    hasher.finish()
}

/// Hashes the complete blocks of a prompt part by part, as [`block_hashes`] does.
///
/// # Invariants
///
/// `buf` has less than [`BLOCK_BYTES`] bytes, `chain` at most [`MAX_BLOCKS`]
/// hashes.
#[derive(Debug, Default)]
pub struct PrefixHasher {
    chain: Vec<u64>,
    buf: Vec<u8>,
}

impl PrefixHasher {
    /// Starts a prompt.
    pub fn new() -> Self {
        Self {
            chain: Vec::new(),
            buf: Vec::with_capacity(BLOCK_BYTES),
        }
    }

    /// Adds a part of the text.
    pub fn push(&mut self, part: &str) {
        let mut rest = part.as_bytes();
        while !rest.is_empty() && self.chain.len() < MAX_BLOCKS {
            let (head, tail) = rest.split_at(rest.len().min(BLOCK_BYTES - self.buf.len()));
            self.buf.extend_from_slice(head);
            rest = tail;
            if self.buf.len() == BLOCK_BYTES {
                let seed = self.chain.last().copied().unwrap_or_default();
                self.chain.push(xxh3_64_with_seed(&self.buf, seed));
                self.buf.clear();
            }
        }
    }

    /// Returns the hashes of the complete blocks.
    pub fn finish(self) -> Vec<u64> {
        self.chain
    }
}

/// Returns the weight of `name` for `key` in rendezvous hashing. The name with
/// the highest weight is chosen. Unlike in [`crate::rendezvous`], the key is
/// itself a hash.
pub fn rendezvous_weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}
