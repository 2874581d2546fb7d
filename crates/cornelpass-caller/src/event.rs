//! Events of a streamed chat response, their IDs, and their encoding as server-sent events.
//!
//! The encoding follows the chat completion chunks that clients of model APIs expect.

use std::fmt;
use std::str::FromStr;

use cornelpass_core::chat::{Finish, TokenUsage};
use serde_json::json;

use crate::problem::Problem;

/// ID of an event: the target and stream that the event belongs to, and its position in the stream.
///
/// Its text form is `target/stream/offset`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Id {
    /// Name of the target that generates the response.
    pub target: String,
    /// ID of the stream.
    pub stream: String,
    /// Index of the piece of text within the response, from 0.
    pub offset: u32,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.target, self.stream, self.offset)
    }
}

/// Error for a text that is not an event ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidId;

impl FromStr for Id {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let mut parts = text.rsplitn(3, '/');
        let offset = parts.next().and_then(|part| part.parse().ok()).ok_or(InvalidId)?;
        let stream = parts.next().filter(|part| !part.is_empty()).ok_or(InvalidId)?;
        let target = parts.next().filter(|part| !part.is_empty()).ok_or(InvalidId)?;
        Ok(Self { target: target.to_owned(), stream: stream.to_owned(), offset })
    }
}

/// One event of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Piece of text.
    Piece {
        /// ID of the event.
        id: Id,
        /// Text.
        text: String,
    },
    /// The response is complete.
    End {
        /// Reason for which the generation ended.
        finish: Finish,
        /// Tokens of the request and the response.
        usage: TokenUsage,
    },
    /// There is no response, or the response is incomplete and ends here.
    Problem(Problem),
}

impl Event {
    /// Whether the event is the last one of its response.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Problem(_))
    }

    /// Encodes the event as text of server-sent events.
    ///
    /// `created` is the start of the response in seconds since the Unix epoch.
    #[must_use]
    pub fn to_sse(&self, request_id: &str, model: &str, created: u64) -> String {
        let chunk = |delta: serde_json::Value, finish: Option<String>| {
            json!({
                "id": request_id,
                "object": "chat.completion.chunk",
                "created": created,
                "model": model,
                "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
            })
        };
        match self {
            Self::Piece { id, text } => {
                let delta = match id.offset {
                    0 => json!({"role": "assistant", "content": text}),
                    _ => json!({"content": text}),
                };
                format!("id: {id}\ndata: {}\n\n", chunk(delta, None))
            }
            Self::End { finish, usage } => {
                let mut last = chunk(json!({}), Some(finish.to_string()));
                last["usage"] = usage_json(usage);
                format!("data: {last}\n\ndata: [DONE]\n\n")
            }
            Self::Problem(problem) => format!("event: error\ndata: {}\n\n", problem.to_json()),
        }
    }
}

/// Token usage as a JSON object of the chat completion format.
#[must_use]
pub fn usage_json(usage: &TokenUsage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.generated,
        "total_tokens": usage.prompt + usage.generated,
        "prompt_tokens_details": {"cached_tokens": usage.cached},
    })
}
