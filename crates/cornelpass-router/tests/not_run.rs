//! Report on a failed call: the router reports "not run" only if each attempt was not sent, was
//! refused, or was lost and then declared void.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::sync::Arc;

use common::{Action, Fixture, wait_until};
use cornelpass_caller::handler::Response;
use cornelpass_caller::problem::Problem;
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_platform::claims::VoidOutcome;
use cornelpass_router::calls;
use cornelpass_wire::frame::{self, Failure};

/// Runs a call; `actions` holds what the sidecar does with each attempt, in reverse order.
///
/// The connection is replaced during each attempt without a response, so that the attempt is lost.
async fn run(fixture: &Fixture, actions: Vec<Action>) -> Result<Response, Problem> {
    let lost_count = actions.iter().filter(|action| matches!(action, Action::NoResponse)).count();
    *fixture.sidecar.actions.lock().unwrap() = actions;
    let state = Arc::clone(&fixture.state);
    let call = fixture.call();
    let task = tokio::spawn(async move { calls::run(&state, "r".to_owned(), call).await });
    for attempt in 1..=lost_count {
        wait_until(|| fixture.sidecar.calls.lock().unwrap().len() >= attempt).await;
        fixture.replace_connection().await;
    }
    task.await.unwrap()
}

fn respond_with_failure(failure: Failure) -> Action {
    Action::Respond(frame::Response::Failed(failure))
}

/// Claim tokens of the attempts that the sidecar received.
fn received_tokens(fixture: &Fixture) -> Vec<String> {
    let calls = fixture.sidecar.calls.lock().unwrap();
    calls.iter().map(|call| call.envelope.stream_id()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_attempt_has_its_own_token() {
    let fixture = Fixture::new().await;
    let response = run(&fixture, vec![Action::NoResponse]).await.unwrap();
    assert_eq!(response.answer, common::answer());
    assert_eq!(received_tokens(&fixture), ["r.1", "r.2"]);
    assert!(fixture.claims.void_requests.lock().unwrap().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_lost_at_each_attempt_is_not_run_once_all_are_void() {
    let fixture = Fixture::new().await;
    let problem = run(&fixture, vec![Action::NoResponse; 3]).await.unwrap_err();
    assert_eq!((problem.reason, problem.execution), (Reason::LinkLost, Execution::NotRun));
    assert_eq!(*fixture.claims.void_requests.lock().unwrap(), received_tokens(&fixture));
    assert_eq!(received_tokens(&fixture).len(), 3);
    assert!(problem.retry_after.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn execution_is_unknown_if_an_attempt_cannot_be_declared_void() {
    for outcome in [VoidOutcome::Refused, VoidOutcome::Unavailable] {
        let fixture = Fixture::new().await;
        *fixture.claims.void_outcome.lock().unwrap() = Some(outcome);
        let problem = run(&fixture, vec![Action::NoResponse; 3]).await.unwrap_err();
        assert_eq!((problem.reason, problem.execution), (Reason::LinkLost, Execution::Unknown));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_does_not_show_that_an_earlier_lost_attempt_did_not_run() {
    let fixture = Fixture::new().await;
    *fixture.claims.void_outcome.lock().unwrap() = Some(VoidOutcome::Refused);
    let refusal = respond_with_failure(Failure::refused(Reason::StoreUnavailable));
    let problem = run(&fixture, vec![refusal, Action::NoResponse]).await.unwrap_err();
    assert_eq!((problem.reason, problem.execution), (Reason::StoreUnavailable, Execution::Unknown));
    assert_eq!(*fixture.claims.void_requests.lock().unwrap(), ["r.1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_from_the_sidecar_stays_unknown() {
    let fixture = Fixture::new().await;
    let unknown = respond_with_failure(Failure::lost(Reason::OutcomeUnknown));
    let problem = run(&fixture, vec![unknown]).await.unwrap_err();
    assert_eq!((problem.reason, problem.execution), (Reason::OutcomeUnknown, Execution::Unknown));
    assert!(fixture.claims.void_requests.lock().unwrap().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_call_is_not_run_and_no_attempt_is_declared_void() {
    let fixture = Fixture::new().await;
    let problem =
        run(&fixture, vec![respond_with_failure(Failure::refused(Reason::OverBound))]).await;
    let problem = problem.unwrap_err();
    assert_eq!((problem.reason, problem.execution), (Reason::OverBound, Execution::NotRun));
    assert_eq!(received_tokens(&fixture).len(), 1, "there is no other target");
    assert!(fixture.claims.void_requests.lock().unwrap().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_sent_where_no_connection_can_be_opened() {
    let fixture = Fixture::new().await;
    fixture.server.stop().unwrap();
    fixture.server.clone().stopped().await;
    let problem = run(&fixture, Vec::new()).await.unwrap_err();
    assert_eq!(problem.execution, Execution::NotRun);
    assert!(received_tokens(&fixture).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn only_errors_in_place_of_running_a_method_show_that_nothing_ran() {
    use cornelpass_router::link::execution_after;
    use jsonrpsee::core::client::Error;
    use jsonrpsee::types::{ErrorObject, error as code};

    let call_error = |code| Error::Call(ErrorObject::owned(code, "", None::<()>));
    for code in [
        code::METHOD_NOT_FOUND_CODE,
        code::INVALID_PARAMS_CODE,
        code::OVERSIZED_REQUEST_CODE,
        code::SERVER_IS_BUSY_CODE,
        code::TOO_MANY_SUBSCRIPTIONS_CODE,
    ] {
        assert_eq!(execution_after(&call_error(code)), Execution::NotRun);
    }
    for error in [
        call_error(code::INTERNAL_ERROR_CODE),
        call_error(code::OVERSIZED_RESPONSE_CODE),
        Error::RequestTimeout,
        Error::RestartNeeded(Arc::new(Error::Custom(String::new()))),
        Error::ServiceDisconnect,
    ] {
        assert_eq!(execution_after(&error), Execution::Unknown, "{error}");
    }
}
