//! The load bound of a target: a target whose load has reached its bound accepts no new request.
//!
//! The bound is a multiple of the mean load per unit of weight, times the weight of the target. It
//! is at least the policy's load floor, also times the weight, and at most the target's limit.
//!
//! Each router computes the mean from the reports that it holds, and sends the mean together with
//! its age. The bound uses the lower median of the samples that are still live, so a minority of
//! routers with a wrong list of targets cannot set it. The method follows Mirrokni, Thorup and
//! Zadimoghaddam, "Consistent Hashing with Bounded Loads" (2016), with costs and weights in place
//! of unit loads.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{MILLI, Mean};
use crate::table::{Policy, Target};

/// Age above which a sample of the mean load is ignored.
///
/// The age is that of the oldest report in the sample.
pub const SAMPLE_LIFETIME: Duration = Duration::from_secs(3);

/// Maximum number of routers of which a sample is kept.
pub const ROUTER_LIMIT: usize = 1024;

/// The mean load as one router computed it.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Load per weight, in thousandths of a unit of load.
    milli: u64,
    received_at: Instant,
    /// Age of the oldest report in the mean, at the time of receipt.
    report_age: Duration,
}

impl Sample {
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) + self.report_age <= SAMPLE_LIFETIME
    }
}

/// Load bound of one target.
#[derive(Clone, Debug, Default)]
pub struct Bound {
    multiple_percent: u32,
    floor: u32,
    weight: u32,
    limit: u32,
    /// Latest sample of each router.
    samples: BTreeMap<String, Sample>,
}

impl Bound {
    /// Applies the target's row and the policy of a new configuration.
    pub const fn configure(&mut self, target: &Target, policy: &Policy) {
        self.multiple_percent = policy.load_multiple_percent;
        self.floor = policy.load_floor;
        self.weight = target.weight;
        self.limit = target.limit;
    }

    /// Records a router's sample of the mean load, and drops samples that are too old.
    ///
    /// Beyond [`ROUTER_LIMIT`] the oldest sample is dropped.
    pub fn record_mean(&mut self, now: Instant, router: &str, mean: Mean) {
        let report_age = Duration::from_millis(u64::from(mean.age_ms));
        let sample = Sample { milli: mean.milli, received_at: now, report_age };
        self.samples.insert(router.to_owned(), sample);
        self.samples.retain(|_, sample| sample.is_live(now));
        if self.samples.len() > ROUTER_LIMIT {
            let oldest = self.samples.iter().min_by_key(|(_, sample)| sample.received_at);
            if let Some(router) = oldest.map(|(router, _)| router.clone()) {
                self.samples.remove(&router);
            }
        }
    }

    /// Lower median of the live samples, in thousandths of a unit of load per weight.
    ///
    /// None if no sample is live.
    #[must_use]
    pub fn mean(&self, now: Instant) -> Option<u64> {
        let live = self.samples.values().filter(|sample| sample.is_live(now));
        let mut means: Vec<u64> = live.map(|sample| sample.milli).collect();
        let middle = means.len().checked_sub(1)? / 2;
        Some(*means.select_nth_unstable(middle).1)
    }

    /// Load that the target may reach at present, in units of load.
    ///
    /// Without a live sample, the bound is the highest mean load whose multiple does not exceed the
    /// limit, but at least the floor.
    #[must_use]
    pub fn current(&self, now: Instant) -> u32 {
        let floor = u64::from(self.floor) * u64::from(self.weight);
        let bound = match self.mean(now) {
            Some(mean_milli) => self.bound_for(mean_milli),
            None => u64::from(self.limit) * 100 / u64::from(self.multiple_percent.max(100)),
        };
        u32::try_from(floor.max(bound)).unwrap_or(u32::MAX).min(self.limit)
    }

    /// Configured maximum load of the target, in units of load.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether a request of the given cost may be added to a load, all in units of load.
    ///
    /// The load without the request must be below the bound, and the load with the request must
    /// not exceed the limit. The load may therefore exceed the bound by less than the cost of one
    /// request, and never exceeds the limit.
    #[must_use]
    pub const fn fits(&self, bound: u32, load: u32, cost: u32) -> bool {
        load < bound && load.saturating_add(cost) <= self.limit
    }

    /// Bound for a mean, without the floor and the limit.
    fn bound_for(&self, mean_milli: u64) -> u64 {
        let percent = u64::from(self.multiple_percent);
        mean_milli
            .saturating_mul(percent)
            .saturating_mul(u64::from(self.weight))
            .div_ceil(100 * MILLI)
    }
}
