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
    let mut chain = Vec::new();
    let mut buf = Vec::with_capacity(BLOCK_BYTES);
    for part in parts {
        let mut rest = part.as_bytes();
        while !rest.is_empty() && chain.len() < MAX_BLOCKS {
            let (head, tail) = rest.split_at(rest.len().min(BLOCK_BYTES - buf.len()));
            buf.extend_from_slice(head);
            rest = tail;
            if buf.len() == BLOCK_BYTES {
                let seed = chain.last().copied().unwrap_or_default();
                chain.push(xxh3_64_with_seed(&buf, seed));
                buf.clear();
            }
        }
    }
    chain
}

/// Returns the weight of `name` for `key` in rendezvous hashing. The name with
/// the highest weight is chosen. Unlike in [`crate::rendezvous`], the key is
/// itself a hash.
pub fn rendezvous_weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}
