//! State of a gateway.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cornelpass_core::budget::{Budgets, Parameters};
use cornelpass_core::clock::Clock;
use cornelpass_core::fleet::{self, Fleet, ListingChange};
use cornelpass_core::gateway_config::Config;
use cornelpass_core::report::{self, Report};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_operator::metrics::gateway::Metrics;
use cornelpass_operator::settings::gateway::Gateway;
use cornelpass_target::pool::Pool;
use cornelpass_target::protocol::Protocol;
use tokio::sync::{Notify, watch};

use super::desk::Desk;
use super::pulse::Losses;

/// State of a gateway.
pub struct State {
    /// Name of the instance.
    pub name: String,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Instruments.
    pub metrics: Metrics,
    /// Spelling of headers towards targets.
    pub protocol: Arc<dyn Protocol>,
    /// Kept connections to targets.
    pub pool: Pool,
    /// Targets that are gone without a word.
    pub losses: Losses,
    /// Address for other routers' datagrams.
    pub address: SocketAddr,
    /// Random number of the process.
    pub incarnation: u32,
    /// Questions to accountants.
    pub desk: Desk,
    config: Mutex<Option<Arc<Config>>>,
    /// When it came into force.
    applied: Mutex<Option<Instant>>,
    /// The configuration, once the targets are known as well.
    served: watch::Sender<Option<Arc<Config>>>,
    /// Whether the targets are known.
    listed: AtomicBool,
    fleet: Mutex<Fleet>,
    budgets: Mutex<Budgets>,
    /// Highest revision of what the operators have written, as far as is known.
    orders: AtomicU64,
    /// Highest such revision that another router knows.
    told_orders: AtomicU64,
    /// Another router knows a higher one, which the platform is asked for.
    behind: Notify,
    /// The same, which the other router is asked for if the platform does not answer.
    lagging: Notify,
    /// Something is to be told to the other routers at once.
    urgent: Notify,
    /// Whether the platform answers the topic that is asked for all.
    answers: watch::Sender<bool>,
    draining: AtomicBool,
    open: AtomicUsize,
}

/// Counts a request as in progress until it is dropped.
pub struct Open {
    state: Arc<State>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.state.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The contents of a list that fit a report.
fn contents(mut list: Vec<u64>) -> Vec<u64> {
    list.truncate(report::MAX_LIST_LENGTH);
    list
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// A gateway without a configuration.
    #[must_use]
    pub fn new(
        settings: &Gateway,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        protocol: Arc<dyn Protocol>,
    ) -> Self {
        let bounds = &settings.bounds;
        let parameters = Parameters {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        };
        let bounds = fleet::Bounds {
            load_multiple: bounds.load_multiple,
            cold_over: bounds.cold_over,
            cold_slack: bounds.cold_slack,
            drain: bounds.drain,
            ..fleet::Bounds::default()
        };
        let incarnation = rand::random();
        let fleet = Fleet::new(bounds).with_address(settings.listen.reports, incarnation);
        Self {
            name: settings.instance.name.clone(),
            clock,
            metrics,
            protocol,
            pool: Pool::new(),
            losses: Losses::default(),
            address: settings.listen.reports,
            incarnation,
            desk: Desk::default(),
            config: Mutex::new(None),
            applied: Mutex::new(None),
            served: watch::Sender::new(None),
            listed: AtomicBool::new(false),
            fleet: Mutex::new(fleet),
            budgets: Mutex::new(Budgets::new(parameters)),
            orders: AtomicU64::new(0),
            told_orders: AtomicU64::new(0),
            behind: Notify::new(),
            lagging: Notify::new(),
            urgent: Notify::new(),
            answers: watch::Sender::new(true),
            draining: AtomicBool::new(false),
            open: AtomicUsize::new(0),
        }
    }

    /// The configuration in force, if there is one.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        lock(&self.config).clone()
    }

    /// The configuration to serve by, if the targets are known as well.
    #[must_use]
    pub fn served(&self) -> Option<Arc<Config>> {
        self.served.borrow().clone()
    }

    /// Returns when there is a configuration to serve by.
    pub async fn serving(&self) -> Arc<Config> {
        let mut configs = self.served.subscribe();
        loop {
            if let Some(config) = configs.borrow_and_update().clone() {
                return config;
            }
            // The sender lives as long as this state.
            let _ = configs.changed().await;
        }
    }

    /// Takes a configuration if it is higher than the one in force.
    pub fn offer(&self, config: Config) {
        let version = config.version;
        if self.config().is_some_and(|held| held.version >= version) {
            return;
        }
        let rates = config.services.iter().map(|(name, service)| (name.clone(), service.cold_rate));
        self.fleet().set_cold_rates(rates.collect());
        *lock(&self.config) = Some(Arc::new(config));
        *lock(&self.applied) = Some(self.clock.now());
        self.serve();
        self.metrics.set_config_version(version);
        log!(Code::ConfigApplied, version);
    }

    /// All targets are known, as somebody told them.
    pub fn listed(&self) {
        if !self.listed.swap(true, Ordering::SeqCst) {
            self.serve();
        }
    }

    /// Serves by the configuration if the targets are known.
    fn serve(&self) {
        if self.listed.load(Ordering::SeqCst) {
            self.served.send_replace(self.config());
        }
    }

    /// Takes the revision of something that the operators have written.
    pub fn ordered(&self, revision: u64) {
        self.orders.fetch_max(revision, Ordering::SeqCst);
    }

    /// Another router knows what the operators have written up to a revision.
    pub fn told_of_orders(&self, revision: u64) {
        self.told_orders.fetch_max(revision, Ordering::SeqCst);
        if self.is_behind() {
            self.behind.notify_one();
            self.lagging.notify_one();
        }
    }

    /// Highest revision of what the operators have written, as far as this router holds it.
    #[must_use]
    pub fn orders(&self) -> u64 {
        self.orders.load(Ordering::SeqCst)
    }

    /// Whether another router knows more of what the operators have written.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.told_orders.load(Ordering::SeqCst) > self.orders()
    }

    /// Returns when another router knows more, once for each time that it is told.
    pub async fn lagging(&self) {
        self.lagging.notified().await;
    }

    /// Whether the platform answers the topic that is asked for all.
    #[must_use]
    pub fn answers(&self) -> watch::Receiver<bool> {
        self.answers.subscribe()
    }

    /// The platform answers the topic that is asked for all, or does not.
    pub fn answered(&self, answers: bool) {
        self.answers.send_replace(answers);
    }

    /// Something is to be told to the other routers at once.
    pub fn hurry(&self) {
        self.urgent.notify_one();
    }

    /// Returns when something is to be told to the other routers at once.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// Returns when another router knows more of what the operators have written.
    pub async fn behind(&self) {
        self.behind.notified().await;
    }

    /// The targets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Takes the data centres that operators have taken out.
    pub fn close(&self, closed: BTreeSet<String>) {
        let out = closed.iter().map(String::as_str).collect::<Vec<_>>().join(",");
        if self.fleet().set_closed_data_centres(closed) {
            log!(Code::DataCentresOut, out);
        }
    }

    /// Logs what the list says newly of targets.
    pub fn log_relisted(&self) {
        let changes = self.fleet().take_listing_changes();
        for ListingChange { target, listing, revision, reported_by } in changes {
            let reported_by =
                reported_by.map_or("platform".to_owned(), |router| router.to_string());
            log!(Code::TargetListed, target, %listing, revision, told_by = reported_by);
        }
    }

    /// Ages of the list of targets and, on average, of the other routers' reports, in milliseconds.
    #[must_use]
    pub fn ages_ms(&self) -> (u16, u64) {
        let now = self.clock.now();
        let mut fleet = self.fleet();
        let reports =
            u64::try_from(fleet.peers().mean_report_age(now).as_millis()).unwrap_or(u64::MAX);
        (fleet.change_log().answer_age_ms(now), reports)
    }

    /// Takes the readings that are made only when somebody asks for them.
    pub fn observe(&self) {
        let now = self.clock.now();
        let since = |at: Option<Instant>| {
            at.map(|at| now.saturating_duration_since(at)).unwrap_or_default()
        };
        let config = since(*lock(&self.applied));
        let (list, reports, members) = {
            let mut fleet = self.fleet();
            let list = Duration::from_millis(u64::from(fleet.change_log().answer_age_ms(now)));
            (list, fleet.peers().mean_report_age(now), fleet.peers().member_count(now))
        };
        self.metrics.set_ages(config, list, reports);
        self.metrics.set_open_requests(self.open() as u64);
        self.metrics.update_process_metrics();
        let services = self.config().map(|config| config.services.clone()).unwrap_or_default();
        for service in services.keys() {
            let left = self.budgets().remaining(now, service, members).max(0.0);
            self.metrics.set_retry_budget(service, left as u64);
        }
    }

    /// What this router tells the others.
    #[must_use]
    pub fn report(&self, sequence: u32) -> Report {
        let version = self.config().map_or(0, |config| config.version);
        let leaving = self.draining.load(Ordering::SeqCst);
        let now = self.clock.now();
        let mut fleet = self.fleet();
        let others = fleet.peers().addresses().count();
        Report {
            incarnation: self.incarnation,
            sequence,
            version,
            operator_revision: self.orders(),
            leaving,
            suspects: contents(fleet.suspects().observed_crashes(now)),
            cache_entries: fleet.cache_index().take_new_entries(report::max_cache_entries(others)),
            listed_ms: fleet.change_log().answer_age_ms(now),
            last_change: fleet.change_log().last_number(),
            changes: fleet.change_log().changes_to_report(now),
            span: fleet.change_log().span(),
            departures: fleet.departures_to_report(now),
        }
    }

    /// The retry budgets.
    pub fn budgets(&self) -> MutexGuard<'_, Budgets> {
        lock(&self.budgets)
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.fleet().announce_stop();
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Whether the platform may send new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::SeqCst) && self.served().is_some()
    }

    /// Counts a request as in progress.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Open {
        self.open.fetch_add(1, Ordering::SeqCst);
        Open { state: Arc::clone(self) }
    }

    /// Requests in progress.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}
