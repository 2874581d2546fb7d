//! State of the process: configuration in force, admission, and the streams that it holds.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cornelpass_core::admission::{Controller, Decision, Request, Ticket};
use cornelpass_core::clock::Clock;
use cornelpass_core::config::{OfferOutcome, Readiness, Replica, Snapshot, Startup, Version};
use cornelpass_core::refusal::Reason;
use cornelpass_core::table::Kind;
use cornelpass_core::target_report::{Report, State};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_operator::metrics::Metrics;
use cornelpass_target::engine::{Engine, Load};
use cornelpass_target::service::Service;
use cornelpass_wire::frame::Failure;
use cornelpass_wire::heartbeat::Heartbeat;
use cornelpass_wire::request::Envelope;

use crate::held::Streams;
use crate::inherited::{Inherited, REPORT_LAG};
use crate::recorder::Recorder;

/// Time for which a process that leaves still takes what routers send to it, while its reports
/// tell them: longer than a router's heartbeat period.
pub const LEAVING_GRACE: Duration = Duration::from_millis(1_200);

/// Peers of the process.
pub struct Peers {
    /// The target, as an engine.
    pub engine: Arc<dyn Engine>,
    /// The target, as a plain service.
    pub service: Arc<dyn Service>,
    /// Claims of calls that may not be repeated.
    pub claims: Arc<dyn cornelpass_platform::claims::Claims>,
}

/// State of the process beside a target.
pub struct Node {
    /// Name of the target's row.
    pub target: String,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Instruments.
    pub metrics: Metrics,
    /// Peers.
    pub peers: Peers,
    /// Streams that it holds.
    pub streams: Streams,
    /// Records of claimed calls.
    pub recorder: Recorder,
    replica: Arc<Mutex<Replica>>,
    startup: Mutex<Startup>,
    in_force: Mutex<InForce>,
    gate: Mutex<Controller>,
    inherited: Mutex<Inherited>,
    stopping: AtomicBool,
    listed: AtomicBool,
    /// Time since which it leaves.
    leaving: Mutex<Option<Instant>>,
    calls: AtomicUsize,
}

/// Counts a call as in progress until it is dropped.
pub struct Open {
    node: Arc<Node>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.node.calls.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What was last put into force.
#[derive(Default)]
struct InForce {
    version: Version,
    in_service: bool,
}

impl Node {
    /// A process beside a target, without a configuration.
    #[must_use]
    pub fn new(target: &str, clock: Arc<dyn Clock>, metrics: Metrics, peers: Peers) -> Self {
        let recorder = Recorder::start(&peers.claims);
        Self {
            target: target.to_owned(),
            clock,
            metrics,
            peers,
            streams: Streams::default(),
            recorder,
            replica: Arc::new(Mutex::new(Replica::new())),
            startup: Mutex::new(Startup::new()),
            in_force: Mutex::default(),
            gate: Mutex::new(Controller::new()),
            inherited: Mutex::default(),
            stopping: AtomicBool::new(false),
            listed: AtomicBool::new(false),
            leaving: Mutex::new(None),
            calls: AtomicUsize::new(0),
        }
    }

    /// The configuration in force.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        lock(&self.replica)
    }

    /// Admission to the target.
    pub fn gate(&self) -> MutexGuard<'_, Controller> {
        lock(&self.gate)
    }

    /// Load that the engine had before this process; to be locked after the gate.
    pub fn inherited(&self) -> MutexGuard<'_, Inherited> {
        lock(&self.inherited)
    }

    /// Boot number of the target, 0 if not known.
    #[must_use]
    pub fn boot(&self) -> u64 {
        self.gate().status(self.clock.now()).boot
    }

    /// Takes the engine's load report.
    pub fn inherit(&self, load: &Load) {
        let now = self.clock.now();
        let own = now.checked_sub(REPORT_LAG).map_or(0, |at| self.streams.running_since(at));
        let mut gate = self.gate();
        self.inherited().report(now, &mut gate, load, own);
    }

    /// The replica, to share with what follows the configuration.
    #[must_use]
    pub fn shared_replica(&self) -> Arc<Mutex<Replica>> {
        Arc::clone(&self.replica)
    }

    /// Takes a configuration if it is higher than the one in force.
    pub fn offer(&self, snapshot: Snapshot) -> OfferOutcome {
        let offer = self.replica().offer(snapshot);
        if offer == OfferOutcome::Applied {
            self.configured();
        }
        offer
    }

    /// Puts the configuration that the replica took into force, unless it is already.
    pub fn configured(&self) {
        let mut in_force = lock(&self.in_force);
        let snapshot = self.replica().current();
        if snapshot.version <= in_force.version {
            return;
        }
        let table = &snapshot.table;
        let row = table.targets.get(&self.target);
        let in_service = row.is_some_and(|row| table.is_in_service(row));
        if let Some(row) = row {
            let mut gate = self.gate();
            gate.configure(row, &table.policy, &table.organisations);
            if in_service && !in_force.in_service {
                gate.reset_warmup();
            }
        }
        *in_force = InForce { version: snapshot.version, in_service };
        self.metrics.set_config_version(snapshot.version);
        log!(Code::ConfigApplied, version = snapshot.version);
    }

    /// Takes no new work any more after [`LEAVING_GRACE`], since it stops.
    pub fn drain(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.leave();
    }

    /// Takes no new work, after [`LEAVING_GRACE`], while the platform lists it as leaving.
    pub fn list(&self, leaving: bool) {
        if self.listed.swap(leaving, Ordering::SeqCst) != leaving {
            log!(Code::Listed, leaving);
        }
        self.leave();
    }

    /// Keeps the time since which the process leaves.
    fn leave(&self) {
        let leaves = self.stopping.load(Ordering::SeqCst) || self.listed.load(Ordering::SeqCst);
        let mut leaving = lock(&self.leaving);
        let since = leaving.unwrap_or_else(|| self.clock.now());
        *leaving = leaves.then_some(since);
    }

    /// Whether it leaves, and reports so.
    #[must_use]
    pub fn leaving(&self) -> bool {
        lock(&self.leaving).is_some()
    }

    /// Whether it has left: routers have been told, and new work is refused.
    #[must_use]
    pub fn left(&self) -> bool {
        let now = self.clock.now();
        lock(&self.leaving).is_some_and(|at| now.saturating_duration_since(at) >= LEAVING_GRACE)
    }

    /// Whether it may serve from the configuration in force, and knows its target's load.
    #[must_use]
    pub fn ready(&self) -> bool {
        let now = self.clock.now();
        let readiness = lock(&self.startup).decide(now, &self.replica());
        let known = self.kind() != Some(Kind::Model) || self.inherited().is_known();
        readiness == Readiness::Ready && known
    }

    /// Counts a call as in progress.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Open {
        self.calls.fetch_add(1, Ordering::SeqCst);
        Open { node: Arc::clone(self) }
    }

    /// Streams and calls in progress, and outcomes of calls still to be recorded.
    #[must_use]
    pub fn open(&self) -> usize {
        let calls = self.calls.load(Ordering::SeqCst);
        self.streams.open() + calls + self.recorder.pending()
    }

    /// Decides on a request; nothing of it has run when it is refused.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub fn admit(&self, envelope: &Envelope) -> Result<Ticket, Failure> {
        let verdict = self.check(envelope).map_or_else(Decision::Refuse, |()| {
            let ask = Request {
                organisation: &envelope.organisation,
                digest: envelope.digest,
                cost: envelope.cost,
            };
            self.gate().admit(self.clock.now(), &ask)
        });
        match verdict {
            Decision::Admit(ticket) => Ok(ticket),
            Decision::Refuse(reason) => {
                self.metrics.count_refusal(reason);
                log!(Code::Refused, reason = reason.name(), request = envelope.request);
                Err(Failure::refused(reason))
            }
        }
    }

    fn check(&self, envelope: &Envelope) -> Result<(), Reason> {
        if self.left() {
            return Err(Reason::Draining);
        }
        let snapshot = self.replica().current();
        if !self.ready() {
            return Err(Reason::NotReady);
        }
        if envelope.version > snapshot.version {
            return Err(Reason::BehindConfig);
        }
        if envelope.target != self.target {
            return Err(Reason::StaleConfig);
        }
        let table = &snapshot.table;
        let target = table.targets.get(&self.target).ok_or(Reason::OutOfService)?;
        if !table.is_in_service(target) {
            return Err(Reason::OutOfService);
        }
        let organisation = table.organisations.get(&envelope.organisation);
        match organisation {
            None => Err(Reason::UnknownOrganisation),
            Some(row) if !row.in_service => Err(Reason::OutOfService),
            Some(_) => Ok(()),
        }
    }

    /// Takes a router's heartbeat.
    pub fn heartbeat(&self, heartbeat: &Heartbeat) {
        let now = self.clock.now();
        let mut gate = self.gate();
        if let Some(mean) = heartbeat.mean {
            gate.record_mean(now, &heartbeat.router, mean);
        }
        gate.merge_crashes(now, &heartbeat.suspects);
    }

    /// Report for routers.
    #[must_use]
    pub fn report(&self) -> Report {
        let now = self.clock.now();
        let snapshot = self.replica().current();
        let (status, suspects) = {
            let gate = self.gate();
            (gate.status(now), gate.observed_crashes(now))
        };
        let target = snapshot.table.targets.get(&self.target);
        let in_service = target.is_some_and(|target| snapshot.table.is_in_service(target));
        let state = match status.state {
            _ if self.leaving() || (snapshot.version > 0 && !in_service) => State::Leaving,
            _ if !self.ready() => State::Starting,
            state => state,
        };
        self.metrics.set_load(&self.target, status.load, status.bound);
        Report {
            version: snapshot.version,
            state,
            load: status.load,
            bound: status.bound,
            boot: status.boot,
            ramp_percent: status.ramp_percent,
            suspects,
        }
    }

    /// What the target is, as the configuration in force has it.
    #[must_use]
    pub fn kind(&self) -> Option<Kind> {
        let snapshot = self.replica().current();
        snapshot.table.targets.get(&self.target).map(|target| target.kind)
    }

    /// Version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.replica().version()
    }
}
