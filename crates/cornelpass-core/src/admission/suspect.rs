//! Detection of request contents that crash targets.
//!
//! A *content* is the content of a request, identified by its digest; all repetitions of a request
//! have the same content. When a target is lost, the crash count of each content in flight on it
//! rises by one. A complete response resets the count. The count gives a [`Level`]. The gateway
//! refuses blocked contents only. The admission controller of a target applies the levels as
//! follows:
//!
//! - One crash: a request is admitted only while no other request with a content of one crash
//!   awaits its first token on the target, and no content with several crashes is in flight there.
//! - Several crashes: a request runs isolated, that is, it is admitted only while no other suspect
//!   or blocked content is in flight on the target.
//! - [`CRASH_LIMIT`] crashes: the content is blocked, and no target admits it. A content is also
//!   blocked at once if it was isolated, or was the only suspect in flight, when a target was lost.
//!
//! Processes exchange crash counts as lists in which a digest occurs once for each crash. A process
//! lists only the crashes that it observed itself. So the lists of several processes are combined
//! by concatenation, and no crash is counted twice because another process repeated it. The
//! receiver raises its count of a content to the number of its digests in the combined list. It
//! does not add the numbers, because the list may include crashes that the receiver itself
//! reported.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::iter;
use std::time::{Duration, Instant};

/// Crash count at which a content is blocked.
pub const CRASH_LIMIT: u32 = 8;

/// Time for which a crash count, or a block, lasts.
///
/// The time starts at the last observed crash, or when a report last raised the count.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(3600);

/// Time for which the observed crashes of a content are reported to other processes.
///
/// The time starts at the last observed crash of the content, or when a report last raised its
/// crash count.
pub const REPORTING_PERIOD: Duration = Duration::from_secs(60);

/// Maximum number of contents of which a crash count is kept.
pub const RECORD_LIMIT: usize = 4096;

/// Maximum number of digests in a list of crashes.
pub const LIST_LIMIT: usize = 256;

/// Level of suspicion against a content, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// No crash is counted since the last complete response.
    Clear,
    /// One crash is counted.
    Suspect,
    /// Several crashes are counted.
    Repeated,
    /// The content is refused by every target.
    Blocked,
}

impl Level {
    /// Whether the content may run, but only with restrictions.
    #[must_use]
    pub const fn is_suspect(self) -> bool {
        matches!(self, Self::Suspect | Self::Repeated)
    }
}

/// Crashes of one content.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// Crash count, including crashes that other processes reported.
    crashes: u32,
    /// Crashes that this process observed.
    observed_crashes: u32,
    /// Time of the last observed crash, of the last rise of the count by a report, or of the
    /// complete response that reset the count.
    updated_at: Instant,
    /// Whether the content had a complete response since the last crash that this process observed.
    ///
    /// If so, crashes reported by other processes only count once they reach [`CRASH_LIMIT`].
    cleared: bool,
}

impl Record {
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.updated_at) < CRASH_LIFETIME
    }

    const fn level(&self) -> Level {
        if self.crashes >= CRASH_LIMIT {
            Level::Blocked
        } else if self.cleared {
            Level::Clear
        } else if self.crashes > 1 {
            Level::Repeated
        } else {
            Level::Suspect
        }
    }
}

/// Crash counts by content.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: BTreeMap<u64, Record>,
}

impl Suspects {
    /// Level of suspicion against a content.
    #[must_use]
    pub fn level(&self, now: Instant, digest: u64) -> Level {
        let record = self.records.get(&digest).filter(|record| record.is_live(now));
        record.map_or(Level::Clear, Record::level)
    }

    /// Counts the loss of a target against the contents that were in flight.
    ///
    /// `isolated` is the content that ran isolated, if there was one. Repeated digests are counted
    /// once.
    pub fn record_loss(&mut self, now: Instant, digests: &[u64], isolated: Option<u64>) {
        let mut digests = digests.to_vec();
        digests.sort_unstable();
        digests.dedup();
        let suspects: Vec<u64> = digests
            .iter()
            .copied()
            .filter(|digest| self.level(now, *digest) != Level::Clear)
            .collect();
        for digest in digests {
            let attributed = isolated.map_or(suspects == [digest], |isolated| isolated == digest);
            self.add_crash(now, digest, attributed);
        }
    }

    /// Resets the crash count of a content that had a complete response; a block stays.
    pub fn reset(&mut self, now: Instant, digest: u64) {
        let record = self.records.get_mut(&digest);
        if let Some(record) = record.filter(|record| record.level().is_suspect()) {
            *record = Record { crashes: 0, observed_crashes: 0, updated_at: now, cleared: true };
        }
    }

    /// Merges the concatenated lists of several processes, which may include this one.
    ///
    /// A digest occurs in the list once for each crash. The count of a content rises to the number
    /// of its digests in the list, if that is higher.
    pub fn merge(&mut self, now: Instant, digests: &[u64]) {
        let mut reported: BTreeMap<u64, u32> = BTreeMap::new();
        for digest in digests {
            *reported.entry(*digest).or_default() += 1;
        }
        for (digest, crashes) in reported {
            let mut record = self.record(now, digest);
            if crashes > record.crashes {
                record.crashes = crashes.min(CRASH_LIMIT);
                record.updated_at = if record.cleared { record.updated_at } else { now };
                self.insert(now, digest, record);
            }
        }
    }

    /// Lists the crashes that this process observed, the contents with the most crashes first, and
    /// among these the latest first.
    ///
    /// A digest occurs once for each crash; the list has at most [`LIST_LIMIT`] digests.
    #[must_use]
    pub fn observed_crashes(&self, now: Instant) -> Vec<u64> {
        let is_recent =
            |record: &Record| now.saturating_duration_since(record.updated_at) < REPORTING_PERIOD;
        let mut recent: Vec<(&u64, &Record)> = self
            .records
            .iter()
            .filter(|(_, record)| record.observed_crashes > 0 && is_recent(record))
            .collect();
        recent.sort_by_key(|(_, record)| {
            (Reverse(record.observed_crashes), now.saturating_duration_since(record.updated_at))
        });
        let crashes = recent.into_iter().flat_map(|(digest, record)| {
            iter::repeat_n(*digest, record.observed_crashes.min(CRASH_LIMIT) as usize)
        });
        crashes.take(LIST_LIMIT).collect()
    }

    /// Counts a crash; one that is attributed to this content alone blocks it at once.
    fn add_crash(&mut self, now: Instant, digest: u64, attributed: bool) {
        let record = self.record(now, digest);
        let added = if attributed { CRASH_LIMIT } else { 1 };
        let earlier = if record.cleared { 0 } else { record.crashes };
        let crashes = (earlier + added).min(CRASH_LIMIT);
        let observed_crashes = (record.observed_crashes + added).min(CRASH_LIMIT);
        self.insert(
            now,
            digest,
            Record { crashes, observed_crashes, updated_at: now, cleared: false },
        );
    }

    /// Live record of a content, or one without crashes.
    fn record(&self, now: Instant, digest: u64) -> Record {
        let empty = Record { crashes: 0, observed_crashes: 0, updated_at: now, cleared: false };
        self.records.get(&digest).filter(|record| record.is_live(now)).copied().unwrap_or(empty)
    }

    /// Stores a record.
    ///
    /// Beyond [`RECORD_LIMIT`] records, drops the expired ones and, if that is not enough, the
    /// oldest of the least suspected ones.
    fn insert(&mut self, now: Instant, digest: u64, record: Record) {
        self.records.insert(digest, record);
        if self.records.len() <= RECORD_LIMIT {
            return;
        }
        self.records.retain(|_, record| record.is_live(now));
        if self.records.len() > RECORD_LIMIT {
            let priority = |record: &Record| (record.level(), record.updated_at);
            let least = self.records.iter().min_by_key(|(_, record)| priority(record));
            if let Some(digest) = least.map(|(digest, _)| *digest) {
                self.records.remove(&digest);
            }
        }
    }
}
