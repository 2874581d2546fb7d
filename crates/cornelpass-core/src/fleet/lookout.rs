//! Which routers ask the platform for changes of the targets, and what they tell the others.
//!
//! Targets write their entries all the time, so that each call for changes is answered at once. A few
//! routers make these calls often and tell the others what has changed; the others make them seldom,
//! in case they are not told. Who is among the few follows from the reports alone: a router makes
//! them often unless enough others do whose addresses come first.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Row};
use crate::peers::Peers;
use crate::report::{self, CHANGES_LENGTH, Change, Entry, MAX_AGE_MS, Span};

/// Routers that ask often; one of them may be cut off without being silent.
pub const LOOKOUTS: usize = 2;

/// Part of the time in which a leaving target has to see its last request, in which a router that others
/// rely on reports at least once.
const REPORT_PART: f64 = 0.15;

/// The same for the age of what the platform told a router up to which it counts as asking often: its
/// pause, its wait, the time between its reports, and the time for all to arrive.
const FRESH_PART: f64 = 0.75;

/// Time for which a change is told.
pub const TELL_PERIOD: Duration = Duration::from_millis(2_500);

/// Times that a change that takes a target out of use is told without waiting for a period: a datagram may
/// be lost.
const URGENT_TIMES: u32 = 2;

/// Part of the time in which a leaving target has to see its last request, after which a router asks the
/// platform for changes that it misses, or asks it again if others rely on it.
const OFTEN_PART: f64 = 0.3;

/// The same for the wait of a call of a router that others rely on, if nothing has changed.
const WAIT_PART: f64 = 0.2;

/// Time for which a router gives way to each one before it where nobody asks often any more: a call and a
/// datagram.
const RANK_PAUSE: Duration = Duration::from_millis(40);

/// Most of that time, as a part of the time in which a leaving target has to see its last request.
const RANK_PART: f64 = 0.1;

/// Shortest pause between two calls for changes where other routers tell of them.
const SELDOM_PAUSE: Duration = Duration::from_secs(10);

/// Bytes of an entry in the platform's answer, by the users' examples of messages.
const ENTRY_BYTES: usize = 300;

/// Most that such calls read, in bytes a second: a quarter of the users' aim for control.
const SELDOM_BYTES_PER_SECOND: f64 = 1024.0;

/// Most changes that are told.
const MEMORY_LIMIT: usize = 256;

/// What this router was told by the platform.
#[derive(Clone, Debug, Default)]
pub struct Lookout {
    listed: Option<Instant>,
    span: Option<Span>,
    /// Whether this router has begun to ask often, and nobody knows yet.
    begins: bool,
    changes: VecDeque<Told>,
    /// Changes so far.
    count: u32,
}

/// A change, and how often it was told.
#[derive(Clone, Debug)]
struct Told {
    at: Instant,
    times: u32,
    change: Change,
}

impl Told {
    /// Whether it takes a target out of use.
    fn is_urgent(&self) -> bool {
        !matches!(self.change.entry, Entry::Row(_))
    }
}

impl Lookout {
    /// The platform has told of the targets, all that changed up to a revision.
    ///
    /// `often` says whether this router asks often, so that others rely on what it numbers.
    pub const fn listed(&mut self, now: Instant, revision: u64, often: bool) {
        self.begins |= often && self.span.is_none() && self.listed.is_some();
        self.listed = Some(now);
        self.span = match self.span {
            Some(Span { from, .. }) if often => Some(Span { from, to: revision }),
            None if often => Some(Span { from: revision, to: revision }),
            _ => None,
        };
    }

    /// Revisions between which this router has numbered all changes.
    #[must_use]
    pub const fn span(&self) -> Option<Span> {
        self.span
    }

    /// An entry has changed, as the platform told; it has no row if it was removed.
    ///
    /// The first list of all is no change: the other routers read it themselves.
    pub fn changed(&mut self, now: Instant, name: &str, revision: u64, row: Option<Row>) {
        if self.listed.is_none() {
            return;
        }
        self.changes.retain(|told| told.change.name != name);
        self.count += 1;
        let entry = Entry::of(row);
        let change = Change { number: self.count, name: name.to_owned(), revision, entry };
        self.changes.push_back(Told { at: now, times: 0, change });
        let surplus = self.changes.len().saturating_sub(MEMORY_LIMIT);
        self.changes.drain(..surplus);
    }

    /// Number of the last change.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Changes for the next report: those told least often, first those that take a target out of use.
    pub fn news(&mut self, now: Instant) -> Vec<Change> {
        self.begins = false;
        self.changes.retain(|told| now.saturating_duration_since(told.at) <= TELL_PERIOD);
        let mut order: Vec<&mut Told> = self.changes.iter_mut().collect();
        order.sort_by_key(|told| (told.times, Reverse(told.is_urgent())));
        let mut length = 0;
        let fits = |told: &&mut Told| {
            length += told.change.entry.length();
            length <= CHANGES_LENGTH
        };
        let order = order.into_iter().take_while(fits);
        let tell = |told: &mut Told| {
            told.times += 1;
            told.change.clone()
        };
        order.map(tell).collect()
    }

    /// Whether something is to be told at once: that a target leaves, or that this router asks often.
    #[must_use]
    pub fn hurries(&self) -> bool {
        self.begins || self.changes.iter().any(|told| told.is_urgent() && told.times < URGENT_TIMES)
    }

    /// Age of what the platform told, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: Instant) -> u16 {
        let age = self.listed.map(|at| now.saturating_duration_since(at).as_millis());
        age.and_then(|age| u16::try_from(age).ok()).unwrap_or(MAX_AGE_MS)
    }
}

/// Pauses between two calls for changes of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pauses {
    /// Where others rely on this router.
    pub often: Duration,
    /// Time for which a call waits for a change then; where others tell of changes, none waits.
    pub wait: Duration,
    /// Where others tell of the changes.
    pub seldom: Duration,
    /// Age of what the platform told a router up to which others rely on it.
    pub fresh: Duration,
}

impl Pauses {
    /// Pauses for a time in which a leaving target has to see its last request, and a number of targets.
    ///
    /// Targets write their entries all the time, so that nearly all of them are in the answer to a call
    /// after a long pause.
    #[must_use]
    pub fn new(drain: Duration, targets: usize) -> Self {
        let often = drain.mul_f64(OFTEN_PART);
        #[expect(clippy::cast_precision_loss, reason = "some thousands of targets")]
        let bytes = (targets * ENTRY_BYTES) as f64;
        let seldom = Duration::from_secs_f64(bytes / SELDOM_BYTES_PER_SECOND).max(SELDOM_PAUSE);
        let (wait, fresh) = (drain.mul_f64(WAIT_PART), drain.mul_f64(FRESH_PART));
        Self { often, wait, seldom, fresh }
    }
}

/// What a router does about changes of the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Asks the platform.
    Ask,
    /// Waits for what others tell.
    Wait,
}

impl Fleet {
    /// Whether this router has to ask often.
    #[must_use]
    pub fn asks_often(&self, now: Instant) -> bool {
        self.before(now) < LOOKOUTS
    }

    /// Whether this router writes what the routers keep on the platform.
    #[must_use]
    pub fn writes_notes(&self, now: Instant) -> bool {
        self.before(now) == 0
    }

    /// Routers that ask often and come before this one.
    fn before(&self, now: Instant) -> usize {
        let fresh = self.patience(now);
        self.peers.own().map_or(0, |own| before(now, own, &self.peers, fresh))
    }

    /// Age of what others tell up to which this router relies on them.
    ///
    /// Where those that ask often are lost, the first ones by address take their place before the others
    /// miss them, which would all ask at once.
    fn patience(&self, now: Instant) -> Duration {
        let rank = self.peers.own().map_or(0, |own| self.peers.rank(now, own));
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let most = self.bounds.drain.mul_f64(RANK_PART);
        self.pauses().fresh + RANK_PAUSE.saturating_mul(rank).min(most)
    }

    /// Pauses between two calls for changes of targets.
    #[must_use]
    pub fn pauses(&self) -> Pauses {
        Pauses::new(self.bounds.drain, self.records.len())
    }

    /// Time until the next report, after one of a length in bytes to a number of other routers.
    #[must_use]
    pub fn report_pause(&self, now: Instant, length: usize, others: usize) -> Duration {
        let period = report::period(length, others);
        if self.lookout.hurries() {
            return report::MIN_PERIOD;
        }
        match self.lookout.span.is_some() && self.asks_often(now) {
            true => period.min(self.bounds.drain.mul_f64(REPORT_PART)),
            false => period,
        }
    }

    /// What to do a time after the last call for changes.
    #[must_use]
    pub fn follow(&self, now: Instant, waited: Duration) -> Next {
        let pauses = self.pauses();
        let misses = self.peers.miss_changes(now, pauses.often)
            || self.peers.is_behind(now, self.patience(now));
        let due = misses || self.asks_often(now) || waited >= pauses.seldom;
        if waited >= pauses.often && due { Next::Ask } else { Next::Wait }
    }

    /// The platform tells of an entry; it has no row if it was removed.
    pub fn heard(&mut self, now: Instant, name: &str, row: Option<Row>, revision: u64) {
        let new = match &row {
            Some(row) => self.list(now, name, row.clone(), revision),
            None => self.unlist(now, name, revision),
        };
        // The first list would fill the log at each start.
        if new && self.lookout.listed.is_some() {
            self.relist(name, None);
        }
        // What another router told first has no number here yet.
        let second_hand = self.second_hand.remove(name);
        if new || (second_hand && self.lookout.span.is_some()) {
            self.lookout.changed(now, name, revision, row);
        }
    }

    /// The platform has told this router all changes up to a revision.
    pub fn caught_up(&mut self, now: Instant, revision: u64) {
        let often = self.asks_often(now);
        self.lookout.listed(now, revision, often);
        self.peers.caught_up(now, revision);
    }
}

/// Whether a router at an address has to ask often, since too few before it do.
///
/// `fresh` is the age of what the platform told a router up to which it counts as asking often.
#[must_use]
pub fn asks_often(now: Instant, own: SocketAddr, peers: &Peers, fresh: Duration) -> bool {
    before(now, own, peers, fresh) < LOOKOUTS
}

/// Routers that ask often and come before an address.
fn before(now: Instant, own: SocketAddr, peers: &Peers, fresh: Duration) -> usize {
    let often = peers.last(now).filter(|(address, age, report)| {
        let age = *age + Duration::from_millis(u64::from(report.listed_ms));
        *address < own && report.span.is_some() && age <= fresh && !report.leaving
    });
    often.count()
}
