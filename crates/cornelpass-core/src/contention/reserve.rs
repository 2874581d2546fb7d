//! Part of a target's room that is kept for more urgent requests.
//!
//! The slots of a target are open to all, so that none of them idles. Of the room above, where
//! requests wait for a slot ([`Room::waiting_room`]), each class leaves a part to the more urgent
//! classes: the part of the recent demand that is theirs. If these asked for nothing lately, nothing
//! is kept. A class that got less than [`MIN_SHARE`] of what all classes
//! got on average, in proportion to its demand, is not limited until it has got that much.

use std::time::{Duration, Instant};

use super::Room;
use super::class::MAX_URGENCY;
use super::decay::Count;

/// Time constant of the counts: some times the duration of a request.
pub const MEMORY: Duration = Duration::from_secs(5);

/// Minimum for each class, as a fraction of the average ratio of granted to asked requests.
///
/// The users require a quarter of what all requests get; the rest is for requests that are granted
/// and then late.
pub const MIN_SHARE: f64 = 0.35;

/// Room that is kept at least for each more urgent class with demand, in requests: room for a
/// single request is often taken by a request that is granted at the same moment.
const MIN_KEPT: u32 = 2;

/// Count below which a class has no demand.
const MIN_DEMAND: f64 = 0.2;

/// Requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: Count,
    granted: Count,
}

impl Tally {
    /// Recent demand. A target that other targets turned requests over to grants more than it was
    /// asked for first.
    fn asked(&self, now: Instant) -> f64 {
        self.asked.value(now, MEMORY).max(self.granted(now))
    }

    fn granted(&self, now: Instant) -> f64 {
        self.granted.value(now, MEMORY)
    }
}

/// Limit of the load up to which a class may use a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// No more urgent class asked lately, or the slots are unknown.
    None,
    /// The class may add requests below this load.
    Below(u32),
    /// The class has got less than its minimum and may add requests like the most urgent class;
    /// more urgent classes are preferred from this load on.
    Minimum(u32),
}

/// Recent demand for the targets of one service, by urgency.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reserve {
    tallies: [Tally; MAX_URGENCY as usize + 1],
}

fn index(urgency: u8) -> usize {
    usize::from(urgency.min(MAX_URGENCY))
}

impl Reserve {
    /// Records a request that asks for room.
    pub fn record_asked(&mut self, now: Instant, urgency: u8) {
        self.tallies[index(urgency)].asked.add(now, MEMORY);
    }

    /// Records a request that got room.
    pub fn record_granted(&mut self, now: Instant, urgency: u8) {
        self.tallies[index(urgency)].granted.add(now, MEMORY);
    }

    /// Number of recent requests that asked for room.
    #[must_use]
    pub fn asked(&self, now: Instant) -> f64 {
        self.tallies.iter().map(|tally| tally.asked(now)).sum()
    }

    /// Limit for a class at a target.
    #[must_use]
    pub fn limit(&self, now: Instant, urgency: u8, room: Room) -> Limit {
        match self.load_limit(now, urgency, room) {
            None => Limit::None,
            Some(below) if self.is_below_minimum(now, urgency) => Limit::Minimum(below),
            Some(below) => Limit::Below(below),
        }
    }

    /// Part of the recent demand that more urgent classes have, from 0 to 1; 0 for a class that has
    /// got less than its minimum.
    #[must_use]
    pub fn kept_fraction(&self, now: Instant, urgency: u8) -> f64 {
        if self.is_below_minimum(now, urgency) {
            return 0.0;
        }
        let demands = self.tallies[..index(urgency)].iter().map(|tally| tally.asked(now));
        let more_urgent: f64 = demands.filter(|demand| *demand >= MIN_DEMAND).sum();
        more_urgent / self.asked(now).max(more_urgent).max(1.0)
    }

    /// Limit for the next less urgent class with recent demand; the slots if there is none.
    #[must_use]
    pub fn next_limit(&self, now: Instant, urgency: u8, room: Room) -> u32 {
        let next = (urgency + 1..=MAX_URGENCY)
            .find(|next| self.tallies[index(*next)].asked(now) >= MIN_DEMAND);
        next.and_then(|next| self.load_limit(now, next, room)).unwrap_or(room.slots)
    }

    /// Load up to which a class may use a target; none if no more urgent class asked lately.
    fn load_limit(&self, now: Instant, urgency: u8, room: Room) -> Option<u32> {
        let demands = self.tallies[..index(urgency)].iter();
        let demands = demands.map(|tally| tally.asked(now));
        let (classes, more_urgent) = demands
            .filter(|demand| *demand >= MIN_DEMAND)
            .fold((0_u32, 0.0), |(classes, sum), demand| (classes + 1, sum + demand));
        if room.slots == 0 || classes == 0 {
            return None;
        }
        let waiting = room.waiting_room();
        let share = more_urgent / self.asked(now).max(more_urgent);
        let kept = (share * f64::from(waiting)).ceil() as u32;
        Some(room.slots + waiting - kept.max(classes * MIN_KEPT).min(waiting))
    }

    fn is_below_minimum(&self, now: Instant, urgency: u8) -> bool {
        let granted: f64 = self.tallies.iter().map(|tally| tally.granted(now)).sum();
        let tally = &self.tallies[index(urgency)];
        let average = granted / self.asked(now).max(1.0);
        tally.granted(now) < tally.asked(now) * average * MIN_SHARE
    }
}
