//! Estimate of the prompt parts in a target's KV cache, from the prompts that
//! were sent to it.

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
    /// Identifier of the part; equal parts have equal identifiers.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

impl PromptPart {
    /// Returns the parts of a prompt that other prompts may share: all but the
    /// last, which is the request's own.
    pub fn shared(parts: &[Self]) -> &[Self] {
        parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A prompt part sent to a target, as reported to the other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PromptPartUse {
    /// The target.
    pub target: Target,
    /// The part, which is in the target's cache or will be.
    pub part: PromptPart,
}

/// Fraction of a target's KV cache that is assumed to hold recorded parts.
const SHARED_PARTS_RATIO: f64 = 0.7;

/// Largest number of parts recorded for one target.
const MAX_PARTS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_used: Duration,
}

/// The prompt parts that are assumed to be in a target's KV cache.
///
/// # Invariants
///
/// `tokens` is the sum of the parts' tokens. The least recently used parts are
/// evicted first, as at the target itself.
#[derive(Clone, Debug)]
pub struct CachedParts {
    parts: HashMap<u64, CachedPart, Xxh3DefaultBuilder>,
    tokens: u64,
    /// Tokens of the KV cache that are assumed to hold shared parts.
    shared_capacity: u64,
}

/// Size of a target's KV cache in tokens, assumed until it is known.
const DEFAULT_CAPACITY: u64 = 300_000;

impl Default for CachedParts {
    fn default() -> Self {
        Self {
            parts: HashMap::default(),
            tokens: 0,
            shared_capacity: (DEFAULT_CAPACITY as f64 * SHARED_PARTS_RATIO) as u64,
        }
    }
}

impl CachedParts {
    /// Returns the length of the prompt's cached prefix in tokens. A part
    /// counts only if all parts before it are cached too.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = parts.iter().take_while(|p| self.parts.contains_key(&p.id));
        cached.map(|part| u64::from(part.tokens)).sum()
    }

    /// Sets the size of the target's KV cache in tokens.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.shared_capacity = (tokens as f64 * SHARED_PARTS_RATIO) as u64;
    }

    /// Records that a prompt with these parts was sent to the target.
    pub fn insert(&mut self, parts: &[PromptPart], now: Duration) {
        for part in parts {
            let cached = CachedPart {
                tokens: part.tokens,
                last_used: now,
            };
            match self.parts.insert(part.id, cached) {
                Some(old) => {
                    self.tokens = self.tokens - u64::from(old.tokens) + u64::from(part.tokens)
                }
                None => self.tokens += u64::from(part.tokens),
            }
        }
        if self.tokens > self.shared_capacity || self.parts.len() > MAX_PARTS {
            self.evict();
        }
    }

    /// Evicts the least recently used parts until an eighth of the capacity and
    /// of [`MAX_PARTS`] is free, so that evictions are rare.
    fn evict(&mut self) {
        let mut oldest: Vec<(Duration, u64)> = self
            .parts
            .iter()
            .map(|(id, part)| (part.last_used, *id))
            .collect();
        oldest.sort_unstable();
        for (_, id) in oldest {
            if self.tokens <= self.shared_capacity / 8 * 7 && self.parts.len() <= MAX_PARTS / 8 * 7
            {
                return;
            }
            if let Some(removed) = self.parts.remove(&id) {
                self.tokens -= u64::from(removed.tokens);
            }
        }
    }
}

/// The two targets that have most of a prompt cached, so that there is one
/// beside any target.
#[derive(Clone, Debug, Default)]
pub(super) struct CacheSources {
    best: Option<(Target, u64)>,
    second: Option<(Target, u64)>,
}

impl CacheSources {
    pub(super) fn add(&mut self, target: &Target, tokens: u64) {
        let is_more = |than: &Option<(Target, u64)>| {
            tokens > 0 && than.as_ref().is_none_or(|(_, most)| tokens > *most)
        };
        if is_more(&self.best) {
            self.second = self.best.replace((target.clone(), tokens));
        } else if is_more(&self.second) {
            self.second = Some((target.clone(), tokens));
        }
    }

    /// Returns the target other than `target` that has most of the prompt
    /// cached, and its cached tokens.
    pub(super) fn beside(&self, target: &Target) -> Option<&(Target, u64)> {
        let best = self.best.as_ref()?;
        match best.0 == *target {
            true => self.second.as_ref(),
            false => Some(best),
        }
    }
}
