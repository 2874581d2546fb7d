//! Aggregates the usage that routers have reported for each target.
//!
//! The accountant of a target keeps the latest report of each router, ordered by the stamp of the
//! message, and sums the reports that are still valid.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::message::{Stamp, Usage};
use crate::fleet::health::Count;

/// Time for which a usage report counts if it is not repeated.
///
/// More than twice [`super::accountant::USAGE_REPORT_INTERVAL`], so that one lost message does not
/// remove a router's usage. The requests of a router that has become unresponsive count for the
/// same time.
pub const USAGE_LIFETIME: Duration = Duration::from_millis(2_300);

/// Latest usage of a target by one router.
#[derive(Clone, Copy, Debug)]
struct Record {
    stamp: Stamp,
    usage: Usage,
    received: Instant,
}

impl Record {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) < USAGE_LIFETIME
    }
}

/// Usage of one target by several routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TotalUsage {
    /// Requests in progress.
    pub load: u32,
    /// Requests that failed or ended within [`crate::fleet::health::FAILURE_WINDOW`].
    pub count: Count,
}

/// Usage reported by all routers, by target.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    /// By the short hash of the target, then by the router.
    records: BTreeMap<u32, BTreeMap<SocketAddr, Record>>,
}

impl Aggregator {
    /// Records the usage of a target by a router.
    ///
    /// Ignores a message that is not newer than the last one of the same process.
    pub fn record(&mut self, now: Instant, router: SocketAddr, stamp: Stamp, usage: Usage) {
        let routers = self.records.entry(usage.target).or_default();
        let known = routers.get(&router).map(|record| record.stamp);
        let late = known.is_some_and(|known| {
            known.incarnation == stamp.incarnation && known.number >= stamp.number
        });
        if !late {
            routers.insert(router, Record { stamp, usage, received: now });
        }
    }

    /// Usage of a target by all routers except one.
    #[must_use]
    pub fn sum_excluding(&self, now: Instant, target: u32, router: SocketAddr) -> TotalUsage {
        let records = self.records.get(&target).into_iter().flatten();
        let others = records.filter(|(other, record)| **other != router && record.is_valid(now));
        others.fold(TotalUsage::default(), |sum, (_, Record { usage, .. })| TotalUsage {
            load: sum.load + u32::from(usage.load),
            count: sum
                .count
                .plus(Count { failed: u32::from(usage.failed), ended: u32::from(usage.ended) }),
        })
    }

    /// Number of routers that have asked about a target or reported their usage of it lately.
    #[must_use]
    pub fn reporter_count(&self, now: Instant, target: u32) -> usize {
        let records = self.records.get(&target).into_iter().flatten();
        records.filter(|(_, record)| record.is_valid(now)).count()
    }

    /// Removes the usage that has exceeded [`USAGE_LIFETIME`].
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, routers| {
            routers.retain(|_, record| record.is_valid(now));
            !routers.is_empty()
        });
    }
}
