//! Cost of a chat request, and the result of a chat: why the response ended and the tokens
//! it used.
//!
//! The cost is the load that a request adds to a target, estimated from the length of its prompt.

use serde::{Deserialize, Serialize};

/// Number of prompt tokens that add one unit of load to the cost of a request.
pub const TOKENS_PER_COST: u32 = 1024;

/// Number of bytes of JSON text that are estimated as one prompt token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Cost of a request with the given number of prompt tokens, in units of load.
///
/// One unit for the request itself, and one for each [`TOKENS_PER_COST`] prompt tokens.
#[must_use]
pub const fn cost(prompt_tokens: u32) -> u32 {
    1 + prompt_tokens / TOKENS_PER_COST
}

/// Estimates the number of prompt tokens in a body of the given size, in bytes.
#[must_use]
pub fn prompt_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}

/// Reason for which a response ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Finish {
    /// The model completed its response.
    Stop,
    /// The response reached the token limit of the request.
    Length,
}

/// Numbers of tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Prompt tokens that were read from the engine's prefix cache.
    pub cached: u32,
    /// Tokens in the generated response.
    pub generated: u32,
}
