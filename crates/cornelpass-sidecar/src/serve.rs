//! Runs the process beside a target from its settings until it is asked to stop.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::clock::System;
use cornelpass_operator::console::Console;
use cornelpass_operator::event::{self, Code};
use cornelpass_operator::log;
use cornelpass_operator::metrics::Metrics;
use cornelpass_operator::settings::Sidecar;
use cornelpass_operator::stop;
use cornelpass_platform::claims::Store;
use cornelpass_platform::config::Follower;
use cornelpass_platform::http::Platform;
use cornelpass_target::{engine, service};
use cornelpass_wire::link::{LinkServer, MESSAGE_LIMIT_BYTES};
use jsonrpsee::server::{ServerBuilder, ServerConfig, ServerHandle};
use snafu::{ResultExt, Whatever};

use crate::node::{Node, Peers};
use crate::server::Server;
use crate::show::Panel;
use crate::{config, instances, probe};

/// Time for one request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Most routers connected at once.
const CONNECTION_LIMIT: u32 = 1024;

/// Most streams on one connection.
const STREAM_LIMIT: u32 = 4096;

/// Time for the routers' connections to close at the end of a stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two looks at the work in progress during a stop.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Runs the process until it is asked to stop.
///
/// # Errors
///
/// If it can not start.
pub fn run(settings: Sidecar) -> Result<(), Whatever> {
    event::init(settings.log)?;
    stop::run(serve(settings))
}

async fn serve(settings: Sidecar) -> Result<(), Whatever> {
    let platform = Arc::new(Platform::new(settings.platform.address, PLATFORM_TIMEOUT));
    let clock = Arc::new(System);
    let peers = Peers {
        engine: Arc::new(engine::Http::new(settings.target_address)),
        service: Arc::new(service::Http::new(settings.target_address)),
        claims: Arc::new(Store::new(platform.clone(), platform.clone())),
    };
    let metrics = Metrics::new()?;
    let node = Arc::new(Node::new(&settings.target, clock.clone(), metrics, peers));

    let operators = std::net::TcpListener::bind(settings.operators)
        .with_whatever_context(|_| format!("listen.operators {}", settings.operators))?;
    let (server, address) = listen(&settings, &node).await?;
    let console = Console::start(operators, Arc::new(Panel::new(Arc::clone(&node))))?;

    let (_stop, stopped) = flume::bounded(1);
    let name = &settings.instance.name;
    instances::follow(Arc::clone(&node), platform.clone(), name, stopped.clone());
    let follower = Follower::new(platform, clock, node.shared_replica());
    config::follow(Arc::clone(&node), follower, settings.platform.poll, stopped);
    tokio::spawn(config::start(Arc::clone(&node)));
    tokio::spawn(probe::run(Arc::clone(&node)));
    log!(Code::Started, instance = name, routers = %address, operators = %console.address());

    stop::wait_for_signal().await?;
    log!(Code::Stopping, open = node.open());
    node.drain();
    tokio::time::sleep(settings.drain.notice).await;
    let _ = tokio::time::timeout(settings.drain.limit, idle(&node)).await;
    let _ = server.stop();
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, server.stopped()).await;
    log!(Code::Stopped, open = node.open());
    Ok(())
}

async fn listen(
    settings: &Sidecar,
    node: &Arc<Node>,
) -> Result<(ServerHandle, std::net::SocketAddr), Whatever> {
    let config = ServerConfig::builder()
        .max_connections(CONNECTION_LIMIT)
        .max_subscriptions_per_connection(STREAM_LIMIT)
        .max_request_body_size(MESSAGE_LIMIT_BYTES)
        .max_response_body_size(MESSAGE_LIMIT_BYTES)
        .ws_only()
        .build();
    let server = ServerBuilder::new()
        .set_config(config)
        .build(settings.routers)
        .await
        .with_whatever_context(|_| format!("listen.routers {}", settings.routers))?;
    let address = server.local_addr().whatever_context("listen.routers")?;
    Ok((server.start(Server::new(Arc::clone(node)).into_rpc()), address))
}

/// Returns when nothing is in progress, all is recorded and nobody reads a stream.
async fn idle(node: &Node) {
    while node.open() > 0 || node.streams.followed() {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}
