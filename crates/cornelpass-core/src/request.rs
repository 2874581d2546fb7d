//! A request of the gateway interface, decoded from the caller's HTTP request.
//!
//! Target selection ([`crate::fleet`]) and retries ([`crate::history`]) use the values in a
//! [`Request`] instead of the HTTP request, so that they do not depend on its header names.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::digest;
use crate::quarantine::feature::Feature;

/// Default priority of a request; 0 is the most urgent.
///
/// Each route sets a priority, which the organisation may override. It matters only where the
/// priorities of a service's requests differ ([`crate::contention`]).
pub const DEFAULT_PRIORITY: u8 = 5;

/// Maximum number of parts of a prompt among the features of a request.
const MAX_PART_FEATURES: usize = 32;

/// What may be retried after an attempt that may have run.
///
/// An attempt that certainly did not run may be retried regardless of this value.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RetrySafety {
    /// The whole request may be retried: it is idempotent.
    #[serde(rename = "whole")]
    #[strum(serialize = "whole")]
    Idempotent,
    /// The rest of the response may be requested again, after the last event that the caller has.
    #[serde(rename = "rest")]
    #[strum(serialize = "rest")]
    Resumable,
    /// Nothing may be retried: the request runs at most once.
    #[serde(rename = "never")]
    #[strum(serialize = "never")]
    AtMostOnce,
}

impl RetrySafety {
    /// Whether another attempt may follow one that may have run.
    #[must_use]
    pub const fn allows_retry(self) -> bool {
        !matches!(self, Self::AtMostOnce)
    }
}

/// Framing of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// An opaque body, forwarded as it arrives.
    Body,
    /// Numbered events, each forwarded only when it is complete.
    Events,
}

/// A part of a prompt; several requests may share the same part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Part {
    /// Hash of the name of the part.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u32,
}

/// Prompt of a request to a model, as a sequence of parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Length of the prompt, in tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_response_tokens: u32,
    /// Parts in order; the last part belongs to this request alone, and the others may be shared.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Parts that other requests may share: all but the last part, or the only part of a prompt.
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        match self.parts.split_last() {
            Some((_, shared)) if !shared.is_empty() => shared,
            _ => &self.parts,
        }
    }

    /// Hash of the model and the shared parts in order, which determines the placement.
    #[must_use]
    pub fn placement_key(&self) -> u64 {
        hash_parts(&self.model, self.shared_parts())
    }

    /// Hash of the model and the first part, which most requests share.
    #[must_use]
    pub fn root_key(&self) -> u64 {
        hash_parts(&self.model, &self.parts[..self.parts.len().min(1)])
    }

    /// For each prefix of the parts, its hash and its length in tokens; the shortest prefix first.
    pub fn prefixes(&self) -> impl Iterator<Item = (u64, u32)> {
        let start = (digest::key(&self.model), 0_u32);
        self.parts.iter().scan(start, |(hash, tokens), part| {
            *hash = digest::pair(*hash, &part.id.to_string());
            *tokens = tokens.saturating_add(part.tokens);
            Some((*hash, *tokens))
        })
    }

    /// Formats the shared parts for a log line, each as `hash:tokens`.
    ///
    /// `hash` is the upper 32 bits of the hash of the prefix that ends with the part, in
    /// hexadecimal digits; `tokens` is the length of the part.
    #[must_use]
    pub fn shared_parts_summary(&self) -> String {
        let prefixes = self.prefixes().take(self.shared_parts().len()).zip(self.shared_parts());
        let parts = prefixes.map(|((hash, _), part)| format!("{:08x}:{}", hash >> 32, part.tokens));
        parts.collect::<Vec<_>>().join(",")
    }

    /// Formats all parts for a log line, each as `hash:tokens`.
    ///
    /// `hash` is the upper 32 bits of the hash of the part itself, in hexadecimal digits, so that
    /// the same part is recognised in different prompts.
    #[must_use]
    pub fn parts_summary(&self) -> String {
        let parts = self.parts.iter().map(|part| format!("{:08x}:{}", part.id >> 32, part.tokens));
        parts.collect::<Vec<_>>().join(",")
    }

    /// Total length of the shared parts, in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).fold(0, u32::saturating_add)
    }
}

/// Hash of a model and a sequence of parts.
fn hash_parts(model: &str, parts: &[Part]) -> u64 {
    let start = digest::key(model);
    parts.iter().fold(start, |hash, part| digest::pair(hash, &part.id.to_string()))
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifier of the request, set by the caller; unique in the fleet.
    pub id: String,
    /// Name of the route that matched the request.
    pub route: String,
    /// Name of the caller's organisation; empty if the caller is anonymous.
    pub organisation: String,
    /// Name of the service, or of the model, that serves the request.
    pub service: String,
    /// What may be retried after an attempt that may have run.
    pub retry_safety: RetrySafety,
    /// Framing of the response.
    pub framing: Framing,
    /// Maximum number of targets that may run the request. Targets that certainly did not run the
    /// request are not counted.
    pub max_targets: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Prompt, if the request is to a model.
    pub prompt: Option<Prompt>,
    /// Hash of the content, equal if the caller sends the same request again.
    pub digest: u64,
    /// Time at which the request arrived.
    pub arrived_at: Instant,
    /// Deadline of the response, set by the caller or by the timeout of the route, whichever is
    /// earlier; after the deadline the request is abandoned.
    pub deadline: Instant,
    /// Desired time from the arrival to the response, or to the first event of the response.
    pub desired_latency: Duration,
    /// Desired maximum time between two events of the response.
    pub desired_event_gap: Option<Duration>,
}

impl Request {
    /// Hash that determines the placement: that of the shared prompt parts, or of the identifier if
    /// there is no prompt.
    #[must_use]
    pub fn placement_key(&self) -> u64 {
        self.prompt.as_ref().map_or_else(|| digest::key(&self.id), Prompt::placement_key)
    }

    /// Features by which the request is recognised if it crashes targets: its content, and the
    /// shared parts of its prompt.
    ///
    /// The last part belongs to this request alone. Of a prompt with very many parts, only the last
    /// ones count, because they are shared by the fewest requests.
    #[must_use]
    pub fn features(&self) -> Vec<Feature> {
        let parts = self.prompt.as_ref().map_or(&[][..], |prompt| &prompt.parts);
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let recognised = &shared[shared.len().saturating_sub(MAX_PART_FEATURES)..];
        let parts = recognised.iter().map(|part| Feature::Part(part.id));
        std::iter::once(Feature::Content(self.digest)).chain(parts).collect()
    }

    /// Time left until the deadline; zero after it.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
