//! What becomes of a paid call at each point at which it can be lost.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use common::{Script, beside, submission};
use cornelpass_core::claim::Answer;
use cornelpass_core::clock::{Clock, Manual};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::table::Kind;
use cornelpass_platform::claims::{Claim, Claims, FinishOutcome, StartOutcome, VoidOutcome};
use cornelpass_sidecar::calls;
use cornelpass_sidecar::node::{Node, Peers};
use cornelpass_target::error::Error;
use cornelpass_target::service::{self, Connection, Service};
use cornelpass_wire::frame::{Failure, Reply};
use cornelpass_wire::request::Call;

/// A table and a service, which note what is asked of them.
struct World {
    clock: Arc<Manual>,
    /// Pause of the process while it claims.
    pause: Duration,
    started: StartOutcome,
    /// Whether the service takes connections.
    listens: AtomicBool,
    /// Whether the service answers.
    answers: bool,
    sent: AtomicUsize,
    asked: Mutex<Vec<&'static str>>,
}

impl World {
    fn new() -> Self {
        Self {
            clock: Arc::new(Manual::new()),
            pause: Duration::ZERO,
            started: StartOutcome::Run,
            listens: AtomicBool::new(true),
            answers: true,
            sent: AtomicUsize::new(0),
            asked: Mutex::default(),
        }
    }

    fn note(&self, asked: &'static str) {
        self.asked.lock().unwrap().push(asked);
    }
}

impl Claims for World {
    fn start(&self, _claim: &Claim, _remaining: Duration) -> StartOutcome {
        self.note("start");
        self.clock.advance(self.pause);
        self.started.clone()
    }

    fn finish(&self, _claim: &Claim, _answer: &Answer, _remaining: Duration) -> FinishOutcome {
        self.note("finish");
        FinishOutcome::Recorded
    }

    fn void(&self, _claim: &Claim, _remaining: Duration) -> VoidOutcome {
        VoidOutcome::Refused
    }

    fn release(&self, _claim: &Claim, _remaining: Duration) -> VoidOutcome {
        self.note("release");
        VoidOutcome::Void
    }
}

/// The service of a world.
struct Target(Arc<World>);

#[async_trait]
impl Service for Target {
    async fn open(&self) -> Result<Box<dyn Connection>, Error> {
        let open = self.0.listens.load(Ordering::SeqCst);
        let closed = || Error::Unsent { detail: "refused".to_owned() };
        if open { Ok(Box::new(Self(Arc::clone(&self.0)))) } else { Err(closed()) }
    }
}

#[async_trait]
impl Connection for Target {
    async fn call(
        self: Box<Self>,
        _call: &service::Call<'_>,
        _patience: Duration,
    ) -> Result<Answer, Error> {
        self.0.sent.fetch_add(1, Ordering::SeqCst);
        let answer =
            Answer { status: 503, content_type: "text/plain".to_owned(), body: "x".to_owned() };
        let lost = || Error::Lost { detail: "closed".to_owned() };
        if self.0.answers { Ok(answer) } else { Err(lost()) }
    }
}

/// Makes a paid call; returns the reply, what the table was asked, and the requests sent.
async fn run(world: World) -> (Reply, Vec<&'static str>, usize) {
    let world = Arc::new(world);
    let service = Arc::new(Target(Arc::clone(&world)));
    let peers = Peers { engine: Arc::new(Script::default()), service, claims: world.clone() };
    let node: Arc<Node> = beside(Kind::Service, &world.clock, peers);
    node.replica().confirm(world.clock.now());
    let call = Call {
        envelope: submission("a", "org-1").envelope,
        method: "POST".to_owned(),
        path: "/deposits".to_owned(),
        content_type: "application/json".to_owned(),
        body: "{}".to_owned(),
        key: Some("deposit".to_owned()),
    };
    let reply = calls::run(&node, call).await;
    while node.open() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let asked = world.asked.lock().unwrap().clone();
    (reply, asked, world.sent.load(Ordering::SeqCst))
}

fn failed(reply: &Reply) -> (Reason, Execution) {
    match reply {
        Reply::Failed(Failure { reason, execution, .. }) => (*reason, *execution),
        Reply::Answer { .. } => panic!("{reply:?}"),
    }
}

#[tokio::test]
async fn an_error_status_is_the_answer_and_is_recorded() {
    let (reply, asked, sent) = run(World::new()).await;
    assert!(matches!(reply, Reply::Answer { ref answer, replayed: false } if answer.status == 503));
    assert_eq!((asked, sent), (vec!["start", "finish"], 1));
}

#[tokio::test]
async fn a_service_that_is_away_costs_no_claim() {
    let (reply, asked, sent) = run(World { listens: AtomicBool::new(false), ..World::new() }).await;
    assert_eq!(failed(&reply), (Reason::TargetLost, Execution::NotRun));
    assert_eq!((asked, sent), (vec![], 0));
}

#[tokio::test]
async fn a_process_that_was_paused_past_the_deadline_sends_nothing() {
    let (reply, asked, sent) = run(World { pause: Duration::from_secs(60), ..World::new() }).await;
    assert_eq!(failed(&reply), (Reason::DeadlineExceeded, Execution::NotRun));
    assert_eq!((asked, sent), (vec!["start", "release"], 0));
}

#[tokio::test]
async fn a_call_without_an_answer_is_unknown_and_neither_finished_nor_released() {
    let (reply, asked, sent) = run(World { answers: false, ..World::new() }).await;
    assert_eq!(failed(&reply), (Reason::OutcomeUnknown, Execution::Unknown));
    assert_eq!((asked, sent), (vec!["start"], 1));
}

#[tokio::test]
async fn a_claim_that_was_not_won_sends_nothing() {
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
    for (started, failure, wanted) in cases {
        let (reply, asked, sent) = run(World { started, ..World::new() }).await;
        match failure {
            Some(failure) => assert_eq!(failed(&reply), failure),
            None => assert!(matches!(reply, Reply::Answer { replayed: true, .. }), "{reply:?}"),
        }
        assert_eq!((asked, sent), (wanted, 0));
    }
}
