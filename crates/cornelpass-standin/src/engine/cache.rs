//! Prefix cache of an engine.
//!
//! The cache holds chunks of prompts. The key of a chunk is the hash of the whole prompt up to the
//! end of the chunk, so that equal prefixes share their chunks.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of prompt text in a chunk: [`CHUNK_TOKENS`] tokens of 4 bytes.
const CHUNK_BYTES: usize = 1024;

/// Prompt tokens in a chunk.
pub(super) const CHUNK_TOKENS: u32 = 256;

/// Cache that evicts the least recently used chunk first.
#[derive(Debug, Default)]
pub(super) struct Cache {
    capacity: usize,
    clock: u64,
    last_use_by_hash: BTreeMap<u64, u64>,
    hash_by_last_use: BTreeMap<u64, u64>,
}

impl Cache {
    /// Empty cache with a capacity in chunks.
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Adds a prompt and returns how many of its leading tokens the cache held.
    pub(super) fn insert(&mut self, prompt: &str) -> u32 {
        let bytes = prompt.as_bytes();
        let mut cached_tokens = 0;
        let mut is_prefix = true;
        for end in (CHUNK_BYTES..=bytes.len()).step_by(CHUNK_BYTES) {
            let hash = xxh3_64(&bytes[..end]);
            let is_cached = self.record_use(hash);
            is_prefix &= is_cached;
            if is_prefix {
                cached_tokens += CHUNK_TOKENS;
            }
        }
        cached_tokens
    }

    /// Removes all chunks.
    pub(super) fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    fn record_use(&mut self, hash: u64) -> bool {
        self.clock += 1;
        let previous_use = self.last_use_by_hash.insert(hash, self.clock);
        if let Some(clock) = previous_use {
            self.hash_by_last_use.remove(&clock);
        }
        self.hash_by_last_use.insert(self.clock, hash);
        if self.last_use_by_hash.len() > self.capacity
            && let Some((_, oldest)) = self.hash_by_last_use.pop_first()
        {
            self.last_use_by_hash.remove(&oldest);
        }
        previous_use.is_some()
    }
}
