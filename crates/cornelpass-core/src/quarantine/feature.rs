//! Features: what requests that crash targets can have in common.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Property of a request by which it is recognised in other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Feature {
    /// Digest of the whole content: the same request, sent again.
    Content(u64),
    /// Hash of a part of the prompt, whatever stands before it.
    Part(u64),
}

impl fmt::Display for Feature {
    /// The upper 32 bits of the hash, as other log lines name parts.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(hash) => write!(formatter, "content:{:08x}", hash >> 32),
            Self::Part(hash) => write!(formatter, "part:{:08x}", hash >> 32),
        }
    }
}

/// Formats features for a log line, separated by commas.
#[must_use]
pub fn summary(features: &[Feature]) -> String {
    features.iter().map(Feature::to_string).collect::<Vec<_>>().join(",")
}
