//! Background tasks that run as long as the process: a panic of one is logged, and it is started
//! again.
//!
//! Without supervision, a panic ends the task, and the process goes on with what the task last
//! knew. An input that caused the panic may still be there, so there is a pause before each
//! restart.

use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;
use std::time::Duration;

use tokio::time::sleep;

use crate::event::Code;
use crate::log;

/// Pause between a panic of a task and its restart.
///
/// It is shorter than the time within which a change of the platform must take effect.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Runs a task, and starts it again after each panic, until it returns.
///
/// `start` creates the task each time. `name` is for the log.
pub fn spawn<T>(name: &'static str, start: impl Fn() -> T + Send + 'static)
where
    T: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start()).await {
            if error.is_cancelled() {
                // The runtime is shutting down.
                return;
            }
            log!(Code::TaskRestarted, task = name, %error);
            sleep(RESTART_PAUSE).await;
        }
    });
}

/// Runs `body` on a thread of its own, and again after each panic, until it returns.
///
/// `name` is for the log.
pub fn spawn_thread(name: &'static str, mut body: impl FnMut() + Send + 'static) {
    thread::spawn(move || {
        while catch_unwind(AssertUnwindSafe(&mut body)).is_err() {
            log!(Code::TaskRestarted, task = name);
            thread::sleep(RESTART_PAUSE);
        }
    });
}
