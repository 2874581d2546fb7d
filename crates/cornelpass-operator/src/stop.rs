//! Planned stops, asked for by a signal.

use std::future::Future;

use snafu::{ResultExt, Whatever};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::event;

/// Returns when the process is asked to stop, by SIGTERM or SIGINT.
///
/// # Errors
///
/// If the signals can not be listened to.
pub async fn requested() -> Result<(), Whatever> {
    let mut terminate = signal(SignalKind::terminate()).whatever_context("signal")?;
    let mut interrupt = signal(SignalKind::interrupt()).whatever_context("signal")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Returns each time the process is told, by SIGHUP, that its settings have changed.
pub struct Reload {
    signal: Signal,
}

impl Reload {
    /// Listens to the signal, which from then on does not end the process.
    ///
    /// # Errors
    ///
    /// If the signal can not be listened to.
    pub fn new() -> Result<Self, Whatever> {
        Ok(Self { signal: signal(SignalKind::hangup()).whatever_context("signal")? })
    }

    /// Returns when the signal has come.
    pub async fn requested(&mut self) {
        self.signal.recv().await;
    }
}

/// Runs a process to its end.
///
/// # Errors
///
/// Those of the process, or if it has no runtime.
pub fn run(process: impl Future<Output = Result<(), Whatever>>) -> Result<(), Whatever> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .whatever_context("runtime")?;
    let ended = runtime.block_on(process);
    event::flush();
    ended
}

/// Runs a process to its end on one thread, for instances with a part of one core.
///
/// # Errors
///
/// Those of the process, or if it has no runtime.
pub fn run_single(process: impl Future<Output = Result<(), Whatever>>) -> Result<(), Whatever> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .whatever_context("runtime")?;
    let ended = runtime.block_on(process);
    event::flush();
    ended
}
