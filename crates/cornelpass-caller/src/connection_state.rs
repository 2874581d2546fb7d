//! State of one connection, shared between its socket and its requests.
//!
//! [`crate::timeout_stream`] reads it to apply the limits on idle connections and request heads
//! only while no request is in progress. [`crate::server`] reads it to decide whether a connection
//! can be reused.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::{Duration, Instant};

use futures_util::task::AtomicWaker;

use crate::budget::MIN_BODY_RATE;

/// Number of requests of all connections that have ended; it orders connections by their last one.
static ENDED_REQUESTS: AtomicU64 = AtomicU64::new(0);

/// Age from which the rate of an incomplete body is judged.
const BODY_SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time without progress of a write after which its caller counts as stalled, while there is no place
/// for other connections.
///
/// Targets cut off a response that stays unread for some seconds.
const STALLED_READ_TIME: Duration = Duration::from_secs(5);

/// Progress of the current request and its response.
#[derive(Debug, Default)]
struct Progress {
    /// When the body started to arrive.
    body_started_at: Option<Instant>,
    body_bytes: u64,
    /// Since when no write has made progress, while one is blocked.
    write_blocked_at: Option<Instant>,
}

/// How much a connection is worth its place, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Need {
    /// No request has started.
    Unused,
    /// The body of the request arrives more slowly than those of callers.
    SlowBody,
    /// The caller has read nothing of its response for some time.
    Unread,
    /// The connection is idle between two requests.
    Idle,
    /// A request is in progress.
    Active,
}

/// State of one connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    progress: Mutex<Progress>,
    /// Requests whose head has been read.
    requests_started: AtomicU32,
    /// Requests whose response has ended.
    requests_ended: AtomicU32,
    /// Position of the last ended request among those of all connections; 0 if there is none.
    last_end: AtomicU64,
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
        *state.progress() =
            Progress { body_started_at: Some(Instant::now()), ..Progress::default() };
        ActiveRequest { state: Arc::clone(state), number }
    }

    /// How much the connection is worth its place.
    pub(crate) fn need(&self) -> Need {
        if self.requests_started.load(Ordering::Relaxed) == 0 {
            return Need::Unused;
        }
        if self.ended_count_if_idle().is_some() {
            return Need::Idle;
        }
        let progress = self.progress();
        let is_slow = progress.body_started_at.is_some_and(|started_at| {
            let age = started_at.elapsed();
            let least = MIN_BODY_RATE.saturating_mul(age.as_secs());
            age >= BODY_SETTLE_TIME && progress.body_bytes < least
        });
        let is_stalled = progress
            .write_blocked_at
            .is_some_and(|blocked_at| blocked_at.elapsed() >= STALLED_READ_TIME);
        match (is_slow && self.is_unread(), is_stalled) {
            (true, _) => Need::SlowBody,
            (false, true) => Need::Unread,
            (false, false) => Need::Active,
        }
    }

    /// Records bytes of the body of the current request.
    pub(crate) fn record_body(&self, bytes: usize) {
        self.progress().body_bytes += bytes as u64;
    }

    /// Records whether a write is blocked without progress.
    pub(crate) fn set_write_blocked(&self, is_blocked: bool) {
        self.progress().write_blocked_at = is_blocked.then(Instant::now);
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Position of the last ended request among those of all connections; 0 if there is none.
    pub(crate) fn last_end(&self) -> u64 {
        self.last_end.load(Ordering::Relaxed)
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
        let position = ENDED_REQUESTS.fetch_add(1, Ordering::Relaxed) + 1;
        self.state.last_end.store(position, Ordering::Relaxed);
        self.state.requests_ended.fetch_add(1, Ordering::Relaxed);
        self.state.task.wake();
    }
}
