//! Chained hashes of a prompt's blocks, by which prefix caches are compared.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 256;

/// Tokens of prompt text in one block.
pub const BLOCK_TOKENS: u64 = 64;

/// Blocks hashed of one prompt; the rest counts as not cached.
pub const MAX_BLOCKS: usize = 1024;

/// Hashes the whole blocks of a prompt, given in parts.
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

/// Returns the weight of `name` for `key` in rendezvous hashing; the highest
/// weight wins.
pub fn rendezvous_weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}
