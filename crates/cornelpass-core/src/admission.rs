//! Admission control: the final decision whether a target accepts a request.
//!
//! The decision is made in the sidecar of the target, because only the sidecar sees the target's
//! whole load. An admission controller combines four checks: [`suspect`] (is the content suspected
//! of crashing targets?), [`warmup`] (is the target warm enough for another request?), [`bound`]
//! (is the load below the bound?) and [`share`] (is the organisation within its share of the
//! target?). Its inputs are the configuration, the routers' samples of the mean load, the crash
//! counts that routers send, and the progress of the requests that it has admitted.

pub mod bound;
pub mod share;
pub mod suspect;
pub mod warmup;

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use self::suspect::Level;
use crate::refusal::Reason;
use crate::table::{Organisation, Policy, Target};
use crate::target_report::State;

/// Thousandths in one unit.
const MILLI: u64 = 1000;

/// Identifier of an admitted request, unique within one admission controller.
pub type Ticket = u64;

/// Digest that stands for unknown content, which is never suspected of a crash.
pub const UNKNOWN_DIGEST: u64 = 0;

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the caller's organisation.
    pub organisation: &'a str,
    /// Hash of the request's content, or [`UNKNOWN_DIGEST`].
    pub digest: u64,
    /// Load that the request adds, in units of load: 1 for a call, [`crate::chat::cost`] for a chat
    /// request; at least 1 is counted.
    pub cost: u32,
}

/// Result of an admission check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is admitted: send it to the target.
    Admit(Ticket),
    /// The request is refused and does not run on this target.
    Refuse(Reason),
}

/// A sample of the mean load per unit of weight of the targets that serve the same model or
/// service, computed by one router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mean {
    /// Mean load per unit of weight, in thousandths of a unit of load.
    pub milli: u64,
    /// Age of the oldest report that the mean includes, in milliseconds.
    pub age_ms: u32,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target sent its complete response.
    Completed,
    /// The request ended without a complete response, but the target was not lost: for example the
    /// request was cancelled, or only the connection to the target broke.
    Cancelled,
    /// The target refused the request or responded with an error, or the request was not sent.
    Failed,
    /// The target crashed, restarted or became unreachable.
    Lost,
}

/// State, load and limits of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// State of the target.
    pub state: State,
    /// Cost of the admitted requests, in units of load.
    pub load: u32,
    /// Load that the target may reach at present, in units of load.
    pub bound: u32,
    /// Boot number of the target ([`warmup`]), 0 if not known.
    pub boot: u64,
    /// Share of its weight that the target can serve at present, in percent.
    pub ramp_percent: u32,
}

/// An admitted request.
#[derive(Clone, Debug)]
struct Entry {
    organisation: String,
    digest: u64,
    cost: u32,
    /// Whether the first token of the response has arrived.
    first_token_received: bool,
    /// Whether several crashes of the content were counted at admission, so that it was admitted
    /// only because no other suspect content was in flight.
    isolated: bool,
    /// Whether the target was lost while the request was in flight.
    lost: bool,
}

/// Admission controller of one target.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    configured: bool,
    in_service: bool,
    last_ticket: Ticket,
    load: u32,
    /// Moving average of the cost of a request, in thousandths of a unit of load.
    mean_cost_milli: u64,
    admitted: BTreeMap<Ticket, Entry>,
    bound: bound::Bound,
    window: warmup::Window,
    shares: share::Shares,
    suspects: suspect::Suspects,
}

impl Controller {
    /// Creates a controller that refuses all requests until it is configured.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the target's row, the policy and the organisations of a new configuration.
    pub fn configure(
        &mut self,
        target: &Target,
        policy: &Policy,
        organisations: &BTreeMap<String, Organisation>,
    ) {
        self.configured = true;
        self.in_service = target.in_service;
        self.bound.configure(target, policy);
        self.window.configure(target);
        self.shares.configure(organisations);
    }

    /// Restarts the warm-up when the target or its data centre returns to service.
    ///
    /// The target's caches are cold by then.
    pub fn reset_warmup(&mut self) {
        self.window.reset();
    }

    /// Records a router's sample of the mean load.
    pub fn record_mean(&mut self, now: Instant, router: &str, mean: Mean) {
        self.bound.record_mean(now, router, mean);
    }

    /// Admits or refuses a request; an admitted request counts as load until it is released.
    pub fn admit(&mut self, now: Instant, request: &Request<'_>) -> Decision {
        let cost = request.cost.max(1);
        if let Some(reason) = self.refusal_reason(now, request, cost) {
            return Decision::Refuse(reason);
        }
        Decision::Admit(self.add(now, request, cost))
    }

    /// Counts a request that already runs on the target under the given boot number.
    ///
    /// Used for requests that were already running on the target when this process started. They
    /// are never refused, whatever the load.
    pub fn adopt(&mut self, now: Instant, request: &Request<'_>, boot: u64) -> Ticket {
        let ticket = self.add(now, request, request.cost.max(1));
        self.acknowledge(now, ticket, boot);
        ticket
    }

    fn add(&mut self, now: Instant, request: &Request<'_>, cost: u32) -> Ticket {
        self.last_ticket += 1;
        self.load += cost;
        self.mean_cost_milli = moving_average_milli(self.mean_cost_milli, cost);
        self.window.record_sent(now, self.last_ticket, cost);
        self.shares.add(request.organisation, cost);
        let organisation = request.organisation.to_owned();
        let isolated = self.suspects.level(now, request.digest) == Level::Repeated;
        let entry = Entry {
            organisation,
            digest: request.digest,
            cost,
            first_token_received: false,
            isolated,
            lost: false,
        };
        self.admitted.insert(self.last_ticket, entry);
        self.last_ticket
    }

    /// Records that the target accepted a request, with the boot number that it sent, or 0 for
    /// none.
    pub fn acknowledge(&mut self, now: Instant, ticket: Ticket, boot: u64) {
        if self.window.acknowledge(now, ticket, boot) == warmup::Transition::Restarted {
            self.record_loss(now, Some(ticket));
        }
    }

    /// Records the first token of a response.
    pub fn record_first_token(&mut self, now: Instant, ticket: Ticket) {
        self.window.record_first_token(now, ticket);
        if let Some(entry) = self.admitted.get_mut(&ticket) {
            entry.first_token_received = true;
        }
    }

    /// Records the boot number in a load report of the target.
    ///
    /// At most [`warmup::PROBE_TIMEOUT`] may pass between the query for the report and this call.
    pub fn record_probe(&mut self, now: Instant, boot: u64) {
        if self.window.record_probe(now, boot) == warmup::Transition::Restarted {
            self.record_loss(now, None);
        }
    }

    /// Records that the target does not respond or that its connections broke.
    pub fn record_disconnect(&mut self, now: Instant) {
        self.window.record_disconnect(now);
        self.record_loss(now, None);
    }

    /// Removes an admitted request that has ended.
    ///
    /// [`Outcome::Lost`] also counts as a disconnect, unless the loss of the target is already
    /// recorded for this request.
    pub fn release(&mut self, now: Instant, ticket: Ticket, outcome: Outcome) {
        let unrecorded = self.admitted.get(&ticket).is_some_and(|entry| !entry.lost);
        if unrecorded && outcome == Outcome::Lost {
            self.record_disconnect(now);
        }
        self.window.release(now, ticket, outcome);
        let Some(entry) = self.admitted.remove(&ticket) else { return };
        self.load -= entry.cost;
        self.shares.remove(&entry.organisation, entry.cost);
        if outcome == Outcome::Completed {
            self.suspects.reset(now, entry.digest);
        }
    }

    /// Merges the crash counts that a router sent.
    ///
    /// A digest occurs in the list once for each counted crash. The list may include crashes
    /// that this controller reported itself.
    pub fn merge_crashes(&mut self, now: Instant, digests: &[u64]) {
        self.suspects.merge(now, digests);
    }

    /// Digests of the contents that were recently in flight at a crash of this target.
    ///
    /// A digest occurs once for each counted crash, so lists of several targets are combined by
    /// concatenation.
    #[must_use]
    pub fn observed_crashes(&self, now: Instant) -> Vec<u64> {
        self.suspects.observed_crashes(now)
    }

    /// Current state, load and bound of the target.
    #[must_use]
    pub fn status(&self, now: Instant) -> Status {
        let state = match self.window.state(now) {
            State::Warming | State::Steady if !self.in_service => State::Leaving,
            state => state,
        };
        let bound = self.bound.current(now);
        let reachable = match state {
            State::Warming => self.load + self.window.headroom(now),
            State::Steady => bound,
            State::Starting | State::Down | State::Leaving => self.load,
        };
        Status {
            state,
            load: self.load,
            bound: bound.min(reachable),
            boot: self.window.boot(),
            ramp_percent: self.ramp_percent(now, state, bound),
        }
    }

    /// First reason to refuse a request, if there is one.
    ///
    /// The order of the checks is: configuration, service state, organisation, suspect content,
    /// warm-up, bound, and the limit and share of the organisation. An organisation in service
    /// counts as active also if its request is then refused.
    fn refusal_reason(&mut self, now: Instant, request: &Request<'_>, cost: u32) -> Option<Reason> {
        if !self.configured {
            return Some(Reason::NotReady);
        }
        if !self.in_service {
            return Some(Reason::OutOfService);
        }
        let bound = self.bound.current(now);
        let capacity = share::Capacity { load: self.load, bound, limit: self.bound.limit() };
        let fit = self.shares.check(now, request.organisation, cost, capacity);
        if fit == share::Fit::Unknown {
            return Some(Reason::UnknownOrganisation);
        }
        if let Some(reason) = self.suspect_refusal(now, request.digest) {
            return Some(reason);
        }
        if self.window.slots(now) == 0 {
            return Some(Reason::Warming);
        }
        if !self.bound.fits(bound, self.load, cost) {
            return Some(Reason::OverBound);
        }
        (fit == share::Fit::Over).then_some(Reason::OverShare)
    }

    /// Refuses blocked content, and suspect content while another suspect or blocked content is in
    /// flight.
    ///
    /// If the target were lost with both in flight, the loss could not be attributed to one of
    /// them. Two contents with one crash each may be in flight together once the earlier one has
    /// received its first token.
    fn suspect_refusal(&self, now: Instant, digest: u64) -> Option<Reason> {
        let level = |digest| self.suspects.level(now, digest);
        let own = level(digest);
        if own == Level::Blocked {
            return Some(Reason::SuspectedCrash);
        }
        let mut others = self.admitted.values().filter(|entry| entry.digest != digest);
        let conflicts = |entry: &Entry| match level(entry.digest) {
            Level::Suspect => own == Level::Repeated || !entry.first_token_received,
            Level::Repeated | Level::Blocked => true,
            Level::Clear => false,
        };
        (own.is_suspect() && others.any(conflicts)).then_some(Reason::Overloaded)
    }

    /// Counts a loss of the target against the content of each request in flight.
    ///
    /// The request `acknowledged` is left out: its acknowledgement showed that the target had
    /// restarted, so the request runs on the restarted target.
    fn record_loss(&mut self, now: Instant, acknowledged: Option<Ticket>) {
        let (mut digests, mut isolated) = (Vec::new(), None);
        for (ticket, entry) in &mut self.admitted {
            if !entry.lost && Some(*ticket) != acknowledged {
                entry.lost = true;
                digests.extend(Some(entry.digest).filter(|digest| *digest != UNKNOWN_DIGEST));
                isolated = isolated.or(entry.isolated.then_some(entry.digest));
            }
        }
        self.suspects.record_loss(now, &digests, isolated);
    }

    /// Share of its weight that the target can serve in a state, in percent.
    fn ramp_percent(&self, now: Instant, state: State, bound: u32) -> u32 {
        match state {
            State::Steady => 100,
            State::Warming => {
                let window_milli =
                    u64::from(self.window.size(now)) * self.mean_cost_milli.max(MILLI);
                let percent = window_milli * 100 / (u64::from(bound.max(1)) * MILLI);
                u32::try_from(percent).unwrap_or(100).clamp(1, 100)
            }
            State::Starting | State::Down | State::Leaving => 0,
        }
    }
}

/// Moves an average cost, in thousandths of a unit of load, by an eighth towards a new cost.
///
/// An average of 0 means that there is none yet.
const fn moving_average_milli(average_milli: u64, cost: u32) -> u64 {
    let cost_milli = cost as u64 * MILLI;
    if average_milli == 0 { cost_milli } else { (average_milli * 7 + cost_milli) / 8 }
}
