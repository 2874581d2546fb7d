//! Recent demand for the targets of one service, and the limits that follow from it.
//!
//! The limits are in force only while the service is short of room: at least [`SHORT_SHARE`] of the
//! recent questions met a busy target. A burst at one target does not limit anybody.

use std::time::{Duration, Instant};

use super::decay::Count;
use super::fair::{Shares, Standing};
use super::reserve::{Limit, Reserve};
use super::{Admission, Cause, Change, Claim, Room};

/// Share of recent questions about busy targets from which a service is short of room.
pub const SHORT_SHARE: f64 = 0.6;

/// Time constant of the share of questions about busy targets.
const SHORT_MEMORY: Duration = Duration::from_secs(2);

/// Recent questions about busy targets below which a service is not short of room.
const MIN_BUSY: f64 = 2.0;

/// Time constant of the counts of requests that were sent or refused.
const REFUSAL_MEMORY: Duration = Duration::from_secs(2);

/// Number of recent requests below which a ledger is dropped.
const MIN_ASKED: f64 = 0.05;

/// Recent demand for the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    reserve: Reserve,
    shares: Shares,
    /// Questions, and those about busy targets.
    questions: Count,
    busy: Count,
    /// Requests that were sent, and refused.
    sent: Count,
    refused: Count,
    /// Claims that were withheld and not reported yet, by cause.
    withheld: [(Option<Cause>, u32); 2],
    /// Requests that were refused and not reported yet: why and of which organisation the last one
    /// was, and their number.
    unreported: Option<(Cause, String, u32)>,
    /// Whether the start of the shortage in progress was reported.
    reported_short: bool,
}

impl Ledger {
    /// Records a claim.
    pub fn record_asked(&mut self, now: Instant, claim: Claim) {
        if !claim.is_first {
            return;
        }
        self.reserve.record_asked(now, claim.urgency);
        if let Some(organisation) = claim.organisation {
            self.shares.record_asked(now, claim.urgency, organisation);
        }
    }

    /// Records the room that a claim met at a target.
    pub fn record_room(&mut self, now: Instant, room: Room) {
        self.questions.add(now, SHORT_MEMORY);
        if room.is_busy() {
            self.busy.add(now, SHORT_MEMORY);
        }
    }

    /// Records that a claim got room.
    pub fn record_granted(&mut self, now: Instant, claim: Claim) {
        self.sent.add(now, REFUSAL_MEMORY);
        self.reserve.record_granted(now, claim.urgency);
        if let Some(organisation) = claim.organisation {
            self.shares.record_granted(now, claim.urgency, organisation);
        }
    }

    /// Records that a request was refused.
    pub fn record_refused(&mut self, now: Instant, cause: Cause, organisation: &str) {
        self.refused.add(now, REFUSAL_MEMORY);
        let count = self.unreported.as_ref().map_or(0, |(.., count)| *count);
        self.unreported = Some((cause, organisation.to_owned(), count.saturating_add(1)));
    }

    /// Records that a claim was withheld.
    pub const fn count_withheld(&mut self, cause: Cause) {
        let slot = &mut self.withheld[cause as usize];
        *slot = (Some(cause), slot.1.saturating_add(1));
    }

    /// Share of recent requests that were sent, from 0 to 1.
    #[must_use]
    pub fn sent_share(&self, now: Instant) -> f64 {
        let sent = self.sent.value(now, REFUSAL_MEMORY);
        sent / (sent + self.refused.value(now, REFUSAL_MEMORY)).max(1.0)
    }

    /// Whether the service is short of room.
    #[must_use]
    pub fn is_short(&self, now: Instant) -> bool {
        let busy = self.busy.value(now, SHORT_MEMORY);
        busy >= MIN_BUSY && busy >= self.questions.value(now, SHORT_MEMORY) * SHORT_SHARE
    }

    /// Decides on a claim to room at a target.
    #[must_use]
    pub fn admission(&self, now: Instant, claim: Claim, room: Room) -> Admission {
        if !room.is_busy() || !self.is_short(now) {
            return Admission::Open;
        }
        if self.share_limit(now, claim, room).is_some_and(|limit| room.load >= limit) {
            return Admission::Withheld(Cause::Organisation);
        }
        match self.reserve.limit(now, claim.urgency, room) {
            Limit::Below(below) if room.load >= below => Admission::Withheld(Cause::Class),
            Limit::Minimum(below) if room.load >= below => Admission::Minimum,
            Limit::None | Limit::Below(_) | Limit::Minimum(_) => Admission::Open,
        }
    }

    /// Fraction of what a target has in reserve that a claim leaves to more urgent ones, from 0 to 1.
    ///
    /// An organisation over its share leaves all of it.
    #[must_use]
    pub fn kept_fraction(&self, now: Instant, claim: Claim) -> f64 {
        let standing = claim
            .organisation
            .map(|organisation| self.shares.standing(now, claim.urgency, organisation));
        match standing {
            Some(Standing::Over) => 1.0,
            _ => self.reserve.kept_fraction(now, claim.urgency),
        }
    }

    /// Drops the organisations whose counts have decayed.
    pub fn expire(&mut self, now: Instant) {
        self.shares.expire(now);
    }

    /// Load up to which an organisation may use a target; none if it asks for no more than its share.
    ///
    /// One that is over its share still comes before less urgent requests, and one that is short of
    /// it comes before those that are over theirs.
    fn share_limit(&self, now: Instant, claim: Claim, room: Room) -> Option<u32> {
        let over = || self.reserve.next_limit(now, claim.urgency, room);
        match self.shares.standing(now, claim.urgency, claim.organisation?) {
            Standing::Satisfied => None,
            Standing::Short => Some(over().midpoint(room.slots + room.waiting_room())),
            Standing::Over => Some(over()),
        }
    }

    /// Takes the changes since the last call, and drops the organisations whose counts have
    /// decayed.
    pub fn take_changes(&mut self, now: Instant, service: &str) -> Vec<Change> {
        self.expire(now);
        let mut changes = Vec::new();
        let short = self.is_short(now);
        if short != self.reported_short {
            self.reported_short = short;
            let service = service.to_owned();
            changes.push(match short {
                true => Change::Started { service },
                false => Change::Ended { service },
            });
        }
        for (cause, count) in std::mem::take(&mut self.withheld) {
            if let Some(cause) = cause {
                changes.push(Change::Withheld { service: service.to_owned(), cause, count });
            }
        }
        changes
    }

    /// Takes the refused requests since the last call.
    pub fn take_refused(&mut self, service: &str) -> Option<Change> {
        let (cause, organisation, count) = self.unreported.take()?;
        Some(Change::Refused { service: service.to_owned(), cause, count, organisation })
    }

    /// Whether the counts have decayed and no end of a shortage is to be reported.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.reserve.asked(now) < MIN_ASKED && !self.reported_short
    }

    /// Number of organisations with counts.
    #[must_use]
    pub fn organisation_count(&self) -> usize {
        self.shares.len()
    }
}
