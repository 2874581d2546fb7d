//! Rate limit of requests to a cold target.
//!
//! A target is cold from its start until the time that its row states ([`super::Row::cold_left`]):
//! it then handles fewer requests per second. It may state that time in its responses as well, often
//! before its row does. A target that may have been replaced by a new process
//! counts as cold as well ([`super::contact`]). A token bucket holds the requests that it may get.
//! The accountant of the target ([`crate::accounting`]) grants them to all routers. While the
//! accountant does not reply, each router uses an equal part of the rate without any message. A
//! part below one request per second accumulates up to one request.

use std::time::{Duration, Instant};

use super::load::Ticket;
use super::notice::MAX_PAUSE;
use super::{Fleet, Record};
use crate::accounting::selection::Selection;

/// Fraction of the rate that is used: for some seconds a target may have two accountants, and the
/// routers may differ in how many routers they count.
const RATE_FRACTION: f64 = 0.8;

/// Tokens of a target that a router begins to count. The accountant before may have granted all that
/// the target can take.
const FIRST_TOKENS: f64 = 1.0;

/// From where this router knows that a target is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// The row of the target.
    Row,
    /// A response of the target to this router.
    Response,
    /// Another router, which has such a response.
    Router,
    /// A router has lost contact with the target, whose next process may be a new one.
    LostContact,
}

/// A target that counts as cold from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the target.
    pub target: String,
    /// From where this router knows it.
    pub source: Source,
    /// Time for which the target stays cold.
    pub left: Duration,
}

/// Longest cold time that a response may state.
const MAX_STATED_TIME: Duration = MAX_PAUSE;

/// Token bucket of one cold target; each request uses one token.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    tokens: f64,
    last_refill: Option<Instant>,
}

impl Bucket {
    /// Takes a token for a request of this router; returns whether there was one.
    ///
    /// `rate` is in requests per second and is shared equally by a number of routers.
    pub fn admit_own(&mut self, now: Instant, rate: f64, routers: usize) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "there are few routers")]
        let own = rate * RATE_FRACTION / routers.max(1) as f64;
        self.take_token(now, own, own.max(1.0))
    }

    /// Discards the tokens from before the time at which this router began to count the target.
    fn begin_count(&mut self, since: Instant) {
        if self.last_refill.is_none_or(|last_refill| last_refill < since) {
            *self = Self { tokens: FIRST_TOKENS, last_refill: Some(since) };
        }
    }

    /// Discards the tokens of a target that was cold before this router learned it.
    ///
    /// The requests in progress, `load`, have probably reached it since, and count against its next
    /// tokens, up to those of one second.
    pub fn begin_late(&mut self, now: Instant, rate: f64, load: u32) {
        let debt = f64::from(load).min(rate * RATE_FRACTION);
        *self = Self { tokens: FIRST_TOKENS - debt, last_refill: Some(now) };
    }

    /// Takes a token for a request of any router; returns whether there was one.
    ///
    /// `rate` is in requests per second. In any one second the target may get `over` times the rate
    /// and `slack` more requests.
    pub fn admit_shared(&mut self, now: Instant, rate: f64, over: f64, slack: u32) -> bool {
        let rate_used = rate * RATE_FRACTION;
        let max_per_second = (rate * over + f64::from(slack)) * RATE_FRACTION;
        // In one second, a full bucket and its refill give `capacity + rate_used` tokens, which
        // must not exceed `max_per_second`.
        self.take_token(now, rate_used, (max_per_second - rate_used).clamp(1.0, rate_used.max(1.0)))
    }

    fn take_token(&mut self, now: Instant, rate: f64, capacity: f64) -> bool {
        let elapsed = self
            .last_refill
            .map_or(Duration::from_secs(1), |last| now.saturating_duration_since(last));
        self.last_refill = Some(now);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(capacity);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}

impl Fleet {
    /// Takes the targets that have begun to count as cold since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.cold_changes)
    }

    /// Notes that a target counts as cold from now on, if it did not before.
    pub(super) fn note_cold(&mut self, now: Instant, name: &str, was_cold: bool, source: Source) {
        let Some(record) = self.records.get(name).filter(|_| !was_cold) else { return };
        if self.is_cold(record, now) {
            let until = record.cold_until.max(record.contact.stated_until());
            let left = until.map(|until| until.saturating_duration_since(now));
            let left = match source {
                Source::Row | Source::Response | Source::Router => left.unwrap_or_default(),
                Source::LostContact => self.cold_time(record),
            };
            let target = name.to_owned();
            self.cold_changes.push(Change { target, source, left });
        }
    }

    /// Time for which a target of a service is cold after its start.
    pub(super) fn cold_time(&self, record: &Record) -> Duration {
        self.cold_times.get(&record.row.service).copied().unwrap_or_default()
    }

    fn cold_rate(&self, service: &str) -> f64 {
        self.cold_rates.get(service).copied().unwrap_or_default()
    }

    /// Applies the cold time that a target has stated, to this router or another one.
    ///
    /// A time over [`MAX_STATED_TIME`] is treated as a mistake.
    pub(super) fn state_cold(&mut self, now: Instant, name: &str, left: Duration, source: Source) {
        let Some(record) = self.records.get(name) else { return };
        if left.is_zero() || left > MAX_STATED_TIME {
            return;
        }
        let (was_cold, short_hash) = (self.is_cold(record, now), record.short_hash);
        let rate = self.cold_rate(&record.row.service);
        let own = self.own_address();
        let counted = self.aggregator.sum_excluding(now, short_hash, own).load;
        let load = self.loads.load(name, now) + counted;
        let Some(record) = self.records.get_mut(name) else { return };
        record.contact.state_cold(now + left);
        if !was_cold {
            record.cold_bucket.begin_late(now, rate, load);
            record.slow_start.begin(now);
        }
        self.note_cold(now, name, was_cold, source);
    }

    /// Records the cold time that a target states in its response to a request.
    ///
    /// A time of zero ends a doubt from before the request ([`super::contact`]); it does not end the
    /// time of a row, which may be later than the response.
    pub fn record_cold_statement(
        &mut self,
        now: Instant,
        target: &str,
        ticket: Ticket,
        left: Duration,
    ) {
        if !left.is_zero() {
            self.state_cold(now, target, left, Source::Response);
            self.queue_statement(now, target);
            return;
        }
        let sent_at = self.loads.sent_at(target, ticket);
        let record = self.records.get_mut(target);
        if let Some((record, sent_at)) = record.zip(sent_at) {
            record.contact.end_doubt(sent_at);
        }
    }

    /// Whether a target is cold, or may be, and its service limits the requests to cold targets.
    pub(super) fn is_cold(&self, record: &Record, now: Instant) -> bool {
        let until = record.cold_until.max(record.contact.stated_until());
        let is_stated = until.is_some_and(|until| now < until);
        let in_doubt = || record.contact.is_in_doubt(now, self.cold_time(record));
        (is_stated || in_doubt()) && self.cold_rate(&record.row.service) > 0.0
    }

    /// Takes a token of a cold target as its accountant, for a request of any router.
    ///
    /// Returns whether the request may go there; always true if the service sets no cold rate.
    pub(super) fn admit_shared(&mut self, name: &str, now: Instant) -> bool {
        let service = self.records.get(name).map(|record| record.row.service.as_str());
        let since = service.and_then(|service| self.owned_since(service, name));
        let Some(record) = self.records.get_mut(name) else { return false };
        // Without a recorded start, the count has only just begun, or began with the last token.
        let since = since.or(record.cold_bucket.last_refill).unwrap_or(now);
        record.cold_bucket.begin_count(since);
        let rate = self.cold_rates.get(&record.row.service).copied().unwrap_or_default();
        if rate <= 0.0 {
            return true;
        }
        let admitted = record.cold_bucket.admit_shared(
            now,
            rate,
            self.requirements.cold_over,
            self.requirements.cold_slack,
        );
        if admitted {
            record.contact.record_grant(now);
        }
        admitted
    }

    /// Whether a request may go to a target without the answer of its accountant.
    ///
    /// If the selection has asked enough questions although accountants reply, a cold or rate-limited
    /// target gets nothing: its accountant grants the whole rate, and the routers' parts would come
    /// on top.
    pub(super) fn admit_unasked(
        &mut self,
        name: &str,
        now: Instant,
        selection: &Selection,
    ) -> bool {
        let cold = self.records.get(name).is_some_and(|record| self.is_cold(record, now));
        let limited = self.is_rate_limited(name, now);
        let replies = selection.unresponsive().is_empty();
        !((cold || limited) && replies) && self.take_own_tokens(name, now)
    }

    /// Takes a token from this router's part of a cold target's rate, without its accountant.
    ///
    /// Returns whether the request may go there; always true if the target is warm.
    pub(super) fn admit_own(&mut self, name: &str, now: Instant) -> bool {
        let members = self.peers.member_count(now);
        let Some(record) = self.records.get(name) else { return false };
        if !self.is_cold(record, now) {
            return true;
        }
        let rate = self.cold_rate(&record.row.service);
        self.records
            .get_mut(name)
            .is_some_and(|record| record.cold_bucket.admit_own(now, rate, members))
    }
}
