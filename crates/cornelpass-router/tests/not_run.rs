//! What the router says of a call that it lost: "not run" only after each attempt is void.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::sync::Arc;

use common::{Act, Fixture, until};
use cornelpass_caller::handler::Reply;
use cornelpass_caller::problem::Problem;
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_platform::claims::VoidOutcome;
use cornelpass_router::calls;
use cornelpass_wire::frame::{self, Failure};

/// Runs a call, whose acts are given last first.
async fn run(fixture: &Fixture, acts: Vec<Act>) -> Result<Reply, Problem> {
    let silent = acts.iter().filter(|act| matches!(act, Act::Silence)).count();
    *fixture.beside.acts.lock().unwrap() = acts;
    let node = Arc::clone(&fixture.node);
    let call = fixture.call();
    let running = tokio::spawn(async move { calls::run(&node, "r".to_owned(), call).await });
    for attempt in 1..=silent {
        until(|| fixture.beside.calls.lock().unwrap().len() >= attempt).await;
        fixture.replace_connection().await;
    }
    running.await.unwrap()
}

fn failed(failure: Failure) -> Act {
    Act::Reply(frame::Reply::Failed(failure))
}

fn tokens(fixture: &Fixture) -> Vec<String> {
    let calls = fixture.beside.calls.lock().unwrap();
    calls.iter().map(|call| call.envelope.stream_id()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_attempt_has_its_own_token() {
    let fixture = Fixture::new().await;
    let reply = run(&fixture, vec![Act::Silence]).await.unwrap();
    assert_eq!(reply.answer, common::answer());
    assert_eq!(tokens(&fixture), ["r.1", "r.2"]);
    assert!(fixture.table.voided.lock().unwrap().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_lost_at_each_attempt_is_not_run_once_all_are_void() {
    let fixture = Fixture::new().await;
    let problem = run(&fixture, vec![Act::Silence; 3]).await.unwrap_err();
    assert_eq!((problem.reason, problem.execution), (Reason::LinkLost, Execution::NotRun));
    assert_eq!(*fixture.table.voided.lock().unwrap(), tokens(&fixture));
    assert_eq!(tokens(&fixture).len(), 3);
    assert!(problem.retry_after.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_unknown_if_an_attempt_can_not_be_declared_void() {
    for refuses in [VoidOutcome::Refused, VoidOutcome::Unavailable] {
        let fixture = Fixture::new().await;
        *fixture.table.refuses.lock().unwrap() = Some(refuses);
        let problem = run(&fixture, vec![Act::Silence; 3]).await.unwrap_err();
        assert_eq!((problem.reason, problem.execution), (Reason::LinkLost, Execution::Unknown));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_after_a_lost_attempt_speaks_of_itself_alone() {
    let fixture = Fixture::new().await;
    *fixture.table.refuses.lock().unwrap() = Some(VoidOutcome::Refused);
    let refusal = failed(Failure::refused(Reason::StoreUnavailable));
    let problem = run(&fixture, vec![refusal, Act::Silence]).await.unwrap_err();
    assert_eq!((problem.reason, problem.execution), (Reason::StoreUnavailable, Execution::Unknown));
    assert_eq!(*fixture.table.voided.lock().unwrap(), ["r.1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_the_process_calls_unknown_stays_unknown() {
    let fixture = Fixture::new().await;
    let unknown = failed(Failure::lost(Reason::OutcomeUnknown));
    let problem = run(&fixture, vec![unknown]).await.unwrap_err();
    assert_eq!((problem.reason, problem.execution), (Reason::OutcomeUnknown, Execution::Unknown));
    assert!(fixture.table.voided.lock().unwrap().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_not_run_without_a_write() {
    let fixture = Fixture::new().await;
    let problem = run(&fixture, vec![failed(Failure::refused(Reason::OverBound))]).await;
    let problem = problem.unwrap_err();
    assert_eq!((problem.reason, problem.execution), (Reason::OverBound, Execution::NotRun));
    assert_eq!(tokens(&fixture).len(), 1, "there is no other target");
    assert!(fixture.table.voided.lock().unwrap().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_sent_where_no_connection_can_be_opened() {
    let fixture = Fixture::new().await;
    fixture.server.stop().unwrap();
    fixture.server.clone().stopped().await;
    let problem = run(&fixture, Vec::new()).await.unwrap_err();
    assert_eq!(problem.execution, Execution::NotRun);
    assert!(tokens(&fixture).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn only_answers_in_place_of_a_method_are_surely_not_run() {
    use cornelpass_router::link::effect;
    use jsonrpsee::core::client::Error;
    use jsonrpsee::types::{ErrorObject, error as code};

    let call = |code| Error::Call(ErrorObject::owned(code, "", None::<()>));
    for code in [
        code::METHOD_NOT_FOUND_CODE,
        code::INVALID_PARAMS_CODE,
        code::OVERSIZED_REQUEST_CODE,
        code::SERVER_IS_BUSY_CODE,
        code::TOO_MANY_SUBSCRIPTIONS_CODE,
    ] {
        assert_eq!(effect(&call(code)), Execution::NotRun);
    }
    for error in [
        call(code::INTERNAL_ERROR_CODE),
        call(code::OVERSIZED_RESPONSE_CODE),
        Error::RequestTimeout,
        Error::RestartNeeded(Arc::new(Error::Custom(String::new()))),
        Error::ServiceDisconnect,
    ] {
        assert_eq!(effect(&error), Execution::Unknown, "{error}");
    }
}
