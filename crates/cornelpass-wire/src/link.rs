//! JSON-RPC methods that the sidecar of a target serves.

use cornelpass_core::config::Snapshot;
use cornelpass_core::target_report::Report;
use jsonrpsee::core::{RpcResult, SubscriptionResult};
use jsonrpsee::proc_macros::rpc;

use crate::frame::{Frame, Response};
use crate::heartbeat::Heartbeat;
use crate::request::{Call, Resume, Submission};

/// Maximum size of a message, in bytes.
pub const MESSAGE_LIMIT_BYTES: u32 = 8 * 1024 * 1024;

/// Methods of a sidecar.
#[rpc(client, server)]
pub trait Link {
    /// Reports the state of the router and returns the state of the target.
    #[method(name = "exchange")]
    async fn exchange(&self, heartbeat: Heartbeat) -> RpcResult<Report>;

    /// Returns the active configuration of the sidecar, if any.
    #[method(name = "snapshot")]
    async fn snapshot(&self) -> RpcResult<Option<Snapshot>>;

    /// Sends a configuration to a sidecar with an older one, and returns the state of the target.
    #[method(name = "offer")]
    async fn offer(&self, snapshot: Snapshot) -> RpcResult<Report>;

    /// Calls the plain service and returns its response.
    #[method(name = "call")]
    async fn call(&self, call: Call) -> RpcResult<Response>;

    /// Runs a chat request and streams the frames of its response.
    #[subscription(name = "submit" => "frame", unsubscribe = "release", item = Frame)]
    async fn submit(
        &self,
        #[argument(rename = "order")] submission: Submission,
    ) -> SubscriptionResult;

    /// Resumes a stream and sends the missing frames.
    #[subscription(name = "resume" => "resumed", unsubscribe = "leave", item = Frame)]
    async fn resume(&self, resume: Resume) -> SubscriptionResult;

    /// Cancels a stream whose caller has disconnected; returns whether the stream was cancelled.
    #[method(name = "cancel")]
    async fn cancel(&self, stream: String) -> RpcResult<bool>;
}
