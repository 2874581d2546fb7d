//! A sidecar with a scripted engine.

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
use cornelpass_sidecar::sidecar::{Clients, Sidecar};
use cornelpass_sidecar::untracked::MAX_REPORT_LAG;
use cornelpass_target::engine::{Engine, Event, Generation, Load, Prompt};
use cornelpass_target::error::Error;
use cornelpass_target::service::{Connection, Service};
use cornelpass_wire::request::{Envelope, Resume, Submission};
use flume::{Receiver, Sender};

/// Boot number of the engine.
pub(crate) const BOOT: u64 = 7;

/// Limit of the target and of each organisation, in units of load.
pub(crate) const LIMIT: u32 = 8;

/// An engine whose responses are set by a test.
#[derive(Default)]
pub(crate) struct ScriptedEngine {
    /// Requests that the engine received, in order; load queries are not included.
    pub(crate) requests: Mutex<Vec<String>>,
    /// Events of the next connections; without one, a request gets status 404.
    pub(crate) connections: Mutex<VecDeque<Receiver<Event>>>,
    /// Load report; none if the engine is unreachable.
    pub(crate) load: Mutex<Option<Load>>,
}

impl ScriptedEngine {
    /// Prepares the next connection; returns the sender of its events.
    pub(crate) fn prepare_connection(&self) -> Sender<Event> {
        let (sender, receiver) = flume::unbounded();
        self.connections.lock().unwrap().push_back(receiver);
        sender
    }

    /// Sets the load report.
    pub(crate) fn set_load_report(&self, boot: u64, running: u32) {
        *self.load.lock().unwrap() = Some(Load { boot, running, waiting: 0 });
    }

    /// Requests that the engine received, in order.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    fn open_next(&self, request: String) -> Result<Generation, Error> {
        self.requests.lock().unwrap().push(request);
        let events = self.connections.lock().unwrap().pop_front();
        let unknown = Error::Status { status: 404, detail: String::new() };
        Ok(Generation { boot: BOOT, events: events.ok_or(unknown)? })
    }
}

#[async_trait]
impl Engine for ScriptedEngine {
    async fn generate(&self, prompt: &Prompt<'_>) -> Result<Generation, Error> {
        self.open_next(format!("generate {}", without_organisation(prompt.stream_id)))
    }

    async fn resume(&self, stream: &str, from_offset: u32) -> Result<Generation, Error> {
        self.open_next(format!("resume {} {from_offset}", without_organisation(stream)))
    }

    async fn cancel(&self, stream: &str) -> Result<(), Error> {
        self.requests.lock().unwrap().push(format!("cancel {}", without_organisation(stream)));
        Ok(())
    }

    async fn load(&self) -> Result<Load, Error> {
        let load = *self.load.lock().unwrap();
        load.ok_or(Error::Unsent { detail: "refused".to_owned() })
    }
}

#[async_trait]
impl Service for ScriptedEngine {
    async fn open(&self) -> Result<Box<dyn Connection>, Error> {
        Err(Error::Unsent { detail: "no service".to_owned() })
    }
}

impl Claims for ScriptedEngine {
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

/// ID of a stream without the prefix of its organisation.
fn without_organisation(stream_id: &str) -> &str {
    stream_id.split_once('.').unwrap().1
}

fn table(kind: Kind) -> Table {
    let organisation = Organisation { weight: 1, limit: LIMIT, in_service: true };
    let organisations = ["org-1", "org-2"]
        .map(|organisation_name| (organisation_name.to_owned(), organisation.clone()));
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

/// A sidecar of a target of a kind, with a configuration that the platform has not confirmed.
pub(crate) fn sidecar_of_kind(kind: Kind, clock: &Arc<Manual>, clients: Clients) -> Arc<Sidecar> {
    let sidecar = Sidecar::new("engine-1", clock.clone(), Metrics::new().unwrap(), clients);
    sidecar.offer(Snapshot { version: 1, source: 1, table: table(kind) });
    Arc::new(sidecar)
}

/// A sidecar of a scripted engine, with a configuration that the platform has not confirmed.
pub(crate) fn unconfirmed_sidecar() -> (Arc<ScriptedEngine>, Arc<Manual>, Arc<Sidecar>) {
    let (engine, clock) = (Arc::new(ScriptedEngine::default()), Arc::new(Manual::new()));
    let clients =
        Clients { engine: engine.clone(), service: engine.clone(), claims: engine.clone() };
    let sidecar = sidecar_of_kind(Kind::Model, &clock, clients);
    engine.set_load_report(BOOT, 0);
    (engine, clock, sidecar)
}

/// A sidecar of a scripted engine, with a configuration that the platform has confirmed.
///
/// The load of the engine has not been queried yet.
pub(crate) fn confirmed_sidecar() -> (Arc<ScriptedEngine>, Arc<Manual>, Arc<Sidecar>) {
    let (engine, clock, sidecar) = unconfirmed_sidecar();
    sidecar.replica().confirm(clock.now());
    (engine, clock, sidecar)
}

/// Queries and applies the engine's load report, as the periodic probe does.
pub(crate) async fn probe(sidecar: &Sidecar) {
    let load = cornelpass_sidecar::liveness::probe(sidecar).await.unwrap();
    sidecar.apply_load_report(&load);
}

/// A sidecar that admits requests.
pub(crate) async fn ready_sidecar() -> (Arc<ScriptedEngine>, Arc<Manual>, Arc<Sidecar>) {
    let (engine, clock, sidecar) = confirmed_sidecar();
    probe_until_load_known(&clock, &sidecar).await;
    (engine, clock, sidecar)
}

/// Applies load reports until the engine's load is known.
pub(crate) async fn probe_until_load_known(clock: &Manual, sidecar: &Sidecar) {
    probe(sidecar).await;
    clock.advance(MAX_REPORT_LAG);
    probe(sidecar).await;
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

/// A request to resume a stream.
pub(crate) fn resume(request: &str, organisation: &str, from_offset: u32) -> Resume {
    let stream = format!("{request}.1");
    Resume { stream, attempt: 1, from_offset, organisation: organisation.to_owned() }
}

/// Report for routers.
pub(crate) fn report(sidecar: &Sidecar) -> Report {
    sidecar.report()
}
