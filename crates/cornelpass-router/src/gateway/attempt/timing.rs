//! Times at which a response was forwarded to its caller.

use std::time::{Duration, Instant};

/// Times at which chunks of a response were sent to the caller.
///
/// A chunk is the set of complete events that are sent together. A response to a request for an
/// opaque body ([`Body`](cornelpass_core::request::Framing::Body)) counts as one chunk, sent at the
/// time of its head.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
    first: Option<Instant>,
    last: Option<Instant>,
    /// Longest time between two chunks.
    longest_gap: Duration,
}

impl Timing {
    /// Records that a chunk was sent.
    pub(super) fn record_chunk(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        let gap = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.longest_gap = self.longest_gap.max(gap);
        self.last = Some(now);
    }

    /// When the first chunk was sent; none before.
    #[must_use]
    pub const fn first(&self) -> Option<Instant> {
        self.first
    }

    /// Time from `start` to the first chunk (zero if there is none), and the longest time between
    /// two chunks, in milliseconds.
    #[must_use]
    pub fn summary_ms(&self, start: Instant) -> (u64, u64) {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let first =
            self.first.map_or(Duration::ZERO, |sent_at| sent_at.saturating_duration_since(start));
        (ms(first), ms(self.longest_gap))
    }
}
