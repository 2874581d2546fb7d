//! Outcome of a call with an idempotency key at each point at which the call or its response can be
//! lost.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use common::{ScriptedEngine, sidecar_of_kind, submission};
use cornelpass_core::claim::Answer;
use cornelpass_core::clock::{Clock, Manual};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::table::Kind;
use cornelpass_platform::claims::{Claim, Claims, FinishOutcome, StartOutcome, VoidOutcome};
use cornelpass_sidecar::calls;
use cornelpass_sidecar::sidecar::{Clients, Sidecar};
use cornelpass_target::error::Error;
use cornelpass_target::service::{self, Connection, Service};
use cornelpass_wire::frame::{Failure, Response};
use cornelpass_wire::request::Call;

/// A table and a service that record the requests to them.
struct Scenario {
    clock: Arc<Manual>,
    /// Pause of the process while it claims the key.
    claim_pause: Duration,
    /// Result of the claim.
    start_outcome: StartOutcome,
    /// Whether the service accepts connections.
    accepts_connections: AtomicBool,
    /// Whether the service responds to a call.
    responds: bool,
    /// Number of calls that the service received.
    sent_count: AtomicUsize,
    /// Claim functions that were called, in order.
    claim_calls: Mutex<Vec<&'static str>>,
}

impl Scenario {
    fn new() -> Self {
        Self {
            clock: Arc::new(Manual::new()),
            claim_pause: Duration::ZERO,
            start_outcome: StartOutcome::Run,
            accepts_connections: AtomicBool::new(true),
            responds: true,
            sent_count: AtomicUsize::new(0),
            claim_calls: Mutex::default(),
        }
    }

    fn record_claim_call(&self, function: &'static str) {
        self.claim_calls.lock().unwrap().push(function);
    }
}

impl Claims for Scenario {
    fn start(&self, _claim: &Claim, _remaining: Duration) -> StartOutcome {
        self.record_claim_call("start");
        self.clock.advance(self.claim_pause);
        self.start_outcome.clone()
    }

    fn finish(&self, _claim: &Claim, _answer: &Answer, _remaining: Duration) -> FinishOutcome {
        self.record_claim_call("finish");
        FinishOutcome::Recorded
    }

    fn void(&self, _claim: &Claim, _remaining: Duration) -> VoidOutcome {
        VoidOutcome::Refused
    }

    fn release(&self, _claim: &Claim, _remaining: Duration) -> VoidOutcome {
        self.record_claim_call("release");
        VoidOutcome::Void
    }
}

/// The service of a scenario.
struct FakeService(Arc<Scenario>);

#[async_trait]
impl Service for FakeService {
    async fn open(&self) -> Result<Box<dyn Connection>, Error> {
        let accepts = self.0.accepts_connections.load(Ordering::SeqCst);
        let refused = || Error::Unsent { detail: "refused".to_owned() };
        if accepts { Ok(Box::new(Self(Arc::clone(&self.0)))) } else { Err(refused()) }
    }
}

#[async_trait]
impl Connection for FakeService {
    async fn call(
        self: Box<Self>,
        _call: &service::Call<'_>,
        _time_limit: Duration,
    ) -> Result<Answer, Error> {
        self.0.sent_count.fetch_add(1, Ordering::SeqCst);
        let answer =
            Answer { status: 503, content_type: "text/plain".to_owned(), body: "x".to_owned() };
        let lost = || Error::Lost { detail: "closed".to_owned() };
        if self.0.responds { Ok(answer) } else { Err(lost()) }
    }
}

/// Runs a call with an idempotency key; returns the response, the claim functions that were called,
/// and the number of calls that the service received.
async fn run_call(scenario: Scenario) -> (Response, Vec<&'static str>, usize) {
    let scenario = Arc::new(scenario);
    let service = Arc::new(FakeService(Arc::clone(&scenario)));
    let clients =
        Clients { engine: Arc::new(ScriptedEngine::default()), service, claims: scenario.clone() };
    let sidecar: Arc<Sidecar> = sidecar_of_kind(Kind::Service, &scenario.clock, clients);
    sidecar.replica().confirm(scenario.clock.now());
    let call = Call {
        envelope: submission("a", "org-1").envelope,
        method: "POST".to_owned(),
        path: "/deposits".to_owned(),
        content_type: "application/json".to_owned(),
        body: "{}".to_owned(),
        key: Some("deposit".to_owned()),
    };
    let response = calls::run(&sidecar, call).await;
    while sidecar.open_count() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let claim_calls = scenario.claim_calls.lock().unwrap().clone();
    (response, claim_calls, scenario.sent_count.load(Ordering::SeqCst))
}

fn expect_failure(response: &Response) -> (Reason, Execution) {
    match response {
        Response::Failed(Failure { reason, execution, .. }) => (*reason, *execution),
        Response::Answer { .. } => panic!("{response:?}"),
    }
}

#[tokio::test]
async fn an_error_status_is_the_answer_and_is_recorded() {
    let (response, claim_calls, sent_count) = run_call(Scenario::new()).await;
    assert!(
        matches!(response, Response::Answer { ref answer, replayed: false } if answer.status == 503)
    );
    assert_eq!((claim_calls, sent_count), (vec!["start", "finish"], 1));
}

#[tokio::test]
async fn an_unreachable_service_causes_no_claim() {
    let (response, claim_calls, sent_count) =
        run_call(Scenario { accepts_connections: AtomicBool::new(false), ..Scenario::new() }).await;
    assert_eq!(expect_failure(&response), (Reason::TargetLost, Execution::NotRun));
    assert_eq!((claim_calls, sent_count), (vec![], 0));
}

#[tokio::test]
async fn a_process_that_was_paused_past_the_deadline_sends_nothing() {
    let (response, claim_calls, sent_count) =
        run_call(Scenario { claim_pause: Duration::from_secs(60), ..Scenario::new() }).await;
    assert_eq!(expect_failure(&response), (Reason::DeadlineExceeded, Execution::NotRun));
    assert_eq!((claim_calls, sent_count), (vec!["start", "release"], 0));
}

#[tokio::test]
async fn a_call_without_a_response_has_an_unknown_outcome_and_keeps_its_claim() {
    let (response, claim_calls, sent_count) =
        run_call(Scenario { responds: false, ..Scenario::new() }).await;
    assert_eq!(expect_failure(&response), (Reason::OutcomeUnknown, Execution::Unknown));
    assert_eq!((claim_calls, sent_count), (vec!["start"], 1));
}

#[tokio::test]
async fn a_call_whose_claim_did_not_start_sends_nothing() {
    let answer =
        Answer { status: 201, content_type: "text/plain".to_owned(), body: "first".to_owned() };
    let cases = [
        (StartOutcome::InProgress, Some((Reason::InProgress, Execution::Unknown)), vec!["start"]),
        (
            StartOutcome::OutcomeUnknown,
            Some((Reason::OutcomeUnknown, Execution::Unknown)),
            vec!["start"],
        ),
        (StartOutcome::KeyReused, Some((Reason::KeyReused, Execution::NotRun)), vec!["start"]),
        (StartOutcome::Void, Some((Reason::DeadlineExceeded, Execution::NotRun)), vec!["start"]),
        (
            StartOutcome::Unavailable { may_have_taken_effect: false },
            Some((Reason::StoreUnavailable, Execution::NotRun)),
            vec!["start"],
        ),
        (
            StartOutcome::Unavailable { may_have_taken_effect: true },
            Some((Reason::StoreUnavailable, Execution::NotRun)),
            vec!["start", "release"],
        ),
        (StartOutcome::Answered(answer), None, vec!["start"]),
    ];
    for (start_outcome, failure, expected_calls) in cases {
        let (response, claim_calls, sent_count) =
            run_call(Scenario { start_outcome, ..Scenario::new() }).await;
        match failure {
            Some(failure) => assert_eq!(expect_failure(&response), failure),
            None => {
                assert!(matches!(response, Response::Answer { replayed: true, .. }), "{response:?}")
            }
        }
        assert_eq!((claim_calls, sent_count), (expected_calls, 0));
    }
}
