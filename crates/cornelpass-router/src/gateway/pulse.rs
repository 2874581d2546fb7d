//! Notices targets that are gone without a word, and tells the attempts that wait there.
//!
//! The machine of a process that ends closes its connections. One that loses power or is cut off
//! closes nothing, and answers no attempt to connect either: what waits there would wait until its time is
//! over, and a caller that is told earlier can ask again. A target that refuses connections is not
//! gone: it may be finishing its last requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cornelpass_core::fleet::Silence;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::state::State;

/// Time without a sign after which a target is looked at: the shortest pause between two events that the
/// users' sheets allow.
const QUIET: Duration = Duration::from_millis(400);

/// Time between two looks for quiet targets.
const PERIOD: Duration = Duration::from_millis(100);

/// Attempts to connect that a target must leave unanswered. Where a fortieth of the packets is lost each
/// way, as on the users' worst links, one that is there leaves three unanswered once in 8,000 times.
const LOOKS: u32 = 3;

/// Time for each. The system repeats a lost packet only after a second.
const LOOK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which the end of a target is remembered; no attempt lasts longer.
const MEMORY: Duration = Duration::from_secs(60);

/// Targets that are gone, and since when.
#[derive(Debug, Default)]
pub struct Losses {
    lost: watch::Sender<BTreeMap<String, Instant>>,
}

impl Losses {
    /// Everything that was sent to a target before a moment is lost.
    fn declare(&self, now: Instant, target: &str) {
        self.lost.send_modify(|lost| {
            lost.retain(|_, at| now.saturating_duration_since(*at) < MEMORY);
            lost.insert(target.to_owned(), now);
        });
    }

    /// Follows the fate of a target for something that was sent at a moment.
    pub fn follow(&self, target: &str, sent: Instant) -> Pulse {
        Pulse { target: target.to_owned(), sent, lost: self.lost.subscribe() }
    }
}

/// Whether a target is still there for an attempt.
#[derive(Debug)]
pub struct Pulse {
    target: String,
    sent: Instant,
    lost: watch::Receiver<BTreeMap<String, Instant>>,
}

impl Pulse {
    /// Returns when the target is gone.
    pub async fn ended(&mut self) {
        loop {
            let at = self.lost.borrow_and_update().get(&self.target).copied();
            if at.is_some_and(|at| at >= self.sent) {
                return;
            }
            if self.lost.changed().await.is_err() {
                // The router is about to end; the attempt ends by itself.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Looks for targets that are gone, for as long as the process runs.
pub async fn run(state: Arc<State>) {
    let looking: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    loop {
        sleep(PERIOD).await;
        if state.open() == 0 {
            continue;
        }
        let now = state.clock.now();
        let (quiet, restarted) = {
            let mut fleet = state.fleet();
            (fleet.silences(now, QUIET), fleet.take_restarted())
        };
        for quiet in restarted {
            declare(&state, now, &quiet, true);
        }
        for quiet in quiet {
            let begun = lock(&looking).insert(quiet.target.clone());
            if begun {
                tokio::spawn(look(Arc::clone(&state), Arc::clone(&looking), quiet));
            }
        }
    }
}

fn lock(looking: &Mutex<BTreeSet<String>>) -> std::sync::MutexGuard<'_, BTreeSet<String>> {
    looking.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Looks whether a quiet target is there.
async fn look(state: Arc<State>, looking: Arc<Mutex<BTreeSet<String>>>, quiet: Silence) {
    let begun = state.clock.now();
    if is_dark(quiet.address).await {
        let now = state.clock.now();
        let still = quiet.duration + now.saturating_duration_since(begun);
        let all = state.fleet().silences(now, QUIET);
        if let Some(quiet) =
            all.iter().find(|other| other.target == quiet.target && other.duration >= still)
        {
            declare(&state, now, quiet, false);
        }
    } else {
        // It is there and takes its time.
        sleep(QUIET).await;
    }
    lock(&looking).remove(&quiet.target);
}

/// Whether nothing at all answers at an address.
async fn is_dark(address: SocketAddr) -> bool {
    for _ in 0..LOOKS {
        if timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await.is_ok() {
            return false;
        }
    }
    true
}

fn declare(state: &State, now: Instant, quiet: &Silence, restarted: bool) {
    let quiet_ms = u64::try_from(quiet.duration.as_millis()).unwrap_or(u64::MAX);
    log!(
        Code::TargetSilent,
        target = quiet.target,
        quiet_ms,
        open = quiet.open_requests,
        restarted
    );
    state.losses.declare(now, &quiet.target);
}
