//! Splits the event streams of targets into complete events, in order and without duplicates.
//!
//! The streams are server-sent events (WHATWG HTML Living Standard, section "Server-sent events").
//! A target may fail in the middle of an event. Only complete events are forwarded to the caller,
//! so that another target can continue the stream after the last event that the caller has
//! received.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event in the buffer, in bytes.
pub const EVENT_LIMIT: usize = 1024 * 1024;

/// Event stream of one response, over all attempts at its request.
#[derive(Debug, Default)]
pub struct Events {
    /// Bytes of the incomplete event.
    buffer: BytesMut,
    /// Start of the part of the buffer that may contain the end of the event.
    unscanned: usize,
    /// ID of the last event that was forwarded.
    last_id: Option<u64>,
}

/// Error for a stream with an incomplete event over [`EVENT_LIMIT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl Events {
    /// Stream that continues after the last event that the caller has received, by its ID.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// ID of the last event that was forwarded, if any had an ID.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Capacity of the buffer for the incomplete event, in bytes.
    #[must_use]
    pub fn buffer_capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the incomplete event of a failed attempt, before another target continues the
    /// stream.
    pub fn discard_incomplete(&mut self) {
        self.buffer = BytesMut::new();
        self.unscanned = 0;
    }

    /// Appends bytes of the stream; returns the complete events that the caller has not received
    /// yet.
    ///
    /// An event without an ID counts as new.
    ///
    /// # Errors
    ///
    /// [`EventTooLarge`] if the incomplete event exceeds [`EVENT_LIMIT`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.buffer.split_to(end);
            self.unscanned = 0;
            if self.is_new(&event) {
                complete.extend_from_slice(&event);
            }
        }
        if self.buffer.len() > EVENT_LIMIT { Err(EventTooLarge) } else { Ok(complete.freeze()) }
    }

    /// Length of the first complete event, including its blank line, if there is one.
    ///
    /// Lines end with LF or CRLF. A lone CR, which the standard allows too, does not end a line
    /// here.
    fn find_end(&mut self) -> Option<usize> {
        while let Some(at) = self.buffer[self.unscanned..].iter().position(|byte| *byte == b'\n') {
            let next = self.unscanned + at + 1;
            match &self.buffer[next..] {
                [b'\n', ..] => return Some(next + 1),
                [b'\r', b'\n', ..] => return Some(next + 2),
                // The rest of the blank line may follow.
                [] | [b'\r'] => {
                    self.unscanned = next - 1;
                    return None;
                }
                _ => self.unscanned = next,
            }
        }
        self.unscanned = self.buffer.len();
        None
    }

    fn is_new(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else { return true };
        let new = self.last_id.is_none_or(|last| id > last);
        if new {
            self.last_id = Some(id);
        }
        new
    }
}

/// ID of an event, from its `id` field; none if the field is missing or no number.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
