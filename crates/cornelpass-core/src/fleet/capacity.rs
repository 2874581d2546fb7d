//! Capacity of the targets of plain services: when they are full, and whether one has room for a
//! running attempt.

use std::time::{Duration, Instant};

use super::choice::{Choice, Refusal, Source};
use super::health::Standing;
use super::{Fleet, Record};
use crate::accounting::selection::Selection;
use crate::contention::capacity::{Ahead, Capacities, Ending, Evidence, Switch};
use crate::digest;
use crate::history::{Eligibility, History};
use crate::refusal::Reason;
use crate::request::Request;

/// Fraction of the capacity of a plain target from which the target counts as busy.
const BUSY_FRACTION: f64 = 0.67;

impl Fleet {
    /// Capacities of the targets of plain services.
    pub const fn capacities(&mut self) -> &mut Capacities {
        &mut self.capacities
    }

    /// Slots of a target of a plain service; none if the service has an engine, or if the number is
    /// not stated.
    pub(super) fn stated_slots(&self, record: &Record) -> Option<u32> {
        let is_plain = self.capacities.is_plain(&record.row.service);
        (is_plain && record.row.slots > 0).then_some(record.row.slots)
    }

    /// Load at which a target of a plain service is full; none if its slots are not stated.
    pub(super) fn capacity(&self, record: &Record) -> Option<u32> {
        Some(self.capacities.limit(&record.row.service, self.stated_slots(record)?))
    }

    /// Load from which a target counts as busy for the limits of classes and organisations: its slots,
    /// or a part of its capacity if it belongs to a plain service.
    ///
    /// The useful queue of a plain target absorbs bursts without late answers. Limits from its slots
    /// on would refuse requests that it still serves in time.
    pub(super) fn contended_slots(&self, record: &Record) -> u32 {
        let busy = |capacity: u32| (f64::from(capacity) * BUSY_FRACTION) as u32;
        self.capacity(record)
            .map_or(record.row.slots, |capacity| busy(capacity).max(record.row.slots))
    }

    /// Refusal of a request to a service whose targets are all full.
    pub(super) fn refuse_full(&mut self, now: Instant, request: &Request) -> Refusal {
        let mut ahead = Ahead {
            routers: u32::try_from(self.peers.member_count(now)).unwrap_or(u32::MAX),
            ..Ahead::default()
        };
        for (name, record) in self.targets_of(&request.service) {
            if let Some(slots) = self.stated_slots(record).filter(|_| self.may_take(now, record)) {
                ahead.load = ahead.load.saturating_add(self.load(name, now));
                ahead.slots = ahead.slots.saturating_add(slots);
            }
        }
        // The upper bits of the hash are a random number that costs no state.
        let draw = (digest::key(&request.id) >> 32) as f64 / f64::from(u32::MAX);
        let retry_after = self.capacities.retry_delay(now, &request.service, ahead, draw);
        Refusal { reason: Reason::Overloaded, retry_after }
    }

    /// Whether a chosen target of a plain service had no free slot, so that a refusal by it shows no
    /// fault of the target.
    #[must_use]
    pub fn had_no_free_slot(&self, choice: &Choice) -> bool {
        let slots = self.records.get(&choice.target).and_then(|record| self.stated_slots(record));
        slots.is_some_and(|slots| choice.load >= slots)
    }

    /// Records what an attempt at a target of a plain service shows about its capacity.
    pub fn record_capacity(
        &mut self,
        request: &Request,
        choice: &Choice,
        elapsed: Duration,
        ending: Ending,
    ) {
        let Some(record) = self.records.get(&choice.target) else { return };
        let Some(slots) = self.stated_slots(record) else { return };
        let (load, desired_latency) = (choice.load, request.desired_latency);
        let evidence = Evidence { load, slots, elapsed, desired_latency, ending };
        self.capacities.record(&request.service, evidence);
    }

    /// Whether an attempt that has no response yet may be given up, as far as this router knows.
    ///
    /// `history` includes the running attempt. Sends no message: the answer is only
    /// [`Switch::Ask`] if the loads that accountants last reported leave room at an eligible target.
    #[must_use]
    pub fn check_attempt(&self, now: Instant, request: &Request, history: &History) -> Switch {
        let has_room = |(name, record): (&str, &Record)| {
            history.eligibility(name) == Eligibility::Untried
                && self.may_take(now, record)
                && record.health.standing(now) != Standing::Unresponsive
                && self.stated_slots(record).is_none_or(|slots| self.load(name, now) < slots)
        };
        if self.targets_of(&request.service).any(has_room) { Switch::Ask } else { Switch::Wait }
    }

    /// Whether a running attempt is given up for a chosen target.
    ///
    /// A target of a plain service has room if its accountant has granted the request a free slot.
    /// Any other target has room if its load is below its load bound.
    #[must_use]
    pub fn decide_switch(&self, choice: &Choice, selection: &Selection) -> Switch {
        let slots = self.records.get(&choice.target).and_then(|record| self.stated_slots(record));
        let has_room = match (slots, choice.source) {
            (Some(slots), _) => selection.is_granted(&choice.target) && choice.load < slots,
            (None, Source::Counted) => selection.is_granted(&choice.target),
            (None, Source::Estimated) => choice.load < choice.bound,
        };
        match has_room && choice.standing != Standing::Unresponsive {
            true => Switch::Abandon,
            false => Switch::Wait,
        }
    }
}
