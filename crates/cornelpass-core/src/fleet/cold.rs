//! Rate of requests to a cold target.
//!
//! The accountant of a target hands out its places for all routers. While it does not answer, each
//! router takes an equal part of the rate without a message. Where that is less than one request,
//! the router saves it up to one.

use std::time::{Duration, Instant};

use super::{Fleet, Record};

/// Part of the rate that is used, since for some seconds a target may have two accountants, and the
/// routers' views of their number may differ.
const MARGIN: f64 = 0.8;

/// Requests to one cold target.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    saved: f64,
    last: Option<Instant>,
}

impl Gate {
    /// Takes a place for a request of this router, at a rate of requests a second that all routers share.
    pub fn admit(&mut self, now: Instant, rate: f64, routers: usize) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "there are few routers")]
        let own = rate * MARGIN / routers.max(1) as f64;
        self.take(now, own, own.max(1.0))
    }

    /// Takes a place for a request of any router, at a rate of requests a second of which a target bears
    /// a multiple, and some more, in any one second.
    pub fn admit_any(&mut self, now: Instant, rate: f64, over: f64, slack: u32) -> bool {
        let rate_used = rate * MARGIN;
        let most = (rate * over + f64::from(slack)) * MARGIN;
        self.take(now, rate_used, (most - rate_used).clamp(1.0, rate_used.max(1.0)))
    }

    fn take(&mut self, now: Instant, rate: f64, most: f64) -> bool {
        let gap =
            self.last.map_or(Duration::from_secs(1), |last| now.saturating_duration_since(last));
        self.last = Some(now);
        self.saved = (self.saved + rate * gap.as_secs_f64()).min(most);
        let admitted = self.saved >= 1.0;
        if admitted {
            self.saved -= 1.0;
        }
        admitted
    }
}

impl Fleet {
    fn cold_rate(&self, service: &str) -> f64 {
        self.cold_rates.get(service).copied().unwrap_or_default()
    }

    /// Whether a target is cold, and its service limits what such a target gets.
    pub(super) fn is_cold(&self, record: &Record, now: Instant) -> bool {
        record.cold_until.is_some_and(|until| now < until)
            && self.cold_rate(&record.row.service) > 0.0
    }

    /// Takes a place of all routers at a cold target.
    pub(super) fn admit_for_all(&mut self, name: &str, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(name) else { return false };
        let rate = self.cold_rates.get(&record.row.service).copied().unwrap_or_default();
        if rate <= 0.0 {
            return true;
        }
        record.gate.admit_any(now, rate, self.bounds.cold_over, self.bounds.cold_slack)
    }

    /// Takes a place of this router at a target if it is cold; a warm one has no such limit.
    pub(super) fn admit(&mut self, name: &str, now: Instant) -> bool {
        let members = self.peers.members(now);
        let Some(record) = self.records.get(name) else { return false };
        if !self.is_cold(record, now) {
            return true;
        }
        let rate = self.cold_rate(&record.row.service);
        self.records.get_mut(name).is_some_and(|record| record.gate.admit(now, rate, members))
    }
}
