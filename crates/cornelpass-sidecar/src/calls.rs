//! Plain calls; one with an idempotency key runs under a claim, at most once.
//!
//! A connection to the service is opened first, so that a service that is away costs no claim.
//! Then the key is claimed, and the call is sent on that connection, once. Nothing before the
//! claim has an effect. After it the claim is either finished with the answer, released because
//! nothing was sent, or left as it is: the outcome is not known then, and no repeat runs. A
//! process that is paused anywhere between finds its claim as it was, since a claim does not
//! lapse; its deadline is looked at again before the call is sent.
//!
//! Each call runs in a task of its own, which goes on when the router's connection is lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_core::admission::{Outcome, Ticket};
use cornelpass_core::claim::Answer;
use cornelpass_core::refusal::Reason;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_platform::claims::{Claim, StartOutcome};
use cornelpass_target::error::Error;
use cornelpass_target::service::{self, Connection};
use cornelpass_wire::frame::{Failure, Reply};
use cornelpass_wire::request::Call;
use tokio::time::timeout;

use crate::node::Node;
use crate::recorder::Place;

/// Time after which a call whose first run has not ended may be asked for again, in milliseconds.
const IN_PROGRESS_RETRY_MS: u32 = 1_000;

/// Time after which a call that the table could not record may be tried again, in milliseconds.
const STORE_RETRY_MS: u32 = 2_000;

/// Longest time that an answer waits for its record, so that a quick repeat finds it.
const RECORD_TIMEOUT: Duration = Duration::from_millis(100);

/// How a call ended.
enum Ended {
    /// With an answer of the service, now.
    Answered(Answer),
    /// With the answer that an earlier call with the same key received.
    Replayed(Answer),
    /// Refused before anything was sent, or while another call with the same key runs.
    Refused(Failure),
    /// No connection to the service could be opened.
    Unreachable,
    /// Sent, and no whole answer came.
    Lost(Reason),
}

/// Runs a call.
pub async fn run(node: &Arc<Node>, call: Call) -> Reply {
    let remaining = Duration::from_millis(u64::from(call.envelope.remaining_ms));
    let deadline = node.clock.now() + remaining;
    let open = node.enter();
    let node = Arc::clone(node);
    let task = tokio::spawn(async move {
        let _open = open;
        admitted(&node, &call, deadline).await
    });
    task.await.unwrap_or_else(|_| Reply::Failed(Failure::lost(Reason::OutcomeUnknown)))
}

async fn admitted(node: &Node, call: &Call, deadline: Instant) -> Reply {
    let ticket = match node.admit(&call.envelope) {
        Ok(ticket) => ticket,
        Err(failure) => return Reply::Failed(failure),
    };
    let ended = match &call.key {
        Some(key) => claimed(node, call, key, deadline).await,
        None => unclaimed(node, call, deadline).await,
    };
    release(node, ticket, &ended).await;
    match ended {
        Ended::Answered(answer) => Reply::Answer { answer, replayed: false },
        Ended::Replayed(answer) => Reply::Answer { answer, replayed: true },
        Ended::Refused(failure) => Reply::Failed(failure),
        Ended::Unreachable => Reply::Failed(Failure::refused(Reason::TargetLost)),
        Ended::Lost(reason) => Reply::Failed(Failure::lost(reason)),
    }
}

/// Tells admission how the call ended, and what that shows of the service.
async fn release(node: &Node, ticket: Ticket, ended: &Ended) {
    let outcome = match ended {
        Ended::Answered(_) => Outcome::Completed,
        Ended::Replayed(_) | Ended::Refused(_) | Ended::Unreachable => Outcome::Failed,
        Ended::Lost(_) if node.peers.service.open().await.is_ok() => Outcome::Cancelled,
        Ended::Lost(_) => Outcome::Lost,
    };
    let now = node.clock.now();
    let mut gate = node.gate();
    if outcome == Outcome::Completed {
        gate.acknowledge(now, ticket, 0);
    }
    gate.release(now, ticket, outcome);
    if matches!(ended, Ended::Unreachable) {
        gate.record_disconnect(now);
    }
}

/// Runs a call that may be repeated.
async fn unclaimed(node: &Node, call: &Call, deadline: Instant) -> Ended {
    let Ok(connection) = node.peers.service.open().await else { return Ended::Unreachable };
    let left = deadline.saturating_duration_since(node.clock.now());
    if left.is_zero() {
        return Ended::Refused(Failure::refused(Reason::DeadlineExceeded));
    }
    match connection.call(&request(call), left).await {
        Ok(answer) => Ended::Answered(answer),
        Err(Error::Unsent { .. }) => Ended::Refused(Failure::refused(Reason::BadRequest)),
        Err(error) => {
            log!(Code::TargetLost, %error);
            Ended::Lost(Reason::TargetLost)
        }
    }
}

/// Runs a call under its claim.
async fn claimed(node: &Node, call: &Call, key: &str, deadline: Instant) -> Ended {
    let refused = |reason| Ended::Refused(Failure::refused(reason));
    let unavailable =
        Failure::refused(Reason::StoreUnavailable).with_retry_after_ms(STORE_RETRY_MS);
    let Some(place) = node.recorder.reserve() else { return Ended::Refused(unavailable) };
    let Ok(connection) = node.peers.service.open().await else { return Ended::Unreachable };
    let envelope = &call.envelope;
    let claim = Claim::new(&envelope.organisation, key, envelope.digest, envelope.stream_id());
    match start(node, &claim, deadline).await {
        StartOutcome::Run => send(node, call, Held { claim, place, connection }, deadline).await,
        StartOutcome::Answered(answer) => Ended::Replayed(answer),
        StartOutcome::InProgress => {
            let failure =
                Failure::lost(Reason::InProgress).with_retry_after_ms(IN_PROGRESS_RETRY_MS);
            Ended::Refused(failure)
        }
        StartOutcome::OutcomeUnknown => Ended::Refused(Failure::lost(Reason::OutcomeUnknown)),
        StartOutcome::KeyReused => refused(Reason::KeyReused),
        StartOutcome::Void => refused(Reason::DeadlineExceeded),
        StartOutcome::Unavailable { may_have_taken_effect } => {
            if may_have_taken_effect {
                node.recorder.release(place, claim);
            }
            Ended::Refused(unavailable)
        }
    }
}

/// Claims the key, on a thread that may block.
async fn start(node: &Node, claim: &Claim, deadline: Instant) -> StartOutcome {
    let (claims, claim) = (Arc::clone(&node.peers.claims), claim.clone());
    let left = deadline.saturating_duration_since(node.clock.now());
    let started = tokio::task::spawn_blocking(move || claims.start(&claim, left)).await;
    started.unwrap_or(StartOutcome::Unavailable { may_have_taken_effect: true })
}

/// A claim that may run, with what it needs.
struct Held {
    claim: Claim,
    place: Place,
    connection: Box<dyn Connection>,
}

/// Sends a claimed call, once, and has its outcome recorded.
async fn send(node: &Node, call: &Call, held: Held, deadline: Instant) -> Ended {
    let Held { claim, place, connection } = held;
    let left = deadline.saturating_duration_since(node.clock.now());
    if left.is_zero() {
        node.recorder.release(place, claim);
        return Ended::Refused(Failure::refused(Reason::DeadlineExceeded));
    }
    match connection.call(&request(call), left).await {
        Ok(answer) => {
            let recorded = node.recorder.finish(place, claim, answer.clone());
            let _ = timeout(RECORD_TIMEOUT, recorded.recv_async()).await;
            Ended::Answered(answer)
        }
        Err(Error::Unsent { .. }) => {
            node.recorder.release(place, claim);
            Ended::Refused(Failure::refused(Reason::BadRequest))
        }
        Err(error) => {
            log!(Code::OutcomeUnknown, request = call.envelope.request, %error);
            Ended::Lost(Reason::OutcomeUnknown)
        }
    }
}

fn request(call: &Call) -> service::Call<'_> {
    service::Call {
        method: &call.method,
        path: &call.path,
        organisation: &call.envelope.organisation,
        content_type: &call.content_type,
        body: &call.body,
        key: call.key.as_deref(),
    }
}
