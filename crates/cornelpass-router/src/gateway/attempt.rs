//! One attempt at a request at one target, and the delivery of the response to the caller.
//!
//! An attempt sends the request, classifies the response, and forwards it as it arrives. A small
//! response to an idempotent request is forwarded only when it is complete. An attempt ends early
//! if the target loses its requests by a silent failure or a restart ([`super::silence`]), or if
//! the caller disconnects. The [`Outcome`] states whether the request may have run and what the
//! attempt shows about the target's health. [`super::relay`] decides whether another attempt
//! follows.

mod buffer;
mod error_response;
mod head;
mod outcome;
mod repeated;
mod timing;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelpass_caller::gateway::{Frame, Message};
use cornelpass_core::events::Events;
use cornelpass_core::fleet::Choice;
use cornelpass_core::fleet::load::Ticket;
use cornelpass_core::fleet::notice::{Change, MAX_PAUSE, Notice};
use cornelpass_core::history::History;
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::request::{Framing, Request, RetrySafety};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::connection::{Obstacle, Unopened};
use cornelpass_target::pool::PooledConnection;
use cornelpass_target::protocol::{Attempt, Classification, Metadata};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

pub use self::outcome::{CrashEvidence, Outcome};
pub use self::timing::Timing;
use super::silence::Watch;
use super::state::State;
use super::{contact, rate_limit, slow_start};

/// Limits the time to open a connection; a round trip between data centres takes a few
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum size of the body of a successful response that is buffered until it is complete, in
/// bytes.
///
/// These responses are buffered only for idempotent requests, so that another attempt can follow if
/// the body ends early.
const BUFFERED_BODY_LIMIT_BYTES: usize = 64 * 1024;

/// Chosen target and parameters of one attempt.
#[derive(Debug)]
pub struct Dispatch {
    /// Target of the attempt.
    pub choice: Choice,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Ticket of the request among the requests in progress at the target.
    pub ticket: Ticket,
    /// History with this attempt, if the attempt may be given up for another target.
    pub switch: Option<History>,
}

/// Connection that carries an attempt, with a watch for the loss of its request by a silent failure
/// or a restart of the target.
struct WatchedConnection {
    pooled: PooledConnection,
    watch: Watch,
}

/// Response of a target whose head has arrived.
struct TargetResponse {
    connection: WatchedConnection,
    metadata: Metadata,
    /// Whether the response has no length and ends with its connection.
    until_close: bool,
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
}

/// Delivery of a response to its caller, over all attempts at the request.
pub struct Delivery<'a> {
    /// Request of the caller.
    pub request: &'a Request,
    /// HTTP message to forward.
    pub message: &'a Message,
    /// Channel to the caller.
    pub frames: &'a Sender<Frame>,
    /// Events that the caller has received.
    pub events: Events,
    /// Status of the response, once its head has been sent to the caller.
    pub sent_status: Option<StatusCode>,
    /// Version of the model weights that generate the response, once it is known.
    pub weights_version: Option<u64>,
    /// Times at which chunks of the response were sent to the caller.
    pub timing: Timing,
}

impl Delivery<'_> {
    /// Makes an attempt and forwards the response to the caller.
    pub async fn run_attempt(&mut self, state: &Arc<State>, dispatch: &Dispatch) -> Outcome {
        let Dispatch { choice, ticket, .. } = dispatch;
        let tried_at = state.clock.now();
        let pooled = match self.take_connection(state, choice).await {
            Ok(pooled) => pooled,
            Err(unopened) => {
                // A request without time left gives the target none to accept the connection.
                let obstacle = match self.time_left(state).is_zero() {
                    true => Obstacle::Other,
                    false => unopened.obstacle,
                };
                contact::record_unopened(state, &choice.target, tried_at, obstacle);
                return self.unsent(state);
            }
        };
        if self.is_reset(state, choice, &pooled).await {
            state.record_reset(&choice.target);
            return Outcome::Reset;
        }
        let watch = state.losses.watch(&choice.target, state.clock.now());
        let mut connection = WatchedConnection { pooled, watch };
        let Some(message) = self.build_message(state, choice) else {
            return Outcome::failed(Reason::BadRequest, Execution::NotRun, false);
        };
        if self.time_left(state).is_zero() {
            return self.unsent(state);
        }
        let response = match self.receive_head(state, dispatch, &mut connection, message).await {
            Ok(response) => response,
            Err(outcome) if connection.pooled.seal_unsent() => return outcome.into_unsent(),
            Err(outcome) => return outcome,
        };
        state.fleet().record_response(state.clock.now(), &choice.target, *ticket);
        self.receive_response(state, dispatch, connection, response).await
    }

    /// Outcome of an attempt of which no byte was sent: because the time of the request is over, or
    /// because there is no connection to the target.
    fn unsent(&self, state: &State) -> Outcome {
        let reason = match self.time_left(state).is_zero() {
            true => Reason::DeadlineExceeded,
            false => Reason::TargetLost,
        };
        Outcome::failed(reason, Execution::NotRun, false)
    }

    /// Waits for the result of an operation on the connection to the target.
    ///
    /// Returns an outcome instead if the time limit passes, the target loses the request by a
    /// silent failure or a restart, the process is about to end, or the caller disconnects.
    async fn wait_for<T>(
        &self,
        state: &State,
        watch: &mut Watch,
        limit: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Outcome> {
        // A time-out of zero does not end an operation that is always ready, such as the next read
        // from a target that sends without end.
        if limit.is_zero() {
            return Err(Outcome::lost(Reason::DeadlineExceeded));
        }
        tokio::select! {
            result = timeout(limit, future) =>
                result.map_err(|_| match self.time_left(state).is_zero() {
                    true => Outcome::lost(Reason::DeadlineExceeded),
                    false => Outcome::lost(Reason::TargetLost),
                }),
            () = watch.wait_until_lost() => Err(Outcome::lost(Reason::TargetSilent)),
            () = state.wait_until_ending() => Err(Outcome::lost(Reason::Draining)),
            () = self.frames.closed() => Err(Outcome::CallerDisconnected),
        }
    }

    /// Takes a connection to the target from the pool, an idle one if possible.
    ///
    /// A request that is sent on an idle connection is lost if that connection has failed
    /// meanwhile. So an idle one is used only if the request may be repeated, or if the target
    /// responded recently and had no recent failures. Otherwise a new one is opened, and the idle
    /// one is kept for a request that may be repeated.
    async fn take_connection(
        &self,
        state: &State,
        choice: &Choice,
    ) -> Result<PooledConnection, Unopened> {
        let now = state.clock.now();
        let age = state.resets().response_age(now, &choice.target);
        let responsive = state.fleet().is_responsive(now, &choice.target, age);
        let may_use_idle = responsive || self.request.retry_safety.allows_retry();
        if may_use_idle && let Some(pooled) = state.pool.take_idle(now, choice.address) {
            return Ok(pooled);
        }
        let time_left = self.request.time_left(now);
        state.pool.open(choice.address, CONNECT_TIMEOUT.min(time_left)).await
    }

    fn build_message(&self, state: &State, choice: &Choice) -> Option<hyper::Request<Full<Bytes>>> {
        let Message { method, path_and_query, headers, body, last_event_id, .. } = self.message;
        let mut message = hyper::Request::builder()
            .method(method.clone())
            .uri(path_and_query.as_str())
            .body(Full::new(body.bytes().clone()))
            .ok()?;
        *message.headers_mut() = headers.clone();
        let attempt = Attempt {
            request: self.request,
            target: &choice.target,
            time_left: self.request.time_left(state.clock.now()),
            last_event_id: self.events.last_id().or(*last_event_id),
            weights_version: self.weights_version,
            fetch_from: choice.fetch.as_ref().map(|fetch| fetch.address),
            urgency: choice.urgency,
        };
        state.protocol.encode_attempt(message.headers_mut(), &attempt);
        Some(message)
    }

    /// Classifies a response by its head, and forwards it if it is a response to the request.
    ///
    /// An error response to a request that may be repeated is returned in the outcome instead,
    /// because another target may respond without an error.
    async fn receive_response(
        &mut self,
        state: &State,
        dispatch: &Dispatch,
        connection: WatchedConnection,
        response: Response<Incoming>,
    ) -> Outcome {
        let (parts, body) = response.into_parts();
        let mut metadata = state.protocol.metadata(&parts.headers);
        slow_start::record_load(state, &dispatch.choice.target, metadata.load);
        metadata.closes_connection |=
            self.apply_notice(state, dispatch, parts.status, &parts.headers).leaving;
        let classification =
            state.protocol.classify(&self.request.id, parts.status, &parts.headers);
        rate_limit::record(state, dispatch, classification, &parts.headers);
        let (success, weights_version) = match classification {
            Classification::OtherRequest | Classification::Invalid => {
                return Outcome::lost(Reason::TargetError);
            }
            // Perhaps an earlier refusal, which the target has sent once more.
            Classification::NotRun { identified: false, .. } if connection.pooled.reused => {
                return Outcome::lost(Reason::TargetError);
            }
            Classification::NotRun { misdirected, .. } => {
                let reason = if misdirected { Reason::OutOfService } else { Reason::Overloaded };
                return Outcome::failed(reason, Execution::NotRun, true);
            }
            Classification::Response { success, weights_version } => (success, weights_version),
        };
        if success {
            slow_start::record_first_response(state, self.request, dispatch);
        }
        let mut headers = parts.headers;
        let until_close =
            !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING);
        state.protocol.strip_hop_by_hop(&mut headers);
        let status = parts.status;
        let response = TargetResponse { connection, metadata, until_close, status, headers, body };
        if !success && self.request.retry_safety.allows_retry() {
            return self.collect_error(state, response).await;
        }
        if self.sent_status.is_some_and(|sent_status| sent_status != status) {
            // Not the rest of the response of which the caller has the head.
            return Outcome::lost(Reason::TargetError);
        }
        if let Some(prompt) = &self.request.prompt {
            let Choice { target, position, .. } = &dispatch.choice;
            state.fleet().cache_index().record_prefill(
                state.clock.now(),
                target,
                prompt,
                *position,
            );
        }
        if self.request.framing == Framing::Events && success {
            self.weights_version = self.weights_version.or(weights_version);
            return self.forward_events(state, dispatch, response).await;
        }
        if self.sent_status.is_some() {
            // The caller has the head of an earlier response, which this one cannot continue.
            return Outcome::lost(Reason::TargetError);
        }
        match self.forward_body(state, response).await {
            Outcome::Complete { .. } if !success => Outcome::ErrorForwarded(status),
            outcome => outcome,
        }
    }

    /// Applies the notice of the target in the head of a response: a departure, a pause or a
    /// cold time.
    fn apply_notice(
        &self,
        state: &State,
        Dispatch { choice, ticket, .. }: &Dispatch,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Notice {
        let notice = state.protocol.notice(status, headers);
        let (id, target) = (&self.request.id, &choice.target);
        let change = state.fleet().apply_notice(state.clock.now(), target, notice);
        if let Some(left) = notice.cold_left {
            contact::record_cold_statement(state, target, *ticket, left);
        }
        match change {
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

    fn time_left(&self, state: &State) -> Duration {
        self.request.time_left(state.clock.now())
    }

    /// Forwards a response whose body is not parsed as events.
    ///
    /// The response to an idempotent request is forwarded only after its body is complete, if the
    /// body is small enough to be buffered.
    async fn forward_body(&mut self, state: &State, response: TargetResponse) -> Outcome {
        use hyper::body::Body as _;
        let TargetResponse { connection, metadata, until_close, status, headers, mut body } =
            response;
        let WatchedConnection { pooled, mut watch } = connection;
        let limit = BUFFERED_BODY_LIMIT_BYTES;
        let small = body.size_hint().upper().is_some_and(|size| size <= limit as u64);
        if small && self.request.retry_safety == RetrySafety::Idempotent {
            let collected = buffer::collect(body, limit);
            let time_left = self.time_left(state);
            let complete = match self.wait_for(state, &mut watch, time_left, collected).await {
                Ok(Some(complete)) => complete,
                Ok(None) => return Outcome::lost(Reason::TargetError),
                Err(outcome) => return outcome,
            };
            state.pool.release(state.clock.now(), pooled, metadata.reuse_timeout());
            self.send_head(state, status, headers).await;
            let data = state.client_memory.charge_response(complete);
            self.send_frame(Frame::Data(data)).await;
            self.send_frame(Frame::End).await;
            return Outcome::Complete { until_close };
        }
        self.send_head(state, status, headers).await;
        loop {
            match self.wait_for(state, &mut watch, self.time_left(state), body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if !self.send_frame(Frame::Data(data)).await {
                        return Outcome::CallerDisconnected;
                    }
                }
                Ok(None) => break,
                Ok(Some(Err(_))) => return Outcome::lost(Reason::TargetLost),
                Err(outcome) => return outcome,
            }
        }
        state.pool.release(state.clock.now(), pooled, metadata.reuse_timeout());
        self.send_frame(Frame::End).await;
        Outcome::Complete { until_close }
    }

    /// Forwards the complete events of a stream.
    async fn forward_events(
        &mut self,
        state: &State,
        dispatch: &Dispatch,
        response: TargetResponse,
    ) -> Outcome {
        let TargetResponse { connection, metadata, until_close, status, mut headers, mut body } =
            response;
        let WatchedConnection { pooled, mut watch } = connection;
        // The stream may continue at another target with events of another length. The content
        // length of the first target would then be wrong.
        headers.remove(CONTENT_LENGTH);
        self.send_head(state, status, headers).await;
        self.events.discard_incomplete();
        let mut arriving = state.client_memory.start_response();
        let mut last_data_at = state.clock.now();
        loop {
            let data =
                match self.wait_for(state, &mut watch, self.time_left(state), body.frame()).await {
                    Ok(Some(Ok(frame))) => match frame.into_data() {
                        Ok(data) => data,
                        Err(_) => continue,
                    },
                    Ok(None) => break,
                    Ok(Some(Err(_))) => return Outcome::lost(Reason::TargetLost),
                    Err(outcome) => return outcome,
                };
            let now = state.clock.now();
            state.metrics.record_event_gap(now.saturating_duration_since(last_data_at));
            last_data_at = now;
            state.fleet().record_response(now, &dispatch.choice.target, dispatch.ticket);
            let Ok(complete) = self.events.push(&data) else {
                return Outcome::lost(Reason::TargetError);
            };
            if !buffer::resize(state, &mut arriving, self.events.buffer_capacity()) {
                return Outcome::lost(Reason::TargetError);
            }
            if complete.is_empty() {
                continue;
            }
            self.timing.record_chunk(now);
            let complete = state.client_memory.charge_response(complete);
            if !self.send_frame(Frame::Data(complete)).await {
                return Outcome::CallerDisconnected;
            }
        }
        if self.events.is_partial() {
            return Outcome::lost(Reason::TargetError);
        }
        state.pool.release(state.clock.now(), pooled, metadata.reuse_timeout());
        self.send_frame(Frame::End).await;
        Outcome::Complete { until_close }
    }

    /// Sends the head of the response to the caller, unless an earlier attempt has sent it.
    async fn send_head(&mut self, state: &State, status: StatusCode, headers: HeaderMap) {
        if self.sent_status.is_none() {
            self.sent_status = Some(status);
            if self.request.framing == Framing::Body {
                self.timing.record_chunk(state.clock.now());
            }
            let arrived_at = self.request.arrived_at;
            state
                .metrics
                .record_first_byte(state.clock.now().saturating_duration_since(arrived_at));
            self.send_frame(Frame::Head(status, Box::new(headers))).await;
        }
    }

    /// Sends a frame to the caller; returns false if the caller has disconnected.
    pub async fn send_frame(&self, frame: Frame) -> bool {
        self.frames.send(frame).await.is_ok()
    }
}
