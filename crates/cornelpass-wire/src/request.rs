//! Requests from a router to the sidecar of a target.
//!
//! The field names are the JSON keys unless an attribute renames them.

use serde::{Deserialize, Serialize};

/// Fields that a [`Submission`] and a [`Call`] have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// ID of the request, unique in the fleet.
    pub request: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Version of the active configuration of the router.
    pub version: u64,
    /// Name of the target that must run the request.
    pub target: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Hash of the content of the request.
    pub digest: u64,
    /// Cost of the request, in units of load.
    pub cost: u32,
    /// Remaining time of the request, in milliseconds.
    pub remaining_ms: u32,
}

impl Envelope {
    /// ID of the stream of the attempt.
    ///
    /// For a call with an idempotency key, the ID is also the token by which the claim row on the
    /// platform names the attempt ([`cornelpass_core::claim`]).
    #[must_use]
    pub fn stream_id(&self) -> String {
        format!("{}.{}", self.request, self.attempt)
    }
}

/// Chat request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Common fields.
    pub envelope: Envelope,
    /// Name of the model.
    pub model: String,
    /// Messages as a JSON array, exactly as received from the caller.
    pub messages: String,
    /// Limit on generated tokens.
    pub max_tokens: u32,
    /// Text that the caller has already received, which the response continues.
    #[serde(rename = "given", default, skip_serializing_if = "String::is_empty")]
    pub generated_text: String,
    /// Number of pieces in the text that the caller has already received.
    #[serde(default)]
    pub offset: u32,
}

/// Request to resume a stream that the sidecar holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// ID of the stream.
    pub stream: String,
    /// Number of the attempt to set in the frames.
    pub attempt: u32,
    /// Index of the first missing piece.
    #[serde(rename = "from")]
    pub from_offset: u32,
    /// Organisation of the caller.
    pub organisation: String,
}

/// Call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Common fields.
    pub envelope: Envelope,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: String,
    /// Idempotency key; a call with a key runs at most once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}
