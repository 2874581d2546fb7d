//! Receives the requests of callers from the chat interface.
//!
//! The handler starts a task for each chat and each resumed stream, and runs calls directly.

use std::sync::Arc;

use async_trait::async_trait;
use cornelpass_caller::event::Event;
use cornelpass_caller::handler::{Handler, Response, Stream};
use cornelpass_caller::problem::Problem;
use cornelpass_caller::request::{Call, Chat, Resume};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use uuid::Uuid;

use crate::state::State;
use crate::{calls, chats};

/// Maximum number of events that are buffered for a caller that reads slowly.
const EVENT_BUFFER_LEN: usize = 16;

/// Runs the requests of the chat interface on this router.
pub struct ChatHandler {
    state: Arc<State>,
}

impl ChatHandler {
    /// Creates the handler of a router.
    #[must_use]
    pub const fn new(state: Arc<State>) -> Self {
        Self { state }
    }
}

#[async_trait]
impl Handler for ChatHandler {
    fn chat(&self, chat: Chat) -> Stream {
        self.state.metrics.count_request("chat");
        let (sender, events) = flume::bounded::<Event>(EVENT_BUFFER_LEN);
        let request_id = Uuid::new_v4().simple().to_string();
        tokio::spawn(chats::run(Arc::clone(&self.state), request_id.clone(), chat, sender));
        Stream { request_id, created: self.state.clock.wall(), events }
    }

    fn resume(&self, resume: Resume) -> Stream {
        self.state.metrics.count_request("resume");
        let (sender, events) = flume::bounded::<Event>(EVENT_BUFFER_LEN);
        // The ID of a stream is the ID of its request, a dot, and the number of the attempt.
        let stream = resume.last_event.stream.as_str();
        let request_id = stream.split('.').next().unwrap_or(stream).to_owned();
        tokio::spawn(chats::resume(Arc::clone(&self.state), resume, sender));
        Stream { request_id, created: self.state.clock.wall(), events }
    }

    async fn call(&self, call: Call) -> Result<Response, Problem> {
        self.state.metrics.count_request("call");
        let request_id = Uuid::new_v4().simple().to_string();
        calls::run(&self.state, request_id, call).await
    }

    fn record_refusal(&self, problem: &Problem) {
        self.state.metrics.count_refusal(problem.reason);
        log!(Code::Refused, reason = problem.reason.name(), detail = problem.detail);
    }
}
