//! Methods for routers.

use std::sync::Arc;

use async_trait::async_trait;
use cornelpass_core::config::{OfferOutcome, Snapshot};
use cornelpass_core::target_report::Report;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_wire::frame::{Body, Failure, Frame, Reply};
use cornelpass_wire::heartbeat::Heartbeat;
use cornelpass_wire::link::LinkServer;
use cornelpass_wire::request::{Call, Resume, Submission};
use jsonrpsee::core::{RpcResult, SubscriptionResult};
use jsonrpsee::{PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink};
use serde::Serialize;

use crate::calls;
use crate::held::Follower;
use crate::node::Node;
use crate::relay;

/// Methods of one process.
pub struct Server {
    node: Arc<Node>,
}

impl Server {
    /// Methods over the state of the process.
    #[must_use]
    pub const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn control(&self, kind: &'static str, message: &impl Serialize) {
        let size = serde_json::to_vec(message).map_or(0, |bytes| bytes.len());
        self.node.metrics.count_control_message(kind, size);
    }
}

#[async_trait]
impl LinkServer for Server {
    async fn exchange(&self, heartbeat: Heartbeat) -> RpcResult<Report> {
        self.control("heartbeat", &heartbeat);
        self.node.heartbeat(&heartbeat);
        let report = self.node.report();
        self.control("report", &report);
        Ok(report)
    }

    async fn snapshot(&self) -> RpcResult<Option<Snapshot>> {
        let snapshot = self.node.replica().current();
        self.control("config", &*snapshot);
        Ok((snapshot.version > 0).then(|| (*snapshot).clone()))
    }

    async fn offer(&self, snapshot: Snapshot) -> RpcResult<Report> {
        self.control("config", &snapshot);
        let version = snapshot.version;
        if self.node.offer(snapshot) == OfferOutcome::Applied {
            log!(Code::ConfigFromPeer, version);
        }
        Ok(self.node.report())
    }

    async fn call(&self, call: Call) -> RpcResult<Reply> {
        self.node.metrics.count_request("call");
        Ok(calls::run(&self.node, call).await)
    }

    async fn submit(
        &self,
        pending: PendingSubscriptionSink,
        submission: Submission,
    ) -> SubscriptionResult {
        self.node.metrics.count_request("chat");
        let attempt = submission.envelope.attempt;
        let sink = pending.accept().await?;
        give(sink, attempt, relay::submit(&self.node, submission)).await;
        Ok(())
    }

    async fn resume(&self, pending: PendingSubscriptionSink, resume: Resume) -> SubscriptionResult {
        self.node.metrics.count_request("resume");
        let sink = pending.accept().await?;
        let follower = relay::resume(&self.node, &resume).await;
        give(sink, resume.attempt, follower).await;
        Ok(())
    }

    async fn cancel(&self, stream: String) -> RpcResult<bool> {
        Ok(relay::cancel(&self.node, &stream).await)
    }
}

/// Gives a stream's frames to a subscription until either ends.
async fn give(sink: SubscriptionSink, attempt: u32, follower: Result<Follower, Failure>) {
    let mut follower = match follower {
        Ok(follower) => follower,
        Err(failure) => {
            let _ = send(&sink, &Frame::new(attempt, Body::Failed(failure))).await;
            return;
        }
    };
    loop {
        let body = tokio::select! {
            body = follower.next() => body,
            () = sink.closed() => return,
        };
        let Some(body) = body else { return };
        if !send(&sink, &Frame::new(attempt, body)).await {
            return;
        }
    }
}

async fn send(sink: &SubscriptionSink, frame: &Frame) -> bool {
    let Ok(text) = serde_json::value::to_raw_value(frame) else { return false };
    sink.send(SubscriptionMessage::from(text)).await.is_ok()
}
