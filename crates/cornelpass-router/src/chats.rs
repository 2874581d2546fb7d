//! Chat requests: placed, streamed, and continued on another target when one is lost.

mod answer;
mod attempt;

use std::collections::BTreeSet;
use std::sync::Arc;

use cornelpass_caller::event::{Event, Id};
use cornelpass_caller::request::{Chat, DEFAULT_TIMEOUT, Resume};
use cornelpass_core::attempt::{Destination, FailedAttempt, Limits, Next};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::table::Kind;
use cornelpass_wire::frame::Failure;
use cornelpass_wire::request::Submission;
use flume::Sender;

use crate::node::{Choice, Need, Node};
use crate::{fleet, retries};

use self::answer::Answer;
use self::attempt::{Attempt, Outcome};

/// Most attempts at a request.
const ATTEMPT_LIMIT: u32 = 4;

/// Runs a chat request.
pub async fn run(node: Arc<Node>, request: String, chat: Chat, events: Sender<Event>) {
    let _open = node.enter();
    node.budgets().for_organisation(&chat.organisation).deposit();
    let mut answer = Answer::new(&node, &events, 0, chat.timeout);
    let mut tried = BTreeSet::new();
    let mut effect = Execution::NotRun;
    let need = Need {
        kind: Kind::Model,
        serves: &chat.model,
        organisation: &chat.organisation,
        key: chat.placement_key,
        cost: cornelpass_core::chat::cost(chat.prompt_tokens),
    };
    let mut refusal = None;
    for attempt in 1.. {
        let choice = match node.choose(&need, &tried) {
            Ok(choice) => choice,
            Err(reason) => {
                let reason = refusal.unwrap_or(reason);
                return answer
                    .give_up(&Failure { reason, execution: effect, retry_after_ms: None })
                    .await;
            }
        };
        let outcome = once(&mut answer, &request, attempt, &chat, &choice).await;
        node.view().record_end(&choice.target, need.cost);
        let Outcome::Failed(failure) = outcome else { return };
        effect = effect.max(failure.execution);
        if failure.reason == Reason::TargetLost {
            fleet::warn(&node, &choice.target).await;
        }
        node.learn(&choice.target, failure.reason);
        tried.insert(choice.target);
        let ended =
            FailedAttempt { number: attempt, reason: failure.reason, execution: failure.execution };
        let limits = Limits {
            max_attempts: ATTEMPT_LIMIT,
            repeatable: true,
            has_untried_target: node.choosable(&need, &tried),
            time_left: answer.left(),
        };
        match retries::next(&node, &chat.organisation, &ended, &limits) {
            Next::Retry { destination, wait, .. } => {
                if destination == Destination::AnyTarget {
                    tried.clear();
                }
                refusal = Some(failure.reason);
                tokio::time::sleep(wait).await;
            }
            Next::GiveUp(reason) => {
                return answer.give_up(&Failure { reason, execution: effect, ..failure }).await;
            }
        }
    }
}

/// Makes one attempt at one target.
async fn once(
    answer: &mut Answer<'_>,
    request: &str,
    attempt: u32,
    chat: &Chat,
    choice: &Choice,
) -> Outcome {
    let refused = || Outcome::Failed(Failure::refused(Reason::LinkLost));
    let Some(link) = answer.node.link(&choice.target) else { return refused() };
    let Ok(channel) = link.channel().await else { return refused() };
    let submission = submission(answer, request, attempt, chat, choice);
    let attempt = Attempt::new(&link, &choice.target, &submission.envelope, chat.streamed);
    attempt.run(answer, channel, submission.clone()).await
}

fn submission(
    answer: &Answer<'_>,
    request: &str,
    attempt: u32,
    chat: &Chat,
    choice: &Choice,
) -> Submission {
    let content = (chat.digest, cornelpass_core::chat::cost(chat.prompt_tokens));
    Submission {
        envelope: choice.envelope(request, attempt, &chat.organisation, content, answer.left()),
        model: chat.model.clone(),
        messages: chat.messages.clone(),
        max_tokens: chat.max_tokens,
        generated_text: answer.given().to_owned(),
        offset: answer.next(),
    }
}

/// Continues a stream for a caller that comes back.
pub async fn resume(node: Arc<Node>, resume: Resume, events: Sender<Event>) {
    let _open = node.enter();
    let from = resume.last_event.offset.saturating_add(1);
    let mut answer = Answer::new(&node, &events, from, DEFAULT_TIMEOUT);
    let outcome = continued(&mut answer, &resume).await;
    if let Outcome::Failed(failure) = outcome {
        answer.give_up(&failure).await;
    }
}

async fn continued(answer: &mut Answer<'_>, resume: &Resume) -> Outcome {
    let gone = || Outcome::Failed(Failure::lost(Reason::StreamGone));
    let Id { target, stream, .. } = &resume.last_event;
    let Some(link) = answer.node.link(target) else { return gone() };
    Attempt::resumed(&link, target, stream, &resume.organisation).follow(answer).await
}
