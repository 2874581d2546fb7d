//! Evidence about the two versions of a service: responses, failures and times to first answers.
//!
//! Each router counts its own responses by version and stratum, and sends the absolute numbers
//! with a stamp to the routers that count for the service. A stratum is a route together with
//! whether the target had the shared parts of the prompt in its cache: new targets have cold
//! caches, so their first answers are compared only with those of old targets without the parts.
//!
//! The receiver adds the differences to the second in which they arrive. Old and new counts of the
//! same seconds arrive in the same messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::order::State;
use crate::accounting::message::Stamp;
use crate::digest;

/// Number of classes of times to the first answer.
pub const CLASSES: u8 = 26;

/// Upper limit of the first class; each further one is longer by the square root of 2.
const FIRST_CLASS: Duration = Duration::from_millis(2);

/// Maximum number of lines in one message, so that it fits into one packet of 1,400 bytes.
pub const MAX_LINES: usize = 18;

/// Maximum number of classes in one line, for the same reason.
const MAX_LINE_CLASSES: usize = 20;

/// Length of a bin.
const BIN: Duration = Duration::from_secs(1);

/// Time within which the requests that a target loses count as one failure: the target was lost
/// once, however many requests it had.
const LOSS_PERIOD: Duration = Duration::from_secs(1);

/// Class of a time to the first answer.
#[must_use]
pub fn class_of(time: Duration) -> u8 {
    let ratio = time.as_secs_f64() / FIRST_CLASS.as_secs_f64();
    let class = (2.0 * ratio.max(1.0).log2()).ceil();
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
    let class = class.clamp(0.0, f64::from(CLASSES - 1)) as u8;
    class
}

/// Short hash of a route and of whether the target had the shared parts of the prompt.
#[must_use]
pub fn stratum(route: &str, cached: Option<bool>) -> u32 {
    let class = cached.map_or("plain", |cached| if cached { "cached" } else { "uncached" });
    (digest::pair(digest::key(route), class) >> 32) as u32
}

/// Result of a request at a target, as evidence about the target's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The response was complete and no error; the time is that of its first part.
    Good(Duration),
    /// The target sent an error or an invalid response, after this time.
    Failed(Duration),
    /// The connection to the target was lost during the request.
    Lost,
    /// No answer arrived within a time limit.
    Overdue,
}

/// Absolute counts of one stratum of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Responses, failures included.
    pub ended: u32,
    /// Failures.
    pub failed: u32,
    /// Requests by the class of the time to the first answer.
    pub times: BTreeMap<u8, u32>,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.ended = self.ended.saturating_add(other.ended);
        self.failed = self.failed.saturating_add(other.failed);
        for (class, count) in &other.times {
            let sum = self.times.entry(*class).or_default();
            *sum = sum.saturating_add(*count);
        }
    }

    /// Increase since earlier counts.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let times = self.times.iter().map(|(class, count)| {
            let before = earlier.times.get(class).copied().unwrap_or_default();
            (*class, count.saturating_sub(before))
        });
        Self {
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            times: times.filter(|(_, count)| *count > 0).collect(),
        }
    }

    /// Number of requests with a time to the first answer.
    #[must_use]
    pub fn timed(&self) -> u32 {
        self.times.values().fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Number of requests with a time above a class.
    #[must_use]
    pub fn above(&self, class: u8) -> u32 {
        self.times.range(class.saturating_add(1)..).fold(0, |sum, (_, count)| sum + count)
    }
}

/// Version, old or new, and stratum of a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Whether the count is of the new version.
    pub new: bool,
    /// Stratum.
    pub stratum: u32,
}

/// Absolute counts of one router, as sent to the routers that count for the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Short hash of the service.
    pub service: u32,
    /// Revision of the order.
    pub order: u64,
    /// Short hash of the content of the order.
    pub content: u32,
    /// Time since the order, in milliseconds.
    pub age_ms: u32,
    /// State of the rollout as the sender knows it.
    pub state: State,
    /// Whether the sender asks for the state: it has just started or did not run for a time.
    pub asks: bool,
    /// Incarnation of the sender and number of the message.
    pub stamp: Stamp,
    /// Counts, those that changed last first.
    pub lines: Vec<(Key, Counts)>,
}

/// Counts of this router.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    counts: BTreeMap<Key, Counts>,
    /// Keys whose counts have changed since they were last sent.
    changed: BTreeMap<Key, bool>,
    /// When each target last lost a request.
    losses: BTreeMap<String, Instant>,
}

impl Counter {
    /// Records the result of a request; returns whether it counts as a failure.
    pub fn record(&mut self, now: Instant, key: Key, target: &str, answer: Answer) -> bool {
        let repeated = answer == Answer::Lost
            && self
                .losses
                .get(target)
                .is_some_and(|at| now.saturating_duration_since(*at) < LOSS_PERIOD);
        if repeated {
            return false;
        }
        let counts = self.counts.entry(key).or_default();
        let class = match answer {
            Answer::Good(time) | Answer::Failed(time) => Some(class_of(time)),
            Answer::Overdue => Some(CLASSES - 1),
            Answer::Lost => None,
        };
        if let Some(class) = class {
            *counts.times.entry(class).or_default() += 1;
        }
        let failed = matches!(answer, Answer::Failed(_) | Answer::Lost);
        if answer == Answer::Lost {
            self.losses.insert(target.to_owned(), now);
        }
        counts.ended += 1;
        counts.failed += u32::from(failed);
        self.changed.insert(key, true);
        failed
    }

    /// Whether counts of the new version, or of any version, have changed since they were sent.
    #[must_use]
    pub fn has_changed(&self, new_only: bool) -> bool {
        self.changed.keys().any(|key| key.new || !new_only)
    }

    /// Takes the lines for the next message: the changed counts, those of the new version first.
    ///
    /// Unchanged counts fill up the rest, so that a receiver that missed a message gets them.
    pub fn take_lines(&mut self, turn: u32) -> Vec<(Key, Counts)> {
        let mut keys: Vec<Key> = self.changed.keys().rev().copied().collect();
        let unchanged: Vec<Key> =
            self.counts.keys().filter(|key| !self.changed.contains_key(key)).copied().collect();
        let start = turn as usize * MAX_LINES % unchanged.len().max(1);
        keys.extend(unchanged[start..].iter().chain(&unchanged[..start]));
        keys.truncate(MAX_LINES);
        let lines = keys.iter().map(|key| (*key, truncate(self.counts[key].clone()))).collect();
        self.changed.retain(|key, _| !keys.contains(key));
        lines
    }

    /// All counts.
    #[must_use]
    pub const fn counts(&self) -> &BTreeMap<Key, Counts> {
        &self.counts
    }
}

/// Merges the slowest classes if there are too many for one line.
fn truncate(mut counts: Counts) -> Counts {
    while counts.times.len() > MAX_LINE_CLASSES {
        let Some((_, count)) = counts.times.pop_first() else { break };
        let Some(mut next) = counts.times.first_entry() else { break };
        *next.get_mut() += count;
    }
    counts
}

/// Counts of one second, by version and stratum.
pub type Bin = BTreeMap<Key, Counts>;

/// Counts of all routers that have sent evidence, by the second in which they arrived.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Last stamp and counts of each router.
    routers: BTreeMap<SocketAddr, (Stamp, BTreeMap<Key, Counts>)>,
    /// Bins by the number of seconds since the order was known.
    bins: BTreeMap<u64, Bin>,
    /// Counts of all bins.
    total: Bin,
}

impl Tally {
    /// Adds the counts of a router, `age` after the order was known; ignores old messages.
    pub fn apply(
        &mut self,
        age: Duration,
        router: SocketAddr,
        stamp: Stamp,
        lines: &[(Key, Counts)],
    ) {
        let entry = self.routers.entry(router).or_insert_with(|| (stamp, BTreeMap::new()));
        if entry.0.incarnation != stamp.incarnation {
            // A new process counts from zero; the counts of the one before remain evidence.
            *entry = (stamp, BTreeMap::new());
        } else if entry.0.number > stamp.number {
            return;
        }
        entry.0 = stamp;
        let bin = self.bins.entry(age.as_secs()).or_default();
        for (key, counts) in lines {
            let known = entry.1.entry(*key).or_default();
            let increase = counts.since(known);
            *known = counts.clone();
            bin.entry(*key).or_default().add(&increase);
            self.total.entry(*key).or_default().add(&increase);
        }
    }

    /// Counts of the bins from `first` to `last`.
    #[must_use]
    pub fn sum(&self, first: u64, last: u64, key: Key) -> Counts {
        let mut sum = Counts::default();
        if first <= last {
            for (_, bin) in self.bins.range(first..=last) {
                if let Some(counts) = bin.get(&key) {
                    sum.add(counts);
                }
            }
        }
        sum
    }

    /// Counts of a bin.
    #[must_use]
    pub fn bin(&self, number: u64) -> Option<&Bin> {
        self.bins.get(&number)
    }

    /// Counts of all bins.
    #[must_use]
    pub const fn total(&self) -> &Bin {
        &self.total
    }

    /// Responses of one version in the bins from `first` on.
    #[must_use]
    pub fn ended_since(&self, first: u64, new: bool) -> u32 {
        let bins = self.bins.range(first..).flat_map(|(_, bin)| bin);
        bins.filter(|(key, _)| key.new == new).map(|(_, counts)| counts.ended).sum()
    }
}

/// Bin of a time since the order was known.
#[must_use]
pub const fn bin_of(age: Duration) -> u64 {
    age.as_secs() / BIN.as_secs()
}
