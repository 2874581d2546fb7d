//! Which targets hold which parts of prompts, as far as this router has seen.
//!
//! A target keeps what it has read until other parts need the memory. When a prompt goes to a target
//! that has not read its shared parts, the target can fetch them from one that has, which takes a
//! tenth of the time of reading them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::request::Prompt;

/// Fewest tokens that are worth a fetch, which has a fixed cost as well.
pub const LEAST_FETCH: u32 = 256;

/// Most parts that are remembered.
const MEMORY_LIMIT: usize = 8192;

/// Where a target can fetch parts of a prompt from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Name of the target that holds them.
    pub target: String,
    /// Tokens that need not be read again.
    pub tokens: u32,
}

/// Holders of parts, by the hash of a part and all before it.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    holders: BTreeMap<u64, BTreeMap<String, Instant>>,
}

impl Parts {
    /// Notes that a target has read a prompt.
    pub fn read(&mut self, now: Instant, target: &str, prompt: &Prompt) {
        for (hash, _) in prompt.chain() {
            self.holders.entry(hash).or_default().insert(target.to_owned(), now);
        }
    }

    /// Forgets what a target held.
    pub fn forget(&mut self, target: &str) {
        for targets in self.holders.values_mut() {
            targets.remove(target);
        }
    }

    /// Drops what has not been used for a time.
    pub fn expire(&mut self, now: Instant, lifetime: Duration) {
        self.holders.retain(|_, targets| {
            targets.retain(|_, at| now.saturating_duration_since(*at) <= lifetime);
            !targets.is_empty()
        });
        while self.holders.len() > MEMORY_LIMIT {
            let oldest = self.holders.iter().min_by_key(|(_, targets)| targets.values().max());
            let Some(hash) = oldest.map(|(hash, _)| *hash) else { break };
            self.holders.remove(&hash);
        }
    }

    /// Who holds more of a prompt than a target, of those that may be asked.
    #[must_use]
    pub fn source(
        &self,
        target: &str,
        prompt: &Prompt,
        may_ask: impl Fn(&str) -> bool,
    ) -> Option<Source> {
        let mut best = None;
        let mut held = 0;
        for (hash, tokens) in prompt.chain() {
            let Some(targets) = self.holders.get(&hash) else { break };
            if targets.contains_key(target) {
                (held, best) = (tokens, None);
                continue;
            }
            let mut others = targets.iter().filter(|(name, _)| may_ask(name));
            let Some((name, _)) = others.next() else { continue };
            let saved = tokens - held;
            best = (saved >= LEAST_FETCH).then(|| Source { target: name.clone(), tokens: saved });
        }
        best
    }
}
