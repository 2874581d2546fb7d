//! Hands callers' requests to the code that runs them.

use std::sync::Arc;

use async_trait::async_trait;
use cornelpass_caller::event::Event;
use cornelpass_caller::handler::{Handler, Reply, Stream};
use cornelpass_caller::problem::Problem;
use cornelpass_caller::request::{Call, Chat, Resume};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use uuid::Uuid;

use crate::node::Node;
use crate::{calls, chats};

/// Events held for a caller that reads slowly.
const EVENT_BUFFER: usize = 16;

/// Callers' requests to this router.
pub struct Entry {
    node: Arc<Node>,
}

impl Entry {
    /// Requests to a router.
    #[must_use]
    pub const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

#[async_trait]
impl Handler for Entry {
    fn chat(&self, chat: Chat) -> Stream {
        self.node.metrics.count_request("chat");
        let (sender, events) = flume::bounded::<Event>(EVENT_BUFFER);
        let request_id = Uuid::new_v4().simple().to_string();
        tokio::spawn(chats::run(Arc::clone(&self.node), request_id.clone(), chat, sender));
        Stream { request_id, created: self.node.clock.wall(), events }
    }

    fn resume(&self, resume: Resume) -> Stream {
        self.node.metrics.count_request("resume");
        let (sender, events) = flume::bounded::<Event>(EVENT_BUFFER);
        let stream = resume.last_event.stream.as_str();
        let request_id = stream.split('.').next().unwrap_or(stream).to_owned();
        tokio::spawn(chats::resume(Arc::clone(&self.node), resume, sender));
        Stream { request_id, created: self.node.clock.wall(), events }
    }

    async fn call(&self, call: Call) -> Result<Reply, Problem> {
        self.node.metrics.count_request("call");
        let request_id = Uuid::new_v4().simple().to_string();
        calls::run(&self.node, request_id, call).await
    }

    fn record_refusal(&self, problem: &Problem) {
        self.node.metrics.count_refusal(problem.reason);
        log!(Code::Refused, reason = problem.reason.name(), detail = problem.detail);
    }
}
