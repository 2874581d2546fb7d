//! Calls of plain services.
//!
//! Each attempt at a call has its own token
//! ([`Envelope::stream_id`](cornelpass_wire::request::Envelope::stream_id)), by which the claim row
//! in the platform's table names the attempt. So a call with an idempotency key runs at most once
//! over all its attempts.
//!
//! An attempt that was sent and got no response may have run. A void attempt can no longer start,
//! and the table refuses to declare an attempt void that has started. Therefore the router declares
//! each attempt without a response void before it reports to the caller that the call did not run.

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
use cornelpass_wire::frame::{self, Failure};
use cornelpass_wire::request;
use tokio::time::timeout;

use crate::state::{Choice, Requirements, State};
use crate::{failures, link, sidecars};

/// Maximum number of attempts at one call.
const MAX_ATTEMPTS: u32 = 3;

/// Time after the deadline of a call for which the router still waits for the sidecar's response,
/// because the response needs time to travel.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Time limit on declaring lost attempts void, during which the caller waits for its response.
const VOID_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of one attempt.
enum Outcome {
    /// The service responded.
    Responded(handler::Response),
    /// The sidecar reported the failure, or the request did not reach the sidecar.
    Failed(Failure),
    /// The request was sent, and no response was received.
    Lost(Reason),
}

/// A call in progress.
struct Progress<'a> {
    state: &'a Arc<State>,
    request_id: &'a str,
    call: &'a Call,
    deadline: Instant,
    /// Tokens of the attempts that were sent and got no response.
    lost_claim_tokens: Vec<String>,
    /// Whether an attempt that is not in `lost_claim_tokens` may have run.
    execution: Execution,
}

/// Runs a call to its end, with retries.
///
/// # Errors
///
/// The problem that the caller receives in place of a response.
pub async fn run(
    state: &Arc<State>,
    request_id: String,
    call: Call,
) -> Result<handler::Response, Problem> {
    let _open_request = state.open_request();
    state.budgets().for_organisation(&call.organisation).deposit();
    let deadline = state.clock.now() + call.timeout;
    let (lost_claim_tokens, execution) = (Vec::new(), Execution::NotRun);
    let mut progress = Progress {
        state,
        request_id: &request_id,
        call: &call,
        deadline,
        lost_claim_tokens,
        execution,
    };
    match progress.run_attempts().await {
        Ok(response) => Ok(response),
        Err(failure) => {
            let execution = progress.void_lost_attempts().await;
            Err(failures::refuse(state, &Failure { execution, ..failure }))
        }
    }
}

impl Progress<'_> {
    /// Makes attempts until one succeeds or no further one is allowed.
    async fn run_attempts(&mut self) -> Result<handler::Response, Failure> {
        let call = self.call;
        let requirements = Requirements {
            kind: Kind::Service,
            serves: &call.service,
            organisation: &call.organisation,
            placement_key: digest::key(call.idempotency_key.as_deref().unwrap_or(&call.path)),
            cost: 1,
        };
        let mut tried = BTreeSet::new();
        for attempt in 1..=MAX_ATTEMPTS {
            let choice = self.state.choose(&requirements, &tried).map_err(Failure::refused)?;
            let outcome = self.run_attempt(attempt, &choice).await;
            self.state.target_reports().record_end(&choice.target, requirements.cost);
            let failure = match outcome {
                Outcome::Responded(response) => return Ok(response),
                Outcome::Failed(failure) => {
                    self.execution = self.execution.max(failure.execution);
                    failure
                }
                Outcome::Lost(reason) => Failure::lost(reason),
            };
            self.state.record_refusal(&choice.target, failure.reason);
            tried.insert(choice.target);
            let failed_attempt = FailedAttempt {
                number: attempt,
                reason: failure.reason,
                execution: failure.execution,
            };
            let limits = Limits {
                max_attempts: MAX_ATTEMPTS,
                is_retry_safe: call.idempotency_key.is_some() || is_safe(&call.method),
                has_untried_target: self.state.has_untried_target(&requirements, &tried),
                time_left: self.time_left(),
            };
            match failures::decide_next(self.state, &call.organisation, &failed_attempt, &limits) {
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

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.state.clock.now())
    }

    /// Makes one attempt at the chosen target.
    async fn run_attempt(&mut self, attempt: u32, choice: &Choice) -> Outcome {
        let not_run = || Outcome::Failed(Failure::refused(Reason::LinkLost));
        let Some(link) = self.state.link(&choice.target) else { return not_run() };
        let Ok(connection) = link.connection().await else { return not_run() };
        let wire_call = self.build_call(attempt, choice);
        let claim_token = wire_call.envelope.stream_id();
        let response = tokio::select! {
            response = timeout(self.time_left() + RESPONSE_MARGIN, connection.call(wire_call)) => {
                response
            }
            () = link.wait_until_replaced(connection.generation) => {
                return self.record_lost(claim_token, Reason::LinkLost);
            }
        };
        match response {
            Ok(Ok(frame::Response::Answer { answer, replayed })) => {
                Outcome::Responded(handler::Response { answer, replayed })
            }
            Ok(Ok(frame::Response::Failed(failure))) => {
                sidecars::sync_config_after_refusal(self.state, &connection, failure.reason).await;
                Outcome::Failed(failure)
            }
            Ok(Err(error)) if link::execution_after(&error) == Execution::NotRun => not_run(),
            Ok(Err(_)) => self.record_lost(claim_token, Reason::LinkLost),
            Err(_) => self.record_lost(claim_token, Reason::DeadlineExceeded),
        }
    }

    fn record_lost(&mut self, claim_token: String, reason: Reason) -> Outcome {
        self.lost_claim_tokens.push(claim_token);
        Outcome::Lost(reason)
    }

    fn build_call(&self, attempt: u32, choice: &Choice) -> request::Call {
        let call = self.call;
        let digest_and_cost = (call.digest, 1);
        request::Call {
            envelope: choice.envelope(
                self.request_id,
                attempt,
                &call.organisation,
                digest_and_cost,
                self.time_left(),
            ),
            method: call.method.clone(),
            path: call.path.clone(),
            content_type: call.content_type.clone(),
            body: call.body.clone(),
            key: call.idempotency_key.clone(),
        }
    }

    /// Declares the lost attempts void if possible, and returns whether the call may have run.
    ///
    /// Only attempts at a call with an idempotency key can be declared void. Nothing is declared
    /// void if another attempt may have run, because the result is unknown then anyway.
    async fn void_lost_attempts(&self) -> Execution {
        if self.lost_claim_tokens.is_empty() || self.execution == Execution::Unknown {
            return self.execution;
        }
        let Some(key) = self.call.idempotency_key.clone() else { return Execution::Unknown };
        let claims = Arc::clone(&self.state.claims);
        let (organisation, digest) = (self.call.organisation.clone(), self.call.digest);
        let clock = Arc::clone(&self.state.clock);
        let deadline = clock.now() + VOID_TIMEOUT;
        let lost_claim_tokens = self.lost_claim_tokens.clone();
        let all_void = tokio::task::spawn_blocking(move || {
            lost_claim_tokens.into_iter().all(|claim_token| {
                let claim = Claim::new(&organisation, &key, digest, claim_token);
                let time_left = deadline.saturating_duration_since(clock.now());
                claims.void(&claim, time_left) == VoidOutcome::Void
            })
        });
        if matches!(all_void.await, Ok(true)) { Execution::NotRun } else { Execution::Unknown }
    }
}

/// Whether a method changes nothing at the service (safe methods, RFC 9110, section 9.2.1).
fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE")
}
