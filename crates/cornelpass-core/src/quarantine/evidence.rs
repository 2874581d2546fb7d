//! Evidence for and against features: crashes of targets, and complete responses.
//!
//! Many requests are in progress when a target crashes, and only one of them is the cause. So one
//! crash proves nothing against a feature. A *sequence* of crashes does: each of them interrupted a
//! request that was sent after the crash before, and no request with the feature got a complete
//! response meanwhile. Targets that crash at the same time, because an instance or a data centre
//! fails, are one step of a sequence only.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::feature::Feature;

/// Maximum difference between the times at which several routers observe one crash.
///
/// A target needs longer to start and crash again.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of crashes that are kept, the latest ones.
const CRASH_CAPACITY: usize = 32;

/// Time for which a crash is kept.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);

/// Smallest number of features with a known response at which old ones are dropped.
const RESPONSE_CAPACITY: usize = 512;

/// Time for which a response with a feature that was in no crash is kept: longer than the news of a
/// crash takes to arrive.
const RESPONSE_LIFETIME: Duration = Duration::from_secs(5);

/// Crash of a target.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Short hash of the target's name.
    pub target: u32,
    /// Earliest time at which a router observed the crash.
    pub at: Instant,
    /// Whether this router observed the crash itself.
    pub observed: bool,
    /// Features of the requests in progress, each with the time at which the last request with it
    /// was sent.
    pub features: BTreeMap<Feature, Instant>,
}

/// Crashes and complete responses.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Crashes in the order of their times.
    crashes: Vec<Crash>,
    /// Number of kept crashes with each feature.
    counts: BTreeMap<Feature, usize>,
    /// Last complete response to a request with each feature.
    responses: BTreeMap<Feature, Instant>,
    /// Number of entries in `responses` at which old ones are dropped.
    response_limit: usize,
}

impl Evidence {
    /// Records a crash, or merges it with what is known of it; returns the features that were not
    /// known to be part of it.
    pub fn record_crash(&mut self, now: Instant, crash: Crash) -> BTreeSet<Feature> {
        self.remove_old(now);
        let is_same = |known: &Crash| {
            let difference = known.at.max(crash.at).duration_since(known.at.min(crash.at));
            known.target == crash.target && difference < SAME_CRASH_WINDOW
        };
        let index = match self.crashes.iter().position(is_same) {
            Some(index) => index,
            None => {
                let index = self.crashes.partition_point(|known| known.at <= crash.at);
                if index == 0 && self.crashes.len() >= CRASH_CAPACITY {
                    return BTreeSet::new();
                }
                let features = BTreeMap::new();
                self.crashes.insert(index, Crash { features, ..crash });
                index
            }
        };
        let known = &mut self.crashes[index];
        known.observed |= crash.observed;
        known.at = crash.at.min(known.at);
        let mut added = BTreeSet::new();
        for (feature, sent_at) in crash.features {
            match known.features.get_mut(&feature) {
                Some(known_sent_at) => *known_sent_at = sent_at.max(*known_sent_at),
                None => {
                    known.features.insert(feature, sent_at);
                    *self.counts.entry(feature).or_default() += 1;
                    added.insert(feature);
                }
            }
        }
        self.crashes.sort_by_key(|crash| crash.at);
        added
    }

    /// Records a complete response to a request with a feature.
    pub fn record_response(&mut self, now: Instant, feature: Feature, at: Instant) {
        if self.responses.len() >= self.response_limit {
            let counts = &self.counts;
            self.responses.retain(|feature, at| {
                counts.contains_key(feature)
                    || now.saturating_duration_since(*at) < RESPONSE_LIFETIME
            });
            // If most of them are recent, the next search must not follow at once.
            self.response_limit = RESPONSE_CAPACITY.max(2 * self.responses.len());
        }
        let last = self.responses.entry(feature).or_insert(at);
        *last = at.max(*last);
    }

    /// Last complete response to a request with a feature.
    #[must_use]
    pub fn last_response(&self, feature: Feature) -> Option<Instant> {
        self.responses.get(&feature).copied()
    }

    /// Number of kept crashes with a feature.
    #[must_use]
    pub fn count(&self, feature: Feature) -> usize {
        self.counts.get(&feature).copied().unwrap_or_default()
    }

    /// Features that are in at least `count` kept crashes.
    #[must_use]
    pub fn features_in_crashes(&self, count: usize) -> Vec<Feature> {
        let features = self.counts.iter().filter(|(_, crashes)| **crashes >= count);
        features.map(|(feature, _)| *feature).collect()
    }

    /// Last crash with a feature.
    #[must_use]
    pub fn last_crash(&self, feature: Feature) -> Option<Instant> {
        let crash = self.crashes.iter().rev().find(|crash| crash.features.contains_key(&feature));
        crash.map(|crash| crash.at)
    }

    /// Crashes that this router observed, the latest first.
    pub fn observed(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().rev().filter(|crash| crash.observed)
    }

    /// The sequence of crashes since the last complete response to a request with the feature.
    #[must_use]
    pub fn sequence(&self, feature: Feature) -> Vec<&Crash> {
        let cleared_at = self.last_response(feature);
        let mut sequence: Vec<&Crash> = Vec::new();
        for crash in &self.crashes {
            let Some(sent_at) = crash.features.get(&feature) else { continue };
            let follows = sequence.last().is_none_or(|last| *sent_at >= last.at);
            if follows && cleared_at.is_none_or(|cleared_at| cleared_at < crash.at) {
                sequence.push(crash);
            }
        }
        sequence
    }

    /// Features that occur in all crashes of a sequence and in no complete response since it began.
    ///
    /// Any of them may be the cause.
    #[must_use]
    pub fn common_features(&self, sequence: &[&Crash]) -> Vec<Feature> {
        let Some((first, rest)) = sequence.split_first() else { return Vec::new() };
        let is_common = |feature: &Feature| {
            let cleared = self.last_response(*feature).is_some_and(|at| at >= first.at);
            !cleared && rest.iter().all(|crash| crash.features.contains_key(feature))
        };
        first.features.keys().copied().filter(is_common).collect()
    }

    /// Removes the crashes that are too old, and the oldest ones above the capacity.
    fn remove_old(&mut self, now: Instant) {
        let is_old = |crash: &Crash| now.saturating_duration_since(crash.at) >= CRASH_LIFETIME;
        let old = self.crashes.iter().take_while(|crash| is_old(crash)).count();
        let excess = self.crashes.len().saturating_sub(CRASH_CAPACITY);
        for crash in self.crashes.drain(..old.max(excess)) {
            for feature in crash.features.into_keys() {
                if let Some(count) = self.counts.get_mut(&feature) {
                    *count -= 1;
                }
            }
        }
        self.counts.retain(|_, count| *count > 0);
    }
}
