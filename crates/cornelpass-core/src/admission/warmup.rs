//! Warm-up of a cold target: a window that limits the requests in flight, and grows as the target
//! responds.
//!
//! A target sends a *boot number*, which changes at each restart. Boot numbers are compared for
//! equality only; their order has no meaning.
//!
//! Two limits apply at the same time:
//!
//! - A request is admitted only while fewer requests than the cold limit are unacknowledged. A
//!   target that restarts cold without notice therefore receives no more than that before the
//!   restart shows in its boot number.
//! - A request is admitted only while fewer requests are in flight than the window allows. The
//!   window starts at the cold limit, grows by one for each first token from the current boot, as
//!   in TCP slow start (Jacobson, "Congestion Avoidance and Control", 1988), and is halved when a
//!   first token is late. First tokens within the target's minimum cold time do not count.
//!
//! A plain service has no first tokens; there a completed request takes the place of the first
//! token.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::{Outcome, Ticket};
use crate::table::{Kind, Target};
use crate::target_report::State;

/// Time without requests after which the target is treated as cold.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Time after a disconnect for which no request is sent, unless the target responds before.
pub const DOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time from the query for a load report to the response.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a request that was cancelled or lost before the target acknowledged it still
/// counts as in flight.
///
/// The target may have received the request and may still be working on it.
pub const ABANDONED_LIFETIME: Duration = Duration::from_secs(5);

/// First-token latency above which a response is late, before [`LATE_FIRST_TOKEN_PER_COST`] is
/// added.
pub const LATE_FIRST_TOKEN: Duration = Duration::from_secs(5);

/// Addition to [`LATE_FIRST_TOKEN`] for each unit of the request's cost.
pub const LATE_FIRST_TOKEN_PER_COST: Duration = Duration::from_millis(250);

/// Maximum number of earlier boot numbers that are kept.
const PAST_BOOT_LIMIT: usize = 8;

/// Whether a received boot number shows a restart of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The boot number is the current one, an earlier one, the first one received, or 0 (not
    /// known).
    Unchanged,
    /// The target has restarted.
    Restarted,
}

/// A request in flight: on its way to the target or on the target.
#[derive(Clone, Copy, Debug)]
struct Flight {
    sent_at: Instant,
    cost: u32,
    /// Whether some boot of the target has received the request.
    received: bool,
    /// Boot number under which the request was acknowledged, 0 if it was not.
    boot: u64,
    /// Whether the request was sent before the last disconnect.
    lost: bool,
    /// Whether the response has already been taken into account for the size of the window.
    counted: bool,
}

/// Warm-up window of one target.
#[derive(Clone, Debug, Default)]
pub struct Window {
    kind: Option<Kind>,
    cold_limit: u32,
    /// Maximum size of the window, in requests: the target's load limit, since each request adds at
    /// least one unit of load.
    limit: u32,
    /// Minimum cold time: time after the first receipt of a boot number for which first tokens do
    /// not count.
    min_cold_time: Duration,
    /// Maximum number of requests in flight, while the target is not idle.
    size: u32,
    /// Current boot number of the target, 0 if not known.
    boot: u64,
    /// Time at which the current boot number was first received.
    boot_first_seen_at: Option<Instant>,
    past_boots: VecDeque<u64>,
    /// Time of the last disconnect, if the target has not responded since.
    disconnected_at: Option<Instant>,
    /// Time at which the last request was sent or ended.
    last_active: Option<Instant>,
    halved_at: Option<Instant>,
    in_flight: BTreeMap<Ticket, Flight>,
    /// Times at which requests were cancelled or lost before the target acknowledged them.
    abandoned: Vec<Instant>,
}

impl Window {
    /// Applies the target's row of a new configuration.
    pub fn configure(&mut self, target: &Target) {
        self.kind = Some(target.kind);
        self.limit = target.limit;
        self.cold_limit = target.cold_limit.min(target.limit);
        self.min_cold_time = Duration::from_secs(u64::from(target.cold_seconds));
        self.size = self.size.clamp(self.cold_limit, self.limit);
    }

    /// Shrinks the window to the cold limit.
    pub fn reset(&mut self) {
        self.size = self.cold_limit;
    }

    /// Number of requests that may be sent at present.
    #[must_use]
    pub fn slots(&self, now: Instant) -> u32 {
        if self.is_down(now) {
            return 0;
        }
        let unacknowledged = self.in_flight.values().filter(|flight| !flight.received).count();
        let sendable = self.cold_limit.saturating_sub(count(unacknowledged + self.abandoned(now)));
        self.headroom(now).min(sendable)
    }

    /// Number of requests that fit into the window beside those in flight, without regard to the
    /// limit on unacknowledged requests.
    #[must_use]
    pub fn headroom(&self, now: Instant) -> u32 {
        self.size(now).saturating_sub(count(self.in_flight.len() + self.abandoned(now)))
    }

    /// Size of the window: the maximum number of requests in flight.
    ///
    /// At most the cold limit while the target is idle.
    #[must_use]
    pub fn size(&self, now: Instant) -> u32 {
        let active =
            self.last_active.is_some_and(|at| now.saturating_duration_since(at) < IDLE_TIMEOUT);
        if active || !self.in_flight.is_empty() {
            self.size
        } else {
            self.size.min(self.cold_limit)
        }
    }

    /// State of the target as far as the window shows it.
    #[must_use]
    pub fn state(&self, now: Instant) -> State {
        match self.kind {
            None => State::Starting,
            Some(_) if self.is_down(now) => State::Down,
            Some(_) if self.size(now) < self.limit => State::Warming,
            Some(_) => State::Steady,
        }
    }

    /// Boot number of the target, 0 if not known.
    #[must_use]
    pub const fn boot(&self) -> u64 {
        self.boot
    }

    /// Records a request that is sent to the target, with its cost in units of load.
    pub fn record_sent(&mut self, now: Instant, ticket: Ticket, cost: u32) {
        self.size = self.size(now);
        self.last_active = Some(now);
        self.abandoned.retain(|at| is_abandoned(*at, now));
        let flight =
            Flight { sent_at: now, cost, received: false, boot: 0, lost: false, counted: false };
        self.in_flight.insert(ticket, flight);
    }

    /// Records that the target accepted a request, with the boot number that it sent, or 0 for
    /// none.
    pub fn acknowledge(&mut self, now: Instant, ticket: Ticket, boot: u64) -> Transition {
        let transition = self.record_boot(now, boot);
        let current = self.boot;
        if let Some(flight) = self.in_flight.get_mut(&ticket) {
            flight.received = true;
            flight.boot = if boot == 0 { current } else { boot };
        }
        transition
    }

    /// Records the boot number in a load report of the target.
    ///
    /// Requests sent before the query for the report were received by this boot or by an earlier
    /// one. The query was sent at most [`PROBE_TIMEOUT`] ago, so this holds for each request that
    /// is at least that old.
    pub fn record_probe(&mut self, now: Instant, boot: u64) -> Transition {
        let transition = self.record_boot(now, boot);
        for flight in self.in_flight.values_mut() {
            flight.received |= now.saturating_duration_since(flight.sent_at) >= PROBE_TIMEOUT;
        }
        transition
    }

    /// Records the first token of a response; it has an effect only on a model target.
    pub fn record_first_token(&mut self, now: Instant, ticket: Ticket) {
        if self.kind == Some(Kind::Model) {
            self.resize(now, ticket);
        }
    }

    /// Records that the target does not respond or that its connections broke.
    pub fn record_disconnect(&mut self, now: Instant) {
        self.disconnected_at = Some(now);
        self.size = self.cold_limit;
        self.in_flight.values_mut().for_each(|flight| flight.lost = true);
    }

    /// Removes a request that has ended.
    pub fn release(&mut self, now: Instant, ticket: Ticket, outcome: Outcome) {
        if self.kind == Some(Kind::Service) && outcome == Outcome::Completed {
            self.resize(now, ticket);
        }
        let Some(flight) = self.in_flight.remove(&ticket) else { return };
        self.last_active = Some(now);
        if !flight.received && matches!(outcome, Outcome::Cancelled | Outcome::Lost) {
            self.abandoned.push(now);
        }
    }

    /// Records a boot number that the target sent, 0 for none.
    ///
    /// An earlier boot number comes from a delayed response and is ignored.
    fn record_boot(&mut self, now: Instant, boot: u64) -> Transition {
        if self.past_boots.contains(&boot) {
            return Transition::Unchanged;
        }
        self.disconnected_at = None;
        if boot == 0 || boot == self.boot {
            return Transition::Unchanged;
        }
        let known = self.boot != 0;
        if known {
            self.past_boots.push_back(self.boot);
            let surplus = self.past_boots.len().saturating_sub(PAST_BOOT_LIMIT);
            self.past_boots.drain(..surplus);
        }
        self.boot = boot;
        self.boot_first_seen_at = Some(now);
        self.size = self.cold_limit;
        if known { Transition::Restarted } else { Transition::Unchanged }
    }

    /// Grows the window by one for a response of the current boot, or halves it if the response is
    /// late.
    ///
    /// Late responses to requests that were sent before the last halving do not halve it again.
    fn resize(&mut self, now: Instant, ticket: Ticket) {
        let Some(flight) = self.in_flight.get_mut(&ticket) else { return };
        if !flight.received || flight.lost || flight.counted || flight.boot != self.boot {
            return;
        }
        if self
            .boot_first_seen_at
            .is_some_and(|at| now.saturating_duration_since(at) < self.min_cold_time)
        {
            return;
        }
        flight.counted = true;
        let flight = *flight;
        if now.saturating_duration_since(flight.sent_at)
            <= LATE_FIRST_TOKEN + LATE_FIRST_TOKEN_PER_COST * flight.cost
        {
            self.size = self.size.saturating_add(1).min(self.limit);
        } else if self.halved_at.is_none_or(|at| at <= flight.sent_at) {
            self.halved_at = Some(now);
            self.size = (self.size / 2).max(self.cold_limit);
        }
    }

    /// Number of cancelled or lost requests that the target may still be working on.
    fn abandoned(&self, now: Instant) -> usize {
        self.abandoned.iter().filter(|at| is_abandoned(**at, now)).count()
    }

    fn is_down(&self, now: Instant) -> bool {
        self.disconnected_at.is_some_and(|at| now.saturating_duration_since(at) < DOWN_TIMEOUT)
    }
}

fn is_abandoned(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < ABANDONED_LIFETIME
}

fn count(requests: usize) -> u32 {
    u32::try_from(requests).unwrap_or(u32::MAX)
}
