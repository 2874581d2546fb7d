//! Runs calls of plain services; a call with an idempotency key runs under a claim, at most once.
//!
//! A connection to the service is opened first, so that no key is claimed while the service is
//! unreachable. Then the key is claimed, and the call is sent once on that connection. Nothing
//! before the claim has an effect. After the claim there are three cases:
//!
//! - The service responds: the claim is finished with the answer.
//! - Nothing was sent: the claim is released.
//! - The outcome is unknown: the claim stays as it is, and no repetition of the call runs.
//!
//! A claim does not expire, so a process that is paused at any point still holds its claim
//! afterwards. The deadline is checked again before the call is sent.
//!
//! Each call runs in its own task, which continues if the connection to the router is lost.

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

use crate::outcomes::Slot;
use crate::sidecar::Sidecar;

/// Delay after which a router may repeat a call whose first execution is in progress, in milliseconds.
const IN_PROGRESS_RETRY_AFTER_MS: u32 = 1_000;

/// Delay after which a router may repeat a call that could not be claimed because the table is
/// unavailable or too many outcomes wait to be written, in milliseconds.
const STORE_RETRY_AFTER_MS: u32 = 2_000;

/// Longest time for which an answer is delayed until it is recorded, so that an immediate repetition
/// of the call finds it.
const RECORD_TIMEOUT: Duration = Duration::from_millis(100);

/// Result of a call that has ended.
enum Ending {
    /// The service responded.
    Answered(Answer),
    /// An earlier call with the same key has this answer.
    Replayed(Answer),
    /// This call sent nothing: it was refused, or an earlier call with the same key is running or has
    /// an unknown outcome.
    Refused(Failure),
    /// No connection to the service could be opened.
    Unreachable,
    /// The call was sent, and no complete response arrived.
    Lost(Reason),
}

/// Runs a call, in its own task.
pub async fn run(sidecar: &Arc<Sidecar>, call: Call) -> Reply {
    let remaining = Duration::from_millis(u64::from(call.envelope.remaining_ms));
    let deadline = sidecar.clock.now() + remaining;
    let open_call = sidecar.open_call();
    let sidecar = Arc::clone(sidecar);
    let task = tokio::spawn(async move {
        let _open_call = open_call;
        run_admitted(&sidecar, &call, deadline).await
    });
    task.await.unwrap_or_else(|_| Reply::Failed(Failure::lost(Reason::OutcomeUnknown)))
}

/// Admits the call and runs it.
async fn run_admitted(sidecar: &Sidecar, call: &Call, deadline: Instant) -> Reply {
    let ticket = match sidecar.admit(&call.envelope) {
        Ok(ticket) => ticket,
        Err(failure) => return Reply::Failed(failure),
    };
    let ending = match &call.key {
        Some(key) => run_claimed(sidecar, call, key, deadline).await,
        None => run_unclaimed(sidecar, call, deadline).await,
    };
    release(sidecar, ticket, &ending).await;
    match ending {
        Ending::Answered(answer) => Reply::Answer { answer, replayed: false },
        Ending::Replayed(answer) => Reply::Answer { answer, replayed: true },
        Ending::Refused(failure) => Reply::Failed(failure),
        Ending::Unreachable => Reply::Failed(Failure::refused(Reason::TargetLost)),
        Ending::Lost(reason) => Reply::Failed(Failure::lost(reason)),
    }
}

/// Releases the call in the admission controller, with what its ending shows about the service.
///
/// After a lost response, a new connection shows whether the service itself was lost.
async fn release(sidecar: &Sidecar, ticket: Ticket, ending: &Ending) {
    let outcome = match ending {
        Ending::Answered(_) => Outcome::Completed,
        Ending::Replayed(_) | Ending::Refused(_) | Ending::Unreachable => Outcome::Failed,
        Ending::Lost(_) if sidecar.clients.service.open().await.is_ok() => Outcome::Cancelled,
        Ending::Lost(_) => Outcome::Lost,
    };
    let now = sidecar.clock.now();
    let mut controller = sidecar.controller();
    if outcome == Outcome::Completed {
        controller.acknowledge(now, ticket, 0);
    }
    controller.release(now, ticket, outcome);
    if matches!(ending, Ending::Unreachable) {
        controller.record_disconnect(now);
    }
}

/// Runs a call without a claim, which may be repeated.
async fn run_unclaimed(sidecar: &Sidecar, call: &Call, deadline: Instant) -> Ending {
    let Ok(connection) = sidecar.clients.service.open().await else { return Ending::Unreachable };
    let time_left = deadline.saturating_duration_since(sidecar.clock.now());
    if time_left.is_zero() {
        return Ending::Refused(Failure::refused(Reason::DeadlineExceeded));
    }
    match connection.call(&to_service_call(call), time_left).await {
        Ok(answer) => Ending::Answered(answer),
        Err(Error::Unsent { .. }) => Ending::Refused(Failure::refused(Reason::BadRequest)),
        Err(error) => {
            log!(Code::TargetLost, %error);
            Ending::Lost(Reason::TargetLost)
        }
    }
}

/// Claims the key of a call, and runs the call if the claim succeeds.
async fn run_claimed(sidecar: &Sidecar, call: &Call, key: &str, deadline: Instant) -> Ending {
    let refused = |reason| Ending::Refused(Failure::refused(reason));
    let unavailable =
        Failure::refused(Reason::StoreUnavailable).with_retry_after_ms(STORE_RETRY_AFTER_MS);
    let Some(slot) = sidecar.outcomes.reserve() else { return Ending::Refused(unavailable) };
    let Ok(connection) = sidecar.clients.service.open().await else { return Ending::Unreachable };
    let envelope = &call.envelope;
    let claim = Claim::new(&envelope.organisation, key, envelope.digest, envelope.stream_id());
    match start_claim(sidecar, &claim, deadline).await {
        StartOutcome::Run => {
            send(sidecar, call, Resources { claim, slot, connection }, deadline).await
        }
        StartOutcome::Answered(answer) => Ending::Replayed(answer),
        StartOutcome::InProgress => {
            let failure =
                Failure::lost(Reason::InProgress).with_retry_after_ms(IN_PROGRESS_RETRY_AFTER_MS);
            Ending::Refused(failure)
        }
        StartOutcome::OutcomeUnknown => Ending::Refused(Failure::lost(Reason::OutcomeUnknown)),
        StartOutcome::KeyReused => refused(Reason::KeyReused),
        StartOutcome::Void => refused(Reason::DeadlineExceeded),
        StartOutcome::Unavailable { may_have_taken_effect } => {
            if may_have_taken_effect {
                sidecar.outcomes.release(slot, claim);
            }
            Ending::Refused(unavailable)
        }
    }
}

/// Claims the key on a thread for blocking functions.
async fn start_claim(sidecar: &Sidecar, claim: &Claim, deadline: Instant) -> StartOutcome {
    let (claims, claim) = (Arc::clone(&sidecar.clients.claims), claim.clone());
    let time_left = deadline.saturating_duration_since(sidecar.clock.now());
    let start_outcome = tokio::task::spawn_blocking(move || claims.start(&claim, time_left)).await;
    start_outcome.unwrap_or(StartOutcome::Unavailable { may_have_taken_effect: true })
}

/// Resources of a call whose claim has started.
struct Resources {
    claim: Claim,
    slot: Slot,
    connection: Box<dyn Connection>,
}

/// Sends a claimed call once, and hands its outcome to the writer.
async fn send(sidecar: &Sidecar, call: &Call, resources: Resources, deadline: Instant) -> Ending {
    let Resources { claim, slot, connection } = resources;
    let time_left = deadline.saturating_duration_since(sidecar.clock.now());
    if time_left.is_zero() {
        sidecar.outcomes.release(slot, claim);
        return Ending::Refused(Failure::refused(Reason::DeadlineExceeded));
    }
    match connection.call(&to_service_call(call), time_left).await {
        Ok(answer) => {
            let recorded = sidecar.outcomes.finish(slot, claim, answer.clone());
            let _ = timeout(RECORD_TIMEOUT, recorded.recv_async()).await;
            Ending::Answered(answer)
        }
        Err(Error::Unsent { .. }) => {
            sidecar.outcomes.release(slot, claim);
            Ending::Refused(Failure::refused(Reason::BadRequest))
        }
        Err(error) => {
            log!(Code::OutcomeUnknown, request = call.envelope.request, %error);
            Ending::Lost(Reason::OutcomeUnknown)
        }
    }
}

fn to_service_call(call: &Call) -> service::Call<'_> {
    service::Call {
        method: &call.method,
        path: &call.path,
        organisation: &call.envelope.organisation,
        content_type: &call.content_type,
        body: &call.body,
        key: call.key.as_deref(),
    }
}
