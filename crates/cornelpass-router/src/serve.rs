//! Runs a router of the chat interface from its settings until it is asked to stop.

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
use cornelpass_operator::{stop, supervisor};
use cornelpass_platform::claims::TableClaims;
use cornelpass_platform::config::Follower;
use cornelpass_platform::http::Platform;
use snafu::{ResultExt, Whatever};

use crate::console::Content;
use crate::handler::ChatHandler;
use crate::state::State;
use crate::{config, sidecars, startup};

/// Time limit on one request to the platform.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a router until SIGTERM or SIGINT requests a planned stop, and completes the stop.
///
/// # Errors
///
/// Fails if the router cannot start.
pub fn run(settings: Router) -> Result<(), Whatever> {
    event::init(settings.log)?;
    stop::run(serve(settings))
}

async fn serve(settings: Router) -> Result<(), Whatever> {
    let platform = Arc::new(Platform::new(settings.platform.address, PLATFORM_TIMEOUT));
    let clock = Arc::new(System);
    let claims = Arc::new(TableClaims::new(platform.clone(), platform.clone()));
    let metrics = Metrics::new()?;
    let name = &settings.instance.name;
    let policy: Policy = settings
        .placement
        .parse()
        .with_whatever_context(|_| format!("unknown placement policy {:?}", settings.placement))?;
    let state = Arc::new(State::new(name, clock.clone(), metrics, policy.build(), claims));

    let callers = tokio::net::TcpListener::bind(settings.callers)
        .await
        .with_whatever_context(|_| format!("cannot bind listen.callers {}", settings.callers))?;
    let operators =
        std::net::TcpListener::bind(settings.operators).with_whatever_context(|_| {
            format!("cannot bind listen.operators {}", settings.operators)
        })?;
    let address =
        callers.local_addr().whatever_context("cannot read the address of listen.callers")?;
    let console = Console::start(operators, Arc::new(Content::new(Arc::clone(&state))))?;

    // Dropped when this function returns, which ends the thread that follows the configuration.
    let (_stop, stopped) = flume::bounded(1);
    let lease_holder = format!("{name}/{}", uuid::Uuid::new_v4());
    let follower = Follower::new(platform, clock, state.shared_replica())
        .with_acceptor()
        .with_lease(&lease_holder);
    config::follow(Arc::clone(&state), follower, settings.platform.poll, stopped);
    let (startup_state, peers) = (Arc::clone(&state), settings.peers);
    supervisor::spawn("startup", move || startup::run(Arc::clone(&startup_state), peers.clone()));
    let sidecars_state = Arc::clone(&state);
    supervisor::spawn("sidecars", move || sidecars::run(Arc::clone(&sidecars_state)));
    let handler = Arc::new(ChatHandler::new(Arc::clone(&state)));
    let (stage, stages) = tokio::sync::watch::channel(Stage::Serving);
    let serving = tokio::spawn(Server::new(handler, Limits::default(), stages).run(callers));
    log!(Code::Started, instance = name, callers = %address, operators = %console.address());

    stop::wait_for_signal().await?;
    log!(Code::Stopping, open = state.open_request_count());
    state.start_drain();
    stage.send_replace(Stage::Closing);
    tokio::time::sleep(settings.drain.notice).await;
    stage.send_replace(Stage::Finishing);
    let _ = tokio::time::timeout(settings.drain.limit, serving).await;
    log!(Code::Stopped, open = state.open_request_count());
    Ok(())
}
