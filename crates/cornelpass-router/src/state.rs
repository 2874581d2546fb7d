//! State of a router of the chat interface: the active configuration, the links to sidecars, the
//! reports of targets, and the retry budgets. Selects the target of each request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cornelpass_core::admission::Mean;
use cornelpass_core::clock::Clock;
use cornelpass_core::config::{OfferOutcome, Replica, Snapshot, Version};
use cornelpass_core::placement::{Candidate, Placement};
use cornelpass_core::refusal::Reason;
use cornelpass_core::retry::OrganisationBudgets;
use cornelpass_core::table::{self, Kind, Table};
use cornelpass_core::target_report::Reports;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_operator::metrics::Metrics;
use cornelpass_platform::claims::Claims;
use cornelpass_wire::request::Envelope;

use crate::link::Link;

/// State of a router, shared by all its tasks.
pub struct State {
    /// Name of the instance.
    pub name: String,
    /// Clock of all deadlines and report ages.
    pub clock: Arc<dyn Clock>,
    /// Metrics of the router.
    pub metrics: Metrics,
    /// Policy that ranks the targets for a request.
    pub placement: Box<dyn Placement>,
    /// Claims on the platform, which ensure that a call with an idempotency key runs at most once.
    pub claims: Arc<dyn Claims>,
    replica: Arc<Mutex<Replica>>,
    /// Version of the configuration that the budgets, the reports and the metrics were last updated
    /// to.
    active_version: Mutex<Version>,
    target_reports: Mutex<Reports>,
    links: Mutex<BTreeMap<String, Arc<Link>>>,
    budgets: Mutex<OrganisationBudgets>,
    is_serving: AtomicBool,
    is_draining: AtomicBool,
    open_requests: AtomicUsize,
    /// Start of the latest announcement of suspected contents, by lost target.
    announcements: tokio::sync::Mutex<BTreeMap<String, Instant>>,
}

/// What a request requires of a target.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Kind of target.
    pub kind: Kind,
    /// Name of the model or service.
    pub serves: &'a str,
    /// Organisation of the caller.
    pub organisation: &'a str,
    /// Hash that ranks the targets; requests with the same hash prefer the same target.
    pub placement_key: u64,
    /// Cost, in units of load.
    pub cost: u32,
}

/// Target that was selected for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the target.
    pub target: String,
    /// Version of the configuration from which the target was selected.
    pub version: u64,
}

impl Choice {
    /// Creates the envelope of an attempt at the target; `digest` is the hash of the content, and
    /// `cost` is in units of load.
    #[must_use]
    pub fn envelope(
        &self,
        request_id: &str,
        attempt: u32,
        organisation: &str,
        (digest, cost): (u64, u32),
        time_left: Duration,
    ) -> Envelope {
        Envelope {
            request: request_id.to_owned(),
            attempt,
            version: self.version,
            target: self.target.clone(),
            organisation: organisation.to_owned(),
            digest,
            cost,
            remaining_ms: u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Counts a request as in progress until this value is dropped.
pub struct OpenRequest {
    state: Arc<State>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Creates the state of a router without a configuration.
    #[must_use]
    pub fn new(
        name: &str,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        placement: Box<dyn Placement>,
        claims: Arc<dyn Claims>,
    ) -> Self {
        Self {
            name: name.to_owned(),
            clock,
            metrics,
            placement,
            claims,
            replica: Arc::new(Mutex::new(Replica::new())),
            active_version: Mutex::new(0),
            target_reports: Mutex::new(Reports::new()),
            links: Mutex::new(BTreeMap::new()),
            budgets: Mutex::new(OrganisationBudgets::new()),
            is_serving: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            announcements: tokio::sync::Mutex::default(),
        }
    }

    /// Locks the replica, which holds the active configuration.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        lock(&self.replica)
    }

    /// Locks the last reports of the targets.
    pub fn target_reports(&self) -> MutexGuard<'_, Reports> {
        lock(&self.target_reports)
    }

    /// Locks the retry budgets of the organisations.
    pub fn budgets(&self) -> MutexGuard<'_, OrganisationBudgets> {
        lock(&self.budgets)
    }

    /// Locks the links, by name of the target.
    pub fn links(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Link>>> {
        lock(&self.links)
    }

    /// Link to the sidecar of a target; `None` if the configuration table has no such target.
    #[must_use]
    pub fn link(&self, target: &str) -> Option<Arc<Link>> {
        self.links().get(target).map(Arc::clone)
    }

    /// Replica to share with the follower of the configuration.
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

    /// Updates budgets, reports and metrics to the configuration in the replica, unless they are up
    /// to date.
    pub fn activate_config(&self) {
        let mut active_version = lock(&self.active_version);
        let snapshot = self.replica().current();
        if snapshot.version <= *active_version {
            return;
        }
        *active_version = snapshot.version;
        let names = snapshot.table.organisations.keys().map(String::as_str);
        self.budgets().configure(snapshot.table.policy.retry_percent, names);
        self.target_reports().retain(|name| snapshot.table.targets.contains_key(name));
        self.metrics.set_config_version(snapshot.version);
        log!(Code::ConfigApplied, version = snapshot.version);
    }

    /// Starts to serve, once [`crate::startup`] has decided that the router may do so.
    pub fn start_serving(&self) {
        self.is_serving.store(true, Ordering::SeqCst);
    }

    /// Whether the router has started to serve.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_serving.load(Ordering::SeqCst)
    }

    /// Starts a planned stop.
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Whether a planned stop has started.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress until the returned value is dropped.
    #[must_use]
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
        OpenRequest { state: Arc::clone(self) }
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn open_request_count(&self) -> usize {
        self.open_requests.load(Ordering::SeqCst)
    }

    /// Locks the start times of the latest announcements of suspected contents, by lost target.
    ///
    /// The lock is held during an announcement, so that only one is made at a time.
    pub async fn lock_announcements(
        &self,
    ) -> tokio::sync::MutexGuard<'_, BTreeMap<String, Instant>> {
        self.announcements.lock().await
    }

    /// Selects a target that has not been tried, and adds the cost of the request to its load until
    /// the request ends or the target reports.
    ///
    /// # Errors
    ///
    /// The reason why no target can be selected.
    pub fn choose(
        &self,
        requirements: &Requirements<'_>,
        tried: &BTreeSet<String>,
    ) -> Result<Choice, Reason> {
        if !self.is_serving() {
            return Err(Reason::NotReady);
        }
        let snapshot = self.replica().current();
        check_against_table(&snapshot, requirements)?;
        let candidates = self.candidates(&snapshot.table, requirements.kind, requirements.serves);
        let ranked = self.placement.rank(requirements.placement_key, &candidates);
        let target = ranked
            .into_iter()
            .map(|index| candidates[index].name)
            .find(|name| !tried.contains(*name))
            .ok_or(Reason::NoTarget)?;
        self.target_reports().record_sent(target, requirements.cost);
        Ok(Choice { target: target.to_owned(), version: snapshot.version })
    }

    /// Whether a candidate for a request has not been tried.
    #[must_use]
    pub fn has_untried_target(
        &self,
        requirements: &Requirements<'_>,
        tried: &BTreeSet<String>,
    ) -> bool {
        let snapshot = self.replica().current();
        let candidates = self.candidates(&snapshot.table, requirements.kind, requirements.serves);
        candidates.iter().any(|candidate| !tried.contains(candidate.name))
    }

    /// Treats a target as full until its next report, if the reason for a refusal is a lack of
    /// capacity.
    pub fn record_refusal(&self, target: &str, reason: Reason) {
        if matches!(reason, Reason::OverBound | Reason::Warming) {
            self.target_reports().record_refusal(target);
        }
    }

    /// Targets that serve a model or service, are in service by the table, and accept new requests
    /// according to their last reports.
    #[must_use]
    pub fn candidates<'a>(
        &self,
        table: &'a Table,
        kind: Kind,
        serves: &'a str,
    ) -> Vec<Candidate<'a>> {
        let now = self.clock.now();
        let reports = self.target_reports();
        let candidate = |(name, target): (&'a str, &'a table::Target)| {
            let accepts_requests = reports.report(name, now)?.state.accepts_requests();
            (accepts_requests && table.is_in_service(target))
                .then(|| reports.candidate(name, target, now))
        };
        table.targets_serving(kind, serves).filter_map(candidate).collect()
    }

    /// Mean load per unit of weight of the targets that serve the same model or service as
    /// `target`.
    ///
    /// `None` if the configuration table has no such target, or if there are no reports.
    #[must_use]
    pub fn mean_load(&self, target: &str) -> Option<Mean> {
        let snapshot = self.replica().current();
        let table = &snapshot.table;
        let row = table.targets.get(target)?;
        let serving = table.targets_serving(row.kind, &row.serves);
        let serving = serving.filter(|(_, target)| table.is_in_service(target));
        let weights = serving.map(|(name, target)| (name, target.weight));
        self.target_reports().mean(weights, self.clock.now())
    }
}

/// Checks a request against the configuration table alone: refuses a request that would be refused
/// whatever the state of the targets.
fn check_against_table(snapshot: &Snapshot, requirements: &Requirements<'_>) -> Result<(), Reason> {
    let organisation = match snapshot.table.organisations.get(requirements.organisation) {
        None => return Err(Reason::UnknownOrganisation),
        Some(row) if !row.in_service => return Err(Reason::OutOfService),
        Some(row) => row,
    };
    let serving = snapshot.table.targets_serving(requirements.kind, requirements.serves);
    let highest_limit =
        serving.map(|(_, target)| target.limit).max().ok_or(Reason::UnknownModel)?;
    let fits = requirements.cost <= highest_limit.min(organisation.limit);
    if fits { Ok(()) } else { Err(Reason::TooLarge) }
}
