//! Limits on the number of log lines, for each event and for the process.
//!
//! Under load a process would otherwise spend its time on its log. The lines that are left out are
//! counted, and the next line of the same event says how many there were.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::event::Code;

/// Most lines of one event in a second: several times what a router of today's sizes writes.
pub const EVENT_LIMIT: u32 = 400;

/// Most lines of a process in a second.
pub const PROCESS_LIMIT: u32 = 1_500;

const SECOND: Duration = Duration::from_secs(1);

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Write it.
    Write {
        /// Lines of the event that were left out before it.
        left_out: u64,
    },
    /// Leave it out.
    Leave,
}

/// Lines in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    since: Option<Instant>,
    lines: u32,
}

impl Window {
    fn has_room(&mut self, now: Instant, limit: u32) -> bool {
        let over = self.since.is_none_or(|since| now.saturating_duration_since(since) >= SECOND);
        if over {
            *self = Self { since: Some(now), lines: 0 };
        }
        self.lines < limit
    }
}

/// Lines of one event.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    window: Window,
    left_out: u64,
}

/// Lines of a process.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    process: Window,
    events: BTreeMap<Code, Account>,
}

impl Limiter {
    /// A process that has written nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self { process: Window { since: None, lines: 0 }, events: BTreeMap::new() }
    }

    /// Decides on a line of an event.
    pub fn admit(&mut self, now: Instant, code: Code) -> Verdict {
        let account = self.events.entry(code).or_default();
        let room =
            self.process.has_room(now, PROCESS_LIMIT) && account.window.has_room(now, EVENT_LIMIT);
        if !room {
            account.left_out += 1;
            return Verdict::Leave;
        }
        self.process.lines += 1;
        account.window.lines += 1;
        Verdict::Write { left_out: std::mem::take(&mut account.left_out) }
    }
}

static LIMITER: Mutex<Limiter> = Mutex::new(Limiter::new());

/// Decides on a line of this process: none if it is left out, else the number of lines of its event
/// that were left out before it, if any.
#[must_use]
pub fn admit(code: Code) -> Option<Option<u64>> {
    let mut limiter = LIMITER.lock().unwrap_or_else(PoisonError::into_inner);
    match limiter.admit(Instant::now(), code) {
        Verdict::Write { left_out } => Some(Some(left_out).filter(|count| *count > 0)),
        Verdict::Leave => None,
    }
}
