//! Follows the platform's table on a thread of its own, since the platform's client blocks.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_platform::config::{Event, Follower};
use flume::Receiver;

use crate::node::Node;

/// Polls until the stop channel closes.
pub fn follow(node: Arc<Node>, mut follower: Follower, period: Duration, stop: Receiver<()>) {
    thread::spawn(move || {
        let mut reachable = true;
        loop {
            let event = follower.poll();
            let answered = !matches!(event, Event::Unreachable { .. });
            take(&node, &event, reachable);
            if answered && !reachable {
                log!(Code::PlatformReachable);
            }
            reachable = answered;
            if stop.recv_timeout(follower.poll_interval(period))
                != Err(flume::RecvTimeoutError::Timeout)
            {
                return;
            }
        }
    });
}

fn take(node: &Node, event: &Event, was_reachable: bool) {
    match event {
        Event::Applied { .. } => node.configured(),
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
