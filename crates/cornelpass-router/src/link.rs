//! Link to the sidecar of one target, over one WebSocket connection at a time.
//!
//! A connection on which a heartbeat gets no response is treated as unresponsive. A new connection
//! replaces it, and the streams of the old connection are resumed on the new one. A stream that
//! receives no frames for a while requests a heartbeat ahead of the regular one, so that an
//! unresponsive connection is found early.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_core::config::Snapshot;
use cornelpass_core::refusal::Execution;
use cornelpass_core::target_report::Report;
use cornelpass_wire::frame::{Frame, Response};
use cornelpass_wire::heartbeat::Heartbeat;
use cornelpass_wire::link::{LinkClient, MESSAGE_LIMIT_BYTES};
use cornelpass_wire::request::{Call, Resume, Submission};
use jsonrpsee::core::client::{Error, Subscription};
use jsonrpsee::types::error as code;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::sync::{Mutex, Notify, watch};
use tokio::time::timeout;

/// Time limit on opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit on the response to a heartbeat, and on the cancellation of a stream.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit on sending or fetching a configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit on a JSON-RPC request.
///
/// It must be longer than the longest call of a plain service, which the time-out of the caller's
/// request limits.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(150);

/// Maximum number of frames that are buffered for a stream whose reader is slow.
const STREAM_BUFFER_LEN: usize = 4096;

/// Maximum number of concurrent requests on one connection.
const MAX_CONCURRENT_REQUESTS: usize = 4096;

/// A connection. It was open when this value was created, and may have been lost since.
#[derive(Clone)]
pub struct Connection {
    client: Arc<WsClient>,
    /// Number of the connection within its link; a later connection has a higher number.
    pub generation: u64,
}

/// Error: no connection can be opened, so nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreachable;

/// Current connection, and the time of the last failure to open one.
#[derive(Default)]
struct Current {
    connection: Option<Connection>,
    failed_at: Option<Instant>,
}

/// Link to one sidecar.
pub struct Link {
    address: SocketAddr,
    current: Mutex<Current>,
    generation: watch::Sender<u64>,
    heartbeat_request: Notify,
}

impl Link {
    /// Creates a link to an address, without a connection.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            current: Mutex::default(),
            generation: watch::Sender::new(0),
            heartbeat_request: Notify::new(),
        }
    }

    /// Address of the sidecar.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current connection if it is open, and opens a new one otherwise.
    ///
    /// # Errors
    ///
    /// [`Unreachable`] if no connection can be opened. A task that waited while another task failed
    /// to open a connection gets the error without a try of its own.
    pub async fn connection(&self) -> Result<Connection, Unreachable> {
        let requested_at = Instant::now();
        let mut current = self.current.lock().await;
        let open =
            current.connection.as_ref().filter(|connection| connection.client.is_connected());
        if let Some(connection) = open {
            return Ok(connection.clone());
        }
        if current.failed_at.is_some_and(|failed_at| failed_at >= requested_at) {
            return Err(Unreachable);
        }
        let Ok(client) = self.open().await else {
            current.failed_at = Some(Instant::now());
            return Err(Unreachable);
        };
        let generation = *self.generation.borrow() + 1;
        let connection = Connection { client: Arc::new(client), generation };
        self.generation.send_replace(generation);
        current.connection = Some(connection.clone());
        Ok(connection)
    }

    async fn open(&self) -> Result<WsClient, Error> {
        let url = format!("ws://{}", self.address);
        let builder = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(REQUEST_TIMEOUT)
            .max_concurrent_requests(MAX_CONCURRENT_REQUESTS)
            .max_buffer_capacity_per_subscription(STREAM_BUFFER_LEN)
            .max_response_size(MESSAGE_LIMIT_BYTES)
            .max_request_size(MESSAGE_LIMIT_BYTES);
        // The library starts its own time-out anew for the WebSocket handshake, once the TCP
        // connection is open. The time-out here limits the connection and the handshake together.
        match timeout(CONNECT_TIMEOUT, builder.build(&url)).await {
            Ok(client) => client,
            Err(_) => Err(Error::RequestTimeout),
        }
    }

    /// Discards an unresponsive connection, if it is still the current one.
    pub async fn discard(&self, generation: u64) {
        let mut current = self.current.lock().await;
        let connection = current.connection.as_ref();
        if connection.is_some_and(|connection| connection.generation == generation) {
            current.connection = None;
            self.generation.send_replace(generation + 1);
        }
    }

    /// Requests a heartbeat ahead of the regular one, because a stream receives no frames.
    pub fn request_heartbeat(&self) {
        self.heartbeat_request.notify_one();
    }

    /// Waits until a heartbeat is requested.
    pub async fn wait_for_heartbeat_request(&self) {
        self.heartbeat_request.notified().await;
    }

    /// Waits until the connection of a generation is no longer the current one.
    pub async fn wait_until_replaced(&self, generation: u64) {
        let mut current_generation = self.generation.subscribe();
        let _ = current_generation.wait_for(|current| *current > generation).await;
    }
}

impl Connection {
    /// Exchanges a heartbeat for a report; `None` if there is no response in time.
    pub async fn exchange(&self, heartbeat: Heartbeat) -> Option<Report> {
        let exchange = self.client.exchange(heartbeat);
        timeout(HEARTBEAT_TIMEOUT, exchange).await.ok()?.ok()
    }

    /// Fetches the active configuration of the sidecar; `None` if it has none or does not respond.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        timeout(CONFIG_TIMEOUT, self.client.snapshot()).await.ok()?.ok()?
    }

    /// Sends a configuration to the sidecar and returns its report; `None` if it does not respond.
    pub async fn offer(&self, snapshot: Snapshot) -> Option<Report> {
        timeout(CONFIG_TIMEOUT, self.client.offer(snapshot)).await.ok()?.ok()
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Fails if there is no response; [`execution_after`] says whether the call may have run.
    pub async fn call(&self, call: Call) -> Result<Response, Error> {
        self.client.call(call).await
    }

    /// Starts a chat request.
    ///
    /// # Errors
    ///
    /// Fails if there is no response; [`execution_after`] says whether the request may have run.
    pub async fn submit(&self, submission: Submission) -> Result<Subscription<Frame>, Error> {
        self.client.submit(submission).await
    }

    /// Resumes a stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub async fn resume(&self, resume: Resume) -> Result<Subscription<Frame>, Error> {
        self.client.resume(resume).await
    }

    /// Cancels a stream whose caller has disconnected.
    pub async fn cancel(&self, stream: &str) {
        let _ = timeout(HEARTBEAT_TIMEOUT, self.client.cancel(stream.to_owned())).await;
    }
}

/// Whether a request that ended in an error may have run.
///
/// The JSON-RPC library reports the same error whether a connection broke before or after the
/// request was written. Only the errors that the server of the library returns in place of running
/// a method prove that the request did not run.
#[must_use]
pub fn execution_after(error: &Error) -> Execution {
    let Error::Call(object) = error else { return Execution::Unknown };
    match object.code() {
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
