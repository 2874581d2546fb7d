//! Keeps a link to the process beside each target of the table, and its heartbeat.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::config::OfferOutcome;
use cornelpass_core::refusal::Reason;
use cornelpass_core::target_report::Report;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_wire::heartbeat::Heartbeat;
use tokio::time::timeout;

use crate::link::{Channel, Link};
use crate::node::Node;

/// Time between two heartbeats on a link.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Shortest time between two heartbeats on a link.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Time in which the other targets' processes are told of a lost target.
const WARN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two looks at the table's targets.
const RECONCILE_PERIOD: Duration = Duration::from_millis(200);

/// Opens and closes links as the table says, for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(RECONCILE_PERIOD);
    loop {
        ticks.tick().await;
        for (target, link) in reconcile(&node) {
            tokio::spawn(beat(Arc::clone(&node), target, link));
        }
    }
}

/// Brings the links in line with the table; returns the new ones.
fn reconcile(node: &Node) -> Vec<(String, Arc<Link>)> {
    let snapshot = node.replica().current();
    let targets = &snapshot.table.targets;
    let mut links = node.links();
    links.retain(|name, link| targets.get(name).is_some_and(|row| row.address == link.address()));
    let mut opened = Vec::new();
    for (name, target) in targets {
        if !links.contains_key(name) {
            let link = Arc::new(Link::new(target.address));
            links.insert(name.clone(), Arc::clone(&link));
            opened.push((name.clone(), link));
        }
    }
    opened
}

/// Heartbeats of one link, until the table no longer has it.
async fn beat(node: Arc<Node>, target: String, link: Arc<Link>) {
    let mut up = false;
    loop {
        let current = node.link(&target);
        if !current.is_some_and(|current| Arc::ptr_eq(&current, &link)) {
            return;
        }
        let alive = once(&node, &target, &link).await;
        match (up, alive) {
            (false, true) => log!(Code::LinkOpened, target),
            (true, false) => log!(Code::LinkLost, target),
            _ => {}
        }
        up = alive;
        tokio::time::sleep(PROBE_PERIOD).await;
        let _ = timeout(HEARTBEAT_PERIOD - PROBE_PERIOD, link.doubted()).await;
    }
}

/// One heartbeat; false if the process did not answer.
///
/// A connection that does not answer is silent; only if a new one does not answer either, the
/// process is.
async fn once(node: &Node, target: &str, link: &Link) -> bool {
    for _ in 0..2 {
        let Ok(channel) = link.channel().await else { break };
        if exchange(node, target, &channel).await {
            return true;
        }
        link.abandon(channel.generation).await;
    }
    node.view().invalidate(target);
    false
}

/// One exchange of a heartbeat for a report; false if there was no answer.
async fn exchange(node: &Node, target: &str, channel: &Channel) -> bool {
    let version = node.replica().version();
    let suspects = node.view().suspects(node.clock.now());
    let mean = node.mean(target);
    let heartbeat = Heartbeat { router: node.name.clone(), version, mean, suspects };
    let Some(report) = channel.exchange(heartbeat).await else { return false };
    let report = align(node, channel, report).await;
    node.metrics.set_load(target, report.load, report.bound);
    node.view().record(target, node.clock.now(), report);
    true
}

/// Tells the processes beside the other targets which contents are suspected, after a target was
/// lost and before its requests are tried again.
pub async fn warn(node: &Arc<Node>, lost: &str) {
    let since = node.clock.now();
    let mut warned = node.warned().await;
    if warned.get(lost).is_some_and(|at| *at >= since) {
        return;
    }
    let begun = node.clock.now();
    if let Some(link) = node.link(lost)
        && let Ok(Ok(channel)) = timeout(WARN_TIMEOUT, link.channel()).await
    {
        let _ = timeout(WARN_TIMEOUT, exchange(node, lost, &channel)).await;
    }
    if !node.view().suspects(begun).is_empty() {
        let _ = timeout(WARN_TIMEOUT, tell(node, lost)).await;
    }
    warned.insert(lost.to_owned(), begun);
}

/// Heartbeats to all targets but one, at once.
async fn tell(node: &Arc<Node>, except: &str) {
    let links: Vec<_> =
        node.links().iter().map(|(name, link)| (name.clone(), link.clone())).collect();
    let mut told = tokio::task::JoinSet::new();
    for (target, link) in links.into_iter().filter(|(target, _)| target != except) {
        let node = Arc::clone(node);
        told.spawn(async move {
            if let Ok(channel) = link.channel().await {
                exchange(&node, &target, &channel).await;
            }
        });
    }
    while told.join_next().await.is_some() {}
}

/// Brings the end with the older configuration up to date after a refusal that says which it is.
pub async fn reconcile_after(node: &Node, channel: &Channel, reason: Reason) {
    match reason {
        Reason::BehindConfig => {
            let snapshot = node.replica().current();
            channel.offer((*snapshot).clone()).await;
        }
        Reason::StaleConfig => take_newer(node, channel).await,
        _ => {}
    }
}

async fn take_newer(node: &Node, channel: &Channel) {
    let Some(newer) = channel.snapshot().await else { return };
    let version = newer.version;
    if node.offer(newer) == OfferOutcome::Applied {
        log!(Code::ConfigFromPeer, version);
    }
}

/// Brings the end with the older configuration up to date; returns the latest report.
pub async fn align(node: &Node, channel: &Channel, report: Report) -> Report {
    let snapshot = node.replica().current();
    if report.version < snapshot.version {
        return channel.offer((*snapshot).clone()).await.unwrap_or(report);
    }
    if report.version > snapshot.version {
        take_newer(node, channel).await;
    }
    report
}
