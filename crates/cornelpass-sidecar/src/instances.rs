//! Follows the states of the sidecar and of its target in the platform's list of instances.
//!
//! While the list shows the sidecar or its target as leaving, the sidecar reports itself as leaving
//! and refuses new requests after a grace time. If the list cannot be read, nothing changes.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_operator::supervisor;
use cornelpass_platform::instances::{Instances, State};
use flume::{Receiver, RecvTimeoutError};

use crate::sidecar::Sidecar;

/// Time between two reads of the list.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Starts the thread that reads the list until the `stop` channel closes.
///
/// `name` is the instance name of the sidecar.
pub fn follow(sidecar: Arc<Sidecar>, list: Arc<dyn Instances>, name: &str, stop: Receiver<()>) {
    let names = [name.to_owned(), sidecar.target.clone()];
    supervisor::spawn_thread("instances", move || {
        loop {
            if let Ok(instances) = list.list() {
                let leaving = instances.iter().any(|instance| {
                    instance.state == State::Leaving && names.contains(&instance.name)
                });
                sidecar.set_listed_leaving(leaving);
            }
            if stop.recv_timeout(POLL_INTERVAL) != Err(RecvTimeoutError::Timeout) {
                return;
            }
        }
    });
}
