//! Max-min fair shares of the organisations.
//!
//! Of what all organisations got lately, one that asked for less than an equal part gets what it
//! asks for, and the rest is divided equally between the others (max-min fairness, Bertsekas and
//! Gallager, "Data Networks", section 6.5.2). All figures are decayed counts of requests, so the
//! shares follow the demand within seconds, and the configuration needs no weights.
//!
//! The shares are within a class: between classes the reserve decides, or an organisation whose
//! requests are urgent would be served less often than one whose requests are not. The ledger
//! decides when the shares are in force: only while the targets are busy.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::decay::Count;

/// Time constant of the counts.
pub const MEMORY: Duration = Duration::from_secs(8);

/// Maximum number of organisations with counts, for each service: about 20 KB. If more are active, the
/// one that asked least is dropped; it is then not limited.
pub const MAX_ORGANISATIONS: usize = 256;

/// Part of the recently granted requests that is divided into shares.
///
/// Engines queue what they cannot run, so all requests may have been granted although room is short.
/// The shares must then add up to less than the demand, or nobody would be over its share.
const CAPACITY_FRACTION: f64 = 0.9;

/// Count below which an organisation is dropped.
const MIN_ASKED: f64 = 0.05;

/// Requests of one organisation.
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

/// Standing of an organisation while room is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It asks for no more than its share.
    Satisfied,
    /// It asks for more than its share and has got less.
    Short,
    /// It has got its share and asks for more.
    Over,
}

/// Recent demand for the targets of one service, by the urgency and the short hash of the organisation.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    tallies: BTreeMap<(u8, u32), Tally>,
}

impl Shares {
    /// Records a request that asks for room.
    pub fn record_asked(&mut self, now: Instant, urgency: u8, organisation: u32) {
        let key = (urgency, organisation);
        if !self.tallies.contains_key(&key) {
            self.make_room(now);
        }
        self.tallies.entry(key).or_default().asked.add(now, MEMORY);
    }

    /// Records a request that got room.
    pub fn record_granted(&mut self, now: Instant, urgency: u8, organisation: u32) {
        if let Some(tally) = self.tallies.get_mut(&(urgency, organisation)) {
            tally.granted.add(now, MEMORY);
        }
    }

    /// Standing of an organisation among those with requests of the same urgency.
    #[must_use]
    pub fn standing(&self, now: Instant, urgency: u8, organisation: u32) -> Standing {
        let Some(tally) = self.tallies.get(&(urgency, organisation)) else {
            return Standing::Satisfied;
        };
        let class = || self.tallies.range((urgency, 0)..=(urgency, u32::MAX));
        let mut demands: Vec<f64> = class().map(|(_, tally)| tally.asked(now)).collect();
        let granted: f64 = class().map(|(_, tally)| tally.granted(now)).sum();
        let is_only = demands.len() < 2;
        let level = max_min_level(&mut demands, granted * CAPACITY_FRACTION);
        if is_only || tally.asked(now) <= level {
            Standing::Satisfied
        } else if tally.granted(now) < level {
            Standing::Short
        } else {
            Standing::Over
        }
    }

    /// Number of organisations with counts; one with requests of several urgencies counts for each.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tallies.len()
    }

    /// Whether no organisation has counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tallies.is_empty()
    }

    /// Drops the organisations whose counts have decayed.
    pub fn expire(&mut self, now: Instant) {
        self.tallies.retain(|_, tally| tally.asked(now) >= MIN_ASKED);
    }

    /// Makes room for one more organisation.
    fn make_room(&mut self, now: Instant) {
        if self.tallies.len() < MAX_ORGANISATIONS {
            return;
        }
        self.expire(now);
        let asked = |tally: &Tally| tally.asked.value(now, MEMORY);
        let least =
            self.tallies.iter().min_by(|(_, one), (_, other)| asked(one).total_cmp(&asked(other)));
        let least = least.map(|(organisation, _)| *organisation);
        if let Some(least) = least.filter(|_| self.tallies.len() >= MAX_ORGANISATIONS) {
            self.tallies.remove(&least);
        }
    }
}

/// Largest share of any demand when `capacity` is divided max-min fairly.
fn max_min_level(demands: &mut [f64], capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in demands.iter().enumerate() {
        let equal = left / (demands.len() - index) as f64;
        if *demand >= equal {
            return equal;
        }
        left -= demand;
    }
    f64::INFINITY
}
