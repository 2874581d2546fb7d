//! Runs a gateway from its settings until it is asked to stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cornelpass_adapter::store::Store;
use cornelpass_adapter::{caller, target};
use cornelpass_caller::gateway::{Gateway, full_response};
use cornelpass_caller::response::Body;
use cornelpass_caller::server::{Limits, Server, Stage};
use cornelpass_caller::service::Service;
use cornelpass_caller::tracked_body::RequestBody;
use cornelpass_core::clock::System;
use cornelpass_core::gateway_config;
use cornelpass_operator::event::{self, Code};
use cornelpass_operator::log;
use cornelpass_operator::metrics::gateway::Metrics;
use cornelpass_operator::settings::gateway as settings;
use cornelpass_operator::stop::{self, Reload};
use cornelpass_platform::feed::{Feed, Topic};
use hyper::{Request, Response, StatusCode};
use snafu::{ResultExt, Whatever};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;

use super::console::Console;
use super::counted::Counted;
use super::relay::Relay;
use super::state::State;
use super::{desk, follow, homes, peers, pulse};

/// Time for which a stopping gateway goes on accepting: the platform asks once a second whether it
/// is ready, and sends new connections until the second "no".
const NOTICE: Duration = Duration::from_millis(2_500);

/// Time kept free before the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Longest time for which a caller's connection may stay idle. Each one holds some tens of kilobytes,
/// and opening another costs a caller one round trip.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Part of that time that callers are told.
const KEEP_PART: f64 = 0.67;

/// Time between two looks at what can be dropped.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Time for which a target that is gone is remembered.
const MEMORY: Duration = Duration::from_secs(30);

/// Runs a gateway until it is asked to stop.
///
/// # Errors
///
/// If it can not start.
pub fn run(settings: settings::Gateway) -> Result<(), Whatever> {
    event::init(settings.log)?;
    stop::run_single_threaded(serve(settings))
}

/// Answers whether the platform may send new connections.
struct Readiness {
    state: Arc<State>,
}

#[async_trait]
impl Service for Readiness {
    async fn respond(&self, _request: Request<RequestBody>) -> Response<Body> {
        if self.state.is_ready() {
            full_response(StatusCode::OK, "ready\n")
        } else {
            full_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }
}

async fn bind(name: &str, address: SocketAddr) -> Result<TcpListener, Whatever> {
    TcpListener::bind(address).await.with_whatever_context(|_| format!("listen.{name} {address}"))
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
    let feed: Arc<dyn Feed> = Arc::new(Counted::new(Arc::clone(&state), store));
    for topic in [Topic::Operators, Topic::Targets, Topic::Routers] {
        tokio::spawn(follow::run(Arc::clone(&state), feed.clone(), topic, settings.bounds.clone()));
    }
    tokio::spawn(homes::run(Arc::clone(&state), feed.clone()));
    tokio::spawn(pulse::run(Arc::clone(&state)));
    meet(&state, &settings, feed).await?;
    let answers = Arc::new(Readiness { state: Arc::clone(&state) });
    attend(readiness, answers);
    let operators = bind("operators", settings.listen.operators).await?;
    attend(operators, Arc::new(Console::new(Arc::clone(&state))));

    let (limits, limited) =
        watch::channel(limits(&gateway_config::Limits::default(), settings.files));
    let reuse = settings.bounds.reuse;
    tokio::spawn(look_after(Arc::clone(&state), limits, settings.files, reuse));
    let relay = Arc::new(Relay::new(Arc::clone(&state)));
    let gateway = Arc::new(Gateway::new(Arc::new(caller::HeaderCodec), relay));
    let (stage, stages) = watch::channel(Stage::Serving);
    let serving = tokio::spawn(Server::with_service(gateway, limited, stages).run(callers));
    log!(Code::Started, instance = state.name, callers = %settings.listen.callers);

    let mut reload = Reload::new()?;
    tokio::spawn(async move {
        loop {
            reload.recv().await;
            log!(Code::Reloaded);
        }
    });
    stop::wait_for_signal().await?;
    log!(Code::Stopping, open = state.open());
    state.drain();
    stage.send_replace(Stage::Closing);
    tokio::time::sleep(NOTICE).await;
    stage.send_replace(Stage::Finishing);
    let rest = settings.bounds.grace.saturating_sub(NOTICE + KILL_MARGIN);
    let _ = tokio::time::timeout(rest, serving).await;
    log!(Code::Stopped, open = state.open());
    Ok(())
}

/// Begins to tell the other routers, and to listen to them.
async fn meet(
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
        .with_whatever_context(|_| format!("listen.reports {}", listen.reports))?;
    let socket = Arc::new(socket);
    state.desk.open(Arc::clone(&socket));
    tokio::spawn(peers::listen(Arc::clone(state), socket));
    tokio::spawn(peers::tell(Arc::clone(state)));
    tokio::spawn(desk::run(Arc::clone(state)));
    tokio::spawn(peers::ask(Arc::clone(state), listen.routers.port()));
    tokio::spawn(follow::register(Arc::clone(state), feed, listen.reports));
    let listener = bind("routers", listen.routers).await?;
    attend(listener, Arc::new(peers::Answers::new(Arc::clone(state))));
    Ok(())
}

/// Serves somebody else than callers, for as long as the process runs.
fn attend(listener: TcpListener, service: Arc<dyn Service>) {
    let (limits, fixed) = watch::channel(Limits::default());
    let (stage, always) = watch::channel(Stage::Serving);
    tokio::spawn(async move {
        Server::with_service(service, fixed, always).run(listener).await;
        drop((limits, stage));
    });
}

/// Drops what has become old, and puts new limits into force.
async fn look_after(
    state: Arc<State>,
    limited: watch::Sender<Limits>,
    files: usize,
    reuse: Duration,
) {
    loop {
        let begun = state.clock.now();
        tokio::time::sleep(SWEEP_PERIOD).await;
        let now = state.clock.now();
        state
            .metrics
            .record_timer_lag(now.saturating_duration_since(begun).saturating_sub(SWEEP_PERIOD));
        state.pool.remove_expired(now);
        {
            let mut fleet = state.fleet();
            fleet.remove_missing(now, MEMORY);
            fleet.cache_index().expire(now, reuse);
        }
        if let Some(config) = state.config() {
            limited.send_replace(limits(&config.limits, files));
        }
    }
}

/// Limits on callers; half of the files are left for targets.
fn limits(config: &gateway_config::Limits, files: usize) -> Limits {
    Limits {
        body_bytes: config.body_bytes,
        head_bytes: config.head_bytes,
        head_timeout: config.head_timeout,
        idle_timeout: config.idle_timeout.min(IDLE_TIMEOUT),
        keep_alive: Some(config.idle_timeout.min(IDLE_TIMEOUT).mul_f64(KEEP_PART)),
        connections: files / 2,
        ..Limits::default()
    }
}
