//! A request as every decision sees it, whichever interface it came by.
//!
//! An interface decodes what its callers send into a [`Request`] once. Placement, admission,
//! retries and the splicing of answers depend on nothing else, so that all interfaces share them.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::digest;

/// Rank of a request that nothing makes more or less urgent; 0 goes first.
pub const DEFAULT_RANK: u8 = 5;

/// What may be done again after an attempt that may have run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Repeat {
    /// The whole request: it is idempotent.
    Whole,
    /// The rest of its answer, from the last event that the caller has.
    Rest,
    /// Nothing: it runs at most once.
    Never,
}

impl Repeat {
    /// Whether an attempt may follow one that may have run.
    #[must_use]
    pub const fn allowed(self) -> bool {
        !matches!(self, Self::Never)
    }
}

/// Form of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Form {
    /// A body that is passed on as it comes.
    Body,
    /// Numbered events, each passed on whole.
    Events,
}

/// A part of a prompt, which several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Part {
    /// Hash of the part's name.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// Prompt of a request to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Length of the prompt, in tokens.
    pub tokens: u32,
    /// Most tokens to generate.
    pub answer_tokens: u32,
    /// Parts in order; the last one is the request's own.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Parts that other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        match self.parts.split_last() {
            Some((_, shared)) if !shared.is_empty() => shared,
            _ => &self.parts,
        }
    }

    /// Hash of the shared parts in order, by which the prompt is placed.
    #[must_use]
    pub fn key(&self) -> u64 {
        chain(&self.model, self.shared())
    }

    /// Hash of the first part, which most requests share.
    #[must_use]
    pub fn root(&self) -> u64 {
        chain(&self.model, &self.parts[..self.parts.len().min(1)])
    }

    /// For each part, the hash of it and all before it, and their length in tokens.
    pub fn chain(&self) -> impl Iterator<Item = (u64, u32)> {
        let start = (digest::key(&self.model), 0_u32);
        self.parts.iter().scan(start, |(hash, tokens), part| {
            *hash = digest::pair(*hash, &part.id.to_string());
            *tokens = tokens.saturating_add(part.tokens);
            Some((*hash, *tokens))
        })
    }

    /// The shared parts for a log: each as the short hash of it and all before it, and its length.
    #[must_use]
    pub fn outline(&self) -> String {
        let chain = self.chain().take(self.shared().len()).zip(self.shared());
        let parts = chain.map(|((hash, _), part)| format!("{:08x}:{}", hash >> 32, part.tokens));
        parts.collect::<Vec<_>>().join(",")
    }

    /// Length of the shared parts, in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).fold(0, u32::saturating_add)
    }
}

fn chain(model: &str, parts: &[Part]) -> u64 {
    let start = digest::key(model);
    parts.iter().fold(start, |key, part| digest::pair(key, &part.id.to_string()))
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's number of the request, unique in the fleet.
    pub id: String,
    /// Name of the route that it came by.
    pub route: String,
    /// Organisation of the caller; empty if it needs none.
    pub organisation: String,
    /// Model or service that it asks for.
    pub service: String,
    /// What may be done again.
    pub repeat: Repeat,
    /// Form of the answer.
    pub form: Form,
    /// Most targets that may run it.
    pub attempts: u32,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Prompt, if it asks a model.
    pub prompt: Option<Prompt>,
    /// Hash of the content, the same when the caller sends it again.
    pub digest: u64,
    /// When it arrived.
    pub begun: Instant,
    /// When its answer is due; after that the caller or the operators have given it up.
    pub due: Instant,
    /// Time from the arrival within which the answer, or its first event, should come.
    pub target_latency: Duration,
    /// Longest wanted pause between two events.
    pub gap: Option<Duration>,
}

impl Request {
    /// Hash by which the request is placed.
    #[must_use]
    pub fn key(&self) -> u64 {
        self.prompt.as_ref().map_or_else(|| digest::key(&self.id), Prompt::key)
    }

    /// Time left.
    #[must_use]
    pub fn left(&self, now: Instant) -> Duration {
        self.due.saturating_duration_since(now)
    }
}
