//! State of one connection, shared between its socket and its requests.
//!
//! [`crate::timeout_stream`] reads it to apply the limits on idle connections and request heads
//! only while no request is in progress. [`crate::server`] reads it to decide whether a connection
//! can be reused.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::Waker;

use futures_util::task::AtomicWaker;

/// State of one connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    /// Requests whose head has been read.
    requests_started: AtomicU32,
    /// Requests whose response has ended.
    requests_ended: AtomicU32,
    /// One more than the number of the first request that may be read in two ways, or 0 if there is
    /// none. Not reset, because the connection closes after the response to that request.
    ambiguous_from: AtomicU32,
    /// Whether the body of the current request has not been read to its end.
    unread: AtomicBool,
    /// Task of the connection.
    task: AtomicWaker,
}

impl ConnectionState {
    /// Records that the head of a request has been read.
    ///
    /// The request is in progress until the returned value is dropped.
    pub(crate) fn start_request(state: &Arc<Self>) -> ActiveRequest {
        let number = state.requests_started.fetch_add(1, Ordering::Relaxed);
        ActiveRequest { state: Arc::clone(state), number }
    }

    /// Number of requests that have ended, or `None` while a request is in progress.
    pub(crate) fn ended_count_if_idle(&self) -> Option<u32> {
        let ended_count = self.requests_ended.load(Ordering::Relaxed);
        (self.requests_started.load(Ordering::Relaxed) == ended_count).then_some(ended_count)
    }

    /// Registers a task to be woken when the current request ends.
    ///
    /// The idle time of the connection starts then.
    pub(crate) fn wake_at_end(&self, task: &Waker) {
        self.task.register(task);
    }

    /// Records whether the body of the current request has not been read to its end.
    pub(crate) fn set_unread(&self, unread: bool) {
        self.unread.store(unread, Ordering::Relaxed);
    }

    /// Whether the body of the current request has not been read to its end.
    pub(crate) fn is_unread(&self) -> bool {
        self.unread.load(Ordering::Relaxed)
    }

    /// Records that the requests after the first `count` ones may be read in two ways.
    pub(crate) fn set_ambiguous_after(&self, count: u32) {
        self.ambiguous_from.store(count.saturating_add(1), Ordering::Relaxed);
    }
}

/// Request in progress.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    state: Arc<ConnectionState>,
    /// Number of the request on its connection, from 0.
    number: u32,
}

impl ActiveRequest {
    /// Whether the head of the request may be read in two ways, or follows one that may.
    pub(crate) fn is_ambiguous(&self) -> bool {
        let ambiguous_from = self.state.ambiguous_from.load(Ordering::Relaxed).checked_sub(1);
        ambiguous_from.is_some_and(|ambiguous_from| self.number >= ambiguous_from)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.state.requests_ended.fetch_add(1, Ordering::Relaxed);
        self.state.task.wake();
    }
}
