//! State of the router: configuration in force, links, reports and the retry budget.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cornelpass_core::admission::Mean;
use cornelpass_core::clock::Clock;
use cornelpass_core::config::{OfferOutcome, Replica, Snapshot, Version};
use cornelpass_core::placement::{Candidate, Placement};
use cornelpass_core::refusal::Reason;
use cornelpass_core::retry::Budgets;
use cornelpass_core::table::{self, Kind, Table};
use cornelpass_core::target_report::View;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_operator::metrics::Metrics;
use cornelpass_platform::claims::Claims;
use cornelpass_wire::request::Envelope;

use crate::link::Link;

/// State of the router.
pub struct Node {
    /// Name of the instance.
    pub name: String,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Instruments.
    pub metrics: Metrics,
    /// Order of preference over targets.
    pub placement: Box<dyn Placement>,
    /// Claims of calls that may not be repeated.
    pub claims: Arc<dyn Claims>,
    replica: Arc<Mutex<Replica>>,
    in_force: Mutex<Version>,
    view: Mutex<View>,
    links: Mutex<BTreeMap<String, Arc<Link>>>,
    budgets: Mutex<Budgets>,
    serving: AtomicBool,
    draining: AtomicBool,
    open: AtomicUsize,
    warned: tokio::sync::Mutex<BTreeMap<String, Instant>>,
}

/// What a request needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Kind of target.
    pub kind: Kind,
    /// Model or service.
    pub serves: &'a str,
    /// Organisation of the caller.
    pub organisation: &'a str,
    /// Hash that places the request.
    pub key: u64,
    /// Cost, in units of load.
    pub cost: u32,
}

/// Where a request may go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Name of the target.
    pub target: String,
    /// Version of the configuration that it was chosen by.
    pub version: u64,
}

impl Choice {
    /// Envelope of an attempt at the chosen target, with the content's hash and cost.
    #[must_use]
    pub fn envelope(
        &self,
        request: &str,
        attempt: u32,
        organisation: &str,
        (digest, cost): (u64, u32),
        left: Duration,
    ) -> Envelope {
        Envelope {
            request: request.to_owned(),
            attempt,
            version: self.version,
            target: self.target.clone(),
            organisation: organisation.to_owned(),
            digest,
            cost,
            remaining_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub struct Open {
    node: Arc<Node>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.node.open.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// A router without a configuration.
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
            in_force: Mutex::new(0),
            view: Mutex::new(View::new()),
            links: Mutex::new(BTreeMap::new()),
            budgets: Mutex::new(Budgets::new()),
            serving: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            warned: tokio::sync::Mutex::default(),
        }
    }

    /// The configuration in force.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        lock(&self.replica)
    }

    /// Last reports of the targets.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Retry budgets of the organisations.
    pub fn budgets(&self) -> MutexGuard<'_, Budgets> {
        lock(&self.budgets)
    }

    /// Links by target.
    pub fn links(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Link>>> {
        lock(&self.links)
    }

    /// Link to a target's process.
    #[must_use]
    pub fn link(&self, target: &str) -> Option<Arc<Link>> {
        self.links().get(target).map(Arc::clone)
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
        if snapshot.version <= *in_force {
            return;
        }
        *in_force = snapshot.version;
        let names = snapshot.table.organisations.keys().map(String::as_str);
        self.budgets().configure(snapshot.table.policy.retry_percent, names);
        self.view().retain(|name| snapshot.table.targets.contains_key(name));
        self.metrics.set_config_version(snapshot.version);
        log!(Code::ConfigApplied, version = snapshot.version);
    }

    /// Serves from now on: the configuration is shown to be current.
    pub fn serve(&self) {
        self.serving.store(true, Ordering::SeqCst);
    }

    /// Whether the configuration was shown to be current.
    #[must_use]
    pub fn serving(&self) -> bool {
        self.serving.load(Ordering::SeqCst)
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Open {
        self.open.fetch_add(1, Ordering::SeqCst);
        Open { node: Arc::clone(self) }
    }

    /// Requests in progress.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// When the other targets' processes were last told of a lost target; held while they are.
    pub async fn warned(&self) -> tokio::sync::MutexGuard<'_, BTreeMap<String, Instant>> {
        self.warned.lock().await
    }

    /// Chooses the target for a request, apart from those that were tried, and counts it as sent.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn choose(&self, need: &Need<'_>, tried: &BTreeSet<String>) -> Result<Choice, Reason> {
        if !self.serving() {
            return Err(Reason::NotReady);
        }
        let snapshot = self.replica().current();
        check(&snapshot, need)?;
        let candidates = self.candidates(&snapshot.table, need.kind, need.serves);
        let ranked = self.placement.rank(need.key, &candidates);
        let target = ranked
            .into_iter()
            .map(|index| candidates[index].name)
            .find(|name| !tried.contains(*name))
            .ok_or(Reason::NoTarget)?;
        self.view().record_sent(target, need.cost);
        Ok(Choice { target: target.to_owned(), version: snapshot.version })
    }

    /// Whether there is a target for a request, apart from those that were tried.
    #[must_use]
    pub fn choosable(&self, need: &Need<'_>, tried: &BTreeSet<String>) -> bool {
        let snapshot = self.replica().current();
        let candidates = self.candidates(&snapshot.table, need.kind, need.serves);
        candidates.iter().any(|candidate| !tried.contains(candidate.name))
    }

    /// Takes from a refusal that a target has no room until its next report.
    pub fn learn(&self, target: &str, reason: Reason) {
        if matches!(reason, Reason::OverBound | Reason::Warming) {
            self.view().record_refusal(target);
        }
    }

    /// Targets that may take new work, as last reported.
    #[must_use]
    pub fn candidates<'a>(
        &self,
        table: &'a Table,
        kind: Kind,
        serves: &'a str,
    ) -> Vec<Candidate<'a>> {
        let now = self.clock.now();
        let view = self.view();
        let candidate = |(name, target): (&'a str, &'a table::Target)| {
            let takes = view.report(name, now)?.state.takes_work();
            (takes && table.is_in_service(target)).then(|| view.candidate(name, target, now))
        };
        table.targets_serving(kind, serves).filter_map(candidate).collect()
    }

    /// Mean load per weight of the targets that serve the same as a target.
    #[must_use]
    pub fn mean(&self, target: &str) -> Option<Mean> {
        let snapshot = self.replica().current();
        let table = &snapshot.table;
        let row = table.targets.get(target)?;
        let serving = table.targets_serving(row.kind, &row.serves);
        let serving = serving.filter(|(_, target)| table.is_in_service(target));
        let weights = serving.map(|(name, target)| (name, target.weight));
        self.view().mean(weights, self.clock.now())
    }
}

/// Refuses what no state of the fleet lets through, by the table alone.
fn check(snapshot: &Snapshot, need: &Need<'_>) -> Result<(), Reason> {
    let organisation = match snapshot.table.organisations.get(need.organisation) {
        None => return Err(Reason::UnknownOrganisation),
        Some(row) if !row.in_service => return Err(Reason::OutOfService),
        Some(row) => row,
    };
    let serving = snapshot.table.targets_serving(need.kind, need.serves);
    let highest = serving.map(|(_, target)| target.limit).max().ok_or(Reason::UnknownModel)?;
    let fits = need.cost <= highest.min(organisation.limit);
    if fits { Ok(()) } else { Err(Reason::TooLarge) }
}
