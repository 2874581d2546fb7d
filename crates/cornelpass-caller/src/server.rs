//! HTTP server for callers.
//!
//! It accepts connections up to a limit, applies [`Limits`] to each connection and passes requests
//! to a [`Responder`]. A request with an ambiguous head gets a problem report. A planned stop
//! follows the [`Stage`]s.
//!
//! It uses `hyper`, not `tiny_http`, because `hyper` limits the number and size of headers and the
//! time in which they arrive, and writes each event of a stream immediately, without a thread for
//! each connection.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::refusal::Reason;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

use crate::connection_state::ConnectionState;
use crate::dispatch::Dispatcher;
use crate::handler::Handler;
use crate::problem::{self, Problem};
use crate::request;
use crate::responder::Responder;
use crate::response;
use crate::timeout_stream::TimeoutStream;
use crate::tracked_body::{RequestBody, ResponseBody};

/// Maximum number of connections over the connection limit that receive a refusal at the same time;
/// further ones are closed without a response.
const REFUSED_CONNECTIONS_LIMIT: usize = 64;

/// Time limit for sending a refusal on a connection over the connection limit.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed accept, which happens when the process runs out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Smallest connection buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits on the resources that callers may use.
///
/// `body_bytes`, `buffered_bytes` and `body_timeout` apply to the chat interface; the gateway
/// interface has its own limits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum total size of all bodies that are received at the same time, in bytes.
    pub buffered_bytes: usize,
    /// Maximum number of headers of a request.
    pub header_count: usize,
    /// Maximum size of the head of a request (request line and headers), in bytes.
    pub head_bytes: usize,
    /// Time limit for a head to arrive, from its first byte.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle before its next request.
    pub idle_timeout: Duration,
    /// Idle time announced to callers in the `keep-alive` header, if any. It is shorter than the
    /// idle time-out, so that a caller does not send a request while the server closes the
    /// connection.
    pub keep_alive: Option<Duration>,
    /// Time limit for a body to arrive.
    pub body_timeout: Duration,
    /// Time for which a write may be blocked because the caller does not read the response.
    pub write_timeout: Duration,
    /// Maximum number of open connections.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            buffered_bytes: 64 * 1024 * 1024,
            header_count: 64,
            head_bytes: 32 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(5),
            keep_alive: None,
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
            connections: 4096,
        }
    }
}

/// Stage of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No stop is planned.
    #[default]
    Serving,
    /// Connections and requests are accepted, and each response closes its connection, so that the
    /// caller connects to another instance.
    Closing,
    /// No connections are accepted; requests in progress are finished.
    Finishing,
}

/// HTTP server for callers.
pub struct Server {
    responder: Arc<dyn Responder>,
    limits: watch::Receiver<Limits>,
    stage: watch::Receiver<Stage>,
}

impl Server {
    /// Creates a server of the chat interface that runs requests through a handler.
    ///
    /// The limits are fixed; `stage` controls a planned stop.
    #[must_use]
    pub fn new(handler: Arc<dyn Handler>, limits: Limits, stage: watch::Receiver<Stage>) -> Self {
        let (_, fixed) = watch::channel(limits);
        Self::with_responder(Arc::new(Dispatcher::new(handler, limits)), fixed, stage)
    }

    /// Creates a server that passes requests to a responder; `stage` controls a planned stop.
    ///
    /// A change of the limits applies to connections opened after the change, with two exceptions:
    /// the limit on the number of connections is read once, when the server starts, and
    /// `keep_alive` is read for each response.
    #[must_use]
    pub fn with_responder(
        responder: Arc<dyn Responder>,
        limits: watch::Receiver<Limits>,
        stage: watch::Receiver<Stage>,
    ) -> Self {
        Self { responder, limits, stage }
    }

    /// Accepts connections until [`Stage::Finishing`], and returns when all accepted connections
    /// within the limit have ended.
    pub async fn run(self, listener: TcpListener) {
        let server = Arc::new(self);
        let limit = server.limits.borrow().connections;
        let connections = Arc::new(Semaphore::new(limit));
        let refusals = Arc::new(Semaphore::new(REFUSED_CONNECTIONS_LIMIT));
        let mut stage = server.stage.clone();
        loop {
            let accepted = tokio::select! {
                // The accept has priority, so that connections that already wait when the stage
                // changes are still accepted.
                biased;
                accepted = listener.accept() => accepted,
                _ = stage.wait_for(|stage| *stage == Stage::Finishing) => break,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if let Ok(permit) = Arc::clone(&connections).try_acquire_owned() {
                let server = Arc::clone(&server);
                tokio::spawn(async move {
                    server.handle_connection(stream).await;
                    drop(permit);
                });
            } else if let Ok(permit) = Arc::clone(&refusals).try_acquire_owned() {
                tokio::spawn(async move {
                    let _ = timeout(REFUSAL_TIMEOUT, refuse_connection(stream)).await;
                    drop(permit);
                });
            }
        }
        drop(listener);
        let all = u32::try_from(limit).unwrap_or(u32::MAX);
        let _ = connections.acquire_many(all).await;
    }

    async fn handle_connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (limits, mut stage) = (*self.limits.borrow(), self.stage.clone());
        let state = Arc::new(ConnectionState::default());
        let io = TokioIo::new(TimeoutStream::new(stream, limits, Arc::clone(&state)));
        let service = service_fn(move |request| {
            let (server, state) = (Arc::clone(&self), Arc::clone(&state));
            async move { Ok::<_, Infallible>(server.respond(request, &state).await) }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        // `TimeoutStream` limits the time of a head, separately from the idle time.
        builder.header_read_timeout(None);
        builder
            .max_headers(limits.header_count)
            .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
        let mut connection = pin!(builder.serve_connection(io, service));
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stage.wait_for(|stage| *stage == Stage::Finishing) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        state: &Arc<ConnectionState>,
    ) -> Response<ResponseBody> {
        let active = ConnectionState::start_request(state);
        let ambiguous = active.is_ambiguous();
        let mut response = if ambiguous {
            let problem = Problem::refused(Reason::BadRequest).with_detail("ambiguous head");
            response::report(&problem)
        } else {
            self.responder.respond(request.map(|body| RequestBody::new(body, state))).await
        };
        // The unread rest of a body would be parsed as the head of the next request.
        let close = ambiguous || state.is_unread();
        if close || *self.stage.borrow() >= Stage::Closing {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        } else if let Some(time) = self.limits.borrow().keep_alive {
            let value = HeaderValue::from_str(&format!("timeout={}", time.as_secs()));
            response.headers_mut().extend(value.ok().map(|value| (KEEP_ALIVE, value)));
        }
        response.map(|body| ResponseBody::new(body, active))
    }
}

/// Sends a problem report on a connection over the connection limit, and closes the connection.
async fn refuse_connection(mut stream: TcpStream) -> std::io::Result<()> {
    let problem = Problem::refused(Reason::Overloaded)
        .with_detail("no place for another connection")
        .with_retry_after(Some(request::OVERLOAD_RETRY_DELAY));
    let (status, body) = (problem.status(), problem.to_json());
    let response = format!(
        "HTTP/1.1 {status}\r\ncontent-type: {}\r\nretry-after: {}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        problem::CONTENT_TYPE,
        problem.retry_after_seconds().unwrap_or_default(),
        body.len(),
    );
    stream.write_all(response.as_bytes()).await?;
    stream.shutdown().await?;
    // Closing a socket with unread bytes resets the connection, and the caller could lose the
    // response. Read and discard what the caller has sent.
    let mut discarded = [0; 1024];
    while stream.read(&mut discarded).await? > 0 {}
    Ok(())
}
