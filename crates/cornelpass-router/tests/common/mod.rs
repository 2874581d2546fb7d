//! State of a router, and a sidecar whose behaviour the tests script.
//!
//! The sidecar serves two targets at one address: a plain service and a model.

#![allow(clippy::unwrap_used, dead_code, unreachable_pub, reason = "helpers of several tests")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use cornelpass_caller::request;
use cornelpass_core::claim::Answer;
use cornelpass_core::clock::System;
use cornelpass_core::config::Snapshot;
use cornelpass_core::placement::Bounded;
use cornelpass_core::table::{self, DataCentre, Kind, Organisation, Policy, Target};
use cornelpass_core::target_report::{Report, State};
use cornelpass_operator::metrics::Metrics;
use cornelpass_platform::claims::{Claim, Claims, FinishOutcome, StartOutcome, VoidOutcome};
use cornelpass_router::state::State as RouterState;
use cornelpass_wire::frame::{Body, Frame, Response};
use cornelpass_wire::heartbeat::Heartbeat;
use cornelpass_wire::link::LinkServer;
use cornelpass_wire::request::{Call, Resume, Submission};
use jsonrpsee::core::{RpcResult, SubscriptionResult};
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::{PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink};

/// Target that serves a plain service.
pub const SERVICE_TARGET: &str = "t-1";

/// Target that serves a model.
pub const MODEL_TARGET: &str = "t-2";

pub const ORGANISATION: &str = "org-1";

/// Number of pieces in each chat response.
pub const PIECE_COUNT: u32 = 200;

/// What the sidecar does with the next call.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends this response.
    Respond(Response),
    /// Sends no response, and keeps the connection open.
    NoResponse,
}

/// Sidecar of both targets.
#[derive(Clone, Default)]
pub struct ScriptedSidecar {
    /// Actions for the next calls, in reverse order; calls beyond the last action get [`answer`].
    pub actions: Arc<Mutex<Vec<Action>>>,
    /// Received calls.
    pub calls: Arc<Mutex<Vec<Call>>>,
    /// Number of requests to resume a stream.
    pub resume_count: Arc<AtomicU32>,
}

#[async_trait]
impl LinkServer for ScriptedSidecar {
    async fn exchange(&self, _heartbeat: Heartbeat) -> RpcResult<Report> {
        Ok(report())
    }

    async fn snapshot(&self) -> RpcResult<Option<Snapshot>> {
        Ok(None)
    }

    async fn offer(&self, _snapshot: Snapshot) -> RpcResult<Report> {
        Ok(report())
    }

    async fn call(&self, call: Call) -> RpcResult<Response> {
        self.calls.lock().unwrap().push(call);
        let action = self.actions.lock().unwrap().pop();
        match action {
            Some(Action::Respond(response)) => Ok(response),
            Some(Action::NoResponse) => std::future::pending().await,
            None => Ok(Response::Answer { answer: answer(), replayed: false }),
        }
    }

    async fn submit(
        &self,
        pending: PendingSubscriptionSink,
        submission: Submission,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        send_frames(sink, submission.envelope.attempt, submission.offset).await;
        Ok(())
    }

    async fn resume(&self, pending: PendingSubscriptionSink, resume: Resume) -> SubscriptionResult {
        self.resume_count.fetch_add(1, Ordering::SeqCst);
        let sink = pending.accept().await?;
        send_frames(sink, resume.attempt, resume.from_offset).await;
        Ok(())
    }

    async fn cancel(&self, _stream: String) -> RpcResult<bool> {
        Ok(true)
    }
}

/// Sends the frames of a chat response, from the piece at an offset.
async fn send_frames(sink: SubscriptionSink, attempt: u32, from_offset: u32) {
    let pieces =
        (from_offset..PIECE_COUNT).map(|offset| Body::Text { offset, text: piece_text(offset) });
    let (finish, usage) = (cornelpass_core::chat::Finish::Stop, Default::default());
    for body in pieces.chain([Body::End { total: PIECE_COUNT, finish, usage }]) {
        let frame = serde_json::value::to_raw_value(&Frame::new(attempt, body)).unwrap();
        if sink.send(SubscriptionMessage::from(frame)).await.is_err() {
            return;
        }
    }
}

/// Text of the piece at an offset.
pub fn piece_text(offset: u32) -> String {
    format!("{offset} ")
}

/// Response of the plain service.
pub fn answer() -> Answer {
    Answer { status: 201, content_type: "text/plain".to_owned(), body: "done".to_owned() }
}

/// Report of a target that accepts requests.
fn report() -> Report {
    let state = State::Steady;
    Report { version: 1, state, bound: 100, boot: 1, ramp_percent: 100, ..Report::default() }
}

/// Claims in which a test sets the outcome of declaring an attempt void.
#[derive(Default)]
pub struct ScriptedClaims {
    /// Tokens of the attempts that the router asked to declare void.
    pub void_requests: Mutex<Vec<String>>,
    /// Outcome of each request to declare an attempt void; [`VoidOutcome::Void`] if `None`.
    pub void_outcome: Mutex<Option<VoidOutcome>>,
}

impl Claims for ScriptedClaims {
    fn start(&self, _claim: &Claim, _remaining: Duration) -> StartOutcome {
        StartOutcome::Run
    }

    fn finish(&self, _claim: &Claim, _answer: &Answer, _remaining: Duration) -> FinishOutcome {
        FinishOutcome::Recorded
    }

    fn void(&self, claim: &Claim, _remaining: Duration) -> VoidOutcome {
        self.void_requests.lock().unwrap().push(claim.token().to_owned());
        self.void_outcome.lock().unwrap().unwrap_or(VoidOutcome::Void)
    }

    fn release(&self, _claim: &Claim, _remaining: Duration) -> VoidOutcome {
        VoidOutcome::Void
    }
}

/// A router that serves, and its sidecar.
pub struct Fixture {
    pub state: Arc<RouterState>,
    pub sidecar: ScriptedSidecar,
    pub claims: Arc<ScriptedClaims>,
    pub address: SocketAddr,
    pub server: ServerHandle,
}

impl Fixture {
    /// Starts the sidecar and the router, and waits for the first report of [`SERVICE_TARGET`].
    pub async fn new() -> Self {
        let sidecar = ScriptedSidecar::default();
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap();
        let server = server.start(sidecar.clone().into_rpc());
        let claims = Arc::new(ScriptedClaims::default());
        let metrics = Metrics::new().unwrap();
        let clock = Arc::new(System);
        let state = RouterState::new("r-1", clock, metrics, Box::new(Bounded), claims.clone());
        let state = Arc::new(state);
        state.offer(Snapshot { version: 1, source: 1, table: config_table(address) });
        state.start_serving();
        let fixture = Self { state, sidecar, claims, address, server };
        tokio::spawn(cornelpass_router::sidecars::run(Arc::clone(&fixture.state)));
        let now = || fixture.state.clock.now();
        wait_until(|| fixture.state.target_reports().report(SERVICE_TARGET, now()).is_some()).await;
        fixture
    }

    /// Discards the current connection, as the router does after a heartbeat without a response.
    pub async fn replace_connection(&self) {
        let link = self.state.link(SERVICE_TARGET).unwrap();
        let connection = link.connection().await.unwrap();
        link.discard(connection.generation).await;
    }

    /// A call of the plain service, with an idempotency key.
    pub fn call(&self) -> request::Call {
        request::Call {
            organisation: ORGANISATION.to_owned(),
            service: "orders".to_owned(),
            method: "POST".to_owned(),
            path: "/deposits".to_owned(),
            content_type: "application/json".to_owned(),
            body: "{}".to_owned(),
            idempotency_key: Some("k".to_owned()),
            digest: 7,
            timeout: Duration::from_secs(20),
        }
    }
}

/// Configuration table with one plain service and one model, both at the same address.
fn config_table(address: SocketAddr) -> table::Table {
    let mut table = table::Table { policy: Policy::default(), ..table::Table::default() };
    let organisation = Organisation { weight: 1, limit: 100, in_service: true };
    table.organisations.insert(ORGANISATION.to_owned(), organisation);
    let data_centre = DataCentre { region: "norte".to_owned(), in_service: true };
    table.data_centres.insert("dc-1".to_owned(), data_centre);
    for (name, kind, serves) in
        [(SERVICE_TARGET, Kind::Service, "orders"), (MODEL_TARGET, Kind::Model, "m")]
    {
        let target = Target {
            data_centre: "dc-1".to_owned(),
            kind,
            serves: serves.to_owned(),
            address,
            weight: 1,
            limit: 100,
            cold_limit: 100,
            cold_seconds: 0,
            in_service: true,
        };
        table.targets.insert(name.to_owned(), target);
    }
    table
}

/// Waits until a condition holds, for 20 s at most.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), poll).await.unwrap();
}
