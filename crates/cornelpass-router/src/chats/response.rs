//! Response to one caller: reassembles the frames of all attempts and sends them as events.

use std::time::{Duration, Instant};

use cornelpass_caller::event::{Event, Id};
use cornelpass_core::clock;
use cornelpass_core::stream::{Action, Assembler};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_wire::frame::{Body, Failure, Frame};
use flume::Sender;
use tokio::time::timeout;

use crate::failures;
use crate::state::State;

/// Time limit on sending one event to a caller that reads slowly.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// What follows a frame.
pub(super) enum Next {
    /// Read the next frame.
    Continue,
    /// Frames are missing: resume the stream.
    Resume,
    /// The complete response was sent to the caller.
    Complete,
    /// The caller has disconnected, or did not read an event within [`SEND_TIMEOUT`].
    CallerLost,
    /// The attempt failed; `None` if its end frame contradicts the pieces that were received.
    Failed(Option<Failure>),
}

/// A response in progress.
pub(super) struct Response<'a> {
    pub(super) state: &'a State,
    events: &'a Sender<Event>,
    assembler: Assembler,
    generated_text: String,
    started_at: Instant,
    last_piece_at: Option<Instant>,
    deadline: Instant,
}

impl<'a> Response<'a> {
    /// Creates a response of which the caller already has all pieces before `next_offset`.
    pub(super) fn new(
        state: &'a State,
        events: &'a Sender<Event>,
        next_offset: u32,
        time_limit: Duration,
    ) -> Self {
        let started_at = state.clock.now();
        let (assembler, generated_text, last_piece_at) =
            (Assembler::new(next_offset), String::new(), None);
        Self {
            state,
            events,
            assembler,
            generated_text,
            started_at,
            last_piece_at,
            deadline: clock::after(started_at, time_limit),
        }
    }

    /// Time until the deadline of the request.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.state.clock.now())
    }

    /// Offset of the next piece.
    pub(super) const fn next_offset(&self) -> u32 {
        self.assembler.next_offset()
    }

    /// Text that this router has sent to the caller.
    pub(super) fn generated_text(&self) -> &str {
        &self.generated_text
    }

    /// Whether the caller has disconnected.
    pub(super) fn is_disconnected(&self) -> bool {
        self.events.is_disconnected()
    }

    /// Starts another attempt; from now on, frames of earlier attempts are dropped.
    pub(super) fn start_attempt(&mut self, number: u32) {
        self.assembler.start_attempt(number);
    }

    /// Handles a frame of a stream at a target, and sends its content to the caller.
    pub(super) async fn handle_frame(&mut self, frame: Frame, target: &str, stream: &str) -> Next {
        let attempt = frame.attempt;
        match frame.body {
            Body::Accepted => Next::Continue,
            Body::Failed(failure) => match self.assembler.on_failure(attempt) {
                Action::Drop => Next::Continue,
                _ => Next::Failed(Some(failure)),
            },
            Body::Text { offset, text } => match self.assembler.on_piece(attempt, offset) {
                Action::Deliver => {
                    let (target, stream) = (target.to_owned(), stream.to_owned());
                    self.deliver(Id { target, stream, offset }, text).await
                }
                Action::Resume { .. } => Next::Resume,
                _ => Next::Continue,
            },
            Body::End { total, finish, usage } => {
                match self.assembler.on_end(attempt, total, finish, usage) {
                    Action::Finish { finish, usage } => {
                        let is_sent = self.send(Event::End { finish, usage }).await;
                        if is_sent { Next::Complete } else { Next::CallerLost }
                    }
                    Action::Resume { .. } => Next::Resume,
                    Action::Fail => Next::Failed(None),
                    Action::Deliver | Action::Drop => Next::Continue,
                }
            }
        }
    }

    /// Sends a piece to the caller, and records the time to the first piece or between pieces.
    async fn deliver(&mut self, id: Id, text: String) -> Next {
        let now = self.state.clock.now();
        match self.last_piece_at.replace(now) {
            None => self
                .state
                .metrics
                .record_first_token(now.saturating_duration_since(self.started_at)),
            Some(last_piece_at) => {
                self.state.metrics.record_inter_token(now.saturating_duration_since(last_piece_at))
            }
        }
        self.generated_text.push_str(&text);
        if self.send(Event::Piece { id, text }).await { Next::Continue } else { Next::CallerLost }
    }

    /// Sends an event; false if the caller has disconnected or did not read it in time.
    async fn send(&self, event: Event) -> bool {
        matches!(timeout(SEND_TIMEOUT, self.events.send_async(event)).await, Ok(Ok(())))
    }

    /// Ends the response with a problem, after the pieces that were sent so far.
    pub(super) async fn fail(&self, failure: &Failure) {
        let problem = failures::refuse(self.state, failure);
        if self.next_offset() > 0 {
            log!(Code::AnswerCut, reason = failure.reason.name());
        }
        self.send(Event::Problem(problem)).await;
    }
}
