//! Connection to the process beside one target.
//!
//! A connection that misses a heartbeat counts as silent: a new one is opened beside it, and the
//! streams that ran on the old one continue there. A stream without frames for a while asks for a
//! heartbeat ahead of its time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_core::config::Snapshot;
use cornelpass_core::refusal::Execution;
use cornelpass_core::target_report::Report;
use cornelpass_wire::frame::{Frame, Reply};
use cornelpass_wire::heartbeat::Heartbeat;
use cornelpass_wire::link::{LinkClient, MESSAGE_LIMIT_BYTES};
use cornelpass_wire::request::{Call, Resume, Submission};
use jsonrpsee::core::client::{Error, Subscription};
use jsonrpsee::types::error as code;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::sync::{Mutex, Notify, watch};
use tokio::time::timeout;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the answer to a heartbeat.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time to send a configuration.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest plain call.
const CALL_TIMEOUT: Duration = Duration::from_secs(150);

/// Frames held for a stream whose reader is slow.
const STREAM_BUFFER: usize = 4096;

/// Requests in flight on one connection.
const REQUEST_LIMIT: usize = 4096;

/// A connection that was open once.
#[derive(Clone)]
pub struct Channel {
    client: Arc<WsClient>,
    /// Number of the connection.
    pub generation: u64,
}

/// No connection can be opened; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreachable;

/// Current connection, and the last time that none could be opened.
#[derive(Default)]
struct Current {
    channel: Option<Channel>,
    failed: Option<Instant>,
}

/// Connections to the process beside one target, one at a time.
pub struct Link {
    address: SocketAddr,
    current: Mutex<Current>,
    generation: watch::Sender<u64>,
    doubt: Notify,
}

impl Link {
    /// A link to an address, not yet connected.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            current: Mutex::default(),
            generation: watch::Sender::new(0),
            doubt: Notify::new(),
        }
    }

    /// Address of the process.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The open connection, or a new one.
    ///
    /// # Errors
    ///
    /// [`Unreachable`] if none can be opened, also if another request has found that while this
    /// one waited.
    pub async fn channel(&self) -> Result<Channel, Unreachable> {
        let asked = Instant::now();
        let mut current = self.current.lock().await;
        let open = current.channel.as_ref().filter(|channel| channel.client.is_connected());
        if let Some(channel) = open {
            return Ok(channel.clone());
        }
        if current.failed.is_some_and(|failed| failed >= asked) {
            return Err(Unreachable);
        }
        let Ok(client) = self.open().await else {
            current.failed = Some(Instant::now());
            return Err(Unreachable);
        };
        let generation = *self.generation.borrow() + 1;
        let channel = Channel { client: Arc::new(client), generation };
        self.generation.send_replace(generation);
        current.channel = Some(channel.clone());
        Ok(channel)
    }

    async fn open(&self) -> Result<WsClient, Error> {
        let url = format!("ws://{}", self.address);
        let builder = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(CALL_TIMEOUT)
            .max_concurrent_requests(REQUEST_LIMIT)
            .max_buffer_capacity_per_subscription(STREAM_BUFFER)
            .max_response_size(MESSAGE_LIMIT_BYTES)
            .max_request_size(MESSAGE_LIMIT_BYTES);
        // The library's own limit begins when the connection is open.
        match timeout(CONNECT_TIMEOUT, builder.build(&url)).await {
            Ok(client) => client,
            Err(_) => Err(Error::RequestTimeout),
        }
    }

    /// Gives a silent connection up, if it is still the current one.
    pub async fn abandon(&self, generation: u64) {
        let mut current = self.current.lock().await;
        let channel = current.channel.as_ref();
        if channel.is_some_and(|channel| channel.generation == generation) {
            current.channel = None;
            self.generation.send_replace(generation + 1);
        }
    }

    /// Asks for a heartbeat now, since a stream has no frames.
    pub fn doubt(&self) {
        self.doubt.notify_one();
    }

    /// Returns when somebody asked for a heartbeat.
    pub async fn doubted(&self) {
        self.doubt.notified().await;
    }

    /// Returns when a connection is no longer the current one.
    pub async fn replaced(&self, generation: u64) {
        let mut watch = self.generation.subscribe();
        let _ = watch.wait_for(|current| *current > generation).await;
    }
}

impl Channel {
    /// Exchanges a heartbeat for a report.
    ///
    /// # Errors
    ///
    /// None if the answer did not come in time.
    pub async fn exchange(&self, heartbeat: Heartbeat) -> Option<Report> {
        let exchange = self.client.exchange(heartbeat);
        timeout(HEARTBEAT_TIMEOUT, exchange).await.ok()?.ok()
    }

    /// Configuration in force at the other end.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        timeout(TRANSFER_TIMEOUT, self.client.snapshot()).await.ok()?.ok()?
    }

    /// Offers a configuration to the other end.
    pub async fn offer(&self, snapshot: Snapshot) -> Option<Report> {
        timeout(TRANSFER_TIMEOUT, self.client.offer(snapshot)).await.ok()?.ok()
    }

    /// Makes a plain call.
    ///
    /// # Errors
    ///
    /// The call may have run.
    pub async fn call(&self, call: Call) -> Result<Reply, Error> {
        self.client.call(call).await
    }

    /// Starts a chat request.
    ///
    /// # Errors
    ///
    /// The request may have run.
    pub async fn submit(&self, submission: Submission) -> Result<Subscription<Frame>, Error> {
        self.client.submit(submission).await
    }

    /// Continues a stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub async fn resume(&self, resume: Resume) -> Result<Subscription<Frame>, Error> {
        self.client.resume(resume).await
    }

    /// Ends a stream whose caller has gone.
    pub async fn cancel(&self, stream: &str) {
        let _ = timeout(HEARTBEAT_TIMEOUT, self.client.cancel(stream.to_owned())).await;
    }
}

/// Whether a request that ended in an error had an effect.
///
/// The library reports a connection that broke before and after the request was written by the
/// same error. Only the answers that its server gives instead of running a method say that
/// nothing ran.
#[must_use]
pub fn effect(error: &Error) -> Execution {
    let Error::Call(answer) = error else { return Execution::Unknown };
    match answer.code() {
        code::METHOD_NOT_FOUND_CODE
        | code::INVALID_REQUEST_CODE
        | code::INVALID_PARAMS_CODE
        | code::PARSE_ERROR_CODE
        | code::OVERSIZED_REQUEST_CODE
        | code::SERVER_IS_BUSY_CODE
        | code::TOO_MANY_SUBSCRIPTIONS_CODE => Execution::NotRun,
        _ => Execution::Unknown,
    }
}
