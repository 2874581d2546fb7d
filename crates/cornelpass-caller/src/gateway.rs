//! Gateway interface: forwards requests and responses without changing their content.
//!
//! For each request the gateway reads the body, finds the route and the organisation in the gateway
//! configuration, and starts the request at a [`Relay`], which sends it to targets. A [`Codec`]
//! translates the header names and statuses of a deployment.
//!
//! The relay sends the frames of a response through a `tokio` channel. Unlike a `flume` channel, it
//! notifies the sender immediately when the caller has disconnected.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use cornelpass_core::gateway_config::{Config, Limits};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::request::{self, Prompt};
use cornelpass_core::route::{Match, Route};
use cornelpass_core::{clock, digest};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame as BodyFrame;
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::mpsc::Receiver;

use crate::body::{self, Buffered, Reader};
use crate::flush::FlushBeforeError;
use crate::problem::Problem;
use crate::responder::Responder;
use crate::response::{self, Body};
use crate::tracked_body::RequestBody;

/// Time-out that is assumed in the wait for the first configuration if the caller sends none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Decoded head of a request.
#[derive(Clone, Debug, Default)]
pub struct Metadata {
    /// ID of the request, assigned by the caller.
    pub id: String,
    /// API key, which identifies the organisation of the caller.
    pub api_key: Option<String>,
    /// Time-out of the caller for the response.
    pub timeout: Option<Duration>,
    /// Prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// ID of the last event that the caller received, if the request resumes a stream.
    pub last_event_id: Option<u64>,
    /// Headers to forward.
    pub headers: HeaderMap,
}

/// Translation of request heads and refusals for a deployment.
pub trait Codec: Send + Sync + 'static {
    /// Decodes the head of a request.
    ///
    /// # Errors
    ///
    /// A problem that names the invalid header.
    fn decode_head(&self, headers: &HeaderMap) -> Result<Metadata, Problem>;

    /// HTTP status of the report of a problem.
    fn status(&self, problem: &Problem) -> StatusCode;
}

/// HTTP message of a request, as forwarded to a target.
#[derive(Debug)]
pub struct Message {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as received from the caller.
    pub path_and_query: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Whole body, which counts against the memory budget until the message is dropped.
    pub body: Buffered,
    /// ID of the last event that the caller received, if the request resumes a stream.
    pub last_event_id: Option<u64>,
    /// Deadline that the caller set, which may be later than that of the request; none if it is not
    /// known.
    pub caller_deadline: Option<Instant>,
}

/// Frame of a response: either a problem, or a head, data and an end.
#[derive(Debug)]
pub enum Frame {
    /// Status and headers; the first frame of a response.
    Head(StatusCode, Box<HeaderMap>),
    /// Bytes of the body.
    Data(Bytes),
    /// End of a complete body.
    End,
    /// The body is aborted before its end.
    Aborted,
    /// There is no response; the caller receives a problem report.
    Problem(Problem),
}

/// Sends requests to targets.
#[async_trait]
pub trait Relay: Send + Sync + 'static {
    /// Current time.
    fn now(&self) -> Instant;

    /// Returns the active gateway configuration, and waits for one if there is none.
    ///
    /// `caller_timeout` is the time-out of the caller; the relay waits for a part of it.
    ///
    /// # Errors
    ///
    /// A problem if there is no configuration after the wait.
    async fn config(&self, caller_timeout: Duration) -> Result<Arc<Config>, Problem>;

    /// Limits on the requests of callers.
    fn limits(&self) -> Limits;

    /// Starts a request; dropping the receiver cancels it.
    fn start(&self, request: request::Request, message: Message) -> Receiver<Frame>;

    /// Records a request that was refused before it was started.
    fn record_refusal(&self, id: &str, problem: &Problem);
}

/// Handles the requests of the gateway interface.
pub struct Gateway {
    codec: Arc<dyn Codec>,
    relay: Arc<dyn Relay>,
    bodies: Reader,
    body_timeout: Duration,
}

impl Gateway {
    /// Creates a gateway in front of a relay.
    ///
    /// `body_timeout` is the time limit for a body to arrive.
    #[must_use]
    pub fn new(
        codec: Arc<dyn Codec>,
        relay: Arc<dyn Relay>,
        bodies: Reader,
        body_timeout: Duration,
    ) -> Self {
        Self { codec, relay, bodies, body_timeout }
    }

    async fn accept(
        &self,
        request: Request<RequestBody>,
        metadata: &mut Metadata,
    ) -> Result<Receiver<Frame>, Problem> {
        let arrived_at = self.relay.now();
        let (parts, body) = request.into_parts();
        let decoded = self.codec.decode_head(&parts.headers);
        // The body is read before any refusal, because a connection with an unread body cannot be
        // reused.
        let limits =
            body::Limits { bytes: self.relay.limits().body_bytes, time: self.body_timeout };
        let body = self.bodies.read(body, limits).await?;
        *metadata = decoded?;
        let config = self.relay.config(metadata.timeout.unwrap_or(DEFAULT_TIMEOUT)).await?;
        let route = find_route(&config, &parts.headers, parts.uri.path())?;
        let organisation = find_organisation(&config, &route, metadata.api_key.as_deref())?;
        let timeout = metadata.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let path_and_query =
            parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let digest = content_digest(
            &parts.method,
            &path_and_query,
            metadata.api_key.as_deref(),
            body.bytes(),
        );
        let prompt = metadata.prompt.take();
        // Prompts of a model with the same first part go to the same service of the route.
        let share_key = prompt.as_ref().map_or_else(|| digest::key(&metadata.id), Prompt::root_key);
        let service = route.select_service(share_key).unwrap_or_default().to_owned();
        let priority = config.organisations.get(&organisation).and_then(|row| row.priority);
        let request = request::Request {
            id: metadata.id.clone(),
            route: route.name.clone(),
            organisation,
            service,
            retry_safety: route.retry_safety,
            framing: route.framing,
            max_targets: route.max_targets,
            priority: priority.unwrap_or(route.priority),
            prompt,
            digest,
            arrived_at,
            deadline: clock::after(arrived_at, timeout),
            desired_latency: route.desired_latency,
            desired_event_gap: route.desired_event_gap,
        };
        let headers = std::mem::take(&mut metadata.headers);
        let last_event_id = metadata.last_event_id;
        let caller_deadline = metadata.timeout.map(|timeout| clock::after(arrived_at, timeout));
        let message = Message {
            method: parts.method,
            path_and_query,
            headers,
            body,
            last_event_id,
            caller_deadline,
        };
        Ok(self.relay.start(request, message))
    }

    /// Problem report with the status of the codec.
    ///
    /// The `retry-after` header has the delay in seconds with three decimals, not in whole seconds.
    fn report(&self, problem: &Problem) -> Response<Body> {
        let mut response = response::report(problem);
        *response.status_mut() = self.codec.status(problem);
        response.headers_mut().remove(RETRY_AFTER);
        if let Some(delay) = problem.retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64()))
        {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}

#[async_trait]
impl Responder for Gateway {
    async fn respond(&self, request: Request<RequestBody>) -> Response<Body> {
        let mut metadata = Metadata::default();
        let is_head = request.method() == Method::HEAD;
        let mut frames = match self.accept(request, &mut metadata).await {
            Ok(frames) => frames,
            Err(problem) => {
                self.relay.record_refusal(&metadata.id, &problem);
                return self.report(&problem);
            }
        };
        match frames.recv().await {
            Some(Frame::Head(status, headers)) => forward(status, *headers, frames, is_head),
            Some(Frame::Problem(problem)) => self.report(&problem),
            Some(_) | None => self.report(&Problem::new(Reason::LinkLost, Execution::Unknown)),
        }
    }
}

fn find_route(config: &Config, headers: &HeaderMap, path: &str) -> Result<Arc<Route>, Problem> {
    let refuse = |reason, detail: &str| Err(Problem::refused(reason).with_detail(detail));
    let mut hosts = headers.get_all(HOST).iter();
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return refuse(Reason::BadRequest, "header host: must stand once");
    };
    let Ok(host) = host.to_str() else {
        return refuse(Reason::BadRequest, "header host: not plain text");
    };
    match config.routes.find(host, path) {
        Match::Route(route) => Ok(route),
        Match::NotFound => refuse(Reason::NotFound, "no route for the host and path"),
        Match::Ambiguous => refuse(Reason::BadRequest, "path: has a dot segment"),
    }
}

fn find_organisation(
    config: &Config,
    route: &Route,
    api_key: Option<&str>,
) -> Result<String, Problem> {
    let organisation = api_key.and_then(|key| config.keys.get(key));
    match organisation {
        Some(organisation) => Ok(organisation.clone()),
        None if route.anonymous || !config.requires_key => Ok(String::new()),
        None => Err(Problem::refused(Reason::UnknownOrganisation).with_detail("key: not known")),
    }
}

/// Hash of the content of a request; a repeated request has the same hash.
fn content_digest(method: &Method, path_and_query: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let head = format!("{method} {path_and_query} {}", key.unwrap_or_default());
    digest::pair(digest::content(body), &head)
}

/// Response whose body is streamed from the frames of the relay.
fn forward(
    status: StatusCode,
    headers: HeaderMap,
    frames: Receiver<Frame>,
    is_head: bool,
) -> Response<Body> {
    let empty = is_head || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    let body = if empty {
        Empty::new().map_err(|never| match never {}).boxed()
    } else {
        BodyExt::boxed(FlushBeforeError::new(StreamBody::new(Box::pin(unfold(
            Some(frames),
            next_frame,
        )))))
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

type NextFrame = Option<(Result<BodyFrame<Bytes>, io::Error>, Option<Receiver<Frame>>)>;

/// Next frame of a body; a channel that closes without [`Frame::End`] aborts the body.
async fn next_frame(frames: Option<Receiver<Frame>>) -> NextFrame {
    let mut frames = frames?;
    match frames.recv().await {
        Some(Frame::Data(data)) => Some((Ok(BodyFrame::data(data)), Some(frames))),
        Some(Frame::End) => None,
        Some(Frame::Aborted | Frame::Head(..) | Frame::Problem(_)) | None => {
            Some((Err(io::Error::from(io::ErrorKind::UnexpectedEof)), None))
        }
    }
}

/// Response with a complete body.
#[must_use]
pub fn full_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into());
    let mut response = Response::new(body.map_err(|never| match never {}).boxed());
    *response.status_mut() = status;
    response
}
