//! Follows what the platform tells of operators and targets.
//!
//! Each topic is read whole once, and then followed by calls that wait for a change. After several
//! failures, and when the platform has lost its history, it is read whole again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelpass_core::fleet::polling::Next;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_operator::settings::gateway::Bounds;
use cornelpass_platform::error::Error;
use cornelpass_platform::feed::{Changes, Entry, Feed, Page, Record, Topic};
use tokio::time::sleep;

use super::state::State;

/// Longest wait of one call for a change, as a part of the time in which a configuration has to be in
/// force; a silent connection is noticed after it.
const WAIT_PART: f64 = 0.5;

/// The same where other routers would tell of a change.
const LONG_WAIT: Duration = Duration::from_secs(25);

/// Time for an answer, beyond the wait.
const PATIENCE: Duration = Duration::from_millis(600);

/// Pause after the first failed call; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_600);

/// Failed calls in a row after which everything is read again: there are many changes by then.
const REREAD_FAILURES: u32 = 3;

/// Random part of a pause, so that routers do not ask in step.
const RETRY_SPREAD: f64 = 0.3;

/// The same while there is nothing to serve by, for which callers wait.
const START_PAUSE: Duration = Duration::from_millis(80);

/// Longest pause then.
const MAX_START_PAUSE: Duration = Duration::from_millis(320);

/// Pause of the other topics while the operators' topic gets no answer: it is asked for all of them, unless
/// only a part of the platform is away.
const SILENT_PAUSE: Duration = Duration::from_secs(5);

/// Time for the platform to tell by itself what another router knows already, before a call that waits for
/// it is broken off.
const BEHIND_PAUSE: Duration = Duration::from_millis(150);

/// Pause between two calls for changes of the routers, which start and stop many at a time; each also
/// tells the others itself.
const ROUTERS_PAUSE: Duration = Duration::from_secs(2);

/// Time between two looks at whether they do.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// Pause after a failed registration; the others hear of this router by its reports as well.
const REGISTER_PAUSE: Duration = Duration::from_secs(2);

/// What is known of a topic.
#[derive(Debug, Default)]
struct Known {
    revision: Option<u64>,
    reachable: Option<bool>,
    /// Since when it is reachable, or not.
    since: Option<Instant>,
    /// Calls in a row that failed.
    failures: u32,
    /// Another router knows more.
    hurried: bool,
}

/// Follows a topic for as long as the process runs.
///
/// `bounds` say how soon a change has to be known.
pub async fn run(state: Arc<State>, feed: Arc<dyn Feed>, topic: Topic, bounds: Bounds) {
    let mut known = Known::default();
    let mut closed = BTreeSet::new();
    loop {
        let Some(answer) = ask(&state, feed.as_ref(), topic, &mut known, &bounds).await else {
            continue;
        };
        let failed = answer.is_err();
        note(&state, topic, &mut known, answer.as_ref().err());
        let mut pauses = true;
        match answer {
            Ok((Changes::Page(page), whole)) => {
                known.revision = Some(page.revision);
                // A router that others rely on waits at the platform rather than here.
                let idle = page.entries.is_empty() && is_poller(&state);
                pauses = !(page.more || idle);
                take(&state, topic, page, whole, &mut closed);
            }
            Ok((Changes::HistoryLost, _)) => known.revision = None,
            Err(_) => {}
        }
        if failed {
            known.failures += 1;
            if known.failures >= REREAD_FAILURES {
                known.revision = None;
            }
            rest(&state, topic, known.failures).await;
            continue;
        }
        known.failures = 0;
        match topic {
            Topic::Targets if pauses => pause(&state).await,
            Topic::Routers => sleep(ROUTERS_PAUSE).await,
            Topic::Operators | Topic::Targets => {}
        }
    }
}

fn retry_pause(state: &State, failures: u32) -> Duration {
    let (first, longest) = match state.served() {
        Some(_) => (RETRY_PAUSE, MAX_RETRY_PAUSE),
        None => (START_PAUSE, MAX_START_PAUSE),
    };
    let pause = first.saturating_mul(1 << failures.saturating_sub(1).min(8));
    pause.min(longest).mul_f64(1.0 - RETRY_SPREAD * rand::random::<f64>())
}

/// Waits after a failed call until the platform is to be asked again.
async fn rest(state: &State, topic: Topic, failures: u32) {
    let pause = retry_pause(state, failures);
    let mut answers = state.answers();
    if topic == Topic::Operators || *answers.borrow() {
        return sleep(pause).await;
    }
    tokio::select! {
        () = sleep(SILENT_PAUSE) => {}
        // The sender lives as long as the state.
        _ = answers.wait_for(|answers| *answers) => {}
    }
}

/// Returns when another router knows more of what the operators have written than the platform tells.
async fn behind(state: &State) {
    loop {
        state.behind().await;
        sleep(BEHIND_PAUSE).await;
        if state.is_behind() {
            return;
        }
    }
}

/// Waits until the platform is to be asked for changes of the targets again.
async fn pause(state: &State) {
    let begun = state.clock.now();
    let poller_pause = state.fleet().poll_times().poller_pause;
    sleep(poller_pause).await;
    loop {
        let now = state.clock.now();
        let waited = now.saturating_duration_since(begun);
        let next = state.fleet().next_poll(now, waited);
        match next {
            Next::Poll => return,
            Next::Wait => sleep(LOOK_PERIOD).await,
        }
    }
}

/// Asks for all rows, or for the changes of those that are known, with whether these are all rows.
///
/// Returns nothing if another router told of a change meanwhile: the next call does not wait then,
/// and is not broken off, however often others tell.
async fn ask(
    state: &State,
    feed: &dyn Feed,
    topic: Topic,
    known: &mut Known,
    bounds: &Bounds,
) -> Option<Result<(Changes, bool), Error>> {
    let Some(since) = known.revision else {
        let page = feed.read_all(topic, PATIENCE).await;
        return Some(page.map(|page| (Changes::Page(page), true)));
    };
    let hurried = std::mem::take(&mut known.hurried);
    let wait = if hurried { Duration::ZERO } else { wait(state, topic, bounds) };
    let changes = feed.read_changes(topic, since, wait, PATIENCE);
    let changes = tokio::select! {
        changes = changes => changes,
        () = behind(state), if topic == Topic::Operators && !hurried => {
            known.hurried = true;
            return None;
        }
    };
    Some(changes.map(|changes| (changes, false)))
}

fn is_poller(state: &State) -> bool {
    state.fleet().is_poller(state.clock.now())
}

fn wait(state: &State, topic: Topic, bounds: &Bounds) -> Duration {
    let poller = is_poller(state);
    match topic {
        Topic::Operators if poller => bounds.config.mul_f64(WAIT_PART),
        Topic::Targets if poller => state.fleet().poll_times().poll_wait,
        Topic::Targets => Duration::ZERO,
        Topic::Operators | Topic::Routers => LONG_WAIT,
    }
}

fn note(state: &State, topic: Topic, known: &mut Known, error: Option<&Error>) {
    let reachable = error.is_none();
    if topic == Topic::Operators {
        state.answered(reachable);
    }
    if known.reachable == Some(reachable) {
        return;
    }
    let topic: &'static str = topic.into();
    match error {
        Some(error) => log!(Code::PlatformUnreachable, topic, %error),
        None => {
            let now = state.clock.now();
            let away =
                known.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
            if known.reachable.is_some() {
                state.fleet().record_platform_return(now, away);
            }
            log!(Code::PlatformReachable, topic, away_ms = away.as_millis() as u64);
        }
    }
    known.reachable = Some(reachable);
    known.since = Some(state.clock.now());
}

fn take(state: &State, topic: Topic, page: Page, whole: bool, closed: &mut BTreeSet<String>) {
    let now = state.clock.now();
    let caught_up = (topic == Topic::Targets && !page.more).then_some(page.revision);
    if whole && topic == Topic::Targets {
        let name = |entry: &Entry| match &entry.record {
            Record::Target(name, _) => Some(name.clone()),
            _ => None,
        };
        let listed = page.entries.iter().filter_map(name).collect();
        state.fleet().apply_complete_list(now, &listed, page.revision);
    }
    let all_targets = whole && topic == Topic::Targets;
    if whole && topic == Topic::Operators {
        closed.clear();
    }
    for entry in page.entries {
        if topic == Topic::Operators {
            state.ordered(entry.revision);
        }
        match entry.record {
            Record::GatewayConfig(config) => state.offer(*config),
            Record::DataCentreClosed(data_centre) => {
                closed.insert(data_centre);
            }
            Record::DataCentreOpened(data_centre) => {
                closed.remove(&data_centre);
            }
            Record::Target(name, row) => {
                state.fleet().apply_platform_entry(now, &name, Some(row), entry.revision)
            }
            Record::TargetRemoved(name) => {
                state.fleet().apply_platform_entry(now, &name, None, entry.revision)
            }
            Record::Malformed { key, problem } => log!(Code::ConfigRejected, key, problem),
            Record::Router(name, address) if name != state.name => {
                state.fleet().add_router(now, address);
            }
            Record::Router(..) | Record::RouterRemoved(_) | Record::Other => {}
        }
    }
    if topic == Topic::Operators {
        state.close(closed.clone());
    }
    state.log_relisted();
    if let Some(revision) = caught_up {
        state.fleet().record_platform_sync(now, revision);
    }
    if state.fleet().change_log().is_report_due() {
        state.hurry();
    }
    if all_targets {
        state.listed();
    }
}

/// Writes this router's entry, until the platform has taken it.
pub async fn register(state: Arc<State>, feed: Arc<dyn Feed>, address: SocketAddr) {
    while let Err(error) = feed.register(&state.name, address, PATIENCE).await {
        log!(Code::PlatformUnreachable, call = "register", %error);
        sleep(REGISTER_PAUSE).await;
    }
}
