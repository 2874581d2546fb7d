//! One attempt at one target.

use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelpass_caller::gateway::{Frame, Message};
use cornelpass_core::events::Events;
use cornelpass_core::fleet::Choice;
use cornelpass_core::fleet::health;
use cornelpass_core::fleet::load::Ticket;
use cornelpass_core::fleet::notice::{Change, MAX_PAUSE, Notice};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::request::{Framing, Request, RetrySafety};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::error::Error;
use cornelpass_target::pool::Lease;
use cornelpass_target::protocol::{Attempt, Classification, Metadata};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

use super::pulse::Pulse;
use super::state::State;

/// Time to open a connection; a round trip between data centres takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time since the last sign of a target within which a request that may not be repeated can be sent
/// on a kept connection. The opening of a new one shows that the target is there.
const ALIVE: Duration = Duration::from_millis(100);

/// Largest body of an idempotent request's answer that is held until it is whole, in bytes.
const HOLD_LIMIT: u64 = 64 * 1024;

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome {
    /// The caller has the whole answer.
    Whole,
    /// The caller has the target's whole answer, which is a failure of its own.
    Passed(StatusCode),
    /// The caller has gone.
    Gone,
    /// The target failed the request with an answer of its own.
    Refused(StatusCode, Box<HeaderMap>, Bytes),
    /// The attempt gave no whole answer.
    Failed {
        /// Reason.
        reason: Reason,
        /// Whether it had an effect.
        run: Execution,
        /// Whether the request reached the target.
        arrived: bool,
    },
}

impl Outcome {
    const fn failed(reason: Reason, run: Execution, arrived: bool) -> Self {
        Self::Failed { reason, run, arrived }
    }

    const fn lost(reason: Reason) -> Self {
        Self::failed(reason, Execution::Unknown, true)
    }

    /// Name in the metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Whole => "answered",
            Self::Gone => "caller_gone",
            Self::Refused(..) | Self::Passed(_) => "failed",
            Self::Failed { run: Execution::NotRun, arrived: true, .. } => "refused",
            Self::Failed { arrived: false, .. } => "unreachable",
            Self::Failed { reason: Reason::DeadlineExceeded, .. } => "late",
            Self::Failed { .. } => "lost",
        }
    }

    /// Whether the target broke the connection after it had the request.
    #[must_use]
    pub const fn is_broken(&self) -> bool {
        matches!(self, Self::Failed { reason: Reason::TargetLost, run: Execution::Unknown, .. })
    }

    /// What it says of the target's health.
    #[must_use]
    pub const fn evidence(&self) -> Option<health::Outcome> {
        match self {
            Self::Whole => Some(health::Outcome::Answered),
            Self::Gone => None,
            Self::Refused(..) | Self::Passed(_) => Some(health::Outcome::Failed),
            Self::Failed { arrived: false, .. } => Some(health::Outcome::Unreachable),
            // The request's own time was over, which says nothing of the target.
            Self::Failed { reason: Reason::DeadlineExceeded, .. } => None,
            Self::Failed { reason: Reason::TargetSilent, .. } => Some(health::Outcome::TimedOut),
            Self::Failed { .. } => Some(health::Outcome::Failed),
        }
    }
}

/// An attempt as it was decided.
#[derive(Debug)]
pub struct Sending {
    /// Where the request goes.
    pub choice: Choice,
    /// Its number among the requests in progress.
    pub ticket: Ticket,
    /// Time for the head of the answer.
    pub patience: Duration,
}

/// A connection that a request was sent on, and whether its target is there.
struct Contact {
    lease: Lease,
    pulse: Pulse,
}

/// A target's answer whose head has arrived.
struct Arrival {
    contact: Contact,
    metadata: Metadata,
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
}

/// An answer in progress, over all attempts.
pub struct Answer<'a> {
    /// The request.
    pub request: &'a Request,
    /// The request as it is passed on.
    pub message: &'a Message,
    /// Towards the caller.
    pub frames: &'a Sender<Frame>,
    /// Events that the caller has.
    pub events: Events,
    /// Whether the caller has the head of the answer.
    pub begun: bool,
    /// Version of the weights that the answer is made with.
    pub weights: Option<u64>,
    /// When its parts were given to the caller.
    pub pace: Pace,
}

/// When the parts of an answer were given to the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    first: Option<Instant>,
    last: Option<Instant>,
    /// Longest pause between two parts.
    gap: Duration,
}

impl Pace {
    /// A part was given.
    fn tick(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        let gap = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.gap = self.gap.max(gap);
        self.last = Some(now);
    }

    /// Time from a moment to the first part, and the longest pause, in milliseconds.
    #[must_use]
    pub fn millis(&self, since: Instant) -> (u64, u64) {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let first = self.first.map_or(Duration::ZERO, |at| at.saturating_duration_since(since));
        (ms(first), ms(self.gap))
    }
}

impl Answer<'_> {
    /// Makes an attempt.
    pub async fn attempt(&mut self, state: &State, sending: &Sending) -> Outcome {
        let Sending { choice, ticket, patience } = sending;
        let lease = match self.open(state, choice).await {
            Ok(lease) => lease,
            Err(_) => return Outcome::failed(Reason::TargetLost, Execution::NotRun, false),
        };
        let pulse = state.losses.follow(&choice.target, state.clock.now());
        let mut contact = Contact { lease, pulse };
        let Some(message) = self.build(state, choice) else {
            return Outcome::failed(Reason::BadRequest, Execution::NotRun, false);
        };
        let Contact { lease, pulse } = &mut contact;
        let response = match self.hear(state, pulse, *patience, lease.send(message)).await {
            Ok(Ok(response)) => response,
            Ok(Err(Error::Unsent { .. })) => {
                return Outcome::failed(Reason::TargetLost, Execution::NotRun, false);
            }
            Ok(Err(_)) => return Outcome::lost(Reason::TargetLost),
            Err(outcome) => return outcome,
        };
        state.fleet().record_response(state.clock.now(), &choice.target, *ticket);
        self.read(state, sending, contact, response).await
    }

    /// Waits for something of a target, while it is there and its caller as well.
    async fn hear<T>(
        &self,
        state: &State,
        pulse: &mut Pulse,
        limit: Duration,
        coming: impl Future<Output = T>,
    ) -> Result<T, Outcome> {
        tokio::select! {
            came = timeout(limit, coming) => came.map_err(|_| match self.left(state).is_zero() {
                true => Outcome::lost(Reason::DeadlineExceeded),
                false => Outcome::lost(Reason::TargetLost),
            }),
            () = pulse.ended() => Err(Outcome::lost(Reason::TargetSilent)),
            () = self.frames.closed() => Err(Outcome::Gone),
        }
    }

    /// A connection to the target: a kept one, unless what is sent on it might be lost with it.
    async fn open(&self, state: &State, choice: &Choice) -> Result<Lease, Error> {
        let now = state.clock.now();
        let alive = state.fleet().is_responsive(now, &choice.target, ALIVE);
        let kept = alive || self.request.retry_safety.allows_retry();
        if let Some(lease) = state.pool.lease_idle(now, choice.address).filter(|_| kept) {
            return Ok(lease);
        }
        let left = self.request.time_left(now);
        state.pool.open(choice.address, CONNECT_TIMEOUT.min(left)).await
    }

    fn build(&self, state: &State, choice: &Choice) -> Option<hyper::Request<Full<Bytes>>> {
        let Message { method, path_and_query, headers, body, last_event_id } = self.message;
        let mut message = hyper::Request::builder()
            .method(method.clone())
            .uri(path_and_query.as_str())
            .body(Full::new(body.clone()))
            .ok()?;
        *message.headers_mut() = headers.clone();
        let attempt = Attempt {
            request: self.request,
            target: &choice.target,
            time_left: self.request.time_left(state.clock.now()),
            last_event_id: self.events.last_id().or(*last_event_id),
            weights_version: self.weights,
            fetch_from: choice.fetch.as_ref().map(|fetch| fetch.address),
        };
        state.protocol.encode_attempt(message.headers_mut(), &attempt);
        Some(message)
    }

    async fn read(
        &mut self,
        state: &State,
        sending: &Sending,
        contact: Contact,
        response: Response<Incoming>,
    ) -> Outcome {
        let (parts, body) = response.into_parts();
        let mut metadata = state.protocol.metadata(&parts.headers);
        metadata.closes_connection |=
            self.heed(state, &sending.choice, parts.status, &parts.headers).leaving;
        let classification =
            state.protocol.classify(&self.request.id, parts.status, &parts.headers);
        let (success, weights) = match classification {
            Classification::OtherRequest | Classification::Invalid => {
                return Outcome::lost(Reason::TargetError);
            }
            Classification::NotRun { misdirected } => {
                let reason = if misdirected { Reason::OutOfService } else { Reason::Overloaded };
                return Outcome::failed(reason, Execution::NotRun, true);
            }
            Classification::Response { success, weights_version } => (success, weights_version),
        };
        let mut headers = parts.headers;
        state.protocol.strip_hop_by_hop(&mut headers);
        if !success && self.request.retry_safety.allows_retry() {
            let Contact { lease, mut pulse } = contact;
            let body = match self.hear(state, &mut pulse, self.left(state), body.collect()).await {
                Ok(Ok(body)) => body,
                Ok(Err(_)) => return Outcome::lost(Reason::TargetError),
                Err(outcome) => return outcome,
            };
            state.pool.release(state.clock.now(), lease, idle(&metadata));
            return Outcome::Refused(parts.status, Box::new(headers), body.to_bytes());
        }
        if let Some(prompt) = &self.request.prompt {
            let Choice { target, position, .. } = &sending.choice;
            state.fleet().cache_index().record_prefill(
                state.clock.now(),
                target,
                prompt,
                *position,
            );
        }
        if self.request.framing == Framing::Events && success {
            self.weights = self.weights.or(weights);
            let arrival = Arrival { contact, metadata, status: parts.status, headers, body };
            return self.stream(state, sending, arrival).await;
        }
        if self.begun {
            return Outcome::lost(Reason::TargetError);
        }
        let arrival = Arrival { contact, metadata, status: parts.status, headers, body };
        match self.body(state, arrival).await {
            Outcome::Whole if !success => Outcome::Passed(parts.status),
            outcome => outcome,
        }
    }

    /// Heeds what the head of an answer asks of this router.
    fn heed(
        &self,
        state: &State,
        choice: &Choice,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Notice {
        let notice = state.protocol.notice(status, headers);
        let (id, target) = (&self.request.id, &choice.target);
        match state.fleet().apply_notice(state.clock.now(), target, notice) {
            Change::Unchanged => {}
            Change::Leaving => {
                state.pool.remove(choice.address);
                log!(Code::TargetLeaves, target, id);
            }
            Change::Paused => {
                let pause = notice.pause.unwrap_or_default().min(MAX_PAUSE);
                log!(Code::TargetRests, target, id, rest_ms = pause.as_millis() as u64);
            }
        }
        notice
    }

    fn left(&self, state: &State) -> Duration {
        self.request.time_left(state.clock.now())
    }

    /// Passes a body on; that of an idempotent request only when it is whole.
    async fn body(&mut self, state: &State, arrival: Arrival) -> Outcome {
        use hyper::body::Body as _;
        let Arrival { contact, metadata, status, headers, mut body } = arrival;
        let Contact { lease, mut pulse } = contact;
        let small = body.size_hint().upper().is_some_and(|size| size <= HOLD_LIMIT);
        if small && self.request.retry_safety == RetrySafety::Idempotent {
            let whole = match self.hear(state, &mut pulse, self.left(state), body.collect()).await {
                Ok(Ok(whole)) => whole,
                Ok(Err(_)) => return Outcome::lost(Reason::TargetError),
                Err(outcome) => return outcome,
            };
            state.pool.release(state.clock.now(), lease, idle(&metadata));
            self.begin(state, status, headers).await;
            self.give(Frame::Data(whole.to_bytes())).await;
            self.give(Frame::End).await;
            return Outcome::Whole;
        }
        self.begin(state, status, headers).await;
        loop {
            match self.hear(state, &mut pulse, self.left(state), body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if !self.give(Frame::Data(data)).await {
                        return Outcome::Gone;
                    }
                }
                Ok(None) => break,
                Ok(Some(Err(_))) => return Outcome::lost(Reason::TargetLost),
                Err(outcome) => return outcome,
            }
        }
        state.pool.release(state.clock.now(), lease, idle(&metadata));
        self.give(Frame::End).await;
        Outcome::Whole
    }

    /// Passes whole events on.
    async fn stream(&mut self, state: &State, sending: &Sending, arrival: Arrival) -> Outcome {
        let Arrival { contact, metadata, status, mut headers, mut body } = arrival;
        let Contact { lease, mut pulse } = contact;
        // Whole events of several targets do not have the length that the first one told.
        headers.remove(CONTENT_LENGTH);
        self.begin(state, status, headers).await;
        self.events.discard_incomplete();
        let mut heard = state.clock.now();
        loop {
            let data = match self.hear(state, &mut pulse, self.left(state), body.frame()).await {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                Ok(None) => break,
                Ok(Some(Err(_))) => return Outcome::lost(Reason::TargetLost),
                Err(outcome) => return outcome,
            };
            let now = state.clock.now();
            state.metrics.record_event_gap(now.saturating_duration_since(heard));
            heard = now;
            state.fleet().record_response(now, &sending.choice.target, sending.ticket);
            let Ok(whole) = self.events.push(&data) else {
                return Outcome::lost(Reason::TargetError);
            };
            if whole.is_empty() {
                continue;
            }
            self.pace.tick(now);
            if !self.give(Frame::Data(whole)).await {
                return Outcome::Gone;
            }
        }
        if self.events.is_partial() {
            return Outcome::lost(Reason::TargetError);
        }
        state.pool.release(state.clock.now(), lease, idle(&metadata));
        self.give(Frame::End).await;
        Outcome::Whole
    }

    async fn begin(&mut self, state: &State, status: StatusCode, headers: HeaderMap) {
        if !self.begun {
            self.begun = true;
            if self.request.framing == Framing::Body {
                self.pace.tick(state.clock.now());
            }
            let arrived = self.request.arrived_at;
            state.metrics.record_first_byte(state.clock.now().saturating_duration_since(arrived));
            self.give(Frame::Head(status, Box::new(headers))).await;
        }
    }

    /// Gives the caller a frame; false if it has gone.
    pub async fn give(&self, frame: Frame) -> bool {
        self.frames.send(frame).await.is_ok()
    }
}

/// Time for which a connection may be kept; none at all if it closes.
fn idle(metadata: &Metadata) -> Option<Duration> {
    if metadata.closes_connection { Some(Duration::ZERO) } else { metadata.idle_timeout }
}
