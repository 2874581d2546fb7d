//! Keeps the state up to date with the platform's rows of operators, targets and routers.
//!
//! Each topic is read completely once, and then followed by calls for the changes after the last
//! revision. A topic is read completely again after several failed calls in a row, and when the
//! platform no longer has the changes after that revision. This module also registers the router on
//! the platform.
//!
//! Other routers announce changes as well. Only pollers ([`cornelpass_core::fleet::polling`]) poll
//! the targets at short intervals, and the calls of other routers for operators' rows wait longer.
//! The connection of such a call may be lost silently, so the call is repeated as soon as this
//! router hears no poller, or becomes one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_core::fleet::outage::Streak;
use cornelpass_core::fleet::polling::Next;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_operator::settings::gateway::Requirements;
use cornelpass_platform::error::Error;
use cornelpass_platform::feed::{Changes, Feed, Page, Record, Topic, TopicRow};
use tokio::time::sleep;

use super::rollout;
use super::state::State;

/// Longest wait of a poller's call for changes of the operators' rows, as a fraction of
/// `Requirements::config`.
///
/// `Requirements::config` is the time within which a new configuration must be active. A connection
/// that has failed silently is detected only after this wait. Other routers hear no poller if none
/// has reported for as long.
const POLL_WAIT_FRACTION: f64 = 0.5;

/// Longest wait of a call for changes that other routers also announce.
const ANNOUNCED_WAIT: Duration = Duration::from_secs(25);

/// Limits the time for a response of the platform, in addition to the wait of the call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause after the first failed call; it doubles with each further failure.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_600);

/// Failed calls in a row after which a topic is read completely, because many rows may have changed
/// by then.
const REREAD_FAILURES: u32 = 3;

/// Maximum random reduction of a pause, as a fraction of the pause, so that routers do not call at
/// the same time.
const RETRY_JITTER_FRACTION: f64 = 0.3;

/// Pause after the first failed call of a router that cannot serve yet.
///
/// It is shorter than [`FIRST_RETRY_PAUSE`] because callers wait for this router.
const FIRST_START_RETRY_PAUSE: Duration = Duration::from_millis(80);

/// Longest pause after a failed call of a router that cannot serve yet.
const MAX_START_RETRY_PAUSE: Duration = Duration::from_millis(320);

/// Longest pause after a failed call for targets or routers while calls for operators' rows fail.
///
/// During an outage only the calls for operators' rows are repeated at short intervals. The other
/// topics wait until one of these calls succeeds. This pause limits the wait, in case the platform
/// is only partly unavailable.
const OUTAGE_PAUSE: Duration = Duration::from_secs(5);

/// Time for the platform to return a change that another router already has, before the waiting
/// call is cancelled and repeated without a wait.
const PLATFORM_GRACE: Duration = Duration::from_millis(150);

/// Pause between two calls for changes of the routers.
///
/// Many routers start or stop at the same time, so that one call returns many changes. Each router
/// also announces itself to the other routers by its reports.
const ROUTERS_PAUSE: Duration = Duration::from_secs(2);

/// Time between two decisions whether to poll the targets, and between two checks whether other
/// routers still announce changes.
const POLL_DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// Time over which the routers write their rows again after a restore of the platform.
const REGISTER_SPREAD: Duration = Duration::from_secs(2);

/// Pause after a failed registration; the other routers also know this router from its reports.
const REGISTER_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Progress in following a topic.
#[derive(Debug, Default)]
struct Progress {
    /// Revision up to which the rows are known; none if the topic must be read completely.
    revision: Option<u64>,
    /// Whether the last call succeeded; none before the first call.
    reachable: Option<bool>,
    /// When `reachable` last changed.
    reachable_since: Option<Instant>,
    /// What the failed calls since the last response show about the platform.
    streak: Streak,
    /// Failed calls in a row.
    failures: u32,
    /// Whether the next call must not wait: another router has a higher revision, or the last call
    /// failed and the next one shows whether the platform or only the connection was away.
    skip_wait: bool,
}

/// Follows a topic until the process ends.
///
/// `requirements` contains the time within which a new configuration must be active.
pub async fn run(state: Arc<State>, feed: Arc<dyn Feed>, topic: Topic, requirements: Requirements) {
    let mut progress = Progress::default();
    let mut closed_data_centres = BTreeSet::new();
    loop {
        let Some(response) = call(&state, feed.as_ref(), topic, &mut progress, &requirements).await
        else {
            continue;
        };
        let failed = response.is_err();
        record_reachability(&state, topic, &mut progress, response.as_ref().err());
        let mut pause_first = true;
        match response {
            Ok((Changes::Page(page), complete)) => {
                progress.revision = Some(page.revision);
                state.record_platform_revision(page.revision);
                // Other routers rely on the pollers. A poller that got no changes calls again at
                // once: the call waits at the platform.
                let poller_without_changes = page.rows.is_empty() && is_poller(&state);
                pause_first = !(page.more || poller_without_changes);
                apply_page(&state, topic, page, complete, &mut closed_data_centres);
            }
            Ok((Changes::HistoryLost, _)) => progress.revision = None,
            Err(_) => {}
        }
        if failed {
            progress.failures += 1;
            progress.skip_wait = true;
            if progress.failures >= REREAD_FAILURES {
                progress.revision = None;
            }
            pause_after_failure(&state, topic, progress.failures).await;
            continue;
        }
        progress.failures = 0;
        match topic {
            Topic::Targets if pause_first => wait_for_next_poll(&state).await,
            Topic::Routers => sleep(ROUTERS_PAUSE).await,
            Topic::Operators | Topic::Targets => {}
        }
    }
}

fn retry_pause(state: &State, failures: u32) -> Duration {
    let (first_pause, max_pause) = match state.serving_config() {
        Some(_) => (FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE),
        None => (FIRST_START_RETRY_PAUSE, MAX_START_RETRY_PAUSE),
    };
    let pause = first_pause.saturating_mul(1 << failures.saturating_sub(1).min(8));
    pause.min(max_pause).mul_f64(1.0 - RETRY_JITTER_FRACTION * rand::random::<f64>())
}

/// Waits after a failed call until the next call is due.
async fn pause_after_failure(state: &State, topic: Topic, failures: u32) {
    let pause = retry_pause(state, failures);
    let mut available = state.platform_available();
    if topic == Topic::Operators || *available.borrow() {
        return sleep(pause).await;
    }
    tokio::select! {
        () = sleep(OUTAGE_PAUSE) => {}
        // The sender lives as long as the state, so `wait_for` does not fail.
        _ = available.wait_for(|available| *available) => {}
    }
}

/// Returns when another router has newer rows of the operators and the platform has not returned
/// them within [`PLATFORM_GRACE`].
async fn wait_for_newer_peer_rows(state: &State) {
    loop {
        state.wait_until_poll_due().await;
        sleep(PLATFORM_GRACE).await;
        if state.has_newer_peer_rows() {
            return;
        }
    }
}

/// Waits until the next call for changes of the targets is due.
async fn wait_for_next_poll(state: &State) {
    let started_at = state.clock.now();
    let poller_pause = state.fleet().poll_times().poller_pause;
    sleep(poller_pause).await;
    loop {
        let now = state.clock.now();
        let waited = now.saturating_duration_since(started_at);
        let next = state.fleet().next_poll(now, waited);
        match next {
            Next::Poll => return,
            Next::Wait => sleep(POLL_DECISION_INTERVAL).await,
        }
    }
}

/// Reads all rows of a topic, or the changes after the known revision.
///
/// Returns the rows, and whether they are all rows of the topic. Returns `None` if the call was
/// cancelled because another router has newer rows, or because no other router announces them any
/// more. The next call then does not wait and is not cancelled, however many reports arrive.
async fn call(
    state: &State,
    feed: &dyn Feed,
    topic: Topic,
    progress: &mut Progress,
    requirements: &Requirements,
) -> Option<Result<(Changes, bool), Error>> {
    let Some(since) = progress.revision else {
        let page = feed.read_all(topic, RESPONSE_TIMEOUT).await;
        return Some(page.map(|page| (Changes::Page(page), true)));
    };
    let skip_wait = std::mem::take(&mut progress.skip_wait);
    let wait = if skip_wait { Duration::ZERO } else { call_wait(state, topic, requirements) };
    let changes = feed.read_changes(topic, since, wait, RESPONSE_TIMEOUT);
    let changes = tokio::select! {
        changes = changes => changes,
        () = wait_for_newer_peer_rows(state), if topic == Topic::Operators && !skip_wait => {
            progress.skip_wait = true;
            return None;
        }
        () = wait_until_unannounced(state, requirements),
            if topic == Topic::Operators && wait == ANNOUNCED_WAIT =>
        {
            log!(Code::PlatformCallRenewed, topic = <&str>::from(topic), revision = since);
            progress.skip_wait = true;
            return None;
        }
    };
    Some(changes.map(|changes| (changes, false)))
}

/// Whether other routers announce the changes of the operators' rows to this router.
fn has_announcements(state: &State, requirements: &Requirements) -> bool {
    let silence = requirements.config.mul_f64(POLL_WAIT_FRACTION);
    state.fleet().relies_on_announcements(state.clock.now(), silence)
}

/// Returns when other routers no longer announce the changes of the operators' rows.
async fn wait_until_unannounced(state: &State, requirements: &Requirements) {
    while has_announcements(state, requirements) {
        sleep(POLL_DECISION_INTERVAL).await;
    }
}

fn is_poller(state: &State) -> bool {
    state.fleet().is_poller(state.clock.now())
}

/// Time for which a call waits at the platform for the first change.
fn call_wait(state: &State, topic: Topic, requirements: &Requirements) -> Duration {
    match topic {
        Topic::Operators if !has_announcements(state, requirements) => {
            requirements.config.mul_f64(POLL_WAIT_FRACTION)
        }
        Topic::Targets if is_poller(state) => state.fleet().poll_times().poll_wait,
        Topic::Targets => Duration::ZERO,
        Topic::Operators | Topic::Routers => ANNOUNCED_WAIT,
    }
}

/// Records whether a call succeeded, and logs each change.
fn record_reachability(
    state: &State,
    topic: Topic,
    progress: &mut Progress,
    error: Option<&Error>,
) {
    let now = state.clock.now();
    let reachable = error.is_none();
    if topic == Topic::Operators {
        state.set_platform_available(reachable);
    }
    if let Some(error) = error {
        progress.streak.record_failure(now, error.failure());
    }
    if progress.reachable == Some(reachable) {
        return;
    }
    let topic: &'static str = topic.into();
    match error {
        Some(error) => log!(Code::PlatformUnreachable, topic, %error),
        None => {
            let away = progress
                .reachable_since
                .map_or(Duration::ZERO, |changed_at| now.saturating_duration_since(changed_at));
            let outage = progress.streak.record_response(now);
            let grace =
                outage.is_some_and(|outage| state.fleet().record_platform_return(now, outage));
            log!(Code::PlatformReachable, topic, away_ms = away.as_millis() as u64, grace);
        }
    }
    progress.reachable = Some(reachable);
    progress.reachable_since = Some(now);
}

/// Applies rows of a topic to the state.
///
/// `complete` is whether the page has all rows of the topic. `closed_data_centres` collects the
/// data centres that are out of service, over all pages.
fn apply_page(
    state: &State,
    topic: Topic,
    page: Page,
    complete: bool,
    closed_data_centres: &mut BTreeSet<String>,
) {
    let now = state.clock.now();
    let synced_revision = (topic == Topic::Targets && !page.more).then_some(page.revision);
    if complete && topic == Topic::Targets {
        let name = |topic_row: &TopicRow| match &topic_row.record {
            Record::Target(name, _) => Some(name.clone()),
            _ => None,
        };
        let listed = page.rows.iter().filter_map(name).collect();
        state.fleet().apply_complete_list(now, &listed, page.revision);
    }
    let all_targets = complete && topic == Topic::Targets;
    if complete && topic == Topic::Operators {
        closed_data_centres.clear();
        rollout::apply_complete_list(state, &page);
    }
    for topic_row in page.rows {
        if topic == Topic::Operators {
            state.record_operator_revision(topic_row.revision);
        }
        match topic_row.record {
            Record::GatewayConfig(config) => state.offer(*config),
            Record::DataCentreClosed(data_centre) => {
                closed_data_centres.insert(data_centre);
            }
            Record::DataCentreOpened(data_centre) => {
                closed_data_centres.remove(&data_centre);
                state.open_data_centre(&data_centre);
            }
            Record::Target(name, row) => {
                state.fleet().apply_platform_row(now, &name, Some(row), topic_row.revision)
            }
            Record::TargetRemoved(name) => {
                state.fleet().apply_platform_row(now, &name, None, topic_row.revision)
            }
            Record::Malformed { key, problem } if topic == Topic::Targets => {
                log!(Code::TargetRowMalformed, target = key, problem);
                // The row names no target, also if it has replaced the row of one.
                state.fleet().apply_platform_row(now, &key, None, topic_row.revision);
            }
            Record::Malformed { key, problem } => log!(Code::ConfigRejected, key, problem),
            Record::Router(name, address) if name != state.name => {
                state.fleet().add_router(now, address);
            }
            record => rollout::apply_record(state, record, topic_row.revision),
        }
    }
    if topic == Topic::Operators {
        state.set_closed_data_centres(closed_data_centres.clone());
        rollout::log_changes(state);
    }
    state.log_listing_changes();
    if let Some(revision) = synced_revision {
        state.fleet().record_platform_sync(now, revision);
    }
    if state.fleet().change_log().is_report_due() {
        state.request_report();
    }
    if all_targets {
        state.mark_targets_listed();
    }
}

/// Writes this router's row, and writes it again after each restore of the platform.
pub async fn register(state: Arc<State>, feed: Arc<dyn Feed>, address: SocketAddr) {
    loop {
        let restores = state.restore_count();
        while let Err(error) = feed.register(&state.name, address, RESPONSE_TIMEOUT).await {
            log!(Code::PlatformUnreachable, call = "register", %error);
            sleep(REGISTER_RETRY_PAUSE).await;
        }
        state.wait_for_restore_after(restores).await;
        sleep(REGISTER_SPREAD.mul_f64(rand::random())).await;
    }
}
