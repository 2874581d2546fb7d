//! Serves the JSON-RPC methods that routers call.

use std::sync::Arc;

use async_trait::async_trait;
use cornelpass_core::config::{OfferOutcome, Snapshot};
use cornelpass_core::target_report::Report;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_wire::frame::{Body, Failure, Frame, Response};
use cornelpass_wire::heartbeat::Heartbeat;
use cornelpass_wire::link::LinkServer;
use cornelpass_wire::request::{Call, Resume, Submission};
use jsonrpsee::core::{RpcResult, SubscriptionResult};
use jsonrpsee::{PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink};
use serde::Serialize;

use crate::calls;
use crate::relay;
use crate::sidecar::Sidecar;
use crate::streams::Reader;

/// Implementation of the JSON-RPC methods.
pub struct Server {
    sidecar: Arc<Sidecar>,
}

impl Server {
    /// Creates the server of a sidecar.
    #[must_use]
    pub const fn new(sidecar: Arc<Sidecar>) -> Self {
        Self { sidecar }
    }

    /// Counts a control message and its size as JSON in the metrics.
    fn count_control_message(&self, kind: &'static str, message: &impl Serialize) {
        let size = serde_json::to_vec(message).map_or(0, |bytes| bytes.len());
        self.sidecar.metrics.count_control_message(kind, size);
    }
}

#[async_trait]
impl LinkServer for Server {
    async fn exchange(&self, heartbeat: Heartbeat) -> RpcResult<Report> {
        self.count_control_message("heartbeat", &heartbeat);
        self.sidecar.apply_heartbeat(&heartbeat);
        let report = self.sidecar.report();
        self.count_control_message("report", &report);
        Ok(report)
    }

    async fn snapshot(&self) -> RpcResult<Option<Snapshot>> {
        let snapshot = self.sidecar.replica().current();
        self.count_control_message("config", &*snapshot);
        Ok((snapshot.version > 0).then(|| (*snapshot).clone()))
    }

    async fn offer(&self, snapshot: Snapshot) -> RpcResult<Report> {
        self.count_control_message("config", &snapshot);
        let version = snapshot.version;
        if self.sidecar.offer(snapshot) == OfferOutcome::Applied {
            log!(Code::ConfigFromPeer, version);
        }
        Ok(self.sidecar.report())
    }

    async fn call(&self, call: Call) -> RpcResult<Response> {
        self.sidecar.metrics.count_request("call");
        Ok(calls::run(&self.sidecar, call).await)
    }

    async fn submit(
        &self,
        pending: PendingSubscriptionSink,
        submission: Submission,
    ) -> SubscriptionResult {
        self.sidecar.metrics.count_request("chat");
        let attempt = submission.envelope.attempt;
        let sink = pending.accept().await?;
        forward_frames(sink, attempt, relay::submit(&self.sidecar, submission)).await;
        Ok(())
    }

    async fn resume(&self, pending: PendingSubscriptionSink, resume: Resume) -> SubscriptionResult {
        self.sidecar.metrics.count_request("resume");
        let sink = pending.accept().await?;
        let reader = relay::resume(&self.sidecar, &resume).await;
        forward_frames(sink, resume.attempt, reader).await;
        Ok(())
    }

    async fn cancel(&self, stream: String) -> RpcResult<bool> {
        Ok(relay::cancel(&self.sidecar, &stream).await)
    }
}

/// Sends the frames of a stream to a subscription until the stream or the subscription ends.
async fn forward_frames(sink: SubscriptionSink, attempt: u32, reader: Result<Reader, Failure>) {
    let mut reader = match reader {
        Ok(reader) => reader,
        Err(failure) => {
            let _ = send(&sink, &Frame::new(attempt, Body::Failed(failure))).await;
            return;
        }
    };
    loop {
        let body = tokio::select! {
            body = reader.next() => body,
            () = sink.closed() => return,
        };
        let Some(body) = body else { return };
        if !send(&sink, &Frame::new(attempt, body)).await {
            return;
        }
    }
}

/// Sends a frame; returns whether the subscription still accepts frames.
async fn send(sink: &SubscriptionSink, frame: &Frame) -> bool {
    let Ok(text) = serde_json::value::to_raw_value(frame) else { return false };
    sink.send(SubscriptionMessage::from(text)).await.is_ok()
}
