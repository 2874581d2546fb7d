//! One attempt at one target.
//!
//! When the connection to the sidecar is lost, or frames are missing, the stream of the attempt is
//! resumed on the current connection. So one attempt can use several connections.

use std::time::Duration;

use cornelpass_core::refusal::Reason;
use cornelpass_core::retry;
use cornelpass_wire::frame::{Failure, Frame};
use cornelpass_wire::request::{Envelope, Resume, Submission};
use jsonrpsee::core::client::Subscription;
use tokio::time::{Instant, sleep, timeout};

use super::response::{Next, Response};
use crate::link::{self, Connection, Link};
use crate::sidecars;

/// Maximum number of consecutive times that a stream is resumed without receiving a piece.
const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 3;

/// Time without a frame after which a heartbeat is requested, to check the connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit on reconnecting to a sidecar, which may be restarting.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two tries to reconnect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// Result of an attempt.
pub(super) enum Outcome {
    /// The complete response was sent to the caller.
    Complete,
    /// The caller has disconnected, or did not read an event in time.
    CallerLost,
    /// The attempt gave no complete response.
    Failed(Failure),
}

/// Result of reading the frames of one subscription.
enum ReadOutcome {
    /// The attempt has ended.
    Ended(Outcome),
    /// The connection was lost or frames are missing: the stream must be resumed.
    Interrupted,
}

/// A stream at one target.
pub(super) struct Attempt<'a> {
    link: &'a Link,
    target: &'a str,
    organisation: String,
    stream_id: String,
    number: u32,
    /// Whether this router sent the request, and so can also send it to another target.
    is_own: bool,
    /// Whether the caller can reconnect and resume the stream.
    is_resumable: bool,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt that is not sent yet.
    pub(super) fn new(
        link: &'a Link,
        target: &'a str,
        envelope: &Envelope,
        is_resumable: bool,
    ) -> Self {
        let (stream_id, organisation) = (envelope.stream_id(), envelope.organisation.clone());
        let number = envelope.attempt;
        Self { link, target, organisation, stream_id, number, is_own: true, is_resumable }
    }

    /// Creates an attempt that this or another router sent for an earlier request of the caller.
    pub(super) fn for_existing_stream(
        link: &'a Link,
        target: &'a str,
        stream_id: &str,
        organisation: &str,
    ) -> Self {
        let (stream_id, organisation) = (stream_id.to_owned(), organisation.to_owned());
        // The number need not be the original one: the sidecar marks the frames of a resumed stream
        // with the number in the request to resume.
        Self { link, target, organisation, stream_id, number: 1, is_own: false, is_resumable: true }
    }

    /// Sends the request and reads its response.
    pub(super) async fn run(
        &self,
        response: &mut Response<'_>,
        connection: Connection,
        submission: Submission,
    ) -> Outcome {
        response.start_attempt(self.number);
        let submit = connection.submit(submission);
        let frames = tokio::select! {
            frames = timeout(response.time_left(), submit) => frames,
            () = self.link.wait_until_replaced(connection.generation) =>
                return self.resume(response).await,
        };
        let mut frames = match frames {
            Ok(Ok(frames)) => frames,
            Ok(Err(error)) => {
                let execution = link::execution_after(&error);
                let reason = Reason::LinkLost;
                return Outcome::Failed(Failure { reason, execution, retry_after_ms: None });
            }
            Err(_) => return Outcome::Failed(Failure::lost(Reason::DeadlineExceeded)),
        };
        match self.read(response, &connection, &mut frames).await {
            ReadOutcome::Ended(outcome) => outcome,
            ReadOutcome::Interrupted => {
                response.state.metrics.count_retry(retry::Reason::LinkLost);
                self.resume(response).await
            }
        }
    }

    /// Resumes the stream on the current connection, and on later ones if that one is lost too.
    pub(super) async fn resume(&self, response: &mut Response<'_>) -> Outcome {
        response.start_attempt(self.number);
        let (mut resumes_without_progress, mut previous_offset) = (0, response.next_offset());
        while resumes_without_progress < MAX_RESUMES_WITHOUT_PROGRESS {
            let Some(connection) = self.reconnect(response).await else { break };
            let resume = Resume {
                stream: self.stream_id.clone(),
                attempt: self.number,
                from_offset: response.next_offset(),
                organisation: self.organisation.clone(),
            };
            let frames = tokio::select! {
                frames = connection.resume(resume) => frames.ok(),
                () = self.link.wait_until_replaced(connection.generation) => None,
            };
            if let Some(mut frames) = frames
                && let ReadOutcome::Ended(outcome) =
                    self.read(response, &connection, &mut frames).await
            {
                return outcome;
            }
            response.state.metrics.count_retry(retry::Reason::LinkLost);
            resumes_without_progress = if response.next_offset() > previous_offset {
                0
            } else {
                resumes_without_progress + 1
            };
            previous_offset = response.next_offset();
        }
        Outcome::Failed(Failure::lost(Reason::LinkLost))
    }

    /// Opens a connection, with further tries for a limited time if the sidecar is unreachable.
    async fn reconnect(&self, response: &Response<'_>) -> Option<Connection> {
        let deadline = Instant::now() + RECONNECT_TIMEOUT.min(response.time_left());
        loop {
            if let Ok(connection) = self.link.connection().await {
                return Some(connection);
            }
            if Instant::now() >= deadline {
                return None;
            }
            sleep(RECONNECT_INTERVAL).await;
        }
    }

    /// Reads frames until the attempt ends or must be resumed.
    ///
    /// A received frame is always handled completely, even if the connection is replaced meanwhile.
    /// Otherwise a piece could be counted as delivered and then be dropped.
    async fn read(
        &self,
        response: &mut Response<'_>,
        connection: &Connection,
        frames: &mut Subscription<Frame>,
    ) -> ReadOutcome {
        let mut is_heartbeat_requested = false;
        loop {
            if response.time_left().is_zero() {
                let failure = Failure::lost(Reason::DeadlineExceeded);
                return ReadOutcome::Ended(Outcome::Failed(failure));
            }
            let frame = tokio::select! {
                frame = timeout(IDLE_TIMEOUT.min(response.time_left()), frames.next()) => frame,
                () = self.link.wait_until_replaced(connection.generation) =>
                    return ReadOutcome::Interrupted,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_)) | None) => return ReadOutcome::Interrupted,
                Err(_) if response.is_disconnected() => {
                    return self.end_without_caller(response, connection).await;
                }
                Err(_) => {
                    // Only once in each gap between frames: after the first request, the regular
                    // heartbeats check the connection.
                    if !std::mem::replace(&mut is_heartbeat_requested, true) {
                        self.link.request_heartbeat();
                    }
                    continue;
                }
            };
            is_heartbeat_requested = false;
            match response.handle_frame(frame, self.target, &self.stream_id).await {
                Next::Continue => {}
                Next::Resume => return ReadOutcome::Interrupted,
                Next::Complete => return ReadOutcome::Ended(Outcome::Complete),
                Next::CallerLost => return self.end_without_caller(response, connection).await,
                Next::Failed(failure) => {
                    return self.end_failed(response, connection, failure).await;
                }
            }
        }
    }

    /// Ends the attempt after the caller has disconnected or did not read an event in time, and
    /// cancels the stream if the caller cannot resume it: if the response is not streamed, or no
    /// piece has arrived, so that the caller has no event ID to resume from.
    async fn end_without_caller(
        &self,
        response: &Response<'_>,
        connection: &Connection,
    ) -> ReadOutcome {
        if !self.is_resumable || response.next_offset() == 0 {
            connection.cancel(&self.stream_id).await;
        }
        ReadOutcome::Ended(Outcome::CallerLost)
    }

    /// Ends the attempt with a failure; `None` if the end frame contradicts the received pieces.
    ///
    /// A stream that the sidecar no longer knows counts as a lost link if this router sent the
    /// request, because the router can then send the request to another target.
    async fn end_failed(
        &self,
        response: &Response<'_>,
        connection: &Connection,
        failure: Option<Failure>,
    ) -> ReadOutcome {
        let failure = match failure {
            Some(failure) if failure.reason == Reason::StreamGone && self.is_own => {
                Failure::lost(Reason::LinkLost)
            }
            Some(failure) => failure,
            None => Failure::lost(Reason::TargetError),
        };
        sidecars::sync_config_after_refusal(response.state, connection, failure.reason).await;
        ReadOutcome::Ended(Outcome::Failed(failure))
    }
}
