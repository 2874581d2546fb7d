//! A node beside a scripted engine.

#![allow(dead_code)]
#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use cornelpass_core::claim::Answer;
use cornelpass_core::clock::{Clock, Manual};
use cornelpass_core::config::Snapshot;
use cornelpass_core::table::{DataCentre, Kind, Organisation, Policy, Table, Target};
use cornelpass_core::target_report::Report;
use cornelpass_operator::metrics::Metrics;
use cornelpass_platform::claims::{Claim, Claims, FinishOutcome, StartOutcome, VoidOutcome};
use cornelpass_sidecar::inherited::REPORT_LAG;
use cornelpass_sidecar::node::{Node, Peers};
use cornelpass_target::engine::{Engine, Event, Generation, Load, Prompt};
use cornelpass_target::error::Error;
use cornelpass_target::service::{Connection, Service};
use cornelpass_wire::request::{Envelope, Resume, Submission};
use flume::{Receiver, Sender};

/// Boot number of the engine.
pub(crate) const BOOT: u64 = 7;

/// Target's limit, in units of load.
pub(crate) const LIMIT: u32 = 8;

/// An engine that does what a test tells it.
#[derive(Default)]
pub(crate) struct Script {
    /// What is asked of it, in order.
    pub(crate) asked: Mutex<Vec<String>>,
    /// Connections that it opens next; without one a request finds no stream.
    pub(crate) connections: Mutex<VecDeque<Receiver<Event>>>,
    /// Its load report; none if it is gone.
    pub(crate) load: Mutex<Option<Load>>,
}

impl Script {
    /// Prepares a connection; returns its other end.
    pub(crate) fn connection(&self) -> Sender<Event> {
        let (sender, receiver) = flume::unbounded();
        self.connections.lock().unwrap().push_back(receiver);
        sender
    }

    /// Sets the load report.
    pub(crate) fn report(&self, boot: u64, running: u32) {
        *self.load.lock().unwrap() = Some(Load { boot, running, waiting: 0 });
    }

    /// What was asked.
    pub(crate) fn asked(&self) -> Vec<String> {
        self.asked.lock().unwrap().clone()
    }

    fn open(&self, asked: String) -> Result<Generation, Error> {
        self.asked.lock().unwrap().push(asked);
        let events = self.connections.lock().unwrap().pop_front();
        let unknown = Error::Status { status: 404, detail: String::new() };
        Ok(Generation { boot: BOOT, events: events.ok_or(unknown)? })
    }
}

#[async_trait]
impl Engine for Script {
    async fn generate(&self, prompt: &Prompt<'_>) -> Result<Generation, Error> {
        self.open(format!("generate {}", name(prompt.stream_id)))
    }

    async fn resume(&self, stream: &str, from: u32) -> Result<Generation, Error> {
        self.open(format!("resume {} {from}", name(stream)))
    }

    async fn cancel(&self, stream: &str) -> Result<(), Error> {
        self.asked.lock().unwrap().push(format!("cancel {}", name(stream)));
        Ok(())
    }

    async fn load(&self) -> Result<Load, Error> {
        let load = *self.load.lock().unwrap();
        load.ok_or(Error::Unsent { detail: "refused".to_owned() })
    }
}

#[async_trait]
impl Service for Script {
    async fn open(&self) -> Result<Box<dyn Connection>, Error> {
        Err(Error::Unsent { detail: "no service".to_owned() })
    }
}

impl Claims for Script {
    fn start(&self, _claim: &Claim, _remaining: Duration) -> StartOutcome {
        StartOutcome::Unavailable { may_have_taken_effect: false }
    }

    fn finish(&self, _claim: &Claim, _answer: &Answer, _remaining: Duration) -> FinishOutcome {
        FinishOutcome::Unavailable
    }

    fn void(&self, _claim: &Claim, _remaining: Duration) -> VoidOutcome {
        VoidOutcome::Unavailable
    }

    fn release(&self, _claim: &Claim, _remaining: Duration) -> VoidOutcome {
        VoidOutcome::Unavailable
    }
}

/// Name of a stream without the part that stands for its organisation.
fn name(stream: &str) -> &str {
    stream.split_once('.').unwrap().1
}

fn table(kind: Kind) -> Table {
    let organisation = Organisation { weight: 1, limit: LIMIT, in_service: true };
    let organisations = ["org-1", "org-2"].map(|name| (name.to_owned(), organisation.clone()));
    let target = Target {
        data_centre: "dc-1".to_owned(),
        kind,
        serves: "m".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        weight: 1,
        limit: LIMIT,
        cold_limit: LIMIT,
        cold_seconds: 0,
        in_service: true,
    };
    let data_centre = DataCentre { region: "norte".to_owned(), in_service: true };
    Table {
        policy: Policy { load_floor: LIMIT, ..Policy::default() },
        organisations: organisations.into(),
        data_centres: BTreeMap::from([("dc-1".to_owned(), data_centre)]),
        targets: BTreeMap::from([("engine-1".to_owned(), target)]),
    }
}

/// A node beside a target of a kind, with a configuration that is not confirmed.
pub(crate) fn beside(kind: Kind, clock: &Arc<Manual>, peers: Peers) -> Arc<Node> {
    let node = Node::new("engine-1", clock.clone(), Metrics::new().unwrap(), peers);
    node.offer(Snapshot { version: 1, source: 1, table: table(kind) });
    Arc::new(node)
}

/// A node beside a scripted engine, with a configuration that the platform has not confirmed.
pub(crate) fn unconfirmed() -> (Arc<Script>, Arc<Manual>, Arc<Node>) {
    let (script, clock) = (Arc::new(Script::default()), Arc::new(Manual::new()));
    let peers = Peers { engine: script.clone(), service: script.clone(), claims: script.clone() };
    let node = beside(Kind::Model, &clock, peers);
    script.report(BOOT, 0);
    (script, clock, node)
}

/// A node beside a scripted engine that has not reported its load yet.
pub(crate) fn fresh() -> (Arc<Script>, Arc<Manual>, Arc<Node>) {
    let (script, clock, node) = unconfirmed();
    node.replica().confirm(clock.now());
    (script, clock, node)
}

/// Takes the engine's load report as a probe does.
pub(crate) async fn probe(node: &Node) {
    let load = cornelpass_sidecar::fate::probe(node).await.unwrap();
    node.inherit(&load);
}

/// A node that admits work.
pub(crate) async fn node() -> (Arc<Script>, Arc<Manual>, Arc<Node>) {
    let (script, clock, node) = fresh();
    settle(&clock, &node).await;
    (script, clock, node)
}

/// Takes load reports until the load is known.
pub(crate) async fn settle(clock: &Manual, node: &Node) {
    probe(node).await;
    clock.advance(REPORT_LAG);
    probe(node).await;
}

/// A chat request of an organisation.
pub(crate) fn submission(request: &str, organisation: &str) -> Submission {
    Submission {
        envelope: Envelope {
            request: request.to_owned(),
            attempt: 1,
            version: 1,
            target: "engine-1".to_owned(),
            organisation: organisation.to_owned(),
            digest: 3,
            cost: 1,
            remaining_ms: 60_000,
        },
        model: "m".to_owned(),
        messages: "[]".to_owned(),
        max_tokens: 9,
        generated_text: String::new(),
        offset: 0,
    }
}

/// A request to continue a stream.
pub(crate) fn resume(request: &str, organisation: &str, from_offset: u32) -> Resume {
    let stream = format!("{request}.1");
    Resume { stream, attempt: 1, from_offset, organisation: organisation.to_owned() }
}

/// Report for routers.
pub(crate) fn report(node: &Node) -> Report {
    node.report()
}
