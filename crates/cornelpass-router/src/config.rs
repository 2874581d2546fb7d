//! Follows the configuration in the platform's table.
//!
//! The client of the platform blocks, so the polls run on a separate thread.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_operator::event::Code;
use cornelpass_operator::{log, supervisor};
use cornelpass_platform::config::{Event, Follower};
use flume::Receiver;

use crate::state::State;

/// Starts a thread that polls the platform until the sender of `stop` is dropped.
///
/// `interval` is the time between two polls of a router that does not hold the acceptor lease.
pub fn follow(state: Arc<State>, mut follower: Follower, interval: Duration, stop: Receiver<()>) {
    supervisor::spawn_thread("config", move || {
        let mut was_reachable = true;
        loop {
            let event = follower.poll();
            let is_reachable = !matches!(event, Event::Unreachable { .. });
            handle_event(&state, &event, was_reachable);
            if is_reachable && !was_reachable {
                log!(Code::PlatformReachable);
            }
            was_reachable = is_reachable;
            if stop.recv_timeout(follower.poll_interval(interval))
                != Err(flume::RecvTimeoutError::Timeout)
            {
                return;
            }
        }
    });
}

/// Activates a new configuration, and logs errors; an unreachable platform is logged once per
/// outage.
fn handle_event(state: &State, event: &Event, was_reachable: bool) {
    match event {
        Event::Applied { .. } => state.activate_config(),
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
