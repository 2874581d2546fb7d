//! Runs streams: each is read from the engine once and held for whoever follows it.
//!
//! A router that lost its connection continues its stream from an offset on another one. A stream
//! whose connection to the engine broke or fell silent is continued on a new one. A stream that
//! nobody follows for [`FOLLOW_GRACE`], or whose time is up, is cancelled at the engine.

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

use crate::fate::{self, Fate};
use crate::held::{Entry, Follower, Held, RETENTION};
use crate::node::Node;

/// Time that a stream goes on without a follower.
pub const FOLLOW_GRACE: Duration = Duration::from_secs(5);

/// Attempts to continue a stream, one after the other, while the engine answers.
const RESUME_LIMIT: u32 = 3;

/// Attempts to cancel a stream.
const CANCEL_LIMIT: u32 = 3;

/// Time after which the engine has let go of a stream whose cancel it did not confirm.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time of a stream that was found at the engine.
const ADOPTED_TIMEOUT: Duration = Duration::from_secs(300);

/// Status for a stream that the engine does not know.
const NOT_FOUND: u16 = 404;

/// A stream that runs.
struct Stream<'a> {
    node: &'a Node,
    held: &'a Held,
    /// Name at the engine.
    id: String,
    ticket: Ticket,
    deadline: Instant,
}

/// How a stream ended.
struct Ended {
    outcome: Outcome,
    last: Body,
    /// No connection to the engine could be opened.
    unreachable: bool,
}

impl Ended {
    const fn new(outcome: Outcome, last: Body) -> Self {
        Self { outcome, last, unreachable: false }
    }

    const fn failed(outcome: Outcome, failure: Failure) -> Self {
        Self::new(outcome, Body::Failed(failure))
    }
}

/// Name of a stream at the engine, which no other organisation's requests can name.
fn engine_id(organisation: &str, name: &str) -> String {
    format!("{:016x}.{name}", digest::key(organisation))
}

/// Starts a chat request; one that was delivered before is followed instead.
///
/// # Errors
///
/// The refusal.
pub fn submit(node: &Arc<Node>, submission: Submission) -> Result<Follower, Failure> {
    let organisation = &submission.envelope.organisation;
    let name = submission.envelope.stream_id();
    if let Some(held) = node.streams.get(&name) {
        return again(&held, &submission);
    }
    let boot = node.boot();
    let ticket = node.admit(&submission.envelope)?;
    let held = match node.streams.insert(&name, organisation, submission.offset) {
        Entry::New(held) => held,
        Entry::Old(held) => {
            node.gate().release(node.clock.now(), ticket, Outcome::Failed);
            return again(&held, &submission);
        }
    };
    let follower = Follower::new(Arc::clone(&held), submission.offset, false);
    let remaining = Duration::from_millis(u64::from(submission.envelope.remaining_ms));
    let deadline = node.clock.now() + remaining;
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let id = engine_id(&submission.envelope.organisation, &name);
        let stream = Stream { node: &node, held: &held, id, ticket, deadline };
        let ended = stream.generate(&submission, boot).await;
        finish(&node, &held, &name, ticket, ended).await;
    });
    Ok(follower)
}

fn again(held: &Arc<Held>, submission: &Submission) -> Result<Follower, Failure> {
    if held.organisation() != submission.envelope.organisation {
        return Err(Failure::lost(Reason::StreamGone));
    }
    Ok(Follower::new(Arc::clone(held), submission.offset, false))
}

/// Continues a stream, also one that only the engine still knows.
///
/// # Errors
///
/// [`Reason::StreamGone`] if the organisation has no such stream here.
pub async fn resume(node: &Arc<Node>, resume: &Resume) -> Result<Follower, Failure> {
    let gone = || Failure::lost(Reason::StreamGone);
    let follow = |held: Arc<Held>| {
        let own = held.organisation() == resume.organisation;
        if own { Ok(Follower::new(held, resume.from_offset, true)) } else { Err(gone()) }
    };
    if let Some(held) = node.streams.get(&resume.stream) {
        return follow(held);
    }
    let id = engine_id(&resume.organisation, &resume.stream);
    let generation = node.peers.engine.resume(&id, resume.from_offset).await.map_err(|_| gone())?;
    let held = match node.streams.insert(&resume.stream, &resume.organisation, resume.from_offset) {
        Entry::New(held) => held,
        Entry::Old(held) => return follow(held),
    };
    let ticket = adopt(node, &resume.organisation, generation.boot);
    held.accept(node.clock.now());
    let follower = Follower::new(Arc::clone(&held), resume.from_offset, true);
    let (node, name) = (Arc::clone(node), resume.stream.clone());
    tokio::spawn(async move {
        let deadline = node.clock.now() + ADOPTED_TIMEOUT;
        let stream = Stream { node: &node, held: &held, id, ticket, deadline };
        let ended = stream.pump(generation).await;
        finish(&node, &held, &name, ticket, ended).await;
    });
    Ok(follower)
}

/// Counts a stream that runs on the engine already.
fn adopt(node: &Node, organisation: &str, boot: u64) -> Ticket {
    let ask = Request { organisation, digest: UNKNOWN_DIGEST, cost: 1 };
    let now = node.clock.now();
    let mut gate = node.gate();
    node.inherited().claim(now, &mut gate);
    gate.adopt(now, &ask, boot)
}

async fn finish(node: &Node, held: &Held, name: &str, ticket: Ticket, ended: Ended) {
    let now = node.clock.now();
    {
        let mut gate = node.gate();
        gate.release(now, ticket, ended.outcome);
        if ended.unreachable {
            gate.record_disconnect(now);
        }
    }
    node.streams.end(name, held, ended.last);
    tokio::time::sleep(RETENTION).await;
    node.streams.remove(name);
}

/// Ends a stream whose caller has gone.
pub async fn cancel(node: &Node, name: &str) -> bool {
    let Some(held) = node.streams.get(name) else { return false };
    if held.ended() {
        return false;
    }
    node.peers.engine.cancel(&engine_id(held.organisation(), name)).await.is_ok()
}

/// What to do after a connection to the engine ended early.
enum Next {
    Read(Generation),
    Again,
    End(Ended),
}

impl Stream<'_> {
    async fn generate(&self, submission: &Submission, boot: u64) -> Ended {
        let prompt = Prompt {
            stream_id: &self.id,
            model: &submission.model,
            messages: &submission.messages,
            max_tokens: submission.max_tokens,
            generated_text: &submission.generated_text,
            offset: submission.offset,
            priority: 0,
        };
        match self.node.peers.engine.generate(&prompt).await {
            Ok(generation) => {
                let now = self.node.clock.now();
                self.node.gate().acknowledge(now, self.ticket, generation.boot);
                self.held.accept(now);
                self.pump(generation).await
            }
            Err(Error::Status { status, detail }) => {
                log!(Code::Refused, reason = "target-error", status, detail);
                let refused = (400..500).contains(&status);
                let reason = Reason::TargetError;
                let failure = if refused { Failure::refused } else { Failure::lost }(reason);
                Ended::failed(Outcome::Failed, failure)
            }
            Err(error @ Error::Unsent { .. }) => {
                log!(Code::TargetLost, %error);
                let failure = Failure::refused(Reason::TargetLost);
                Ended { unreachable: true, ..Ended::failed(Outcome::Failed, failure) }
            }
            Err(error) => self.lost(&error, boot).await,
        }
    }

    /// Reads the stream to its end, over as many connections as it takes.
    async fn pump(&self, mut generation: Generation) -> Ended {
        let mut broken = 0;
        let mut first = true;
        // One wait over all pieces: begun anew with each piece, its time would never be up.
        let mut unwanted = pin!(self.unwanted());
        loop {
            let event = tokio::select! {
                event = generation.events.recv_async() => event,
                failure = &mut unwanted => return self.cancelled(failure).await,
            };
            let error = match event {
                Ok(Event::Text(text)) => {
                    if std::mem::take(&mut first) {
                        self.node.gate().record_first_token(self.node.clock.now(), self.ticket);
                    }
                    broken = 0;
                    self.held.push(text);
                    continue;
                }
                Ok(Event::End { finish, usage }) => {
                    let last = Body::End { total: self.held.end(), finish, usage };
                    return Ended::new(Outcome::Completed, last);
                }
                Ok(Event::Failed(error)) => error,
                Err(RecvError::Disconnected) => Error::Lost { detail: "closed".to_owned() },
            };
            let boot = generation.boot;
            generation = loop {
                broken += 1;
                match self.reconnect(&error, boot, broken).await {
                    Next::Read(generation) => break generation,
                    Next::Again => {}
                    Next::End(ended) => return ended,
                }
            };
        }
    }

    /// Continues the stream on a new connection, if the engine still has it.
    async fn reconnect(&self, error: &Error, boot: u64, broken: u32) -> Next {
        if broken > RESUME_LIMIT {
            return Next::End(self.lost(error, boot).await);
        }
        match self.node.peers.engine.resume(&self.id, self.held.end()).await {
            Ok(generation) if generation.boot == boot => Next::Read(generation),
            Ok(_) | Err(Error::Unsent { .. } | Error::Status { status: NOT_FOUND, .. }) => {
                Next::End(self.lost(error, boot).await)
            }
            Err(_) => Next::Again,
        }
    }

    /// The stream came to nothing: finds out whether the engine did, too.
    async fn lost(&self, error: &Error, boot: u64) -> Ended {
        let fate = fate::ask(self.node, boot).await;
        log!(Code::TargetLost, %error, ?fate);
        let failure = Failure::lost(Reason::TargetLost);
        if fate == Fate::Alive {
            return self.cancelled(failure).await;
        }
        Ended::failed(Outcome::Lost, failure)
    }

    /// Cancels the stream at the engine, which has let go of it afterwards.
    async fn cancelled(&self, failure: Failure) -> Ended {
        let begun = self.node.clock.now();
        for _ in 0..CANCEL_LIMIT {
            match self.node.peers.engine.cancel(&self.id).await {
                Ok(()) | Err(Error::Unsent { .. } | Error::Status { .. }) => {
                    return Ended::failed(Outcome::Cancelled, failure);
                }
                Err(Error::Lost { .. }) => {}
            }
        }
        let spent = self.node.clock.now().saturating_duration_since(begun);
        tokio::time::sleep(CANCEL_TIMEOUT.saturating_sub(spent)).await;
        Ended::failed(Outcome::Cancelled, failure)
    }

    /// Returns when nobody has followed the stream for the grace time, or its time is up.
    async fn unwanted(&self) -> Failure {
        let left = self.deadline.saturating_duration_since(self.node.clock.now());
        tokio::select! {
            () = unfollowed(self.held) => Failure::lost(Reason::StreamGone),
            () = tokio::time::sleep(left) => Failure::lost(Reason::DeadlineExceeded),
        }
    }
}

async fn unfollowed(held: &Held) {
    loop {
        held.until_followed(false).await;
        tokio::select! {
            () = tokio::time::sleep(FOLLOW_GRACE) => return,
            () = held.until_followed(true) => {}
        }
    }
}
