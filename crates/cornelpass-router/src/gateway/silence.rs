//! Detects targets that have lost their requests in progress, by a silent failure or a restart, and
//! ends the attempts there.
//!
//! The operating system closes the connections of a process that ends. An instance that loses power
//! or its network closes nothing, and does not respond to attempts to connect. Requests there would
//! wait until their deadlines, but a caller that is informed earlier can retry.
//!
//! A target with requests in progress and no recent response is probed with new connections. Only a
//! target that responds to none of them is lost. A target that refuses connections is not lost: it
//! may be completing its last requests. A target whose row on the platform shows a restart has lost
//! its requests in progress as well.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cornelpass_core::fleet::Silence;
use cornelpass_core::fleet::contact::Evidence;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::contact;
use super::state::State;

/// Time without a response after which a target is probed.
///
/// The strictest of the users' requirements allows a pause of this length between two events of a
/// stream.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(400);

/// Time between two searches for targets to probe.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Number of attempts to connect that get no response from a lost target.
///
/// On the users' worst links, 1 of 40 packets is lost in each direction. Three attempts to connect
/// to a running target there get no response once in 8,000 cases.
const CONNECT_ATTEMPTS: u32 = 3;

/// Limits the time of one attempt to connect.
///
/// The operating system retransmits a lost packet only after 1 s, so that a new attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which the loss of a target is kept.
///
/// An attempt that waits for the target is notified at once. An attempt that waits for a slow
/// caller finds the loss later. So the time should be longer than the time-outs of the routes.
const LOSS_RETENTION: Duration = Duration::from_secs(60);

/// Targets that have lost their requests in progress, by a silent failure or a restart, and when.
#[derive(Debug, Default)]
pub struct Losses {
    lost: watch::Sender<BTreeMap<String, Instant>>,
}

impl Losses {
    /// Records that all requests sent to a target until now are lost.
    fn record(&self, now: Instant, target: &str) {
        self.lost.send_modify(|lost| {
            lost.retain(|_, lost_at| now.saturating_duration_since(*lost_at) < LOSS_RETENTION);
            lost.insert(target.to_owned(), now);
        });
    }

    /// Creates a watch of a target for a request that was sent at `sent_at`.
    pub fn watch(&self, target: &str, sent_at: Instant) -> Watch {
        Watch { target: target.to_owned(), sent_at, lost: self.lost.subscribe() }
    }
}

/// Watch of one target during one attempt.
#[derive(Debug)]
pub struct Watch {
    target: String,
    sent_at: Instant,
    lost: watch::Receiver<BTreeMap<String, Instant>>,
}

impl Watch {
    /// Waits until a loss of the target is recorded that is not earlier than the request.
    pub async fn wait_until_lost(&mut self) {
        loop {
            let lost_at = self.lost.borrow_and_update().get(&self.target).copied();
            if lost_at.is_some_and(|lost_at| lost_at >= self.sent_at) {
                return;
            }
            if self.lost.changed().await.is_err() {
                // The sender is dropped only when the router ends, which also ends the attempt.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Searches for lost targets at regular intervals, until the process ends.
pub async fn run(state: Arc<State>) {
    let probing: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    loop {
        sleep(SEARCH_INTERVAL).await;
        if state.open_request_count() == 0 {
            continue;
        }
        let now = state.clock.now();
        let (silences, restarted_targets) = {
            let mut fleet = state.fleet();
            (fleet.silences(now, SILENCE_THRESHOLD), fleet.take_restarted())
        };
        for silence in restarted_targets {
            record_loss(&state, now, &silence, true);
        }
        for silence in silences {
            let newly_probed = lock(&probing).insert(silence.target.clone());
            if newly_probed {
                tokio::spawn(probe_target(Arc::clone(&state), Arc::clone(&probing), silence));
            }
        }
    }
}

fn lock(probing: &Mutex<BTreeSet<String>>) -> std::sync::MutexGuard<'_, BTreeSet<String>> {
    probing.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Probes a silent target, and records a loss if the target responded neither to the probe nor to a
/// request meanwhile.
async fn probe_target(state: Arc<State>, probing: Arc<Mutex<BTreeSet<String>>>, silence: Silence) {
    let started_at = state.clock.now();
    if is_unreachable(silence.address).await {
        let now = state.clock.now();
        let expected = silence.duration + now.saturating_duration_since(started_at);
        let silences = state.fleet().silences(now, SILENCE_THRESHOLD);
        if let Some(silence) = silences
            .iter()
            .find(|current| current.target == silence.target && current.duration >= expected)
        {
            record_loss(&state, now, silence, false);
            contact::record(&state, &silence.target, started_at, Evidence::Silent);
        }
    } else {
        // The target is running and needs more time for its responses: delay its next probe.
        sleep(SILENCE_THRESHOLD).await;
    }
    lock(&probing).remove(&silence.target);
}

/// Whether all attempts to connect to an address end without a result.
///
/// Any error, such as a refused connection, counts as a response.
async fn is_unreachable(address: SocketAddr) -> bool {
    for _ in 0..CONNECT_ATTEMPTS {
        if timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.is_ok() {
            return false;
        }
    }
    true
}

fn record_loss(state: &State, now: Instant, silence: &Silence, restarted: bool) {
    let silence_ms = u64::try_from(silence.duration.as_millis()).unwrap_or(u64::MAX);
    log!(
        Code::TargetSilent,
        target = silence.target,
        quiet_ms = silence_ms,
        open = silence.open_requests,
        restarted
    );
    state.losses.record(now, &silence.target);
}
