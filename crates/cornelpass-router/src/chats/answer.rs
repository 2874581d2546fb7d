//! The caller's side of an answer.

use std::time::{Duration, Instant};

use cornelpass_caller::event::{Event, Id};
use cornelpass_core::stream::{Action, Assembler};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_wire::frame::{Body, Failure, Frame};
use flume::Sender;
use tokio::time::timeout;

use crate::node::Node;
use crate::retries;

/// Time that a caller may take to read an event.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// What a frame leads to.
pub(super) enum Next {
    /// Read on.
    Read,
    /// Frames are missing: resume.
    Resume,
    /// The caller has the whole answer.
    Whole,
    /// The caller has gone.
    Gone,
    /// The attempt gave no whole answer; none if its end contradicts what was received.
    Failed(Option<Failure>),
}

/// An answer in progress.
pub(super) struct Answer<'a> {
    pub(super) node: &'a Node,
    events: &'a Sender<Event>,
    assembler: Assembler,
    given: String,
    begun: Instant,
    last: Option<Instant>,
    until: Instant,
}

impl<'a> Answer<'a> {
    /// An answer of which the caller has the pieces before an offset.
    pub(super) fn new(
        node: &'a Node,
        events: &'a Sender<Event>,
        from: u32,
        limit: Duration,
    ) -> Self {
        let begun = node.clock.now();
        let (assembler, given, last) = (Assembler::new(from), String::new(), None);
        Self { node, events, assembler, given, begun, last, until: begun + limit }
    }

    /// Time left for the request.
    pub(super) fn left(&self) -> Duration {
        self.until.saturating_duration_since(self.node.clock.now())
    }

    /// Offset of the next piece.
    pub(super) const fn next(&self) -> u32 {
        self.assembler.next_offset()
    }

    /// Text that the caller has from this router.
    pub(super) fn given(&self) -> &str {
        &self.given
    }

    /// Whether the caller has gone.
    pub(super) fn is_gone(&self) -> bool {
        self.events.is_disconnected()
    }

    /// Starts another attempt.
    pub(super) fn attempt(&mut self, attempt: u32) {
        self.assembler.start_attempt(attempt);
    }

    /// Takes a frame of a stream.
    pub(super) async fn take(&mut self, frame: Frame, target: &str, stream: &str) -> Next {
        let attempt = frame.attempt;
        match frame.body {
            Body::Accepted => Next::Read,
            Body::Failed(failure) => match self.assembler.on_failure(attempt) {
                Action::Drop => Next::Read,
                _ => Next::Failed(Some(failure)),
            },
            Body::Text { offset, text } => match self.assembler.on_piece(attempt, offset) {
                Action::Deliver => {
                    let (target, stream) = (target.to_owned(), stream.to_owned());
                    self.deliver(Id { target, stream, offset }, text).await
                }
                Action::Resume { .. } => Next::Resume,
                _ => Next::Read,
            },
            Body::End { total, finish, usage } => {
                match self.assembler.on_end(attempt, total, finish, usage) {
                    Action::Finish { finish, usage } => {
                        let sent = self.send(Event::End { finish, usage }).await;
                        if sent { Next::Whole } else { Next::Gone }
                    }
                    Action::Resume { .. } => Next::Resume,
                    Action::Fail => Next::Failed(None),
                    Action::Deliver | Action::Drop => Next::Read,
                }
            }
        }
    }

    async fn deliver(&mut self, id: Id, text: String) -> Next {
        let now = self.node.clock.now();
        match self.last.replace(now) {
            None => self.node.metrics.record_first_token(now.saturating_duration_since(self.begun)),
            Some(last) => self.node.metrics.record_inter_token(now.saturating_duration_since(last)),
        }
        self.given.push_str(&text);
        if self.send(Event::Piece { id, text }).await { Next::Read } else { Next::Gone }
    }

    async fn send(&self, event: Event) -> bool {
        matches!(timeout(READ_TIMEOUT, self.events.send_async(event)).await, Ok(Ok(())))
    }

    /// Gives the caller the final answer that no whole one comes.
    pub(super) async fn give_up(&self, failure: &Failure) {
        let problem = retries::refuse(self.node, failure);
        if self.next() > 0 {
            log!(Code::AnswerCut, reason = failure.reason.name());
        }
        self.send(Event::Problem(problem)).await;
    }
}
