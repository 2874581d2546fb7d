//! Which targets hold which parts of prompts, as far as this router has seen.
//!
//! Parts and targets go by short hashes, since routers tell each other what was read where. A target
//! keeps what it has read until other parts need the memory. When a prompt goes to a target
//! that has not read its shared parts, the target can fetch them from one that has, which takes a
//! tenth of the time of reading them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::report::{Read, short};
use crate::request::Prompt;

/// Fewest tokens that are worth a fetch, which has a fixed cost as well.
pub const LEAST_FETCH: u32 = 256;

/// Most parts that are remembered.
const MEMORY_LIMIT: usize = 8192;

/// Time in which the same reading is not told again.
const TELL_PERIOD: Duration = Duration::from_secs(3);

/// Most readings that wait to be told.
const TELL_LIMIT: usize = 256;

/// Where a target can fetch parts of a prompt from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Short hash of the target that holds them.
    pub target: u32,
    /// Tokens that need not be read again.
    pub tokens: u32,
}

/// Holders of parts, by the short hash of a part and all before it.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    holders: BTreeMap<u32, BTreeMap<u32, Instant>>,
    /// When a reading was last told.
    told: BTreeMap<Read, Instant>,
    /// Readings to be told: first those at targets where others would not look.
    moves: VecDeque<Read>,
    /// The other readings to be told.
    news: VecDeque<Read>,
}

/// Short hashes of the shared parts, and their length up to there in tokens.
fn shared(prompt: &Prompt) -> impl Iterator<Item = (u32, u32)> {
    let parts = prompt.shared().len();
    prompt.chain().take(parts).map(|(hash, tokens)| ((hash >> 32) as u32, tokens))
}

impl Parts {
    /// Notes that a target has read a prompt for this router, and its place by hash, from 0.
    pub fn read(&mut self, now: Instant, target: &str, prompt: &Prompt, place: usize) {
        let target = short(target);
        let queue = if place > 0 { &mut self.moves } else { &mut self.news };
        for (part, _) in shared(prompt) {
            let read = Read { part, target };
            self.holders.entry(read.part).or_default().insert(read.target, now);
            let told = self.told.get(&read);
            let due = told.is_none_or(|at| now.saturating_duration_since(*at) > TELL_PERIOD);
            if due && queue.len() < TELL_LIMIT {
                self.told.insert(read, now);
                queue.push_back(read);
            }
        }
    }

    /// Notes that a target has read a part for some router.
    pub fn note(&mut self, now: Instant, read: Read) {
        self.holders.entry(read.part).or_default().insert(read.target, now);
    }

    /// Takes readings to be told, at most a number of them.
    pub fn news(&mut self, limit: usize) -> Vec<Read> {
        let moves = limit.min(self.moves.len());
        let rest = (limit - moves).min(self.news.len());
        self.moves.drain(..moves).chain(self.news.drain(..rest)).collect()
    }

    /// All readings that are known, at most a number of them.
    #[must_use]
    pub fn list(&self, limit: usize) -> Vec<Read> {
        let reads = self.holders.iter().flat_map(|(part, targets)| {
            targets.keys().map(|target| Read { part: *part, target: *target })
        });
        reads.take(limit).collect()
    }

    /// Takes readings from before this router's start, which later ones go before.
    pub fn recall(&mut self, now: Instant, reads: &[Read]) {
        for read in reads {
            self.holders.entry(read.part).or_default().entry(read.target).or_insert(now);
        }
    }

    /// Forgets what a target held.
    pub fn forget(&mut self, target: &str) {
        let target = short(target);
        for targets in self.holders.values_mut() {
            targets.remove(&target);
        }
    }

    /// Drops what has not been used for a time.
    pub fn expire(&mut self, now: Instant, lifetime: Duration) {
        self.holders.retain(|_, targets| {
            targets.retain(|_, at| now.saturating_duration_since(*at) <= lifetime);
            !targets.is_empty()
        });
        self.told.retain(|_, at| now.saturating_duration_since(*at) <= TELL_PERIOD);
        while self.holders.len() > MEMORY_LIMIT {
            let oldest = self.holders.iter().min_by_key(|(_, targets)| targets.values().max());
            let Some(hash) = oldest.map(|(hash, _)| *hash) else { break };
            self.holders.remove(&hash);
        }
    }

    /// Targets that hold all shared parts of a prompt.
    pub fn holders(&self, prompt: &Prompt) -> impl Iterator<Item = u32> {
        let last = shared(prompt).last();
        let targets = last.and_then(|(part, _)| self.holders.get(&part));
        targets.into_iter().flat_map(|targets| targets.keys().copied())
    }

    /// Whether any target is known to hold all shared parts of a prompt.
    #[must_use]
    pub fn knows(&self, prompt: &Prompt) -> bool {
        self.holders(prompt).next().is_some()
    }

    /// Who holds more of a prompt than a target, of those that may be asked; the first of those that
    /// are preferred, else the first one.
    #[must_use]
    pub fn source(
        &self,
        target: &str,
        prompt: &Prompt,
        may_ask: impl Fn(u32) -> bool,
        preferred: impl Fn(u32) -> bool,
    ) -> Option<Source> {
        let target = short(target);
        let mut best = None;
        let mut held = 0;
        for (part, tokens) in shared(prompt) {
            let Some(targets) = self.holders.get(&part) else { break };
            if targets.contains_key(&target) {
                (held, best) = (tokens, None);
                continue;
            }
            let others = || targets.keys().filter(|other| may_ask(**other));
            let near = others().find(|other| preferred(**other));
            let Some(other) = near.or_else(|| others().next()) else { continue };
            let saved = tokens - held;
            best = (saved >= LEAST_FETCH).then_some(Source { target: *other, tokens: saved });
        }
        best
    }
}
