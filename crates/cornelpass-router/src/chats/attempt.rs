//! One attempt at one target, over as many connections as it takes.

use std::time::Duration;

use cornelpass_core::refusal::Reason;
use cornelpass_core::retry;
use cornelpass_wire::frame::{Failure, Frame};
use cornelpass_wire::request::{Envelope, Resume, Submission};
use jsonrpsee::core::client::Subscription;
use tokio::time::{Instant, sleep, timeout};

use super::answer::{Answer, Next};
use crate::fleet;
use crate::link::{self, Channel, Link};

/// Most times in a row that a stream is resumed without a piece in between.
const RESUME_LIMIT: u32 = 3;

/// Time without a frame after which the connection is probed.
const IDLE_PERIOD: Duration = Duration::from_millis(300);

/// Time for a process that restarts to be reached again.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two tries to reach it.
const RECONNECT_PERIOD: Duration = Duration::from_millis(50);

/// How an attempt ended.
pub(super) enum Outcome {
    /// The caller has the whole answer.
    Whole,
    /// The caller has gone.
    Gone,
    /// The attempt gave no whole answer.
    Failed(Failure),
}

/// What came of reading a connection.
enum Read {
    Ended(Outcome),
    Broken,
}

/// A stream at one target.
pub(super) struct Attempt<'a> {
    link: &'a Link,
    target: &'a str,
    organisation: String,
    stream: String,
    number: u32,
    /// Whether this router sent the request, and may send it again elsewhere.
    own: bool,
    /// Whether the caller can come back for the stream.
    resumable: bool,
}

impl<'a> Attempt<'a> {
    /// An attempt that is to be sent.
    pub(super) fn new(
        link: &'a Link,
        target: &'a str,
        envelope: &Envelope,
        resumable: bool,
    ) -> Self {
        let (stream, organisation) = (envelope.stream_id(), envelope.organisation.clone());
        let number = envelope.attempt;
        Self { link, target, organisation, stream, number, own: true, resumable }
    }

    /// An attempt that was sent by some router before.
    pub(super) fn resumed(
        link: &'a Link,
        target: &'a str,
        stream: &str,
        organisation: &str,
    ) -> Self {
        let (stream, organisation) = (stream.to_owned(), organisation.to_owned());
        Self { link, target, organisation, stream, number: 1, own: false, resumable: true }
    }

    /// Sends the request and reads its answer.
    pub(super) async fn run(
        &self,
        answer: &mut Answer<'_>,
        channel: Channel,
        submission: Submission,
    ) -> Outcome {
        answer.attempt(self.number);
        let submit = channel.submit(submission);
        let frames = tokio::select! {
            frames = timeout(answer.left(), submit) => frames,
            () = self.link.replaced(channel.generation) => return self.follow(answer).await,
        };
        let mut frames = match frames {
            Ok(Ok(frames)) => frames,
            Ok(Err(error)) => {
                let execution = link::effect(&error);
                let reason = Reason::LinkLost;
                return Outcome::Failed(Failure { reason, execution, retry_after_ms: None });
            }
            Err(_) => return Outcome::Failed(Failure::lost(Reason::DeadlineExceeded)),
        };
        match self.read(answer, &channel, &mut frames).await {
            Read::Ended(outcome) => outcome,
            Read::Broken => {
                answer.node.metrics.count_retry(retry::Reason::LinkLost);
                self.follow(answer).await
            }
        }
    }

    /// Continues the stream on the current connection, and on others after it.
    pub(super) async fn follow(&self, answer: &mut Answer<'_>) -> Outcome {
        answer.attempt(self.number);
        let (mut resumed, mut before) = (0, answer.next());
        while resumed < RESUME_LIMIT {
            let Some(channel) = self.reconnect(answer).await else { break };
            let resume = Resume {
                stream: self.stream.clone(),
                attempt: self.number,
                from_offset: answer.next(),
                organisation: self.organisation.clone(),
            };
            let frames = tokio::select! {
                frames = channel.resume(resume) => frames.ok(),
                () = self.link.replaced(channel.generation) => None,
            };
            if let Some(mut frames) = frames
                && let Read::Ended(outcome) = self.read(answer, &channel, &mut frames).await
            {
                return outcome;
            }
            answer.node.metrics.count_retry(retry::Reason::LinkLost);
            resumed = if answer.next() > before { 0 } else { resumed + 1 };
            before = answer.next();
        }
        Outcome::Failed(Failure::lost(Reason::LinkLost))
    }

    async fn reconnect(&self, answer: &Answer<'_>) -> Option<Channel> {
        let until = Instant::now() + RECONNECT_TIMEOUT.min(answer.left());
        loop {
            if let Ok(channel) = self.link.channel().await {
                return Some(channel);
            }
            if Instant::now() >= until {
                return None;
            }
            sleep(RECONNECT_PERIOD).await;
        }
    }

    /// Reads frames until the attempt ends or its connection is lost.
    ///
    /// A frame that was received is always handled to its end, also while the connection is
    /// replaced, so that no piece is counted and then dropped.
    async fn read(
        &self,
        answer: &mut Answer<'_>,
        channel: &Channel,
        frames: &mut Subscription<Frame>,
    ) -> Read {
        let mut doubted = false;
        loop {
            if answer.left().is_zero() {
                let failure = Failure::lost(Reason::DeadlineExceeded);
                return Read::Ended(Outcome::Failed(failure));
            }
            let frame = tokio::select! {
                frame = timeout(IDLE_PERIOD.min(answer.left()), frames.next()) => frame,
                () = self.link.replaced(channel.generation) => return Read::Broken,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_)) | None) => return Read::Broken,
                Err(_) if answer.is_gone() => return self.gone(answer, channel).await,
                Err(_) => {
                    // Once for each gap; after that the usual heartbeats do.
                    if !std::mem::replace(&mut doubted, true) {
                        self.link.doubt();
                    }
                    continue;
                }
            };
            doubted = false;
            match answer.take(frame, self.target, &self.stream).await {
                Next::Read => {}
                Next::Resume => return Read::Broken,
                Next::Whole => return Read::Ended(Outcome::Whole),
                Next::Gone => return self.gone(answer, channel).await,
                Next::Failed(failure) => return self.failed(answer, channel, failure).await,
            }
        }
    }

    /// The caller has gone; a stream that it can not come back for is cancelled.
    async fn gone(&self, answer: &Answer<'_>, channel: &Channel) -> Read {
        if !self.resumable || answer.next() == 0 {
            channel.cancel(&self.stream).await;
        }
        Read::Ended(Outcome::Gone)
    }

    async fn failed(
        &self,
        answer: &Answer<'_>,
        channel: &Channel,
        failure: Option<Failure>,
    ) -> Read {
        let failure = match failure {
            Some(failure) if failure.reason == Reason::StreamGone && self.own => {
                Failure::lost(Reason::LinkLost)
            }
            Some(failure) => failure,
            None => Failure::lost(Reason::TargetError),
        };
        fleet::reconcile_after(answer.node, channel, failure.reason).await;
        Read::Ended(Outcome::Failed(failure))
    }
}
