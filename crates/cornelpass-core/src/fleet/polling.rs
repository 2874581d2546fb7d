//! Selects the routers that poll the platform for changes of targets, and relays these changes.
//!
//! Targets rewrite their rows all the time, so that the platform responds to each poll at once. To
//! limit the number of calls, only a few routers, the *pollers*, poll at short intervals. They
//! announce the changes to all other routers in their reports. The other routers poll at long
//! intervals, in case an announcement is lost.
//!
//! The reports alone decide which routers are pollers: a router is a poller if fewer than
//! [`POLLERS`] pollers with a recent response of the platform sort before it by address.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Row};
use crate::peers::Peers;
use crate::report::{self, Change, Entry, MAX_AGE_MS, MAX_CHANGES_SIZE, Report, Span};

/// Number of pollers.
///
/// One poller can lose its connection to the platform and still send reports, so there is a second
/// one.
pub const POLLERS: usize = 2;

/// Longest time between two reports of a poller, as a part of `Requirements::drain`.
///
/// `Requirements::drain` is the longest time for which requests may still be sent to a target after
/// it has started to leave.
const REPORT_PART: f64 = 0.15;

/// Longest time since the last response of the platform for which a router counts as a poller, as a
/// part of `Requirements::drain`.
///
/// It covers the poller's pause between two polls, the wait of a poll, the time between two of its
/// reports, and the time until its reports arrive everywhere.
const MAX_AGE_PART: f64 = 0.75;

/// Time for which reports repeat a change.
pub const CHANGE_REPEAT_TIME: Duration = Duration::from_millis(2_500);

/// Number of reports with an urgent change that are sent without waiting for the report period.
///
/// More than one, as a datagram may be lost.
const URGENT_REPORTS: u32 = 2;

/// Pause after which a poller, or a router that misses changes, polls again, as a part of
/// `Requirements::drain`.
const POLL_PART: f64 = 0.3;

/// Longest wait of a poller's call for a change, as a part of `Requirements::drain`.
const WAIT_PART: f64 = 0.2;

/// Delay for each live router that sorts before this one, until this router replaces a lost poller.
///
/// It covers one call to the platform and one datagram, so that a replacement is known before the
/// next router takes over as well.
const TAKEOVER_DELAY: Duration = Duration::from_millis(40);

/// Maximum delay that [`TAKEOVER_DELAY`] adds up to for one router, as a part of
/// `Requirements::drain`.
const MAX_TAKEOVER_PART: f64 = 0.1;

/// Shortest pause between two polls of a router that is not a poller.
const MIN_IDLE_PAUSE: Duration = Duration::from_secs(10);

/// Size of a row in the platform's response, in bytes, as in the example messages of the users'
/// documentation.
const ROW_BYTES: usize = 300;

/// Maximum that a router that is not a poller reads by its polls, in bytes a second: a quarter of
/// the users' goal for control traffic.
const IDLE_BYTES_PER_SECOND: f64 = 1024.0;

/// Maximum number of changes that are kept for reports.
const MAX_CHANGES: usize = 256;

/// Changes that this router has read from the platform and announces to other routers.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// When the platform last responded to this router.
    listed_at: Option<Instant>,
    /// Revision up to which this router knows all rows; none before the first complete list.
    synced_revision: Option<u64>,
    /// Revisions in which this router has numbered all changes, while it is a poller.
    span: Option<Span>,
    /// Whether this router has become a poller and has not reported that yet.
    poller_unreported: bool,
    changes: VecDeque<Announcement>,
    /// Number of changes so far.
    count: u32,
}

/// A change, and the number of reports that have included it.
#[derive(Clone, Debug)]
struct Announcement {
    read_at: Instant,
    reports: u32,
    change: Change,
}

impl Announcement {
    /// Whether the change takes a target out of use.
    fn is_urgent(&self) -> bool {
        !matches!(self.change.entry, Entry::Row(_))
    }
}

impl ChangeLog {
    /// Records that the platform has listed all changes up to a revision.
    ///
    /// `poller` is whether this router is a poller, so that other routers rely on its numbered
    /// changes.
    pub const fn record_sync(&mut self, now: Instant, revision: u64, poller: bool) {
        self.poller_unreported |= poller && self.span.is_none() && self.listed_at.is_some();
        self.listed_at = Some(now);
        self.synced_revision = Some(revision);
        self.span = match self.span {
            Some(Span { from, .. }) if poller => Some(Span { from, to: revision }),
            None if poller => Some(Span { from: revision, to: revision }),
            _ => None,
        };
    }

    /// Whether the platform has listed the targets to this router.
    pub(super) const fn is_listed(&self) -> bool {
        self.listed_at.is_some()
    }

    /// Revisions in which this router has numbered all changes; none if it is not a poller.
    #[must_use]
    pub const fn span(&self) -> Option<Span> {
        self.span
    }

    /// Records a changed row that the platform has listed; `row` is none if it was removed.
    ///
    /// Rows of the first complete list are not recorded: the other routers read that list
    /// themselves.
    pub fn record_change(&mut self, now: Instant, name: &str, revision: u64, row: Option<Row>) {
        if self.listed_at.is_none() {
            return;
        }
        self.changes.retain(|announcement| announcement.change.name != name);
        self.count += 1;
        let entry = Entry::from_row(row);
        let change = Change { number: self.count, name: name.to_owned(), revision, entry };
        self.changes.push_back(Announcement { read_at: now, reports: 0, change });
        let surplus = self.changes.len().saturating_sub(MAX_CHANGES);
        self.changes.drain(..surplus);
    }

    /// Revision up to which this router knows all rows; none before the first complete list.
    #[must_use]
    pub const fn synced_revision(&self) -> Option<u64> {
        self.synced_revision
    }

    /// Number of the last change, 0 before the first.
    #[must_use]
    pub const fn last_number(&self) -> u32 {
        self.count
    }

    /// Selects the changes for the next report, and counts that report.
    ///
    /// Changes that the fewest reports have included come first, and among these the urgent ones.
    pub fn changes_to_report(&mut self, now: Instant) -> Vec<Change> {
        self.poller_unreported = false;
        self.changes.retain(|announcement| {
            now.saturating_duration_since(announcement.read_at) <= CHANGE_REPEAT_TIME
        });
        let mut order: Vec<&mut Announcement> = self.changes.iter_mut().collect();
        order.sort_by_key(|announcement| (announcement.reports, Reverse(announcement.is_urgent())));
        let mut length = 0;
        let fits = |announcement: &&mut Announcement| {
            length += announcement.change.entry.size();
            length <= MAX_CHANGES_SIZE
        };
        let order = order.into_iter().take_while(fits);
        let include = |announcement: &mut Announcement| {
            announcement.reports += 1;
            announcement.change.clone()
        };
        order.map(include).collect()
    }

    /// Whether the next report is due at once: it has an urgent change, or this router has become a
    /// poller.
    #[must_use]
    pub fn is_report_due(&self) -> bool {
        self.poller_unreported
            || self.changes.iter().any(|announcement| {
                announcement.is_urgent() && announcement.reports < URGENT_REPORTS
            })
    }

    /// Whether the platform responded to this router within the last `time`.
    #[must_use]
    pub fn has_response_within(&self, now: Instant, time: Duration) -> bool {
        self.listed_at.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Time since the platform last responded to this router, in milliseconds.
    ///
    /// [`MAX_AGE_MS`] if this time is greater, or the platform has not responded yet.
    #[must_use]
    pub fn response_age_ms(&self, now: Instant) -> u16 {
        let age = self.listed_at.map(|at| now.saturating_duration_since(at).as_millis());
        age.and_then(|age| u16::try_from(age).ok()).unwrap_or(MAX_AGE_MS)
    }
}

/// Times that control how a router polls the platform for changes of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Pause between two polls of a poller.
    pub poller_pause: Duration,
    /// Time for which the call of a poller waits for a change. Calls of other routers do not wait.
    pub poll_wait: Duration,
    /// Pause between two polls of a router that is not a poller.
    pub idle_pause: Duration,
    /// Longest time since the last response of the platform for which a router counts as a poller.
    pub max_response_age: Duration,
}

impl Times {
    /// Computes the times from [`Requirements::drain`](super::Requirements::drain) and the number
    /// of targets.
    ///
    /// Targets rewrite their rows all the time, so that the response to a call after a long pause
    /// has nearly all rows. The idle pause therefore grows with the number of targets, so that idle
    /// polls stay within `IDLE_BYTES_PER_SECOND`.
    #[must_use]
    pub fn new(drain: Duration, targets: usize) -> Self {
        let poller_pause = drain.mul_f64(POLL_PART);
        #[expect(clippy::cast_precision_loss, reason = "some thousands of targets")]
        let bytes = (targets * ROW_BYTES) as f64;
        let idle_pause = Duration::from_secs_f64(bytes / IDLE_BYTES_PER_SECOND).max(MIN_IDLE_PAUSE);
        let (poll_wait, max_response_age) = (drain.mul_f64(WAIT_PART), drain.mul_f64(MAX_AGE_PART));
        Self { poller_pause, poll_wait, idle_pause, max_response_age }
    }
}

/// Next step of a router that follows the changes of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Poll the platform.
    Poll,
    /// Wait for the reports of pollers.
    Wait,
}

impl Fleet {
    /// Whether this router is a poller.
    #[must_use]
    pub fn is_poller(&self, now: Instant) -> bool {
        self.pollers_before(now) < POLLERS
    }

    /// Whether this router writes the notes that the routers share on the platform; only the
    /// first poller does.
    #[must_use]
    pub fn writes_notes(&self, now: Instant) -> bool {
        self.pollers_before(now) == 0
    }

    /// Whether this router may rely on the announcements of other routers: it is no poller, and the
    /// last report of a poller arrived within `silence`.
    #[must_use]
    pub fn relies_on_announcements(&self, now: Instant, silence: Duration) -> bool {
        let max_age = self.max_poll_age(now);
        let mut reports = self.peers.all_reports_with_age(now);
        let is_heard = reports
            .any(|(_, age, report)| age <= silence && is_poller_report(age, report, max_age));
        is_heard && !self.is_poller(now)
    }

    /// Number of pollers whose addresses sort before this router's.
    fn pollers_before(&self, now: Instant) -> usize {
        let max_age = self.max_poll_age(now);
        self.peers.own_address().map_or(0, |own| pollers_before(now, own, &self.peers, max_age))
    }

    /// Longest time since the last response of the platform for which this router counts another
    /// router as a poller.
    ///
    /// The time grows with the rank of this router by address. When the pollers are lost, the first
    /// routers replace them before the others detect the loss. Otherwise all would poll at once.
    fn max_poll_age(&self, now: Instant) -> Duration {
        let rank = self.peers.own_address().map_or(0, |own| self.peers.live_before(now, own));
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let max_delay = self.requirements.drain.mul_f64(MAX_TAKEOVER_PART);
        self.poll_times().max_response_age + TAKEOVER_DELAY.saturating_mul(rank).min(max_delay)
    }

    /// Times of the polls, for the targets that are known at present.
    #[must_use]
    pub fn poll_times(&self) -> Times {
        Times::new(self.requirements.drain, self.records.len())
    }

    /// Time until the next report, after a report of `length` bytes to `others` routers.
    #[must_use]
    pub fn report_pause(&self, now: Instant, length: usize, others: usize) -> Duration {
        let period = report::period(length, others);
        if self.change_log.is_report_due() {
            return report::MIN_PERIOD;
        }
        match self.change_log.span.is_some() && self.is_poller(now) {
            true => period.min(self.requirements.drain.mul_f64(REPORT_PART)),
            false => period,
        }
    }

    /// Next step, when the last poll was `waited` ago.
    #[must_use]
    pub fn next_poll(&self, now: Instant, waited: Duration) -> Next {
        let times = self.poll_times();
        let lacks_changes = self.peers.has_missing_changes(now, times.poller_pause)
            || self.peers.lacks_coverage(now, self.max_poll_age(now));
        let due = lacks_changes
            || self.lacks_versions()
            || self.is_poller(now)
            || waited >= times.idle_pause;
        if waited >= times.poller_pause && due { Next::Poll } else { Next::Wait }
    }

    /// Applies a row that the platform has listed; `row` is none if it was removed.
    pub fn apply_platform_row(
        &mut self,
        now: Instant,
        name: &str,
        row: Option<Row>,
        revision: u64,
    ) {
        let new = match &row {
            Some(row) => self.apply_row(now, name, row.clone(), revision),
            None => self.apply_removal(now, name, revision),
        };
        // Rows of the first complete list produce no log events: one line for each target at each
        // start would hide the changes.
        if new && self.change_log.listed_at.is_some() {
            self.queue_listing_change(name, None);
        }
        // A change that another router announced first has no number at this router yet. The
        // platform's history may have older rows of the same target before that change.
        let is_latest = self.records.get(name).is_none_or(|record| record.revision <= revision);
        let announced = is_latest && self.peer_reported.remove(name);
        if new || (announced && self.change_log.span.is_some()) {
            self.change_log.record_change(now, name, revision, row);
        }
    }

    /// Records that the platform has listed all changes up to a revision for this router.
    pub fn record_platform_sync(&mut self, now: Instant, revision: u64) {
        let poller = self.is_poller(now);
        self.change_log.record_sync(now, revision, poller);
        self.peers.record_platform_sync(now, revision);
    }
}

/// Whether the router at `own` is a poller: fewer than [`POLLERS`] routers whose addresses sort
/// before it are pollers.
///
/// A router counts as a poller if the platform responded to it within `max_age`.
#[must_use]
pub fn is_poller(now: Instant, own: SocketAddr, peers: &Peers, max_age: Duration) -> bool {
    pollers_before(now, own, peers, max_age) < POLLERS
}

/// Number of pollers whose addresses sort before `own`.
fn pollers_before(now: Instant, own: SocketAddr, peers: &Peers, max_age: Duration) -> usize {
    let reports = peers.all_reports_with_age(now);
    reports
        .filter(|(address, age, report)| *address < own && is_poller_report(*age, report, max_age))
        .count()
}

/// Whether a report that arrived `age` ago shows that its sender is a poller.
fn is_poller_report(age: Duration, report: &Report, max_age: Duration) -> bool {
    let response_age = age + Duration::from_millis(u64::from(report.listed_ms));
    report.span.is_some() && response_age <= max_age && !report.leaving
}
