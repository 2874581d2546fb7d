//! Runs streams: reads each stream from the engine once, and buffers it for its readers.
//!
//! A router that has lost its connection resumes its stream from an offset on another connection.
//! If the connection to the engine fails, or no data arrives on it, the stream is resumed on a new
//! connection. A stream without readers for [`UNREAD_TIMEOUT`], or past its deadline, is
//! cancelled at the engine.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_core::admission::{Outcome, Request, Ticket, UNKNOWN_DIGEST};
use cornelpass_core::digest;
use cornelpass_core::refusal::Reason;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::engine::{Event, Generation, Prompt};
use cornelpass_target::error::Error;
use cornelpass_wire::frame::{Body, Failure};
use cornelpass_wire::request::{Resume, Submission};
use flume::RecvError;

use crate::liveness::{self, Liveness};
use crate::sidecar::Sidecar;
use crate::streams::{Buffer, ENDED_RETENTION, Insertion, Reader};

/// Time without a reader after which a stream is cancelled.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of consecutive tries to resume a stream while the engine is reachable; a received
/// piece resets the count.
const RESUME_TRY_LIMIT: u32 = 3;

/// Maximum number of tries to cancel a stream.
const CANCEL_TRY_LIMIT: u32 = 3;

/// Time after the start of the first try to cancel a stream, after which the stream is assumed to
/// have ended at the engine even if no try was confirmed. Until then it counts as load.
const UNCONFIRMED_CANCEL_DELAY: Duration = Duration::from_secs(5);

/// Longest time for which an adopted stream runs.
///
/// An adopted stream was found at the engine and has no buffer in this process; usually an earlier
/// process of the sidecar started it. The deadline of its request is not known here.
const ADOPTED_STREAM_TIMEOUT: Duration = Duration::from_secs(300);

/// HTTP status of the engine's response for a stream that it does not know.
const NOT_FOUND_STATUS: u16 = 404;

/// A stream that is running.
struct Stream<'a> {
    sidecar: &'a Sidecar,
    buffer: &'a Buffer,
    /// ID of the stream at the engine.
    engine_stream_id: String,
    ticket: Ticket,
    deadline: Instant,
}

/// Result of a stream that has ended.
struct Ending {
    outcome: Outcome,
    last_body: Body,
    /// Whether no connection to the engine could be opened.
    unreachable: bool,
}

impl Ending {
    const fn new(outcome: Outcome, last_body: Body) -> Self {
        Self { outcome, last_body, unreachable: false }
    }

    const fn failed(outcome: Outcome, failure: Failure) -> Self {
        Self::new(outcome, Body::Failed(failure))
    }
}

/// ID of a stream at the engine.
///
/// The ID includes a hash of the organisation, so that requests of another organisation cannot
/// refer to the stream.
fn to_engine_id(organisation: &str, stream_id: &str) -> String {
    format!("{:016x}.{stream_id}", digest::key(organisation))
}

/// Starts a chat request, or reads its stream if the same attempt was delivered before.
///
/// # Errors
///
/// The refusal, or [`Reason::StreamGone`] if the stream belongs to another organisation.
pub fn submit(sidecar: &Arc<Sidecar>, submission: Submission) -> Result<Reader, Failure> {
    let organisation = &submission.envelope.organisation;
    let stream_id = submission.envelope.stream_id();
    if let Some(buffer) = sidecar.streams.get(&stream_id) {
        return read_existing(&buffer, &submission);
    }
    // If no response arrives, this number shows whether the engine has restarted since.
    let boot_before = sidecar.boot();
    let ticket = sidecar.admit(&submission.envelope)?;
    let buffer = match sidecar.streams.insert(&stream_id, organisation, submission.offset) {
        Insertion::New(buffer) => buffer,
        // Another delivery of the same attempt was faster.
        Insertion::Existing(buffer) => {
            sidecar.controller().release(sidecar.clock.now(), ticket, Outcome::Failed);
            return read_existing(&buffer, &submission);
        }
    };
    let reader = Reader::new(Arc::clone(&buffer), submission.offset, false);
    let remaining = Duration::from_millis(u64::from(submission.envelope.remaining_ms));
    let deadline = sidecar.clock.now() + remaining;
    let sidecar = Arc::clone(sidecar);
    tokio::spawn(async move {
        let engine_stream_id = to_engine_id(&submission.envelope.organisation, &stream_id);
        let stream =
            Stream { sidecar: &sidecar, buffer: &buffer, engine_stream_id, ticket, deadline };
        let ending = stream.generate(&submission, boot_before).await;
        finish(&sidecar, &buffer, &stream_id, ticket, ending).await;
    });
    Ok(reader)
}

/// Creates a reader of a stream that exists already, if the stream belongs to the organisation of
/// the request.
fn read_existing(buffer: &Arc<Buffer>, submission: &Submission) -> Result<Reader, Failure> {
    if buffer.organisation() != submission.envelope.organisation {
        return Err(Failure::lost(Reason::StreamGone));
    }
    Ok(Reader::new(Arc::clone(buffer), submission.offset, false))
}

/// Resumes a stream; the stream may be one that only the engine still knows.
///
/// # Errors
///
/// [`Reason::StreamGone`] if the organisation has no such stream here.
pub async fn resume(sidecar: &Arc<Sidecar>, resume: &Resume) -> Result<Reader, Failure> {
    let stream_gone = || Failure::lost(Reason::StreamGone);
    let open_reader = |buffer: Arc<Buffer>| {
        let is_owner = buffer.organisation() == resume.organisation;
        if is_owner {
            Ok(Reader::new(buffer, resume.from_offset, true))
        } else {
            Err(stream_gone())
        }
    };
    if let Some(buffer) = sidecar.streams.get(&resume.stream) {
        return open_reader(buffer);
    }
    let engine_stream_id = to_engine_id(&resume.organisation, &resume.stream);
    let generation = sidecar
        .clients
        .engine
        .resume(&engine_stream_id, resume.from_offset)
        .await
        .map_err(|_| stream_gone())?;
    let buffer =
        match sidecar.streams.insert(&resume.stream, &resume.organisation, resume.from_offset) {
            Insertion::New(buffer) => buffer,
            Insertion::Existing(buffer) => return open_reader(buffer),
        };
    let ticket = adopt(sidecar, &resume.organisation, generation.boot);
    buffer.record_accepted(sidecar.clock.now());
    let reader = Reader::new(Arc::clone(&buffer), resume.from_offset, true);
    let (sidecar, stream_id) = (Arc::clone(sidecar), resume.stream.clone());
    tokio::spawn(async move {
        let deadline = sidecar.clock.now() + ADOPTED_STREAM_TIMEOUT;
        let stream =
            Stream { sidecar: &sidecar, buffer: &buffer, engine_stream_id, ticket, deadline };
        let ending = stream.read_to_end(generation).await;
        finish(&sidecar, &buffer, &stream_id, ticket, ending).await;
    });
    Ok(reader)
}

/// Counts a stream that already runs on the engine in the admission controller.
fn adopt(sidecar: &Sidecar, organisation: &str, boot: u64) -> Ticket {
    let request = Request { organisation, digest: UNKNOWN_DIGEST, cost: 1 };
    let now = sidecar.clock.now();
    let mut controller = sidecar.controller();
    sidecar.untracked().remove_resumed(now, &mut controller);
    controller.adopt(now, &request, boot)
}

/// Releases a stream that has ended, and keeps it in memory for [`ENDED_RETENTION`].
async fn finish(
    sidecar: &Sidecar,
    buffer: &Buffer,
    stream_id: &str,
    ticket: Ticket,
    ending: Ending,
) {
    let now = sidecar.clock.now();
    {
        let mut controller = sidecar.controller();
        controller.release(now, ticket, ending.outcome);
        if ending.unreachable {
            controller.record_disconnect(now);
        }
    }
    sidecar.streams.end(stream_id, buffer, ending.last_body);
    tokio::time::sleep(ENDED_RETENTION).await;
    sidecar.streams.remove(stream_id);
}

/// Cancels a stream whose caller has disconnected.
///
/// Returns whether the engine confirmed the cancellation; false if the stream is unknown or has
/// ended.
pub async fn cancel(sidecar: &Sidecar, stream_id: &str) -> bool {
    let Some(buffer) = sidecar.streams.get(stream_id) else { return false };
    if buffer.has_ended() {
        return false;
    }
    sidecar.clients.engine.cancel(&to_engine_id(buffer.organisation(), stream_id)).await.is_ok()
}

/// What to do after a connection to the engine ended early.
enum Next {
    /// Read the stream from the new connection.
    Read(Generation),
    /// Try to resume the stream again.
    Retry,
    /// The stream has ended.
    End(Ending),
}

impl Stream<'_> {
    /// Starts the generation, and reads the stream to its end.
    ///
    /// `boot_before` is the boot number of the engine that was known before the request was sent.
    async fn generate(&self, submission: &Submission, boot_before: u64) -> Ending {
        let prompt = Prompt {
            stream_id: &self.engine_stream_id,
            model: &submission.model,
            messages: &submission.messages,
            max_tokens: submission.max_tokens,
            generated_text: &submission.generated_text,
            offset: submission.offset,
            priority: 0,
        };
        match self.sidecar.clients.engine.generate(&prompt).await {
            Ok(generation) => {
                let now = self.sidecar.clock.now();
                self.sidecar.controller().acknowledge(now, self.ticket, generation.boot);
                self.buffer.record_accepted(now);
                self.read_to_end(generation).await
            }
            Err(Error::Status { status, detail }) => {
                log!(Code::Refused, reason = "target-error", status, detail);
                let is_client_error = (400..500).contains(&status);
                let reason = Reason::TargetError;
                let failure =
                    if is_client_error { Failure::refused } else { Failure::lost }(reason);
                Ending::failed(Outcome::Failed, failure)
            }
            Err(error @ Error::Unsent { .. }) => {
                log!(Code::TargetLost, %error);
                let failure = Failure::refused(Reason::TargetLost);
                Ending { unreachable: true, ..Ending::failed(Outcome::Failed, failure) }
            }
            Err(error) => self.end_lost(&error, boot_before).await,
        }
    }

    /// Reads the stream to its end, and resumes it on a new connection if one fails.
    async fn read_to_end(&self, mut generation: Generation) -> Ending {
        let mut failures = 0;
        let mut awaiting_first_piece = true;
        // One future for the whole stream: if it were created again for each piece, its timers
        // would restart each time and might never expire.
        let mut cancel_reason = pin!(self.cancel_reason());
        loop {
            let event = tokio::select! {
                event = generation.events.recv_async() => event,
                failure = &mut cancel_reason => return self.end_cancelled(failure).await,
            };
            let error = match event {
                Ok(Event::Text(text)) => {
                    if std::mem::take(&mut awaiting_first_piece) {
                        self.sidecar
                            .controller()
                            .record_first_token(self.sidecar.clock.now(), self.ticket);
                    }
                    failures = 0;
                    self.buffer.push(text);
                    continue;
                }
                Ok(Event::End { finish, usage }) => {
                    let last_body = Body::End { total: self.buffer.end_offset(), finish, usage };
                    return Ending::new(Outcome::Completed, last_body);
                }
                Ok(Event::Failed(error)) => error,
                Err(RecvError::Disconnected) => Error::Lost {
                    detail: "connection closed before the end of the stream".to_owned(),
                },
            };
            let boot = generation.boot;
            generation = loop {
                failures += 1;
                match self.reconnect(&error, boot, failures).await {
                    Next::Read(generation) => break generation,
                    Next::Retry => {}
                    Next::End(ending) => return ending,
                }
            };
        }
    }

    /// Resumes the stream on a new connection.
    ///
    /// Ends the stream after [`RESUME_TRY_LIMIT`] consecutive failures, or if the engine is
    /// unreachable, has restarted or no longer has the stream. After any other error, the stream is
    /// to be resumed again.
    async fn reconnect(&self, error: &Error, boot: u64, failures: u32) -> Next {
        if failures > RESUME_TRY_LIMIT {
            return Next::End(self.end_lost(error, boot).await);
        }
        match self
            .sidecar
            .clients
            .engine
            .resume(&self.engine_stream_id, self.buffer.end_offset())
            .await
        {
            Ok(generation) if generation.boot == boot => Next::Read(generation),
            Ok(_) | Err(Error::Unsent { .. } | Error::Status { status: NOT_FOUND_STATUS, .. }) => {
                Next::End(self.end_lost(error, boot).await)
            }
            Err(_) => Next::Retry,
        }
    }

    /// Ends a stream whose connection was lost, after a check whether the engine was lost too.
    async fn end_lost(&self, error: &Error, boot: u64) -> Ending {
        let liveness = liveness::check(self.sidecar, boot).await;
        log!(Code::TargetLost, %error, fate = ?liveness);
        let failure = Failure::lost(Reason::TargetLost);
        if liveness == Liveness::Alive {
            return self.end_cancelled(failure).await;
        }
        Ending::failed(Outcome::Lost, failure)
    }

    /// Cancels the stream at the engine.
    ///
    /// Returns when the engine has responded or is unreachable, and otherwise after
    /// [`UNCONFIRMED_CANCEL_DELAY`]. After that, the stream is assumed to have ended at the engine,
    /// so that its load can be released.
    async fn end_cancelled(&self, failure: Failure) -> Ending {
        let started_at = self.sidecar.clock.now();
        for _ in 0..CANCEL_TRY_LIMIT {
            match self.sidecar.clients.engine.cancel(&self.engine_stream_id).await {
                Ok(()) | Err(Error::Unsent { .. } | Error::Status { .. }) => {
                    return Ending::failed(Outcome::Cancelled, failure);
                }
                Err(Error::Lost { .. }) => {}
            }
        }
        let elapsed = self.sidecar.clock.now().saturating_duration_since(started_at);
        tokio::time::sleep(UNCONFIRMED_CANCEL_DELAY.saturating_sub(elapsed)).await;
        Ending::failed(Outcome::Cancelled, failure)
    }

    /// Returns once the stream must be cancelled, with the failure to report.
    async fn cancel_reason(&self) -> Failure {
        let time_left = self.deadline.saturating_duration_since(self.sidecar.clock.now());
        tokio::select! {
            () = wait_until_abandoned(self.buffer) => Failure::lost(Reason::StreamGone),
            () = tokio::time::sleep(time_left) => Failure::lost(Reason::DeadlineExceeded),
        }
    }
}

/// Returns once the stream has had no reader for [`UNREAD_TIMEOUT`].
async fn wait_until_abandoned(buffer: &Buffer) {
    loop {
        buffer.wait_for_readers(false).await;
        tokio::select! {
            () = tokio::time::sleep(UNREAD_TIMEOUT) => return,
            () = buffer.wait_for_readers(true) => {}
        }
    }
}
