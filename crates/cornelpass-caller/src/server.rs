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
use std::net::SocketAddr;
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
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::timeout;

use crate::body;
use crate::budget::{Budget, Charge, Owner};
use crate::connection_state::ConnectionState;
use crate::connections::{Admission, Connections, Eviction, Place};
use crate::dispatch::Dispatcher;
use crate::handler::Handler;
use crate::limit::{Counts, Limit};
use crate::problem::{self, Problem};
use crate::request;
use crate::responder::Responder;
use crate::response;
use crate::timeout_stream::TimeoutStream;
use crate::tracked_body::{RequestBody, ResponseBody};

/// Upper limit on the number of connections over the connection limit that receive a refusal at the
/// same time; further ones are closed without a response.
const REFUSED_CONNECTIONS_LIMIT: usize = 64;

/// Share of the connection limit that may receive a refusal at the same time, as a divisor.
pub const REFUSED_CONNECTIONS_DIVISOR: usize = 8;

/// Memory of an open connection, in bytes: its read buffer, and the states of its task and timers.
///
/// Measured: 17 KB for each of 256 silent connections.
pub const CONNECTION_BYTES: usize = 24 * 1024;

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
    /// Maximum number of open connections of one client address.
    pub connections_per_address: usize,
    /// Which connections are closed when there is no place for a new one.
    pub eviction: Eviction,
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
            connections_per_address: 4096,
            eviction: Eviction::Never,
        }
    }
}

impl Limits {
    /// Maximum number of connections over the limit that receive a refusal at the same time.
    #[must_use]
    pub fn refused_connections(&self) -> usize {
        (self.connections / REFUSED_CONNECTIONS_DIVISOR).clamp(1, REFUSED_CONNECTIONS_LIMIT)
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
    /// No connections or requests are accepted; requests in progress are finished.
    Finishing,
    /// The process is about to end; requests in progress get a last response.
    Ending,
}

/// HTTP server for callers.
pub struct Server {
    responder: Arc<dyn Responder>,
    limits: watch::Receiver<Limits>,
    stage: watch::Receiver<Stage>,
    /// Memory budget for connections and requests; without one they are not charged.
    budget: Option<Budget>,
    counts: Arc<Counts>,
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
    /// A change of the limits applies to connections opened after the change, except that
    /// `keep_alive` is read for each response.
    #[must_use]
    pub fn with_responder(
        responder: Arc<dyn Responder>,
        limits: watch::Receiver<Limits>,
        stage: watch::Receiver<Stage>,
    ) -> Self {
        Self { responder, limits, stage, budget: None, counts: Arc::default() }
    }

    /// Charges connections and requests to a budget.
    #[must_use]
    pub fn with_budget(self, budget: Budget) -> Self {
        Self { budget: Some(budget), ..self }
    }

    /// Counts the limits that callers reach.
    #[must_use]
    pub fn with_counts(self, counts: Arc<Counts>) -> Self {
        Self { counts, ..self }
    }

    /// Accepts connections until [`Stage::Finishing`], and returns when all accepted connections
    /// within the limit have ended.
    pub async fn run(self, listener: TcpListener) {
        let server = Arc::new(self);
        let connections = Arc::<Connections>::default();
        let refusals = Arc::new(Semaphore::new(server.limits.borrow().refused_connections()));
        let (open, mut all_closed) = mpsc::channel::<()>(1);
        let mut stage = server.stage.clone();
        loop {
            let accepted = tokio::select! {
                // The accept has priority, so that connections that already wait when the stage
                // changes are still accepted.
                biased;
                accepted = listener.accept() => accepted,
                _ = stage.wait_for(|stage| *stage >= Stage::Finishing) => break,
            };
            let Ok((stream, address)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            match server.admit(&connections, address) {
                Ok((place, charge)) => {
                    let (server, open) = (Arc::clone(&server), open.clone());
                    tokio::spawn(async move {
                        server.handle_connection(stream, &place).await;
                        drop((place, charge, open));
                    });
                }
                Err(limit) => {
                    server.counts.add(limit);
                    refuse(stream, &refusals);
                }
            }
            // A connection that was closed for this one, or refused, ends before the next accept.
            tokio::task::yield_now().await;
        }
        drop((listener, open));
        let _ = all_closed.recv().await;
    }

    /// Finds a place and memory for a new connection.
    fn admit(
        &self,
        connections: &Arc<Connections>,
        address: SocketAddr,
    ) -> Result<(Place, Option<Charge>), Limit> {
        let admitted = Connections::admit(connections, address.ip(), &self.limits.borrow());
        let place = match admitted {
            Admission::Refused(limit) => return Err(limit),
            Admission::Admitted(place) => place,
            Admission::Replaced(place) => {
                self.counts.add(Limit::UnneededConnection);
                place
            }
        };
        match &self.budget {
            None => Ok((place, None)),
            Some(budget) => match budget.try_charge(Owner::Connections, CONNECTION_BYTES) {
                Some(charge) => Ok((place, Some(charge))),
                None => Err(Limit::Memory),
            },
        }
    }

    async fn handle_connection(self: Arc<Self>, stream: TcpStream, place: &Place) {
        let _ = stream.set_nodelay(true);
        let (limits, mut stage) = (*self.limits.borrow(), self.stage.clone());
        let (state, counts) = (Arc::clone(&place.state), Arc::clone(&self.counts));
        let io = TokioIo::new(TimeoutStream::new(stream, limits, Arc::clone(&state), counts));
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
            biased;
            () = place.close.notified() => return,
            _ = connection.as_mut() => return,
            _ = stage.wait_for(|stage| *stage >= Stage::Finishing) => {}
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
        let charge =
            self.budget.as_ref().map(|budget| budget.try_charge_request(request.headers()));
        let has_room = !matches!(charge, Some(None));
        let mut response = if !has_room {
            self.counts.add(Limit::Memory);
            refuse_request(request, state, &body::no_room("no room for the request"))
        } else if *self.stage.borrow() >= Stage::Finishing {
            let problem = Problem::refused(Reason::Draining)
                .with_retry_after(Some(request::OVERLOAD_RETRY_DELAY));
            refuse_request(request, state, &problem)
        } else if ambiguous {
            let problem = Problem::refused(Reason::BadRequest).with_detail("ambiguous head");
            response::report(&problem)
        } else {
            self.responder.respond(request.map(|body| RequestBody::new(body, state))).await
        };
        // The unread rest of a body would be parsed as the head of the next request.
        let close = ambiguous || state.is_unread();
        let keep_alive = self.limits.borrow().keep_alive;
        if close || *self.stage.borrow() >= Stage::Closing {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        } else if let Some(time) = keep_alive {
            let value = HeaderValue::from_str(&format!("timeout={}", time.as_secs()));
            response.headers_mut().extend(value.ok().map(|value| (KEEP_ALIVE, value)));
        }
        response.map(|body| ResponseBody::new(body, active, charge.flatten()))
    }
}

/// Refuses a request whose body is not read.
fn refuse_request(
    request: Request<Incoming>,
    state: &Arc<ConnectionState>,
    problem: &Problem,
) -> Response<response::Body> {
    drop(request.map(|body| RequestBody::new(body, state)));
    response::report(problem)
}

/// Refuses a connection over a limit, or closes it if many are being refused.
fn refuse(stream: TcpStream, refusals: &Arc<Semaphore>) {
    if let Ok(permit) = Arc::clone(refusals).try_acquire_owned() {
        tokio::spawn(async move {
            let _ = timeout(REFUSAL_TIMEOUT, refuse_connection(stream)).await;
            drop(permit);
        });
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
