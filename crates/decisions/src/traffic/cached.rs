//! Which parts of prompts a target keeps in its memory, by what was sent there.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use crate::names::Target;

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PromptPart {
    /// Names the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A part of a prompt that a target reads or has in memory, as told to the
/// other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PromptPartUse {
    /// The target.
    pub target: Target,
    /// The part.
    pub part: PromptPart,
}

/// Share of a target's memory that is taken to hold parts.
const SHARED_PARTS_RATIO: f64 = 0.7;

/// Parts that are kept of one target at most.
const MAX_PARTS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_used: Duration,
}

/// The parts that a target is taken to have in memory.
///
/// # Invariants
///
/// `tokens` is the sum of the parts' tokens. The parts used longest ago yield
/// first, as at the target itself.
#[derive(Clone, Debug)]
pub struct CachedParts {
    parts: HashMap<u64, CachedPart, Xxh3DefaultBuilder>,
    tokens: u64,
    capacity: u64,
}

/// Tokens of a target's memory before its size is known.
const DEFAULT_CAPACITY: u64 = 300_000;

impl Default for CachedParts {
    fn default() -> Self {
        Self {
            parts: HashMap::default(),
            tokens: 0,
            capacity: (DEFAULT_CAPACITY as f64 * SHARED_PARTS_RATIO) as u64,
        }
    }
}

impl CachedParts {
    /// Returns the tokens at the beginning of a prompt that are in memory. A
    /// part counts only if all parts before it do.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = parts.iter().take_while(|p| self.parts.contains_key(&p.id));
        cached.map(|part| u64::from(part.tokens)).sum()
    }

    /// Notes how many tokens the target's memory has.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = (tokens as f64 * SHARED_PARTS_RATIO) as u64;
    }

    /// Notes that the target reads a prompt.
    pub fn insert(&mut self, parts: &[PromptPart], now: Duration) {
        for part in parts {
            let kept = CachedPart {
                tokens: part.tokens,
                last_used: now,
            };
            match self.parts.insert(part.id, kept) {
                Some(old) => {
                    self.tokens = self.tokens - u64::from(old.tokens) + u64::from(part.tokens)
                }
                None => self.tokens += u64::from(part.tokens),
            }
        }
        if self.tokens > self.capacity || self.parts.len() > MAX_PARTS {
            self.evict();
        }
    }

    /// Drops the parts used longest ago until an eighth of the room is free,
    /// so that this is seldom done.
    fn evict(&mut self) {
        let mut oldest: Vec<(Duration, u64)> = self
            .parts
            .iter()
            .map(|(id, k)| (k.last_used, *id))
            .collect();
        oldest.sort_unstable();
        for (_, id) in oldest {
            if self.tokens <= self.capacity / 8 * 7 && self.parts.len() <= MAX_PARTS / 8 * 7 {
                return;
            }
            if let Some(kept) = self.parts.remove(&id) {
                self.tokens -= u64::from(kept.tokens);
            }
        }
    }
}
