//! Trait through which the chat interface runs its requests.

use std::time::SystemTime;

use async_trait::async_trait;
use cornelpass_core::claim::Answer;
use flume::Receiver;

use crate::event::Event;
use crate::problem::Problem;
use crate::request::{Call, Chat, Resume};

/// Streamed response; dropping the receiver cancels the request.
pub struct Stream {
    /// ID of the request.
    pub request_id: String,
    /// Wall-clock time at which the response started.
    pub created: SystemTime,
    /// Events in order; the last one is an end or a problem.
    pub events: Receiver<Event>,
}

impl Stream {
    /// Start of the response in seconds since the Unix epoch, the unit that chat clients expect.
    #[must_use]
    pub fn created_unix_seconds(&self) -> u64 {
        let since_epoch = self.created.duration_since(SystemTime::UNIX_EPOCH);
        since_epoch.map_or(0, |duration| duration.as_secs())
    }
}

/// Response of a plain service to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status, content type and body.
    pub answer: Answer,
    /// Whether the answer was recorded for an earlier call with the same idempotency key.
    pub replayed: bool,
}

/// Runs the requests of the chat interface.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Starts a chat request.
    fn chat(&self, chat: Chat) -> Stream;

    /// Resumes a stream.
    fn resume(&self, resume: Resume) -> Stream;

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// The problem that the caller receives in place of the response.
    async fn call(&self, call: Call) -> Result<Response, Problem>;

    /// Records a request that was refused before any other method of the handler was called.
    fn record_refusal(&self, problem: &Problem);
}
