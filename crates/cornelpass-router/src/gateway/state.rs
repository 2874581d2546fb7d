//! State of a gateway, which its tasks share.
//!
//! [`State`] combines the configuration, the fleet of targets, the retry budgets and the
//! connections to targets. It also wakes the tasks that call the platform, request snapshots of
//! other routers, and send reports.

mod capacity;
mod orders;
mod summary;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cornelpass_caller::budget::Budget;
use cornelpass_caller::server::Stage;
use cornelpass_core::budget::{Parameters, ServiceBudgets};
use cornelpass_core::clock::Clock;
use cornelpass_core::contention::connections::Resets;
use cornelpass_core::fleet::{self, Fleet, ListingChange};
use cornelpass_core::gateway_config::Config;
use cornelpass_core::quarantine::{Change, feature};
use cornelpass_core::request::Request;
use cornelpass_core::revision::Revision;
use cornelpass_core::rollout;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_operator::metrics::gateway::Metrics;
use cornelpass_operator::settings::gateway::Gateway;
use cornelpass_target::pool::Pool;
use cornelpass_target::protocol::Protocol;
use tokio::sync::{Notify, watch};

use super::accounting::Client;
use super::client_limits::Clients;
use super::closed::ClosedDataCentres;
use super::silence::Losses;
use super::{contact, contention};

/// State of a gateway.
pub struct State {
    /// Name of the instance.
    pub name: String,
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Names and formats of the headers between router and targets.
    pub protocol: Arc<dyn Protocol>,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Memory that is held for clients.
    pub client_memory: Budget,
    /// Limits that clients have reached.
    pub clients: Clients,
    /// Targets that have lost their requests in progress, by a silent failure or a restart.
    pub losses: Losses,
    /// Address of this router for datagrams of other routers.
    pub address: SocketAddr,
    /// Random number of the process; a new one shows a restart.
    pub incarnation: u32,
    /// Socket for datagrams, and the questions to accountants that are waiting for replies.
    pub accounting: Client,
    /// Active configuration, which may be known before the targets are.
    config: Mutex<Option<Arc<Config>>>,
    /// When the configuration became active.
    config_applied_at: Mutex<Option<Instant>>,
    /// Configuration for serving requests: the active one, once the targets are known.
    serving_config: watch::Sender<Option<Arc<Config>>>,
    /// Whether a complete list of the targets is known.
    targets_listed: AtomicBool,
    fleet: Mutex<Fleet>,
    resets: Mutex<Resets>,
    budgets: Mutex<ServiceBudgets>,
    /// Highest revision of the operators' rows that this router has applied.
    operator_revision: AtomicU64,
    /// Highest revision of the operators' rows that another router has reported.
    peer_operator_revision: AtomicU64,
    /// Era of the platform; none before the first response.
    era: Mutex<Option<u64>>,
    /// Number of restores of the platform that this router has detected.
    restore_count: watch::Sender<u64>,
    /// Data centres out of service.
    closed: ClosedDataCentres,
    /// Time after a restore of the platform for which data centres stay out of service without an
    /// order: the operators repeat it within `Requirements::catch_up`, and routers then read it
    /// within `Requirements::config`.
    restore_grace: Duration,
    /// Notified when another router has newer rows, so that a call that waits at the platform is
    /// soon repeated without a wait.
    poll_due: Notify,
    /// Notified when another router has newer rows, so that its snapshot is requested if the
    /// platform does not return them.
    snapshot_due: Notify,
    /// Notified when the next report to the other routers is due at once.
    report_requested: Notify,
    /// Whether the last call for operators' rows succeeded. During an outage only these calls are
    /// repeated at short intervals.
    platform_available: watch::Sender<bool>,
    /// Sequence number of the last report of this process.
    report_sequence: AtomicU32,
    /// Stage of a planned stop.
    stage: watch::Sender<Stage>,
    open_requests: AtomicUsize,
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
    /// Creates the state of a gateway without a configuration.
    #[must_use]
    pub fn new(
        settings: &Gateway,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        protocol: Arc<dyn Protocol>,
    ) -> Self {
        let deployment_requirements = &settings.requirements;
        let parameters = Parameters {
            ratio: deployment_requirements.retry_ratio,
            slack: deployment_requirements.retry_slack,
            window: deployment_requirements.retry_window,
        };
        let requirements = fleet::Requirements {
            load_multiple: deployment_requirements.load_multiple,
            cold_over: deployment_requirements.cold_over,
            cold_slack: deployment_requirements.cold_slack,
            drain: deployment_requirements.drain,
            ..fleet::Requirements::default()
        };
        let incarnation = rand::random();
        let mut fleet = Fleet::new(requirements)
            .with_address(settings.listen.reports, incarnation)
            .without_slow_start();
        fleet.rollouts().set_requirements(rollout::Requirements {
            expose_share: deployment_requirements.expose_share,
            expose_slack: deployment_requirements.expose_slack,
            rollback: deployment_requirements.rollback,
        });
        Self {
            name: settings.instance.name.clone(),
            clock,
            metrics,
            protocol,
            pool: Pool::new(),
            client_memory: Budget::new(settings.limits.client_memory_bytes),
            clients: Clients::default(),
            losses: Losses::default(),
            address: settings.listen.reports,
            incarnation,
            accounting: Client::default(),
            config: Mutex::new(None),
            config_applied_at: Mutex::new(None),
            serving_config: watch::Sender::new(None),
            targets_listed: AtomicBool::new(false),
            fleet: Mutex::new(fleet),
            resets: Mutex::default(),
            budgets: Mutex::new(ServiceBudgets::new(parameters)),
            operator_revision: AtomicU64::new(0),
            peer_operator_revision: AtomicU64::new(0),
            era: Mutex::new(None),
            restore_count: watch::Sender::new(0),
            closed: ClosedDataCentres::default(),
            restore_grace: deployment_requirements
                .catch_up
                .saturating_add(deployment_requirements.config),
            poll_due: Notify::new(),
            snapshot_due: Notify::new(),
            report_requested: Notify::new(),
            platform_available: watch::Sender::new(true),
            report_sequence: AtomicU32::new(0),
            stage: watch::Sender::new(Stage::Serving),
            open_requests: AtomicUsize::new(0),
        }
    }

    /// Active configuration, if there is one.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        lock(&self.config).clone()
    }

    /// Configuration for serving requests; none until the targets are known as well.
    #[must_use]
    pub fn serving_config(&self) -> Option<Arc<Config>> {
        self.serving_config.borrow().clone()
    }

    /// Waits for a configuration for serving requests.
    pub async fn wait_for_serving_config(&self) -> Arc<Config> {
        let mut configs = self.serving_config.subscribe();
        loop {
            let config = configs.borrow_and_update().clone();
            if let Some(config) = config {
                return config;
            }
            // The sender lives as long as this state, so `changed` does not fail.
            let _ = configs.changed().await;
        }
    }

    /// Makes a configuration active if its version is higher than that of the active one.
    pub fn offer(&self, config: Config) {
        let version = config.version;
        if self.config().is_some_and(|active| active.version >= version) {
            return;
        }
        let rates = config.services.iter().map(|(name, service)| (name.clone(), service.cold_rate));
        self.fleet().set_cold_rates(rates.collect());
        let times = config.services.iter().map(|(name, service)| (name.clone(), service.cold_time));
        self.fleet().set_cold_times(times.collect());
        let plain = config.services.iter().filter(|(_, service)| service.engine.is_none());
        self.fleet().capacities().set_plain_services(plain.map(|(name, _)| name.clone()));
        contention::apply_config(self, &config);
        *lock(&self.config) = Some(Arc::new(config));
        *lock(&self.config_applied_at) = Some(self.clock.now());
        self.update_serving_config();
        self.metrics.set_config_version(version);
        log!(Code::ConfigApplied, version);
    }

    /// Records that the platform or another router has listed all targets.
    pub fn mark_targets_listed(&self) {
        if !self.targets_listed.swap(true, Ordering::SeqCst) {
            self.update_serving_config();
        }
    }

    /// Whether a complete list of the targets is known.
    #[must_use]
    pub fn has_listed_targets(&self) -> bool {
        self.targets_listed.load(Ordering::SeqCst)
    }

    /// Uses the active configuration for serving requests if the targets are known.
    fn update_serving_config(&self) {
        if self.has_listed_targets() {
            self.serving_config.send_replace(self.config());
        }
    }

    /// Waits until another router reports newer rows of the operators; for the task that requests
    /// snapshots.
    pub async fn wait_until_snapshot_due(&self) {
        self.snapshot_due.notified().await;
    }

    /// Receiver of whether the last call for operators' rows succeeded.
    #[must_use]
    pub fn platform_available(&self) -> watch::Receiver<bool> {
        self.platform_available.subscribe()
    }

    /// Sets whether the last call for operators' rows succeeded.
    pub fn set_platform_available(&self, available: bool) {
        self.platform_available.send_replace(available);
    }

    /// Makes the next report to the other routers due at once.
    pub fn request_report(&self) {
        self.report_requested.notify_one();
    }

    /// Waits until a report to the other routers is due at once.
    pub async fn wait_for_report_request(&self) {
        self.report_requested.notified().await;
    }

    /// Waits until another router reports newer rows of the operators; for the task that calls the
    /// platform.
    pub async fn wait_until_poll_due(&self) {
        self.poll_due.notified().await;
    }

    /// Targets and other routers.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Logs the changes of listings since the last call, and the targets that are cold by them.
    pub fn log_listing_changes(&self) {
        let changes = self.fleet().take_listing_changes();
        for ListingChange { target, listing, revision, reported_by } in changes {
            let reported_by =
                reported_by.map_or("platform".to_owned(), |router| router.to_string());
            let revision = Revision::unpack(revision);
            log!(Code::TargetListed, target, %listing, %revision, told_by = reported_by);
        }
        contact::log_cold_changes(self);
    }

    /// Logs the changes of the quarantine, and requests a report if the other routers should learn
    /// of them at once.
    pub fn process_quarantine_changes(&self) {
        let (changes, due) = {
            let mut fleet = self.fleet();
            (fleet.quarantine().take_changes(), fleet.quarantine().take_bulletin_due())
        };
        for change in changes {
            match change {
                Change::Quarantined(features) => {
                    log!(Code::Quarantined, features = feature::summary(&features));
                }
                Change::Released(features) => {
                    log!(Code::Released, features = feature::summary(&features));
                }
            }
        }
        if due {
            self.request_report();
        }
    }

    /// Retry budgets of the services.
    pub fn budgets(&self) -> MutexGuard<'_, ServiceBudgets> {
        lock(&self.budgets)
    }

    /// Charges a retry to the budget of the request's service; returns false if the budget is
    /// exhausted.
    #[must_use]
    pub fn withdraw_retry(&self, request: &Request) -> bool {
        let now = self.clock.now();
        let routers = self.fleet().peers().member_count(now);
        self.budgets().try_withdraw(now, &request.service, routers)
    }

    /// Starts a planned stop, and announces it to the other routers.
    pub fn start_drain(&self) {
        self.set_stage(Stage::Closing);
        self.fleet().announce_stop();
    }

    /// Starts a stage of a planned stop.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Receiver of the stage of a planned stop.
    #[must_use]
    pub fn stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Waits until the process is about to end.
    pub async fn wait_until_ending(&self) {
        // The sender lives as long as this state, so `wait_for` does not fail.
        let _ = self.stage().wait_for(|stage| *stage >= Stage::Ending).await;
    }

    /// Whether requests that have not started are refused.
    #[must_use]
    pub fn refuses_requests(&self) -> bool {
        *self.stage.borrow() >= Stage::Finishing
    }

    /// Whether the process is about to end.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        *self.stage.borrow() >= Stage::Ending
    }

    /// Whether a planned stop has started.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.stage.borrow() >= Stage::Closing
    }

    /// Whether the platform may send new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.serving_config().is_some()
    }

    /// Counts a request as in progress until the returned value is dropped.
    #[must_use]
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
        OpenRequest { state: Arc::clone(self) }
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn open_request_count(&self) -> usize {
        self.open_requests.load(Ordering::SeqCst)
    }
}
