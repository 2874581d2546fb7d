//! Capacity of the targets of plain services.
//!
//! A *plain service* is a service whose configuration states no engine. Its targets run a stated
//! number of requests at once, the *slots*, and report no load. Requests beyond the slots wait in a
//! queue of the target, and those that wait too long are shed: refused without having run.
//!
//! A target counts as full at its slots plus the queue that is useful, a length that each router
//! learns from its own requests: requests that were shed, or were answered late, shorten it, and
//! requests that were answered in time at the end of it lengthen it again. If all targets of a
//! service are full, a request is refused at once. Sent on, it would be shed later, and its caller
//! would have less time left to return. The refusal states when a place is probably free:
//! the time in which the targets complete the requests that are ahead, including earlier refused
//! ones that return before, spread at random so that they do not return together.
//!
//! A running attempt without a response is given up for another target only if that target has
//! room. If all targets are full, another attempt would wait as long as the running one, and the
//! work done so far would be lost. [`Checks`] states when this is decided, and [`Switch`] is the
//! decision.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Time without a response head after which a running attempt may be given up for another target,
/// as a fraction of the desired latency of the route.
pub const SWITCH_FRACTION: f64 = 0.8;

/// Time from the first to the second check of a running attempt, as a fraction of the desired
/// latency of the route. The time between two checks doubles, so that a long attempt costs few
/// messages.
const CHECK_FRACTION: f64 = 0.4;

/// What follows if a running attempt has no response yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Switch {
    /// Wait for the running attempt until the next check.
    Wait,
    /// Another target may have room: ask its accountant for a place.
    Ask,
    /// Another target has room: abandon the running attempt and send the request there.
    Abandon,
}

/// Times at which it is checked whether a running attempt is given up for another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checks {
    next: Duration,
    interval: Duration,
}

impl Checks {
    /// Checks of an attempt at a request with this desired latency.
    #[must_use]
    pub fn new(desired_latency: Duration) -> Self {
        Self {
            next: desired_latency.mul_f64(SWITCH_FRACTION),
            interval: desired_latency.mul_f64(CHECK_FRACTION),
        }
    }

    /// Time from the start of the attempt to the next check.
    #[must_use]
    pub const fn next(&self) -> Duration {
        self.next
    }

    /// Schedules the check after one that kept the running attempt.
    #[must_use]
    pub fn after_wait(self) -> Self {
        Self {
            next: self.next.saturating_add(self.interval),
            interval: self.interval.saturating_mul(2),
        }
    }
}

/// Useful queue of a target of which nothing is known yet, as a multiple of its slots: the last
/// request waits twice as long as one takes.
///
/// Also the longest queue. The latency objective of the users' plain services is five times the time
/// of a request or more, so a request at the end of the queue is still answered in time, and bursts
/// are absorbed instead of refused. A shorter queue keeps the slots as busy under a lasting overload,
/// and is learned then from late answers.
const MAX_QUEUE: f64 = 2.0;

/// Fraction by which an answer in time at the end of the queue lengthens the queue, of the slots.
const QUEUE_GAIN: f64 = 0.02;

/// Factor by which a late answer of a request that had to queue shortens the queue.
const LATE_FACTOR: f64 = 0.95;

/// Factor of the queue that a shed request has shown to be too long, up to which the queue is used.
const SHED_FACTOR: f64 = 0.8;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Service time that is assumed before the first answer.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Shortest retry delay, as a fraction of the time in which the requests ahead are completed; the
/// longest is twice that time minus this part.
const MIN_DELAY_FRACTION: f64 = 0.5;

/// Time without a refusal after which a service counts as no longer full.
const EASED_TIME: Duration = Duration::from_secs(5);

/// Maximum number of refused callers whose return is taken into account.
const MAX_RETURNS: usize = 1_024;

/// How an attempt at a target of a plain service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The target answered.
    Answered,
    /// The target shed the request: it did not run.
    Shed,
}

/// What an ended attempt shows about the capacity of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Requests of all routers at the target when the attempt was sent, without this one.
    pub load: u32,
    /// Slots of the target.
    pub slots: u32,
    /// Time from sending the request to the head of the response.
    pub elapsed: Duration,
    /// Desired latency of the route.
    pub desired_latency: Duration,
    /// How the attempt ended.
    pub ending: Ending,
}

/// Requests that are ahead of a refused caller, at all targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Requests at the targets.
    pub load: u32,
    /// Slots of the targets.
    pub slots: u32,
    /// Routers of the fleet, which refuse as many callers each.
    pub routers: u32,
}

/// What is known about the targets of a plain service.
#[derive(Clone, Debug)]
struct Service {
    /// Useful queue, as a multiple of the slots of a target.
    queue: f64,
    /// Mean time that a request occupies a slot.
    service_time: Duration,
    /// When the callers that this router refused return, in no order.
    returns: VecDeque<Instant>,
    /// Refused requests while the service is full; none while it is not.
    full: Option<FullTime>,
    /// Requests that targets with no free slot shed since the last summary.
    shed: u64,
    /// Refused requests since the last summary.
    refused: u64,
}

/// Time in which all targets of a service are full.
#[derive(Clone, Copy, Debug)]
struct FullTime {
    since: Instant,
    last_refusal: Instant,
    refused: u64,
    /// Whether the start has been reported as a change.
    reported: bool,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            queue: MAX_QUEUE,
            service_time: DEFAULT_SERVICE_TIME,
            returns: VecDeque::new(),
            full: None,
            shed: 0,
            refused: 0,
        }
    }
}

impl Service {
    fn record(&mut self, evidence: Evidence) {
        let Evidence { load, slots, elapsed, desired_latency, ending } = evidence;
        let queued = f64::from(load.saturating_sub(slots)) / f64::from(slots);
        match ending {
            // With a free slot, the target did not shed the request for want of capacity.
            Ending::Shed if load < slots => {}
            Ending::Shed => {
                self.shed += 1;
                self.queue = self.queue.min(queued * SHED_FACTOR);
            }
            Ending::Answered => {
                // A request that had to queue took longer in proportion to what was ahead.
                let share = f64::from(slots) / f64::from(slots.max(load + 1));
                self.record_service_time(elapsed.mul_f64(share));
                let had_to_queue = load >= slots;
                if had_to_queue && elapsed > desired_latency {
                    self.queue *= LATE_FACTOR;
                } else if f64::from(load + 1) >= f64::from(slots) * (1.0 + self.queue) - 1.0 {
                    self.queue = (self.queue + QUEUE_GAIN).min(MAX_QUEUE);
                }
            }
        }
    }

    fn record_service_time(&mut self, sample: Duration) {
        let (before, sample) = (self.service_time.as_secs_f64(), sample.as_secs_f64());
        let after = before + (sample - before) * SERVICE_TIME_WEIGHT;
        self.service_time = Duration::from_secs_f64(after.max(0.0));
    }

    /// Time after which a place is probably free; `draw` is from 0 to 1.
    fn retry_delay(&mut self, now: Instant, ahead: Ahead, draw: f64) -> Duration {
        self.returns.retain(|at| *at > now);
        let returning = self.returns.len() as f64 * f64::from(ahead.routers.max(1));
        let requests = f64::from(ahead.load) + returning;
        let drain = self.service_time.mul_f64(requests / f64::from(ahead.slots.max(1)));
        let spread = 2.0 * (1.0 - MIN_DELAY_FRACTION);
        drain.mul_f64(MIN_DELAY_FRACTION + spread * draw)
    }

    fn record_refusal(&mut self, now: Instant, returns_at: Instant) {
        if self.returns.len() >= MAX_RETURNS {
            self.returns.pop_front();
        }
        self.returns.push_back(returns_at);
        self.refused += 1;
        let start = FullTime { since: now, last_refusal: now, refused: 0, reported: false };
        let full = self.full.get_or_insert(start);
        full.last_refusal = now;
        full.refused += 1;
    }

    /// Takes the start or the end of the time in which the service is full.
    fn take_change(&mut self, now: Instant) -> Option<Kind> {
        let full = self.full.as_mut()?;
        if !full.reported {
            full.reported = true;
            return Some(Kind::Full);
        }
        if now.saturating_duration_since(full.last_refusal) < EASED_TIME {
            return None;
        }
        let (duration, refused) = (full.last_refusal.duration_since(full.since), full.refused);
        self.full = None;
        Some(Kind::Eased { duration, refused })
    }
}

/// Kind of a change of a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// All targets are full, and requests are refused from now on.
    Full,
    /// No request has been refused for some time.
    Eased {
        /// Time from the first to the last refusal.
        duration: Duration,
        /// Refused requests in that time.
        refused: u64,
    },
}

/// Change of a plain service, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the service.
    pub service: String,
    /// What has changed.
    pub kind: Kind,
}

/// Summary of what is known about the targets of a plain service, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Name of the service.
    pub service: String,
    /// Useful queue of a target, as a multiple of its slots.
    pub queue: f64,
    /// Mean time that a request occupies a slot.
    pub service_time: Duration,
    /// Requests refused since the last summary, because all targets were full.
    pub refused: u64,
    /// Requests shed by targets without a free slot since the last summary.
    pub shed: u64,
}

/// Capacity of the targets of the plain services, as this router knows it.
#[derive(Clone, Debug, Default)]
pub struct Capacities {
    services: BTreeMap<String, Service>,
}

impl Capacities {
    /// Sets the plain services; what is known about those that stay is kept.
    pub fn set_plain_services(&mut self, services: impl Iterator<Item = String>) {
        let mut known = std::mem::take(&mut self.services);
        self.services =
            services.map(|name| (name.clone(), known.remove(&name).unwrap_or_default())).collect();
    }

    /// Whether a service is plain.
    #[must_use]
    pub fn is_plain(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Load at which a target of a plain service with this number of slots is full.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "queues are short")]
    pub fn limit(&self, service: &str, slots: u32) -> u32 {
        let queue = self.services.get(service).map_or(MAX_QUEUE, |service| service.queue);
        slots.saturating_add((queue * f64::from(slots)).round() as u32)
    }

    /// Records what an ended attempt shows.
    pub fn record(&mut self, service: &str, evidence: Evidence) {
        if let Some(service) = self.services.get_mut(service).filter(|_| evidence.slots > 0) {
            service.record(evidence);
        }
    }

    /// Time after which a refused caller may return, when all targets of a service are full.
    ///
    /// `draw` is a random number from 0 to 1 that spreads the callers.
    #[must_use]
    pub fn retry_delay(
        &mut self,
        now: Instant,
        service: &str,
        ahead: Ahead,
        draw: f64,
    ) -> Duration {
        let Some(service) = self.services.get_mut(service) else { return DEFAULT_SERVICE_TIME };
        let delay = service.retry_delay(now, ahead, draw);
        service.record_refusal(now, now + delay);
        delay
    }

    /// Takes the summaries of the plain services, with the counts since the last call.
    pub fn take_summaries(&mut self) -> Vec<Summary> {
        let summary = |(name, service): (&String, &mut Service)| Summary {
            service: name.clone(),
            queue: service.queue,
            service_time: service.service_time,
            refused: std::mem::take(&mut service.refused),
            shed: std::mem::take(&mut service.shed),
        };
        self.services.iter_mut().map(summary).collect()
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self, now: Instant) -> Vec<Change> {
        let change = |(name, service): (&String, &mut Service)| {
            let kind = service.take_change(now)?;
            Some(Change { service: name.clone(), kind })
        };
        self.services.iter_mut().filter_map(change).collect()
    }
}
