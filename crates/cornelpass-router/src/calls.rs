//! Plain calls: each attempt has its own token, so that a call with an idempotency key runs at
//! most once over all of them.
//!
//! An attempt that was sent and lost may have run. Before the router says "not run" it declares
//! each such attempt void in the platform's table.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_caller::handler;
use cornelpass_caller::problem::Problem;
use cornelpass_caller::request::Call;
use cornelpass_core::attempt::{Destination, FailedAttempt, Limits, Next};
use cornelpass_core::digest;
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::table::Kind;
use cornelpass_platform::claims::{Claim, VoidOutcome};
use cornelpass_wire::frame::{Failure, Reply};
use cornelpass_wire::request;
use tokio::time::timeout;

use crate::node::{Choice, Need, Node};
use crate::retries;
use crate::{fleet, link};

/// Most attempts at a call.
const ATTEMPT_LIMIT: u32 = 3;

/// Time added for the answer to travel after the call's own time.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Time in which lost attempts are declared void before the caller is answered.
const VOID_TIMEOUT: Duration = Duration::from_secs(1);

/// How an attempt ended.
enum Outcome {
    Answered(handler::Reply),
    /// The process beside the target said so, or the attempt was not sent.
    Failed(Failure),
    /// It was sent, and nothing was heard of it.
    Lost(Reason),
}

/// A call in progress.
struct Progress<'a> {
    node: &'a Arc<Node>,
    request: &'a str,
    call: &'a Call,
    until: Instant,
    /// Tokens of the attempts that were sent and lost.
    lost: Vec<String>,
    /// What is known of the other attempts.
    effect: Execution,
}

/// Makes a call.
///
/// # Errors
///
/// What the caller is told.
pub async fn run(node: &Arc<Node>, request: String, call: Call) -> Result<handler::Reply, Problem> {
    let _open = node.enter();
    node.budgets().for_organisation(&call.organisation).deposit();
    let until = node.clock.now() + call.timeout;
    let (lost, effect) = (Vec::new(), Execution::NotRun);
    let mut progress = Progress { node, request: &request, call: &call, until, lost, effect };
    match progress.attempts().await {
        Ok(reply) => Ok(reply),
        Err(failure) => {
            let execution = progress.settle().await;
            Err(retries::refuse(node, &Failure { execution, ..failure }))
        }
    }
}

impl Progress<'_> {
    async fn attempts(&mut self) -> Result<handler::Reply, Failure> {
        let call = self.call;
        let need = Need {
            kind: Kind::Service,
            serves: &call.service,
            organisation: &call.organisation,
            key: digest::key(call.idempotency_key.as_deref().unwrap_or(&call.path)),
            cost: 1,
        };
        let mut tried = BTreeSet::new();
        for attempt in 1..=ATTEMPT_LIMIT {
            let choice = self.node.choose(&need, &tried).map_err(Failure::refused)?;
            let outcome = self.once(attempt, &choice).await;
            self.node.view().record_end(&choice.target, need.cost);
            let failure = match outcome {
                Outcome::Answered(reply) => return Ok(reply),
                Outcome::Failed(failure) => {
                    self.effect = self.effect.max(failure.execution);
                    failure
                }
                Outcome::Lost(reason) => Failure::lost(reason),
            };
            self.node.learn(&choice.target, failure.reason);
            tried.insert(choice.target);
            let ended = FailedAttempt {
                number: attempt,
                reason: failure.reason,
                execution: failure.execution,
            };
            let limits = Limits {
                max_attempts: ATTEMPT_LIMIT,
                repeatable: call.idempotency_key.is_some() || is_safe(&call.method),
                has_untried_target: self.node.choosable(&need, &tried),
                time_left: self.left(),
            };
            match retries::next(self.node, &call.organisation, &ended, &limits) {
                Next::Retry { destination, wait, .. } => {
                    if destination == Destination::AnyTarget {
                        tried.clear();
                    }
                    tokio::time::sleep(wait).await;
                }
                Next::GiveUp(reason) => return Err(Failure { reason, ..failure }),
            }
        }
        Err(Failure::refused(Reason::NoTarget))
    }

    fn left(&self) -> Duration {
        self.until.saturating_duration_since(self.node.clock.now())
    }

    /// Makes one attempt.
    async fn once(&mut self, attempt: u32, choice: &Choice) -> Outcome {
        let refused = || Outcome::Failed(Failure::refused(Reason::LinkLost));
        let Some(link) = self.node.link(&choice.target) else { return refused() };
        let Ok(channel) = link.channel().await else { return refused() };
        let wire_call = self.wire_call(attempt, choice);
        let token = wire_call.envelope.stream_id();
        let reply = tokio::select! {
            reply = timeout(self.left() + ANSWER_MARGIN, channel.call(wire_call)) => reply,
            () = link.replaced(channel.generation) => return self.lose(token, Reason::LinkLost),
        };
        match reply {
            Ok(Ok(Reply::Answer { answer, replayed })) => {
                Outcome::Answered(handler::Reply { answer, replayed })
            }
            Ok(Ok(Reply::Failed(failure))) => {
                fleet::reconcile_after(self.node, &channel, failure.reason).await;
                Outcome::Failed(failure)
            }
            Ok(Err(error)) if link::effect(&error) == Execution::NotRun => refused(),
            Ok(Err(_)) => self.lose(token, Reason::LinkLost),
            Err(_) => self.lose(token, Reason::DeadlineExceeded),
        }
    }

    fn lose(&mut self, token: String, reason: Reason) -> Outcome {
        self.lost.push(token);
        Outcome::Lost(reason)
    }

    fn wire_call(&self, attempt: u32, choice: &Choice) -> request::Call {
        let call = self.call;
        let content = (call.digest, 1);
        request::Call {
            envelope: choice.envelope(
                self.request,
                attempt,
                &call.organisation,
                content,
                self.left(),
            ),
            method: call.method.clone(),
            path: call.path.clone(),
            content_type: call.content_type.clone(),
            body: call.body.clone(),
            key: call.idempotency_key.clone(),
        }
    }

    /// Whether the call had an effect, after the lost attempts were declared void if they can be.
    async fn settle(&self) -> Execution {
        if self.lost.is_empty() || self.effect == Execution::Unknown {
            return self.effect;
        }
        let Some(key) = self.call.idempotency_key.clone() else { return Execution::Unknown };
        let claims = Arc::clone(&self.node.claims);
        let (organisation, digest) = (self.call.organisation.clone(), self.call.digest);
        let clock = Arc::clone(&self.node.clock);
        let deadline = clock.now() + VOID_TIMEOUT;
        let lost = self.lost.clone();
        let voided = tokio::task::spawn_blocking(move || {
            lost.into_iter().all(|token| {
                let claim = Claim::new(&organisation, &key, digest, token);
                let left = deadline.saturating_duration_since(clock.now());
                claims.void(&claim, left) == VoidOutcome::Void
            })
        });
        if matches!(voided.await, Ok(true)) { Execution::NotRun } else { Execution::Unknown }
    }
}

/// Whether a method changes nothing at the service.
fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE")
}
