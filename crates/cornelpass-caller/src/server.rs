//! HTTP server for callers.
//!
//! On `hyper` in place of `tiny_http`: it bounds the time in which headers arrive, their number
//! and size, and writes each event as it comes, without a thread for each connection.

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

use crate::handler::Handler;
use crate::phase::Phase;
use crate::problem::{self, Problem};
use crate::request;
use crate::response;
use crate::route::Router;
use crate::service::Service;
use crate::stalled::Guarded;
use crate::tracked::{Tracked, Upload};

/// Most connections at once that are told that there is no place for them.
const TURNED_AWAY_LIMIT: usize = 64;

/// Time in which a connection is told so.
const TURN_AWAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait after a connection could not be accepted, which happens when files run out.
const ACCEPT_WAIT: Duration = Duration::from_millis(50);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Smallest buffer of a connection that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8192;

/// Limits on what callers may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Bytes of all bodies that arrive at once.
    pub buffered_bytes: usize,
    /// Most headers.
    pub headers: usize,
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Time for the headers to arrive, from their first byte.
    pub header_timeout: Duration,
    /// Time for which a connection may wait for its next request.
    pub idle_timeout: Duration,
    /// Time that callers are told to keep an idle connection for, if any; shorter than the one
    /// before, so that no request crosses the close.
    pub keep_alive: Option<Duration>,
    /// Time for the body to arrive.
    pub body_timeout: Duration,
    /// Time for which a caller may read nothing of an answer.
    pub read_timeout: Duration,
    /// Most connections.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            buffered_bytes: 64 * 1024 * 1024,
            headers: 64,
            head_bytes: 32 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(5),
            keep_alive: None,
            body_timeout: Duration::from_secs(10),
            read_timeout: Duration::from_secs(30),
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
    /// Requests are taken, and each answer asks its caller to connect elsewhere.
    Closing,
    /// No connections are taken; requests in progress are finished.
    Finishing,
}

/// HTTP server for callers.
pub struct Server {
    service: Arc<dyn Service>,
    limits: watch::Receiver<Limits>,
    stage: watch::Receiver<Stage>,
}

impl Server {
    /// A server of the chat interface over a handler, stopped by stages.
    #[must_use]
    pub fn new(handler: Arc<dyn Handler>, limits: Limits, stage: watch::Receiver<Stage>) -> Self {
        let (_, fixed) = watch::channel(limits);
        Self::over(Arc::new(Router::new(handler, limits)), fixed, stage)
    }

    /// A server of any interface, stopped by stages.
    ///
    /// A change of the limits holds for connections that are opened after it.
    #[must_use]
    pub fn over(
        service: Arc<dyn Service>,
        limits: watch::Receiver<Limits>,
        stage: watch::Receiver<Stage>,
    ) -> Self {
        Self { service, limits, stage }
    }

    /// Accepts connections until the last stage, and returns when all have ended.
    pub async fn run(self, listener: TcpListener) {
        let server = Arc::new(self);
        let places = server.limits.borrow().connections;
        let free = Arc::new(Semaphore::new(places));
        let turned_away = Arc::new(Semaphore::new(TURNED_AWAY_LIMIT));
        let mut stage = server.stage.clone();
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = stage.wait_for(|stage| *stage == Stage::Finishing) => break,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_WAIT).await;
                continue;
            };
            if let Ok(place) = Arc::clone(&free).try_acquire_owned() {
                let server = Arc::clone(&server);
                tokio::spawn(async move {
                    server.connection(stream).await;
                    drop(place);
                });
            } else if let Ok(place) = Arc::clone(&turned_away).try_acquire_owned() {
                tokio::spawn(async move {
                    let _ = timeout(TURN_AWAY_TIMEOUT, turn_away(stream)).await;
                    drop(place);
                });
            }
        }
        drop(listener);
        let all = u32::try_from(places).unwrap_or(u32::MAX);
        let _ = free.acquire_many(all).await;
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (limits, mut stage) = (*self.limits.borrow(), self.stage.clone());
        let phase = Arc::new(Phase::default());
        let io = TokioIo::new(Guarded::new(stream, limits, Arc::clone(&phase)));
        let service = service_fn(move |request| {
            let (server, phase) = (Arc::clone(&self), Arc::clone(&phase));
            async move { Ok::<_, Infallible>(server.answer(request, &phase).await) }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        // The guard of the connection bounds the time of a head, and tells it from an idle wait.
        builder.header_read_timeout(None);
        builder.max_headers(limits.headers).max_buf_size(limits.head_bytes.max(LEAST_BUFFER));
        let mut connection = pin!(builder.serve_connection(io, service));
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stage.wait_for(|stage| *stage == Stage::Finishing) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    async fn answer(&self, request: Request<Incoming>, phase: &Arc<Phase>) -> Response<Tracked> {
        let progress = Phase::begin(phase);
        let ambiguous = phase.is_ambiguous();
        let mut response = if ambiguous {
            let problem = Problem::refused(Reason::BadRequest).detail("ambiguous head");
            response::report(&problem)
        } else {
            self.service.answer(request.map(|body| Upload::new(body, phase))).await
        };
        // What is left of a body would be taken for the next request's head.
        let closes = ambiguous || phase.is_unread();
        if closes || *self.stage.borrow() >= Stage::Closing {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        } else if let Some(time) = self.limits.borrow().keep_alive {
            let value = HeaderValue::from_str(&format!("timeout={}", time.as_secs()));
            response.headers_mut().extend(value.ok().map(|value| (KEEP_ALIVE, value)));
        }
        response.map(|body| Tracked::new(body, progress))
    }
}

/// Tells a caller that there is no place for its connection.
async fn turn_away(mut stream: TcpStream) -> std::io::Result<()> {
    let problem = Problem::refused(Reason::Overloaded)
        .detail("no place for another connection")
        .retry_after(Some(request::RETRY_AFTER));
    let (status, body) = (problem.status(), problem.to_json());
    let answer = format!(
        "HTTP/1.1 {status}\r\ncontent-type: {}\r\nretry-after: {}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        problem::CONTENT_TYPE,
        problem.retry_after_seconds().unwrap_or_default(),
        body.len(),
    );
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    // What the caller has sent is read, since an answer can be lost behind unread bytes.
    let mut unread = [0; 1024];
    while stream.read(&mut unread).await? > 0 {}
    Ok(())
}
