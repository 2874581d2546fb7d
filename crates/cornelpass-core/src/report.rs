//! Reports that each router sends to all other routers, up to ten times a second.
//!
//! A report identifies targets and contents by short hashes and leaves out zero values, so that it
//! is some tens of bytes long. The more routers there are, the less often each of them reports, so
//! that the regular reports of one router stay within [`MAX_BYTES_PER_SECOND`]. Pollers report more
//! often, an urgent change does not wait for the next regular report, and no router reports less
//! often than once in [`MAX_PERIOD`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::digest;
use crate::fleet::{Row, State};

/// Bytes a second that the regular reports of one router to all others may take: the users' goal
/// for control traffic.
pub const MAX_BYTES_PER_SECOND: u32 = 4096;

/// Shortest time between two reports.
pub const MIN_PERIOD: Duration = Duration::from_millis(100);

/// Longest time between two reports.
///
/// Changes that have to be known sooner come from pollers ([`crate::fleet::polling`]), and loads
/// come from accountants ([`crate::accounting`]).
pub const MAX_PERIOD: Duration = Duration::from_secs(8);

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Maximum number of suspected contents, and of departures, in one report.
pub const MAX_LIST_LENGTH: usize = 32;

/// Short hash of a target's name, by which messages identify the target.
#[must_use]
pub fn short_hash(target: &str) -> u32 {
    (digest::key(target) >> 32) as u32
}

/// Cache entry: a target has processed a prefix of a prompt, and may have it in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CacheEntry {
    /// Short hash of the prefix, which is a part of the prompt with all parts before it.
    pub part: u32,
    /// Short hash of the target's name.
    pub target: u32,
}

/// Maximum number of cache entries in one report to `others` routers.
///
/// Cache entries save processing but no bound depends on them. So they get a smaller part of the
/// permitted bytes, the more routers there are.
#[must_use]
pub fn max_cache_entries(others: usize) -> usize {
    CACHE_ENTRIES_PER_PERIOD / others.max(MIN_RECEIVERS)
}

/// Cache entries that one router sends in each period, summed over all receivers.
const CACHE_ENTRIES_PER_PERIOD: usize = 96;

/// Smallest number of receivers by which [`CACHE_ENTRIES_PER_PERIOD`] is divided.
const MIN_RECEIVERS: usize = 4;

/// Announcement that a target's row on the platform has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Number of the change at the announcing router, from 1.
    pub number: u32,
    /// Name of the target.
    pub name: String,
    /// Revision of the row.
    pub revision: u64,
    /// New state of the row.
    pub entry: Entry,
}

/// New state of a row on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The target accepts new requests, with this row.
    Row(Row),
    /// The target is about to stop; the rest of its row has not changed.
    Leaving,
    /// The row was removed.
    Removed,
}

impl Entry {
    /// State to announce; `row` is none if it was removed.
    #[must_use]
    pub fn from_row(row: Option<Row>) -> Self {
        match row {
            Some(row) if row.state == State::Ready => Self::Row(row),
            Some(_) => Self::Leaving,
            None => Self::Removed,
        }
    }

    /// Size in a report, in quarters of a row.
    #[must_use]
    pub const fn size(&self) -> usize {
        match self {
            Self::Row(_) => 4,
            Self::Leaving | Self::Removed => 1,
        }
    }
}

/// Range of platform revisions in which a router has numbered all changes of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Revision after which all changes have numbers.
    pub from: u64,
    /// Last revision that the router has read; later changes are not known yet.
    pub to: u64,
}

/// Announcement that a target is about to stop, by the headers of its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Short hash of the target's name.
    pub target: u32,
    /// Start time of the target, in milliseconds since 1970; 0 if it is not known.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// Largest sum of [`Entry::size`] in one report, in quarters of a row: six whole rows.
pub const MAX_CHANGES_SIZE: usize = 24;

/// Largest value of [`Report::listed_ms`], in milliseconds; it stands for any greater or unknown
/// age.
pub const MAX_AGE_MS: u16 = u16::MAX;

/// Report of one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Random number of the process; a new one shows a restart.
    pub incarnation: u32,
    /// Sequence number of the report within the process.
    pub sequence: u32,
    /// Version of the active configuration.
    pub version: u64,
    /// Highest revision of the operators' configuration that this router knows.
    #[serde(rename = "orders")]
    pub operator_revision: u64,
    /// Whether the router is about to stop.
    pub leaving: bool,
    /// Empty. Routers of older releases list digests of contents that crash targets here, which are
    /// ignored; see [`crate::quarantine`].
    #[serde(rename = "contents")]
    pub suspects: Vec<u64>,
    /// New cache entries of targets since the last report.
    #[serde(rename = "reads")]
    pub cache_entries: Vec<CacheEntry>,
    /// Time since the platform last responded to this router with the targets, in milliseconds.
    ///
    /// [`MAX_AGE_MS`] if this time is greater or unknown.
    pub listed_ms: u16,
    /// Number of the last change that this router has read from the platform.
    #[serde(rename = "changed")]
    pub last_change: u32,
    /// Changes that this router has recently read from the platform.
    pub changes: Vec<Change>,
    /// Range of platform revisions in which this router has numbered all changes; none if it is not
    /// a poller.
    pub span: Option<Span>,
    /// Targets that have recently announced in their responses that they are about to stop.
    pub departures: Vec<Departure>,
}

/// Time between two reports of `length` bytes each to `others` routers.
///
/// Between [`MIN_PERIOD`] and [`MAX_PERIOD`].
#[must_use]
pub fn period(length: usize, others: usize) -> Duration {
    let bytes = (length + HEADER_BYTES).saturating_mul(others);
    #[expect(clippy::cast_precision_loss, reason = "reports are short")]
    let seconds = bytes as f64 / f64::from(MAX_BYTES_PER_SECOND);
    Duration::from_secs_f64(seconds).clamp(MIN_PERIOD, MAX_PERIOD)
}
