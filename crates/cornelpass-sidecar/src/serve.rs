//! Starts the sidecar from its settings, and runs it until a planned stop.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::clock::System;
use cornelpass_operator::console::Console;
use cornelpass_operator::event::{self, Code};
use cornelpass_operator::log;
use cornelpass_operator::metrics::Metrics;
use cornelpass_operator::{settings, stop, supervisor};
use cornelpass_platform::claims::TableClaims;
use cornelpass_platform::config::Follower;
use cornelpass_platform::http::Platform;
use cornelpass_target::{engine, service};
use cornelpass_wire::link::{LinkServer, MESSAGE_LIMIT_BYTES};
use jsonrpsee::server::{ServerBuilder, ServerConfig, ServerHandle};
use snafu::{ResultExt, Whatever};

use crate::console::Content;
use crate::server::Server;
use crate::sidecar::{Clients, Sidecar};
use crate::{config, instances, probe};

/// Time limit of one request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of connections from routers.
const CONNECTION_LIMIT: u32 = 1024;

/// Maximum number of streams on one connection.
const STREAMS_PER_CONNECTION_LIMIT: u32 = 4096;

/// Time limit for closing the routers' connections at the end of a stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two checks for requests in progress during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the sidecar until SIGTERM or SIGINT requests a stop.
///
/// # Errors
///
/// If the sidecar cannot start, for example because an address is in use.
pub fn run(settings: settings::Sidecar) -> Result<(), Whatever> {
    event::init(settings.log)?;
    stop::run(serve(settings))
}

/// Starts the listeners and tasks, and waits for the signal to stop. Then waits for `drain.notice`,
/// and for at most `drain.limit` until no request is in progress.
async fn serve(settings: settings::Sidecar) -> Result<(), Whatever> {
    let platform = Arc::new(Platform::new(settings.platform.address, PLATFORM_TIMEOUT));
    let clock = Arc::new(System);
    let clients = Clients {
        engine: Arc::new(engine::Http::new(settings.target_address)),
        service: Arc::new(service::Http::new(settings.target_address)),
        claims: Arc::new(TableClaims::new(platform.clone(), platform.clone())),
    };
    let metrics = Metrics::new()?;
    let sidecar = Arc::new(Sidecar::new(&settings.target, clock.clone(), metrics, clients));

    let operators =
        std::net::TcpListener::bind(settings.operators).with_whatever_context(|_| {
            format!("cannot bind listen.operators {}", settings.operators)
        })?;
    let (server, address) = listen(&settings, &sidecar).await?;
    let console = Console::start(operators, Arc::new(Content::new(Arc::clone(&sidecar))))?;

    // Dropped when this function returns, which stops the threads that follow the platform.
    let (_stop_sender, stopped) = flume::bounded(1);
    let name = &settings.instance.name;
    instances::follow(Arc::clone(&sidecar), platform.clone(), name, stopped.clone());
    let follower = Follower::new(platform, clock, sidecar.shared_replica());
    config::follow(Arc::clone(&sidecar), follower, settings.platform.poll, stopped);
    let ready_sidecar = Arc::clone(&sidecar);
    supervisor::spawn("readiness", move || config::poll_readiness(Arc::clone(&ready_sidecar)));
    let probed_sidecar = Arc::clone(&sidecar);
    supervisor::spawn("probe", move || probe::run(Arc::clone(&probed_sidecar)));
    log!(Code::Started, instance = name, routers = %address, operators = %console.address());

    stop::wait_for_signal().await?;
    log!(Code::Stopping, open = sidecar.open_count());
    sidecar.drain();
    tokio::time::sleep(settings.drain.notice).await;
    let _ = tokio::time::timeout(settings.drain.limit, wait_until_idle(&sidecar)).await;
    let _ = server.stop();
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, server.stopped()).await;
    log!(Code::Stopped, open = sidecar.open_count());
    Ok(())
}

/// Starts the JSON-RPC server for routers; returns the server and its address.
async fn listen(
    settings: &settings::Sidecar,
    sidecar: &Arc<Sidecar>,
) -> Result<(ServerHandle, std::net::SocketAddr), Whatever> {
    let config = ServerConfig::builder()
        .max_connections(CONNECTION_LIMIT)
        .max_subscriptions_per_connection(STREAMS_PER_CONNECTION_LIMIT)
        .max_request_body_size(MESSAGE_LIMIT_BYTES)
        .max_response_body_size(MESSAGE_LIMIT_BYTES)
        .ws_only()
        .build();
    let server = ServerBuilder::new()
        .set_config(config)
        .build(settings.routers)
        .await
        .with_whatever_context(|_| format!("cannot bind listen.routers {}", settings.routers))?;
    let address = server.local_addr().whatever_context("no local address for listen.routers")?;
    Ok((server.start(Server::new(Arc::clone(sidecar)).into_rpc()), address))
}

/// Returns when no request is in progress, all outcomes are written and no stream has a reader.
async fn wait_until_idle(sidecar: &Sidecar) {
    while sidecar.open_count() > 0 || sidecar.streams.has_readers() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
