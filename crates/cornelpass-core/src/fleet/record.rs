//! State of one target as one router knows it.

use std::time::Instant;

use super::cold::Bucket;
use super::contact::Contact;
use super::estimate::Estimate;
use super::health::{Health, Standing};
use super::listing::Silence;
use super::notice::Availability;
use super::pace::Pace;
use super::rate_limit::RateLimit;
use super::row::{Row, State};
use super::slow_start::SlowStart;
use crate::request::RetrySafety;
use crate::revision::Revision;

/// State of one target as this router knows it.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Short hash of the target's name.
    pub(super) short_hash: u32,
    pub(super) row: Row,
    /// Revision of the row.
    pub(super) revision: u64,
    pub(super) cold_until: Option<Instant>,
    /// When the first row of the target arrived.
    pub(super) known_since: Instant,
    /// When the row was removed, if it is still missing.
    pub(super) missing_since: Option<Instant>,
    pub(super) health: Health,
    pub(super) contact: Contact,
    pub(super) cold_bucket: Bucket,
    /// Load of the other routers there, as last reported by an accountant.
    pub(super) remote_load: Estimate,
    /// Availability that the target announced in its responses. Includes departures that other
    /// routers reported.
    pub(super) availability: Availability,
    pub(super) slow_start: SlowStart,
    /// Pace that the target has reported to this router.
    pub(super) pace: Pace,
    pub(super) rate_limit: RateLimit,
}

impl Record {
    /// Record of a target that was unknown, by its row and the revision of the row.
    pub(super) fn new(
        now: Instant,
        short_hash: u32,
        (row, revision): (Row, u64),
        cold_until: Option<Instant>,
        fresh: bool,
    ) -> Self {
        Self {
            short_hash,
            row,
            revision,
            cold_until,
            known_since: now,
            missing_since: None,
            health: Health::default(),
            contact: Contact::default(),
            cold_bucket: Bucket::default(),
            remote_load: Estimate::default(),
            availability: Availability::default(),
            slow_start: SlowStart::new(now, fresh),
            pace: Pace::default(),
            rate_limit: RateLimit::default(),
        }
    }

    /// Whether the target is listed, ready or leaving, and in good health.
    pub(super) fn is_healthy(&self, now: Instant) -> bool {
        self.missing_since.is_none() && self.health.standing(now) == Standing::Good
    }

    /// Whether the target is about to stop or has left, as far as this router knows.
    pub(super) const fn is_leaving(&self) -> bool {
        self.missing_since.is_some() || self.is_announced_to_stop()
    }

    /// Whether the target has announced that it is about to stop.
    pub(super) const fn is_announced_to_stop(&self) -> bool {
        matches!(self.row.state, State::Leaving) || self.availability.is_leaving()
    }

    /// Whether a row from the copy that the platform was restored from lists the target as if it had
    /// not left, although the row was removed or leaving in an earlier era.
    ///
    /// The next row of a target that is still running is of the same era as this one and counts.
    pub(super) fn has_left_before(&self, row: &Row, revision: u64) -> bool {
        let is_restored = Revision::unpack(revision).era > Revision::unpack(self.revision).era;
        let same_start = self.row.started_ms == row.started_ms;
        let has_left = self.missing_since.is_some() || self.row.state == State::Leaving;
        is_restored && same_start && has_left
    }

    /// Whether a row states a later start time than the known row.
    pub(super) fn is_later_start(&self, row: &Row) -> bool {
        self.row.started_ms.zip(row.started_ms).is_some_and(|(known, reported)| reported > known)
    }

    /// Requests of this router in progress at the target, and the time without a response; none if
    /// no request is in progress.
    pub(super) fn silence(&self, now: Instant, name: &str) -> Option<Silence> {
        let (open_requests, since) = self.health.silence()?;
        let duration = now.saturating_duration_since(since);
        Some(Silence {
            target: name.to_owned(),
            address: self.row.address,
            open_requests,
            duration,
        })
    }

    /// Health of the target for one request.
    ///
    /// A target on trial counts as good for a request that may be repeated, and as failing for any
    /// other request.
    pub(super) fn standing_for(&self, now: Instant, retry_safety: RetrySafety) -> Standing {
        match self.health.standing(now) {
            Standing::Trial if retry_safety.allows_retry() => Standing::Good,
            Standing::Trial => Standing::Failing,
            standing => standing,
        }
    }
}
