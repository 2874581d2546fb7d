//! A router's state with a scripted process beside its one target.

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
use cornelpass_router::node::Node;
use cornelpass_wire::frame::{Body, Frame, Reply};
use cornelpass_wire::heartbeat::Heartbeat;
use cornelpass_wire::link::LinkServer;
use cornelpass_wire::request::{Call, Resume, Submission};
use jsonrpsee::core::{RpcResult, SubscriptionResult};
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::{PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink};

pub const TARGET: &str = "t-1";
pub const ORGANISATION: &str = "org-1";

/// Pieces in each answer.
pub const TOTAL: u32 = 200;

/// What the process does with the next call.
#[derive(Clone, Debug)]
pub enum Act {
    Reply(Reply),
    /// Gives no answer; the connection stands.
    Silence,
}

/// The process beside the target.
#[derive(Clone, Default)]
pub struct Beside {
    pub acts: Arc<Mutex<Vec<Act>>>,
    pub calls: Arc<Mutex<Vec<Call>>>,
    pub resumed: Arc<AtomicU32>,
}

#[async_trait]
impl LinkServer for Beside {
    async fn exchange(&self, _heartbeat: Heartbeat) -> RpcResult<Report> {
        Ok(report())
    }

    async fn snapshot(&self) -> RpcResult<Option<Snapshot>> {
        Ok(None)
    }

    async fn offer(&self, _snapshot: Snapshot) -> RpcResult<Report> {
        Ok(report())
    }

    async fn call(&self, call: Call) -> RpcResult<Reply> {
        self.calls.lock().unwrap().push(call);
        let act = self.acts.lock().unwrap().pop();
        match act {
            Some(Act::Reply(reply)) => Ok(reply),
            Some(Act::Silence) => std::future::pending().await,
            None => Ok(Reply::Answer { answer: answer(), replayed: false }),
        }
    }

    async fn submit(
        &self,
        pending: PendingSubscriptionSink,
        submission: Submission,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        give(sink, submission.envelope.attempt, submission.offset).await;
        Ok(())
    }

    async fn resume(&self, pending: PendingSubscriptionSink, resume: Resume) -> SubscriptionResult {
        self.resumed.fetch_add(1, Ordering::SeqCst);
        let sink = pending.accept().await?;
        give(sink, resume.attempt, resume.from_offset).await;
        Ok(())
    }

    async fn cancel(&self, _stream: String) -> RpcResult<bool> {
        Ok(true)
    }
}

async fn give(sink: SubscriptionSink, attempt: u32, from: u32) {
    let texts = (from..TOTAL).map(|offset| Body::Text { offset, text: word(offset) });
    let (finish, usage) = (cornelpass_core::chat::Finish::Stop, Default::default());
    for body in texts.chain([Body::End { total: TOTAL, finish, usage }]) {
        let frame = serde_json::value::to_raw_value(&Frame::new(attempt, body)).unwrap();
        if sink.send(SubscriptionMessage::from(frame)).await.is_err() {
            return;
        }
    }
}

pub fn word(offset: u32) -> String {
    format!("{offset} ")
}

pub fn answer() -> Answer {
    Answer { status: 201, content_type: "text/plain".to_owned(), body: "done".to_owned() }
}

fn report() -> Report {
    let state = State::Steady;
    Report { version: 1, state, bound: 100, boot: 1, ramp_percent: 100, ..Report::default() }
}

/// Claims that answer a request to declare an attempt void as a test says.
#[derive(Default)]
pub struct Table {
    pub voided: Mutex<Vec<String>>,
    pub refuses: Mutex<Option<VoidOutcome>>,
}

impl Claims for Table {
    fn start(&self, _claim: &Claim, _remaining: Duration) -> StartOutcome {
        StartOutcome::Run
    }

    fn finish(&self, _claim: &Claim, _answer: &Answer, _remaining: Duration) -> FinishOutcome {
        FinishOutcome::Recorded
    }

    fn void(&self, claim: &Claim, _remaining: Duration) -> VoidOutcome {
        self.voided.lock().unwrap().push(claim.token().to_owned());
        self.refuses.lock().unwrap().unwrap_or(VoidOutcome::Void)
    }

    fn release(&self, _claim: &Claim, _remaining: Duration) -> VoidOutcome {
        VoidOutcome::Void
    }
}

/// A router and the process beside its target.
pub struct Fixture {
    pub node: Arc<Node>,
    pub beside: Beside,
    pub table: Arc<Table>,
    pub address: SocketAddr,
    pub server: ServerHandle,
}

impl Fixture {
    pub async fn new() -> Self {
        let beside = Beside::default();
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap();
        let server = server.start(beside.clone().into_rpc());
        let table = Arc::new(Table::default());
        let metrics = Metrics::new().unwrap();
        let clock = Arc::new(System);
        let node = Node::new("r-1", clock, metrics, Box::new(Bounded), table.clone());
        let node = Arc::new(node);
        node.offer(Snapshot { version: 1, source: 1, table: rows(address) });
        node.serve();
        let fixture = Self { node, beside, table, address, server };
        tokio::spawn(cornelpass_router::fleet::run(Arc::clone(&fixture.node)));
        let now = || fixture.node.clock.now();
        until(|| fixture.node.view().report(TARGET, now()).is_some()).await;
        fixture
    }

    /// Gives the current connection up, as a missed heartbeat does.
    pub async fn replace_connection(&self) {
        let link = self.node.link(TARGET).unwrap();
        let channel = link.channel().await.unwrap();
        link.abandon(channel.generation).await;
    }

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

fn rows(address: SocketAddr) -> table::Table {
    let mut table = table::Table { policy: Policy::default(), ..table::Table::default() };
    let organisation = Organisation { weight: 1, limit: 100, in_service: true };
    table.organisations.insert(ORGANISATION.to_owned(), organisation);
    let data_centre = DataCentre { region: "norte".to_owned(), in_service: true };
    table.data_centres.insert("dc-1".to_owned(), data_centre);
    for (name, kind, serves) in [(TARGET, Kind::Service, "orders"), ("t-2", Kind::Model, "m")] {
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

/// Waits until a condition holds.
pub async fn until(ready: impl Fn() -> bool) {
    let waited = async {
        while !ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), waited).await.unwrap();
}
