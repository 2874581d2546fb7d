//! Quarantine of requests that crash targets.
//!
//! A request is recognised by its [`Feature`]s: its content, and the shared parts of its prompt. A
//! part may crash every target that responds to it, while the requests with it differ in everything
//! else. The routers exchange the crashes that they observe ([`bulletin`]), so that each of them
//! judges all crashes of the fleet ([`evidence`]).
//!
//! A feature with a sequence of [`SEQUENCE_LIMIT`] crashes is suspect. Other features may have been
//! in all these crashes as well, for example the document that a crashing part is always sent with.
//! Nothing shows yet which of them is the cause. So they are quarantined as a group: only requests
//! with all features of the group are refused. Requests with some of them still run, and their
//! complete responses remove these features from the group, until only the cause is left.
//!
//! If all requests of a service crash its targets, their parts are not the cause. So a group without
//! a content is quarantined only if some request was completed since the sequence began.
//!
//! A quarantine ends with a complete response to a request that has all features of the group, which
//! was in progress when the quarantine started, or after [`QUARANTINE_TIME`].

pub mod bulletin;
pub mod evidence;
pub mod feature;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use self::bulletin::{Bulletin, Clearance, Group, age_ms, time_of};
use self::evidence::{Crash, Evidence};
use self::feature::Feature;

/// Length of a sequence of crashes that makes a feature suspect.
pub const SEQUENCE_LIMIT: usize = 3;

/// Time from the first crash of a sequence to the end of the quarantine.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3600);

/// Time for which crashes and clearances are reported: longer than the longest time between two
/// reports.
const REPORTING_TIME: Duration = Duration::from_secs(10);

/// Maximum number of features in a group.
///
/// Requests with more features in common are too much alike to tell what the cause is.
const GROUP_SIZE_LIMIT: usize = 8;

/// Maximum number of groups in quarantine, the latest ones.
const GROUP_CAPACITY: usize = 32;

/// Change of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Requests with all these features are refused from now on.
    Quarantined(Vec<Feature>),
    /// A request with all remaining features of a group got a complete response.
    Released(Vec<Feature>),
}

/// Suspects and quarantined groups of a router.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    evidence: Evidence,
    /// Time of the first crash that each group was in, by its features in ascending order.
    groups: BTreeMap<Vec<Feature>, Instant>,
    /// Last complete response to any request of this router.
    last_response: Option<Instant>,
    /// Whether a suspect part waits for a complete response to any request.
    awaits_response: bool,
    /// Features that this router cleared, and when, for the next bulletins.
    clearances: VecDeque<(Instant, Feature)>,
    /// Changes until the caller takes them.
    changes: Vec<Change>,
    /// Whether the other routers should get the next bulletin at once.
    bulletin_due: bool,
}

impl Quarantine {
    /// Time until a request with these features may run; none if it may run now.
    ///
    /// `features` are in any order.
    #[must_use]
    pub fn remaining(&self, now: Instant, features: &[Feature]) -> Option<Duration> {
        let matching = self.groups.iter().filter(|(group, _)| is_subset(group, features));
        let remaining = matching.map(|(_, since)| remaining_time(now, *since)).max()?;
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Records a crash that this router observed at `at`, with the features of its requests in
    /// progress there and the times at which they were sent.
    pub fn record_crash(
        &mut self,
        at: Instant,
        target: u32,
        features: impl IntoIterator<Item = (Feature, Instant)>,
    ) {
        let mut last_sent: BTreeMap<Feature, Instant> = BTreeMap::new();
        for (feature, sent_at) in features {
            let last = last_sent.entry(feature).or_insert(sent_at);
            *last = sent_at.max(*last);
        }
        self.bulletin_due = true;
        self.apply_crash(at, Crash { target, at, observed: true, features: last_sent });
    }

    /// Records a complete response to a request of this router.
    pub fn record_response(&mut self, now: Instant, features: &[Feature]) {
        self.last_response = Some(now);
        for feature in features {
            let crashes = self.evidence.count(*feature);
            // The content of a request seldom occurs again, so it is kept only if it is suspect.
            if crashes > 0 || matches!(feature, Feature::Part(_)) {
                self.clear(now, *feature, now, true);
            }
        }
        if std::mem::take(&mut self.awaits_response) {
            for feature in self.evidence.features_in_crashes(SEQUENCE_LIMIT) {
                self.evaluate(now, feature);
            }
        }
    }

    /// Applies the bulletin of another router.
    pub fn apply(&mut self, now: Instant, bulletin: &Bulletin) {
        for clearance in &bulletin.clearances {
            self.clear(now, clearance.feature, time_of(now, clearance.age_ms), false);
        }
        for crash in &bulletin.crashes {
            let at = time_of(now, crash.age_ms);
            let sent =
                |(feature, running_ms): &(Feature, u32)| (*feature, time_of(at, *running_ms));
            let features = crash.features.iter().map(sent).collect();
            self.apply_crash(now, Crash { target: crash.target, at, observed: false, features });
        }
        self.apply_groups(now, &bulletin.groups);
    }

    /// Quarantines groups that another router, or an earlier process, has quarantined.
    pub fn apply_groups(&mut self, now: Instant, groups: &[Group]) {
        for group in groups {
            let since = time_of(now, group.age_ms);
            let is_cleared = |feature: &Feature| {
                self.evidence.last_response(*feature).is_some_and(|at| at >= since)
            };
            let features =
                group.features.iter().copied().filter(|feature| !is_cleared(feature)).collect();
            self.insert_group(now, features, since);
        }
    }

    /// Groups in quarantine, in the order of their features.
    #[must_use]
    pub fn groups(&self, now: Instant) -> Vec<Group> {
        let active =
            self.groups.iter().filter(|(_, since)| !remaining_time(now, **since).is_zero());
        active
            .map(|(features, since)| Group {
                features: features.clone(),
                age_ms: age_ms(now, *since),
            })
            .collect()
    }

    /// Next bulletin for the other routers; none if there is nothing to tell.
    #[must_use]
    pub fn bulletin(&mut self, now: Instant) -> Option<Bulletin> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORTING_TIME;
        self.clearances.retain(|(at, _)| is_recent(*at));
        self.groups.retain(|_, since| !remaining_time(now, *since).is_zero());
        let clearances = self.clearances.iter().rev().take(bulletin::MAX_CLEARANCES);
        let clearances = clearances
            .map(|(at, feature)| Clearance { feature: *feature, age_ms: age_ms(now, *at) })
            .collect();
        let mut free = bulletin::MAX_CRASH_FEATURES;
        let mut crashes = Vec::new();
        for crash in self.evidence.observed().take_while(|crash| is_recent(crash.at)) {
            let features = self.features_to_report(crash, free);
            free -= features.len();
            let (target, age_ms) = (crash.target, age_ms(now, crash.at));
            if !features.is_empty() {
                crashes.push(bulletin::Crash { target, age_ms, features });
            }
        }
        let bulletin = Bulletin { crashes, clearances, groups: self.groups_to_report(now) };
        (!bulletin.is_empty()).then_some(bulletin)
    }

    /// Whether the other routers should get the next bulletin at once; resets this state.
    pub fn take_bulletin_due(&mut self) -> bool {
        std::mem::take(&mut self.bulletin_due)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Features of a crash for a bulletin, those in the most crashes first, and among these those
    /// that were sent last.
    fn features_to_report(&self, crash: &Crash, limit: usize) -> Vec<(Feature, u32)> {
        let mut features: Vec<(Feature, Instant)> =
            crash.features.iter().map(|(feature, sent_at)| (*feature, *sent_at)).collect();
        features.sort_by_key(|(feature, sent_at)| {
            std::cmp::Reverse((self.evidence.count(*feature), *sent_at))
        });
        let limited = features.into_iter().take(limit);
        limited.map(|(feature, sent_at)| (feature, age_ms(crash.at, sent_at))).collect()
    }

    /// Groups for a bulletin, the latest first.
    fn groups_to_report(&self, now: Instant) -> Vec<Group> {
        let mut groups = self.groups(now);
        groups.sort_by_key(|group| group.age_ms);
        let mut free = bulletin::MAX_GROUP_FEATURES;
        let fitting = groups.into_iter().take_while(|group| {
            let fits = group.features.len() <= free;
            free = free.saturating_sub(group.features.len());
            fits
        });
        fitting.collect()
    }

    fn apply_crash(&mut self, now: Instant, crash: Crash) {
        let at = crash.at;
        for feature in self.evidence.record_crash(now, crash) {
            let responded_at = self.evidence.last_response(feature).filter(|last| *last >= at);
            match responded_at {
                // The response was earlier than the news of the crash: the other routers do not
                // know of it.
                Some(responded_at) => self.announce_clearance(feature, responded_at),
                None => self.evaluate(now, feature),
            }
        }
    }

    /// Applies a complete response to a request with a feature, of this router or another one.
    fn clear(&mut self, now: Instant, feature: Feature, at: Instant, own: bool) {
        let before = self.evidence.last_response(feature);
        self.evidence.record_response(now, feature, at);
        let last_crash = self.evidence.last_crash(feature);
        let is_news =
            last_crash.is_some_and(|crash| crash < at && before.is_none_or(|at| at < crash));
        if own && is_news {
            self.announce_clearance(feature, at);
        }
        let affected: Vec<(Vec<Feature>, Instant)> = self
            .groups
            .iter()
            .filter(|(group, since)| group.contains(&feature) && **since <= at)
            .map(|(group, since)| (group.clone(), *since))
            .collect();
        for (group, since) in affected {
            self.groups.remove(&group);
            let rest: Vec<Feature> =
                group.iter().copied().filter(|member| *member != feature).collect();
            if rest.is_empty() {
                self.changes.push(Change::Released(group));
            } else {
                self.insert_group(now, rest, since);
            }
        }
    }

    /// Announces that a feature was cleared; at once if it is in several crashes and could be
    /// quarantined elsewhere.
    fn announce_clearance(&mut self, feature: Feature, at: Instant) {
        self.clearances.push_back((at, feature));
        self.bulletin_due |= self.evidence.count(feature) + 1 >= SEQUENCE_LIMIT;
    }

    /// Quarantines the group of a feature if its sequence of crashes is long enough.
    fn evaluate(&mut self, now: Instant, feature: Feature) {
        if self.evidence.count(feature) < SEQUENCE_LIMIT {
            return;
        }
        let sequence = self.evidence.sequence(feature);
        let Some(first) = sequence.first().filter(|_| sequence.len() >= SEQUENCE_LIMIT) else {
            return;
        };
        let group = self.evidence.common_features(&sequence);
        let others_complete = self.last_response.is_some_and(|at| at >= first.at);
        let has_content = group.iter().any(|feature| matches!(feature, Feature::Content(_)));
        let first_at = first.at;
        if !others_complete && !has_content {
            self.awaits_response = true;
        } else if group.len() <= GROUP_SIZE_LIMIT {
            self.insert_group(now, group, first_at);
        }
    }

    /// Quarantines a group, unless one with fewer features covers it; removes the groups that it
    /// covers.
    fn insert_group(&mut self, now: Instant, features: Vec<Feature>, since: Instant) {
        let is_covered = self.groups.keys().any(|group| is_subset(group, &features));
        if features.is_empty() || is_covered || remaining_time(now, since).is_zero() {
            return;
        }
        self.groups.retain(|group, _| !is_subset(&features, group));
        if self.groups.len() >= GROUP_CAPACITY
            && let Some((oldest, _)) = self.groups.iter().min_by_key(|(_, since)| **since)
        {
            let oldest = oldest.clone();
            self.groups.remove(&oldest);
        }
        self.changes.push(Change::Quarantined(features.clone()));
        self.groups.insert(features, since);
    }
}

/// Whether all features of a group are among `features`.
fn is_subset(group: &[Feature], features: &[Feature]) -> bool {
    group.iter().all(|feature| features.contains(feature))
}

/// Time until the quarantine of a group ends whose first crash was at `since`.
fn remaining_time(now: Instant, since: Instant) -> Duration {
    QUARANTINE_TIME.saturating_sub(now.saturating_duration_since(since))
}
