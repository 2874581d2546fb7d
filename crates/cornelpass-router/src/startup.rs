//! Start of a router: it serves once its configuration can be shown to be current.
//!
//! With the platform's answer it serves at once. Without it, the highest version among the peers
//! of the settings is taken, and the targets that it names are listened to before anything is
//! served, since each of them tells its own version in its first report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::config::{Readiness, Startup};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;

use crate::link::Link;
use crate::node::Node;

/// Time between two decisions.
const PERIOD: Duration = Duration::from_millis(100);

/// Decisions between two questions to the peers.
const ASK_EVERY: u32 = 5;

/// Decides until the router serves.
pub async fn run(node: Arc<Node>, peers: Vec<SocketAddr>) {
    let links: Vec<Arc<Link>> = peers.into_iter().map(|peer| Arc::new(Link::new(peer))).collect();
    let mut startup = Startup::new();
    let mut ticks = tokio::time::interval(PERIOD);
    for round in 0.. {
        ticks.tick().await;
        let readiness = startup.decide(node.clock.now(), &node.replica());
        match readiness {
            Readiness::Ready => {
                node.serve();
                return;
            }
            Readiness::Unconfigured | Readiness::Unconfirmed { .. } if round % ASK_EVERY == 0 => {
                for link in &links {
                    tokio::spawn(ask(Arc::clone(&node), Arc::clone(link)));
                }
            }
            Readiness::Unconfigured | Readiness::Unconfirmed { .. } => {}
        }
    }
}

/// Takes a peer's configuration if it is higher than the one held.
async fn ask(node: Arc<Node>, link: Arc<Link>) {
    let Ok(channel) = link.channel().await else { return };
    let Some(snapshot) = channel.snapshot().await else { return };
    if snapshot.version > node.replica().version() {
        log!(Code::ConfigFromPeer, version = snapshot.version);
        node.offer(snapshot);
    }
}
