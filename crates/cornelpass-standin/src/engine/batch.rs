//! State of an engine: its boots, its batch, its streams and its counters.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::cache::Cache;

/// Finished streams that stay available to callers that resume them.
const FINISHED_STREAMS_LIMIT: usize = 1024;

/// Size and speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Requests in the batch at the same time. More requests wait, ordered by priority, then
    /// arrival.
    pub slots: usize,
    /// Time from the start of the prompt to the first token, without the time for the prompt's
    /// tokens.
    pub first_token: Duration,
    /// Time for each prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Time between generated tokens.
    pub inter_token: Duration,
    /// Capacity of the prefix cache, in chunks of 256 prompt tokens.
    pub cache_chunks: usize,
    /// Longest time from a boot until the engine is warm.
    pub cold_time: Duration,
    /// First tokens since a boot after which the engine is warm before [`Options::cold_time`] has
    /// passed; 0 turns this off.
    pub warm_after_first_tokens: u64,
    /// Concurrent requests above which a cold engine restarts.
    pub cold_limit: usize,
    /// Whether each first token since the boot raises the limit of a cold engine by one request.
    pub raise_cold_limit: bool,
    /// Longest age of the load report.
    pub load_lag: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 64,
            first_token: Duration::from_millis(20),
            prefill_per_token: Duration::from_micros(20),
            inter_token: Duration::from_millis(10),
            cache_chunks: 4096,
            cold_time: Duration::ZERO,
            warm_after_first_tokens: 0,
            cold_limit: 4,
            raise_cold_limit: true,
            load_lag: Duration::from_millis(500),
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Restarts the engine once, immediately: all streams break.
    pub crash: bool,
    /// Restarts the engine when the messages of a request contain this text.
    pub crash_on: Option<String>,
    /// Stops sending on all streams without closing their connections.
    pub silent: bool,
    /// Stops sending on the connections that are open now, for good. New connections work.
    pub silence_open: bool,
    /// Status with which the engine refuses new requests.
    pub refuse: Option<u16>,
    /// Accepted requests still to come whose connection the engine closes. These requests run all
    /// the same.
    pub drop_requests: u32,
}

/// Counters of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Boot number; a restart raises it by one.
    pub boot: u64,
    /// Requests received.
    pub received: u64,
    /// Highest number of concurrent requests.
    pub peak: usize,
    /// Highest number of concurrent requests at a cold engine whose limit has not been raised yet.
    pub cold_peak: usize,
    /// Restarts caused by overload while cold.
    pub fell_over: u64,
    /// Restarts caused by the content of a request.
    pub crashed: u64,
    /// Prompt tokens received, with 4 bytes of messages for a token.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Requests in progress now, in the batch or waiting.
    pub running: usize,
    /// Requests in progress now that wait for a slot in the batch.
    pub waiting: usize,
}

/// A response in progress, or one that has finished and can be resumed.
#[derive(Debug, Default)]
pub(super) struct Stream {
    pub(super) messages: String,
    pub(super) priority: i32,
    pub(super) start: u32,
    pub(super) end: u32,
    pub(super) next: u32,
    pub(super) cached_tokens: u32,
    /// Whether the stream has a slot in the batch.
    pub(super) has_slot: bool,
    /// Whether the stream has finished and left the batch.
    pub(super) finished: bool,
    pub(super) cancelled: bool,
    pub(super) changed: Arc<Notify>,
}

/// Position of a stream in the queue for the batch: priority, arrival and ID.
type Position = (Reverse<i32>, u64, String);

/// State of an engine.
pub(super) struct Batch {
    pub(super) options: Options,
    pub(super) faults: Faults,
    pub(super) counts: Counts,
    pub(super) cache: Cache,
    pub(super) streams: BTreeMap<String, Stream>,
    /// Connections with a lower ID receive nothing more.
    pub(super) first_working_connection: u64,
    connections: u64,
    queue: BTreeSet<Position>,
    finished: VecDeque<String>,
    booted_at: Instant,
    first_tokens: u64,
    load_report: (Instant, Counts),
}

impl Batch {
    pub(super) fn new(options: Options, boot: u64) -> Self {
        let now = Instant::now();
        let counts = Counts { boot, ..Counts::default() };
        Self {
            options,
            faults: Faults::default(),
            counts: counts.clone(),
            cache: Cache::new(options.cache_chunks),
            streams: BTreeMap::new(),
            first_working_connection: 0,
            connections: 0,
            queue: BTreeSet::new(),
            finished: VecDeque::new(),
            booted_at: now,
            first_tokens: 0,
            load_report: (now, counts),
        }
    }

    /// Whether the engine is still in its cold start.
    pub(super) fn is_cold(&self) -> bool {
        let warmed = self.options.warm_after_first_tokens > 0
            && self.first_tokens >= self.options.warm_after_first_tokens;
        self.booted_at.elapsed() < self.options.cold_time && !warmed
    }

    /// Restarts the engine: all streams break, the cache becomes empty and the engine is cold.
    pub(super) fn restart(&mut self) {
        self.counts.boot += 1;
        self.counts.running = 0;
        self.counts.waiting = 0;
        self.booted_at = Instant::now();
        self.first_tokens = 0;
        self.load_report = (self.booted_at, self.counts.clone());
        self.cache.clear();
        self.queue.clear();
        self.finished.clear();
        for stream in std::mem::take(&mut self.streams).values() {
            stream.changed.notify_waiters();
        }
    }

    /// Stops sending on all connections that are open now.
    pub(super) fn silence_open_connections(&mut self) {
        self.first_working_connection = self.connections;
        self.wake_readers();
    }

    /// Wakes the readers of all streams.
    pub(super) fn wake_readers(&self) {
        self.streams.values().for_each(|stream| stream.changed.notify_waiters());
    }

    /// ID of a new connection.
    pub(super) fn open_connection(&mut self) -> u64 {
        self.connections += 1;
        self.connections - 1
    }

    /// Accepts a request; false if the request restarted the engine instead.
    pub(super) fn accept(&mut self, id: &str, stream: Stream) -> bool {
        self.counts.received += 1;
        let crash_text = self.faults.crash_on.as_deref();
        if crash_text.is_some_and(|text| stream.messages.contains(text)) {
            self.counts.crashed += 1;
            self.restart();
            return false;
        }
        self.counts.running += 1;
        self.counts.peak = self.counts.peak.max(self.counts.running);
        if self.is_cold() {
            let raised = if self.options.raise_cold_limit { self.first_tokens } else { 0 };
            if raised == 0 {
                self.counts.cold_peak = self.counts.cold_peak.max(self.counts.running);
            }
            let limit = self.options.cold_limit as u64 + raised;
            if self.counts.running as u64 > limit {
                self.counts.fell_over += 1;
                self.restart();
                return false;
            }
        }
        let cached_tokens = self.cache.insert(&stream.messages);
        self.counts.prompt_tokens += (stream.messages.len() / 4) as u64;
        self.counts.cached_tokens += u64::from(cached_tokens);
        self.counts.waiting += 1;
        self.queue.insert((Reverse(stream.priority), self.counts.received, id.to_owned()));
        self.streams.insert(id.to_owned(), Stream { cached_tokens, ..stream });
        self.fill_slots();
        true
    }

    /// Gives free slots of the batch to the first streams of the queue.
    fn fill_slots(&mut self) {
        while self.counts.running - self.counts.waiting < self.options.slots
            && let Some((_, _, id)) = self.queue.pop_first()
        {
            self.counts.waiting -= 1;
            if let Some(stream) = self.streams.get_mut(&id) {
                stream.has_slot = true;
                stream.changed.notify_waiters();
            }
        }
    }

    /// Generates the next token of a stream; true if the stream has finished.
    pub(super) fn generate_token(&mut self, id: &str) -> bool {
        let Some(stream) = self.streams.get_mut(id).filter(|stream| !stream.finished) else {
            return true;
        };
        stream.next += 1;
        let (generated, finished) = (stream.next - stream.start, stream.next >= stream.end);
        stream.changed.notify_waiters();
        self.counts.generated += 1;
        self.first_tokens += u64::from(generated == 1);
        if finished {
            self.finish(id);
        }
        finished
    }

    /// Cancels a stream and frees its slot; none if the stream is unknown.
    pub(super) fn cancel(&mut self, id: &str) -> Option<()> {
        let stream = self.streams.get_mut(id)?;
        if !stream.finished {
            stream.cancelled = true;
            self.counts.cancelled += 1;
            self.finish(id);
        }
        Some(())
    }

    fn finish(&mut self, id: &str) {
        let Some(stream) = self.streams.get_mut(id) else { return };
        stream.finished = true;
        stream.changed.notify_waiters();
        let was_waiting = !stream.has_slot;
        self.counts.running -= 1;
        if was_waiting {
            self.counts.waiting -= 1;
            self.queue.retain(|(_, _, other)| other != id);
        }
        self.finished.push_back(id.to_owned());
        if self.finished.len() > FINISHED_STREAMS_LIMIT
            && let Some(oldest) = self.finished.pop_front()
        {
            self.streams.remove(&oldest);
        }
        self.fill_slots();
    }

    /// Counters for the load report, at most [`Options::load_lag`] old.
    pub(super) fn reported_counts(&mut self) -> &Counts {
        if self.load_report.0.elapsed() >= self.options.load_lag {
            self.load_report = (Instant::now(), self.counts.clone());
        }
        &self.load_report.1
    }
}
