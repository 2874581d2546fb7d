//! What routers tell each other several times a second.
//!
//! A report names targets and contents by short hashes, and leaves out what is zero, so that it is
//! some tens of bytes long. Routers that are many report less often: what one router sends stays
//! within [`BYTES_PER_SECOND`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::digest;
use crate::fleet::{Row, State};

/// Most that one router sends to all others, in bytes a second: the users' aim for control.
pub const BYTES_PER_SECOND: u32 = 4096;

/// Shortest time between two reports.
pub const MIN_PERIOD: Duration = Duration::from_millis(100);

/// Longest time between two reports; what has to be known sooner comes from the few that ask often, and
/// from accountants.
pub const MAX_PERIOD: Duration = Duration::from_secs(8);

/// Bytes of the headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Most suspected targets and contents in one report.
pub const LIST_LIMIT: usize = 32;

/// Short hash of a target's name.
#[must_use]
pub fn short(target: &str) -> u32 {
    (digest::key(target) >> 32) as u32
}

/// A target has read a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Read {
    /// Short hash of the part and all before it.
    pub part: u32,
    /// Short hash of the target.
    pub target: u32,
}

/// Most readings in one report to a number of other routers.
///
/// Readings save work and are not needed for any bound, so that they take a smaller part of what may
/// be sent, the more routers there are.
#[must_use]
pub fn read_limit(others: usize) -> usize {
    READS_TOLD / others.max(LEAST_OTHERS)
}

/// Readings that one router sends in each period, to all others together.
const READS_TOLD: usize = 96;

/// Fewest routers for which these are divided.
const LEAST_OTHERS: usize = 4;

/// A target's entry that has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Number of the change at the router that tells it, from 1.
    pub number: u32,
    /// Name of the target.
    pub name: String,
    /// Revision of the entry.
    pub revision: u64,
    /// What it says now.
    pub entry: Entry,
}

/// What an entry that has changed says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// It takes work, as this says.
    Row(Row),
    /// It is about to stop; the rest is as it was.
    Leaving,
    /// It was removed.
    Removed,
}

impl Entry {
    /// What an entry says, if there is one.
    #[must_use]
    pub fn of(row: Option<Row>) -> Self {
        match row {
            Some(row) if row.state == State::Ready => Self::Row(row),
            Some(_) => Self::Leaving,
            None => Self::Removed,
        }
    }

    /// Length in a report, in parts of [`CHANGES_LENGTH`].
    #[must_use]
    pub const fn length(&self) -> usize {
        match self {
            Self::Row(_) => 4,
            Self::Leaving | Self::Removed => 1,
        }
    }
}

/// Revisions of the platform between which a router has numbered all changes of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Changes after this one have numbers.
    pub from: u64,
    /// Changes after this one are not known yet.
    pub to: u64,
}

/// A target has said in an answer that it is about to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Short hash of the target.
    pub target: u32,
    /// Time of its start in milliseconds since 1970; 0 if it is not known.
    pub born: u64,
}

/// Most that the changed entries in one report are long, by [`Entry::length`]: six whole ones.
pub const CHANGES_LENGTH: usize = 24;

/// Age of what the platform told, as far as it can be told, in milliseconds.
pub const MAX_AGE_MS: u16 = u16::MAX;

/// A report of one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Random number of the process, so that a restart shows.
    pub incarnation: u32,
    /// Number of the report within the process.
    pub sequence: u32,
    /// Version of the configuration in force.
    pub version: u64,
    /// Highest revision of what the operators have written, as far as this router knows.
    pub orders: u64,
    /// Whether the router is about to stop.
    pub leaving: bool,
    /// Contents suspected of crashing targets; one stands once for each strike.
    pub contents: Vec<u64>,
    /// Parts of prompts that targets have read since the last report.
    pub reads: Vec<Read>,
    /// Time since the platform last told this router of the targets, in milliseconds.
    pub listed_ms: u16,
    /// Number of the last change that the platform has told this router.
    pub changed: u32,
    /// Entries that the platform has told this router to have changed a moment ago.
    pub changes: Vec<Change>,
    /// Revisions of the platform between which it has numbered all changes; none if it asks seldom.
    pub span: Option<Span>,
    /// Targets that have said a moment ago that they leave.
    pub departures: Vec<Departure>,
}

/// Time between two reports of a length in bytes, to a number of other routers.
#[must_use]
pub fn period(length: usize, others: usize) -> Duration {
    let bytes = (length + HEADER_BYTES).saturating_mul(others);
    #[expect(clippy::cast_precision_loss, reason = "reports are short")]
    let seconds = bytes as f64 / f64::from(BYTES_PER_SECOND);
    Duration::from_secs_f64(seconds).clamp(MIN_PERIOD, MAX_PERIOD)
}
