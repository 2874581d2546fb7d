//! Chat requests: selects a target for each request, streams the response to the caller, and
//! continues the response on another target when a target is lost.

mod attempt;
mod response;

use std::collections::BTreeSet;
use std::sync::Arc;

use cornelpass_caller::event::{Event, Id};
use cornelpass_caller::request::{Chat, REQUEST_TIMEOUT, Resume};
use cornelpass_core::attempt::{Destination, FailedAttempt, Limits, Next};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::table::Kind;
use cornelpass_wire::frame::Failure;
use cornelpass_wire::request::Submission;
use flume::Sender;

use crate::state::{Choice, Requirements, State};
use crate::{failures, sidecars};

use self::attempt::{Attempt, Outcome};
use self::response::Response;

/// Maximum number of attempts at one request.
const MAX_ATTEMPTS: u32 = 4;

/// Runs a chat request to its end, with retries; the last event is an end or a problem.
pub async fn run(state: Arc<State>, request_id: String, chat: Chat, events: Sender<Event>) {
    let _open_request = state.open_request();
    state.budgets().for_organisation(&chat.organisation).deposit();
    let mut response = Response::new(&state, &events, 0, chat.timeout);
    let mut tried = BTreeSet::new();
    let mut overall_execution = Execution::NotRun;
    let requirements = Requirements {
        kind: Kind::Model,
        serves: &chat.model,
        organisation: &chat.organisation,
        placement_key: chat.placement_key,
        cost: cornelpass_core::chat::cost(chat.prompt_tokens),
    };
    let mut last_failure_reason = None;
    for attempt in 1.. {
        let choice = match state.choose(&requirements, &tried) {
            Ok(choice) => choice,
            Err(reason) => {
                let reason = last_failure_reason.unwrap_or(reason);
                return response
                    .fail(&Failure { reason, execution: overall_execution, retry_after_ms: None })
                    .await;
            }
        };
        let outcome = run_attempt(&mut response, &request_id, attempt, &chat, &choice).await;
        state.target_reports().record_end(&choice.target, requirements.cost);
        let Outcome::Failed(failure) = outcome else { return };
        overall_execution = overall_execution.max(failure.execution);
        if failure.reason == Reason::TargetLost {
            sidecars::announce_suspects(&state, &choice.target).await;
        }
        state.record_refusal(&choice.target, failure.reason);
        tried.insert(choice.target);
        let failed_attempt =
            FailedAttempt { number: attempt, reason: failure.reason, execution: failure.execution };
        let limits = Limits {
            max_attempts: MAX_ATTEMPTS,
            is_retry_safe: true,
            has_untried_target: state.has_untried_target(&requirements, &tried),
            time_left: response.time_left(),
        };
        match failures::decide_next(&state, &chat.organisation, &failed_attempt, &limits) {
            Next::Retry { destination, wait, .. } => {
                if destination == Destination::AnyTarget {
                    tried.clear();
                }
                last_failure_reason = Some(failure.reason);
                tokio::time::sleep(wait).await;
            }
            Next::GiveUp(reason) => {
                return response
                    .fail(&Failure { reason, execution: overall_execution, ..failure })
                    .await;
            }
        }
    }
}

/// Makes one attempt at the chosen target.
async fn run_attempt(
    response: &mut Response<'_>,
    request_id: &str,
    number: u32,
    chat: &Chat,
    choice: &Choice,
) -> Outcome {
    let not_run = || Outcome::Failed(Failure::refused(Reason::LinkLost));
    let Some(link) = response.state.link(&choice.target) else { return not_run() };
    let Ok(connection) = link.connection().await else { return not_run() };
    let submission = build_submission(response, request_id, number, chat, choice);
    let attempt = Attempt::new(&link, &choice.target, &submission.envelope, chat.streamed);
    attempt.run(response, connection, submission.clone()).await
}

fn build_submission(
    response: &Response<'_>,
    request_id: &str,
    attempt: u32,
    chat: &Chat,
    choice: &Choice,
) -> Submission {
    let digest_and_cost = (chat.digest, cornelpass_core::chat::cost(chat.prompt_tokens));
    Submission {
        envelope: choice.envelope(
            request_id,
            attempt,
            &chat.organisation,
            digest_and_cost,
            response.time_left(),
        ),
        model: chat.model.clone(),
        messages: chat.messages.clone(),
        max_tokens: chat.max_tokens,
        generated_text: response.generated_text().to_owned(),
        offset: response.next_offset(),
    }
}

/// Resumes a stream for a caller that has reconnected.
pub async fn resume(state: Arc<State>, resume: Resume, events: Sender<Event>) {
    let _open_request = state.open_request();
    let next_offset = resume.last_event.offset.saturating_add(1);
    let mut response = Response::new(&state, &events, next_offset, REQUEST_TIMEOUT);
    let outcome = resume_attempt(&mut response, &resume).await;
    if let Outcome::Failed(failure) = outcome {
        response.fail(&failure).await;
    }
}

/// Resumes the attempt that the last event of the caller names.
async fn resume_attempt(response: &mut Response<'_>, resume: &Resume) -> Outcome {
    let stream_gone = || Outcome::Failed(Failure::lost(Reason::StreamGone));
    let Id { target, stream, .. } = &resume.last_event;
    let Some(link) = response.state.link(target) else { return stream_gone() };
    Attempt::for_existing_stream(&link, target, stream, &resume.organisation).resume(response).await
}
