//! Fair sharing: how much of a target's load one organisation may use while other organisations
//! use the same target.
//!
//! The limit of an organisation always applies. Shares apply only on a contended target: its load
//! with the new request would be above [`CONTENDED_PERCENT`] of its bound and above
//! [`IDLE_PERCENT`] of its limit. The second condition is needed because a low bound means that
//! the mean load is low, not that the target is busy. A request of an organisation that has no load
//! on the target is never refused because of the share.
//!
//! On a contended target, an organisation may use a part of the bound in proportion to its weight
//! among the organisations that were recently active on the target. While some organisations in
//! service are inactive, the share of the one with the largest weight stays free, so that an
//! organisation that becomes active finds capacity. As with the bound, the organisation's load
//! without the new request is compared with its share, so the load may exceed the share by at most
//! the cost of one request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::table::Organisation;

/// Load above which shares apply, in percent of the bound, if the load is also above
/// [`IDLE_PERCENT`].
pub const CONTENDED_PERCENT: u32 = 75;

/// Load up to which shares never apply, in percent of the target's limit.
pub const IDLE_PERCENT: u32 = 50;

/// Time for which an organisation counts as active after its last request for admission.
pub const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// Whether a request fits an organisation's limit and share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The request is within the limit and the share.
    Within,
    /// The request would exceed the limit, or the organisation has used up its share.
    Over,
    /// The organisation is unknown or out of service.
    Unknown,
}

/// Load of a target and the limits of that load, in units of load.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Cost of the admitted requests.
    pub load: u32,
    /// Load that the target may reach at present.
    pub bound: u32,
    /// Configured maximum load.
    pub limit: u32,
}

impl Capacity {
    /// Load above which shares apply.
    fn contention_threshold(self) -> u32 {
        percent_of(self.bound, CONTENDED_PERCENT).max(percent_of(self.limit, IDLE_PERCENT))
    }
}

/// Configuration and current use of one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    weight: u32,
    limit: u32,
    in_service: bool,
    load: u32,
    last_request: Option<Instant>,
}

impl Usage {
    fn is_active(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < ACTIVE_PERIOD;
        self.load > 0 || self.last_request.is_some_and(recent)
    }
}

/// Use of one target by each organisation.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    usages: BTreeMap<String, Usage>,
}

impl Shares {
    /// Applies the organisations of a new configuration.
    ///
    /// An organisation that is no longer configured stays, out of service, while it has load.
    pub fn configure(&mut self, organisations: &BTreeMap<String, Organisation>) {
        self.usages.retain(|name, usage| usage.load > 0 || organisations.contains_key(name));
        self.usages.values_mut().for_each(|usage| usage.in_service = false);
        for (name, row) in organisations {
            let usage = self.usages.entry(name.clone()).or_default();
            usage.weight = row.weight;
            usage.limit = row.limit;
            usage.in_service = row.in_service;
        }
    }

    /// Decides whether an organisation may add a request of the given cost, in units of load.
    ///
    /// An organisation without load on the target is only held to its limit.
    pub fn check(&mut self, now: Instant, name: &str, cost: u32, capacity: Capacity) -> Fit {
        let Some(usage) = self.usages.get_mut(name).filter(|usage| usage.in_service) else {
            return Fit::Unknown;
        };
        usage.last_request = Some(now);
        let usage = *usage;
        if usage.load.saturating_add(cost) > usage.limit {
            return Fit::Over;
        }
        if usage.load == 0 || capacity.load.saturating_add(cost) <= capacity.contention_threshold()
        {
            return Fit::Within;
        }
        if usage.load < self.share(now, usage.weight, capacity.bound) {
            Fit::Within
        } else {
            Fit::Over
        }
    }

    /// Adds to an organisation's load, in units of load.
    pub fn add(&mut self, name: &str, cost: u32) {
        if let Some(usage) = self.usages.get_mut(name) {
            usage.load = usage.load.saturating_add(cost);
        }
    }

    /// Subtracts from an organisation's load, in units of load.
    pub fn remove(&mut self, name: &str, cost: u32) {
        if let Some(usage) = self.usages.get_mut(name) {
            usage.load = usage.load.saturating_sub(cost);
        }
    }

    /// Load of an organisation, in units of load.
    #[must_use]
    pub fn load(&self, name: &str) -> u32 {
        self.usages.get(name).map_or(0, |usage| usage.load)
    }

    /// Share of a bound for a weight, among the active organisations and the inactive organisation
    /// with the largest weight.
    fn share(&self, now: Instant, weight: u32, bound: u32) -> u32 {
        let (mut active_weight, mut reserved_weight) = (0_u64, 0_u64);
        for usage in self.usages.values() {
            if usage.is_active(now) {
                active_weight += u64::from(usage.weight);
            } else if usage.in_service {
                reserved_weight = reserved_weight.max(u64::from(usage.weight));
            }
        }
        let share = u64::from(bound) * u64::from(weight) / (active_weight + reserved_weight).max(1);
        u32::try_from(share).unwrap_or(u32::MAX)
    }
}

fn percent_of(value: u32, percent: u32) -> u32 {
    u32::try_from(u64::from(value) * u64::from(percent) / 100).unwrap_or(u32::MAX)
}
