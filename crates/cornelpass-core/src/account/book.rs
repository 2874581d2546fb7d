//! What an accountant has been told of the work at targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::message::{Line, Stamp};
use crate::fleet::health::Count;

/// Time for which a line counts that is not told again.
///
/// Over twice [`super::accountant::REFRESH`], so that one lost message does no harm; what a router had in
/// progress that fell silent counts for as long.
pub const LIFETIME: Duration = Duration::from_millis(2_300);

/// What one router told of a target.
#[derive(Clone, Copy, Debug)]
struct Entry {
    stamp: Stamp,
    line: Line,
    at: Instant,
}

impl Entry {
    fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < LIFETIME
    }
}

/// Work of several routers at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Requests in progress.
    pub load: u32,
    /// Requests that failed or ended within the window.
    pub count: Count,
}

/// Lines of all routers, by target.
#[derive(Clone, Debug, Default)]
pub struct Book {
    pages: BTreeMap<u32, BTreeMap<SocketAddr, Entry>>,
}

impl Book {
    /// Takes what a router told, unless something later of the same process is known.
    pub fn note(&mut self, now: Instant, router: SocketAddr, stamp: Stamp, line: Line) {
        let page = self.pages.entry(line.target).or_default();
        let known = page.get(&router).map(|entry| entry.stamp);
        let late = known.is_some_and(|known| {
            known.incarnation == stamp.incarnation && known.number >= stamp.number
        });
        if !late {
            page.insert(router, Entry { stamp, line, at: now });
        }
    }

    /// Work at a target of all routers but one.
    #[must_use]
    pub fn others(&self, now: Instant, target: u32, router: SocketAddr) -> Sum {
        let entries = self.pages.get(&target).into_iter().flatten();
        let others = entries.filter(|(other, entry)| **other != router && entry.counts(now));
        others.fold(Sum::default(), |sum, (_, Entry { line, .. })| Sum {
            load: sum.load + u32::from(line.load),
            count: sum
                .count
                .plus(Count { failed: u32::from(line.failed), ended: u32::from(line.ended) }),
        })
    }

    /// Drops lines that do not count any more.
    pub fn expire(&mut self, now: Instant) {
        self.pages.retain(|_, page| {
            page.retain(|_, entry| entry.counts(now));
            !page.is_empty()
        });
    }
}
