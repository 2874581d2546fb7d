//! Which routers ask the platform for changes of the targets, and what they tell the others.
//!
//! Targets write their entries all the time, so that each call for changes is answered at once. A few
//! routers make these calls often and tell the others what has changed; the others make them seldom,
//! in case they are not told. Who is among the few follows from the reports alone: a router makes
//! them often unless enough others do whose addresses come first.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::{Row, State};
use crate::peers::Peers;
use crate::report::{CHANGE_LIMIT, Change, MAX_AGE_MS};

/// Routers that ask often; one of them may be cut off without being silent.
pub const LOOKOUTS: usize = 2;

/// Age of what a router was told up to which it counts as asking often.
const FRESH: Duration = Duration::from_millis(1_500);

/// Time for which a change is told.
pub const TELL_PERIOD: Duration = Duration::from_millis(2_500);

/// Most changes that are told.
const MEMORY_LIMIT: usize = 256;

/// What this router was told by the platform.
#[derive(Clone, Debug, Default)]
pub struct Lookout {
    listed: Option<Instant>,
    changes: VecDeque<Told>,
    /// Changes so far.
    count: u32,
}

/// A change, and how often it was told.
#[derive(Clone, Debug)]
struct Told {
    at: Instant,
    times: u32,
    change: Change,
}

impl Told {
    /// Whether it takes a target out of use.
    fn is_urgent(&self) -> bool {
        self.change.row.as_ref().is_none_or(|row| row.state == State::Leaving)
    }
}

impl Lookout {
    /// The platform has told of the targets.
    pub const fn listed(&mut self, now: Instant) {
        self.listed = Some(now);
    }

    /// An entry has changed, as the platform told; it has no row if it was removed.
    pub fn changed(&mut self, now: Instant, name: &str, revision: u64, row: Option<Row>) {
        self.changes.retain(|told| told.change.name != name);
        self.count += 1;
        let change = Change { number: self.count, name: name.to_owned(), revision, row };
        self.changes.push_back(Told { at: now, times: 0, change });
        let surplus = self.changes.len().saturating_sub(MEMORY_LIMIT);
        self.changes.drain(..surplus);
    }

    /// Number of the last change.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Changes for the next report: those told least often, first those that take a target out of use.
    pub fn news(&mut self, now: Instant) -> Vec<Change> {
        self.changes.retain(|told| now.saturating_duration_since(told.at) <= TELL_PERIOD);
        let mut order: Vec<&mut Told> = self.changes.iter_mut().collect();
        order.sort_by_key(|told| (told.times, Reverse(told.is_urgent())));
        order.truncate(CHANGE_LIMIT);
        let tell = |told: &mut Told| {
            told.times += 1;
            told.change.clone()
        };
        order.into_iter().map(tell).collect()
    }

    /// Age of what the platform told, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: Instant) -> u16 {
        let age = self.listed.map(|at| now.saturating_duration_since(at).as_millis());
        age.and_then(|age| u16::try_from(age).ok()).unwrap_or(MAX_AGE_MS)
    }
}

/// Whether a router at an address has to ask often.
#[must_use]
pub fn asks_often(now: Instant, own: SocketAddr, peers: &Peers) -> bool {
    before(now, own, peers) < LOOKOUTS
}

/// Whether a router at an address writes what the routers keep on the platform.
#[must_use]
pub fn writes_notes(now: Instant, own: SocketAddr, peers: &Peers) -> bool {
    before(now, own, peers) == 0
}

/// Routers that ask often and come before an address.
fn before(now: Instant, own: SocketAddr, peers: &Peers) -> usize {
    let often = peers.told(now).filter(|(address, age, report)| {
        let age = *age + Duration::from_millis(u64::from(report.listed_ms));
        *address < own && age <= FRESH && !report.leaving
    });
    often.count()
}
