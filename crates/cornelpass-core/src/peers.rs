//! Keeps the last report of each other router, and decides which routers are live.
//!
//! A router is known from the platform's list, from the settings or from its own report. Its report
//! counts for a few of its report intervals. The router keeps its share of budgets and cold rates
//! for longer, since a router whose reports do not arrive may still send requests.
//!
//! The reports also relay changes of targets that the platform has listed. [`Peers`] tracks which
//! numbered changes have arrived, and whether they are complete up to a recent revision, so that a
//! router polls the platform itself when changes are missing.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::report::{self, Report};

/// Time for which a report counts, in report intervals of its sender.
const LIFETIME_PERIODS: u32 = 4;

/// Shortest time for which a report counts.
const MIN_LIFETIME: Duration = Duration::from_millis(600);

/// Time without a report or a listing after which a router loses its share of budgets and cold
/// rates.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without a report or a listing after which a router is forgotten.
///
/// Until then it still receives reports, and may return.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest gap between two responses of the platform to other routers over which the platform
/// counts as continuously reachable.
const MAX_CONTACT_GAP: Duration = Duration::from_secs(3);

/// Time within which all routers get a response of the platform after it becomes reachable again.
///
/// It covers the longest pause of a router between two calls, and one response.
const RECOVERY_SPREAD: Duration = Duration::from_millis(2_500);

/// State of another router.
#[derive(Clone, Debug)]
struct Peer {
    /// When the platform, the settings or another router last listed the router, or its last report
    /// arrived.
    last_seen: Instant,
    /// When the last report arrived; none once the router is lost.
    alive_at: Option<Instant>,
    /// When the last report arrived, also once the router is lost.
    last_report_at: Option<Instant>,
    /// Moving average of the interval between two reports.
    period: Duration,
    report: Report,
    changes: Changes,
}

/// Which numbered changes of another router have arrived.
#[derive(Clone, Debug, Default)]
struct Changes {
    /// All changes up to this number have arrived, or are known from the platform.
    complete_to: u32,
    /// Numbers after `complete_to` that have arrived.
    out_of_order: BTreeSet<u32>,
    /// Since when announced changes have been missing.
    missing_since: Option<Instant>,
    /// Revision of the platform after which the numbered changes are complete, if none is missing.
    from_revision: u64,
}

impl Changes {
    /// State for a router's process of which `report` is the first report, before the changes in it
    /// are recorded.
    fn initial(report: &Report) -> Self {
        let all = u32::try_from(report.changes.len()) == Ok(report.last_change);
        let to = report.span.map_or(0, |span| span.to);
        match all {
            true => Self::default(),
            // Changes announced before this report are not tracked by number. Coverage starts at
            // the revision up to which they are numbered.
            false => Self { complete_to: report.last_change, from_revision: to, ..Self::default() },
        }
    }

    fn record(&mut self, now: Instant, report: &Report) {
        self.out_of_order.extend(report.changes.iter().map(|change| change.number));
        while self.out_of_order.remove(&(self.complete_to + 1)) {
            self.complete_to += 1;
        }
        self.out_of_order.retain(|number| *number > self.complete_to);
        if report.last_change > self.complete_to {
            self.missing_since.get_or_insert(now);
        } else {
            self.missing_since = None;
        }
    }
}

/// Effect of a report on the state of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The router was unknown, or has restarted.
    Joined,
    /// The router was lost and reports again.
    Returned,
    /// The router was live already.
    Unchanged,
    /// The report is not newer than the last one, or is this router's own, and was ignored.
    Stale,
}

/// The other routers, by address.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Address of this router, which other routers may list.
    own: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Revision of the platform up to which all changes of targets are known.
    covered_revision: u64,
    /// When the platform responded to a router with that revision.
    covered_at: Option<Instant>,
    /// First and last response of the platform to other routers without a gap over
    /// [`MAX_CONTACT_GAP`], by their reports.
    platform_contact: Option<(Instant, Instant)>,
}

impl Peers {
    /// No other routers, and no own address.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// No other routers, for a router with an own address.
    #[must_use]
    pub fn with_own_address(own: SocketAddr) -> Self {
        Self { own: Some(own), ..Self::default() }
    }

    /// Address of this router, if it is set.
    #[must_use]
    pub const fn own_address(&self) -> Option<SocketAddr> {
        self.own
    }

    /// Adds a router that the platform, the settings or another router has listed, or refreshes it.
    ///
    /// Ignores this router's own address.
    pub fn add(&mut self, now: Instant, address: SocketAddr) {
        if self.own == Some(address) {
            return;
        }
        let (period, report) = (report::MIN_PERIOD, Report::default());
        let changes = Changes::default();
        let (alive_at, last_report_at) = (None, None);
        let peer = Peer { last_seen: now, alive_at, last_report_at, period, report, changes };
        self.peers.entry(address).or_insert(peer).last_seen = now;
    }

    /// Applies a report, and adds its sender if it is not known.
    pub fn apply_report(&mut self, now: Instant, address: SocketAddr, report: Report) -> Effect {
        if self.own == Some(address) {
            return Effect::Stale;
        }
        let Some(peer) = self.peers.get_mut(&address) else {
            let period = report::MIN_PERIOD;
            let mut changes = Changes::initial(&report);
            changes.record(now, &report);
            let (alive_at, last_report_at) = (Some(now), Some(now));
            let peer = Peer { last_seen: now, alive_at, last_report_at, period, report, changes };
            self.peers.insert(address, peer);
            self.record_platform_contact(now, address);
            self.extend_coverage(now, address);
            return Effect::Joined;
        };
        let restarted = peer.report.incarnation != report.incarnation;
        if !restarted && report.sequence <= peer.report.sequence {
            return Effect::Stale;
        }
        let effect = match peer.alive_at {
            _ if restarted => Effect::Joined,
            Some(at) if now.saturating_duration_since(at) <= peer.lifetime() => Effect::Unchanged,
            _ => Effect::Returned,
        };
        // The interval counts also if the router was treated as lost meanwhile: in a large fleet,
        // routers report at long intervals.
        if let Some(last) = peer.last_report_at.filter(|_| !restarted) {
            let gap = now.saturating_duration_since(last).min(report::MAX_PERIOD);
            peer.period = (peer.period * 3 + gap) / 4;
        }
        if restarted {
            peer.changes = Changes::initial(&report);
        }
        peer.changes.record(now, &report);
        (peer.last_seen, peer.alive_at, peer.last_report_at) = (now, Some(now), Some(now));
        peer.report = report;
        self.record_platform_contact(now, address);
        self.extend_coverage(now, address);
        effect
    }

    /// Records when the platform last responded to another router, by the last report of that
    /// router.
    fn record_platform_contact(&mut self, now: Instant, address: SocketAddr) {
        let Some(peer) = self.peers.get(&address) else { return };
        let listed_ms = peer.report.listed_ms;
        let age = Duration::from_millis(u64::from(listed_ms));
        let Some(at) = now.checked_sub(age).filter(|_| listed_ms < report::MAX_AGE_MS) else {
            return;
        };
        self.platform_contact = match self.platform_contact {
            Some((since, last)) if at.saturating_duration_since(last) <= MAX_CONTACT_GAP => {
                Some((since, last.max(at)))
            }
            _ => Some((at, at)),
        };
    }

    /// Whether the platform responded to other routers within the last `time`, in which it did not
    /// respond to this router.
    ///
    /// Responses to other routers that started only within the last `RECOVERY_SPREAD` do not
    /// count: when the platform becomes reachable again for all routers, some get a response a
    /// moment before others.
    #[must_use]
    pub fn platform_responded_to_others(&self, now: Instant, time: Duration) -> bool {
        self.platform_contact.is_some_and(|(since, last)| {
            let ago = |at: Instant| now.saturating_duration_since(at);
            ago(last) < time && ago(since) > RECOVERY_SPREAD
        })
    }

    /// Extends the covered revisions by those for which a router has numbered all changes, if all
    /// of these changes have arrived.
    fn extend_coverage(&mut self, now: Instant, address: SocketAddr) {
        let Some(peer) = self.peers.get(&address) else { return };
        let Some(span) = peer.report.span else { return };
        let from = span.from.max(peer.changes.from_revision);
        let complete = peer.changes.missing_since.is_none() && from <= self.covered_revision;
        if complete && span.to >= self.covered_revision {
            let age = Duration::from_millis(u64::from(peer.report.listed_ms));
            let at = now.checked_sub(age);
            self.covered_revision = span.to;
            self.covered_at = self.covered_at.max(at);
        }
    }

    /// Whether no complete sequence of changes has been known for at least `time`.
    ///
    /// This happens when all pollers are replaced at once. Their successors poll as well, but the
    /// changes from before they started to poll have no numbers.
    #[must_use]
    pub fn lacks_coverage(&self, now: Instant, time: Duration) -> bool {
        self.covered_at.is_none_or(|at| now.saturating_duration_since(at) >= time)
    }

    /// Whether changes that another router has announced have been missing for at least `time`.
    #[must_use]
    pub fn has_missing_changes(&self, now: Instant, time: Duration) -> bool {
        self.peers.values().any(|peer| {
            peer.changes.missing_since.is_some_and(|at| now.saturating_duration_since(at) >= time)
        })
    }

    /// Records that the platform has listed all changes up to a revision for this router.
    ///
    /// These include the changes that the other routers have announced so far, so that none of them
    /// counts as missing any more.
    pub fn record_platform_sync(&mut self, now: Instant, revision: u64) {
        self.covered_revision = self.covered_revision.max(revision);
        self.covered_at = Some(now);
        for peer in self.peers.values_mut() {
            let complete_to = peer.changes.complete_to.max(peer.report.last_change);
            peer.changes = Changes {
                complete_to,
                from_revision: peer.changes.from_revision,
                ..Changes::default()
            };
        }
    }

    /// Marks routers whose last report has expired as lost, and returns those lost since the last
    /// call.
    ///
    /// Also forgets routers after [`FORGET_TIMEOUT`].
    pub fn take_lost(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut lost = Vec::new();
        for (address, peer) in &mut self.peers {
            let expired =
                peer.alive_at.is_some_and(|at| now.saturating_duration_since(at) > peer.lifetime());
            if expired {
                peer.alive_at = None;
                lost.push(*address);
            }
        }
        self.peers.retain(|_, peer| now.saturating_duration_since(peer.last_seen) < FORGET_TIMEOUT);
        lost
    }

    /// Addresses of all known routers, live or not, which receive reports.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Number of live routers whose addresses sort before `own`.
    #[must_use]
    pub fn live_before(&self, now: Instant, own: SocketAddr) -> usize {
        self.peers.range(..own).filter(|(_, peer)| peer.is_live(now)).count()
    }

    /// Number of routers that share budgets and cold rates, this router included.
    #[must_use]
    pub fn member_count(&self, now: Instant) -> usize {
        let member = |peer: &&Peer| now.saturating_duration_since(peer.last_seen) < MEMBER_TIMEOUT;
        1 + self.peers.values().filter(member).count()
    }

    /// Last reports of live routers.
    pub fn live_reports(&self, now: Instant) -> impl Iterator<Item = &Report> {
        self.peers.values().filter(move |peer| peer.is_live(now)).map(|peer| &peer.report)
    }

    /// Last reports of live routers, each with its sender and its age.
    pub fn live_reports_with_age(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, Duration, &Report)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_live(now)).map(move |(address, peer)| {
            let age = peer.alive_at.map(|at| now.saturating_duration_since(at)).unwrap_or_default();
            (*address, age, &peer.report)
        })
    }

    /// Last reports of all routers, lost ones included, each with its sender and its age.
    pub fn all_reports_with_age(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, Duration, &Report)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let age = now.saturating_duration_since(peer.last_report_at?);
            Some((*address, age, &peer.report))
        })
    }

    /// Mean age of the last reports of live routers; zero if there is none.
    #[must_use]
    pub fn mean_report_age(&self, now: Instant) -> Duration {
        let (count, sum) = self
            .live_reports_with_age(now)
            .fold((0_u32, Duration::ZERO), |(count, sum), report| (count + 1, sum + report.1));
        sum.checked_div(count).unwrap_or_default()
    }
}

impl Peer {
    /// Time for which the last report counts.
    fn lifetime(&self) -> Duration {
        (self.period * LIFETIME_PERIODS).max(MIN_LIFETIME)
    }

    fn is_live(&self, now: Instant) -> bool {
        self.alive_at.is_some_and(|at| now.saturating_duration_since(at) <= self.lifetime())
    }
}
