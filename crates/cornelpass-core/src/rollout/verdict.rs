//! Sequential comparison of a new version with the old one, and the messages that state the result.
//!
//! Each second of the new version is compared with the seconds around it of the old version, so
//! that a fault of both versions, such as an overload of the service, does not count against the
//! new one. For failures and for slow first answers, overall and by stratum, a cumulative sum adds
//! the logarithm of the likelihood ratio of "a bad version" against "as good as the old one" and
//! never falls below zero, so that a version that turns bad later is found as fast as one that is
//! bad from the start.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Requirements;
use super::evidence::{CLASSES, Counts, Key, Tally, bin_of};
use super::order::State;

/// Message that states the state of a rollout; also a provisional stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Short hash of the service.
    pub service: u32,
    /// Revision of the order.
    pub order: u64,
    /// Short hash of the content of the order.
    pub content: u32,
    /// Time since the order, in milliseconds.
    pub age_ms: u32,
    /// State of the rollout.
    pub state: State,
}

/// Sum at which a version counts as bad in a rollout of [`THRESHOLD_DURATION`].
///
/// The rate of false alarms of one sum is at most about `exp(-THRESHOLD)` for each second.
const THRESHOLD: f64 = 9.0;

/// Increase of the threshold for a stratum, whose few answers of the old version say less about a
/// fault of both versions than those of all strata.
const STRATUM_INCREASE: f64 = 1.5;

/// Duration of a rollout for [`THRESHOLD`]; a longer one has more chances for a false alarm, so
/// that the threshold rises by the logarithm of the duration.
const THRESHOLD_DURATION: Duration = Duration::from_secs(12);

/// Fraction of the threshold above which a version is not accepted.
const DOUBT: f64 = 0.75;

/// Smallest share of failures, and of slow answers, that is assumed for the old version.
const MIN_SHARE: f64 = 0.01;

/// Increase of the share at which a version counts as bad.
const BAD_INCREASE: f64 = 0.08;

/// Multiple of the share at which a version counts as bad, for large shares.
const BAD_MULTIPLE: f64 = 3.0;

/// Largest share that is assumed for a bad version.
const MAX_SHARE: f64 = 0.95;

/// Weight, in answers, of all answers of the old version against those of the same seconds.
const TOTAL_WEIGHT: f64 = 30.0;

/// Fewest answers of the old version that say which times are usual in the same seconds; below it,
/// all of its answers are used.
const MIN_COMPARED: u32 = 20;

/// Fewest answers of the old version without which slowness is not judged in a stratum.
const MIN_TIMED: u32 = 8;

/// Number of earlier seconds with which a second is compared; few answers take longer.
const RECENT_BINS: u64 = 3;

/// Share of the old version's answers that are faster than its slow class.
const FAST_SHARE: f64 = 0.9;

/// Number of classes above the 90th percentile of the old version from which an answer is slow:
/// twice as long.
///
/// Versions that are bad are several times slower. Twice the 90th percentile tolerates the
/// differences between targets that carry different loads.
const SLOW_CLASSES: u8 = 2;

/// Fewest answers of the new version for an acceptance.
const MIN_ANSWERS: u32 = 20;

/// Last part of the time until the decision from which there must be answers of the new version.
const RECENT_PART: f64 = 0.3;

/// Fewest answers of the old version in that time for which the new one must have answered as
/// well.
const MIN_RECENT_OLD: u32 = 60;

/// Bad answers at which a version is stopped if they are more than the old version explains.
const STOP_ANSWERS: u32 = 25;

/// Multiple of the bad answers that the old version explains, below which a version is not
/// stopped.
///
/// With 2.0, a good version was stopped in 1 of 200 simulated rollouts with a fault of both versions
/// that lasted two seconds.
const STOP_MULTIPLE: f64 = 3.0;

/// What the evidence says about a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Finding {
    /// Nothing is wrong, and there are enough answers to accept the version.
    Good,
    /// Nothing is wrong, but there are too few answers to accept the version.
    TooFew,
    /// The evidence points to a bad version, but is too weak to reject it before the decision.
    Doubtful,
    /// The version is bad.
    Bad,
}

/// Kind of bad answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Failure,
    Slowness,
}

/// Bad answers of the new version in a second, and the share of the old version.
#[derive(Clone, Copy, Debug)]
struct Sample {
    bad: u32,
    all: u32,
    old_share: f64,
}

/// Progress of the comparison.
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    /// Next bin to compare.
    next: u64,
    /// Cumulative sums, overall (without a stratum) and by stratum.
    sums: BTreeMap<(Kind, Option<u32>), f64>,
    /// Bad answers of the new version so far, and those that the old version explains.
    bad: BTreeMap<Kind, (u32, f64)>,
    found_bad: bool,
}

impl Comparison {
    /// Compares the seconds that have passed.
    ///
    /// A second is compared when the one after it has ended, which the old version's share
    /// includes. `age` counts from when the order was known.
    pub fn advance(&mut self, tally: &Tally, age: Duration, duration: Duration) {
        self.compare_until(tally, bin_of(age).saturating_sub(1), duration);
    }

    /// Compares the seconds before a bin.
    fn compare_until(&mut self, tally: &Tally, end: u64, duration: Duration) {
        while self.next < end {
            self.compare(tally, self.next);
            self.next += 1;
        }
        self.found_bad |= self.suspicion(duration) >= 1.0;
        self.found_bad |= self.bad.values().any(|(bad, explained)| {
            *bad >= STOP_ANSWERS && f64::from(*bad) > STOP_MULTIPLE * explained
        });
    }

    /// Whether the version is bad.
    #[must_use]
    pub const fn is_bad(&self) -> bool {
        self.found_bad
    }

    /// Largest sum so far, relative to the threshold.
    #[must_use]
    pub fn suspicion(&self, duration: Duration) -> f64 {
        let strata = self.sums.keys().filter(|(_, stratum)| stratum.is_some()).count();
        let overall = threshold(duration);
        #[expect(clippy::cast_precision_loss, reason = "some tens of strata")]
        let by_stratum = overall + STRATUM_INCREASE + (strata.max(1) as f64).ln();
        let relative = self
            .sums
            .iter()
            .map(|((_, stratum), sum)| sum / if stratum.is_some() { by_stratum } else { overall });
        relative.fold(0.0, f64::max)
    }

    /// What the evidence says `age` after the order was known, the seconds included that have not
    /// been compared yet.
    #[must_use]
    pub fn finding(&self, tally: &Tally, age: Duration, duration: Duration) -> Finding {
        let mut all = self.clone();
        all.compare_until(tally, bin_of(age) + 1, duration);
        if all.found_bad {
            return Finding::Bad;
        }
        if all.suspicion(duration) >= DOUBT {
            return Finding::Doubtful;
        }
        let total = tally.total().iter().filter(|(key, _)| key.new);
        let (ended, failed) = total.fold((0_u32, 0_u32), |(ended, failed), (_, counts)| {
            (ended + counts.ended, failed + counts.failed)
        });
        let recent = bin_of(age.min(duration).mul_f64(1.0 - RECENT_PART));
        let silent = tally.ended_since(recent, false) >= MIN_RECENT_OLD
            && tally.ended_since(recent, true) == 0;
        if ended - failed.min(ended) < MIN_ANSWERS || silent {
            return Finding::TooFew;
        }
        Finding::Good
    }

    fn compare(&mut self, tally: &Tally, number: u64) {
        let Some(bin) = tally.bin(number) else { return };
        let mut increases: BTreeMap<Kind, f64> = BTreeMap::new();
        let old = OldVersion::new(tally, number);
        for (key, new) in bin.iter().filter(|(key, _)| key.new) {
            for kind in [Kind::Failure, Kind::Slowness] {
                let Some(sample) = old.sample(kind, key.stratum, new) else { continue };
                let increase = sample.log_ratio();
                *increases.entry(kind).or_default() += increase;
                let sum = self.sums.entry((kind, Some(key.stratum))).or_default();
                *sum = (*sum + increase).max(0.0);
                let (bad, explained) = self.bad.entry(kind).or_default();
                *bad += sample.bad;
                *explained += f64::from(sample.all) * sample.old_share;
            }
        }
        for (kind, increase) in increases {
            let sum = self.sums.entry((kind, None)).or_default();
            *sum = (*sum + increase).max(0.0);
        }
    }
}

/// Bad answers and all answers.
type Ratio = (u32, u32);

/// Answers of the old version in one stratum.
#[derive(Clone, Debug, Default)]
struct OldStratum {
    /// Class above which an answer is slow; none if there are too few answers to say.
    limit: Option<u8>,
    /// Counts of the second that is compared.
    same: Counts,
    /// Counts of that second and the ones before and after it.
    near: Counts,
    /// Counts of the last seconds, in which requests with late answers were sent.
    recent: Counts,
    /// Counts of the whole rollout.
    total: Counts,
}

impl OldStratum {
    fn new(tally: &Tally, number: u64, stratum: u32) -> Self {
        let key = Key { new: false, stratum };
        let near = tally.sum(number.saturating_sub(1), number + 1, key);
        let total = tally.total().get(&key).cloned().unwrap_or_default();
        let usual = if near.timed() >= MIN_COMPARED { &near } else { &total };
        let limit = (usual.timed() >= MIN_TIMED)
            .then(|| (slow_class(usual) + SLOW_CLASSES).min(CLASSES - 2));
        let same = tally.sum(number, number, key);
        let recent = tally.sum(number.saturating_sub(RECENT_BINS), number + 1, key);
        Self { limit, same, near, recent, total }
    }

    /// Bad and all answers among counts.
    fn ratio(&self, kind: Kind, counts: &Counts) -> Ratio {
        match (kind, self.limit) {
            (Kind::Failure, _) => (counts.failed, counts.ended),
            (Kind::Slowness, Some(limit)) => (counts.above(limit), counts.timed()),
            (Kind::Slowness, None) => (0, 0),
        }
    }
}

/// Answers of the old version around the second that is compared.
#[derive(Clone, Debug, Default)]
struct OldVersion {
    strata: BTreeMap<u32, OldStratum>,
}

impl OldVersion {
    fn new(tally: &Tally, number: u64) -> Self {
        let strata = tally.total().keys().map(|key| key.stratum);
        let strata = strata.map(|stratum| (stratum, OldStratum::new(tally, number, stratum)));
        Self { strata: strata.collect() }
    }

    /// Bad answers of the new version in a stratum, next to the share of the old version; none if
    /// they cannot be compared.
    fn sample(&self, kind: Kind, stratum: u32, new: &Counts) -> Option<Sample> {
        let old = self.strata.get(&stratum)?;
        if kind == Kind::Slowness && old.limit.is_none() {
            return None;
        }
        let (bad, all) = old.ratio(kind, new);
        (all > 0).then(|| Sample { bad, all, old_share: self.share(kind, old) })
    }

    /// Share of bad answers of the old version in a stratum, estimated rather too high if there are
    /// few answers.
    ///
    /// It is the largest one of the second itself, the seconds around it and the last seconds: a
    /// fault of both versions begins and ends within a second, and late answers show a fault of the
    /// time when their requests were sent. Few answers are completed by those of the
    /// whole rollout, raised by as much as the share of all strata is raised now.
    fn share(&self, kind: Kind, old: &OldStratum) -> f64 {
        let usual = (usual_share(old.ratio(kind, &old.total)) * self.surge(kind)).min(MAX_SHARE);
        let windows = [&old.same, &old.near, &old.recent].map(|counts| old.ratio(kind, counts));
        windows.map(|ratio| completed_share(ratio, usual)).into_iter().fold(0.0, f64::max)
    }

    /// Share of bad answers in all strata now, as a multiple of that of the whole rollout; at least
    /// 1.
    fn surge(&self, kind: Kind) -> f64 {
        let sum = |counts: fn(&OldStratum) -> &Counts| {
            self.strata.values().fold((0, 0), |(bad, all), old| {
                let ratio = old.ratio(kind, counts(old));
                (bad + ratio.0, all + ratio.1)
            })
        };
        let usual = usual_share(sum(|old| &old.total));
        let windows = [sum(|old| &old.same), sum(|old| &old.near), sum(|old| &old.recent)];
        let shares = windows.map(|ratio| completed_share(ratio, usual) / usual);
        shares.into_iter().fold(1.0, f64::max)
    }
}

/// Share of bad answers over a long time; a half without any answer.
fn usual_share((bad, all): Ratio) -> f64 {
    (f64::from(bad) + 1.0) / (f64::from(all) + 2.0)
}

/// Share of bad answers in a short time, completed by the usual share.
fn completed_share((bad, all): Ratio, usual: f64) -> f64 {
    (f64::from(bad) + TOTAL_WEIGHT * usual) / (f64::from(all) + TOTAL_WEIGHT)
}

/// Sum over all strata at which a version counts as bad.
fn threshold(duration: Duration) -> f64 {
    let chances = duration.as_secs_f64() / THRESHOLD_DURATION.as_secs_f64();
    THRESHOLD + chances.max(1.0).ln()
}

impl Sample {
    /// Logarithm of the likelihood ratio of a bad version against one like the old version.
    fn log_ratio(&self) -> f64 {
        let old = self.old_share.clamp(MIN_SHARE, MAX_SHARE);
        let bad = (old + BAD_INCREASE).max(old * BAD_MULTIPLE).min(f64::midpoint(old, 1.0));
        let good_answers = f64::from(self.all - self.bad.min(self.all));
        f64::from(self.bad) * (bad / old).ln() + good_answers * ((1.0 - bad) / (1.0 - old)).ln()
    }
}

/// Class of the 90th percentile of the times.
fn slow_class(counts: &Counts) -> u8 {
    let limit = f64::from(counts.timed()) * FAST_SHARE;
    let mut sum = 0.0;
    for (class, count) in &counts.times {
        sum += f64::from(*count);
        if sum >= limit {
            return *class;
        }
    }
    CLASSES - 1
}

/// Time from the order to the decision about acceptance.
///
/// It leaves time before the deadline for the write to the platform's store, which may be slow,
/// and otherwise comes as late as possible, so that versions that turn bad later are found.
#[must_use]
pub fn decision_time(duration: Duration, requirements: &Requirements) -> Duration {
    let margin = duration.mul_f64(DECISION_MARGIN_PART).max(MIN_DECISION_MARGIN);
    duration.saturating_sub(margin.min(requirements.rollback).min(duration.mul_f64(0.4)))
}

/// Time between decision and deadline, as a part of the duration of the order.
const DECISION_MARGIN_PART: f64 = 0.1;

/// Shortest time between decision and deadline: three calls of 600 ms that time out.
const MIN_DECISION_MARGIN: Duration = Duration::from_millis(1_900);
