//! Keeps a link to the sidecar of each target in the configuration table, and exchanges heartbeats.
//!
//! A heartbeat contains the version of the router's configuration, the mean load of the targets
//! that serve the same model or service, and the contents that are suspected of crashing targets.
//! The sidecar returns a report on its target. If the versions of the two configurations differ,
//! the router sends the newer one to the sidecar or fetches it from there.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::config::OfferOutcome;
use cornelpass_core::refusal::Reason;
use cornelpass_core::target_report::Report;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_wire::heartbeat::Heartbeat;
use tokio::time::timeout;

use crate::link::{Connection, Link};
use crate::state::State;

/// Regular time between two heartbeats on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two heartbeats on a link, also if a heartbeat is requested earlier.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit on each step of an announcement of suspected contents.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two comparisons of the links with the targets of the configuration table.
const RECONCILIATION_INTERVAL: Duration = Duration::from_millis(200);

/// Opens and closes links as the configuration table changes, for as long as the process runs.
pub async fn run(state: Arc<State>) {
    let mut ticks = tokio::time::interval(RECONCILIATION_INTERVAL);
    loop {
        ticks.tick().await;
        for (target, link) in reconcile(&state) {
            tokio::spawn(run_heartbeats(Arc::clone(&state), target, link));
        }
    }
}

/// Adds and removes links so that they match the configuration table; returns the new links.
fn reconcile(state: &State) -> Vec<(String, Arc<Link>)> {
    let snapshot = state.replica().current();
    let targets = &snapshot.table.targets;
    let mut links = state.links();
    links.retain(|name, link| targets.get(name).is_some_and(|row| row.address == link.address()));
    let mut new_links = Vec::new();
    for (name, target) in targets {
        if !links.contains_key(name) {
            let link = Arc::new(Link::new(target.address));
            links.insert(name.clone(), Arc::clone(&link));
            new_links.push((name.clone(), link));
        }
    }
    new_links
}

/// Exchanges heartbeats on a link until the link is removed.
async fn run_heartbeats(state: Arc<State>, target: String, link: Arc<Link>) {
    let mut was_open = false;
    loop {
        let current = state.link(&target);
        if !current.is_some_and(|current| Arc::ptr_eq(&current, &link)) {
            return;
        }
        let is_open = exchange_with_retry(&state, &target, &link).await;
        match (was_open, is_open) {
            (false, true) => log!(Code::LinkOpened, target),
            (true, false) => log!(Code::LinkLost, target),
            _ => {}
        }
        was_open = is_open;
        tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
        let _ =
            timeout(HEARTBEAT_INTERVAL - MIN_HEARTBEAT_INTERVAL, link.wait_for_heartbeat_request())
                .await;
    }
}

/// Exchanges one heartbeat, with a second try on a new connection; false if there is no response.
///
/// If there is no response on one connection, the failure may be limited to that connection. The
/// sidecar is treated as unresponsive only if there is no response on a new connection either.
async fn exchange_with_retry(state: &State, target: &str, link: &Link) -> bool {
    for _ in 0..2 {
        let Ok(connection) = link.connection().await else { break };
        if exchange(state, target, &connection).await {
            return true;
        }
        link.discard(connection.generation).await;
    }
    state.target_reports().invalidate(target);
    false
}

/// Exchanges a heartbeat for a report on one connection; false if there was no response.
async fn exchange(state: &State, target: &str, connection: &Connection) -> bool {
    let version = state.replica().version();
    let suspects = state.target_reports().suspects(state.clock.now());
    let mean = state.mean_load(target);
    let heartbeat = Heartbeat { router: state.name.clone(), version, mean, suspects };
    let Some(report) = connection.exchange(heartbeat).await else { return false };
    let report = sync_config(state, connection, report).await;
    state.metrics.set_load(target, report.load, report.bound);
    state.target_reports().record(target, state.clock.now(), report);
    true
}

/// Sends the suspected contents to the sidecars of the other targets after a target was lost.
///
/// A request of the lost target must be retried only after this function has returned, so that the
/// sidecars know the suspects before the request arrives, unless they did not respond in time.
///
/// The sidecar of the lost target is asked first, because it reports the contents that were in
/// flight. Several requests may lose the same target at once, so a request makes no announcement if
/// another request has started one for this target since this call started.
pub async fn announce_suspects(state: &Arc<State>, lost_target: &str) {
    let requested_at = state.clock.now();
    let mut announcements = state.lock_announcements().await;
    if announcements.get(lost_target).is_some_and(|announced_at| *announced_at >= requested_at) {
        return;
    }
    let started_at = state.clock.now();
    if let Some(link) = state.link(lost_target)
        && let Ok(Ok(connection)) = timeout(ANNOUNCEMENT_TIMEOUT, link.connection()).await
    {
        let _ = timeout(ANNOUNCEMENT_TIMEOUT, exchange(state, lost_target, &connection)).await;
    }
    if !state.target_reports().suspects(started_at).is_empty() {
        let _ = timeout(ANNOUNCEMENT_TIMEOUT, exchange_with_others(state, lost_target)).await;
    }
    announcements.insert(lost_target.to_owned(), started_at);
}

/// Exchanges heartbeats with the sidecars of all targets except one, concurrently.
async fn exchange_with_others(state: &Arc<State>, excluded_target: &str) {
    let links: Vec<_> =
        state.links().iter().map(|(name, link)| (name.clone(), link.clone())).collect();
    let mut exchanges = tokio::task::JoinSet::new();
    for (target, link) in links.into_iter().filter(|(target, _)| target != excluded_target) {
        let state = Arc::clone(state);
        exchanges.spawn(async move {
            if let Ok(connection) = link.connection().await {
                exchange(&state, &target, &connection).await;
            }
        });
    }
    while exchanges.join_next().await.is_some() {}
}

/// Sends or fetches the newer configuration if a request was refused because the versions differ.
pub async fn sync_config_after_refusal(state: &State, connection: &Connection, reason: Reason) {
    match reason {
        Reason::BehindConfig => {
            let snapshot = state.replica().current();
            connection.offer((*snapshot).clone()).await;
        }
        Reason::StaleConfig => fetch_config(state, connection).await,
        _ => {}
    }
}

/// Fetches the configuration of a sidecar, and applies it if it is newer.
async fn fetch_config(state: &State, connection: &Connection) {
    let Some(snapshot) = connection.snapshot().await else { return };
    let version = snapshot.version;
    if state.offer(snapshot) == OfferOutcome::Applied {
        log!(Code::ConfigFromPeer, version);
    }
}

/// Sends the configuration to a sidecar with an older version, or fetches a newer one from it.
///
/// Returns the latest report of the sidecar.
pub async fn sync_config(state: &State, connection: &Connection, report: Report) -> Report {
    let snapshot = state.replica().current();
    if report.version < snapshot.version {
        return connection.offer((*snapshot).clone()).await.unwrap_or(report);
    }
    if report.version > snapshot.version {
        fetch_config(state, connection).await;
    }
    report
}
