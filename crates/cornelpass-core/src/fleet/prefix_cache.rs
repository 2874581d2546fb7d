//! Index of the prompt prefixes that targets have in their KV caches, as far as this router knows.
//!
//! A prefix is a part of a prompt with all parts before it. Prefixes and targets are identified by
//! short hashes, since routers report to each other which target has processed which prefix. A
//! target keeps a prefix until it needs the memory for others. When a prompt goes to a target that
//! has not processed its shared parts (the parts that other prompts may have as well, see
//! [`Prompt::shared_parts`]), the target can fetch them from one that has; this takes a tenth of
//! the time of processing them again.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::report::{CacheEntry, short_hash};
use crate::request::Prompt;

/// Smallest number of tokens for which a fetch is worthwhile: a fetch also has a fixed cost.
pub const MIN_FETCH_TOKENS: u32 = 256;

/// Maximum number of prefixes in the index.
const MAX_PREFIXES: usize = 8192;

/// Time during which the same entry is not reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum number of entries in each queue for reports.
const MAX_QUEUED_ENTRIES: usize = 256;

/// Target from which prefixes of a prompt can be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Short hash of the holder.
    pub target: u32,
    /// Prompt tokens that the fetch saves from being processed again.
    pub tokens: u32,
}

/// Index of cached prefixes, and the queue of new entries for this router's reports.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// Last use of each prefix at each holder, by the short hashes of the prefix and the holder.
    holders: BTreeMap<u32, BTreeMap<u32, Instant>>,
    /// When each entry was last queued for a report.
    last_queued: BTreeMap<CacheEntry, Instant>,
    /// Entries for targets other than the prompt's preferred one. These are reported first, since
    /// other routers would not look for the prefix there.
    displaced: VecDeque<CacheEntry>,
    /// Entries for the prompt's preferred target.
    regular: VecDeque<CacheEntry>,
}

/// Short hash and length in tokens of each prefix that ends with a shared part.
fn shared_prefixes(prompt: &Prompt) -> impl Iterator<Item = (u32, u32)> {
    let parts = prompt.shared_parts().len();
    prompt.prefixes().take(parts).map(|(hash, tokens)| ((hash >> 32) as u32, tokens))
}

impl Index {
    /// Records that a target has processed a prompt for this router.
    ///
    /// `position` is the position of the target in the prompt's hash order, from 0.
    pub fn record_prefill(&mut self, now: Instant, target: &str, prompt: &Prompt, position: usize) {
        let target = short_hash(target);
        let queue = if position > 0 { &mut self.displaced } else { &mut self.regular };
        for (part, _) in shared_prefixes(prompt) {
            let entry = CacheEntry { part, target };
            self.holders.entry(entry.part).or_default().insert(entry.target, now);
            let last_queued = self.last_queued.get(&entry);
            let due =
                last_queued.is_none_or(|at| now.saturating_duration_since(*at) > REPORT_INTERVAL);
            if due && queue.len() < MAX_QUEUED_ENTRIES {
                self.last_queued.insert(entry, now);
                queue.push_back(entry);
            }
        }
    }

    /// Records an entry that another router reported.
    pub fn insert(&mut self, now: Instant, entry: CacheEntry) {
        self.holders.entry(entry.part).or_default().insert(entry.target, now);
    }

    /// Takes new entries for a report, at most `limit`.
    pub fn take_new_entries(&mut self, limit: usize) -> Vec<CacheEntry> {
        let displaced = limit.min(self.displaced.len());
        let regular = (limit - displaced).min(self.regular.len());
        self.displaced.drain(..displaced).chain(self.regular.drain(..regular)).collect()
    }

    /// All known entries, at most `limit`.
    #[must_use]
    pub fn entries(&self, limit: usize) -> Vec<CacheEntry> {
        let entries = self.holders.iter().flat_map(|(part, targets)| {
            targets.keys().map(|target| CacheEntry { part: *part, target: *target })
        });
        entries.take(limit).collect()
    }

    /// Restores entries from before this router's start; they do not replace newer entries.
    pub fn restore(&mut self, now: Instant, entries: &[CacheEntry]) {
        for entry in entries {
            self.holders.entry(entry.part).or_default().entry(entry.target).or_insert(now);
        }
    }

    /// Removes all entries of a target.
    pub fn remove_target(&mut self, target: &str) {
        let target = short_hash(target);
        for targets in self.holders.values_mut() {
            targets.remove(&target);
        }
    }

    /// Removes entries that have not been used for `lifetime`, and the least recently used prefixes
    /// above the maximum size of the index.
    pub fn expire(&mut self, now: Instant, lifetime: Duration) {
        self.holders.retain(|_, targets| {
            targets.retain(|_, at| now.saturating_duration_since(*at) <= lifetime);
            !targets.is_empty()
        });
        self.last_queued.retain(|_, at| now.saturating_duration_since(*at) <= REPORT_INTERVAL);
        while self.holders.len() > MAX_PREFIXES {
            let oldest = self.holders.iter().min_by_key(|(_, targets)| targets.values().max());
            let Some(hash) = oldest.map(|(hash, _)| *hash) else { break };
            self.holders.remove(&hash);
        }
    }

    /// Short hashes of the targets that have cached all shared parts of a prompt.
    pub fn holders(&self, prompt: &Prompt) -> impl Iterator<Item = u32> {
        let last = shared_prefixes(prompt).last();
        let targets = last.and_then(|(part, _)| self.holders.get(&part));
        targets.into_iter().flat_map(|targets| targets.keys().copied())
    }

    /// Whether any target is known to have cached all shared parts of a prompt.
    #[must_use]
    pub fn has_holder(&self, prompt: &Prompt) -> bool {
        self.holders(prompt).next().is_some()
    }

    /// Target that holds a longer prefix of a prompt than a given target.
    ///
    /// Only targets for which `is_usable` returns true are considered. Among the holders of the
    /// longest prefix, the first one for which `is_near` returns true is used, otherwise the first
    /// one. None if the fetch would save fewer than [`MIN_FETCH_TOKENS`].
    #[must_use]
    pub fn source(
        &self,
        target: &str,
        prompt: &Prompt,
        is_usable: impl Fn(u32) -> bool,
        is_near: impl Fn(u32) -> bool,
    ) -> Option<Source> {
        let target = short_hash(target);
        let mut best = None;
        let mut held = 0;
        for (part, tokens) in shared_prefixes(prompt) {
            let Some(targets) = self.holders.get(&part) else { break };
            if targets.contains_key(&target) {
                (held, best) = (tokens, None);
                continue;
            }
            let others = || targets.keys().filter(|other| is_usable(**other));
            let near = others().find(|other| is_near(**other));
            let Some(other) = near.or_else(|| others().next()) else { continue };
            let saved = tokens - held;
            best = (saved >= MIN_FETCH_TOKENS).then_some(Source { target: *other, tokens: saved });
        }
        best
    }
}
