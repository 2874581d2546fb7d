//! Runs a gateway: starts its listeners and tasks from the settings, and stops it as planned.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cornelpass_adapter::store::Store;
use cornelpass_adapter::{caller, target};
use cornelpass_caller::body::Reader;
use cornelpass_caller::gateway::{Gateway, full_response};
use cornelpass_caller::responder::Responder;
use cornelpass_caller::response::Body;
use cornelpass_caller::server::{Limits, Server, Stage};
use cornelpass_caller::tracked_body::RequestBody;
use cornelpass_core::clock::System;
use cornelpass_core::gateway_config;
use cornelpass_operator::event::{self, Code};
use cornelpass_operator::log;
use cornelpass_operator::metrics::gateway::Metrics;
use cornelpass_operator::settings::client_limits::ClientLimits;
use cornelpass_operator::settings::gateway as settings;
use cornelpass_operator::stop::{self, Reload};
use cornelpass_operator::supervisor;
use cornelpass_platform::feed::{Feed, Topic};
use hyper::{Request, Response, StatusCode};
use snafu::{ResultExt, Whatever};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::client_limits::{self, Listener};
use super::console::Console;
use super::feed_counter::Counter;
use super::relay::Relay;
use super::state::State;
use super::{accounting, cache_note, peers, platform_sync, quarantine_note, rollout, silence};

/// Time for which a stopping gateway still accepts connections.
///
/// The platform probes the readiness once a second and sends new connections until the second probe
/// that fails.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_500);

/// Time between the end of a planned stop and the time at which the process would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Time before the end of a planned stop at which requests in progress get a last response.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Time between two runs of the maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a target that is no longer listed is kept.
///
/// A target that is listed again within this time, without a restart, keeps its health and its
/// announced pause. After this time, requests that are still in progress there are no longer
/// reported to the target's accountant, and a silent failure of the target is no longer detected.
/// So the time should be longer than the time-outs of the routes.
const MISSING_RETENTION: Duration = Duration::from_secs(30);

/// Runs a gateway until it receives a signal to stop.
///
/// # Errors
///
/// If an address of the settings cannot be bound, or the log, the metrics, the signal handlers or
/// the runtime cannot be set up.
pub fn run(settings: settings::Gateway) -> Result<(), Whatever> {
    event::init(settings.log)?;
    stop::run_single_threaded(serve(settings))
}

/// Responds to the platform's readiness probes.
struct Readiness {
    state: Arc<State>,
}

#[async_trait]
impl Responder for Readiness {
    async fn respond(&self, _request: Request<RequestBody>) -> Response<Body> {
        if self.state.is_ready() {
            full_response(StatusCode::OK, "ready\n")
        } else {
            full_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }
}

async fn bind(name: &str, address: SocketAddr) -> Result<TcpListener, Whatever> {
    TcpListener::bind(address)
        .await
        .with_whatever_context(|_| format!("cannot bind listen.{name} {address}"))
}

async fn serve(settings: settings::Gateway) -> Result<(), Whatever> {
    let state = Arc::new(State::new(
        &settings,
        Arc::new(System),
        Metrics::new()?,
        Arc::new(target::HeaderCodec),
    ));
    let callers = bind("callers", settings.listen.callers).await?;
    let readiness = bind("readiness", settings.listen.readiness).await?;
    let store = Box::new(Store::new(settings.platform));
    let feed: Arc<dyn Feed> = Arc::new(Counter::new(Arc::clone(&state), store));
    start_platform_tasks(&state, &feed, &settings.requirements);
    supervise("silence", &state, silence::run);
    start_peer_tasks(&state, &settings, feed).await?;
    let readiness_responder = Arc::new(Readiness { state: Arc::clone(&state) });
    let limits = settings.limits;
    let clients = &state.clients;
    clients.spawn_server(Listener::Readiness, &limits, readiness, readiness_responder);
    let operators = bind("operators", settings.listen.operators).await?;
    let console = Arc::new(Console::new(Arc::clone(&state), client_limits::page_memory(&limits)));
    clients.spawn_server(Listener::Operators, &limits, operators, console);

    let (limits_sender, server_limits) = watch::channel(client_limits::callers(
        &gateway_config::Limits::default(),
        &settings.limits,
    ));
    let reuse = settings.requirements.reuse;
    supervise("maintenance", &state, move |state| {
        run_maintenance(state, limits_sender.clone(), limits, reuse)
    });
    let relay = Arc::new(Relay::new(Arc::clone(&state)));
    let counts = state.clients.counts(Listener::Callers);
    let bodies = Reader::new(state.client_memory.clone(), Arc::clone(&counts));
    let codec = Arc::new(caller::HeaderCodec);
    let gateway = Arc::new(Gateway::new(codec, relay, bodies, limits.body_timeout));
    let server = Server::with_responder(gateway, server_limits, state.stage())
        .with_budget(state.client_memory.clone())
        .with_counts(counts);
    let serving = tokio::spawn(server.run(callers));
    log!(Code::Started, instance = state.name, callers = %settings.listen.callers);

    // SIGHUP must not end the process. It is only logged: settings are read at the next start.
    let mut reload = Reload::new()?;
    tokio::spawn(async move {
        loop {
            reload.recv().await;
            log!(Code::Reloaded);
        }
    });
    stop::wait_for_signal().await?;
    log!(Code::Stopping, open = state.open_request_count());
    state.start_drain();
    finish(&state, settings.requirements.grace, serving).await;
    log!(Code::Stopped, open = state.open_request_count());
    Ok(())
}

/// Finishes the requests in progress within the grace of a planned stop.
async fn finish(state: &State, grace: Duration, mut serving: JoinHandle<()>) {
    sleep(ACCEPT_AFTER_STOP).await;
    state.set_stage(Stage::Finishing);
    let margins = ACCEPT_AFTER_STOP + LAST_RESPONSE_TIME + KILL_MARGIN;
    if timeout(grace.saturating_sub(margins), &mut serving).await.is_err() {
        state.set_stage(Stage::Ending);
        let _ = timeout(LAST_RESPONSE_TIME, serving).await;
    }
}

/// Starts a background task that is started again after a panic.
fn supervise<T>(
    name: &'static str,
    state: &Arc<State>,
    start: impl Fn(Arc<State>) -> T + Send + 'static,
) where
    T: Future<Output = ()> + Send + 'static,
{
    let state = Arc::clone(state);
    supervisor::spawn(name, move || start(Arc::clone(&state)));
}

/// Starts the tasks that follow the platform and write the notes on it.
fn start_platform_tasks(
    state: &Arc<State>,
    feed: &Arc<dyn Feed>,
    requirements: &settings::Requirements,
) {
    for topic in [Topic::Operators, Topic::Targets, Topic::Routers] {
        let (feed, requirements) = (Arc::clone(feed), requirements.clone());
        supervise(topic.into(), state, move |state| {
            platform_sync::run(state, Arc::clone(&feed), topic, requirements.clone())
        });
    }
    let cache_feed = Arc::clone(feed);
    supervise("cache_note", state, move |state| cache_note::run(state, Arc::clone(&cache_feed)));
    let rollout_feed = Arc::clone(feed);
    supervise("rollout", state, move |state| rollout::run(state, Arc::clone(&rollout_feed)));
    let quarantine_feed = Arc::clone(feed);
    supervise("quarantine_note", state, move |state| {
        quarantine_note::run(state, Arc::clone(&quarantine_feed))
    });
}

/// Starts the tasks that communicate with the other routers, and the registration on the platform.
async fn start_peer_tasks(
    state: &Arc<State>,
    settings: &settings::Gateway,
    feed: Arc<dyn Feed>,
) -> Result<(), Whatever> {
    let listen = settings.listen;
    let now = state.clock.now();
    let ip = listen.reports.ip();
    for seed in settings.seeds.iter().filter(|seed| seed.ip() != ip) {
        // All routers of a deployment use the same ports.
        state.fleet().add_router(now, SocketAddr::new(seed.ip(), listen.reports.port()));
    }
    let socket = UdpSocket::bind(listen.reports)
        .await
        .with_whatever_context(|_| format!("cannot bind listen.reports {}", listen.reports))?;
    let socket = Arc::new(socket);
    state.accounting.set_socket(Arc::clone(&socket));
    supervise("receive_datagrams", state, move |state| {
        peers::receive_datagrams(state, Arc::clone(&socket))
    });
    supervise("send_reports", state, peers::send_reports);
    supervise("accounting", state, accounting::run);
    let port = listen.routers.port();
    supervise("request_snapshots", state, move |state| peers::request_snapshots(state, port));
    supervise("recall_closed_data_centres", state, move |state| {
        peers::recall_closed_data_centres(state, port)
    });
    supervise("register", state, move |state| {
        platform_sync::register(state, Arc::clone(&feed), listen.reports)
    });
    let listener = bind("routers", listen.routers).await?;
    let memory = client_limits::page_memory(&settings.limits);
    let responder = Arc::new(peers::SnapshotResponder::new(Arc::clone(state), memory));
    state.clients.spawn_server(Listener::Routers, &settings.limits, listener, responder);
    Ok(())
}

/// Removes expired connections, targets and cache entries, and applies the limits of the active
/// configuration. Also logs the limits that clients have reached, and records by how much the timer
/// fired late.
///
/// `reuse` is the time for which a cache entry is kept after its last use.
async fn run_maintenance(
    state: Arc<State>,
    limits_sender: watch::Sender<Limits>,
    limits: ClientLimits,
    reuse: Duration,
) {
    loop {
        let started_at = state.clock.now();
        sleep(MAINTENANCE_INTERVAL).await;
        let now = state.clock.now();
        state.metrics.record_timer_lag(
            now.saturating_duration_since(started_at).saturating_sub(MAINTENANCE_INTERVAL),
        );
        state.pool.remove_expired(now);
        state.clients.log_reached(&state.metrics);
        {
            let mut fleet = state.fleet();
            fleet.remove_missing(now, MISSING_RETENTION);
            fleet.cache_index().expire(now, reuse);
        }
        state.process_capacity_changes(now);
        state.update_connection_limits(now);
        if let Some(config) = state.config() {
            limits_sender.send_replace(client_limits::callers(&config.limits, &limits));
        }
    }
}
