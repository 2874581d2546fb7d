//! Signals that a process handles, and the asynchronous runtime on which it runs.

use std::future::Future;

use snafu::{ResultExt, Whatever};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::event;

/// Waits until the process receives SIGTERM or SIGINT, which request a planned stop.
///
/// # Errors
///
/// If the handlers of the signals cannot be installed.
pub async fn wait_for_signal() -> Result<(), Whatever> {
    let mut terminate =
        signal(SignalKind::terminate()).whatever_context("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).whatever_context("cannot handle SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Receiver of SIGHUP, which announces that the settings of the process have changed.
pub struct Reload {
    signal: Signal,
}

impl Reload {
    /// Installs the handler of SIGHUP; from then on the signal does not end the process.
    ///
    /// # Errors
    ///
    /// If the handler cannot be installed.
    pub fn new() -> Result<Self, Whatever> {
        Ok(Self { signal: signal(SignalKind::hangup()).whatever_context("cannot handle SIGHUP")? })
    }

    /// Waits for the next SIGHUP.
    pub async fn recv(&mut self) {
        self.signal.recv().await;
    }
}

/// Runs a process to its end on several threads, and flushes the log.
///
/// # Errors
///
/// Errors of the process, or if the runtime cannot be created.
pub fn run(process: impl Future<Output = Result<(), Whatever>>) -> Result<(), Whatever> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .whatever_context("cannot create the runtime")?;
    let result = runtime.block_on(process);
    event::flush();
    result
}

/// Runs a process to its end on one thread, and flushes the log.
///
/// This is for instances that have only a part of one core.
///
/// # Errors
///
/// Errors of the process, or if the runtime cannot be created.
pub fn run_single_threaded(
    process: impl Future<Output = Result<(), Whatever>>,
) -> Result<(), Whatever> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .whatever_context("cannot create the runtime")?;
    let result = runtime.block_on(process);
    event::flush();
    result
}
