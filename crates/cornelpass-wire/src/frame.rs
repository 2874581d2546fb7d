//! Responses from the sidecar of a target.
//!
//! The names of fields and variants are the JSON keys and values unless an attribute renames them.

use cornelpass_core::chat::{Finish, TokenUsage};
use cornelpass_core::claim::Answer;
use cornelpass_core::refusal::{Execution, Reason};
use serde::{Deserialize, Serialize};

/// One message of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Number of the attempt that the frame belongs to, from 1.
    #[serde(rename = "a")]
    pub attempt: u32,
    /// Content.
    #[serde(flatten)]
    pub body: Body,
}

impl Frame {
    /// Creates a frame of an attempt.
    #[must_use]
    pub const fn new(attempt: u32, body: Body) -> Self {
        Self { attempt, body }
    }
}

/// Content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "t")]
pub enum Body {
    /// The target has accepted the request.
    Accepted,
    /// Piece of text.
    Text {
        /// Index of the piece within the response, from 0.
        #[serde(rename = "o")]
        offset: u32,
        /// Text.
        #[serde(rename = "x")]
        text: String,
    },
    /// The response is complete.
    End {
        /// Number of pieces in the response.
        total: u32,
        /// Reason for which the generation ended.
        finish: Finish,
        /// Tokens of the request and the response.
        usage: TokenUsage,
    },
    /// The request was refused, or its response was lost.
    Failed(Failure),
}

impl Body {
    /// Whether the frame is the last one of its attempt.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Failed(_))
    }
}

/// Failure of a request: a refusal, or the loss of the response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Reason for the failure.
    pub reason: Reason,
    /// Whether the request may have run.
    #[serde(rename = "run")]
    pub execution: Execution,
    /// Delay after which the sender may retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u32>,
}

impl Failure {
    /// Creates a failure of a request that did not run.
    #[must_use]
    pub const fn refused(reason: Reason) -> Self {
        Self { reason, execution: Execution::NotRun, retry_after_ms: None }
    }

    /// Creates a failure of a request that may have run.
    #[must_use]
    pub const fn lost(reason: Reason) -> Self {
        Self { reason, execution: Execution::Unknown, retry_after_ms: None }
    }

    /// Sets the delay after which the sender may retry, in milliseconds.
    #[must_use]
    pub const fn with_retry_after_ms(mut self, delay_ms: u32) -> Self {
        self.retry_after_ms = Some(delay_ms);
        self
    }
}

/// Response to a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// The service responded, to this call or to an earlier one.
    Answer {
        /// Status, content type and body of the response of the service.
        answer: Answer,
        /// Whether the answer was recorded for an earlier call with the same idempotency key.
        replayed: bool,
    },
    /// The call was refused, or its response was lost.
    Failed(Failure),
}
