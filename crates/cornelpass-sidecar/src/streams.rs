//! Buffers of streams, from which the followers of the streams read.
//!
//! A stream is kept while it runs, and for [`ENDED_RETENTION`] after its end. The text of one stream
//! is limited to [`STREAM_LIMIT_BYTES`]: the oldest pieces are dropped. The text of all ended
//! streams is limited to [`ENDED_LIMIT_BYTES`]: the streams that ended first are dropped. A follower
//! that needs a dropped piece gets a failure, and never a response with a gap.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cornelpass_core::refusal::Reason;
use cornelpass_wire::frame::{Body, Failure};
use tokio::sync::Notify;

/// Time for which an ended stream is kept.
pub const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Maximum size of the text that is buffered for one stream, in bytes.
pub const STREAM_LIMIT_BYTES: usize = 256 * 1024;

/// Maximum size of the text that is buffered for all ended streams together, in bytes.
pub const ENDED_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Buffer of one stream.
#[derive(Debug)]
pub struct Buffer {
    organisation: String,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Time at which the target accepted the request.
    accepted_at: Option<Instant>,
    /// Offset of the first buffered piece.
    first_offset: u32,
    pieces: VecDeque<String>,
    /// Size of the buffered text.
    bytes: usize,
    /// Body that ended the stream.
    last_body: Option<Body>,
    followers: usize,
}

/// What a follower must do next.
enum Next {
    /// Send the body and continue.
    Send(Body),
    /// Send the body, which is the last one.
    Last(Body),
    /// Wait until the stream changes.
    Wait,
}

impl State {
    fn next(&self, next_offset: u32, accepted: bool) -> Next {
        if !accepted && self.accepted_at.is_some() {
            return Next::Send(Body::Accepted);
        }
        let Some(index) = next_offset.checked_sub(self.first_offset) else {
            return Next::Last(Body::Failed(Failure::lost(Reason::StreamGone)));
        };
        if let Some(text) = self.pieces.get(index as usize) {
            return Next::Send(Body::Text { offset: next_offset, text: text.clone() });
        }
        self.last_body.clone().map_or(Next::Wait, Next::Last)
    }

    fn push(&mut self, text: String) {
        self.bytes += text.len();
        self.pieces.push_back(text);
        while self.bytes > STREAM_LIMIT_BYTES
            && let Some(oldest) = self.pieces.pop_front()
        {
            self.bytes -= oldest.len();
            self.first_offset += 1;
        }
    }
}

impl Buffer {
    fn new(organisation: &str, first_offset: u32) -> Self {
        let state = State { first_offset, ..State::default() };
        let organisation = organisation.to_owned();
        Self { organisation, state: Mutex::new(state), changed: Notify::new() }
    }

    /// Organisation of the caller.
    #[must_use]
    pub fn organisation(&self) -> &str {
        &self.organisation
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.changed.notify_waiters();
    }

    /// Records that the target accepted the request.
    pub fn record_accepted(&self, now: Instant) {
        self.update(|state| state.accepted_at = Some(now));
    }

    /// Whether the stream is running, and was accepted by the target at or before a time.
    fn is_running_since(&self, since: Instant) -> bool {
        let state = self.state();
        state.last_body.is_none()
            && state.accepted_at.is_some_and(|accepted_at| accepted_at <= since)
    }

    /// Appends a piece of text, and drops the oldest pieces above [`STREAM_LIMIT_BYTES`].
    pub fn push(&self, text: String) {
        self.update(|state| state.push(text));
    }

    /// Offset after the last piece, which is the number of pieces in the response so far.
    #[must_use]
    pub fn end_offset(&self) -> u32 {
        let state = self.state();
        state.first_offset + u32::try_from(state.pieces.len()).unwrap_or(u32::MAX)
    }

    /// Whether the stream has ended, with or without success.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.state().last_body.is_some()
    }

    /// Waits until the stream has followers (`present`) or has none (not `present`).
    pub async fn wait_for_followers(&self, present: bool) {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if (self.state().followers > 0) == present {
                return;
            }
            notified.await;
        }
    }

    /// Waits until the follower at an offset has something to send.
    async fn wait_for_next(&self, next_offset: u32, accepted: bool) -> Next {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let next = self.state().next(next_offset, accepted);
            if !matches!(next, Next::Wait) {
                return next;
            }
            notified.await;
        }
    }
}

/// All buffers by stream ID, and the ended streams in the order of their ends.
#[derive(Debug, Default)]
struct Registry {
    buffers: BTreeMap<String, Arc<Buffer>>,
    /// Stream ID, and size of the text in bytes.
    ended: VecDeque<(String, usize)>,
    ended_bytes: usize,
}

/// Result of [`Streams::insert`].
#[derive(Debug)]
pub enum Entry {
    /// The stream was created.
    New(Arc<Buffer>),
    /// A stream with this ID exists already.
    Existing(Arc<Buffer>),
}

/// All streams of the sidecar that run or ended recently.
#[derive(Debug, Default)]
pub struct Streams {
    registry: Mutex<Registry>,
}

impl Streams {
    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates a stream that starts at an offset, unless a stream with this ID exists.
    pub fn insert(&self, stream_id: &str, organisation: &str, first_offset: u32) -> Entry {
        let mut registry = self.registry();
        if let Some(buffer) = registry.buffers.get(stream_id) {
            return Entry::Existing(Arc::clone(buffer));
        }
        let buffer = Arc::new(Buffer::new(organisation, first_offset));
        registry.buffers.insert(stream_id.to_owned(), Arc::clone(&buffer));
        Entry::New(buffer)
    }

    /// Buffer of the stream with an ID.
    #[must_use]
    pub fn get(&self, stream_id: &str) -> Option<Arc<Buffer>> {
        self.registry().buffers.get(stream_id).map(Arc::clone)
    }

    /// Ends a stream, and drops the streams that ended first above [`ENDED_LIMIT_BYTES`].
    pub fn end(&self, stream_id: &str, buffer: &Buffer, last_body: Body) {
        buffer.update(|state| state.last_body = Some(last_body));
        let bytes = buffer.state().bytes;
        let mut registry = self.registry();
        registry.ended.push_back((stream_id.to_owned(), bytes));
        registry.ended_bytes += bytes;
        while registry.ended_bytes > ENDED_LIMIT_BYTES
            && let Some((oldest, bytes)) = registry.ended.pop_front()
        {
            registry.ended_bytes -= bytes;
            registry.buffers.remove(&oldest);
        }
    }

    /// Drops an ended stream; a running stream stays.
    pub fn remove(&self, stream_id: &str) {
        let mut registry = self.registry();
        if let Some(index) = registry.ended.iter().position(|(ended_id, _)| ended_id == stream_id)
            && let Some((_, bytes)) = registry.ended.remove(index)
        {
            registry.ended_bytes -= bytes;
            registry.buffers.remove(stream_id);
        }
    }

    /// Number of buffered streams, and the size of their text in bytes.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        let registry = self.registry();
        let bytes = registry.buffers.values().map(|buffer| buffer.state().bytes).sum();
        (registry.buffers.len(), bytes)
    }

    /// Number of streams that have not ended.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.registry().buffers.values().filter(|buffer| !buffer.has_ended()).count()
    }

    /// Number of running streams that the target accepted at or before a time.
    #[must_use]
    pub fn running_count_since(&self, since: Instant) -> usize {
        self.registry().buffers.values().filter(|buffer| buffer.is_running_since(since)).count()
    }

    /// Whether any stream has a follower.
    #[must_use]
    pub fn has_followers(&self) -> bool {
        self.registry().buffers.values().any(|buffer| buffer.state().followers > 0)
    }
}

/// Reads one stream on behalf of a router.
#[derive(Debug)]
pub struct Follower {
    buffer: Arc<Buffer>,
    next_offset: u32,
    /// Whether the acceptance of the request has been sent.
    accepted: bool,
    ended: bool,
}

impl Follower {
    /// Creates a follower that reads from an offset.
    ///
    /// `accepted` is whether the router already knows that the target accepted the request.
    #[must_use]
    pub fn new(buffer: Arc<Buffer>, next_offset: u32, accepted: bool) -> Self {
        buffer.update(|state| state.followers += 1);
        Self { buffer, next_offset, accepted, ended: false }
    }

    /// Waits for the next body; returns none after the last one.
    pub async fn next(&mut self) -> Option<Body> {
        if self.ended {
            return None;
        }
        match self.buffer.wait_for_next(self.next_offset, self.accepted).await {
            Next::Send(body) => {
                match body {
                    Body::Accepted => self.accepted = true,
                    _ => self.next_offset += 1,
                }
                Some(body)
            }
            Next::Last(body) => {
                self.ended = true;
                Some(body)
            }
            Next::Wait => None,
        }
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.buffer.update(|state| state.followers -= 1);
    }
}
