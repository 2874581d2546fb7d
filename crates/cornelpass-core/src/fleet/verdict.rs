//! Verdict of an accountant on one more request at a target.
//!
//! The load bound and the tokens of a cold or rate-limited target limit all requests alike, except
//! that the last saved tokens of a rate limit are kept for more urgent requests. Where requests differ in
//! urgency or organisation, contention ([`crate::contention`]) can withhold the room of a busy
//! target from some of them earlier, but never grants more. While no accountant replies, a router
//! withholds room by the counts of its own requests.

use std::time::{Duration, Instant};

use super::Fleet;
use crate::accounting::message::Verdict;
use crate::accounting::selection::Selection;
use crate::contention::class::Classes;
use crate::contention::{Admission, Cause, Change, Claim, Contention, Room};
use crate::request::Request;

impl Fleet {
    /// Sets the urgency classes of the active configuration.
    pub fn set_classes(&mut self, classes: Classes) {
        self.contention.set_classes(classes);
    }

    /// Contention for the targets.
    #[must_use]
    pub const fn contention(&self) -> &Contention {
        &self.contention
    }

    /// Takes the changes of the contention since the last call.
    pub fn take_contention_changes(&mut self, now: Instant) -> Vec<Change> {
        self.contention.take_changes(now)
    }

    /// Discards all counts of the contention, as a restart does; the classes stay.
    pub fn reset_contention(&mut self) {
        let classes = self.contention.classes().clone();
        self.contention = Contention::default();
        self.contention.set_classes(classes);
    }

    /// Claim of a request of a router that states no urgency and no organisation.
    pub(super) fn unstated_claim(&self, target: u32) -> Option<Claim> {
        let record = self.records.get(self.names_by_hash.get(&target)?)?;
        self.contention.unstated_claim(&record.row.service)
    }

    /// Verdict on one more request at a target whose load is `load` and may reach `limit`.
    ///
    /// Takes a token of the target if it is cold or names a rate limit, and has room for the request.
    pub(super) fn decide_verdict(
        &mut self,
        now: Instant,
        name: Option<&str>,
        (load, limit): (u32, u32),
        cold: bool,
        claim: Option<Claim>,
    ) -> Verdict {
        let known = name.and_then(|name| self.records.get(name));
        let cold = cold || known.is_some_and(|record| self.is_cold(record, now));
        let limit = self.limit_fresh(now, name, limit, cold);
        let known = name.and_then(|name| self.records.get(name));
        let contended =
            claim.zip(known.map(|record| (&record.row.service, self.contended_slots(record))));
        let Some((claim, (service, slots))) = contended else {
            return self.verdict_by_load(now, name, load >= limit, cold, 0.0);
        };
        let service = service.clone();
        let admission = self.contention.admit(now, &service, claim, Room { load, slots });
        if let Admission::Withheld(cause) = admission {
            return match cause {
                Cause::Class => Verdict::Reserved,
                Cause::Organisation => Verdict::OverShare,
            };
        }
        let kept = self.contention.kept_fraction(now, &service, claim);
        let verdict = self.verdict_by_load(now, name, load >= limit, cold, kept);
        if verdict != Verdict::Granted {
            return verdict;
        }
        self.contention.record_granted(now, &service, claim);
        if admission == Admission::Minimum { Verdict::Minimum } else { Verdict::Granted }
    }

    fn verdict_by_load(
        &mut self,
        now: Instant,
        name: Option<&str>,
        is_full: bool,
        cold: bool,
        kept: f64,
    ) -> Verdict {
        let limited = name.is_some_and(|name| self.is_rate_limited(name, now));
        match (is_full, cold || limited) {
            (true, false) => Verdict::Full,
            (false, false) => Verdict::Granted,
            // `Full` still lets the request through where all targets are full, which would
            // overload a cold or rate-limited target.
            (true, true) => Verdict::Cold,
            (false, true) if name.is_some_and(|name| self.take_tokens(name, now, cold, kept)) => {
                Verdict::Granted
            }
            (false, true) => Verdict::Cold,
        }
    }

    /// Why this router withholds the room of a target whose accountant is not asked, if it does.
    pub(super) fn withheld_by_estimate(
        &self,
        now: Instant,
        request: &Request,
        room: Room,
        selection: &Selection,
    ) -> Option<Cause> {
        let claim = self.contention.claim(request, false)?;
        // The accountants of other targets of the service know the demand of all routers.
        if let Some(cause) = selection.withheld() {
            return room.is_busy().then_some(cause);
        }
        match self.contention.own_admission(now, &request.service, claim, room) {
            Admission::Withheld(cause) => Some(cause),
            Admission::Open | Admission::Minimum => None,
        }
    }

    /// Records that a request is sent to a target with this load.
    pub(super) fn record_claim_sent(
        &mut self,
        now: Instant,
        request: &Request,
        name: &str,
        load: u32,
    ) {
        let Some(claim) = self.contention.claim(request, false) else { return };
        let slots = self.records.get(name).map_or(0, |record| self.contended_slots(record));
        self.contention.record_own_sent(now, &request.service, claim, Room { load, slots });
    }

    /// Records that a request is refused because of contention; returns its retry delay.
    ///
    /// Callers follow a delay of at most a third of their remaining time.
    pub(super) fn record_claim_refused(
        &mut self,
        now: Instant,
        request: &Request,
        cause: Cause,
    ) -> Duration {
        let delay = self.contention.record_own_refused(now, request, cause);
        delay.min(request.time_left(now).mul_f64(MAX_DELAY_FRACTION))
    }
}

/// Longest retry delay that callers follow, as a fraction of their remaining time.
const MAX_DELAY_FRACTION: f64 = 0.33;
