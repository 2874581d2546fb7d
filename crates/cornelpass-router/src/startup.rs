//! Start of a router: decides when the router may serve.
//!
//! If the platform confirms that the configuration is the latest one, the router serves at once.
//! Otherwise it polls its peers, which are the sidecars that the settings name, and applies the
//! highest version. It serves after it has had a configuration for
//! [`cornelpass_core::config::STARTUP_HOLD`], in which it also collects the versions of the
//! sidecars of all configured targets: each sidecar states its version in its first report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::config::{Readiness, Startup};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;

use crate::link::Link;
use crate::state::State;

/// Time between two decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Number of decisions from one poll of the peers to the next.
const DECISIONS_PER_PEER_POLL: u32 = 5;

/// Decides at regular intervals until the router may serve, and then starts to serve.
pub async fn run(state: Arc<State>, peers: Vec<SocketAddr>) {
    let links: Vec<Arc<Link>> = peers.into_iter().map(|peer| Arc::new(Link::new(peer))).collect();
    let mut startup = Startup::new();
    let mut ticks = tokio::time::interval(DECISION_INTERVAL);
    for round in 0.. {
        ticks.tick().await;
        let readiness = startup.decide(state.clock.now(), &state.replica());
        match readiness {
            Readiness::Ready => {
                state.start_serving();
                return;
            }
            Readiness::Unconfigured | Readiness::Unconfirmed { .. }
                if round % DECISIONS_PER_PEER_POLL == 0 =>
            {
                for link in &links {
                    tokio::spawn(fetch_config(Arc::clone(&state), Arc::clone(link)));
                }
            }
            Readiness::Unconfigured | Readiness::Unconfirmed { .. } => {}
        }
    }
}

/// Fetches the configuration of a peer, and applies it if its version is higher than the active
/// one.
async fn fetch_config(state: Arc<State>, link: Arc<Link>) {
    let Ok(connection) = link.connection().await else { return };
    let Some(snapshot) = connection.snapshot().await else { return };
    if snapshot.version > state.replica().version() {
        log!(Code::ConfigFromPeer, version = snapshot.version);
        state.offer(snapshot);
    }
}
