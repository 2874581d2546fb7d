//! The gateway interface: requests that are passed on as they came, and answers as they come back.
//!
//! The gateway finds the route and the organisation of a request, and hands both to the [`Relay`]
//! behind it. How a deployment names its headers and statuses is up to a [`Codec`].
//!
//! The pieces of an answer come by a channel of `tokio`, which, unlike those of `flume`, tells its
//! sender at once when the caller has gone.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use cornelpass_core::digest;
use cornelpass_core::plan::{Limits, Plan};
use cornelpass_core::refusal::{Reason, Run};
use cornelpass_core::request::{self, Prompt};
use cornelpass_core::route::{Match, Route};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::mpsc::Receiver;

use crate::body::Room;
use crate::flushed::Flushed;
use crate::problem::Problem;
use crate::response::{self, Body};
use crate::service::Service;
use crate::tracked::Upload;

/// Most memory for bodies that arrive at once, in bytes.
const BUFFERED_BYTES: usize = 64 * 1024 * 1024;

/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a caller waits that does not say so.
const USUAL_WAIT: Duration = Duration::from_secs(1);

/// What the head of a request says, in the project's terms.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The caller's number of the request.
    pub id: String,
    /// Key of the caller's organisation.
    pub key: Option<String>,
    /// Time for which the caller waits.
    pub wait: Option<Duration>,
    /// Prompt, if it asks a model.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller has, if it continues a stream.
    pub last_event: Option<u64>,
    /// Headers that are passed on.
    pub headers: HeaderMap,
}

/// How a deployment spells requests and refusals.
pub trait Codec: Send + Sync + 'static {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn read(&self, headers: &HeaderMap) -> Result<Ask, Problem>;

    /// Status that a refusal has.
    fn status(&self, problem: &Problem) -> StatusCode;
}

/// A request as it is passed on.
#[derive(Clone, Debug)]
pub struct Message {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as they came.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// A part of an answer.
#[derive(Debug)]
pub enum Piece {
    /// Its status and headers.
    Head(StatusCode, Box<HeaderMap>),
    /// Bytes of its body.
    Data(Bytes),
    /// Its body is whole.
    End,
    /// Its body is cut short here.
    Cut,
    /// There is no answer.
    Problem(Problem),
}

/// Brings requests to targets.
#[async_trait]
pub trait Relay: Send + Sync + 'static {
    /// Time.
    fn now(&self) -> Instant;

    /// The configuration in force, for which a request of a caller that waits for a time can wait.
    ///
    /// # Errors
    ///
    /// If there is still none.
    async fn plan(&self, wait: Duration) -> Result<Arc<Plan>, Problem>;

    /// Limits on what callers may send.
    fn limits(&self) -> Limits;

    /// Starts a request; dropping the receiver cancels it.
    fn run(&self, request: request::Request, message: Message) -> Receiver<Piece>;

    /// Records a request that was refused before it was started.
    fn refused(&self, id: &str, problem: &Problem);
}

/// The gateway.
pub struct Gateway {
    codec: Arc<dyn Codec>,
    relay: Arc<dyn Relay>,
    room: Room,
}

impl Gateway {
    /// A gateway in front of a relay.
    #[must_use]
    pub fn new(codec: Arc<dyn Codec>, relay: Arc<dyn Relay>) -> Self {
        Self { codec, relay, room: Room::new(BUFFERED_BYTES) }
    }

    async fn accept(
        &self,
        request: Request<Upload>,
        ask: &mut Ask,
    ) -> Result<Receiver<Piece>, Problem> {
        let begun = self.relay.now();
        let (parts, body) = request.into_parts();
        let read = self.codec.read(&parts.headers);
        // The body is read before any refusal, so that the connection can be used again.
        let limit = self.relay.limits().body_bytes;
        let body = self.room.read(body, limit, BODY_TIMEOUT).await?;
        *ask = read?;
        let plan = self.relay.plan(ask.wait.unwrap_or(USUAL_WAIT)).await?;
        let route = find(&plan, &parts.headers, parts.uri.path())?;
        let organisation = organisation(&plan, &route, ask.key.as_deref())?;
        let wait = ask.wait.map_or(route.timeout, |wait| wait.min(route.timeout));
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let digest = content(&parts.method, &target, ask.key.as_deref(), &body);
        let prompt = ask.prompt.take();
        let key = prompt.as_ref().map_or_else(|| digest::key(&ask.id), Prompt::root);
        let service = route.service(key).unwrap_or_default().to_owned();
        let rank = plan.organisations.get(&organisation).and_then(|row| row.rank);
        let request = request::Request {
            id: ask.id.clone(),
            route: route.name.clone(),
            organisation,
            service,
            repeat: route.repeat,
            form: route.form,
            attempts: route.attempts,
            rank: rank.unwrap_or(route.rank),
            prompt,
            digest,
            begun,
            due: begun + wait,
            target_latency: route.target_latency,
            gap: route.gap,
        };
        let headers = std::mem::take(&mut ask.headers);
        let last_event = ask.last_event;
        let message = Message { method: parts.method, target, headers, body, last_event };
        Ok(self.relay.run(request, message))
    }

    fn report(&self, problem: &Problem) -> Response<Body> {
        let mut response = response::report(problem);
        *response.status_mut() = self.codec.status(problem);
        response.headers_mut().remove(RETRY_AFTER);
        if let Some(wait) = problem.retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
        {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}

#[async_trait]
impl Service for Gateway {
    async fn answer(&self, request: Request<Upload>) -> Response<Body> {
        let mut ask = Ask::default();
        let head = request.method() == Method::HEAD;
        let mut pieces = match self.accept(request, &mut ask).await {
            Ok(pieces) => pieces,
            Err(problem) => {
                self.relay.refused(&ask.id, &problem);
                return self.report(&problem);
            }
        };
        match pieces.recv().await {
            Some(Piece::Head(status, headers)) => passed(status, *headers, pieces, head),
            Some(Piece::Problem(problem)) => self.report(&problem),
            Some(_) | None => self.report(&Problem::new(Reason::LinkLost, Run::Unknown)),
        }
    }
}

fn find(plan: &Plan, headers: &HeaderMap, path: &str) -> Result<Arc<Route>, Problem> {
    let refuse = |reason, detail: &str| Err(Problem::refused(reason).detail(detail));
    let mut hosts = headers.get_all(HOST).iter();
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return refuse(Reason::BadRequest, "header host: must stand once");
    };
    let Ok(host) = host.to_str() else {
        return refuse(Reason::BadRequest, "header host: not plain text");
    };
    match plan.routes.find(host, path) {
        Match::Route(route) => Ok(route),
        Match::None => refuse(Reason::NotFound, "no route for the host and path"),
        Match::Ambiguous => refuse(Reason::BadRequest, "path: has a dot segment"),
    }
}

fn organisation(plan: &Plan, route: &Route, key: Option<&str>) -> Result<String, Problem> {
    let known = key.and_then(|key| plan.keys.get(key));
    match known {
        Some(organisation) => Ok(organisation.clone()),
        None if route.anonymous || !plan.keyed => Ok(String::new()),
        None => Err(Problem::refused(Reason::UnknownOrganisation).detail("key: not known")),
    }
}

/// Hash of what a caller asks for, the same when it asks again.
fn content(method: &Method, target: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let head = format!("{method} {target} {}", key.unwrap_or_default());
    digest::pair(digest::content(body), &head)
}

/// An answer whose body follows piece by piece.
fn passed(
    status: StatusCode,
    headers: HeaderMap,
    pieces: Receiver<Piece>,
    head: bool,
) -> Response<Body> {
    let empty = head || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    let body = if empty {
        Empty::new().map_err(|never| match never {}).boxed()
    } else {
        BodyExt::boxed(Flushed::new(StreamBody::new(Box::pin(unfold(Some(pieces), next)))))
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

type Next = Option<(Result<Frame<Bytes>, io::Error>, Option<Receiver<Piece>>)>;

/// The next part of a body; the end of the pieces without [`Piece::End`] is a cut.
async fn next(pieces: Option<Receiver<Piece>>) -> Next {
    let mut pieces = pieces?;
    match pieces.recv().await {
        Some(Piece::Data(data)) => Some((Ok(Frame::data(data)), Some(pieces))),
        Some(Piece::End) => None,
        Some(Piece::Cut | Piece::Head(..) | Piece::Problem(_)) | None => {
            Some((Err(io::Error::from(io::ErrorKind::UnexpectedEof)), None))
        }
    }
}

/// A whole answer.
#[must_use]
pub fn whole(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into());
    let mut response = Response::new(body.map_err(|never| match never {}).boxed());
    *response.status_mut() = status;
    response
}
