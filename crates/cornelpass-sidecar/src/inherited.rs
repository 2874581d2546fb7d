//! Load that the engine had before this process started.
//!
//! A process that replaced another one knows none of the streams that still run on its engine. The
//! engine's load reports give their number, and as many requests are counted in admission. Reports
//! lag, so the highest of those in the first [`REPORT_LAG`] counts, and no request is admitted
//! before that has passed. From then on the number only falls: to what a report shows beyond the
//! streams of this process that were surely running when it was made. A stream that a router
//! resumes here takes one of the places.

use std::time::{Duration, Instant};

use cornelpass_core::admission::{Controller, Outcome, Request, Ticket, UNKNOWN_DIGEST};
use cornelpass_target::engine::Load;

/// Longest lag of an engine's load report.
pub const REPORT_LAG: Duration = Duration::from_secs(1);

/// Requests of the engine that nobody here follows.
#[derive(Debug, Default)]
pub struct Inherited {
    /// Boot number and time of the first report.
    first: Option<(u64, Instant)>,
    settled: bool,
    /// Most requests reported before it was settled.
    peak: usize,
    /// Places that were taken before it was settled.
    claimed: usize,
    tickets: Vec<Ticket>,
}

impl Inherited {
    /// Whether the engine's load is known.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.settled
    }

    /// Requests that are counted.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether none is counted.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Takes a load report, given the streams of this process that it must contain.
    pub fn report(&mut self, now: Instant, gate: &mut Controller, load: &Load, own: usize) {
        let reported = (load.running + load.waiting) as usize;
        let (boot, since) = *self.first.get_or_insert((load.boot, now));
        let others = if boot != load.boot {
            0
        } else if self.settled {
            self.len().min(reported.saturating_sub(own))
        } else {
            self.peak = self.peak.max(reported);
            self.peak.saturating_sub(self.claimed)
        };
        self.settled |= now.saturating_duration_since(since) >= REPORT_LAG;
        while self.len() < others {
            let ask = Request { organisation: "", digest: UNKNOWN_DIGEST, cost: 1 };
            self.tickets.push(gate.adopt(now, &ask, load.boot));
        }
        while self.len() > others {
            self.release(now, gate);
        }
    }

    /// Gives one place to a stream that is followed here from now on.
    pub fn claim(&mut self, now: Instant, gate: &mut Controller) {
        self.claimed += 1;
        self.release(now, gate);
    }

    fn release(&mut self, now: Instant, gate: &mut Controller) {
        if let Some(ticket) = self.tickets.pop() {
            gate.release(now, ticket, Outcome::Cancelled);
        }
    }
}
