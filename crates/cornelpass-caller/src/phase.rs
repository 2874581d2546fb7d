//! What a connection is doing, shared by its socket and its requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::Waker;

use futures_util::task::AtomicWaker;

/// Phase of one connection.
#[derive(Debug, Default)]
pub(crate) struct Phase {
    /// Requests that have been read.
    begun: AtomicU32,
    /// Requests whose answers have ended.
    ended: AtomicU32,
    /// Whether the head of the current request is ambiguous.
    ambiguous: AtomicBool,
    /// Whether a part of the current request's body has not been read.
    unread: AtomicBool,
    /// Task of the connection.
    task: AtomicWaker,
}

impl Phase {
    /// A request's head has been read; it is in progress until the result is dropped.
    pub(crate) fn begin(phase: &Arc<Self>) -> Progress {
        phase.begun.fetch_add(1, Ordering::Relaxed);
        Progress { phase: Arc::clone(phase) }
    }

    /// Answers that have ended, if no request is in progress.
    pub(crate) fn waiting(&self) -> Option<u32> {
        let ended = self.ended.load(Ordering::Relaxed);
        (self.begun.load(Ordering::Relaxed) == ended).then_some(ended)
    }

    /// Wakes a task when the current request has ended, since the wait for the next one begins then.
    pub(crate) fn wake_at_end(&self, task: &Waker) {
        self.task.register(task);
    }

    /// Notes whether a part of the current request's body has not been read.
    pub(crate) fn set_unread(&self, unread: bool) {
        self.unread.store(unread, Ordering::Relaxed);
    }

    /// Whether a part of the current request's body has not been read.
    pub(crate) fn is_unread(&self) -> bool {
        self.unread.load(Ordering::Relaxed)
    }

    /// The head that is being read could be understood in two ways.
    pub(crate) fn doubt(&self) {
        self.ambiguous.store(true, Ordering::Relaxed);
    }

    /// Whether a head that was read could be understood in two ways.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.ambiguous.load(Ordering::Relaxed)
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Progress {
    phase: Arc<Phase>,
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.phase.ended.fetch_add(1, Ordering::Relaxed);
        self.phase.task.wake();
    }
}
