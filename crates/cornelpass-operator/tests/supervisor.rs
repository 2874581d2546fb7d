//! Background tasks that panic.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cornelpass_operator::supervisor;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::timeout;

/// Time within which a task has been started again.
const RESTART_LIMIT: Duration = Duration::from_secs(10);

// Guards against a process that goes on without one of its background tasks.
#[tokio::test]
async fn a_task_that_panics_is_started_again_until_it_returns() {
    let (sender, mut starts) = unbounded_channel();
    let count = Arc::new(AtomicUsize::new(0));
    supervisor::spawn("test", move || {
        let (number, sender) = (count.fetch_add(1, Ordering::SeqCst), sender.clone());
        async move {
            sender.send(number).unwrap();
            assert!(number >= 2, "start {number} fails");
        }
    });
    for expected in 0..3 {
        assert_eq!(timeout(RESTART_LIMIT, starts.recv()).await.unwrap(), Some(expected));
    }
    // The task has returned and is dropped with its sender.
    assert_eq!(timeout(RESTART_LIMIT, starts.recv()).await.unwrap(), None);
}

#[test]
fn a_thread_that_panics_runs_again_until_it_returns() {
    let (sender, runs) = flume::unbounded();
    let mut number = 0;
    supervisor::spawn_thread("test", move || {
        number += 1;
        sender.send(number).unwrap();
        assert!(number >= 3, "run {number} fails");
    });
    for expected in 1..=3 {
        assert_eq!(runs.recv_timeout(RESTART_LIMIT), Ok(expected));
    }
    let end = runs.recv_timeout(RESTART_LIMIT);
    assert_eq!(end, Err(flume::RecvTimeoutError::Disconnected));
}
