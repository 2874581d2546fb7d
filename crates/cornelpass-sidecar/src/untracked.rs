//! Untracked requests: the requests that the engine was already running when the sidecar started.
//!
//! A sidecar that replaces another one does not know the streams that still run on its engine. The
//! engine's load reports give their number, and the same number of requests is counted in the
//! admission controller. The reports lag behind the load. The number is therefore the highest one
//! that was reported in the first [`MAX_REPORT_LAG`], and no request is admitted before that time.
//! From then on the number only falls: to the reported number without the streams of this sidecar
//! that were certainly running when the report was made. A stream that a router resumes at this
//! sidecar replaces one untracked request.

use std::time::{Duration, Instant};

use cornelpass_core::admission::{Controller, Outcome, Request, Ticket, UNKNOWN_DIGEST};
use cornelpass_target::engine::Load;

/// Longest time by which a load report lags behind the load of the engine.
pub const MAX_REPORT_LAG: Duration = Duration::from_secs(1);

/// Requests on the engine that no stream of this sidecar accounts for.
#[derive(Debug, Default)]
pub struct Requests {
    /// Boot number and time of the first report.
    first_report: Option<(u64, Instant)>,
    load_known: bool,
    /// Highest number of requests reported before the load was known.
    peak: usize,
    /// Number of streams that were resumed here; used only until the load is known.
    resumed: usize,
    tickets: Vec<Ticket>,
}

impl Requests {
    /// Whether load reports have covered [`MAX_REPORT_LAG`], so that the engine's load is known.
    #[must_use]
    pub const fn is_load_known(&self) -> bool {
        self.load_known
    }

    /// Number of untracked requests that admission counts at present.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether admission counts no untracked request.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Applies a load report of the engine.
    ///
    /// `own_running` is the number of streams of this sidecar that the report certainly includes.
    pub fn apply_report(
        &mut self,
        now: Instant,
        controller: &mut Controller,
        load: &Load,
        own_running: usize,
    ) {
        let reported = (load.running + load.waiting) as usize;
        let (boot, first_report_at) = *self.first_report.get_or_insert((load.boot, now));
        let untracked_count = if boot != load.boot {
            0
        } else if self.load_known {
            self.len().min(reported.saturating_sub(own_running))
        } else {
            self.peak = self.peak.max(reported);
            self.peak.saturating_sub(self.resumed)
        };
        self.load_known |= now.saturating_duration_since(first_report_at) >= MAX_REPORT_LAG;
        while self.len() < untracked_count {
            let request = Request { organisation: "", digest: UNKNOWN_DIGEST, cost: 1 };
            self.tickets.push(controller.adopt(now, &request, load.boot));
        }
        while self.len() > untracked_count {
            self.release(now, controller);
        }
    }

    /// Removes one untracked request, because its stream was resumed at this sidecar.
    pub fn remove_resumed(&mut self, now: Instant, controller: &mut Controller) {
        self.resumed += 1;
        self.release(now, controller);
    }

    fn release(&mut self, now: Instant, controller: &mut Controller) {
        if let Some(ticket) = self.tickets.pop() {
            controller.release(now, ticket, Outcome::Cancelled);
        }
    }
}
