//! State of the sidecar: the active configuration, the admission controller and the streams.
//!
//! The state decides whether the sidecar is ready, whether it is leaving, and whether a request is
//! admitted. A request is admitted only if the sidecar is ready and has not been leaving for
//! [`LEAVING_GRACE`], the request names this target, the sidecar's configuration is at least as new
//! as the router's, the target and the organisation are in service, and the admission controller
//! accepts the request.

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

use crate::outcomes::Writer;
use crate::streams::Streams;
use crate::untracked::{MAX_REPORT_LAG, Requests};

/// Time for which a leaving sidecar still accepts requests, while its reports announce to the
/// routers that it leaves.
///
/// Longer than the time between two heartbeats of a router (1 s), so that every router receives
/// such a report.
pub const LEAVING_GRACE: Duration = Duration::from_millis(1_200);

/// Clients of the target and the platform.
pub struct Clients {
    /// The target, as an engine.
    pub engine: Arc<dyn Engine>,
    /// The target, as a plain service.
    pub service: Arc<dyn Service>,
    /// Claims of calls that must not be repeated.
    pub claims: Arc<dyn cornelpass_platform::claims::Claims>,
}

/// State of the sidecar of a target.
pub struct Sidecar {
    /// Name of the target in the configuration table.
    pub target: String,
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Clients of the target and the platform.
    pub clients: Clients,
    /// Streams that run or ended recently.
    pub streams: Streams,
    /// Writer of the outcomes of claimed calls.
    pub outcomes: Writer,
    replica: Arc<Mutex<Replica>>,
    startup: Mutex<Startup>,
    activation: Mutex<Activation>,
    controller: Mutex<Controller>,
    untracked: Mutex<Requests>,
    stopping: AtomicBool,
    listed_leaving: AtomicBool,
    /// Time at which the sidecar started to leave; none if it is not leaving.
    leaving_since: Mutex<Option<Instant>>,
    /// Number of calls in progress.
    calls: AtomicUsize,
}

/// Guard that counts a call as in progress until the guard is dropped.
pub struct OpenCall {
    sidecar: Arc<Sidecar>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.sidecar.calls.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Version of the configuration that was last applied to the admission controller, and whether the
/// target is in service in it.
#[derive(Default)]
struct Activation {
    version: Version,
    in_service: bool,
}

impl Sidecar {
    /// Creates a sidecar without a configuration.
    ///
    /// Starts the threads that write the outcomes of claimed calls.
    #[must_use]
    pub fn new(target: &str, clock: Arc<dyn Clock>, metrics: Metrics, clients: Clients) -> Self {
        let outcomes = Writer::start(&clients.claims);
        Self {
            target: target.to_owned(),
            clock,
            metrics,
            clients,
            streams: Streams::default(),
            outcomes,
            replica: Arc::new(Mutex::new(Replica::new())),
            startup: Mutex::new(Startup::new()),
            activation: Mutex::default(),
            controller: Mutex::new(Controller::new()),
            untracked: Mutex::default(),
            stopping: AtomicBool::new(false),
            listed_leaving: AtomicBool::new(false),
            leaving_since: Mutex::new(None),
            calls: AtomicUsize::new(0),
        }
    }

    /// Locks the replica of the active configuration.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        lock(&self.replica)
    }

    /// Locks the admission controller of the target.
    pub fn controller(&self) -> MutexGuard<'_, Controller> {
        lock(&self.controller)
    }

    /// Locks the requests that the engine was running before the sidecar started.
    ///
    /// Lock order: the admission controller before these requests, so that two threads cannot
    /// deadlock.
    pub fn untracked(&self) -> MutexGuard<'_, Requests> {
        lock(&self.untracked)
    }

    /// Boot number of the target, 0 if not known.
    #[must_use]
    pub fn boot(&self) -> u64 {
        self.controller().status(self.clock.now()).boot
    }

    /// Applies a load report of the engine to the untracked requests.
    pub fn apply_load_report(&self, load: &Load) {
        let now = self.clock.now();
        // A report lags by `MAX_REPORT_LAG` at most, so it certainly includes the streams that the
        // engine accepted before that time.
        let own_running = now
            .checked_sub(MAX_REPORT_LAG)
            .map_or(0, |reported_before| self.streams.running_count_since(reported_before));
        let mut controller = self.controller();
        self.untracked().apply_report(now, &mut controller, load, own_running);
    }

    /// Replica of the configuration, to be shared with the follower of the configuration.
    #[must_use]
    pub fn shared_replica(&self) -> Arc<Mutex<Replica>> {
        Arc::clone(&self.replica)
    }

    /// Applies a configuration if its version is higher than the active one.
    pub fn offer(&self, snapshot: Snapshot) -> OfferOutcome {
        let outcome = self.replica().offer(snapshot);
        if outcome == OfferOutcome::Applied {
            self.activate_config();
        }
        outcome
    }

    /// Applies the replica's configuration to the admission controller, unless it was applied
    /// before.
    pub fn activate_config(&self) {
        let mut activation = lock(&self.activation);
        let snapshot = self.replica().current();
        if snapshot.version <= activation.version {
            return;
        }
        let table = &snapshot.table;
        let row = table.targets.get(&self.target);
        let in_service = row.is_some_and(|row| table.is_in_service(row));
        if let Some(row) = row {
            let mut controller = self.controller();
            controller.configure(row, &table.policy, &table.organisations);
            if in_service && !activation.in_service {
                controller.reset_warmup();
            }
        }
        *activation = Activation { version: snapshot.version, in_service };
        self.metrics.set_config_version(snapshot.version);
        log!(Code::ConfigApplied, version = snapshot.version);
    }

    /// Starts a planned stop: new requests are refused after [`LEAVING_GRACE`].
    pub fn drain(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.update_leaving();
    }

    /// Sets whether the platform lists the sidecar or its target as leaving.
    ///
    /// While it does, new requests are refused after [`LEAVING_GRACE`].
    pub fn set_listed_leaving(&self, leaving: bool) {
        if self.listed_leaving.swap(leaving, Ordering::SeqCst) != leaving {
            log!(Code::Listed, leaving);
        }
        self.update_leaving();
    }

    /// Updates the time at which the sidecar started to leave.
    ///
    /// The first reason to leave sets the time; it is cleared when no reason is left.
    fn update_leaving(&self) {
        let is_leaving =
            self.stopping.load(Ordering::SeqCst) || self.listed_leaving.load(Ordering::SeqCst);
        let mut leaving_since = lock(&self.leaving_since);
        let started_at = leaving_since.unwrap_or_else(|| self.clock.now());
        *leaving_since = is_leaving.then_some(started_at);
    }

    /// Whether the sidecar is leaving, which its reports announce.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        lock(&self.leaving_since).is_some()
    }

    /// Whether the sidecar has been leaving for [`LEAVING_GRACE`] and refuses new requests.
    #[must_use]
    pub fn is_leaving_grace_over(&self) -> bool {
        let now = self.clock.now();
        lock(&self.leaving_since)
            .is_some_and(|started_at| now.saturating_duration_since(started_at) >= LEAVING_GRACE)
    }

    /// Decides whether the sidecar may serve with the active configuration and, if the target is a
    /// model engine, knows the load of the engine.
    ///
    /// Records the time of the decision. Must be called at least once every
    /// [`MAX_DECISION_GAP`](cornelpass_core::config::MAX_DECISION_GAP), which
    /// [`crate::config::poll_readiness`] ensures.
    #[must_use]
    pub fn decide_readiness(&self) -> bool {
        let now = self.clock.now();
        let readiness = lock(&self.startup).decide(now, &self.replica());
        let load_known =
            self.target_kind() != Some(Kind::Model) || self.untracked().is_load_known();
        readiness == Readiness::Ready && load_known
    }

    /// Counts a call as in progress until the returned guard is dropped.
    #[must_use]
    pub fn open_call(self: &Arc<Self>) -> OpenCall {
        self.calls.fetch_add(1, Ordering::SeqCst);
        OpenCall { sidecar: Arc::clone(self) }
    }

    /// Number of streams and calls in progress, plus calls that are claimed or whose outcome waits
    /// to be written.
    #[must_use]
    pub fn open_count(&self) -> usize {
        let calls = self.calls.load(Ordering::SeqCst);
        self.streams.open_count() + calls + self.outcomes.pending_count()
    }

    /// Admits or refuses a request.
    ///
    /// # Errors
    ///
    /// The refusal; a refused request has not run.
    pub fn admit(&self, envelope: &Envelope) -> Result<Ticket, Failure> {
        let decision = self.check_envelope(envelope).map_or_else(Decision::Refuse, |()| {
            let request = Request {
                organisation: &envelope.organisation,
                digest: envelope.digest,
                cost: envelope.cost,
            };
            self.controller().admit(self.clock.now(), &request)
        });
        match decision {
            Decision::Admit(ticket) => Ok(ticket),
            Decision::Refuse(reason) => {
                self.metrics.count_refusal(reason);
                log!(Code::Refused, reason = reason.name(), request = envelope.request);
                Err(Failure::refused(reason))
            }
        }
    }

    /// Checks the readiness, the version of the configuration, and that the target and the
    /// organisation are in service, before the admission controller decides.
    fn check_envelope(&self, envelope: &Envelope) -> Result<(), Reason> {
        if self.is_leaving_grace_over() {
            return Err(Reason::Draining);
        }
        let snapshot = self.replica().current();
        if !self.decide_readiness() {
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

    /// Applies the mean load and the suspected contents of a router's heartbeat.
    pub fn apply_heartbeat(&self, heartbeat: &Heartbeat) {
        let now = self.clock.now();
        let mut controller = self.controller();
        if let Some(mean) = heartbeat.mean {
            controller.record_mean(now, &heartbeat.router, mean);
        }
        controller.merge_crashes(now, &heartbeat.suspects);
    }

    /// Creates the report for routers, and updates the load metrics.
    #[must_use]
    pub fn report(&self) -> Report {
        let now = self.clock.now();
        let snapshot = self.replica().current();
        let (status, suspects) = {
            let controller = self.controller();
            (controller.status(now), controller.observed_crashes(now))
        };
        let target = snapshot.table.targets.get(&self.target);
        let in_service = target.is_some_and(|target| snapshot.table.is_in_service(target));
        let state = match status.state {
            _ if self.is_leaving() || (snapshot.version > 0 && !in_service) => State::Leaving,
            _ if !self.decide_readiness() => State::Starting,
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

    /// Kind of the target in the active configuration; none if the target is not configured.
    #[must_use]
    pub fn target_kind(&self) -> Option<Kind> {
        let snapshot = self.replica().current();
        snapshot.table.targets.get(&self.target).map(|target| target.kind)
    }

    /// Version of the active configuration, 0 if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.replica().version()
    }
}
