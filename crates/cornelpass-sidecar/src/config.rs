//! Follows the accepted configuration in the platform's table, and decides periodically whether the
//! sidecar may serve.
//!
//! The follower runs on its own thread because the platform's client blocks.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_operator::event::Code;
use cornelpass_operator::{log, supervisor};
use cornelpass_platform::config::{Event, Follower};
use flume::Receiver;

use crate::sidecar::Sidecar;

/// Time between two decisions on whether the sidecar may serve.
///
/// Far below [`MAX_DECISION_GAP`](cornelpass_core::config::MAX_DECISION_GAP), above which a gap
/// counts as a pause of the process.
const READINESS_INTERVAL: Duration = Duration::from_millis(200);

/// Starts the thread that polls the platform's table until the `stop` channel closes.
pub fn follow(
    sidecar: Arc<Sidecar>,
    mut follower: Follower,
    interval: Duration,
    stop: Receiver<()>,
) {
    supervisor::spawn_thread("config", move || {
        let mut was_reachable = true;
        loop {
            let event = follower.poll();
            let is_reachable = !matches!(event, Event::Unreachable { .. });
            handle_event(&sidecar, &event, was_reachable);
            if is_reachable && !was_reachable {
                log!(Code::PlatformReachable);
            }
            was_reachable = is_reachable;
            if stop.recv_timeout(interval) != Err(flume::RecvTimeoutError::Timeout) {
                return;
            }
        }
    });
}

fn handle_event(sidecar: &Sidecar, event: &Event, was_reachable: bool) {
    match event {
        Event::Applied { .. } => sidecar.activate_config(),
        Event::Rejected { revision, findings } => {
            for finding in findings {
                log!(Code::ConfigRejected, revision, %finding);
            }
        }
        Event::Regressed { version } => log!(Code::ConfigRejected, version, "lower than in force"),
        Event::Unreachable { error } if was_reachable => {
            log!(Code::PlatformUnreachable, %error);
        }
        Event::Unreachable { .. } | Event::Unchanged => {}
    }
}

/// Calls [`Sidecar::decide_readiness`] periodically, which records the time of each decision.
///
/// A gap between two decisions that is longer than
/// [`MAX_DECISION_GAP`](cornelpass_core::config::MAX_DECISION_GAP) shows that the process was
/// paused.
pub async fn poll_readiness(sidecar: Arc<Sidecar>) {
    loop {
        let _ = sidecar.decide_readiness();
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}
