//! Rate limits on log lines, for each event and for the whole process.
//!
//! Without a limit a process under load would spend its time on its log. Lines over a limit are
//! omitted and counted; the next line of the same event states their number in the field
//! `left_out`.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::event::Code;

/// Maximum number of lines of one event per second.
///
/// The limit is several times the rate at which a router under the users' present load logs an
/// event.
pub const MAX_EVENT_LINES_PER_SECOND: u32 = 400;

/// Maximum number of lines per second of an event that anyone who reaches the address for reports can
/// cause.
pub const MAX_FOREIGN_LINES_PER_SECOND: u32 = 10;

/// Maximum number of lines of all events of a process per second.
///
/// It is lower than the sum of the limits of all events, so it also limits a fault that causes many
/// kinds of events at once.
pub const MAX_PROCESS_LINES_PER_SECOND: u32 = 1_500;

const SECOND: Duration = Duration::from_secs(1);

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Write the line.
    Write {
        /// Number of lines of the same event that were omitted since the last written one.
        left_out: u64,
    },
    /// Omit the line.
    Omit,
}

/// Number of lines written in a period of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started_at: Option<Instant>,
    lines: u32,
}

impl Window {
    /// Whether one more line is within the limit; starts a new period if the last one has ended.
    fn allows_line(&mut self, now: Instant, limit: u32) -> bool {
        let has_ended = self
            .started_at
            .is_none_or(|started_at| now.saturating_duration_since(started_at) >= SECOND);
        if has_ended {
            *self = Self { started_at: Some(now), lines: 0 };
        }
        self.lines < limit
    }
}

/// Written and omitted lines of one event.
#[derive(Clone, Copy, Debug, Default)]
struct EventLines {
    window: Window,
    left_out: u64,
}

/// Maximum number of lines of an event per second.
const fn max_lines(code: Code) -> u32 {
    match code {
        Code::PeerUnreadable => MAX_FOREIGN_LINES_PER_SECOND,
        _ => MAX_EVENT_LINES_PER_SECOND,
    }
}

/// Limiter of the log lines of one process.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    process: Window,
    events: BTreeMap<Code, EventLines>,
}

impl Limiter {
    /// Creates the limiter of a process that has not logged anything.
    #[must_use]
    pub const fn new() -> Self {
        Self { process: Window { started_at: None, lines: 0 }, events: BTreeMap::new() }
    }

    /// Decides whether a line of an event is written, and counts it.
    pub fn admit(&mut self, now: Instant, code: Code) -> Decision {
        let event = self.events.entry(code).or_default();
        let is_within_limits = self.process.allows_line(now, MAX_PROCESS_LINES_PER_SECOND)
            && event.window.allows_line(now, max_lines(code));
        if !is_within_limits {
            event.left_out += 1;
            return Decision::Omit;
        }
        self.process.lines += 1;
        event.window.lines += 1;
        Decision::Write { left_out: std::mem::take(&mut event.left_out) }
    }
}

static LIMITER: Mutex<Limiter> = Mutex::new(Limiter::new());

/// Decides whether a line of this process is written.
///
/// Returns `None` if the line is omitted. Otherwise returns the number of lines of the same event
/// that were omitted before it, and `Some(None)` if there were none.
#[must_use]
pub fn admit(code: Code) -> Option<Option<u64>> {
    let mut limiter = LIMITER.lock().unwrap_or_else(PoisonError::into_inner);
    match limiter.admit(Instant::now(), code) {
        Decision::Write { left_out } => Some(Some(left_out).filter(|count| *count > 0)),
        Decision::Omit => None,
    }
}
