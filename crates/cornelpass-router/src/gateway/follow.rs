//! Follows what the platform tells of operators and targets.
//!
//! Each topic is read whole once, and then followed by calls that wait for a change. After a
//! failure, and when the platform has lost its history, it is read whole again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_platform::error::Error;
use cornelpass_platform::feed::{Changes, Entry, Fact, Feed, Page, Topic};
use tokio::time::sleep;

use super::state::State;

/// Longest wait of one call for a change; a silent connection is noticed after it.
const WAIT: Duration = Duration::from_secs(4);

/// The same for changes of the routers' entries, which these tell each other as well.
const ROUTERS_WAIT: Duration = Duration::from_secs(25);

/// Time for an answer, beyond the wait.
const PATIENCE: Duration = Duration::from_millis(600);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The same while there is no configuration, for which callers wait.
const START_PAUSE: Duration = Duration::from_millis(80);

/// Pause between two calls for changes of targets, whose entries change all the time.
const TARGETS_PAUSE: Duration = Duration::from_millis(500);

/// Pause after a failed registration; the others hear of this router by its reports as well.
const REGISTER_PAUSE: Duration = Duration::from_secs(2);

/// What is known of a topic.
#[derive(Debug, Default)]
struct Known {
    revision: Option<u64>,
    reachable: Option<bool>,
}

/// Follows a topic for as long as the process runs.
pub async fn run(state: Arc<State>, feed: Arc<dyn Feed>, topic: Topic) {
    let mut known = Known::default();
    let mut closed = BTreeSet::new();
    loop {
        let answer = match known.revision {
            None => feed.read(topic, PATIENCE).await.map(|page| (Changes::Page(page), true)),
            Some(since) => feed
                .changes(topic, since, wait(topic), PATIENCE)
                .await
                .map(|changes| (changes, false)),
        };
        let failed = answer.is_err();
        note(&state, topic, &mut known, answer.as_ref().err());
        match answer {
            Ok((Changes::Page(page), whole)) => {
                known.revision = Some(page.revision);
                take(&state, topic, page, whole, &mut closed);
            }
            Ok((Changes::Lost, _)) | Err(_) => known.revision = None,
        }
        if failed {
            sleep(if state.plan().is_some() { RETRY_PAUSE } else { START_PAUSE }).await;
        } else if topic == Topic::Targets {
            sleep(TARGETS_PAUSE).await;
        }
    }
}

const fn wait(topic: Topic) -> Duration {
    match topic {
        Topic::Operators | Topic::Targets => WAIT,
        Topic::Routers => ROUTERS_WAIT,
    }
}

fn note(state: &State, topic: Topic, known: &mut Known, error: Option<&Error>) {
    let reachable = error.is_none();
    if known.reachable == Some(reachable) {
        return;
    }
    let topic: &'static str = topic.into();
    match error {
        Some(error) => log!(Code::PlatformUnreachable, topic, %error),
        None => {
            if known.reachable.is_some() {
                state.fleet().returned(state.clock.now());
            }
            log!(Code::PlatformReachable, topic);
        }
    }
    known.reachable = Some(reachable);
}

fn take(state: &State, topic: Topic, page: Page, whole: bool, closed: &mut BTreeSet<String>) {
    let now = state.clock.now();
    if whole && topic == Topic::Targets {
        let name = |entry: &Entry| match &entry.fact {
            Fact::Target(name, _) => Some(name.clone()),
            _ => None,
        };
        let listed = page.entries.iter().filter_map(name).collect();
        state.fleet().retain(now, &listed, page.revision);
    }
    if whole && topic == Topic::Operators {
        closed.clear();
    }
    for entry in page.entries {
        match entry.fact {
            Fact::Plan(plan) => state.offer(*plan),
            Fact::Closed(data_centre) => {
                closed.insert(data_centre);
            }
            Fact::Opened(data_centre) => {
                closed.remove(&data_centre);
            }
            Fact::Target(name, row) => {
                state.fleet().list(now, &name, row, entry.revision);
            }
            Fact::Gone(name) => {
                state.fleet().unlist(now, &name, entry.revision);
            }
            Fact::Unreadable { key, problem } => log!(Code::ConfigRejected, key, problem),
            Fact::Router(name, address) if name != state.name => {
                state.fleet().peers().name(now, address);
            }
            Fact::Router(..) | Fact::RouterGone(_) | Fact::Other => {}
        }
    }
    if topic == Topic::Operators {
        state.fleet().close(closed.clone());
    }
}

/// Writes this router's entry, until the platform has taken it.
pub async fn register(state: Arc<State>, feed: Arc<dyn Feed>, address: SocketAddr) {
    while let Err(error) = feed.register(&state.name, address, PATIENCE).await {
        log!(Code::PlatformUnreachable, call = "register", %error);
        sleep(REGISTER_PAUSE).await;
    }
}
