//! Runs the router from its settings until it is asked to stop.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_caller::server::{Limits, Server, Stage};
use cornelpass_core::clock::System;
use cornelpass_core::placement::Policy;
use cornelpass_operator::console::Console;
use cornelpass_operator::event::{self, Code};
use cornelpass_operator::log;
use cornelpass_operator::metrics::Metrics;
use cornelpass_operator::settings::Router;
use cornelpass_operator::stop;
use cornelpass_platform::claims::Store;
use cornelpass_platform::config::Follower;
use cornelpass_platform::http::Platform;
use snafu::{ResultExt, Whatever};

use crate::handler::Entry;
use crate::node::Node;
use crate::show::Panel;
use crate::{config, fleet, startup};

/// Time for one request to the platform.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a router until it is asked to stop.
///
/// # Errors
///
/// If it can not start.
pub fn run(settings: Router) -> Result<(), Whatever> {
    event::init(settings.log)?;
    stop::run(serve(settings))
}

async fn serve(settings: Router) -> Result<(), Whatever> {
    let platform = Arc::new(Platform::new(settings.platform.address, PLATFORM_TIMEOUT));
    let clock = Arc::new(System);
    let claims = Arc::new(Store::new(platform.clone(), platform.clone()));
    let metrics = Metrics::new()?;
    let name = &settings.instance.name;
    let policy: Policy = settings
        .placement
        .parse()
        .with_whatever_context(|_| format!("placement {:?}: unknown", settings.placement))?;
    let node = Arc::new(Node::new(name, clock.clone(), metrics, policy.build(), claims));

    let callers = tokio::net::TcpListener::bind(settings.callers)
        .await
        .with_whatever_context(|_| format!("listen.callers {}", settings.callers))?;
    let operators = std::net::TcpListener::bind(settings.operators)
        .with_whatever_context(|_| format!("listen.operators {}", settings.operators))?;
    let address = callers.local_addr().whatever_context("listen.callers")?;
    let console = Console::start(operators, Arc::new(Panel::new(Arc::clone(&node))))?;

    let (_stop, stopped) = flume::bounded(1);
    let token = format!("{name}/{}", uuid::Uuid::new_v4());
    let follower =
        Follower::new(platform, clock, node.shared_replica()).with_acceptor().with_lease(&token);
    config::follow(Arc::clone(&node), follower, settings.platform.poll, stopped);
    tokio::spawn(startup::run(Arc::clone(&node), settings.peers));
    tokio::spawn(fleet::run(Arc::clone(&node)));
    let entry = Arc::new(Entry::new(Arc::clone(&node)));
    let (stage, stages) = tokio::sync::watch::channel(Stage::Serving);
    let serving = tokio::spawn(Server::new(entry, Limits::default(), stages).run(callers));
    log!(Code::Started, instance = name, callers = %address, operators = %console.address());

    stop::wait_for_signal().await?;
    log!(Code::Stopping, open = node.open());
    node.drain();
    stage.send_replace(Stage::Closing);
    tokio::time::sleep(settings.drain.notice).await;
    stage.send_replace(Stage::Finishing);
    let _ = tokio::time::timeout(settings.drain.limit, serving).await;
    log!(Code::Stopped, open = node.open());
    Ok(())
}
