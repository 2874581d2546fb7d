//! Contention for capacity: which requests yield while a service is short of room.
//!
//! The accountant of a target ([`crate::accounting`]) sees the requests of all routers there, so it
//! decides. A [`Claim`] states the urgency and the organisation of a request. While the targets of
//! a service are busy, [`reserve`] keeps the last part of the room of a target for more urgent
//! requests, and [`fair`] divides the room between the organisations. Both only withhold room that
//! would delay the requests in progress: a target with a free slot takes any request. A withheld
//! request goes on to the next target, and is refused only if no target has room for it.
//!
//! All counts decay, so that a limit ends soon after the demand that caused it. A router also keeps
//! counts of its own requests, by which it decides while no accountant replies.

pub mod capacity;
pub mod class;
pub mod compatibility;
pub mod connections;
pub mod decay;
pub mod failures;
pub mod fair;
pub mod ledger;
pub mod reserve;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use self::class::Classes;
use self::compatibility::Compatibility;
use self::ledger::Ledger;
use crate::digest;
use crate::report;
use crate::request::Request;

/// Shortest retry delay of a request that was refused because of contention.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest retry delay of a request that was refused because of contention.
///
/// Callers follow a delay of at most a third of their remaining time, which is 1.3 s for most.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Room for waiting requests, as a divisor of the slots.
const WAITING_DIVISOR: u32 = 2;

/// Room for waiting requests on top of that, for targets with few slots.
const MIN_WAITING: u32 = 4;

/// Urgency and organisation of a request that asks for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Urgency from 0, the most urgent, to [`class::MAX_URGENCY`].
    pub urgency: u8,
    /// Short hash of the organisation's name; none if the asking router did not state it.
    pub organisation: Option<u32>,
    /// Whether this is the first target that the request asks for.
    ///
    /// Only first questions count as demand: a request that is turned away asks at several targets.
    pub is_first: bool,
}

/// Load and capacity of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Requests of all routers in progress at the target.
    pub load: u32,
    /// Requests that the target runs at once; 0 if unknown.
    pub slots: u32,
}

impl Room {
    /// Whether one more request would wait at the target; false if its slots are unknown.
    #[must_use]
    pub const fn is_busy(self) -> bool {
        self.slots > 0 && self.load >= self.slots
    }

    /// Requests that may wait for a slot of the target before less urgent ones and organisations
    /// over their shares are all turned away.
    ///
    /// At most half of the slots and some requests, so that a wait takes little more than half as
    /// long as a request.
    #[must_use]
    pub const fn waiting_room(self) -> u32 {
        self.slots / WAITING_DIVISOR + MIN_WAITING
    }
}

/// Why room is withheld from a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The room is reserved for more urgent requests.
    Class,
    /// The organisation has got its share.
    Organisation,
}

/// Decision on a claim to room at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No limit of this module applies.
    Open,
    /// Room is reserved for more urgent requests, but the class has got less than its minimum.
    Minimum,
    /// The request must go to another target or be refused.
    Withheld(Cause),
}

/// Change that operators should see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The targets of a service that this router counts have become short of room.
    Started {
        /// Name of the service.
        service: String,
    },
    /// The targets of a service that this router counts have room again.
    Ended {
        /// Name of the service.
        service: String,
    },
    /// Claims to room at targets that this router counts were withheld.
    Withheld {
        /// Name of the service.
        service: String,
        /// Why they were withheld.
        cause: Cause,
        /// Number of claims since the last change of this kind.
        count: u32,
    },
    /// Requests of this router were refused.
    Refused {
        /// Name of the service.
        service: String,
        /// Why the last of them was refused.
        cause: Cause,
        /// Number of requests since the last change of this kind.
        count: u32,
        /// Organisation of the last of them; empty if its caller is anonymous.
        organisation: String,
    },
}

/// State of the contention for the targets of all services, as one router knows it.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    classes: Classes,
    /// Claims of all routers to targets that this router counts, by service.
    counted: BTreeMap<String, Ledger>,
    /// Requests of this router, by service.
    own: BTreeMap<String, Ledger>,
    compatibility: Compatibility,
}

impl Contention {
    /// Sets the classes of the active configuration.
    pub fn set_classes(&mut self, classes: Classes) {
        self.classes = classes;
    }

    /// Classes of the active configuration.
    #[must_use]
    pub const fn classes(&self) -> &Classes {
        &self.classes
    }

    /// Routers that demands were sent to, and whether they reply.
    pub const fn compatibility(&mut self) -> &mut Compatibility {
        &mut self.compatibility
    }

    /// Claim of a request; none if all requests of its service are alike.
    #[must_use]
    pub fn claim(&self, request: &Request, is_first: bool) -> Option<Claim> {
        let urgency = self.classes.urgency(&request.service, request.priority);
        if urgency.is_none() && !self.classes.has_several_organisations() {
            return None;
        }
        let organisation = Some(report::short_hash(&request.organisation));
        let urgency = urgency.unwrap_or(class::MIDDLE_URGENCY);
        Some(Claim { urgency, organisation, is_first })
    }

    /// Claim of a request of a router that states none; none if the classes of the service do not
    /// differ.
    #[must_use]
    pub fn unstated_claim(&self, service: &str) -> Option<Claim> {
        let urgency = class::MIDDLE_URGENCY;
        let claim = Claim { urgency, organisation: None, is_first: true };
        self.classes.differ(service).then_some(claim)
    }

    /// Decides on a claim to room at a target that this router counts.
    pub fn admit(&mut self, now: Instant, service: &str, claim: Claim, room: Room) -> Admission {
        let ledger = self.counted.entry(service.to_owned()).or_default();
        ledger.record_asked(now, claim);
        ledger.record_room(now, room);
        let admission = ledger.admission(now, claim, room);
        if let Admission::Withheld(cause) = admission {
            ledger.count_withheld(cause);
        }
        admission
    }

    /// Fraction of the saved tokens of a rate-limited target that a claim leaves to more urgent ones.
    #[must_use]
    pub fn kept_fraction(&self, now: Instant, service: &str, claim: Claim) -> f64 {
        self.counted.get(service).map_or(0.0, |ledger| ledger.kept_fraction(now, claim))
    }

    /// Records that a claim to room at a target that this router counts was granted.
    pub fn record_granted(&mut self, now: Instant, service: &str, claim: Claim) {
        if let Some(ledger) = self.counted.get_mut(service) {
            ledger.record_granted(now, claim);
        }
    }

    /// Records that a request of this router begins to look for a target.
    pub fn record_own_asked(&mut self, now: Instant, service: &str, claim: Claim) {
        self.own.entry(service.to_owned()).or_default().record_asked(now, claim);
    }

    /// Records that a request of this router is sent to a target with this room.
    pub fn record_own_sent(&mut self, now: Instant, service: &str, claim: Claim, room: Room) {
        let ledger = self.own.entry(service.to_owned()).or_default();
        ledger.record_room(now, room);
        ledger.record_granted(now, claim);
    }

    /// Records that a request of this router is refused because of contention.
    ///
    /// Returns the delay after which room is likely, which differs by request, so that requests that
    /// are refused together do not return together.
    pub fn record_own_refused(
        &mut self,
        now: Instant,
        request: &Request,
        cause: Cause,
    ) -> Duration {
        let ledger = self.own.entry(request.service.clone()).or_default();
        ledger.record_refused(now, cause, &request.organisation);
        // A retry succeeds with the share of requests that succeeded lately, so the expected number
        // of retries is the inverse of this share.
        let expected = MIN_RETRY_DELAY.mul_f64(1.0 / ledger.sent_share(now).max(0.1));
        let jitter = 0.75 + (digest::key(&request.id) % 1_000) as f64 / 2_000.0;
        expected.mul_f64(jitter).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    /// Decides on a request of this router at a target whose accountant is not asked.
    #[must_use]
    pub fn own_admission(
        &self,
        now: Instant,
        service: &str,
        claim: Claim,
        room: Room,
    ) -> Admission {
        self.own.get(service).map_or(Admission::Open, |ledger| ledger.admission(now, claim, room))
    }

    /// Takes the changes since the last call, and drops counts that have decayed.
    pub fn take_changes(&mut self, now: Instant) -> Vec<Change> {
        let changes = self
            .counted
            .iter_mut()
            .flat_map(|(service, ledger)| ledger.take_changes(now, service))
            .chain(self.own.iter_mut().filter_map(|(name, ledger)| ledger.take_refused(name)))
            .collect();
        self.counted.retain(|_, ledger| !ledger.is_idle(now));
        self.compatibility.expire(now);
        self.own.values_mut().for_each(|ledger| ledger.expire(now));
        self.own.retain(|_, ledger| !ledger.is_idle(now));
        changes
    }

    /// Number of services that are short of room at the targets that this router counts.
    #[must_use]
    pub fn short_services(&self, now: Instant) -> usize {
        self.counted.values().filter(|ledger| ledger.is_short(now)).count()
    }

    /// Number of organisations with counts, over all services.
    #[must_use]
    pub fn organisation_count(&self) -> usize {
        self.counted.values().chain(self.own.values()).map(Ledger::organisation_count).sum()
    }
}
